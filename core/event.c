#include "event.h"

const char *
ct_event_name(enum ct_event_type type)
{
    static const char *const names[] = {
        [CT_EVENT_TICK] = "tick",
        [CT_EVENT_CALL_ARRIVED] = "call-arrived",
        [CT_EVENT_CALL_REJECTED] = "call-rejected",
        [CT_EVENT_CALLER_DISCONNECTED] = "call-gone",
        [CT_EVENT_RESPONSE_REQUESTED] = "answer-asked",
        [CT_EVENT_ADDRESSES_REQUESTED] = "addresses-asked",
        [CT_EVENT_EXPLAIN_REQUESTED] = "explain-asked",
        [CT_EVENT_ATTEMPT_SENT] = "attempt-sent",
        [CT_EVENT_ATTEMPT_HEAD] = "attempt-head",
        [CT_EVENT_ATTEMPT_DATA] = "attempt-data",
        [CT_EVENT_ATTEMPT_DONE] = "attempt-done",
        [CT_EVENT_LOAD_REPORT] = "load-report",
        [CT_EVENT_LOG_ENTRY] = "log-entry",
        [CT_EVENT_LOG_HEAD] = "log-head",
        [CT_EVENT_LOG_FAILED] = "log-failed",
        [CT_EVENT_LOG_APPEND_DONE] = "append-done",
        [CT_EVENT_PEER_UP] = "peer-up",
        [CT_EVENT_PEER_DOWN] = "peer-down",
        [CT_EVENT_PEER_MESSAGE] = "peer-message",
        [CT_EVENT_HOST_LIST] = "host-list",
        [CT_EVENT_UPSTREAM_LIST] = "upstream-list",
        [CT_EVENT_UPSTREAM_ORDER_DONE] = "order-done",
        [CT_EVENT_USAGE_REPORT_DONE] = "report-done",
        [CT_EVENT_DRAIN] = "drain",
        [CT_EVENT_KEY_WITHDRAWAL_REQUESTED] = "key-handed",
        [CT_EVENT_RELAY_HOST_STARTED] = "relay-begin",
        [CT_EVENT_RELAY_BOUNDS_CHANGED] = "relay-bounds",
        [CT_EVENT_RELAY_HEAD_ARRIVED] = "relay-head-arrived",
        [CT_EVENT_RELAY_BODY_PROGRESS] = "relay-body",
        [CT_EVENT_RELAY_CALL_REJECTED] = "relay-rejected",
        [CT_EVENT_RELAY_CONNECTION_REFUSED] = "relay-connection-refused",
        [CT_EVENT_RELAY_CALL_ARRIVED] = "relay-arrived",
        [CT_EVENT_RELAY_CALLER_DISCONNECTED] = "relay-gone",
        [CT_EVENT_RELAY_CALL_DELIVERED] = "relay-delivered",
        [CT_EVENT_RELAY_RESPONSE_UNREAD] = "relay-unread",
        [CT_EVENT_RELAY_ATTEMPT_SENT] = "relay-sent",
        [CT_EVENT_RELAY_ATTEMPT_HEAD] = "relay-head",
        [CT_EVENT_RELAY_ATTEMPT_HELD] = "relay-held",
        [CT_EVENT_RELAY_ATTEMPT_DATA] = "relay-data",
        [CT_EVENT_RELAY_ATTEMPT_DONE] = "relay-done",
        [CT_EVENT_STORE_CONFIG] = "store-config",
        [CT_EVENT_STORE_EVACUATION] = "store-evacuation",
        [CT_EVENT_STORE_UPSTREAM] = "store-upstream",
        [CT_EVENT_STORE_TALLY] = "store-tally",
        [CT_EVENT_STORE_FINAL] = "store-final",
        [CT_EVENT_STORE_PARTS] = "store-parts",
        [CT_EVENT_STORE_INVALID_ENTRY] = "store-odd",
        [CT_EVENT_STORE_READ_DONE] = "store-read",
        [CT_EVENT_STORE_APPEND_DONE] = "store-appended",
        [CT_EVENT_STORE_JOIN_DONE] = "store-joined",
        [CT_EVENT_STORE_MEMBERS_READ] = "store-members",
        [CT_EVENT_DUTY_DONE] = "duty-done",
    };

    if (type < CT_EVENT_TICK || type > CT_EVENT_DUTY_DONE) {
        return "unknown";
    }
    return names[type];
}

struct ct_rows *
ct_event_rows(struct ct_event *event)
{
    switch (event->type) {
    case CT_EVENT_LOG_ENTRY:
        return &event->u.entry.record.rows;
    case CT_EVENT_PEER_MESSAGE:
        return &event->u.peer.message.rows;
    default:
        return &event->rows;
    }
}
