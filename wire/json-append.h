#ifndef CT_JSON_APPEND_H
#define CT_JSON_APPEND_H

#include <glib.h>

/* Appends n bytes as a JSON string; if n is -1, text is NUL-terminated. */
void ct_json_append_string(GString *out, const char *text, gssize n);

#endif
