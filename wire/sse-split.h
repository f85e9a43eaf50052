#ifndef CT_SSE_SPLIT_H
#define CT_SSE_SPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Finds where the whole events of a text/event-stream end, and their ids. An
 * event ends with an empty line.
 */

struct ct_sse_split {
    /* Bytes of the stream that belong to whole events. */
    uint64_t whole;
    uint64_t seen;
    uint32_t events;
    /* Id of the last whole event; 0 for none or one that is no number. */
    uint64_t last_id;
    /* Of the line and the event that are not over yet. */
    char line[32];
    size_t line_bytes;
    uint64_t id;
    bool has_content;
    bool after_cr;
};

/* Takes the next bytes of the stream. */
void ct_sse_split_feed(struct ct_sse_split *split, const char *data, size_t n);

#endif
