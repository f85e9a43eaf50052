#include "schema.h"

#include <arpa/inet.h>
#include <string.h>

#include "error.h"

#define URL_SCHEME "http://"
#define PORT_MAX 65535

struct reader {
    const struct ct_json_file *file;
    const char *path;
    struct ct_diags *diags;
    int err;
};

static void
report_error(struct reader *reader, int err, const char *name, uint32_t line,
             const char *value)
{
    char field[CT_DIAG_FIELD_MAX];

    g_snprintf(field, sizeof(field), "%s%s%s", reader->path,
               reader->path[0] ? "." : "", name);
    ct_diags_add(reader->diags, err, reader->file->path, line, field, value);
    if (reader->err == CT_OK) {
        reader->err = err;
    }
}

bool
ct_schema_is_name(const char *text)
{
    const char *p;

    for (p = text; *p; p++) {
        if (!g_ascii_isalnum(*p) && !strchr("._-", *p)) {
            return false;
        }
    }
    return p > text && p - text < CT_NAME_MAX;
}

static bool
is_plain_text(const char *text)
{
    for (; *text; text++) {
        if (*text <= ' ' || *text > '~' || *text == '"' || *text == '\\') {
            return false;
        }
    }
    return true;
}

static bool
is_port(const char *text, int64_t min)
{
    guint64 port;

    return g_ascii_string_to_unsigned(text, 10, (guint64)min, PORT_MAX, &port,
                                      NULL);
}

static bool
is_address(const char *text, int64_t min_port)
{
    const char *colon = strrchr(text, ':');
    unsigned char ip[sizeof(struct in6_addr)];
    char host[CT_ADDRESS_MAX];
    size_t n = colon ? (size_t)(colon - text) : 0;

    if (n < 2 || n >= sizeof(host) || !is_port(colon + 1, min_port)) {
        return false;
    }
    memcpy(host, text, n);
    host[n] = '\0';
    if (host[0] == '[' && host[n - 1] == ']') {
        host[n - 1] = '\0';
        return inet_pton(AF_INET6, host + 1, ip) == 1;
    }
    return inet_pton(AF_INET, host, ip) == 1;
}

static bool
text_is_valid(const struct ct_schema_field *field, const char *text)
{
    int64_t n = (int64_t)strlen(text);

    switch (field->kind) {
    case CT_SCHEMA_NAME:
        return ct_schema_is_name(text);
    case CT_SCHEMA_PATH:
        return text[0] == '/' && is_plain_text(text) &&
               !strpbrk(text, "?#%") && !strstr(text, "//");
    case CT_SCHEMA_ADDRESS:
        return is_address(text, field->min);
    case CT_SCHEMA_URL:
        return g_str_has_prefix(text, URL_SCHEME) &&
               is_address(text + strlen(URL_SCHEME), 1);
    default:
        return is_plain_text(text) && n >= field->min && n <= field->max;
    }
}

static int
read_text(const struct ct_schema_field *field, JsonObject *object, char *out)
{
    const char *text = ct_json_get_string(object, field->name);

    if (!text) {
        return CT_ERR_FIELD_TYPE;
    }
    if (!text_is_valid(field, text) ||
        ct_text_set(out, (uint32_t)field->size, text) < 0) {
        return CT_ERR_FIELD_RANGE;
    }
    return CT_OK;
}

static int
read_word(const struct ct_schema_field *field, JsonObject *object, int *out)
{
    const char *text = ct_json_get_string(object, field->name);

    if (!text) {
        return CT_ERR_FIELD_TYPE;
    }
    for (const struct ct_schema_word *word = field->words; word->text;
         word++) {
        if (strcmp(word->text, text) == 0) {
            *out = word->value;
            return CT_OK;
        }
    }
    return CT_ERR_FIELD_RANGE;
}

