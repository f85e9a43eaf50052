#ifndef CT_RELAY_H
#define CT_RELAY_H

#include <glib.h>

#include "effect.h"
#include "event.h"
#include "memory-budget.h"
#include "refusal.h"
#include "retry-window.h"
#include "table.h"
#include "upstream-speed.h"

/*
 * Calls relayed unchanged to an upstream, whose response goes to the caller
 * as it is. Calls are not queued here, since engines queue and admit them by
 * rank. The programs around the core hold the bytes of calls and responses.
 */

#define CT_RELAYS_MAX 16384
#define CT_RELAY_TRIED_MAX 8

/*
 * Charged for a running call besides its body: the connection to its upstream,
 * and the least that is buffered of a stream.
 */
#define CT_RELAY_CALL_BYTES (64 * 1024)

struct ct_relay {
    struct ct_request_id id;
    /* 0 once the caller has disconnected. */
    uint64_t caller;
    /* The caller's number under which the call's bytes are stored. */
    uint64_t stored_caller;
    struct ct_handle organisation;
    struct ct_handle route;
    struct ct_handle pool;
    enum ct_repeat repeat;
    bool stream;
    /* Level of priority at the engine, by rank-levels.h. */
    uint32_t rank;
    uint32_t attempts_max;
    uint64_t prefix_hash;
    struct ct_prompt_parts parts;
    uint32_t prompt_tokens;
    ct_ms arrived_ms;
    /* Earlier of the caller's deadline and the route's time limit. */
    ct_ms deadline_ms;
    /* Configuration by which the call was admitted, and its age. */
    int64_t config_version;
    ct_ms config_age_ms;

    struct ct_handle attempt;
    /* When the call began to wait for a limited upstream; 0 if it does not. */
    ct_ms waiting_since_ms;
    /* Attempts that sent bytes to an upstream, and those that sent none. */
    uint32_t sent_attempts;
    uint32_t unsent_attempts;
    struct ct_handle tried[CT_RELAY_TRIED_MAX];
    uint32_t n_tried;
    /* Holds a copy of the attempt's cache, see relay-backup.h. */
    struct ct_handle backup;
    /* An upstream may have run the call, as far as this host knows. */
    bool may_have_run;
    /* An attempt that has ended may have run the call. */
    bool earlier_may_have_run;
    /* The call's first event or response was counted for its organisation. */
    bool usage_counted;
    /* The head of a response was forwarded to the caller. */
    bool response_started;
    uint64_t last_event;
    ct_ms first_event_ms;
    /* Upstream and outcome of the last attempt that ended, for the log. */
    struct ct_name last_upstream;
    enum ct_outcome last_outcome;
};

struct ct_relay_attempt {
    struct ct_handle relay;
    struct ct_handle upstream;
    ct_ms started_ms;
    bool sent;
    /* An event of the attempt's response was received. */
    bool first_event_seen;
    struct ct_stream_timing timing;
};

struct ct_relays {
    struct ct_table rows;
    struct ct_table attempts;
    GHashTable *by_caller;
    /* struct ct_retry_window, by the index of the pool's row. */
    GArray *retry_windows;
    /* Time at which the last call arrived. */
    ct_ms arrived_ms;
    /* Arrived calls whose callers do not have their whole response yet. */
    struct ct_memory_budget budget;
};

struct ct_state;

void ct_relays_init(struct ct_relays *relays);
void ct_relays_free(struct ct_relays *relays);

/*
 * CT_EVENT_RELAY_HEAD_ARRIVED: returns whether the call may run, and for whom,
 * or refuses it.
 */
bool ct_relay_on_head(struct ct_state *state, const struct ct_relay_call *call,
                      struct ct_handle *organisation, uint32_t *rank);
/* CT_EVENT_RELAY_CALL_REJECTED */
void ct_relay_on_rejected(struct ct_state *state,
                          const struct ct_call_rejected *rejected);
void ct_relay_on_arrived(struct ct_state *state,
                         const struct ct_relay_call *call);
/* CT_EVENT_RELAY_CALL_DELIVERED */
void ct_relay_on_delivered(struct ct_state *state, uint64_t caller);
void ct_relay_on_caller_disconnected(struct ct_state *state, uint64_t caller);
/*
 * Ends all calls before the process exits, so that callers which received no
 * response yet get a refusal instead of a closed connection.
 */
void ct_relays_abort_all(struct ct_state *state);
/* CT_TIMER_RELAY: fails the call, whose time limit has passed. */
void ct_relay_on_timer(struct ct_state *state, struct ct_handle handle);

/* relay-attempt.c */

/*
 * Starts an attempt at an upstream; fails the call if there is none. If all
 * are limited and one is free soon, the call waits for it.
 */
void ct_relay_send(struct ct_state *state, struct ct_handle handle);
/* CT_TIMER_RELAY_WAIT: tries again to send a call that waits. */
void ct_relay_on_wait_timer(struct ct_state *state, struct ct_handle handle);
void ct_relay_on_sent(struct ct_state *state,
                      const struct ct_relay_progress *progress);
/* Returns the upstream of the attempt, or CT_NO_HANDLE if it has ended. */
struct ct_handle
ct_relay_attempt_upstream(const struct ct_state *state,
                          const struct ct_relay_progress *progress);
/* CT_EVENT_RELAY_ATTEMPT_HELD: ends the largest response if memory is short.
 */
void ct_relay_on_held(struct ct_state *state,
                      const struct ct_relay_progress *progress);
void ct_relay_on_data(struct ct_state *state,
                      const struct ct_relay_progress *progress);
void ct_relay_on_done(struct ct_state *state,
                      const struct ct_relay_progress *progress);

#endif
