#ifndef CT_RELAY_TYPES_H
#define CT_RELAY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "name.h"
#include "outcome.h"
#include "table.h"

/* Members of events and effects of relayed calls; flat values. */

/* Parts of a prompt that are listed; further shared ones are ignored. */
#define CT_PROMPT_PARTS_MAX 32

/* Parts of a call's prompt, by id. */
struct ct_prompt_parts {
    uint64_t ids[CT_PROMPT_PARTS_MAX];
    uint32_t n;
    /*
     * The last part is the call's own: only repeats of the same request have
     * it. Other calls may share the parts before it.
     */
    bool has_own;
};

/*
 * CT_EVENT_RELAY_CALL_ARRIVED: a complete call was read.
 * CT_EVENT_RELAY_HEAD_ARRIVED: its head was read.
 */
struct ct_relay_call {
    /* Number by which the front end identifies the call. */
    uint64_t caller;
    struct ct_request_id request_id;
    struct ct_authority authority;
    /* Without the query; truncated at the field's size. */
    struct ct_call_path path;
    bool has_key;
    struct ct_digest key;
    /* Time limit given by the caller; 0 if it gave none. */
    ct_ms timeout_ms;
    /*
     * Last event that the caller received of an earlier response; 0 for
     * none.
     */
    uint64_t last_event;
    /*
     * Hash of the id of the last prompt part that other calls share; 0 for
     * none.
     */
    uint64_t prefix_hash;
    struct ct_prompt_parts parts;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    /*
     * Size of the body; with its head alone, the declared size, or the largest
     * one allowed for a body in chunks.
     */
    uint32_t body_bytes;
    bool body_chunked;
    /* IP address of the caller; 0 if it is not known. */
    uint64_t peer;
};

/* CT_EVENT_RELAY_BODY_PROGRESS */
struct ct_body_progress {
    uint64_t caller;
    /* Bytes of the body received so far. */
    uint32_t bytes;
    /* All granted bytes were received, and there are more. */
    bool blocked;
};

/* CT_EVENT_RELAY_RESPONSE_UNREAD */
struct ct_unread_report {
    uint64_t caller;
    /* Bytes of the response that wait for the caller to read them. */
    uint32_t unread_bytes;
    /* Those of them that are buffered besides a complete response. */
    uint32_t buffered_bytes;
    /* The caller has read a part since the last report. */
    bool has_read;
};

/* CT_EFFECT_RELAY_READ_BODY: the body may be read up to so many bytes. */
struct ct_body_grant {
    uint64_t caller;
    uint32_t bytes;
};

/* What an upstream says about itself in the head of a response. */
struct ct_upstream_notice {
    /* It leaves and takes no more requests. */
    bool leaving;
    /* It takes limit_permille / 1000 requests a second from all hosts. */
    bool limited;
    int64_t limit_permille;
    /* With a refusal: how long this host must send it nothing; 0 if not said.
     */
    ct_ms pause_ms;
    /* How much longer it is cold; 0 if not said. */
    ct_ms cold_ms;
    /* A value that cannot be read was ignored. */
    bool invalid;
};

/*
 * CT_EVENT_RELAY_ATTEMPT_SENT, CT_EVENT_RELAY_ATTEMPT_HEAD,
 * CT_EVENT_RELAY_ATTEMPT_HELD, CT_EVENT_RELAY_ATTEMPT_DATA,
 * CT_EVENT_RELAY_ATTEMPT_DONE
 */
struct ct_relay_progress {
    struct ct_handle attempt;
    /*
     * CT_EVENT_RELAY_ATTEMPT_DATA: number and bytes of the complete events,
     * and the id of the last of them. CT_EVENT_RELAY_ATTEMPT_HELD: bytes is
     * what is held of the response.
     */
    uint32_t events;
    uint32_t bytes;
    uint64_t last_event;
    /* CT_EVENT_RELAY_ATTEMPT_HEAD */
    struct ct_upstream_notice notice;
    /* CT_EVENT_RELAY_ATTEMPT_DONE */
    enum ct_outcome outcome;
    /* CT_OUTCOME_CONNECTION_LOST: the upstream ended the response too early.
     */
    bool closed_early;
    uint32_t status;
    /* Bytes of the response not reported in CT_EVENT_RELAY_ATTEMPT_DATA. */
    uint32_t remaining_bytes;
};

/*
 * CT_EFFECT_RELAY_START_ATTEMPT. CT_EFFECT_RELAY_CANCEL_ATTEMPT uses only the
 * member attempt.
 */
struct ct_relay_start {
    struct ct_handle attempt;
    /* The caller whose stored call is sent. */
    uint64_t caller;
    struct ct_request_id request_id;
    struct ct_name upstream;
    struct ct_address address;
    /* Empty if the call has no organisation. */
    struct ct_name organisation;
    uint32_t rank;
    bool stream;
    /* Monotonic time at which the call's time limit ends. */
    ct_ms deadline_ms;
    /* The stream resumes after this event; 0 to start at the beginning. */
    uint64_t after_event;
    /*
     * Another upstream that may hold parts of the prompt in its cache, from
     * which they can be copied; empty for none.
     */
    struct ct_address cache_donor;
    /*
     * Another upstream to which the cache of this attempt is copied while it
     * runs; empty for none.
     */
    struct ct_address cache_backup;
    /*
     * The upstream continues an earlier attempt of the call, of whose cache it
     * holds the backup.
     */
    bool from_backup;
};

/* CT_EFFECT_RELAY_FORWARD_RESPONSE */
struct ct_relay_forward {
    uint64_t caller;
    struct ct_handle attempt;
    uint32_t bytes;
    /* The first bytes; the response head is sent before them. */
    bool is_first;
    /* The last bytes; the response is complete after them. */
    bool is_last;
};

/*
 * A host reserves memory for heads of this size when it starts; a larger limit
 * of the configuration does not enlarge it.
 */
#define CT_HEAD_BYTES_MAX (16 * 1024)

/* CT_EFFECT_SET_CALLER_LIMITS */
struct ct_caller_bounds {
    uint32_t head_bytes;
    uint32_t body_bytes;
    ct_ms head_timeout_ms;
    ct_ms idle_timeout_ms;
};

#endif
