#ifndef CT_JSON_OUT_H
#define CT_JSON_OUT_H

#include <glib.h>

/* Appends n bytes as a JSON string; if n is -1, text is NUL-terminated. */
void ct_json_out_text(GString *out, const char *text, gssize n);

#endif
