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
 * The outputs of the reducer. Effects are flat values; the programs around
 * the core execute them in order and report results as events.
 */

enum ct_effect_type {
    /*
     * Send CT_EVENT_TICK at this monotonic time; replaces an earlier
     * CT_EFFECT_SCHEDULE_TICK.
     */
    CT_EFFECT_SCHEDULE_TICK = 1,

    /* Callers. */
    CT_EFFECT_WRITE_HEAD,
    CT_EFFECT_WRITE_DATA,
    CT_EFFECT_WRITE_END,
    CT_EFFECT_REFUSE_REQUEST,
    CT_EFFECT_REPLY_ADDRESSES,
    CT_EFFECT_REPLY_EXPLAIN,
    /* Redirect the caller to the host that retains the response. */
    CT_EFFECT_REDIRECT,
    /*
     * Replies to CT_EVENT_KEY_WITHDRAWAL_REQUESTED; rows: struct ct_host_row
     * of all hosts, with leaving set for those that did not confirm.
     */
    CT_EFFECT_REPLY_WITHDRAWAL,

    /* Upstreams. */
    CT_EFFECT_START_ATTEMPT,
    CT_EFFECT_CANCEL_ATTEMPT,
    /* Free the stored bytes of the response to a request. */
    CT_EFFECT_FREE_RESPONSE,

    /* The platform. */
    CT_EFFECT_READ_LOG,
    CT_EFFECT_APPEND_LOG,
    CT_EFFECT_ORDER_UPSTREAM,
    CT_EFFECT_REPORT_USAGE,

    /* Peers. */
    CT_EFFECT_SEND_PEER_MESSAGE,
    /* rows: struct ct_host; the peers to be connected to */
    CT_EFFECT_SET_PEERS,

    /* Calls that are relayed unchanged. */
    CT_EFFECT_RELAY_START_ATTEMPT,
    CT_EFFECT_RELAY_CANCEL_ATTEMPT,
    /* Forwards bytes of an attempt's response to the caller. */
    CT_EFFECT_RELAY_FORWARD_RESPONSE,
    /*
     * Aborts a response that was partly sent, so that the caller cannot take
     * it for complete.
     */
    CT_EFFECT_RELAY_ABORT_RESPONSE,
    CT_EFFECT_RELAY_READ_BODY,
    /* Closes the caller's connection and frees what is buffered for it. */
    CT_EFFECT_RELAY_DISCONNECT_CALLER,
    /* Sets the limits on what callers may send. */
    CT_EFFECT_SET_CALLER_LIMITS,

    /* The platform's store. */
    CT_EFFECT_STORE_READ,
    /* rows: struct ct_tally_row */
    CT_EFFECT_STORE_APPEND,
    CT_EFFECT_STORE_APPEND_PARTS,
    CT_EFFECT_STORE_JOIN,
    CT_EFFECT_STORE_LEAVE,
    CT_EFFECT_STORE_READ_MEMBERS,

    /* Calls that only the leader makes. rows: struct ct_tally_row */
    CT_EFFECT_DUTY_REPORT_USAGE,
    CT_EFFECT_DUTY_ORDER_UPSTREAMS,

    /* No request is left that a stop would abort; the process may exit. */
    CT_EFFECT_DRAINED,
    CT_EFFECT_LOG_EVENT,
};

