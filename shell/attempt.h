#ifndef CT_ATTEMPT_H
#define CT_ATTEMPT_H

#include <ev.h>

#include "response-body.h"
#include "response-store.h"
#include "http.h"

/* One attempt of the executor of upstreams; private to it. */

/* What the response's head said. */
struct ct_response_head {
    uint32_t status;
    bool id_matches;
    /* The upstream itself says that it did not run the request. */
    bool not_run;
    bool event_stream;
    /* The end of the body can be told from a lost connection. */
    bool framed;
    char media_type[CT_MEDIA_TYPE_MAX];
};

struct ct_attempt {
    struct ct_transfer transfer;
    struct ct_upstreams *upstreams;
    /* Row in the executor's own table. */
    struct ct_handle row;
    struct ct_attempt_effect effect;
    struct ct_stored_call *body;
    ev_timer gap;
    bool sent;
    /* It is the writer of the answer. */
    bool writes;
    /* Known before the end of the transfer; 0 while open. */
    enum ct_outcome verdict;
    struct ct_response_head head;
    bool head_ended;
    /* Place of the next byte in the answer. */
    uint64_t offset;
    struct ct_sse_scan scan;
};

/*
 * Takes one line of the response's head. Returns 1 after the empty line
 * that ends the head of the final response, else 0.
 */
int ct_response_head_line(struct ct_response_head *head, const char *line,
                          size_t n, const struct ct_request_id *id);

#endif
