#ifndef CT_SSE_SPLIT_H
#define CT_SSE_SPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Finds the ends of the complete events of a text/event-stream, and their ids.
 * An empty line ends an event.
 */

struct ct_sse_split {
    /* Bytes of the stream that belong to complete events. */
    uint64_t complete_bytes;
    uint64_t received;
    uint32_t events;
    /* Id of the last complete event; 0 if it has no id or not a number. */
    uint64_t last_id;
    /* State of the incomplete line and event at the end of the input. */
    char line[32];
    size_t line_bytes;
    uint64_t id;
    bool has_content;
    bool after_cr;
};

/* Parses the next bytes of the stream. */
void ct_sse_split_push(struct ct_sse_split *split, const char *data, size_t n);

#endif
