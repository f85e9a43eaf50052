#ifndef T_LIB_RELAY_H
#define T_LIB_RELAY_H

#include "lib-core.h"

/*
 * A host that relays calls, driven by a test. Time moves only by
 * t_core_tick().
 */

/* Paths of the routes of t_relay_configure(). */
#define T_ANY_PATH "/any/x"
#define T_ONCE_PATH "/once/x"
#define T_RESUME_PATH "/resume/x"
#define T_STREAM_PATH "/stream/x"
#define T_OPEN_PATH "/open/x"
#define T_HOST "svc.example"
/* Time limit of their calls. */
#define T_RELAY_TIMEOUT_MS 10000

/* Creates a host that has started to read its store and knows nothing yet. */
void t_relay_init(struct t_core *core);

/* The same for a host of another name. */
void t_relay_init_named(struct t_core *core, const char *host);
/* The same for a host with another random sequence. */
void t_relay_init_seeded(struct t_core *core, const char *host, uint64_t seed);

/*
 * Completes the pending store reads with this version of a configuration:
 * pools "engines" and "desk", organisations acme (keys 1 and 2) and zeta
 * (key 3, rank 7), one route for each kind of repeat and one open to all,
 * each with two attempts and a timeout of 10 s; and with n upstreams in each
 * pool, named "engines-0" and so on.
 */
void t_relay_configure(struct t_core *core, int64_t version, uint32_t n);

/* t_relay_init(), then t_relay_configure() with version 5. */
void t_relay_setup(struct t_core *core, uint32_t n);

/* t_relay_setup() with 3 upstreams in pools that make backups. */
void t_relay_setup_backups(struct t_core *core);

/* Rows of the configuration of t_relay_configure(): struct ct_config_row. */
GArray *t_relay_rows(void);
/* Posts a version that requires keys. */
void t_relay_post_config(struct t_core *core, int64_t version, GArray *rows);

/*
 * Returns the store entry of upstream i of a pool; t_relay_post_upstream()
 * posts that it was read.
 */
struct ct_store_upstream t_upstream(const char *pool, uint32_t i);
void t_relay_post_upstream(struct t_core *core,
                           const struct ct_store_upstream *entry);

/* Posts that a record was read which evacuates or restores a zone. */
void t_relay_post_evacuation(struct t_core *core, const char *zone, bool ends);

/* Posts a list of n members, named "h1" and so on, or a failure to read it. */
void t_relay_post_members(struct t_core *core, int32_t result, uint32_t n);

/*
 * Completes a read of a topic. The host starts the next read as an effect of
 * this event or of a later tick.
 */
void t_relay_read(struct t_core *core, enum ct_topic topic, int32_t result,
                  uint32_t entries, ct_ms took_ms, ct_ms idle_ms);
/* Completes the reads of both topics without new records. */
void t_relay_confirm(struct t_core *core);

/* Posts a call with a key, 0 for none; returns the caller number. */
uint64_t t_relay_call(struct t_core *core, uint8_t key, const char *path);
/* The same with a deadline of the caller; 0 for none. */
uint64_t t_relay_call_within(struct t_core *core, uint8_t key,
                             const char *path, ct_ms deadline_ms);
/* The prompt has prompt_tokens tokens. */
uint64_t t_relay_call_of_size(struct t_core *core, uint8_t key,
                              const char *path, uint32_t prompt_tokens);
/*
 * Posts a call whose prompt has these shared parts; the id 0 ends the list.
 */
uint64_t t_relay_call_with_parts(struct t_core *core, uint8_t key,
                                 const char *path, const uint64_t *parts);
/* The same; the last part is the call's own. */
uint64_t t_relay_call_with_own_part(struct t_core *core, uint8_t key,
                                    const char *path, const uint64_t *parts);
/* Posts a call whose prompt has this prefix hash. */
uint64_t t_relay_call_with_prefix(struct t_core *core, uint8_t key,
                                  const char *path, uint64_t prefix_hash);
/* The attempt that the last event started; fails the test if none was. */
struct ct_relay_start t_relay_started(const struct t_core *core);

void t_relay_sent(struct t_core *core, struct ct_handle attempt);
/* The upstream says this about itself in the head of its response. */
void t_relay_head(struct t_core *core, struct ct_handle attempt,
                  const struct ct_upstream_notice *notice);
void t_relay_data(struct t_core *core, struct ct_handle attempt,
                  uint64_t last_event);
void t_relay_done(struct t_core *core, struct ct_handle attempt,
                  enum ct_outcome outcome, uint32_t status);
/* Posts that the request was sent and that the attempt ended. */
void t_relay_finish(struct t_core *core, struct ct_handle attempt,
                    enum ct_outcome outcome, uint32_t status);

/* Asserts whether an upstream is configured and, if so, its state. */
void t_relay_assert_state(const struct t_core *core, const char *name,
                          bool configured, enum ct_upstream_state state);

#endif
