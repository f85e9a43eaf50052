/* Tests of config-entry.h: configurations in the platform's JSON. */
#include <string.h>

#include "config-entry.h"
#include "error.h"

#define LIMITS                                                                \
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"          \
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
#define SERVICE "{\"name\":\"s1\",\"healthPath\":\"/h\",\"maxConns\":9}"
#define ROUTE(more)                                                           \
    "{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","         \
    "\"type\":\"stream\",\"timeoutMs\":12000,\"sloMs\":2000,\"priority\":2,"  \
    "\"attempts\":2,\"public\":false,\"sticky\":true" more "}"
#define CONFIG(services, tenants, routes)                                     \
    "{\"version\":7," LIMITS ",\"services\":[" services                       \
    "],\"tenants\":[" tenants "],\"routes\":[" routes "]}"

static const struct ct_config_row *
nth_row(const GArray *rows, enum ct_config_kind kind, guint nth)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == kind && nth-- == 0) {
            return row;
        }
    }
    return NULL;
}

static int
parse_config(const char *text, struct ct_store_config *config, GArray **rows)
{
    *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    memset(config, 0, sizeof(*config));
    return ct_config_entry(text, strlen(text), config, *rows);
}

/* Times and sizes may have a fraction, which is cut off. */
static void
test_fractions(void)
{
    static const char text[] =
        "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384.0,"
        "\"maxBodyBytes\":4194304.5,\"headerTimeoutMs\":3000.5,"
        "\"idleTimeoutMs\":15000.5},\"services\":[" SERVICE
        "],\"tenants\":[],\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
        "\"pathPrefix\":\"/x/\",\"type\":\"stream\",\"timeoutMs\":12000.7,"
        "\"sloMs\":2000.5,\"itlTargetMs\":250.9,\"service\":\"s1\"}]}";
    const struct ct_config_row *row;
    struct ct_store_config config;
    GArray *rows;

    g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
    row = nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0);
    g_assert_cmpint(row->u.prefix_route.timeout_ms, ==, 12000);
    g_assert_cmpint(row->u.prefix_route.gap_target_ms, ==, 250);
    g_assert_cmpuint(config.bounds.body_bytes, ==, 4194304);
    g_array_free(rows, TRUE);
}

static void
test_config(void)
{
    static const char text[] = CONFIG(
        SERVICE ",{\"name\":\"s2\",\"engine\":{\"slots\":64,"
                "\"backups\":true},\"scaling\":{\"min\":1,"
                "\"max\":10,\"bootS\":4.5,\"spotPrice\":0.18,"
                "\"zonePrices\":{\"za\":1.0,\"zb\":0.8}}}",
        "{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1},"
        "{\"name\":\"zeta\",\"apiKeys\":[]}",
        ROUTE(",\"resumable\":true,\"itlTargetMs\":250,\"backends\":[{"
              "\"service\":\"s1\","
              "\"weight\":90},{\"service\":\"s2\",\"weight\":10}]"));
    const struct ct_config_row *row;
    struct ct_store_config config;
    GArray *rows;

    g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
    g_assert_cmpint(config.version, ==, 7);
    g_assert_cmpuint(config.bounds.body_bytes, ==, 4194304);
    g_assert_cmpint(config.bounds.idle_timeout_ms, ==, 15000);
    row = nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0);
    g_assert_cmpstr(row->u.prefix_route.authority.text, ==, "a.example");
    g_assert_cmpint(row->u.prefix_route.repeat, ==, CT_REPEAT_RESUME);
    g_assert_true(row->u.prefix_route.stream);
    g_assert_cmpint(row->u.prefix_route.timeout_ms, ==, 12000);
    g_assert_cmpint(row->u.prefix_route.gap_target_ms, ==, 250);
    g_assert_cmpuint(row->u.prefix_route.attempts, ==, 2);
    row = nth_row(rows, CT_CONFIG_POOL_SHARE, 1);
    g_assert_cmpstr(row->u.pool_share.pool.text, ==, "s2");
    g_assert_cmpuint(row->u.pool_share.weight, ==, 10);
    row = nth_row(rows, CT_CONFIG_POOL, 1);
    g_assert_cmpint(row->u.pool.kind, ==, CT_POOL_ENGINE);
    g_assert_cmpuint(row->u.pool.max_upstreams, ==, 10);
    g_assert_true(row->u.pool.backs_up);
    g_assert_false(nth_row(rows, CT_CONFIG_POOL, 0)->u.pool.backs_up);
    row = nth_row(rows, CT_CONFIG_ORDER_ZONE, 0);
    g_assert_cmpstr(row->u.order_zone.pool.text, ==, "s2");
    g_assert_cmpstr(row->u.order_zone.zone.text, ==, "za");
    row = nth_row(rows, CT_CONFIG_ORDER_ZONE, 1);
    g_assert_cmpstr(row->u.order_zone.zone.text, ==, "zb");
    g_assert_null(nth_row(rows, CT_CONFIG_ORDER_ZONE, 2));
    g_assert_nonnull(nth_row(rows, CT_CONFIG_KEY, 1));
    g_assert_null(nth_row(rows, CT_CONFIG_KEY, 2));
    row = nth_row(rows, CT_CONFIG_ORGANISATION, 0);
    g_assert_true(row->u.organisation.has_rank);
    g_assert_false(
        nth_row(rows, CT_CONFIG_ORGANISATION, 1)->u.organisation.has_rank);
    g_array_free(rows, TRUE);
}

