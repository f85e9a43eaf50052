#include "event.h"

const char *
ct_event_name(enum ct_event_type type)
{
    static const char *const names[] = {
        [CT_EVENT_TICK] = "tick",
        [CT_EVENT_CALL_ARRIVED] = "call-arrived",
        [CT_EVENT_CALL_REJECTED] = "call-rejected",
        [CT_EVENT_CALL_GONE] = "call-gone",
        [CT_EVENT_ANSWER_ASKED] = "answer-asked",
        [CT_EVENT_ADDRESSES_ASKED] = "addresses-asked",
        [CT_EVENT_EXPLAIN_ASKED] = "explain-asked",
        [CT_EVENT_ATTEMPT_SENT] = "attempt-sent",
        [CT_EVENT_ATTEMPT_HEAD] = "attempt-head",
        [CT_EVENT_ATTEMPT_DATA] = "attempt-data",
        [CT_EVENT_ATTEMPT_DONE] = "attempt-done",
        [CT_EVENT_LOAD_REPORT] = "load-report",
        [CT_EVENT_LOG_ENTRY] = "log-entry",
        [CT_EVENT_LOG_HEAD] = "log-head",
        [CT_EVENT_LOG_FAILED] = "log-failed",
        [CT_EVENT_APPEND_DONE] = "append-done",
        [CT_EVENT_PEER_UP] = "peer-up",
        [CT_EVENT_PEER_DOWN] = "peer-down",
        [CT_EVENT_PEER_MESSAGE] = "peer-message",
        [CT_EVENT_HOST_LIST] = "host-list",
        [CT_EVENT_UPSTREAM_LIST] = "upstream-list",
        [CT_EVENT_ORDER_DONE] = "order-done",
        [CT_EVENT_REPORT_DONE] = "report-done",
        [CT_EVENT_DRAIN] = "drain",
        [CT_EVENT_KEY_HANDED] = "key-handed",
        [CT_EVENT_RELAY_BEGIN] = "relay-begin",
        [CT_EVENT_RELAY_BOUNDS] = "relay-bounds",
        [CT_EVENT_RELAY_ARRIVED] = "relay-arrived",
        [CT_EVENT_RELAY_GONE] = "relay-gone",
        [CT_EVENT_RELAY_SENT] = "relay-sent",
        [CT_EVENT_RELAY_DATA] = "relay-data",
        [CT_EVENT_RELAY_DONE] = "relay-done",
        [CT_EVENT_STORE_CONFIG] = "store-config",
        [CT_EVENT_STORE_UPSTREAM] = "store-upstream",
        [CT_EVENT_STORE_TALLY] = "store-tally",
        [CT_EVENT_STORE_FINAL] = "store-final",
        [CT_EVENT_STORE_ODD] = "store-odd",
        [CT_EVENT_STORE_READ] = "store-read",
        [CT_EVENT_STORE_APPENDED] = "store-appended",
        [CT_EVENT_STORE_JOINED] = "store-joined",
        [CT_EVENT_STORE_MEMBERS] = "store-members",
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
