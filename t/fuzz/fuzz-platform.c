/*
 * Responses of the platform's log, host list and upstream list are parsed, or
 * rejected. The first byte of the input selects the parser.
 */
#include <glib.h>

#include "platform-body.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    const char *text = (const char *)bytes + 1;
    struct ct_log_page page;
    GArray *rows = NULL;
    int64_t offset;

    if (n < 1) {
        return 0;
    }
    switch (bytes[0] % 4) {
    case 0:
        ct_log_page_parse(text, n - 1, &page);
        ct_log_page_free(&page);
        return 0;
    case 1:
        ct_append_response_parse(text, n - 1, &offset);
        return 0;
    case 2:
        if (ct_host_list_parse(text, n - 1, &rows) == 0) {
            g_array_free(rows, TRUE);
        }
        return 0;
    default:
        if (ct_upstream_list_parse(text, n - 1, &rows) == 0) {
            g_array_free(rows, TRUE);
        }
        return 0;
    }
}
