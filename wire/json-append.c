#include "json-append.h"

#include <string.h>

void
ct_json_append_string(GString *out, const char *text, gssize n)
{
    gsize length = n < 0 ? strlen(text) : (gsize)n;

    g_string_append_c(out, '"');
    for (gsize i = 0; i < length; i++) {
        unsigned char c = (unsigned char)text[i];

        if (c == '"' || c == '\\') {
            g_string_append_printf(out, "\\%c", c);
        }
        else if (c < ' ') {
            g_string_append_printf(out, "\\u%04x", c);
        }
        else {
            g_string_append_c(out, text[i]);
        }
    }
    g_string_append_c(out, '"');
}
