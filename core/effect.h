#ifndef CT_EFFECT_H
#define CT_EFFECT_H

#include "clock.h"
#include "event.h"
#include "name.h"
#include "peer-message.h"
#include "record.h"
#include "refusal.h"
#include "rows.h"
#include "table.h"

/*
 * What the reducer wants done. Effects are flat values; the programs around
 * the core carry them out in order and answer with events.
 */

enum ct_effect_type {
    /* Send CT_EVENT_TICK at this monotonic time; replaces the earlier one. */
    CT_EFFECT_SCHEDULE_TICK = 1,

    /* Callers. */
    CT_EFFECT_WRITE_HEAD,
    CT_EFFECT_WRITE_DATA,
    CT_EFFECT_WRITE_END,
    CT_EFFECT_REFUSE_REQUEST,
    CT_EFFECT_REPLY_ADDRESSES,
    CT_EFFECT_REPLY_EXPLAIN,
    /* The answer is kept by another host; redirect the caller there. */
    CT_EFFECT_REDIRECT,
    /*
     * Answers CT_EVENT_KEY_WITHDRAWAL_REQUESTED; rows: struct ct_host_row of
     * all hosts, with leaving set for those that did not confirm.
     */
    CT_EFFECT_REPLY_WITHDRAWAL,

    /* Upstreams. */
    CT_EFFECT_START_ATTEMPT,
    CT_EFFECT_CANCEL_ATTEMPT,
    /* The stored bytes of a request's answer may be freed. */
    CT_EFFECT_FREE_RESPONSE,

    /* The platform. */
    CT_EFFECT_READ_LOG,
    CT_EFFECT_APPEND_LOG,
    CT_EFFECT_ORDER_UPSTREAM,
    CT_EFFECT_REPORT_USAGE,

    /* Peers. */
    CT_EFFECT_SEND_PEER_MESSAGE,
    /* rows: struct ct_host; the links that should stand */
    CT_EFFECT_SET_PEERS,

    /* Calls that are relayed unchanged. */
    CT_EFFECT_RELAY_START_ATTEMPT,
    CT_EFFECT_RELAY_CANCEL_ATTEMPT,
    /* Hands bytes of an attempt's answer to the caller. */
    CT_EFFECT_RELAY_FORWARD_RESPONSE,
    /* Breaks off an answer that began, so that it cannot look complete. */
    CT_EFFECT_RELAY_ABORT_RESPONSE,
    /* Bounds on what callers may send. */
    CT_EFFECT_SET_CALLER_LIMITS,

    /* The platform's store. */
    CT_EFFECT_STORE_READ,
    /* rows: struct ct_tally_row */
    CT_EFFECT_STORE_APPEND,
    CT_EFFECT_STORE_JOIN,
    CT_EFFECT_STORE_LEAVE,
    CT_EFFECT_STORE_READ_MEMBERS,

    /* Calls that one host makes for all. rows: struct ct_tally_row */
    CT_EFFECT_DUTY_REPORT_USAGE,
    CT_EFFECT_DUTY_ORDER_UPSTREAMS,

    /* Nothing is left that a stop would cut; the process may end. */
    CT_EFFECT_DRAINED,
    CT_EFFECT_LOG_EVENT,
};

struct ct_write_effect {
    uint64_t caller;
    struct ct_handle request;
    struct ct_request_id request_id;
    uint32_t status;
    bool stream;
    /* Part of the stored answer to write. */
    uint64_t offset;
    uint32_t bytes;
    /* CT_EFFECT_WRITE_END: 0, or why the answer is not whole. */
    bool whole;
    enum ct_refusal reason;
};

struct ct_refuse_effect {
    uint64_t caller;
    struct ct_request_id request_id;
    enum ct_refusal reason;
    enum ct_run_state run_state;
    ct_ms retry_after_ms;
};

struct ct_addresses_effect {
    uint64_t caller;
    ct_ms lifetime_ms;
};

struct ct_explain_effect {
    uint64_t caller;
    bool found;
    struct ct_refusal_row refusal;
};

struct ct_redirect_effect {
    uint64_t caller;
    struct ct_address address;
    struct ct_request_id request_id;
    uint64_t offset;
};

