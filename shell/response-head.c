#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "attempt.h"

#define FIRST_FINAL_STATUS 200
#define NO_CONTENT 204
#define NOT_MODIFIED 304

static void
parse_field(struct ct_response_head *head, const char *name, char *value,
            const struct ct_request_id *id)
{
    if (g_ascii_strcasecmp(name, "X-Request-Id") == 0) {
        head->id_matches = strcmp(value, id->text) == 0;
    }
    else if (g_ascii_strcasecmp(name, "X-Run-State") == 0) {
        head->declined = strcmp(value, "not-run") == 0;
    }
    else if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        head->framed = true;
    }
    else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        head->framed = g_str_has_suffix(value, "chunked");
    }
    else if (g_ascii_strcasecmp(name, "Content-Type") == 0) {
        ct_text_set(head->media_type, sizeof(head->media_type), value);
        head->event_stream = g_str_has_prefix(value, "text/event-stream");
    }
}

int
ct_response_head_parse_line(struct ct_response_head *head, const char *line,
                            size_t n, const struct ct_request_id *id)
{
    char *copy = g_strstrip(g_strndup(line, n));
    char *colon = strchr(copy, ':');
    int ended = 0;

    if (g_str_has_prefix(copy, "HTTP/")) {
        const char *status = strchr(copy, ' ');

        /* Discards an interim response, which the final one follows. */
        memset(head, 0, sizeof(*head));
        head->status = status ? (uint32_t)strtoul(status, NULL, 10) : 0;
        head->framed =
            head->status == NO_CONTENT || head->status == NOT_MODIFIED;
    }
    else if (*copy == '\0') {
        ended = head->status >= FIRST_FINAL_STATUS;
    }
    else if (colon != NULL) {
        *colon = '\0';
        parse_field(head, g_strstrip(copy), g_strstrip(colon + 1), id);
    }
    g_free(copy);
    return ended;
}
