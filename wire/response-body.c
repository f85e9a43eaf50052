#include "response-body.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "error.h"

#define LINE_MAX_BYTES (256 * 1024)
#define LINE_INITIAL_BYTES 256

void
ct_sse_scan_init(struct ct_sse_scan *scan)
{
    memset(scan, 0, sizeof(*scan));
}

void
ct_sse_scan_free(struct ct_sse_scan *scan)
{
    g_free(scan->line);
    scan->line = NULL;
}

/* Returns a member that is a positive uint32, or 0 for anything else. */
static uint32_t
get_count(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    gint64 value;

    if (node == NULL || json_node_get_value_type(node) != G_TYPE_INT64) {
        return 0;
    }
    value = json_node_get_int(node);
    return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

int
ct_response_usage_parse(const char *json, size_t n,
                        struct ct_response_usage *usage)
{
    JsonParser *parser = json_parser_new();
    JsonNode *root;
    JsonNode *node = NULL;
    int err = CT_ERR_JSON_SYNTAX;

    if (!json_parser_load_from_data(parser, json, (gssize)n, NULL)) {
        goto out;
    }
    err = CT_ERR_FIELD_MISSING;
    root = json_parser_get_root(parser);
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        node = json_object_get_member(json_node_get_object(root), "usage");
    }
    if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
        JsonObject *object = json_node_get_object(node);

        usage->prompt_tokens = get_count(object, "prompt_tokens");
        usage->completion_tokens = get_count(object, "completion_tokens");
        err = CT_OK;
    }
out:
    g_object_unref(parser);
    return err;
}

/*
 * Whether the event has a "content" member that is not empty. A quote inside a
 * JSON string is escaped, so the pattern cannot match within one. The search
 * costs a fraction of parsing the event of each token.
 */
static bool
has_content(const char *line)
{
    static const char member[] = "\"content\"";
    const char *p = strstr(line, member);

    if (p == NULL) {
        return false;
    }
    p += sizeof(member) - 1;
    p += strspn(p, " \t");
    if (*p != ':') {
        return false;
    }
    p++;
    p += strspn(p, " \t");
    return p[0] == '"' && p[1] != '"';
}

static uint32_t
end_line(struct ct_sse_scan *scan)
{
    static const char field[] = "data:";
    const char *value;

    if (scan->overlong || scan->n < sizeof(field) - 1) {
        return 0;
    }
    scan->line[scan->n] = '\0';
    if (!g_str_has_prefix(scan->line, field)) {
        return 0;
    }
    value = g_strstrip(scan->line + sizeof(field) - 1);
    if (*value == '\0') {
        return 0;
    }
    scan->events++;
    if (strcmp(value, "[DONE]") == 0) {
        scan->done = true;
        return 0;
    }
    if (strstr(value, "\"usage\"") != NULL) {
        ct_response_usage_parse(value, strlen(value), &scan->usage);
    }
    return has_content(value) ? 1 : 0;
}

/* Buffers part of a line, with room for its NUL. */
static void
add_to_line(struct ct_sse_scan *scan, const char *data, size_t n)
{
    if (scan->overlong || scan->n + n > LINE_MAX_BYTES) {
        scan->overlong = true;
        return;
    }
    if (scan->n + n + 1 > scan->cap) {
        uint32_t cap = scan->cap ? scan->cap : LINE_INITIAL_BYTES;

        while (cap < scan->n + n + 1) {
            cap *= 2;
        }
        scan->line = g_realloc(scan->line, cap);
        scan->cap = cap;
    }
    memcpy(scan->line + scan->n, data, n);
    scan->n += n;
}

uint32_t
ct_sse_scan_push(struct ct_sse_scan *scan, const char *data, size_t n)
{
    const char *end = data + n;
    uint32_t tokens = 0;

    while (data < end && !scan->done) {
        const char *newline = memchr(data, '\n', (size_t)(end - data));
        const char *stop = newline != NULL ? newline : end;

        add_to_line(scan, data, (size_t)(stop - data));
        if (newline == NULL) {
            break;
        }
        tokens += end_line(scan);
        scan->n = 0;
        scan->overlong = false;
        data = newline + 1;
    }
    return tokens;
}
