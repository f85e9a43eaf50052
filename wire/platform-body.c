#include "platform-body.h"

#include <string.h>

#include "error.h"
#include "event.h"
#include "json-text.h"

static void
decode_entry(const char *data, struct ct_decoded_record *decoded)
{
    gsize n = 0;
    guchar *bytes = data ? g_base64_decode(data, &n) : NULL;

    if (ct_record_decode(bytes, n, decoded) < 0) {
        ct_decoded_record_free(decoded);
        decoded->record = (struct ct_record){.type = 0};
    }
    g_free(bytes);
}

static int
add_entry(struct ct_log_page *page, JsonObject *object)
{
    struct ct_log_page_entry entry = {0};
    int err;

    if (!object) {
        return CT_ERR_FIELD_TYPE;
    }
    err = ct_json_get_int(object, "offset", 1, INT64_MAX, &entry.offset);
    if (err < 0) {
        return err;
    }
    decode_entry(ct_json_get_string(object, "data"), &entry.decoded);
    g_array_append_val(page->entries, entry);
    return CT_OK;
}

static int
read_page(JsonObject *object, struct ct_log_page *page)
{
    JsonArray *entries;
    int err;

    if (!object) {
        return CT_ERR_FIELD_TYPE;
    }
    err = ct_json_get_int(object, "first", 0, INT64_MAX, &page->first);
    if (err < 0) {
        return err;
    }
    err = ct_json_get_int(object, "head", 0, INT64_MAX, &page->head);
    entries = ct_json_get_array(object, "entries");
    if (err < 0 || !entries) {
        return err;
    }
    for (guint i = 0; i < json_array_get_length(entries); i++) {
        err = add_entry(page, ct_json_element_object(entries, i));
        if (err < 0) {
            return err;
        }
    }
    return CT_OK;
}

int
ct_log_page_parse(const char *text, size_t n, struct ct_log_page *page)
{
    struct ct_json json;
    int err;

    page->entries =
        g_array_new(FALSE, FALSE, sizeof(struct ct_log_page_entry));
    err = ct_json_parse(&json, text, n);
    if (err == CT_OK) {
        err = read_page(ct_json_object(&json), page);
    }
    ct_json_free(&json);
    return err;
}

void
ct_log_page_free(struct ct_log_page *page)
{
    for (guint i = 0; i < page->entries->len; i++) {
        ct_decoded_record_free(
            &g_array_index(page->entries, struct ct_log_page_entry, i)
                 .decoded);
    }
    g_clear_pointer(&page->entries, g_array_unref);
}

int
ct_append_body(const struct ct_record *record, GString *out)
{
    GByteArray *bytes = g_byte_array_new();
    int err = ct_record_encode(record, bytes);
    char *data;

    if (err == CT_OK) {
        data = g_base64_encode(bytes->data, bytes->len);
        g_string_append_printf(out, "{\"data\":\"%s\"}", data);
        g_free(data);
    }
    g_byte_array_unref(bytes);
    return err;
}

int
ct_append_response_parse(const char *text, size_t n, int64_t *offset)
{
    struct ct_json json;
    JsonObject *object;
    int err = ct_json_parse(&json, text, n);

    if (err == CT_OK) {
        object = ct_json_object(&json);
        err = object ? ct_json_get_int(object, "offset", 1, INT64_MAX, offset)
                     : CT_ERR_FIELD_TYPE;
    }
    ct_json_free(&json);
    return err;
}

static void
add_text_member(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

static void
add_int_member(JsonBuilder *builder, const char *name, int64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, value);
}

/* Appends the object as text and frees the builder. */
static void
append_object(JsonBuilder *builder, GString *out)
{
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);

    g_string_append(out, text);
    g_free(text);
    json_node_unref(root);
    g_object_unref(builder);
}

static const char *
order_kind_text(enum ct_order_kind kind)
{
    switch (kind) {
    case CT_ORDER_START:
        return "start";
    case CT_ORDER_STOP:
        return "stop";
    case CT_ORDER_LOAD_MODEL:
        return "load-model";
    case CT_ORDER_ROLE:
        return "role";
    }
    return "";
}