struct ct_write_effect {
    uint64_t caller;
    struct ct_handle request;
    struct ct_request_id request_id;
    uint32_t status;
    bool stream;
    /* Range of the stored response to write. */
    uint64_t offset;
    uint32_t bytes;
    /*
     * CT_EFFECT_WRITE_END: whether the response is complete; if not, reason
     * says why.
     */
    bool complete;
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

/* rows: struct ct_refusal_row, none if the request is not known */
struct ct_explain_effect {
    uint64_t caller;
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
    /* The caller whose stored request body is sent. */
    uint64_t caller;
    struct ct_request_id request_id;
    enum ct_call_kind kind;
    struct ct_path path;
    struct ct_name upstream;
    struct ct_name pool;
    struct ct_address address;
    uint32_t priority;
    /*
     * Sent on a new connection, because libcurl repeats a request on its own
     * when a reused connection fails.
     */
    bool at_most_once;
    /* Bytes of the response already received; the attempt resumes there. */
    uint64_t resume_offset;
    /* Longest wait for the head, and for the next event of a stream. */
    ct_ms gap_timeout_ms;
    /*
     * Longest time from the start to the end of a response that is not an
     * event stream.
     */
    ct_ms total_timeout_ms;
    /* The attempt must not start at or after this monotonic time. */
    ct_ms not_after_ms;
};

struct ct_order_effect {
    struct ct_order order;
    /* The order must not be sent at or after this monotonic time. */
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
    /*
     * The message is that of the CT_EFFECT_SEND_PEER_MESSAGE before, so that
     * it need not be encoded again.
     */
    bool repeats;
};

/* Numbered log events: X(name, number, level, text). See docs/EVENTS.md. */
#define CT_LOG_EVENTS(X)                                                      \
    X(READY, 1001, INFO, "serving: log replay reached the head")              \
    X(NOT_CURRENT, 1002, WARNING, "stopped serving: state may be outdated")   \
    X(HOST_STARTED, 1003, INFO, "relay host started")                         \
    X(CONFIG_ACCEPTED, 1101, INFO, "configuration applied")                   \
    X(CONFIG_REJECTED, 1102, WARNING, "configuration rejected")               \
    X(KEY_GRANTED, 1111, INFO, "key granted")                                 \
    X(KEY_WITHDRAWN, 1112, INFO, "key withdrawn")                             \
    X(LOG_OUTAGE, 1121, WARNING, "log unavailable")                           \
    X(LOG_BACK, 1122, INFO, "log available again")                            \
    X(SNAPSHOT_USED, 1123, INFO, "state loaded from a snapshot")              \
    X(RECORD_BAD, 1124, ERROR, "unknown or invalid log record")               \
    X(REFUSED, 1201, INFO, "request refused")                                 \
    X(ATTEMPT_FAILED, 1202, INFO, "attempt failed")                           \
    X(ANSWER_BROKEN, 1203, WARNING, "response ended with an error")           \
    X(UPSTREAM_EJECTED, 1301, WARNING, "upstream ejected")                    \
    X(UPSTREAM_BACK, 1302, INFO, "upstream readmitted")                       \
    X(PEER_UP, 1401, INFO, "peer connected")                                  \
    X(PEER_DOWN, 1402, WARNING, "peer disconnected")                          \
    X(LEASE_TAKEN, 1501, INFO, "lease acquired")                              \
    X(LEASE_LOST, 1502, WARNING, "lease lost")                                \
    X(ORDER_SENT, 1511, INFO, "upstream order sent")                          \
    X(ORDER_RESULT, 1512, INFO, "result of an upstream order")                \
    X(USAGE_REPORTED, 1521, INFO, "usage window reported")                    \
    X(DUTY_REFUSED, 1522, WARNING, "duty not accepted")                       \
    X(USAGE_FIXED, 1523, INFO, "usage window finalised")                      \
    X(DRAIN_STARTED, 1601, INFO, "drain started")                             \
    X(DRAIN_DONE, 1602, INFO, "drain finished")                               \
    X(RELAY_ENDED, 1701, INFO, "relayed call completed")                      \
    X(RELAY_REFUSED, 1702, INFO, "relayed call refused")                      \
    X(RELAY_BROKEN, 1703, WARNING, "relayed response aborted")                \
    X(RELAY_GONE, 1704, INFO, "caller of a relayed call disconnected")        \
    X(RELAY_REPEATED, 1705, INFO, "relayed call retried")                     \
    X(RELAY_RESUMED, 1706, INFO, "relayed stream resumed by a new attempt")   \
    X(RELAY_PART_LOST, 1707, INFO,                                            \
      "prompt part of a call whose upstream failed")                          \
    X(PART_QUARANTINED, 1711, WARNING, "prompt part quarantined")             \
    X(PART_RELEASED, 1712, INFO, "prompt part released")                      \
    X(STORE_LOST, 1801, WARNING, "store unavailable")                         \
    X(STORE_BACK, 1802, INFO, "store available again")                        \
    X(STORE_TRIMMED, 1803, INFO, "records trimmed; reading newest entries")   \
    X(STORE_ODD, 1804, WARNING, "invalid store entry")                        \
    X(CONFIG_OLD, 1805, INFO, "older configuration ignored")                  \
    X(CONFIG_PARTIAL, 1806, WARNING, "items of a configuration left out")     \
    X(UPSTREAM_LISTED, 1811, INFO, "upstream listed")                         \
    X(UPSTREAM_LEAVING, 1812, INFO, "upstream leaving")                       \
    X(UPSTREAM_GONE, 1813, INFO, "upstream removed from the list")            \
    X(UPSTREAM_LIMITED, 1815, INFO, "upstream announced a rate limit")        \
    X(UPSTREAM_UNLIMITED, 1816, INFO, "upstream lifted its rate limit")       \
    X(UPSTREAM_SAYS_LEAVING, 1817, INFO, "upstream announced its drain")      \
    X(UPSTREAM_PAUSED, 1818, INFO, "upstream asked for a pause")              \
    X(UPSTREAM_NOTICE_BAD, 1819, WARNING, "upstream's notice ignored")        \
    X(MEMBER_UP, 1821, INFO, "host joined")                                   \
    X(MEMBER_DOWN, 1822, INFO, "host missing from the member list")           \
    X(BOUNDS_TAKEN, 1825, INFO, "bounds reloaded from the settings")          \
    X(DUTY_TAKEN, 1831, INFO, "this host became the leader")                  \
    X(DUTY_LOST, 1832, INFO, "this host is no longer the leader")             \
    X(FEED_FOLLOWED, 1841, INFO, "following a source of store updates")       \
    X(FEED_LOST, 1842, INFO, "no source; reading the store directly")         \
    X(BODIES_SHED, 1851, WARNING, "request bodies refused for memory")        \
    X(BODIES_STALLED, 1852, INFO, "request bodies without progress refused")  \
    X(BODIES_WAITING, 1853, INFO, "request bodies wait for memory")           \
    X(BODIES_OF_PEER, 1854, WARNING, "unfinished requests of a peer refused") \
    X(CONNECTIONS_REFUSED, 1855, WARNING, "connections refused")              \
    X(RESPONSES_UNREAD, 1856, WARNING, "unread responses aborted")            \
    X(CALLS_REJECTED, 1857, INFO, "calls rejected at their head")             \
    X(ZONE_EVACUATED, 1861, WARNING, "availability zone evacuated")           \
    X(ZONE_RESTORED, 1862, INFO, "evacuation of a zone ended")                \
    X(EVACUATION_UNKNOWN_ZONE, 1863, WARNING,                                 \
      "evacuated zone has no upstream")                                       \
    X(ZONE_DRAINED, 1864, INFO, "evacuated zone has no more calls")           \
    X(UPSTREAM_COLD, 1865, INFO, "upstream is cold")                          \
    X(UPSTREAM_WARM, 1866, INFO, "upstream is warm")                          \
    X(COLD_LIST_OLD, 1867, WARNING,                                           \
      "member list too old for calls to cold upstreams")                      \
    X(COLD_LIST_CURRENT, 1868, INFO,                                          \
      "member list current enough for calls to cold upstreams")               \
    X(LOAD_KNOWN, 1871, INFO, "load of other hosts known")                    \
    X(LOAD_UNKNOWN, 1872, WARNING, "load of other hosts unknown")             \
    X(LOAD_PART_EXPIRED, 1873, INFO, "load report of a host expired")         \
    X(LOAD_OUT_OF_ORDER, 1874, WARNING, "older load report ignored")          \
    X(LOAD_UNREADABLE, 1875, WARNING, "load report without its list ignored") \
    X(ZONE_UNREACHABLE, 1881, WARNING, "availability zone is unreachable")    \
    X(ZONE_REACHED, 1882, INFO, "availability zone is reached again")

enum ct_log_event {
#define X(name, number, level, text) CT_LOG_##name = (number),
    CT_LOG_EVENTS(X)
#undef X
};

struct ct_log_effect {
    enum ct_log_event event;
    /* Subject of the event; empty fields are left out. */
    struct ct_request_id request_id;
    struct ct_name name;
    struct ct_name other;
    /* Stable text of a reason or error, from a constant name table. */
    struct ct_name reason;
    int64_t number;
    /*
     * Version and age of the configuration that was applied to a relayed call;
     * 0 for other events.
     */
    int64_t config_version;
    ct_ms config_age_ms;
    ct_ms elapsed_ms;
    uint32_t attempts;
    uint32_t status;
    /* Upstream of the last attempt and the attempt's outcome. */
    struct ct_name upstream;
    struct ct_name outcome;
    /* Id of a prompt part; 0 for none. */
    uint64_t prompt_part;
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
        /* CT_EFFECT_READ_LOG: first offset to read */
        int64_t offset;
        struct ct_append_effect log_append;
        struct ct_order_effect order;
        struct ct_report_effect report;
        struct ct_peer_effect peer;
        struct ct_log_effect log;
        /*
         * CT_EFFECT_REPLY_WITHDRAWAL, CT_EFFECT_RELAY_ABORT_RESPONSE,
         * CT_EFFECT_RELAY_DISCONNECT_CALLER
         */
        uint64_t caller;
        struct ct_relay_start relay;
        struct ct_relay_forward forward;
        struct ct_body_grant body_grant;
        struct ct_caller_bounds bounds;
        struct ct_store_read_effect store_read;
        struct ct_store_append_effect store_append;
        struct ct_part_record part_record;
        struct ct_store_join_effect join;
        struct ct_duty_usage duty_usage;
        struct ct_duty_order duty_order;
    } u;
    /*
     * Rows of CT_EFFECT_REPLY_ADDRESSES (struct ct_host), CT_EFFECT_SET_PEERS
     * and CT_EFFECT_REPLY_WITHDRAWAL, and rows of a record, report or message.
     */
    struct ct_rows rows;
    /* The rows belong to an earlier effect of the list. */
    bool rows_borrowed;
};

struct ct_effects {
    struct ct_effect *items;
    uint32_t n;
    uint32_t cap;
    /* Set if an effect could not be stored; the event must be undone. */
    int err;
};

void ct_effects_init(struct ct_effects *list);
void ct_effects_free(struct ct_effects *list);

/* Removes all effects and frees their rows; the array stays allocated. */
void ct_effects_clear(struct ct_effects *list);

/*
 * Adds a zeroed effect. Never returns NULL: when out of memory it returns a
 * scratch effect and sets list->err.
 */
struct ct_effect *ct_effects_add(struct ct_effects *list,
                                 enum ct_effect_type type);

/* Copies rows into the effect. Errors: CT_ERR_NO_MEMORY. */
int ct_effect_set_rows(struct ct_effects *list, struct ct_effect *effect,
                       struct ct_rows rows);

const char *ct_effect_name(enum ct_effect_type type);

#endif
