#ifndef CT_PEER_MESSAGE_H
#define CT_PEER_MESSAGE_H

#include "clock.h"
#include "name.h"
#include "record.h"
#include "rows.h"
#include "store-types.h"

/* Messages between hosts. */
enum ct_peer_message_type {
    CT_PEER_HEARTBEAT = 1,
    /*
     * A key withdrawn while the log may be unavailable, and its confirmation.
     */
    CT_PEER_WITHDRAW,
    CT_PEER_WITHDRAWN,
    /* rows: struct ct_usage_row, running totals of the sender */
    CT_PEER_USAGE_COPY,
    /* rows: struct ct_refusal_row not yet in the log */
    CT_PEER_REFUSAL_COPY,
    /* Slots of a pool that the sender requests or grants. */
    CT_PEER_SLOT_REQUEST,
    CT_PEER_SLOT_GRANT,
    /* Looks up the host that retains the response to a request. */
    CT_PEER_RESPONSE_LOOKUP,
    CT_PEER_RESPONSE_FOUND,
    /* rows: struct ct_snapshot_row; state for a host that starts */
    CT_PEER_STATE_REQUEST,
    CT_PEER_STATE,
    /* rows: struct ct_slot_row, for the holder of the orders lease */
    CT_PEER_DEMAND,
    /* Requests updates on what the receiver reads from the store. */
    CT_PEER_STORE_UPDATE_REQUEST,
    /* rows: struct ct_store_upstream, the entries that were read */
    CT_PEER_STORE_UPDATE,
    /* rows: struct ct_member, the group as the sender last read it */
    CT_PEER_MEMBERS_UPDATE,
    /*
     * A usage tally that the receiver appends to the store for the sender, and
     * the confirmation. rows of the first: struct ct_tally_row
     */
    CT_PEER_TALLY,
    CT_PEER_TALLY_DONE,
    /*
     * The calls that the sender has in flight at each upstream, with those of
     * its followers if it has any. rows: struct ct_load_row, in the order of
     * their numbers; upstreams without calls may be left out
     */
    CT_PEER_LOAD,
    /* The same of all hosts that a source knows of, for its followers. */
    CT_PEER_LOAD_SUM,
    /*
     * The sender's list of upstreams, to whose numbers the rows of the other
     * messages refer. rows: struct ct_load_list_row
     */
    CT_PEER_LOAD_LIST,
    /*
     * The shortest gaps of the upstreams' streams that the sender measured,
     * with those of its followers if it has any; to its followers, those of
     * all hosts that it knows of. rows: struct ct_load_gap_row, in the order
     * of their numbers
     */
    CT_PEER_LOAD_GAPS,
    /*
     * A configuration that was read, before the CT_PEER_STORE_UPDATE of that
     * read. rows: struct ct_config_row
     */
    CT_PEER_STORE_CONFIG,
};

/* Calls in flight at one upstream. */
struct ct_load_row {
    /* Number in the sender's list of upstreams. */
    uint32_t number;
    uint32_t in_flight;
};

struct ct_load_list_row {
    /* name_hash of the upstream's row, the same on all hosts. */
    uint64_t upstream_hash;
};

struct ct_load_gap_row {
    /* Number in the sender's list of upstreams. */
    uint32_t number;
    /* ct_speed_encode_gap() */
    uint32_t gap_code;
};

struct ct_peer_load {
    /* Increases with each message of the process. */
    uint32_t sequence;
    uint32_t list_version;
    /* Hosts whose calls are included, and the mean age of their counts. */
    uint32_t hosts;
    ct_ms age_ms;
    /* The sender follows the receiver. */
    bool follows;
};

/* Followers whose reports a sum can name. */
#define CT_LOAD_REPORTERS_MAX 32

struct ct_peer_load_sum {
    struct ct_peer_load load;
    /*
     * Followers whose reports are included, as the low half of ct_name_hash(),
     * 0 for none, and the sequence number of each report, so that a follower
     * can subtract its own calls.
     */
    uint32_t reporters[CT_LOAD_REPORTERS_MAX];
    uint32_t reported[CT_LOAD_REPORTERS_MAX];
};

/* Part of a list of upstreams, from a number on. */
struct ct_peer_load_list {
    /* Changes when upstreams get other numbers. */
    uint32_t version;
    uint32_t first;
};

struct ct_peer_load_gaps {
    /* Increases with each of these messages of the process. */
    uint32_t sequence;
    uint32_t list_version;
    /* The sender follows the receiver. */
    bool follows;
};

/* Demand for and use of one pool at the sender, for sharing its slots. */
struct ct_slot_row {
    struct ct_name pool;
    uint32_t slots_held;
    uint32_t slots_busy;
    /* Requests waiting, by tier. */
    uint32_t waiting[CT_TIERS];
    /* True for the pool's cheap upstreams, false for its firm ones. */
    bool cheap;
    /* Total that the sender wants to borrow, or has lent to the receiver. */
    uint32_t slots;
    /* Number of the slot request; the grant repeats it. */
    uint64_t request_number;
};

struct ct_peer_heartbeat {
    int64_t applied_offset;
    int64_t known_head;
    /* Time since the log last responded to the sender. */
    ct_ms log_age_ms;
    /* Number of directly withdrawn keys that the sender knows. */
    uint32_t direct_withdrawals;
    bool draining;
};

/* What the sender knows about a topic of the store. */
struct ct_store_update {
    enum ct_topic topic;
    /*
     * The rows are all records from offset `from` up to, but not including,
     * `next`. If both are equal the message has no rows, and records before
     * that offset have to be read from the store.
     */
    int64_t from;
    int64_t next;
    /*
     * When the receiver sent its last update request, by the receiver's steady
     * clock.
     */
    ct_ms requested_ms;
    /*
     * Time from the arrival of that request to the time up to which the sender
     * has all records; negative if that time is before the arrival.
     */
    ct_ms known_after_ms;
    /*
     * Time since the store recovered for the sender; CT_MS_NEVER if it has not
     * failed.
     */
    ct_ms recovered_age_ms;
    /*
     * The sender's read failed: the message only says that the sender is
     * alive and that the store does not respond to it.
     */
    bool failed;
};

struct ct_peer_message {
    enum ct_peer_message_type type;
    struct ct_name sender;
    union {
        struct ct_peer_heartbeat heartbeat;
        struct ct_digest digest;
        struct ct_slot_row slot_row;
        struct ct_request_id request_id;
        /* Offset up to which the state of a CT_PEER_STATE was applied. */
        int64_t offset;
        /*
         * CT_PEER_STORE_UPDATE_REQUEST: when it was sent, by the sender's
         * steady clock.
         */
        ct_ms requested_ms;
        struct ct_store_update store_update;
        struct ct_tally tally;
        /* CT_PEER_TALLY_DONE: sequence number of the tally. */
        uint64_t sequence;
        struct ct_peer_load load;
        struct ct_peer_load_sum load_sum;
        struct ct_peer_load_list load_list;
        struct ct_peer_load_gaps load_gaps;
        struct ct_store_config_update store_config;
    } u;
    struct ct_rows rows;
};

#endif
