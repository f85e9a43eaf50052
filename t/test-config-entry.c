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
                "\"backups\":true},\"coldStartS\":7.5,\"coldPerS\":6.1,"
                "\"scaling\":{\"min\":1,"
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
    g_assert_cmpint(row->u.pool.cold_ms, ==, 7500);
    g_assert_cmpint(row->u.pool.cold_permille, ==, 6100);
    g_assert_cmpint(nth_row(rows, CT_CONFIG_POOL, 0)->u.pool.cold_ms, ==, 0);
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

/* Texts that are no configuration; the one in force stays. */
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
        {"{\"version\":7," LIMITS ",\"routes\":[]}", CT_ERR_FIELD_MISSING},
        {"{\"version\":7," LIMITS ",\"services\":[],\"routes\":{}}",
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

static guint
count_rows(const GArray *rows, enum ct_config_kind kind)
{
    guint n = 0;

    while (nth_row(rows, kind, n) != NULL) {
        n++;
    }
    return n;
}

#define GOOD_TENANT "{\"name\":\"acme\",\"apiKeys\":[\"k1\"]}"
#define GOOD_ROUTE                                                            \
    "{\"name\":\"good\",\"host\":\"a.example\",\"pathPrefix\":\"/good/\","    \
    "\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"s1\"}"
#define ADDED(members)                                                        \
    ",{\"name\":\"added\",\"host\":\"a.example\",\"pathPrefix\":\"/added/"    \
    "\"," members "}"
#define BACKENDS(list)                                                        \
    ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"backends\":[" list "]")

/*
 * Guards against a configuration that is dropped as a whole because one item
 * cannot be read: the others are in force. A route that is left out keeps its
 * place without a pool, so that its calls are refused.
 */
static void
test_left_out(void)
{
    static const struct {
        const char *services, *tenants, *routes;
        int reason;
        const char *name;
        guint n_routes, n_shares, n_keys;
    } cases[] = {
        {"", "", "", CT_OK, "", 1, 1, 1},
        {",5", "", "", CT_ERR_FIELD_TYPE, "", 1, 1, 1},
        {",{}", "", "", CT_ERR_FIELD_MISSING, "", 1, 1, 1},
        {",{\"name\":\"s2\",\"scaling\":{\"min\":\"1\",\"max\":2}}", "", "",
         CT_ERR_FIELD_TYPE, "s2", 1, 1, 1},
        {",{\"name\":\"s2\",\"engine\":{\"backups\":1}}", "", "",
         CT_ERR_FIELD_TYPE, "s2", 1, 1, 1},
        {",{\"name\":\"s2\",\"coldStartS\":9,\"coldPerS\":\"6\"}", "", "",
         CT_ERR_FIELD_TYPE, "s2", 1, 1, 1},
        {",{\"name\":\"s2\",\"coldStartS\":-9,\"coldPerS\":6}", "", "",
         CT_ERR_FIELD_RANGE, "s2", 1, 1, 1},
        {"", ",{\"apiKeys\":[\"k2\"]}", "", CT_ERR_FIELD_MISSING, "", 1, 1, 1},
        {"", ",{\"name\":\"b\",\"apiKeys\":[{},\"k2\"]}", "",
         CT_ERR_FIELD_TYPE, "b", 1, 1, 2},
        {"", ",{\"name\":\"b\",\"apiKeys\":[\"k2\"],\"priority\":\"x\"}", "",
         CT_ERR_FIELD_TYPE, "b", 1, 1, 2},
        {"", ",{\"name\":\"b\",\"apiKeys\":[\"k2\"],\"priority\":-1}", "",
         CT_ERR_FIELD_RANGE, "b", 1, 1, 2},
        {"", "", ",7", CT_ERR_FIELD_TYPE, "", 1, 1, 1},
        {"", "", ADDED("\"timeoutMs\":9,\"service\":\"s1\""),
         CT_ERR_FIELD_MISSING, "added", 2, 1, 1},
        {"", "", ADDED("\"type\":\"safe\",\"timeoutMs\":9"),
         CT_ERR_FIELD_MISSING, "added", 2, 1, 1},
        {"", "", ADDED("\"type\":\"safe\",\"service\":\"s1\""),
         CT_ERR_FIELD_MISSING, "added", 2, 1, 1},
        {"", "",
         ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"s1\","
               "\"public\":\"no\""),
         CT_ERR_FIELD_TYPE, "added", 2, 1, 1},
        {"", "",
         ADDED("\"type\":\"safe\",\"timeoutMs\":-9,\"service\":\"s1\""),
         CT_ERR_FIELD_RANGE, "added", 2, 1, 1},
        {"", "",
         ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"unknown\""),
         CT_ERR_REFERENCE_UNKNOWN, "added", 2, 1, 1},
        {"", "", BACKENDS("1"), CT_ERR_FIELD_TYPE, "added", 2, 1, 1},
        {"", "", BACKENDS("{\"service\":\"s1\"}"), CT_ERR_FIELD_MISSING,
         "added", 2, 1, 1},
        {"", "", BACKENDS("{\"service\":\"s1\",\"weight\":-1}"),
         CT_ERR_FIELD_RANGE, "added", 2, 1, 1},
        {"", "",
         BACKENDS("{\"service\":\"s1\",\"weight\":1},"
                  "{\"service\":\"s1\",\"weight\":\"1\"}"),
         CT_ERR_FIELD_TYPE, "added", 2, 1, 1},
        {"", "", ",{\"name\":\"added\",\"pathPrefix\":\"/added/\"}",
         CT_ERR_FIELD_MISSING, "added", 1, 1, 1},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"version\":7," LIMITS ",\"services\":[" SERVICE
            "%s],\"tenants\":[" GOOD_TENANT "%s],\"routes\":[" GOOD_ROUTE
            "%s]}",
            cases[i].services, cases[i].tenants, cases[i].routes);
        struct ct_store_config config;
        GArray *rows;

        g_test_message("%s", text);
        g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
        g_assert_cmpuint(config.n_left_out, ==, cases[i].reason != CT_OK);
        g_assert_cmpint(config.left_out_reason, ==, cases[i].reason);
        g_assert_cmpstr(config.left_out_name.text, ==, cases[i].name);
        g_assert_true(config.has_bounds);
        g_assert_cmpuint(count_rows(rows, CT_CONFIG_PREFIX_ROUTE), ==,
                         cases[i].n_routes);
        g_assert_cmpuint(count_rows(rows, CT_CONFIG_POOL_SHARE), ==,
                         cases[i].n_shares);
        g_assert_cmpuint(count_rows(rows, CT_CONFIG_KEY), ==, cases[i].n_keys);
        g_array_free(rows, TRUE);
    }
}

