#include "refusal-body.h"

#define MS_PER_SECOND 1000

int64_t
ct_retry_after_s(ct_ms retry_after_ms)
{
    if (retry_after_ms <= 0) {
        return 0;
    }
    return (retry_after_ms - 1) / MS_PER_SECOND + 1;
}

/*
 * Appends a request id without characters that could need escaping: hosts
 * generate ids without them, but an id may also come from the path of a
 * caller's request.
 */
static void
append_request_id(GString *out, const char *text)
{
    for (; *text; text++) {
        if (g_ascii_isalnum(*text) || *text == '-') {
            g_string_append_c(out, *text);
        }
    }
}

void
ct_refusal_body(enum ct_refusal reason, enum ct_run_state run_state,
                const struct ct_request_id *request_id, ct_ms retry_after_ms,
                GString *out)
{
    g_string_append_printf(out,
                           "{\"error\":{\"type\":\"%s\",\"run_state\":\"%s\","
                           "\"request_id\":\"",
                           ct_refusal_text(reason),
                           ct_run_state_text(run_state));
    append_request_id(out, request_id->text);
    g_string_append_printf(out, "\",\"retry_after_ms\":%" G_GINT64_FORMAT "}}",
                           retry_after_ms);
}

void
ct_refusal_stream_event(enum ct_refusal reason, enum ct_run_state run_state,
                        const struct ct_request_id *request_id,
                        ct_ms retry_after_ms, GString *out)
{
    g_string_append(out, "event: error\ndata: ");
    ct_refusal_body(reason, run_state, request_id, retry_after_ms, out);
    g_string_append(out, "\n\n");
}
