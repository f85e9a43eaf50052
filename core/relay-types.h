#ifndef CT_RELAY_TYPES_H
#define CT_RELAY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "name.h"
#include "outcome.h"
#include "table.h"

/* Events and effects of calls that are relayed unchanged; flat values. */

/* CT_EVENT_RELAY_CALL_ARRIVED: a whole call was read. */
struct ct_relay_call {
    /* The front end's own number for it. */
    uint64_t caller;
    struct ct_request_id request_id;
    struct ct_authority authority;
    /* Without the query; cut off at the field's size. */
    struct ct_path path;
    bool has_key;
    struct ct_digest key;
    /* How long the caller will wait; 0 where it did not say. */
    ct_ms deadline_ms;
    /* Last event that the caller has of an earlier answer; 0 for none. */
    uint64_t last_event;
    /* Over the last part of the prompt that others share; 0 for none. */
    uint64_t prefix_hash;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
};

/* CT_EVENT_RELAY_ATTEMPT_SENT, CT_EVENT_RELAY_ATTEMPT_DATA,
 * CT_EVENT_RELAY_ATTEMPT_DONE */
struct ct_relay_progress {
    struct ct_handle attempt;
    /* CT_EVENT_RELAY_ATTEMPT_DATA: whole events, their bytes, and the last
     * one's id.
     */
    uint32_t events;
    uint32_t bytes;
    uint64_t last_event;
    /* CT_EVENT_RELAY_ATTEMPT_DONE */
    enum ct_outcome outcome;
    uint32_t status;
    /* Bytes of the answer that were not yet forwarded. */
    uint32_t rest;
};

/* CT_EFFECT_RELAY_START_ATTEMPT; of CT_EFFECT_RELAY_CANCEL_ATTEMPT only the
 * attempt counts. */
struct ct_relay_start {
    struct ct_handle attempt;
    /* Whose stored call is sent. */
    uint64_t caller;
    struct ct_request_id request_id;
    struct ct_name upstream;
    struct ct_address address;
    /* Empty where the call has no organisation. */
    struct ct_name organisation;
    uint32_t rank;
    bool stream;
    /* Time at which the answer is of no more use. */
    ct_ms until_ms;
    /* The stream goes on after this event; 0 for its start. */
    uint64_t after_event;
    /*
     * Another upstream that may keep parts of the prompt, to be copied from;
     * empty for none.
     */
    struct ct_address keeper;
};

/* CT_EFFECT_RELAY_FORWARD_RESPONSE */
struct ct_relay_forward {
    uint64_t caller;
    struct ct_handle attempt;
    uint32_t bytes;
    /* The first bytes: the answer's head goes before them. */
    bool begins;
    /* The last bytes: the answer is whole with them. */
    bool ends;
};

/* CT_EFFECT_SET_CALLER_LIMITS */
struct ct_caller_bounds {
    uint32_t head_bytes;
    uint32_t body_bytes;
    ct_ms idle_timeout_ms;
};

#endif
