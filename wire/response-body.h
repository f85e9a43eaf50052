#ifndef CT_RESPONSE_BODY_H
#define CT_RESPONSE_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reads token counts and the end of a stream from upstreams' responses. */

/* Token counts of the "usage" object; 0 if it is missing. */
struct ct_response_usage {
    uint32_t prompt_tokens;
    uint32_t completion_tokens;
};

/* Incremental parser of an event stream; input may be split at any byte. */
struct ct_sse_scan {
    char *line;
    uint32_t n;
    uint32_t cap;
    /* The current line is too long; it is ignored up to its end. */
    bool overlong;
    /* Events read that carry data, the last one of the stream included. */
    uint64_t events;
    /* "data: [DONE]" was read: the stream is complete. */
    bool done;
    struct ct_response_usage usage;
};

void ct_sse_scan_init(struct ct_sse_scan *scan);
void ct_sse_scan_free(struct ct_sse_scan *scan);

/*
 * Parses the next bytes of the stream. Returns the number of events with
 * content that end in these bytes; each event carries one token.
 */
uint32_t ct_sse_scan_push(struct ct_sse_scan *scan, const char *data,
                          size_t n);

/*
 * Parses the usage object of a response or of one event.
 * Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_MISSING.
 */
int ct_response_usage_parse(const char *json, size_t n,
                            struct ct_response_usage *usage);

#endif