void
ct_order_body(const struct ct_order *order, GString *out)
{
    JsonBuilder *builder = json_builder_new();

    json_builder_begin_object(builder);
    add_int_member(builder, "order_id", (int64_t)order->order_id);
    add_int_member(builder, "term", order->term);
    add_text_member(builder, "kind", order_kind_text(order->kind));
    add_text_member(builder, "pool", order->pool.text);
    add_text_member(builder, "zone", order->zone.text);
    add_text_member(builder, "upstream", order->upstream.text);
    add_text_member(builder, "model", order->model.text);
    json_builder_set_member_name(builder, "cheap");
    json_builder_add_boolean_value(builder, order->cheap);
    json_builder_end_object(builder);
    append_object(builder, out);
}

static void
add_usage_row(JsonBuilder *builder, const struct ct_usage_row *row)
{
    json_builder_begin_object(builder);
    add_text_member(builder, "organisation", row->organisation.text);
    add_int_member(builder, "requests", (int64_t)row->requests);
    add_int_member(builder, "tokens_in", (int64_t)row->tokens_in);
    add_int_member(builder, "tokens_out", (int64_t)row->tokens_out);
    add_int_member(builder, "late_requests", (int64_t)row->late_requests);
    json_builder_end_object(builder);
}

void
ct_usage_body(const struct ct_usage_window *window,
              const struct ct_usage_row *rows, uint32_t n, GString *out)
{
    JsonBuilder *builder = json_builder_new();

    json_builder_begin_object(builder);
    add_int_member(builder, "window_start_ms", window->window_start_ms);
    add_int_member(builder, "term", window->term);
    json_builder_set_member_name(builder, "rows");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < n; i++) {
        add_usage_row(builder, &rows[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    append_object(builder, out);
}

static bool
get_name(JsonObject *object, const char *name, struct ct_name *out)
{
    const char *text = ct_json_get_string(object, name);

    return text && *text && CT_TEXT_SET(*out, text) == CT_OK;
}

static void
add_host(JsonObject *object, GArray *rows)
{
    struct ct_host_row row = {.leaving = false};

    if (get_name(object, "name", &row.name)) {
        ct_json_get_bool(object, "leaving", &row.leaving);
        g_array_append_val(rows, row);
    }
}

static void
add_upstream(JsonObject *object, GArray *rows)
{
    const char *address = ct_json_get_string(object, "address");
    const char *state = ct_json_get_string(object, "state");
    struct ct_listed_upstream row = {.leaving = false};
    int64_t slots;

    if (!state || !address || CT_TEXT_SET(row.upstream.address, address) < 0 ||
        !get_name(object, "name", &row.upstream.name) ||
        !get_name(object, "pool", &row.upstream.pool) ||
        !get_name(object, "zone", &row.upstream.zone) ||
        ct_json_get_int(object, "slots", 1, UINT32_MAX, &slots) < 0) {
        return;
    }
    row.upstream.slots = (uint32_t)slots;
    row.leaving = strcmp(state, "leaving") == 0;
    ct_json_get_bool(object, "cheap", &row.upstream.cheap);
    if (row.leaving || strcmp(state, "running") == 0) {
        g_array_append_val(rows, row);
    }
}

/*
 * Parses the objects in the list that is the member "name"; elements of other
 * types are ignored.
 */
static int
parse_list(const char *text, size_t n, const char *name,
           void (*add)(JsonObject *object, GArray *rows), GArray *rows)
{
    JsonArray *list = NULL;
    struct ct_json json;
    int err = ct_json_parse(&json, text, n);

    if (err == CT_OK && ct_json_object(&json)) {
        list = ct_json_get_array(ct_json_object(&json), name);
    }
    if (err == CT_OK && !list) {
        err = CT_ERR_FIELD_MISSING;
    }
    for (guint i = 0; list && i < json_array_get_length(list); i++) {
        JsonObject *object = ct_json_element_object(list, i);

        if (object) {
            add(object, rows);
        }
    }
    ct_json_free(&json);
    return err;
}

int
ct_host_list_parse(const char *text, size_t n, GArray **rows)
{
    *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_host_row));
    return parse_list(text, n, "hosts", add_host, *rows);
}

int
ct_upstream_list_parse(const char *text, size_t n, GArray **rows)
{
    *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_listed_upstream));
    return parse_list(text, n, "upstreams", add_upstream, *rows);
}
