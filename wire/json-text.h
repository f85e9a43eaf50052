#ifndef CT_JSON_TEXT_H
#define CT_JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Strict JSON over json-glib: exactly one value, no comments, bounded depth,
 * no member twice in an object. Lines of members and objects are kept for
 * diagnostics.
 */

#define CT_JSON_DEPTH_MAX 64
#define CT_JSON_FIELD_MAX 64

struct ct_json {
    JsonParser *parser;
    JsonNode *root;
    /* From a member's JsonNode or a JsonObject to its line, from 1. */
    GHashTable *lines;
    /* Where parsing failed; the field is empty where none is known. */
    uint32_t fault_line;
    char fault_field[CT_JSON_FIELD_MAX];
};

/*
 * Parses n bytes of text. The caller frees json with ct_json_free(), also on
 * failure. Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_DOUBLED.
 */
int ct_json_parse(struct ct_json *json, const char *text, size_t n);
void ct_json_free(struct ct_json *json);

/* Line of a member's node or an object; 0 where it is not known. */
uint32_t ct_json_line(const struct ct_json *json, const void *node);

/* The root as an object, or NULL. */
JsonObject *ct_json_object(const struct ct_json *json);

/* Readers of one member; they return NULL or an error for another type. */
JsonArray *ct_json_get_array(JsonObject *object, const char *name);
const char *ct_json_get_string(JsonObject *object, const char *name);

/*
 * A null counts as missing.
 * Errors: CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE, CT_ERR_FIELD_RANGE.
 */
int ct_json_get_int(JsonObject *object, const char *name, int64_t min,
                    int64_t max, int64_t *value);
int ct_json_get_bool(JsonObject *object, const char *name, bool *value);

/* The object that is element i, or NULL. */
JsonObject *ct_json_element_object(JsonArray *array, guint i);

#endif
