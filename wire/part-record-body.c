#include "part-record-body.h"

#include <string.h>

#include "error.h"
#include "json-append.h"
#include "json-text.h"

#define KEY_CRASHED "crashed"
#define KEY_PART_PREFIX "part-"
#define HEX_BASE 16

static void
append_hex(GString *out, uint64_t value)
{
    g_string_append_printf(out, "%" G_GINT64_MODIFIER "x", value);
}

void
ct_part_record_key(const struct ct_part_record *record, GString *out)
{
    if (record->kind == CT_PART_CRASHED) {
        g_string_append(out, KEY_CRASHED);
        return;
    }
    g_string_append(out, KEY_PART_PREFIX);
    append_hex(out, record->parts.ids[0]);
}

static void
append_crash(const struct ct_part_record *record, GString *out)
{
    g_string_append(out, "{\"upstream\":\"");
    append_hex(out, record->upstream);
    g_string_append_printf(
        out, "\",\"begun\":%s,\"at_ms\":%" G_GINT64_FORMAT ",\"parts\":[",
        record->begun ? "true" : "false", record->wall_ms);
    for (uint32_t i = 0; i < record->parts.n; i++) {
        g_string_append(out, i > 0 ? ",\"" : "\"");
        append_hex(out, record->parts.ids[i]);
        g_string_append_c(out, '"');
    }
    g_string_append_printf(out, "],\"own\":%s}",
                           record->parts.has_own ? "true" : "false");
}

void
ct_part_record_body(const struct ct_part_record *record, GString *out)
{
    switch (record->kind) {
    case CT_PART_CRASHED:
        append_crash(record, out);
        return;
    case CT_PART_QUARANTINED:
        g_string_append_printf(out, "{\"until_ms\":%" G_GINT64_FORMAT "}",
                               record->wall_ms);
        return;
    case CT_PART_ANSWERED:
        return;
    }
}

static int
parse_hex(const char *text, uint64_t *value)
{
    if (text == NULL) {
        return CT_ERR_FIELD_MISSING;
    }
    return g_ascii_string_to_unsigned(text, HEX_BASE, 0, G_MAXUINT64, value,
                                      NULL)
               ? CT_OK
               : CT_ERR_FIELD_RANGE;
}

/* Hosts of earlier versions do not write the member. */
static int
parse_own(JsonObject *object, struct ct_prompt_parts *parts)
{
    int err = ct_json_get_bool(object, "own", &parts->has_own);

    return err == CT_ERR_FIELD_MISSING ? CT_OK : err;
}

static int
parse_parts(JsonObject *object, struct ct_prompt_parts *parts)
{
    JsonNode *node = json_object_get_member(object, "parts");
    JsonArray *array;

    if (node == NULL) {
        return CT_ERR_FIELD_MISSING;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return CT_ERR_FIELD_TYPE;
    }
    array = json_node_get_array(node);
    if (json_array_get_length(array) > CT_PROMPT_PARTS_MAX) {
        return CT_ERR_TOO_LARGE;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *item = json_array_get_element(array, i);
        int err;

        if (json_node_get_value_type(item) != G_TYPE_STRING) {
            return CT_ERR_FIELD_TYPE;
        }
        err = parse_hex(json_node_get_string(item), &parts->ids[i]);
        if (err < 0) {
            return err;
        }
    }
    parts->n = json_array_get_length(array);
    return parse_own(object, parts);
}

static int
parse_crash(JsonObject *object, struct ct_part_record *record)
{
    int err =
        parse_hex(ct_json_get_string(object, "upstream"), &record->upstream);

    if (err == CT_OK) {
        err = ct_json_get_bool(object, "begun", &record->begun);
    }
    if (err == CT_OK) {
        err =
            ct_json_get_int(object, "at_ms", 0, G_MAXINT64, &record->wall_ms);
    }
    if (err == CT_OK) {
        err = parse_parts(object, &record->parts);
    }
    return err;
}

/* Parses the value of a record that has one. */
static int
parse_value(const char *value, size_t n, struct ct_part_record *record)
{
    struct ct_json json;
    JsonObject *object;
    int err = ct_json_parse(&json, value, n);

    if (err == CT_OK) {
        object = ct_json_object(&json);
        if (object == NULL) {
            err = CT_ERR_FIELD_TYPE;
        }
        else if (record->kind == CT_PART_CRASHED) {
            err = parse_crash(object, record);
        }
        else {
            err = ct_json_get_int(object, "until_ms", 0, G_MAXINT64,
                                  &record->wall_ms);
        }
    }
    ct_json_free(&json);
    return err;
}

int
ct_part_record_parse(const char *key, const char *value, size_t n,
                     struct ct_part_record *record)
{
    int err;

    memset(record, 0, sizeof(*record));
    if (strcmp(key, KEY_CRASHED) == 0) {
        record->kind = CT_PART_CRASHED;
        return parse_value(value, n, record);
    }
    if (!g_str_has_prefix(key, KEY_PART_PREFIX)) {
        return CT_ERR_INVALID;
    }
    record->kind = n > 0 ? CT_PART_QUARANTINED : CT_PART_ANSWERED;
    record->parts.n = 1;
    err = parse_hex(key + strlen(KEY_PART_PREFIX), &record->parts.ids[0]);
    if (err < 0 || n == 0) {
        return err;
    }
    return parse_value(value, n, record);
}
