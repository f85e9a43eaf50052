#include "reduce-callers.h"

#include "error.h"
#include "limited-log.h"
#include "rank-levels.h"
#include "state.h"

/* Least urgent rank, for whose calls most room must be left. */
#define LAST_RANK (CT_RANK_LEVELS - 1)

/* New calls go before responses that their callers do not read. */
static void
make_room(struct ct_state *state)
{
    ct_unread_responses_make_room(state, LAST_RANK);
}

void
ct_reduce_bodies_timer(struct ct_state *state)
{
    if (state->bodies.waiting > 0) {
        make_room(state);
    }
    ct_bodies_on_timer(state);
}

/* A call is admitted at its head, before its body is read. */
static void
on_relay_head(struct ct_state *state, const struct ct_relay_call *call)
{
    struct ct_handle organisation;
    uint32_t rank;

    if (ct_relay_on_head(state, call, &organisation, &rank)) {
        ct_bodies_open(state, call, organisation, rank);
    }
}

int
ct_reduce_caller_event(struct ct_state *state, const struct ct_event *event)
{
    switch (event->type) {
    case CT_EVENT_RELAY_HEAD_ARRIVED:
        on_relay_head(state, &event->u.relay);
        return CT_OK;
    case CT_EVENT_RELAY_BODY_PROGRESS:
        ct_bodies_on_progress(state, &event->u.body_progress);
        return CT_OK;
    case CT_EVENT_RELAY_CALL_REJECTED:
        ct_bodies_close(state, event->u.rejected.caller);
        ct_relay_on_rejected(state, &event->u.rejected);
        return CT_OK;
    case CT_EVENT_RELAY_CONNECTION_REFUSED:
        ct_increment_counter(state, CT_COUNTER_CONNECTIONS_REFUSED);
        ct_limited_log(state, CT_LOG_CONNECTIONS_REFUSED,
                       event->u.peer_limit ? "peer" : "total");
        return CT_OK;
    case CT_EVENT_RELAY_RESPONSE_UNREAD:
        ct_unread_responses_on_report(state, &event->u.unread);
        return CT_OK;
    case CT_EVENT_RELAY_CALL_ARRIVED:
        ct_bodies_close(state, event->u.relay.caller);
        make_room(state);
        ct_relay_on_arrived(state, &event->u.relay);
        ct_bodies_grant(state);
        return CT_OK;
    case CT_EVENT_RELAY_CALLER_DISCONNECTED:
        ct_bodies_close(state, event->u.caller);
        ct_unread_responses_close(state, event->u.caller);
        ct_relay_on_caller_disconnected(state, event->u.caller);
        ct_bodies_grant(state);
        return CT_OK;
    case CT_EVENT_RELAY_CALL_DELIVERED:
        ct_unread_responses_close(state, event->u.caller);
        ct_relay_on_delivered(state, event->u.caller);
        ct_bodies_grant(state);
        return CT_OK;
    default:
        return CT_ERR_INVALID;
    }
}
