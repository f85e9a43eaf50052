#include "json-text.h"

#include <string.h>

#include "error.h"

/*
 * json-glib accepts comments and several values, recurses without a bound,
 * and lets the last of two duplicate members win. A scan before the parse
 * rejects the first three and records the lines on which members and objects
 * start. Duplicates are found by json-glib's signals, which are emitted in
 * the order in which members and objects end.
 */
struct container {
    bool is_object;
    bool after_colon;
    uint32_t line;
    uint32_t member_line;
};

struct scan {
    const char *p;
    const char *end;
    uint32_t line;
    int depth;
    struct container stack[CT_JSON_DEPTH_MAX];
    /* First lines of members and objects, in the order in which these end. */
    GArray *member_lines;
    GArray *object_lines;
    guint next_member;
    guint next_object;
    struct ct_json *json;
    /* Maps a JsonObject to the number of its members parsed so far. */
    GHashTable *member_counts;
    bool has_duplicate;
};

/* Advances from the opening quote of a string past the closing one. */
static int
skip_string(struct scan *scan)
{
    for (scan->p++; scan->p < scan->end; scan->p++) {
        if ((unsigned char)*scan->p < ' ') {
            return CT_ERR_JSON_SYNTAX;
        }
        if (*scan->p == '\\') {
            scan->p++;
        }
        else if (*scan->p == '"') {
            scan->p++;
            return CT_OK;
        }
    }
    return CT_ERR_JSON_SYNTAX;
}

static int
open_container(struct scan *scan, bool is_object)
{
    if (scan->depth == CT_JSON_DEPTH_MAX) {
        return CT_ERR_JSON_SYNTAX;
    }
    scan->stack[scan->depth++] =
        (struct container){is_object, false, scan->line, 0};
    scan->p++;
    return CT_OK;
}

/* A comma or closing bracket ends the member before it. */
static void
end_member(struct scan *scan)
{
    struct container *top = &scan->stack[scan->depth - 1];

    if (top->is_object && top->after_colon) {
        g_array_append_val(scan->member_lines, top->member_line);
    }
    top->after_colon = false;
}

static int
close_container(struct scan *scan, bool is_object)
{
    struct container *top;

    if (scan->depth == 0) {
        return CT_ERR_JSON_SYNTAX;
    }
    top = &scan->stack[scan->depth - 1];
    if (top->is_object != is_object) {
        return CT_ERR_JSON_SYNTAX;
    }
    end_member(scan);
    if (is_object) {
        g_array_append_val(scan->object_lines, top->line);
    }
    scan->depth--;
    scan->p++;
    return CT_OK;
}

static int
scan_string(struct scan *scan)
{
    struct container *top = scan->depth ? &scan->stack[scan->depth - 1] : NULL;

    if (top && top->is_object && !top->after_colon) {
        top->member_line = scan->line;
    }
    return skip_string(scan);
}

/* Consumes one token of the root value. */
static int
scan_token(struct scan *scan)
{
    switch (*scan->p) {
    case '{':
    case '[':
        return open_container(scan, *scan->p == '{');
    case '}':
    case ']':
        return close_container(scan, *scan->p == '}');
    case '"':
        return scan_string(scan);
    case '/':
    case '#':
        return CT_ERR_JSON_SYNTAX;
    case '\n':
        scan->line++;
        break;
    case ':':
        scan->stack[scan->depth - 1].after_colon = true;
        break;
    case ',':
        end_member(scan);
        break;
    default:
        break;
    }
    scan->p++;
    return CT_OK;
}

static void
skip_space(struct scan *scan)
{
    while (scan->p < scan->end && strchr(" \t\r\n", *scan->p) && *scan->p) {
        scan->line += *scan->p == '\n';
        scan->p++;
    }
}

/* The root must be an object or array; no body or file has another root. */
static int
scan_text(struct scan *scan)
{
    int err;

    skip_space(scan);
    if (scan->p == scan->end || !strchr("{[", *scan->p) || !*scan->p) {
        return CT_ERR_JSON_SYNTAX;
    }
    do {
        err = scan_token(scan);
        if (err < 0) {
            return err;
        }
    } while (scan->depth > 0 && scan->p < scan->end);
    skip_space(scan);
    return scan->depth > 0 || scan->p < scan->end ? CT_ERR_JSON_SYNTAX : CT_OK;
}

static void
on_member(JsonParser *parser, JsonObject *object, const char *name,
          struct scan *scan)
{
    guint old_count =
        GPOINTER_TO_UINT(g_hash_table_lookup(scan->member_counts, object));
    guint new_count = json_object_get_size(object);
    uint32_t line = 0;

    (void)parser;
    if (scan->next_member < scan->member_lines->len) {
        line =
            g_array_index(scan->member_lines, uint32_t, scan->next_member++);
    }
    if (new_count == old_count && !scan->has_duplicate) {
        scan->has_duplicate = true;
        scan->json->error_line = line;
        g_strlcpy(scan->json->error_field, name, CT_JSON_FIELD_MAX);
    }
    g_hash_table_insert(scan->member_counts, object,
                        GUINT_TO_POINTER(new_count));
    g_hash_table_insert(scan->json->lines,
                        json_object_get_member(object, name),
                        GUINT_TO_POINTER(line));
}