struct ct_attempt_effect {
    struct ct_handle attempt;
    struct ct_handle request;
    /* Whose stored body is sent. */
    uint64_t caller;
    struct ct_request_id request_id;
    enum ct_call_kind kind;
    struct ct_path path;
    struct ct_name upstream;
    struct ct_name pool;
    struct ct_address address;
    uint32_t priority;
    /* No reused connection and no repeat below us. */
    bool once;
    /* Bytes of the answer that are already there; resume after them. */
    uint64_t resume_offset;
    ct_ms gap_timeout_ms;
    /* Not to be started at or after this monotonic time. */
    ct_ms not_after_ms;
};

struct ct_order_effect {
    struct ct_order order;
    /* Last moment at which the order may leave. */
    ct_ms not_after_ms;
    ct_ms timeout_ms;
};

struct ct_report_effect {
    struct ct_usage_window window;
    ct_ms not_after_ms;
    ct_ms timeout_ms;
};

struct ct_append_effect {
    struct ct_record record;
    ct_ms not_after_ms;
};

struct ct_peer_effect {
    struct ct_name peer;
    struct ct_peer_message message;
};

/* Numbered log events: X(name, number, level, text). See docs/EVENTS.md. */
#define CT_LOG_EVENTS(X)                                                      \
    X(READY, 1001, INFO, "serving: the log was read to its head")             \
    X(NOT_CURRENT, 1002, WARNING, "stopped serving: may not be current")      \
    X(HOST_STARTED, 1003, INFO, "started; follows the store")                 \
    X(CONFIG_ACCEPTED, 1101, INFO, "configuration in force")                  \
    X(CONFIG_REJECTED, 1102, WARNING, "configuration lost a race")            \
    X(KEY_GRANTED, 1111, INFO, "key granted")                                 \
    X(KEY_WITHDRAWN, 1112, INFO, "key withdrawn")                             \
    X(LOG_OUTAGE, 1121, WARNING, "the log does not answer")                   \
    X(LOG_BACK, 1122, INFO, "the log answers again")                          \
    X(SNAPSHOT_USED, 1123, INFO, "state taken from a snapshot")               \
    X(RECORD_BAD, 1124, ERROR, "a log record cannot be understood")           \
    X(REFUSED, 1201, INFO, "request refused")                                 \
    X(ATTEMPT_FAILED, 1202, INFO, "attempt failed")                           \
    X(ANSWER_BROKEN, 1203, WARNING, "answer ended with an error")             \
    X(UPSTREAM_EJECTED, 1301, WARNING, "upstream taken out")                  \
    X(UPSTREAM_BACK, 1302, INFO, "upstream taken back")                       \
    X(PEER_UP, 1401, INFO, "peer link stands")                                \
    X(PEER_DOWN, 1402, WARNING, "peer link lost")                             \
    X(LEASE_TAKEN, 1501, INFO, "lease taken")                                 \
    X(LEASE_LOST, 1502, WARNING, "lease lost")                                \
    X(ORDER_SENT, 1511, INFO, "order for upstreams sent")                     \
    X(ORDER_RESULT, 1512, INFO, "order for upstreams answered")               \
    X(USAGE_REPORTED, 1521, INFO, "usage window reported")                    \
    X(DUTY_REFUSED, 1522, WARNING, "call for all hosts not accepted")         \
    X(USAGE_FIXED, 1523, INFO, "usage window fixed")                          \
    X(DRAIN_STARTED, 1601, INFO, "drain started")                             \
    X(DRAIN_DONE, 1602, INFO, "drain finished")                               \
    X(RELAY_ENDED, 1701, INFO, "relayed call answered")                       \
    X(RELAY_REFUSED, 1702, INFO, "relayed call refused")                      \
    X(RELAY_BROKEN, 1703, WARNING, "relayed answer broken off")               \
    X(RELAY_GONE, 1704, INFO, "caller of a relayed call left")                \
    X(RELAY_REPEATED, 1705, INFO, "relayed call sent once more")              \
    X(RELAY_RESUMED, 1706, INFO, "relayed stream goes on elsewhere")          \
    X(STORE_LOST, 1801, WARNING, "the store does not answer")                 \
    X(STORE_BACK, 1802, INFO, "the store answers again")                      \
    X(STORE_TRIMMED, 1803, INFO, "records are gone; newest ones read")        \
    X(STORE_ODD, 1804, WARNING, "entry of the store not understood")          \
    X(CONFIG_OLD, 1805, INFO, "older configuration passed over")              \
    X(UPSTREAM_LISTED, 1811, INFO, "upstream listed")                         \
    X(UPSTREAM_LEAVING, 1812, INFO, "upstream leaves")                        \
    X(UPSTREAM_GONE, 1813, INFO, "upstream gone from the list")               \
    X(MEMBER_UP, 1821, INFO, "host joined")                                   \
    X(MEMBER_DOWN, 1822, INFO, "host gone from the members")                  \
    X(BOUNDS_TAKEN, 1825, INFO, "bounds of the settings taken over")          \
    X(DUTY_TAKEN, 1831, INFO, "this host acts for all")                       \
    X(DUTY_LOST, 1832, INFO, "this host acts for all no more")                \
    X(FEED_FOLLOWED, 1841, INFO, "hears of the store from a host")            \
    X(FEED_LOST, 1842, INFO, "reads the store itself again")

