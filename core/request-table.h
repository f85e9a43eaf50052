#ifndef CT_REQUEST_TABLE_H
#define CT_REQUEST_TABLE_H

#include <glib.h>

#include "effect.h"
#include "event.h"
#include "refusal.h"
#include "table.h"

/* The rows of requests and of their attempts; see request.h. */

enum ct_request_state {
    /* In the queue of its pool. */
    CT_REQUEST_QUEUED = 1,
    /* Has a slot; waits until its claim has been read back from the log. */
    CT_REQUEST_CLAIMING,
    /* Has a slot; an attempt is running. */
    CT_REQUEST_RUNNING,
    /* Has a slot; waits for the backoff before the next attempt. */
    CT_REQUEST_BACKOFF,
    /* Finished; the response is retained for callers that request it again. */
    CT_REQUEST_RETAINED,
};

struct ct_request {
    struct ct_request_id id;
    enum ct_request_state state;
    enum ct_call_kind kind;
    /* The caller that receives the response; 0 if it has disconnected. */
    uint64_t caller;
    /* The caller whose stored request body is sent upstream; never changes. */
    uint64_t body_caller;
    struct ct_handle organisation;
    struct ct_handle klass;
    struct ct_handle route;
    struct ct_handle pool;
    struct ct_handle key;
    uint32_t tier;
    bool stream;
    bool idempotent;
    /* The digest to claim, and the time given in the idempotency key. */
    struct ct_digest claim;
    ct_ms key_wall_ms;
    uint64_t claim_sequence;
    bool claimed;

    uint64_t prefix_hash;
    uint32_t prompt_tokens;
    uint32_t max_tokens;

    ct_ms arrived_ms;
    /* When the request received its slot. */
    ct_ms placed_ms;

    /* Running attempts; the second is a hedge. */
    struct ct_handle attempt;
    struct ct_handle hedge;
    uint32_t attempts;
    /*
     * Upstreams that were tried for this request; used again only if there is
     * no other.
     */
    struct ct_handle tried[4];
    uint32_t n_tried;

    /* A finished attempt may have run the request. */
    bool earlier_may_have_run;
    /* A byte of the request may have reached an upstream. */
    bool may_have_run;
    /* The response received so far. */
    uint32_t status;
    uint64_t response_bytes;
    uint32_t response_tokens;
    ct_ms first_token_ms;
    /* The response head was written to the current caller. */
    bool head_written;
    /* Response bytes that were written to the current caller. */
    uint64_t written_bytes;

    /* CT_REQUEST_RETAINED: how the request ended. */
    bool complete;
    enum ct_refusal reason;
    ct_ms finished_ms;
    /* The wait that the queue predicted when it refused the request. */
    ct_ms expected_wait_ms;
    /* Stopped because its caller disconnected; resumes if requested again. */
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

/* Concurrent requests; further ones are refused. */
#define CT_REQUESTS_MAX 65536

/*
 * Responses retained for callers that request them again. The oldest are
 * removed first.
 */
#define CT_RETAINED_MAX 8192
#define CT_RETAINED_BYTES_MAX ((uint64_t)16 * 1024 * 1024)

struct ct_requests {
    struct ct_table rows;
    struct ct_table attempts;
    /* Packed request handles by caller number and by request id. */
    GHashTable *by_caller;
    GHashTable *by_id;
    /* Handles of requests in state CT_REQUEST_RETAINED, oldest first. */
    GQueue retained;
    uint64_t retained_bytes;
    /* Requests that are not in state CT_REQUEST_RETAINED. */
    uint32_t active;
    ct_ms last_arrival_ms;
};

struct ct_state;

void ct_requests_init(struct ct_requests *requests);
void ct_requests_free(struct ct_requests *requests);

/* Returns NULL if the request has been removed. */
struct ct_request *ct_request_get(const struct ct_state *state,
                                  struct ct_handle handle);
/* Returns CT_NO_HANDLE if no request has the id. */
struct ct_handle ct_request_find(const struct ct_state *state,
                                 const struct ct_request_id *id);

#endif