static void
on_object_end(JsonParser *parser, JsonObject *object, struct scan *scan)
{
    (void)parser;
    if (scan->next_object < scan->object_lines->len) {
        uint32_t line =
            g_array_index(scan->object_lines, uint32_t, scan->next_object++);

        g_hash_table_insert(scan->json->lines, object, GUINT_TO_POINTER(line));
    }
}

/* json-glib knows the current line only while it parses. */
static void
on_error(JsonParser *parser, gpointer error, struct scan *scan)
{
    (void)error;
    scan->json->error_line = json_parser_get_current_line(parser);
}

static int
parse_scanned(struct ct_json *json, struct scan *scan, const char *text,
              size_t n)
{
    g_signal_connect(json->parser, "object-member", G_CALLBACK(on_member),
                     scan);
    g_signal_connect(json->parser, "error", G_CALLBACK(on_error), scan);
    g_signal_connect(json->parser, "object-end", G_CALLBACK(on_object_end),
                     scan);
    if (!json_parser_load_from_data(json->parser, text, (gssize)n, NULL)) {
        return CT_ERR_JSON_SYNTAX;
    }
    if (scan->has_duplicate) {
        return CT_ERR_FIELD_DOUBLED;
    }
    json->root = json_parser_get_root(json->parser);
    return json->root ? CT_OK : CT_ERR_JSON_SYNTAX;
}

int
ct_json_parse(struct ct_json *json, const char *text, size_t n)
{
    struct scan scan = {.line = 1, .json = json};
    int err;

    /* The data of an empty array may be NULL. */
    text = n > 0 ? text : "";
    scan.p = text;
    scan.end = text + n;
    memset(json, 0, sizeof(*json));
    json->parser = json_parser_new();
    json->lines = g_hash_table_new(NULL, NULL);
    scan.member_lines = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    scan.object_lines = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    scan.member_counts = g_hash_table_new(NULL, NULL);
    err = scan_text(&scan);
    if (err < 0) {
        json->error_line = scan.line;
    }
    else if (!g_utf8_validate(text, (gssize)n, NULL)) {
        err = CT_ERR_JSON_SYNTAX;
    }
    else {
        err = parse_scanned(json, &scan, text, n);
    }
    g_hash_table_unref(scan.member_counts);
    g_array_unref(scan.object_lines);
    g_array_unref(scan.member_lines);
    return err;
}

void
ct_json_free(struct ct_json *json)
{
    g_clear_object(&json->parser);
    g_clear_pointer(&json->lines, g_hash_table_unref);
    json->root = NULL;
}

uint32_t
ct_json_line(const struct ct_json *json, const void *node)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(json->lines, node));
}

JsonObject *
ct_json_object(const struct ct_json *json)
{
    return JSON_NODE_HOLDS_OBJECT(json->root)
               ? json_node_get_object(json->root)
               : NULL;
}

JsonArray *
ct_json_get_array(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
                                               : NULL;
}

const char *
ct_json_get_string(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING
               ? json_node_get_string(node)
               : NULL;
}

static int
get_value(JsonObject *object, const char *name, GType type, JsonNode **node)
{
    *node = json_object_get_member(object, name);
    if (!*node || JSON_NODE_HOLDS_NULL(*node)) {
        return CT_ERR_FIELD_MISSING;
    }
    return JSON_NODE_HOLDS_VALUE(*node) &&
                   json_node_get_value_type(*node) == type
               ? CT_OK
               : CT_ERR_FIELD_TYPE;
}

int
ct_json_get_int(JsonObject *object, const char *name, int64_t min, int64_t max,
                int64_t *value)
{
    JsonNode *node;
    int64_t result;
    int err = get_value(object, name, G_TYPE_INT64, &node);

    if (err < 0) {
        return err;
    }
    result = json_node_get_int(node);
    if (result < min || result > max) {
        return CT_ERR_FIELD_RANGE;
    }
    *value = result;
    return CT_OK;
}

int
ct_json_get_floor(JsonObject *object, const char *name, int64_t min,
                  int64_t max, int64_t *value)
{
    JsonNode *node;
    double result;

    if (get_value(object, name, G_TYPE_DOUBLE, &node) < 0) {
        return ct_json_get_int(object, name, min, max, value);
    }
    result = json_node_get_double(node);
    if (!(result >= (double)min && result <= (double)max)) {
        return CT_ERR_FIELD_RANGE;
    }
    *value = (int64_t)result;
    return CT_OK;
}

int
ct_json_get_bool(JsonObject *object, const char *name, bool *value)
{
    JsonNode *node;
    int err = get_value(object, name, G_TYPE_BOOLEAN, &node);

    if (err == CT_OK) {
        *value = json_node_get_boolean(node);
    }
    return err;
}

JsonObject *
ct_json_element_object(JsonArray *array, guint i)
{
    JsonNode *node = json_array_get_element(array, i);

    return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
