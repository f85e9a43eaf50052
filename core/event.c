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
    };

    if (type < CT_EVENT_TICK || type > CT_EVENT_KEY_HANDED) {
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
