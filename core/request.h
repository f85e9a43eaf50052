#ifndef CT_REQUEST_H
#define CT_REQUEST_H

#include <glib.h>

#include "claim.h"
#include "effect.h"
#include "event.h"
#include "refusal.h"
#include "table.h"

/*
 * Requests of callers, from arrival to the end of their answer. The bytes of
 * bodies and answers stay with the programs around the core; here are only
 * their lengths.
 */

enum ct_request_state {
    /* In the queue of its pool. */
    CT_REQUEST_QUEUED = 1,
    /* Has a slot; waits until its claim is read from the log. */
    CT_REQUEST_CLAIMING,
    /* Has a slot; an attempt runs. */
    CT_REQUEST_RUNNING,
    /* Has a slot; waits before the next attempt. */
    CT_REQUEST_BACKOFF,
    /* Over; the answer is kept for callers that ask again. */
    CT_REQUEST_RETAINED,
};

struct ct_request {
    struct ct_request_id id;
    enum ct_request_state state;
    enum ct_call_kind kind;
    /* The caller that the answer goes to; 0 when it has gone. */
    uint64_t caller;
    /* The caller whose stored body is sent; never changes. */
    uint64_t body_caller;
    struct ct_handle organisation;
    struct ct_handle klass;
    struct ct_handle route;
    struct ct_handle pool;
    struct ct_handle key;
    uint32_t tier;
    bool stream;
    bool idempotent;
    /* Digest that is claimed, and the time in the idempotency key. */
    struct ct_digest claim;
    ct_ms key_wall_ms;
    uint64_t claim_sequence;
    bool claimed;

    uint64_t prefix_hash;
    uint32_t prompt_tokens;
    uint32_t max_tokens;

    ct_ms arrived_ms;
    /* When the slot was taken. */
    ct_ms placed_ms;

    /* Running attempts; the second one is a hedge. */
    struct ct_handle attempt;
    struct ct_handle hedge;
    uint32_t attempts;
    /* Upstreams that failed this request. */
    struct ct_handle tried[4];
    uint32_t n_tried;

    /* An attempt that is over may have run the request. */
    bool ran_before;
    /* A byte of the request may have reached an upstream. */
    bool may_have_run;
    /* Answer so far. */
    uint32_t status;
    uint64_t answer_bytes;
    uint32_t answer_tokens;
    ct_ms first_token_ms;
    /* The head was written to the present caller. */
    bool head_written;
    /* Bytes of the answer that the present caller was given. */
    uint64_t written_bytes;

    /* CT_REQUEST_RETAINED: how it ended. */
    bool whole;
    enum ct_refusal reason;
    ct_ms finished_ms;
    /* What the queue expected when it refused the request. */
    ct_ms expected_wait_ms;
    /* Stopped because its caller left; can go on when asked for again. */
    bool abandoned;
};

struct ct_attempt {
    struct ct_handle request;
    struct ct_handle upstream;
    ct_ms started_ms;
    ct_ms last_token_ms;
    uint32_t status;
    bool sent;
    bool got_data;
};

/* Requests at a time; what comes above is refused. */
#define CT_REQUESTS_MAX 65536

/* Answers kept for callers that ask again; the oldest go first. */
#define CT_RETAINED_MAX 8192
#define CT_RETAINED_BYTES_MAX ((uint64_t)16 * 1024 * 1024)

struct ct_requests {
    struct ct_table rows;
    struct ct_table attempts;
    /* From caller number, and from request id, to packed handle. */
    GHashTable *by_caller;
    GHashTable *by_id;
    /* Handles of requests in state CT_REQUEST_RETAINED, oldest first. */
    GQueue kept;
    uint64_t kept_bytes;
    /* Not yet in state CT_REQUEST_RETAINED. */
    uint32_t active;
    ct_ms last_arrival_ms;
};

struct ct_state;

void ct_requests_init(struct ct_requests *requests);
void ct_requests_free(struct ct_requests *requests);

/* Events of callers. */
void ct_requests_on_arrived(struct ct_state *state,
                            const struct ct_call *call);
void ct_requests_on_rejected(struct ct_state *state,
                             const struct ct_call_rejected *rejected);
void ct_requests_on_caller_disconnected(struct ct_state *state,
                                        uint64_t caller);

/* Changes that requests must follow. */
void ct_requests_on_config_changed(struct ct_state *state);
void ct_requests_on_key_withdrawn(struct ct_state *state,
                                  struct ct_handle key);
void ct_requests_on_claim_read(struct ct_state *state,
                               const struct ct_record *record,
                               enum ct_claim_result result);

/*
 * Ends a request without an answer: refuses it while nothing was written,
 * else ends the answer as not whole.
 */
void ct_request_fail(struct ct_state *state, struct ct_handle handle,
                     enum ct_refusal reason, ct_ms retry_after_ms);

/* Writes what came of the answer to a caller who has it streamed. */
void ct_request_progress(struct ct_state *state, struct ct_handle handle);

/* Ends a request whose answer is whole. */
void ct_request_complete(struct ct_state *state, struct ct_handle handle);

/* Frees the rows of a request and the stored bytes of its answer. */
void ct_request_remove(struct ct_state *state, struct ct_handle handle);

/*
 * Connects a caller with the request, in place of the present one, and writes
 * the answer from the byte at offset on.
 */
void ct_request_attach(struct ct_state *state, struct ct_handle handle,
                       uint64_t caller, uint64_t offset);

struct ct_request *ct_request_get(const struct ct_state *state,
                                  struct ct_handle handle);
struct ct_handle ct_request_find(const struct ct_state *state,
                                 const struct ct_request_id *id);

#endif
