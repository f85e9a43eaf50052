#ifndef CT_STORE_TYPES_H
#define CT_STORE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "config-row.h"
#include "name.h"
#include "relay-types.h"
#include "rows.h"

/*
 * What is said to and heard from the platform's store, and the calls that one
 * host makes for all; flat values.
 */

/* The parts of the store that this system reads or writes. */
enum ct_topic {
    /* The operators' configuration in force. */
    CT_TOPIC_CONFIG = 0,
    /* The upstreams' own entries. */
    CT_TOPIC_UPSTREAMS,
    /* What each host counted, by window. */
    CT_TOPIC_TALLIES,
    /* The figures of a window that are reported. */
    CT_TOPIC_FINALS,
    CT_TOPIC_COUNT,
};

/* CT_EVENT_STORE_CONFIG; rows: struct ct_config_row */
struct ct_store_config {
    int64_t version;
    struct ct_caller_bounds bounds;
};

/* CT_EVENT_STORE_UPSTREAM: an entry was written, or dropped. */
struct ct_store_upstream {
    struct ct_upstream upstream;
    bool gone;
    /* Finishes what it has and takes nothing new. */
    bool leaving;
    /* When it started, in wall time; another start is another process. */
    ct_ms born_ms;
    /* Where its record stands; 0 in a page of the newest records. */
    int64_t offset;
};

/* Requests of an organisation that began to run. */
struct ct_tally_row {
    struct ct_name organisation;
    uint64_t requests;
};

/*
 * What one process counted in a window, or, in CT_TOPIC_FINALS, the figures
 * that all processes' counts come to. rows: struct ct_tally_row
 */
struct ct_tally {
    int64_t window;
    struct ct_name writer;
    /* Number of the writer's record: a repeat has the number it had. */
    uint64_t sequence;
    /* The writer has counted all that it will in this window. */
    bool closes;
    /* The writer stops and counts no more. */
    bool ends;
    /* Where the record stands. */
    int64_t offset;
};

/* CT_EVENT_STORE_INVALID_ENTRY */
struct ct_store_invalid_entry {
    enum ct_topic topic;
    struct ct_name name;
    int32_t reason;
};

/* CT_EFFECT_STORE_READ: the newest of each key, or records from an offset. */
struct ct_store_read_effect {
    enum ct_topic topic;
    bool newest;
    /* Of the newest: the page that begins after this key; empty for the first.
     */
    struct ct_path after;
    int64_t from;
    /* Records beyond this are left for the next read; 0: as the store likes.
     */
    uint32_t max_bytes;
    /* How long the store may wait for a record. */
    ct_ms wait_ms;
    ct_ms timeout_ms;
};

/* CT_EVENT_STORE_READ_DONE: after the events of the entries that were read. */
struct ct_store_read_done {
    enum ct_topic topic;
    bool newest;
    /* CT_ERR_LOG_TRUNCATED: the records are gone, first ones at next. */
    int32_t result;
    /* When the call was made, on the steady clock. */
    ct_ms sent_ms;
    /* How long the store had been told to wait, and no record came. */
    ct_ms idle_ms;
    /* Cut at its size: there was more to read. */
    bool more;
    /* Of the newest: the next page begins after this key. */
    struct ct_path after;
    /* Offset at which the read began; not of a page. */
    int64_t from;
    /* Offset after the last record that was read; of a page, the end. */
    int64_t next;
    uint32_t entries;
};

/* CT_EFFECT_STORE_APPEND; rows: struct ct_tally_row */
struct ct_store_append_effect {
    enum ct_topic topic;
    struct ct_tally tally;
    /* Only where the topic ends there; -1 for anywhere. */
    int64_t at;
    ct_ms timeout_ms;
};

/* CT_EVENT_STORE_APPEND_DONE */
struct ct_store_append_done {
    enum ct_topic topic;
    /* Whose record it was, and its number. */
    struct ct_name writer;
    uint64_t sequence;
    int64_t window;
    /* CT_ERR_LOG_LOST_RACE where the topic ends elsewhere. */
    int32_t result;
};

/* CT_EFFECT_STORE_JOIN */
struct ct_store_join_effect {
    int64_t generation;
    ct_ms ttl_ms;
    ct_ms timeout_ms;
};

/* CT_EVENT_STORE_JOIN_DONE */
struct ct_store_join_done {
    int32_t result;
    ct_ms sent_ms;
    int64_t generation;
    /* The part that makes its holder the one to act for all. */
    bool holds_duty;
};

/* A host in the group; rows of CT_EVENT_STORE_MEMBERS_READ. */
struct ct_member {
    struct ct_name host;
    struct ct_address address;
    /* Where other hosts reach it; empty where it says neither. */
    struct ct_name zone;
    struct ct_address peer_address;
};

/* CT_EVENT_STORE_MEMBERS_READ; rows: struct ct_member */
struct ct_store_members_done {
    int32_t result;
};

/* CT_EFFECT_DUTY_REPORT_USAGE; rows: struct ct_tally_row */
struct ct_duty_usage {
    int64_t window;
    int64_t fence;
    ct_ms not_after_ms;
};

/* CT_EFFECT_DUTY_ORDER_UPSTREAMS */
struct ct_duty_order {
    uint64_t order;
    struct ct_name pool;
    struct ct_name zone;
    /* Upstreams that may be reclaimed; each kind is ordered by itself. */
    bool cheap;
    uint32_t upstreams;
    int64_t fence;
    ct_ms not_after_ms;
};

/* CT_EVENT_DUTY_DONE */
struct ct_duty_done {
    bool is_usage;
    int64_t window;
    uint64_t order;
    /*
     * CT_OK; CT_ERR_FENCED, CT_ERR_EXHAUSTED, CT_ERR_OVERLOADED; CT_ERR_IO
     * where it may have been carried out.
     */
    int32_t result;
    int64_t fence;
};

#endif
