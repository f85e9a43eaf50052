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
    /* A key withdrawn while the log may be down, and its confirmation. */
    CT_PEER_WITHDRAW,
    CT_PEER_WITHDRAWN,
    /* rows: struct ct_usage_row, running totals of the sender */
    CT_PEER_USAGE_COPY,
    /* rows: struct ct_refusal_row not yet in the log */
    CT_PEER_REFUSAL_COPY,
    /* Slots of a pool that the sender wants, or gives. */
    CT_PEER_SLOT_REQUEST,
    CT_PEER_SLOT_GRANT,
    /* Who keeps the answer of a request? */
    CT_PEER_RESPONSE_LOOKUP,
    CT_PEER_RESPONSE_FOUND,
    /* rows: struct ct_snapshot_row; state for a host that starts */
    CT_PEER_STATE_REQUEST,
    CT_PEER_STATE,
    /* rows: struct ct_share_row, for the holder of the orders lease */
    CT_PEER_DEMAND,
    /* Asks to be told what the receiver reads in the platform's store. */
    CT_PEER_STORE_UPDATE_REQUEST,
    /* rows: struct ct_store_upstream, the entries that were read */
    CT_PEER_STORE_UPDATE,
    /* rows: struct ct_member, the group as the sender last read it */
    CT_PEER_MEMBERS_UPDATE,
    /*
     * A record of usage to be written to the store for the sender, and that
     * it was. rows of the first: struct ct_tally_row
     */
    CT_PEER_TALLY,
    CT_PEER_TALLY_DONE,
};

/* Demand and use of one pool at the sender, for sharing its slots. */
struct ct_share_row {
    struct ct_name pool;
    uint32_t slots_held;
    uint32_t slots_busy;
    /* Requests waiting, by tier. */
    uint32_t waiting[CT_TIERS];
    /* Of the pool's cheap upstreams, or of the firm ones. */
    bool cheap;
    /* All that the asker wants lent, or that the giver has lent to it. */
    uint32_t slots;
    /* Number of the ask, repeated by what is given for it. */
    uint64_t epoch;
};

struct ct_peer_heartbeat {
    int64_t applied_offset;
    int64_t known_head;
    /* How long ago the sender last heard from the log. */
    ct_ms log_age_ms;
    /* Number of keys withdrawn directly that the sender knows of. */
    uint32_t direct_withdrawals;
    bool draining;
};

/* What the sender knows of a topic of the store. */
struct ct_store_update {
    enum ct_topic topic;
    /*
     * The rows are all records from one offset up to the other. Where both
     * are the same no rows are sent along, and what is before them is to be
     * read in the store.
     */
    int64_t from;
    int64_t next;
    /* The receiver's last question, by the receiver's steady clock. */
    ct_ms asked_ms;
    /*
     * From the arrival of that question to the time up to which the sender
     * knows all that was written; negative where that lies before it.
     */
    ct_ms lead_ms;
    /*
     * How long ago the sender had the store back after failures; CT_MS_NEVER
     * where it was not away.
     */
    ct_ms back_age_ms;
};

struct ct_peer_message {
    enum ct_peer_message_type type;
    struct ct_name sender;
    union {
        struct ct_peer_heartbeat heartbeat;
        struct ct_digest digest;
        struct ct_share_row share;
        struct ct_request_id request_id;
        /* Offset up to which a CT_PEER_STATE was applied. */
        int64_t offset;
        /* CT_PEER_STORE_UPDATE_REQUEST: the sender's steady clock. */
        ct_ms asked_ms;
        struct ct_store_update news;
        struct ct_tally tally;
        /* CT_PEER_TALLY_DONE: number of the record. */
        uint64_t sequence;
    } u;
    struct ct_rows rows;
};

#endif
