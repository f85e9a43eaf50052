#ifndef CT_ATTEMPT_H
#define CT_ATTEMPT_H

#include <ev.h>

#include "response-body.h"
#include "response-store.h"
#include "http.h"

/* One attempt of the executor of upstreams; internal to that executor. */

/* Fields of a response's head. */
struct ct_response_head {
    uint32_t status;
    bool id_matches;
    /* The upstream reports that it did not run the request. */
    bool declined;
    bool event_stream;
    /* The end of the body is distinguishable from a lost connection. */
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
    ct_ms started_ms;
    /* Ends the attempt; restarted by each event of a stream. */
    ev_timer timeout;
    bool sent;
    /* The attempt is the writer of the response. */
    bool is_writer;
    /* Outcome known before the transfer ends; 0 if none yet. */
    enum ct_outcome early_outcome;
    struct ct_response_head head;
    bool head_complete;
    /* Offset in the response of the next byte to be posted. */
    uint64_t offset;
    /* Bytes stored, and tokens in them, that were not posted yet. */
    uint32_t unposted_bytes;
    uint32_t unposted_tokens;
    struct ct_sse_scan scan;
};

/*
 * Parses one line of a response's head. Returns 1 on the empty line that ends
 * the head of the final response, otherwise 0.
 */
int ct_response_head_parse_line(struct ct_response_head *head,
                                const char *line, size_t n,
                                const struct ct_request_id *id);

#endif
