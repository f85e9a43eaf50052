#include "sse-split.h"

#include <stdlib.h>
#include <string.h>

static void
end_event(struct ct_sse_split *split)
{
    /* Empty lines between events belong to the preceding event. */
    split->complete_bytes = split->received;
    if (!split->has_content) {
        return;
    }
    split->events++;
    split->last_id = split->id;
    split->has_content = false;
    split->id = 0;
}

static void
end_line(struct ct_sse_split *split)
{
    const char *value;

    if (split->line_bytes == 0) {
        end_event(split);
        return;
    }
    split->has_content = true;
    if (split->line_bytes < sizeof(split->line) &&
        strncmp(split->line, "id:", 3) == 0) {
        split->line[split->line_bytes] = '\0';
        value = split->line + 3;
        split->id = strtoull(value, NULL, 10);
    }
    split->line_bytes = 0;
}

void
ct_sse_split_push(struct ct_sse_split *split, const char *data, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        split->received++;
        if (data[i] == '\n' && split->after_cr) {
            /* If the CR of a CRLF ended an event, the LF belongs to it too. */
            split->after_cr = false;
            if (split->complete_bytes + 1 == split->received) {
                split->complete_bytes = split->received;
            }
            continue;
        }
        split->after_cr = data[i] == '\r';
        if (data[i] == '\n' || data[i] == '\r') {
            end_line(split);
            continue;
        }
        if (split->line_bytes < sizeof(split->line)) {
            split->line[split->line_bytes] = data[i];
        }
        split->line_bytes++;
    }
}