static int
read_number(const struct ct_schema_field *field, JsonObject *object, void *out)
{
    int64_t value;
    int err = (field->fraction ? ct_json_get_floor : ct_json_get_int)(
        object, field->name, field->min, field->max, &value);

    if (err < 0) {
        return err;
    }
    if (field->kind == CT_SCHEMA_U32) {
        *(uint32_t *)out = (uint32_t)value;
    }
    else {
        *(int64_t *)out = value;
    }
    return CT_OK;
}

static int
read_names(const struct ct_schema_field *field, JsonObject *object,
           GArray **out)
{
    JsonArray *array = ct_json_get_array(object, field->name);
    GArray *names;

    if (!array) {
        return CT_ERR_FIELD_TYPE;
    }
    names = g_array_new(FALSE, TRUE, sizeof(struct ct_name));
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *node = json_array_get_element(array, i);
        const char *text =
            JSON_NODE_HOLDS_VALUE(node) &&
                    json_node_get_value_type(node) == G_TYPE_STRING
                ? json_node_get_string(node)
                : "";
        struct ct_name name;

        if (!ct_schema_is_name(text)) {
            g_array_unref(names);
            return CT_ERR_FIELD_RANGE;
        }
        CT_TEXT_SET(name, text);
        g_array_append_val(names, name);
    }
    *out = names;
    return CT_OK;
}

/* Reads an embedded object. */
static void
read_object(struct reader *reader, const struct ct_schema_field *field,
            JsonObject *object, void *out)
{
    char path[CT_DIAG_FIELD_MAX];
    int err;

    g_snprintf(path, sizeof(path), "%s%s%s", reader->path,
               reader->path[0] ? "." : "", field->name);
    err = ct_schema_read(field->object, reader->file, object, path, out,
                         reader->diags);
    if (reader->err == CT_OK) {
        reader->err = err;
    }
}

static void
read_object_member(struct reader *reader, const struct ct_schema_field *field,
                   JsonNode *node, void *out)
{
    JsonObject *empty;

    if (!node) {
        empty = json_object_new();
        read_object(reader, field, empty, out);
        json_object_unref(empty);
    }
    else if (JSON_NODE_HOLDS_OBJECT(node)) {
        read_object(reader, field, json_node_get_object(node), out);
    }
    else {
        report_error(reader, CT_ERR_FIELD_TYPE, field->name,
                     ct_json_line(&reader->file->json, node), NULL);
    }
}

static int
read_secrets(const struct ct_schema_field *field, JsonObject *object,
             GArray **out)
{
    JsonNode *node = json_object_get_member(object, field->name);
    struct ct_named_secret item;
    JsonObjectIter iter;
    JsonNode *member;
    const char *name;
    const char *text;

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return CT_ERR_FIELD_TYPE;
    }
    *out = g_array_new(FALSE, TRUE, sizeof(item));
    json_object_iter_init(&iter, json_node_get_object(node));
    while (json_object_iter_next(&iter, &name, &member)) {
        text = ct_json_get_string(json_node_get_object(node), name);
        if (!text) {
            return CT_ERR_FIELD_TYPE;
        }
        if (!ct_schema_is_name(name) || !is_plain_text(text) ||
            CT_TEXT_SET(item.secret, text) < 0) {
            return CT_ERR_FIELD_RANGE;
        }
        CT_TEXT_SET(item.name, name);
        g_array_append_val(*out, item);
    }
    return CT_OK;
}

/* field->min and field->max are in thousandths as well. */
static int
read_milli(const struct ct_schema_field *field, JsonObject *object, void *out)
{
    JsonNode *node = json_object_get_member(object, field->name);
    double value;

    if (!JSON_NODE_HOLDS_VALUE(node) ||
        (json_node_get_value_type(node) != G_TYPE_DOUBLE &&
         json_node_get_value_type(node) != G_TYPE_INT64)) {
        return CT_ERR_FIELD_TYPE;
    }
    value = json_node_get_double(node) * 1000;
    if (!(value >= (double)field->min && value <= (double)field->max)) {
        return CT_ERR_FIELD_RANGE;
    }
    *(int64_t *)out = (int64_t)(value + 0.5);
    return CT_OK;
}