/*
 * Guards against a list for checks that ends at the first item left out, or
 * that does not say which item and member it is.
 */
static void
test_list_of_left_out(void)
{
    static const char text[] =
        "{\"version\":7,\"limits\":{\"maxHeaderBytes\":1,\"headerTimeoutMs\":"
        "5},"
        "\"services\":[" SERVICE
        ",5,{\"name\":\"s2\",\"engine\":{\"backups\":1},"
        "\"scaling\":{\"min\":1}}],\"tenants\":[{\"name\":\"b\",\"apiKeys\":"
        "[{}]}],\"routes\":[" GOOD_ROUTE ADDED(
            "\"type\":\"safe\",\"timeoutMs\":9,\"sloMs\":4,"
            "\"resumable\":true,\"service\":\"s3\"") "]}";
    static const struct {
        enum ct_config_kind kind;
        const char *name;
        uint32_t position;
        const char *member, *reference;
        int reason;
    } expected[] = {
        {0, "", 0, "maxBodyBytes", "", CT_ERR_FIELD_MISSING},
        {CT_CONFIG_KEY, "b", 1, "apiKeys", "", CT_ERR_FIELD_TYPE},
        {CT_CONFIG_POOL, "", 2, "", "", CT_ERR_FIELD_TYPE},
        {CT_CONFIG_POOL, "s2", 3, "backups", "", CT_ERR_FIELD_TYPE},
        {CT_CONFIG_POOL, "s2", 3, "max", "", CT_ERR_FIELD_MISSING},
        {CT_CONFIG_PREFIX_ROUTE, "added", 2, "service", "s3",
         CT_ERR_REFERENCE_UNKNOWN},
    };
    const struct ct_decoded_route *route;
    struct ct_decoded_config decoded;

    ct_decoded_config_init(&decoded);
    g_assert_cmpint(ct_config_entry_decode(text, strlen(text), &decoded), ==,
                    CT_OK);
    g_assert_cmpuint(decoded.left_out->len, ==, G_N_ELEMENTS(expected));
    for (guint i = 0; i < decoded.left_out->len; i++) {
        const struct ct_left_out *item =
            &g_array_index(decoded.left_out, struct ct_left_out, i);

        g_assert_cmpint(item->kind, ==, expected[i].kind);
        g_assert_cmpstr(item->name.text, ==, expected[i].name);
        g_assert_cmpuint(item->position, ==, expected[i].position);
        g_assert_cmpstr(item->member, ==, expected[i].member);
        g_assert_cmpstr(item->reference.text, ==, expected[i].reference);
        g_assert_cmpint(item->reason, ==, expected[i].reason);
    }
    g_assert_cmpuint(decoded.config.n_left_out, ==, decoded.left_out->len);
    g_assert_cmpint(decoded.head_timeout_ms, ==, 5);
    g_assert_cmpuint(decoded.routes->len, ==, 2);
    route = &g_array_index(decoded.routes, struct ct_decoded_route, 1);
    g_assert_cmpstr(route->written_name.text, ==, "added");
    g_assert_cmpint(route->target_ms, ==, 4);
    g_assert_true(route->may_resume);
    ct_decoded_config_free(&decoded);
}

