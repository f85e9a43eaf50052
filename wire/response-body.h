#ifndef CT_RESPONSE_BODY_H
#define CT_RESPONSE_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a host needs to know of the bodies that upstreams answer with. */

/* Figures of the "usage" object; zero where it was absent. */
struct ct_response_usage {
    uint32_t prompt_tokens;
    uint32_t completion_tokens;
};

/* Reads an event stream as it arrives, in parts of any size. */
struct ct_sse_scan {
    char *line;
    uint32_t n;
    uint32_t cap;
    /* The present line is too long; its rest is skipped. */
    bool overlong;
    /* "data: [DONE]" was seen: the stream is complete. */
    bool done;
    struct ct_response_usage usage;
};

void ct_sse_scan_init(struct ct_sse_scan *scan);
void ct_sse_scan_free(struct ct_sse_scan *scan);

/*
 * Takes the next bytes of the stream. Returns the number of events with
 * content that ended in them; each carries one token.
 */
uint32_t ct_sse_scan_feed(struct ct_sse_scan *scan, const char *data,
                          size_t n);

/*
 * Reads the usage object of an answer or of one event.
 * Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_MISSING.
 */
int ct_response_usage_parse(const char *json, size_t n,
                            struct ct_response_usage *usage);

#endif