static int
read_value(const struct ct_schema_field *field, JsonObject *object, void *out)
{
    switch (field->kind) {
    case CT_SCHEMA_BOOL:
        return ct_json_get_bool(object, field->name, out);
    case CT_SCHEMA_U32:
    case CT_SCHEMA_MS:
        return read_number(field, object, out);
    case CT_SCHEMA_MILLI:
        return read_milli(field, object, out);
    case CT_SCHEMA_WORD:
        return read_word(field, object, out);
    case CT_SCHEMA_NAMES:
        return read_names(field, object, out);
    case CT_SCHEMA_SECRETS:
        return read_secrets(field, object, out);
    default:
        return read_text(field, object, out);
    }
}

/* Returns the value for a finding; NULL for secrets, which are not shown. */
static const char *
printable_value(const struct ct_schema_field *field, JsonObject *object)
{
    return field->kind == CT_SCHEMA_SECRET || field->kind == CT_SCHEMA_SECRETS
               ? NULL
               : ct_json_get_string(object, field->name);
}

static void
set_default(const struct ct_schema_field *field, void *out)
{
    if (field->kind == CT_SCHEMA_U32) {
        *(uint32_t *)out = (uint32_t)field->fallback;
    }
    else if (field->kind == CT_SCHEMA_MS || field->kind == CT_SCHEMA_MILLI) {
        *(int64_t *)out = field->fallback;
    }
}

static void
read_field(struct reader *reader, const struct ct_schema_field *field,
           JsonObject *object, uint8_t *out)
{
    JsonNode *node = json_object_get_member(object, field->name);
    void *dest = out + field->offset;
    int err;

    if (field->kind == CT_SCHEMA_OBJECT) {
        read_object_member(reader, field, node, dest);
        return;
    }
    if (!node) {
        set_default(field, dest);
        if (field->need == CT_SCHEMA_REQUIRED) {
            report_error(reader, CT_ERR_FIELD_MISSING, field->name,
                         ct_json_line(&reader->file->json, object), NULL);
        }
        return;
    }
    err = read_value(field, object, dest);
    if (err == CT_ERR_FIELD_MISSING) {
        /* The member exists, but is null. */
        err = CT_ERR_FIELD_TYPE;
    }
    if (err < 0) {
        report_error(reader, err, field->name,
                     ct_json_line(&reader->file->json, node),
                     printable_value(field, object));
    }
}

static bool
has_field(const struct ct_schema *schema, const char *name)
{
    for (size_t i = 0; i < schema->n; i++) {
        if (strcmp(schema->fields[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
report_unknown_fields(struct reader *reader, const struct ct_schema *schema,
                      JsonObject *object)
{
    GList *names = json_object_get_members(object);

    for (GList *item = names; item; item = item->next) {
        JsonNode *node = json_object_get_member(object, item->data);

        if (!has_field(schema, item->data)) {
            report_error(reader, CT_ERR_FIELD_UNKNOWN, item->data,
                         ct_json_line(&reader->file->json, node), NULL);
        }
    }
    g_list_free(names);
}

int
ct_schema_read(const struct ct_schema *schema, const struct ct_json_file *file,
               JsonObject *object, const char *path, void *out,
               struct ct_diags *diags)
{
    struct reader reader = {file, path, diags, CT_OK};

    report_unknown_fields(&reader, schema, object);
    for (size_t i = 0; i < schema->n; i++) {
        read_field(&reader, &schema->fields[i], object, out);
    }
    return reader.err;
}

int
ct_schema_load(const struct ct_schema *schema, const char *path, void *out,
               size_t size, struct ct_diags *diags)
{
    struct ct_json_file file;
    int err;

    memset(out, 0, size);
    err = ct_json_file_load(&file, path, diags);
    if (err == CT_OK) {
        err = ct_schema_read(schema, &file, file.root, "", out, diags);
    }
    ct_json_file_free(&file);
    return err;
}
