#ifndef SOAK_LOG_ENTRY_H
#define SOAK_LOG_ENTRY_H

#include <json-glib/json-glib.h>

/* A string member of a fake server's log entry; "" if it is missing. */
static inline const char *
log_entry_text(JsonObject *entry, const char *name)
{
    return json_object_has_member(entry, name)
               ? json_object_get_string_member(entry, name)
               : "";
}

#endif
