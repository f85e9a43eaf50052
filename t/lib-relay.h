#ifndef T_LIB_RELAY_H
#define T_LIB_RELAY_H

#include "lib-core.h"

/*
 * A host that relays calls, driven by hand. Time moves only by
 * t_core_tick() and t_relay_run().
 */

/* Paths of the routes of t_relay_configure(). */
#define T_ANY_PATH "/any/x"
#define T_ONCE_PATH "/once/x"
#define T_RESUME_PATH "/resume/x"
#define T_STREAM_PATH "/stream/x"
#define T_OPEN_PATH "/open/x"
#define T_HOST "svc.example"

/* A host that has begun to follow its store; nothing is known yet. */
void t_relay_init(struct t_core *core);

/*
 * Version of a configuration: pools "engines" and "desk", organisations acme
 * (keys 1 and 2) and zeta (key 3, rank 7), routes of each kind of repeat with
 * two attempts and 10 s, one open to all. Answers the reads under way with it
 * and with n upstreams a pool, named "engines-0" and so on.
 */
void t_relay_configure(struct t_core *core, int64_t version, uint32_t n);

/* Both, with version 5. */
void t_relay_setup(struct t_core *core, uint32_t n);

/* Rows of such a configuration, of struct ct_config_row. */
GArray *t_relay_rows(void);
void t_relay_post_config(struct t_core *core, int64_t version, GArray *rows);

/* An entry of an upstream of a pool in the store. */
struct ct_store_upstream t_upstream(const char *pool, uint32_t i);
void t_relay_upstream(struct t_core *core,
                      const struct ct_store_upstream *entry);

/* Ends a read of a topic; the next one is an effect of it, or of a tick. */
void t_relay_read(struct t_core *core, enum ct_topic topic, int32_t result,
                  uint32_t entries, ct_ms took_ms, ct_ms idle_ms);
/* Confirms that nothing has changed: answers reads of both topics. */
void t_relay_confirm(struct t_core *core);

/* Posts a call with a key; 0 for none. Returns the caller's number. */
uint64_t t_relay_call(struct t_core *core, uint8_t key, const char *path);
/* The same by a caller who waits no longer than that; 0 for no bound. */
uint64_t t_relay_call_within(struct t_core *core, uint8_t key,
                             const char *path, ct_ms deadline_ms);
/* The attempt that the last event started; fails where there is none. */
struct ct_relay_start t_relay_started(const struct t_core *core);

void t_relay_sent(struct t_core *core, struct ct_handle attempt);
void t_relay_data(struct t_core *core, struct ct_handle attempt,
                  uint64_t last_event);
void t_relay_done(struct t_core *core, struct ct_handle attempt,
                  enum ct_outcome outcome, uint32_t status);
/* Bytes leave, and the attempt ends. */
void t_relay_finish(struct t_core *core, struct ct_handle attempt,
                    enum ct_outcome outcome, uint32_t status);

/* Whether an upstream is configured, and what it does then. */
void t_relay_assert_state(const struct t_core *core, const char *name,
                          bool there, enum ct_upstream_state state);

#endif
