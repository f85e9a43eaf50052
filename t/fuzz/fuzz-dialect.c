/*
 * Headers of callers and of upstreams are parsed, or rejected with a typed
 * error; what they say stays within its bounds. The input is a status, a name
 * and a value on a line each.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "call-dialect.h"

static void
parse_call(const struct ct_dialect *dialect, const char *name,
           const char *value)
{
    struct ct_relay_call call = {0};
    bool pass;

    if (dialect->ops->call_header(dialect, name, value, &call, &pass) < 0) {
        return;
    }
    g_assert_cmpuint(call.parts.n, <=, CT_PROMPT_PARTS_MAX);
    g_assert_cmpint(call.timeout_ms, >=, 0);
    g_assert_nonnull(
        memchr(call.request_id.text, 0, sizeof(call.request_id.text)));
}

static void
parse_response(const struct ct_dialect *dialect, uint32_t status,
               const char *name, const char *value)
{
    struct ct_upstream_response_head head = {.status = status};
    struct ct_relay_start start = {.rank = 0};

    dialect->ops->response_header(dialect, &start, name, value, &head);
    g_assert_cmpint(head.notice.limit_permille, >=, 0);
    g_assert_cmpint(head.notice.pause_ms, >=, 0);
    g_assert_true(status == 503 || head.notice.pause_ms == 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    const struct ct_dialect *dialect = ct_platform_dialect();
    char *text = g_strndup((const char *)bytes, n);
    char **lines = g_strsplit(text, "\n", 3);

    if (g_strv_length(lines) == 3) {
        parse_call(dialect, lines[1], lines[2]);
        parse_response(dialect, (uint32_t)strtoul(lines[0], NULL, 10),
                       lines[1], lines[2]);
    }
    g_strfreev(lines);
    g_free(text);
    return 0;
}