/* Limits that cannot be read leave those in force; the rest applies. */
static void
test_left_out_limits(void)
{
    static const char text[] =
        "{\"version\":7,\"limits\":{\"maxHeaderBytes\":\"x\"},\"services\":"
        "[" SERVICE "],\"tenants\":[" GOOD_TENANT "],\"routes\":[" GOOD_ROUTE
        "]}";
    struct ct_store_config config;
    GArray *rows;

    g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
    g_assert_false(config.has_bounds);
    g_assert_cmpuint(config.n_left_out, ==, 1);
    g_assert_cmpuint(count_rows(rows, CT_CONFIG_PREFIX_ROUTE), ==, 1);
    g_array_free(rows, TRUE);
}

/*
 * Forms of a number or a name that are read: fractions, null for a member that
 * may be missing, numbers beyond every use, and route names that do not tell
 * routes apart.
 */
static void
test_forms(void)
{
    static const char *const routes[] = {
        ADDED("\"type\":\"safe\",\"timeoutMs\":9e12,\"service\":\"s1\""),
        ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"attempts\":2.0,"
              "\"priority\":1.5,\"service\":\"s1\""),
        ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"attempts\":null,"
              "\"priority\":null,\"itlTargetMs\":null,\"public\":null,"
              "\"service\":\"s1\""),
        ADDED("\"type\":\"safe\",\"timeoutMs\":9,\"attempts\":1e30,"
              "\"priority\":99999999999,\"service\":\"s1\""),
        BACKENDS("{\"service\":\"s1\",\"weight\":0.5}"),
        BACKENDS("{\"service\":\"s1\",\"weight\":1e300}"),
        ",{\"host\":\"a.example\",\"pathPrefix\":\"/added/"
        "\",\"type\":\"safe\","
        "\"timeoutMs\":9,\"service\":\"s1\"}",
        ",{\"name\":\"good\",\"host\":\"a.example\",\"pathPrefix\":\"/added/"
        "\","
        "\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"s1\"}",
    };

    for (guint i = 0; i < G_N_ELEMENTS(routes); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"version\":7.0," LIMITS ",\"services\":[" SERVICE
            "],\"tenants\":[{\"name\":\"b\",\"apiKeys\":[\"k1\"],"
            "\"priority\":null}],\"routes\":[" GOOD_ROUTE "%s]}",
            routes[i]);
        const struct ct_config_row *added;
        struct ct_store_config config;
        GArray *rows;

        g_test_message("%s", text);
        g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
        g_assert_cmpuint(config.n_left_out, ==, 0);
        g_assert_cmpint(config.version, ==, 7);
        g_assert_cmpuint(count_rows(rows, CT_CONFIG_POOL_SHARE), ==, 2);
        added = nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 1);
        g_assert_cmpstr(added->u.prefix_route.prefix.text, ==, "/added/");
        g_assert_cmpstr(added->u.prefix_route.name.text, !=,
                        nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0)
                            ->u.prefix_route.name.text);
        g_assert_cmpstr(
            nth_row(rows, CT_CONFIG_POOL_SHARE, 1)->u.pool_share.route.text,
            ==, added->u.prefix_route.name.text);
        g_assert_cmpuint(
            nth_row(rows, CT_CONFIG_POOL_SHARE, 1)->u.pool_share.weight, >, 0);
        g_array_free(rows, TRUE);
    }
}

