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
 * Calls to the platform's store, their results, and the calls that only the
 * leader makes; flat values.
 */

/* Topics of the store that this system reads or writes. */
enum ct_topic {
    /* The operators' configuration in force. */
    CT_TOPIC_CONFIG = 0,
    /* Entries that upstreams write about themselves. */
    CT_TOPIC_UPSTREAMS,
    /* Usage tallies of each process, by window. */
    CT_TOPIC_TALLIES,
    /* The final figures of each window, which are reported. */
    CT_TOPIC_FINALS,
    /* Prompt parts that crash upstreams, see prompt-quarantine.h. */
    CT_TOPIC_PROMPT_PARTS,
    CT_TOPIC_COUNT,
};

/* CT_EVENT_STORE_CONFIG; rows: struct ct_config_row */
struct ct_store_config {
    int64_t version;
    /*
     * Calls of routes that are not open to all need a key: the configuration
     * has a list of organisations, even if it is empty.
     */
    bool keys_required;
    /* Not set if the bounds could not be read: those in force stay. */
    bool has_bounds;
    struct ct_caller_bounds bounds;
    /*
     * Items that could not be read and were left out, and the name, if known,
     * and the error of the first one.
     */
    uint32_t n_left_out;
    struct ct_name left_out_name;
    int32_t left_out_reason;
};

/*
 * The configuration as a source read it, for its followers. rows: struct
 * ct_config_row
 */
struct ct_store_config_update {
    /*
     * The records from offset `from` up to, but not including, `next` are
     * versions of the configuration, of which this one is the newest.
     */
    int64_t from;
    int64_t next;
    struct ct_store_config config;
};

/* CT_EVENT_STORE_EVACUATION: an operator evacuates or restores a zone. */
struct ct_store_evacuation {
    struct ct_name zone;
    /* The request was removed. */
    bool ends;
};

/* CT_EVENT_STORE_UPSTREAM: an entry was written or removed. */
struct ct_store_upstream {
    struct ct_upstream upstream;
    bool removed;
    /* Finishes the requests it has and accepts no new ones. */
    bool leaving;
    /* When the process started, in wall time; a restart is another process. */
    ct_ms started_ms;
    /* Remaining time for which it is cold, as of its record. */
    ct_ms cold_left_ms;
    /*
     * Number of the report in the entry, which grows during the life of the
     * process; 0 if not given.
     */
    int64_t sequence;
    /* Offset of its record; 0 in a page of the newest records. */
    int64_t offset;
};

/* Number of an organisation's requests that began to run. */
struct ct_tally_row {
    struct ct_name organisation;
    uint64_t requests;
};

/*
 * The counts of one process in a window or, in CT_TOPIC_FINALS, the sums of
 * the counts of all processes. rows: struct ct_tally_row
 */
struct ct_tally {
    int64_t window;
    struct ct_name writer;
    /*
     * Sequence number of the writer's record; it stays the same when the
     * record is sent again.
     */
    uint64_t sequence;
    /* The writer has completed its counts of this window. */
    bool closes;
    /* The writer stops and counts no more. */
    bool ends;
    /* Offset of the record. */
    int64_t offset;
};

enum ct_part_record_kind {
    /* An upstream failed before it answered a call with the parts. */
    CT_PART_CRASHED = 1,
    /* Calls with the part are refused. */
    CT_PART_QUARANTINED,
    /* A call with the part was answered. */
    CT_PART_ANSWERED,
};

/* CT_EFFECT_STORE_APPEND_PARTS, CT_EVENT_STORE_PARTS */
struct ct_part_record {
    enum ct_part_record_kind kind;
    /* A single part unless kind is CT_PART_CRASHED. */
    struct ct_prompt_parts parts;
    /*
     * CT_PART_CRASHED: hash of the upstream's name and start, and whether it
     * had sent the head of its response.
     */
    uint64_t upstream;
    bool begun;
    /*
     * True time of the crash, or at which the quarantine ends; not set for
     * CT_PART_ANSWERED.
     */
    ct_ms wall_ms;
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
    /* Returned with the response; 0 if the reader does not number its reads.
     */
    uint32_t read_id;
    bool newest;
    /*
     * With newest set: key after which the page begins; empty for the first.
     */
    struct ct_name after;
    int64_t from;
    /*
     * Records beyond this size are left for the next read; 0: no limit by this
     * host.
     */
    uint32_t max_bytes;
    /* How long the store may wait for a record. */
    ct_ms wait_ms;
    ct_ms timeout_ms;
};

/* CT_EVENT_STORE_READ_DONE: follows the events of the entries it read. */
struct ct_store_read_done {
    enum ct_topic topic;
    uint32_t read_id;
    bool newest;
    /*
     * CT_ERR_LOG_TRUNCATED: the records were removed, the first left is at
     * next.
     */
    int32_t result;
    /* When the call was sent, by the steady clock. */
    ct_ms sent_ms;
    /*
     * The requested wait. If entries is 0, the store had no record until its
     * end.
     */
    ct_ms idle_ms;
    /* The response was limited by size: there is more to read. */
    bool more;
    /* With newest set: key after which the next page begins. */
    struct ct_name after;
    /* Offset at which the read began; not set for a page. */
    int64_t from;
    /* Offset after the last record read; for a page, the end offset. */
    int64_t next;
    uint32_t entries;
};

/* CT_EFFECT_STORE_APPEND; rows: struct ct_tally_row */
struct ct_store_append_effect {
    enum ct_topic topic;
    struct ct_tally tally;
    /* Appends only if the topic ends at this offset; -1 for any offset. */
    int64_t expected_end_offset;
    ct_ms timeout_ms;
};

/* CT_EVENT_STORE_APPEND_DONE */
struct ct_store_append_done {
    enum ct_topic topic;
    /* Writer and sequence number of the record. */
    struct ct_name writer;
    uint64_t sequence;
    int64_t window;
    /* CT_ERR_LOG_LOST_RACE if the topic ends at another offset. */
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
    /* Whether this host holds the leader slot. */
    bool holds_leader_slot;
};

/* A host in the group; rows of CT_EVENT_STORE_MEMBERS_READ. */
struct ct_member {
    struct ct_name host;
    struct ct_address address;
    /* Zone and address for other hosts; empty if the member states neither. */
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
    /* Upstreams that may be reclaimed; each kind is ordered separately. */
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
     * CT_OK; CT_ERR_FENCED, CT_ERR_EXHAUSTED, CT_ERR_OVERLOADED; CT_ERR_IO if
     * the call may have been carried out.
     */
    int32_t result;
    int64_t fence;
};

#endif
