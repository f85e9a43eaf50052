#ifndef CT_RECORD_H
#define CT_RECORD_H

#include "clock.h"
#include "config-row.h"
#include "name.h"
#include "refusal.h"
#include "rows.h"

/*
 * Records of the platform's log. Hosts agree on shared state by replaying
 * these records deterministically in offset order. Offsets start at 1; 0
 * means none.
 */

enum ct_record_type {
    /* rows: struct ct_config_row, the complete configuration */
    CT_RECORD_CONFIG = 1,
    CT_RECORD_KEY_GRANT,
    CT_RECORD_KEY_WITHDRAW,
    CT_RECORD_LEASE,
    CT_RECORD_CLAIM,
    CT_RECORD_CLAIM_DONE,
    /* rows: struct ct_usage_row, the final totals of a window */
    CT_RECORD_USAGE_FINAL,
    CT_RECORD_USAGE_ACCEPTED,
    CT_RECORD_ORDER_INTENT,
    CT_RECORD_ORDER_DONE,
    /* rows: struct ct_refusal_row */
    CT_RECORD_REFUSALS,
    /* rows: struct ct_snapshot_row */
    CT_RECORD_SNAPSHOT,
};

/* Roles that one host at a time holds, each under its own lease. */
enum ct_role {
    CT_ROLE_ORDERS = 0,
    CT_ROLE_USAGE,
    CT_ROLE_COUNT,
};

struct ct_key {
    struct ct_digest digest;
    struct ct_name organisation;
    /* Short name shown in lists; never the key itself. */
    struct ct_name label;
    bool withdrawn;
};

struct ct_lease {
    enum ct_role role;
    struct ct_name holder;
    ct_ms duration_ms;
    /* Offset of the accepted lease record; the term's fencing token. */
    int64_t term;
};

/* Gives one host the exclusive right to run a keyed request. */
struct ct_claim {
    /* Digest of organisation, route and idempotency key. */
    struct ct_digest digest;
    struct ct_request_id request_id;
    struct ct_name host;
    /* Time in the idempotency key; a claim past the horizon is removed. */
    ct_ms key_wall_ms;
    /* Result, once CT_RECORD_CLAIM_DONE was read. */
    bool done;
    int32_t status;
};

struct ct_usage_row {
    struct ct_name organisation;
    ct_ms window_start_ms;
    uint64_t requests;
    uint64_t tokens_in;
    uint64_t tokens_out;
    /* Part of requests that belongs to an earlier window. */
    uint64_t late_requests;
    /* Process that counted the row; empty in the sums of a report. */
    struct ct_name writer;
};

struct ct_usage_window {
    ct_ms window_start_ms;
    ct_ms window_ms;
    /* Term of the writer's usage lease. */
    int64_t term;
    bool accepted;
};

enum ct_order_kind {
    CT_ORDER_START = 1,
    CT_ORDER_STOP,
    CT_ORDER_LOAD_MODEL,
    CT_ORDER_ROLE,
};

struct ct_order {
    uint64_t order_id;
    /* Term of the order lease; the fencing token. */
    int64_t term;
    enum ct_order_kind kind;
    struct ct_name pool;
    struct ct_name zone;
    /* Empty for CT_ORDER_START. */
    struct ct_name upstream;
    struct ct_name model;
    bool cheap;
    /* In CT_RECORD_ORDER_DONE: 0 or an error. */
    int32_t result;
    /* In snapshots: the order is finished. */
    bool done;
};

enum ct_snapshot_kind {
    CT_SNAPSHOT_CONFIG = 1,
    CT_SNAPSHOT_KEY,
    CT_SNAPSHOT_LEASE,
    CT_SNAPSHOT_CLAIM,
    CT_SNAPSHOT_USAGE_WINDOW,
    CT_SNAPSHOT_USAGE_ROW,
    CT_SNAPSHOT_ORDER,
};

struct ct_snapshot_row {
    enum ct_snapshot_kind kind;
    /* Offset of the record that set this row. */
    int64_t offset;
    union {
        struct ct_config_row config;
        struct ct_key key;
        struct ct_lease lease;
        struct ct_claim claim;
        struct ct_usage_window window;
        struct ct_usage_row usage;
        struct ct_order order;
    } u;
};

struct ct_record {
    enum ct_record_type type;
    /* Writer and its sequence number; a duplicate pair is ignored. */
    struct ct_name writer;
    uint64_t sequence;
    /*
     * Offset that the record is based on: of the configuration in force, of
     * the last lease record of the role, or of the state in a snapshot.
     */
    int64_t base_offset;
    ct_ms wall_ms;
    union {
        struct ct_key key;
        struct ct_lease lease;
        struct ct_claim claim;
        struct ct_usage_window window;
        struct ct_order order;
    } u;
    struct ct_rows rows;
};

#endif