/* Only a configuration without a list of organisations requires no keys. */
static void
test_keys_required(void)
{
    static const struct {
        const char *member;
        bool required;
        guint n_left_out;
    } cases[] = {
        {"", false, 0},
        {"\"tenants\":[],", true, 0},
        {"\"tenants\":[" GOOD_TENANT "],", true, 0},
        {"\"tenants\":[{\"name\":\"b\",\"apiKeys\":[]}],", true, 0},
        {"\"tenants\":null,", true, 1},
        {"\"tenants\":{},", true, 1},
        {"\"tenants\":\"none\",", true, 1},
        {"\"tenants\":[7],", true, 1},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text =
            g_strdup_printf("{\"version\":7," LIMITS ",\"services\":[" SERVICE
                            "],%s\"routes\":[]}",
                            cases[i].member);
        struct ct_store_config config;
        GArray *rows;

        g_test_message("%s", text);
        g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
        g_assert_cmpint(config.keys_required, ==, cases[i].required);
        g_assert_cmpuint(config.n_left_out, ==, cases[i].n_left_out);
        g_array_free(rows, TRUE);
    }
}

/* Weights with fractions keep their ratio. */
static void
test_weights(void)
{
    static const struct {
        const char *first, *second;
        uint32_t permille;
    } cases[] = {
        {"90", "10", 900},          {"0.5", "0.5", 500},
        {"0.9", "0.1", 900},        {"2.5", "7.5", 250},
        {"3e9", "1e9", 750},        {"1e300", "1e300", 500},
        {"1000000", "0.001", 1000}, {"0", "4", 0},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"version\":7," LIMITS ",\"services\":[" SERVICE
            ",{\"name\":\"s2\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"pathPrefix\":\"/\",\"type\":\"safe\",\"timeoutMs\":9,"
            "\"backends\":[{\"service\":\"s1\",\"weight\":%s},"
            "{\"service\":\"s2\",\"weight\":%s}]}]}",
            cases[i].first, cases[i].second);
        struct ct_store_config config;
        uint64_t first, second;
        GArray *rows;

        g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
        first = nth_row(rows, CT_CONFIG_POOL_SHARE, 0)->u.pool_share.weight;
        second = nth_row(rows, CT_CONFIG_POOL_SHARE, 1)->u.pool_share.weight;
        g_assert_cmpuint((first * 1000 + (first + second) / 2) /
                             (first + second),
                         ==, cases[i].permille);
        g_assert_true(second > 0);
        g_array_free(rows, TRUE);
    }
}

/*
 * Of a prefix that is too long the longest part that fits stays, without a
 * pool: its calls are not run by the route of a shorter prefix.
 */
static void
test_too_long_prefix(void)
{
    g_autofree char *directory = g_strnfill(300, 'd');
    g_autofree char *text = g_strdup_printf(
        "{\"version\":7," LIMITS ",\"services\":[" SERVICE
        "],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":"
        "\"/%s/%s/\",\"type\":\"safe\",\"timeoutMs\":9,\"service\":\"s1\"}]}",
        directory, directory);
    g_autofree char *kept = g_strdup_printf("/%s/", directory);
    struct ct_store_config config;
    GArray *rows;

    g_assert_cmpint(parse_config(text, &config, &rows), ==, CT_OK);
    g_assert_cmpint(config.left_out_reason, ==, CT_ERR_TOO_LARGE);
    g_assert_cmpstr(
        nth_row(rows, CT_CONFIG_PREFIX_ROUTE, 0)->u.prefix_route.prefix.text,
        ==, kept);
    g_assert_null(nth_row(rows, CT_CONFIG_POOL_SHARE, 0));
    g_array_free(rows, TRUE);
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
    g_test_add_func("/config-entry/left-out", test_left_out);
    g_test_add_func("/config-entry/list-of-left-out", test_list_of_left_out);
    g_test_add_func("/config-entry/left-out-limits", test_left_out_limits);
    g_test_add_func("/config-entry/forms", test_forms);
    g_test_add_func("/config-entry/keys-required", test_keys_required);
    g_test_add_func("/config-entry/weights", test_weights);
    g_test_add_func("/config-entry/too-long-prefix", test_too_long_prefix);
    return g_test_run();
}