/*
 * Guards against a configuration that is dropped as a whole because a valid
 * text in it is long: a name of 255 characters, the longest host name that DNS
 * allows, a path prefix of 511 characters.
 */
static void
test_long_texts(void)
{
    g_autofree char *name = g_strnfill(255, 'n');
    g_autofree char *host = g_strnfill(253, 'h');
    g_autofree char *directory = g_strnfill(509, 'd');
    g_autofree char *prefix = g_strdup_printf("/%s/", directory);
    g_autofree char *text = g_strdup_printf(
        "{\"version\":7," LIMITS
        ",\"services\":[{\"name\":\"%s\",\"scaling\":{"
        "\"min\":1,\"max\":2,\"zonePrices\":{\"%s\":1}}}],"
        "\"tenants\":[{\"name\":\"%s\",\"apiKeys\":[\"%s\"]}],"
        "\"routes\":[{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\","
        "\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"%s\"}]}",
        name, name, name, prefix, name, host, prefix, name);
    const struct ct_config_row *row;
    struct ct_store_config config;
    GArray *rows;

    g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
    row = nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0);
    g_assert_cmpstr(row->u.prefix_route.name.text, ==, name);
    g_assert_cmpstr(row->u.prefix_route.authority.text, ==, host);
    g_assert_cmpstr(row->u.prefix_route.prefix.text, ==, prefix);
    row = nth_row(rows, CT_CONFIG_POOL_SHARE, 0);
    g_assert_cmpstr(row->u.pool_share.pool.text, ==, name);
    row = nth_row(rows, CT_CONFIG_POOL, 0);
    g_assert_cmpstr(row->u.pool.name.text, ==, name);
    row = nth_row(rows, CT_CONFIG_ORDER_ZONE, 0);
    g_assert_cmpstr(row->u.order_zone.zone.text, ==, name);
    row = nth_row(rows, CT_CONFIG_KEY, 0);
    g_assert_cmpstr(row->u.key.organisation.text, ==, name);
    g_array_free(rows, TRUE);
}

/* The route type determines whether a call may be repeated or streamed. */
static void
test_route_types(void)
{
    static const struct {
        const char *kind, *more;
        enum ct_repeat repeat;
        bool stream;
    } cases[] = {
        {"safe", "", CT_REPEAT_ANY, false},
        {"unsafe", "", CT_REPEAT_NEVER, false},
        {"unsafe", ",\"resumable\":true", CT_REPEAT_NEVER, false},
        {"stream", "", CT_REPEAT_NEVER, true},
        {"stream", ",\"resumable\":false", CT_REPEAT_NEVER, true},
        {"stream", ",\"resumable\":true", CT_REPEAT_RESUME, true},
        /* An unknown route type is never repeated. */
        {"other", "", CT_REPEAT_NEVER, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct ct_config_row *row;
        struct ct_store_config config;
        GArray *rows;
        char *text = g_strdup_printf(
            "{\"version\":7," LIMITS ",\"services\":[" SERVICE
            "],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":"
            "\"/\",\"type\":\"%s\",\"timeoutMs\":9,\"service\":\"s1\"%s}]}",
            cases[i].kind, cases[i].more);

        g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
        row = nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0);
        g_assert_cmpint(row->u.prefix_route.repeat, ==, cases[i].repeat);
        g_assert_cmpint(row->u.prefix_route.stream, ==, cases[i].stream);
        g_array_free(rows, TRUE);
        g_free(text);
    }
}

static void
test_invalid_configs(void)
{
    static const struct {
        const char *text;
        int err;
    } cases[] = {
        {"", CT_ERR_JSON_SYNTAX},
        {"{\"version\":7", CT_ERR_JSON_SYNTAX},
        {"[]", CT_ERR_FIELD_TYPE},
        {"{}", CT_ERR_FIELD_MISSING},
        {"{\"version\":\"7\"," LIMITS "}", CT_ERR_FIELD_TYPE},
        {"{\"version\":7}", CT_ERR_FIELD_MISSING},
        {"{\"version\":7,\"limits\":{}}", CT_ERR_FIELD_MISSING},
        {CONFIG("5", "", ""), CT_ERR_FIELD_TYPE},
        {CONFIG("{}", "", ""), CT_ERR_FIELD_MISSING},
        {CONFIG(SERVICE, "{\"apiKeys\":[]}", ""), CT_ERR_FIELD_MISSING},
        {CONFIG(SERVICE, "{\"name\":\"a\",\"apiKeys\":[{}]}", ""),
         CT_ERR_FIELD_TYPE},
        {CONFIG(SERVICE, "", ROUTE("")), CT_ERR_FIELD_MISSING},
        {CONFIG(SERVICE, "", ROUTE(",\"backends\":[1]")), CT_ERR_FIELD_TYPE},
        {CONFIG(SERVICE, "", ROUTE(",\"backends\":[{\"service\":\"s1\"}]")),
         CT_ERR_FIELD_MISSING},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_store_config config;
        GArray *rows;

        g_assert_cmpint(parse_config(cases[i].text, &config, &rows), ==,
                        cases[i].err);
        g_array_free(rows, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-entry/config", test_config);
    g_test_add_func("/config-entry/fractions", test_fractions);
    g_test_add_func("/config-entry/long-texts", test_long_texts);
    g_test_add_func("/config-entry/route-types", test_route_types);
    g_test_add_func("/config-entry/invalid-configs", test_invalid_configs);
    return g_test_run();
}