enum ct_log_event {
#define X(name, number, level, text) CT_LOG_##name = (number),
    CT_LOG_EVENTS(X)
#undef X
};

struct ct_log_effect {
    enum ct_log_event event;
    /* Whom or what it is about; empty fields are left out. */
    struct ct_request_id request_id;
    struct ct_name name;
    struct ct_name other;
    /* A reason's or error's stable text, set from a constant name table. */
    struct ct_name reason;
    int64_t number;
    /* What a decision about a call rested on; 0 where it does not apply. */
    int64_t config_version;
    ct_ms knowledge_age_ms;
    ct_ms elapsed_ms;
    uint32_t attempts;
    uint32_t status;
    /* The upstream of the last attempt, and how that ended. */
    struct ct_name upstream;
    struct ct_name outcome;
};

struct ct_effect {
    enum ct_effect_type type;
    union {
        /* CT_EFFECT_SCHEDULE_TICK */
        ct_ms at_ms;
        struct ct_write_effect write;
        struct ct_refuse_effect refuse;
        struct ct_addresses_effect addresses;
        struct ct_explain_effect explain;
        struct ct_redirect_effect redirect;
        struct ct_attempt_effect attempt;
        /* CT_EFFECT_FREE_RESPONSE */
        struct ct_handle request;
        /* CT_EFFECT_READ_LOG: first offset wanted */
        int64_t offset;
        struct ct_append_effect log_append;
        struct ct_order_effect order;
        struct ct_report_effect report;
        struct ct_peer_effect peer;
        struct ct_log_effect log;
        /* CT_EFFECT_REPLY_WITHDRAWAL, CT_EFFECT_RELAY_ABORT_RESPONSE */
        uint64_t caller;
        struct ct_relay_start relay;
        struct ct_relay_forward forward;
        struct ct_caller_bounds bounds;
        struct ct_store_read_effect store_read;
        struct ct_store_append_effect store_append;
        struct ct_store_join_effect join;
        struct ct_duty_usage duty_usage;
        struct ct_duty_order duty_order;
    } u;
    /*
     * Rows of CT_EFFECT_REPLY_ADDRESSES (struct ct_host), CT_EFFECT_SET_PEERS,
     * CT_EFFECT_REPLY_WITHDRAWAL, and of the record, report or message.
     */
    struct ct_rows rows;
};

struct ct_effects {
    struct ct_effect *items;
    uint32_t n;
    uint32_t cap;
    /* Set when an effect could not be stored; the event must be undone. */
    int err;
};

void ct_effects_init(struct ct_effects *list);
void ct_effects_free(struct ct_effects *list);

/* Forgets all effects and frees their rows; keeps the array. */
void ct_effects_clear(struct ct_effects *list);

/*
 * Adds a zeroed effect. Never NULL: when memory is gone a scratch effect is
 * returned and list->err is set.
 */
struct ct_effect *ct_effects_add(struct ct_effects *list,
                                 enum ct_effect_type type);

/* Copies rows into the effect. Errors: CT_ERR_NO_MEMORY. */
int ct_effect_set_rows(struct ct_effects *list, struct ct_effect *effect,
                       struct ct_rows rows);

const char *ct_effect_name(enum ct_effect_type type);

#endif
