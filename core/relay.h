#ifndef CT_RELAY_H
#define CT_RELAY_H

#include <glib.h>

#include "effect.h"
#include "event.h"
#include "refusal.h"
#include "retry-window.h"
#include "table.h"

/*
 * Calls that are relayed to an upstream unchanged, with the upstream's own
 * answer. Engines queue and admit by rank, so a call waits nowhere here. The
 * bytes stay with the programs around the core.
 */

#define CT_RELAYS_MAX 16384
#define CT_RELAY_TRIED_MAX 8

struct ct_relay {
    struct ct_request_id id;
    /* 0 once the caller has left. */
    uint64_t caller;
    uint64_t stored_caller;
    struct ct_handle organisation;
    struct ct_handle route;
    struct ct_handle pool;
    enum ct_repeat repeat;
    bool stream;
    uint32_t rank;
    uint32_t attempts_max;
    uint64_t prefix_hash;
    uint32_t prompt_tokens;
    ct_ms arrived_ms;
    /* End of the caller's patience and of the route's time limit. */
    ct_ms until_ms;
    /* What the call was judged by. */
    int64_t config_version;
    ct_ms knowledge_age_ms;

    struct ct_handle attempt;
    /* Attempts of which bytes left this host, and those of which none did. */
    uint32_t sends;
    uint32_t unsent;
    struct ct_handle tried[CT_RELAY_TRIED_MAX];
    uint32_t n_tried;
    /* An upstream may have run it, as far as this host can know. */
    bool may_have_run;
    /* The same, of attempts that are over. */
    bool ran_before;
    /* Counted for its organisation: its first event or answer came. */
    bool counted;
    /* The caller was given the head of an answer. */
    bool begun;
    uint64_t last_event;
    ct_ms first_event_ms;
    /* Of the last attempt that is over, for the log. */
    struct ct_name last_upstream;
    enum ct_outcome last_outcome;
};

struct ct_relay_attempt {
    struct ct_handle relay;
    struct ct_handle upstream;
    ct_ms started_ms;
    bool sent;
    /* An event of its answer came. */
    bool heard;
};

struct ct_relays {
    struct ct_table rows;
    struct ct_table attempts;
    GHashTable *by_caller;
    /* struct ct_retry_window, by index of the pool's row. */
    GArray *windows;
    /* When the last call arrived. */
    ct_ms arrived_ms;
};

struct ct_state;

void ct_relays_init(struct ct_relays *relays);
void ct_relays_free(struct ct_relays *relays);

void ct_relay_on_arrived(struct ct_state *state,
                         const struct ct_relay_call *call);
void ct_relay_on_caller_disconnected(struct ct_state *state, uint64_t caller);
/* The process ends: what still waits is told so, rather than cut off. */
void ct_relays_abort_all(struct ct_state *state);
/* CT_TIMER_RELAY: the time of the call is over. */
void ct_relay_on_timer(struct ct_state *state, struct ct_handle handle);

/* The bound of repeats to a pool; NULL where memory is gone. */
struct ct_retry_window *ct_relay_window(struct ct_state *state,
                                        struct ct_handle pool);

/* Refuses the call or breaks off its answer; the row is gone after it. */
void ct_relay_fail(struct ct_state *state, struct ct_handle handle,
                   enum ct_refusal reason);
/* The answer was handed over whole; the row is gone after it. */
void ct_relay_complete(struct ct_state *state, struct ct_handle handle,
                       uint32_t status);

/* relay-attempt.c */

/* Sends the call to an upstream, or fails it where there is none. */
void ct_relay_send(struct ct_state *state, struct ct_handle handle);
void ct_relay_cancel(struct ct_state *state, struct ct_relay *relay);
void ct_relay_on_sent(struct ct_state *state,
                      const struct ct_relay_progress *progress);
void ct_relay_on_data(struct ct_state *state,
                      const struct ct_relay_progress *progress);
void ct_relay_on_done(struct ct_state *state,
                      const struct ct_relay_progress *progress);

/* A log event about the call. */
struct ct_log_effect *ct_relay_log(struct ct_state *state,
                                   const struct ct_relay *relay,
                                   enum ct_log_event event);

#endif
