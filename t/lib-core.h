#ifndef T_LIB_CORE_H
#define T_LIB_CORE_H

#include <glib.h>

#include "error.h"
#include "reduce.h"
#include "reducer.h"
#include "state.h"

/*
 * State of one host, driven by a test: the test posts events and inspects the
 * effects of the last one. Time moves only by t_core_tick().
 */
struct t_core {
    struct ct_state *state;
    /* If set, receives the events instead of the state. */
    struct ct_reducer *reducer;
    struct ct_effects effects;
    ct_ms now_ms;
    ct_ms wall_ms;
    int64_t next_offset;
    uint64_t next_caller;
};

/* Paths of the routes of t_core_configure(). */
#define T_PLAIN_PATH "/hold"
#define T_CHAT_PATH "/v1/chat/completions"

/* Creates a state that has read an empty log and has no configuration. */
void t_core_init(struct t_core *core);
/* Creates a state of the given host and process that has read nothing. */
void t_core_init_named(struct t_core *core, const char *host,
                       const char *writer);
void t_core_free(struct t_core *core);

/*
 * Appends a configuration: organisations "acme" and "zeta", classes "chat"
 * (tier 1) and "hold" (tier 0), an engine pool and a plain pool of
 * n_upstreams upstreams with the given slots each; routes T_CHAT_PATH (open
 * to all, idempotent) and T_PLAIN_PATH (acme only, non-idempotent). Grants
 * the keys 1 (acme) and 2 (zeta).
 */
void t_core_configure(struct t_core *core, uint32_t n_upstreams,
                      uint32_t slots);

/* Posts an event to the reducer and replaces the previous effects. */
void t_core_post(struct t_core *core, struct ct_event *event);

/* Advances the time and posts a tick. */
void t_core_tick(struct t_core *core, ct_ms by_ms);

/* Posts a record as the next entry of the log. */
void t_core_entry(struct t_core *core, const struct ct_record *record);

/* Returns a digest whose bytes all equal n. */
struct ct_digest t_digest(uint8_t n);

/* Returns a call with the key on a path, without posting it. */
struct ct_event t_call(struct t_core *core, uint8_t key, const char *path);

/* Posts a call and returns the caller number. */
uint64_t t_core_call(struct t_core *core, uint8_t key, const char *path);

/* The nth effect of a type after the last event, or NULL. */
const struct ct_effect *t_core_effect(const struct t_core *core,
                                      enum ct_effect_type type, uint32_t nth);
/* The first append of a record type in the last effects, or NULL. */
const struct ct_effect *t_core_append(const struct t_core *core,
                                      enum ct_record_type type);
uint32_t t_core_count(const struct t_core *core, enum ct_effect_type type);

/* Posts an event about an attempt. */
void t_core_attempt(struct t_core *core, enum ct_event_type type,
                    struct ct_attempt_event attempt);

/* The attempt that the last event started. */
struct ct_handle t_core_started(const struct t_core *core);

/*
 * Events of an attempt: request bytes were sent, the head arrived, body bytes
 * with one token arrived, the attempt ended.
 */
void t_core_sent(struct t_core *core, struct ct_handle attempt);
void t_core_head(struct t_core *core, struct ct_handle attempt,
                 uint32_t status);
void t_core_data(struct t_core *core, struct ct_handle attempt,
                 uint64_t offset, uint32_t bytes);
void t_core_done(struct t_core *core, struct ct_handle attempt,
                 enum ct_outcome outcome);

/* Posts a head of status 200 and the end of a complete response. */
void t_core_complete(struct t_core *core, struct ct_handle attempt);

/* Post that the caller disconnected, and that the link to a peer is up. */
void t_core_caller_disconnected(struct t_core *core, uint64_t caller);
void t_core_peer_up(struct t_core *core, const char *peer);

/* Asserts that the last event refused a caller for this reason. */
void t_core_assert_refused(const struct t_core *core, enum ct_refusal reason,
                           enum ct_run_state run_state);

#endif
