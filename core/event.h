#ifndef CT_EVENT_H
#define CT_EVENT_H

#include "bounds.h"
#include "clock.h"
#include "config-row.h"
#include "name.h"
#include "outcome.h"
#include "peer-message.h"
#include "record.h"
#include "relay-types.h"
#include "rows.h"
#include "store-types.h"
#include "table.h"

/*
 * The inputs of the reducer. An event is a flat value: a fixed part and at
 * most one array of flat rows. Its times are read from the host's clocks when
 * the event is created.
 */

enum ct_event_type {
    /*
     * Runs timers that are due; sent at or after the time of the last
     * CT_EFFECT_SCHEDULE_TICK.
     */
    CT_EVENT_TICK = 1,

    /* Callers. */
    CT_EVENT_CALL_ARRIVED,
    /* The front end rejected a request before it had parsed all of it. */
    CT_EVENT_CALL_REJECTED,
    CT_EVENT_CALLER_DISCONNECTED,
    /* A caller requests the response to an earlier request again. */
    CT_EVENT_RESPONSE_REQUESTED,
    CT_EVENT_ADDRESSES_REQUESTED,
    CT_EVENT_EXPLAIN_REQUESTED,

    /* Upstream attempts. */
    CT_EVENT_ATTEMPT_SENT,
    CT_EVENT_ATTEMPT_HEAD,
    CT_EVENT_ATTEMPT_DATA,
    CT_EVENT_ATTEMPT_DONE,
    CT_EVENT_LOAD_REPORT,

    /* The platform's log. */
    CT_EVENT_LOG_ENTRY,
    CT_EVENT_LOG_HEAD,
    CT_EVENT_LOG_FAILED,
    CT_EVENT_LOG_APPEND_DONE,

    /* Peers. */
    CT_EVENT_PEER_UP,
    CT_EVENT_PEER_DOWN,
    CT_EVENT_PEER_MESSAGE,
    /* rows: struct ct_host_row, the platform's list, which may be outdated */
    CT_EVENT_HOST_LIST,
    /* rows: struct ct_listed_upstream, the platform's list */
    CT_EVENT_UPSTREAM_LIST,

    /* Orders and reports to the platform. */
    CT_EVENT_UPSTREAM_ORDER_DONE,
    CT_EVENT_USAGE_REPORT_DONE,

    /* Operators. */
    CT_EVENT_DRAIN,
    CT_EVENT_KEY_WITHDRAWAL_REQUESTED,

    /* Calls that are relayed unchanged. First event of a host that relays. */
    CT_EVENT_RELAY_HOST_STARTED,
    /* The bounds in the settings changed. */
    CT_EVENT_RELAY_BOUNDS_CHANGED,
    /*
     * The head of a call was read whose body is not complete. The front end
     * reads the body only as far as CT_EFFECT_RELAY_READ_BODY allows.
     */
    CT_EVENT_RELAY_HEAD_ARRIVED,
    CT_EVENT_RELAY_BODY_PROGRESS,
    /* The front end found a call that it must not relay. */
    CT_EVENT_RELAY_CALL_REJECTED,
    /* A connection was closed since its peer or all have too many. */
    CT_EVENT_RELAY_CONNECTION_REFUSED,
    CT_EVENT_RELAY_CALL_ARRIVED,
    CT_EVENT_RELAY_CALLER_DISCONNECTED,
    /*
     * The caller has the last byte of its response, or its connection ended
     * after the response was handed over. Follows each arrived call, unless
     * CT_EVENT_RELAY_CALLER_DISCONNECTED does.
     */
    CT_EVENT_RELAY_CALL_DELIVERED,
    /* The response grows faster than its caller reads it, or was read. */
    CT_EVENT_RELAY_RESPONSE_UNREAD,
    /* Bytes of the call are being sent. */
    CT_EVENT_RELAY_ATTEMPT_SENT,
    /* The head of the response to this call was received. */
    CT_EVENT_RELAY_ATTEMPT_HEAD,
    /* More bytes of a response that is not complete are held. */
    CT_EVENT_RELAY_ATTEMPT_HELD,
    /* Complete events of a streamed response. */
    CT_EVENT_RELAY_ATTEMPT_DATA,
    CT_EVENT_RELAY_ATTEMPT_DONE,

    /* The platform's store. rows: struct ct_config_row */
    CT_EVENT_STORE_CONFIG,
    CT_EVENT_STORE_EVACUATION,
    CT_EVENT_STORE_UPSTREAM,
    /* rows: struct ct_tally_row */
    CT_EVENT_STORE_TALLY,
    /* rows: struct ct_tally_row */
    CT_EVENT_STORE_FINAL,
    CT_EVENT_STORE_PARTS,
    /* An entry that cannot be parsed or is no longer valid. */
    CT_EVENT_STORE_INVALID_ENTRY,
    CT_EVENT_STORE_READ_DONE,
    CT_EVENT_STORE_APPEND_DONE,
    CT_EVENT_STORE_JOIN_DONE,
    /* rows: struct ct_member */
    CT_EVENT_STORE_MEMBERS_READ,

    /* Result of a call to the platform that only the leader makes. */
    CT_EVENT_DUTY_DONE,
};

enum ct_call_kind {
    /* Chat completion with a model engine behind it. */
    CT_CALL_CHAT = 1,
    CT_CALL_PLAIN,
};

