#include "service-files.h"

#include <string.h>

#include "error.h"
#include "schema.h"
#include "service-checks.h"

#define MINUTE_MS 60000
#define DAY_MS (24 * 60 * MINUTE_MS)
#define WEIGHT_MAX 1000
#define PERCENT_MAX 100
#define UPSTREAMS_MAX 10000
#define SLOTS_MAX 4096

#define REQUIRED CT_SCHEMA_REQUIRED
#define OPTIONAL CT_SCHEMA_OPTIONAL
#define AT CT_SCHEMA_AT

static const struct ct_schema_field organisation_fields[] = {
    {"name", CT_SCHEMA_NAME, REQUIRED, AT(organisation, name)},
    {"weight", CT_SCHEMA_U32, OPTIONAL, AT(organisation, weight), 1,
     WEIGHT_MAX, .fallback = 1},
};

static const struct ct_schema_field host_fields[] = {
    {"name", CT_SCHEMA_NAME, REQUIRED, AT(host, name)},
    {"zone", CT_SCHEMA_NAME, REQUIRED, AT(host, zone)},
    {"caller_address", CT_SCHEMA_ADDRESS, REQUIRED, AT(host, caller_address),
     1},
    {"peer_address", CT_SCHEMA_ADDRESS, REQUIRED, AT(host, peer_address), 1},
    {"operator_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(host, operator_address), 1},
};

static const struct ct_schema_field class_fields[] = {
    {"name", CT_SCHEMA_NAME, REQUIRED, AT(class, name)},
    {"tier", CT_SCHEMA_U32, REQUIRED, AT(class, tier), 0, CT_TIERS - 1},
    {"first_token_target_ms", CT_SCHEMA_MS, OPTIONAL,
     AT(class, first_token_target_ms), 1, DAY_MS},
    {"token_gap_target_ms", CT_SCHEMA_MS, OPTIONAL,
     AT(class, token_gap_target_ms), 1, MINUTE_MS},
    {"total_target_ms", CT_SCHEMA_MS, OPTIONAL, AT(class, total_target_ms), 1,
     DAY_MS},
    {"gap_timeout_ms", CT_SCHEMA_MS, REQUIRED, AT(class, gap_timeout_ms), 10,
     DAY_MS},
    {"queue_limit_ms", CT_SCHEMA_MS, REQUIRED, AT(class, queue_limit_ms), 1,
     DAY_MS},
    {"retry_budget_percent", CT_SCHEMA_U32, OPTIONAL,
     AT(class, retry_budget_percent), 0, PERCENT_MAX, .fallback = 10},
    {"hedge_budget_percent", CT_SCHEMA_U32, OPTIONAL,
     AT(class, hedge_budget_percent), 0, PERCENT_MAX},
    {"reserve_percent", CT_SCHEMA_U32, OPTIONAL, AT(class, reserve_percent), 0,
     PERCENT_MAX},
    {"cheap_allowed", CT_SCHEMA_BOOL, OPTIONAL, AT(class, cheap_allowed)},
};

static const struct ct_schema_word pool_kinds[] = {
    {"engine", CT_POOL_ENGINE},
    {"plain", CT_POOL_PLAIN},
    {NULL, 0},
};

static const struct ct_schema_field pool_fields[] = {
    {"name", CT_SCHEMA_NAME, REQUIRED, AT(pool, name)},
    {"kind", CT_SCHEMA_WORD, REQUIRED, AT(pool, kind), .words = pool_kinds},
    {"min_upstreams", CT_SCHEMA_U32, OPTIONAL, AT(pool, min_upstreams), 0,
     UPSTREAMS_MAX},
    {"max_upstreams", CT_SCHEMA_U32, OPTIONAL, AT(pool, max_upstreams), 0,
     UPSTREAMS_MAX},
};

static const struct ct_schema_field upstream_fields[] = {
    {"name", CT_SCHEMA_NAME, REQUIRED, AT(upstream, name)},
    {"pool", CT_SCHEMA_NAME, REQUIRED, AT(upstream, pool)},
    {"zone", CT_SCHEMA_NAME, REQUIRED, AT(upstream, zone)},
    {"address", CT_SCHEMA_ADDRESS, REQUIRED, AT(upstream, address), 1},
    {"slots", CT_SCHEMA_U32, REQUIRED, AT(upstream, slots), 1, SLOTS_MAX},
    {"cheap", CT_SCHEMA_BOOL, OPTIONAL, AT(upstream, cheap)},
    {"checks_fencing", CT_SCHEMA_BOOL, OPTIONAL, AT(upstream, checks_fencing)},
};

/* A route and the organisations that may call it. */
struct ct_route_entry {
    struct ct_config_row row;
    GArray *organisations;
};

static const struct ct_schema_field route_fields[] = {
    {"path", CT_SCHEMA_PATH, REQUIRED, AT(route_entry, row.u.route.path)},
    {"model", CT_SCHEMA_TEXT, OPTIONAL, AT(route_entry, row.u.route.model), 1,
     CT_NAME_MAX - 1},
    {"class", CT_SCHEMA_NAME, REQUIRED,
     AT(route_entry, row.u.route.class_name)},
    {"pool", CT_SCHEMA_NAME, REQUIRED, AT(route_entry, row.u.route.pool)},
    {"open_to_all", CT_SCHEMA_BOOL, OPTIONAL,
     AT(route_entry, row.u.route.open_to_all)},
    {"organisations", CT_SCHEMA_NAMES, OPTIONAL,
     offsetof(struct ct_route_entry, organisations)},
    {"idempotent", CT_SCHEMA_BOOL, REQUIRED,
     AT(route_entry, row.u.route.idempotent)},
};

#define SCHEMA(array)                                                         \
    {                                                                         \
        G_N_ELEMENTS(array), array                                            \
    }

/* One of the lists in a service file. */
struct section {
    const char *name;
    enum ct_config_kind kind;
    /* Offset of the schema's struct in struct ct_route_entry. */
    size_t offset;
    struct ct_schema schema;
};

#define IN_ROW(member) offsetof(struct ct_route_entry, row.u.member)

static const struct section sections[] = {
    {"organisations", CT_CONFIG_ORGANISATION, IN_ROW(organisation),
     SCHEMA(organisation_fields)},
    {"hosts", CT_CONFIG_HOST, IN_ROW(host), SCHEMA(host_fields)},
    {"classes", CT_CONFIG_CLASS, IN_ROW(klass), SCHEMA(class_fields)},
    {"pools", CT_CONFIG_POOL, IN_ROW(pool), SCHEMA(pool_fields)},
    {"upstreams", CT_CONFIG_UPSTREAM, IN_ROW(upstream),
     SCHEMA(upstream_fields)},
    {"routes", CT_CONFIG_ROUTE, 0, SCHEMA(route_fields)},
};

static void
add_row(struct ct_config_draft *draft, const struct ct_config_row *row,
        const struct ct_row_source *source)
{
    g_array_append_val(draft->rows, *row);
    g_array_append_val(draft->sources, *source);
}

static void
add_access_rows(struct ct_config_draft *draft,
                const struct ct_route_entry *entry,
                const struct ct_row_source *source)
{
    struct ct_config_row row = {.kind = CT_CONFIG_ACCESS};

    for (guint i = 0; entry->organisations && i < entry->organisations->len;
         i++) {
        row.u.access.path = entry->row.u.route.path;
        row.u.access.model = entry->row.u.route.model;
        row.u.access.organisation =
            g_array_index(entry->organisations, struct ct_name, i);
        add_row(draft, &row, source);
    }
}

static void
read_element(struct ct_config_draft *draft, const struct section *section,
             const struct ct_json_file *file, JsonNode *node, guint i)
{
    struct ct_route_entry entry = {.row.kind = section->kind};
    struct ct_row_source source = {0};

    g_strlcpy(source.file, file->path, sizeof(source.file));
    g_snprintf(source.field, sizeof(source.field), "%s[%u]", section->name, i);
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        ct_diags_add(draft->diags, CT_ERR_FIELD_TYPE, source.file, 0,
                     source.field, NULL);
        return;
    }
    source.line = ct_json_line(&file->json, json_node_get_object(node));
    /*
     * A row with findings is added as well: references to its name must not be
     * reported as unknown.
     */
    ct_schema_read(&section->schema, file, json_node_get_object(node),
                   source.field, (uint8_t *)&entry + section->offset,
                   draft->diags);
    add_row(draft, &entry.row, &source);
    add_access_rows(draft, &entry, &source);
    g_clear_pointer(&entry.organisations, g_array_unref);
}

