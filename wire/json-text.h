#ifndef CT_JSON_TEXT_H
#define CT_JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Strict JSON parser on top of json-glib: exactly one value, no comments,
 * bounded depth, no duplicate members. The lines of members and objects are
 * recorded for diagnostics.
 */

#define CT_JSON_DEPTH_MAX 64
#define CT_JSON_FIELD_MAX 64

struct ct_json {
    JsonParser *parser;
    JsonNode *root;
    /* Maps a member's JsonNode or a JsonObject to its line, from 1. */
    GHashTable *lines;
    /* Position of the parse error; the field is empty if it is not known. */
    uint32_t error_line;
    char error_field[CT_JSON_FIELD_MAX];
};

/*
 * Parses n bytes of text. The caller frees json with ct_json_free(), also on
 * failure. Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_DOUBLED.
 */
int ct_json_parse(struct ct_json *json, const char *text, size_t n);
void ct_json_free(struct ct_json *json);

/* Returns the line of a member's node or an object, or 0 if it is unknown. */
uint32_t ct_json_line(const struct ct_json *json, const void *node);

/* Returns the root, or NULL if it is not an object. */
JsonObject *ct_json_object(const struct ct_json *json);

/* These return NULL if the member is missing or of another type. */
JsonArray *ct_json_get_array(JsonObject *object, const char *name);
const char *ct_json_get_string(JsonObject *object, const char *name);

/*
 * A member that is null counts as missing. ct_json_get_floor() also accepts a
 * number with a fraction, which is cut off.
 * Errors: CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE, CT_ERR_FIELD_RANGE.
 */
int ct_json_get_floor(JsonObject *object, const char *name, int64_t min,
                      int64_t max, int64_t *value);
int ct_json_get_int(JsonObject *object, const char *name, int64_t min,
                    int64_t max, int64_t *value);
int ct_json_get_bool(JsonObject *object, const char *name, bool *value);

/* Returns element i, or NULL if it is not an object. */
JsonObject *ct_json_element_object(JsonArray *array, guint i);

#endif