struct ct_call {
    /* Number by which the front end identifies this request. */
    uint64_t caller;
    enum ct_call_kind kind;
    struct ct_request_id request_id;
    bool has_key;
    struct ct_digest key;
    struct ct_path path;
    struct ct_name model;
    bool has_idempotency_key;
    /*
     * SHA-256 of the idempotency key and the time that the key, a UUIDv7,
     * encodes.
     */
    struct ct_digest idempotency_key;
    ct_ms idempotency_wall_ms;
    /* Hash of the first part of the prompt, for prefix affinity. */
    uint64_t prefix_hash;
    uint32_t body_bytes;
    uint32_t prompt_tokens;
    /* Upper bound set by the caller; 0 for none. */
    uint32_t max_tokens;
    bool stream;
};

struct ct_call_rejected {
    uint64_t caller;
    struct ct_request_id request_id;
    enum ct_refusal reason;
};

struct ct_response_request {
    uint64_t caller;
    struct ct_request_id request_id;
    bool has_key;
    struct ct_digest key;
    /* Offset of the first response byte that the caller does not have. */
    uint64_t offset;
};

struct ct_attempt_event {
    struct ct_handle attempt;
    /* CT_EVENT_ATTEMPT_HEAD */
    uint32_t status;
    /* CT_EVENT_ATTEMPT_DATA: offset in the response body. */
    uint64_t offset;
    uint32_t bytes;
    uint32_t tokens;
    /* CT_EVENT_ATTEMPT_DONE */
    enum ct_outcome outcome;
    uint32_t prompt_tokens;
    uint32_t total_tokens;
};

struct ct_load_report {
    struct ct_name upstream;
    uint32_t running;
    uint32_t waiting;
    /* Age of the values when they were received. */
    ct_ms age_ms;
};

struct ct_log_entry {
    int64_t offset;
    struct ct_record record;
};

struct ct_log_head {
    /* Newest offset; 0 when the log is empty. */
    int64_t head;
    /* Oldest offset that the log still holds. */
    int64_t first;
    /* Time since the read was sent; the values may be this old. */
    ct_ms age_ms;
};

struct ct_append_done {
    uint64_t sequence;
    /* CT_OK; CT_ERR_LOG_UNAVAILABLE if the result is unknown. */
    int32_t result;
    int64_t offset;
};

struct ct_host_row {
    struct ct_name name;
    bool leaving;
};

struct ct_listed_upstream {
    struct ct_upstream upstream;
    /* About to stop; takes no new requests. */
    bool leaving;
    /*
     * The entry is missing, possibly only because it expired during a store
     * outage.
     */
    bool unconfirmed;
};

struct ct_order_done {
    uint64_t order_id;
    int32_t result;
};

struct ct_report_done {
    ct_ms window_start_ms;
    int32_t result;
};

struct ct_key_withdrawal_request {
    /* Operator's connection that waits for the confirmations. */
    uint64_t caller;
    struct ct_digest key;
};

struct ct_explain_request {
    uint64_t caller;
    struct ct_request_id request_id;
};

struct ct_peer_event {
    struct ct_name peer;
    struct ct_peer_message message;
};

struct ct_event {
    enum ct_event_type type;
    /* Monotonic time and wall time of the event. */
    ct_ms now_ms;
    ct_ms wall_ms;
    union {
        struct ct_call call;
        struct ct_call_rejected rejected;
        /*
         * CT_EVENT_CALLER_DISCONNECTED, CT_EVENT_ADDRESSES_REQUESTED,
         * CT_EVENT_RELAY_CALLER_DISCONNECTED, CT_EVENT_RELAY_CALL_DELIVERED
         */
        uint64_t caller;
        struct ct_response_request response_request;
        struct ct_explain_request explain_request;
        struct ct_attempt_event attempt;
        struct ct_load_report load;
        struct ct_log_entry entry;
        struct ct_log_head head;
        struct ct_append_done log_append;
        struct ct_peer_event peer;
        struct ct_order_done upstream_order;
        struct ct_report_done usage_report;
        struct ct_key_withdrawal_request key_withdrawal;
        /* CT_EVENT_RELAY_HOST_STARTED: this host's address for callers. */
        struct ct_address relay_address;
        struct ct_bounds relay_bounds;
        struct ct_relay_call relay;
        struct ct_body_progress body_progress;
        struct ct_unread_report unread;
        /* CT_EVENT_RELAY_CONNECTION_REFUSED: the limit was that of a peer. */
        bool peer_limit;
        struct ct_relay_progress progress;
        struct ct_store_config store_config;
        struct ct_store_evacuation store_evacuation;
        struct ct_store_upstream store_upstream;
        struct ct_tally tally;
        struct ct_part_record part_record;
        struct ct_store_invalid_entry store_invalid_entry;
        struct ct_store_read_done store_read;
        struct ct_store_append_done store_append;
        struct ct_store_join_done store_join;
        struct ct_store_members_done members;
        struct ct_duty_done duty;
    } u;
    /*
     * Rows of this event, except those of a log record or a peer message,
     * which are in the record or the message.
     */
    struct ct_rows rows;
};

const char *ct_event_name(enum ct_event_type type);

/* Returns the array of rows that an event of this type may have. */
struct ct_rows *ct_event_rows(struct ct_event *event);

#endif