static const struct section *
find_section(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
        if (strcmp(sections[i].name, name) == 0) {
            return &sections[i];
        }
    }
    return NULL;
}

static void
read_member(struct ct_config_draft *draft, const struct ct_json_file *file,
            const char *name, JsonNode *node)
{
    const struct section *section = find_section(name);
    int err = CT_OK;

    if (!section) {
        err = CT_ERR_FIELD_UNKNOWN;
    }
    else if (!JSON_NODE_HOLDS_ARRAY(node)) {
        err = CT_ERR_FIELD_TYPE;
    }
    if (err < 0) {
        ct_diags_add(draft->diags, err, file->path,
                     ct_json_line(&file->json, node), name, NULL);
        return;
    }
    for (guint i = 0; i < json_array_get_length(json_node_get_array(node));
         i++) {
        read_element(draft, section, file,
                     json_array_get_element(json_node_get_array(node), i), i);
    }
}

static void
read_file(struct ct_config_draft *draft, const char *path)
{
    struct ct_json_file file;
    GList *names;

    if (ct_json_file_load(&file, path, draft->diags) == CT_OK) {
        /* Preserves the order of the file, unlike a JsonObjectIter. */
        names = json_object_get_members(file.root);
        for (GList *item = names; item; item = item->next) {
            read_member(draft, &file, item->data,
                        json_object_get_member(file.root, item->data));
        }
        g_list_free(names);
    }
    ct_json_file_free(&file);
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
read_dir(struct ct_config_draft *draft, const char *dir)
{
    GDir *handle = g_dir_open(dir, 0, NULL);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    const char *name;

    while (handle && (name = g_dir_read_name(handle))) {
        if (g_str_has_suffix(name, ".json")) {
            g_ptr_array_add(names, g_build_filename(dir, name, NULL));
        }
    }
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        read_file(draft, g_ptr_array_index(names, i));
    }
    if (names->len == 0) {
        ct_diags_add(draft->diags, handle ? CT_ERR_NOT_FOUND : CT_ERR_IO, dir,
                     0, NULL, NULL);
    }
    g_ptr_array_unref(names);
    g_clear_pointer(&handle, g_dir_close);
}

int
ct_service_files_load(struct ct_service_files *files, const char *const *dirs,
                      size_t n, struct ct_diags *diags)
{
    struct ct_config_draft draft = {.diags = diags};
    guint before = ct_diags_count(diags);

    draft.rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    draft.sources = g_array_new(FALSE, TRUE, sizeof(struct ct_row_source));
    for (size_t i = 0; i < n; i++) {
        read_dir(&draft, dirs[i]);
    }
    ct_service_checks(&draft, n > 0 ? dirs[0] : "");
    g_array_unref(draft.sources);
    files->rows = draft.rows;
    return ct_diags_count(diags) > before ? ct_diags_get(diags, before)->err
                                          : CT_OK;
}

void
ct_service_files_free(struct ct_service_files *files)
{
    g_clear_pointer(&files->rows, g_array_unref);
}
