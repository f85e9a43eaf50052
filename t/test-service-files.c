/*
 * Tests of service-files.h: a complete configuration, and a table of invalid
 * files.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "error.h"
#include "service-files.h"

#define HOST                                                                  \
    "{\"name\":\"h1\",\"zone\":\"Yaba\",\"caller_address\":\"127.0.0.1:1\","  \
    "\"peer_address\":\"127.0.0.1:2\",\"operator_address\":\"127.0.0.1:3\"}"
#define CLASS                                                                 \
    "{\"name\":\"chat\",\"tier\":1,\"first_token_target_ms\":900,"            \
    "\"gap_timeout_ms\":2000,\"queue_limit_ms\":5000}"
#define POOL "{\"name\":\"p\",\"kind\":\"engine\"}"
#define UPSTREAM                                                              \
    "{\"name\":\"u1\",\"pool\":\"p\",\"zone\":\"Yaba\","                      \
    "\"address\":\"127.0.0.2:1\",\"slots\":8}"
#define ROUTE                                                                 \
    "{\"path\":\"/v1/chat/completions\",\"class\":\"chat\",\"pool\":\"p\","   \
    "\"organisations\":[\"law\"],\"idempotent\":true}"
#define OPEN_ROUTE(path, more)                                                \
    "{\"path\":\"" path "\",\"class\":\"chat\",\"pool\":\"p\","               \
    "\"open_to_all\":true,\"idempotent\":true" more "}"

/* A valid first file; each case adds a second file to its directory. */
static const char valid_file[] = "{\"organisations\":[{\"name\":\"law\"}],\n"
                                 "\"hosts\":[" HOST "],\n"
                                 "\"classes\":[" CLASS "],\n"
                                 "\"pools\":[" POOL "],\n"
                                 "\"upstreams\":[" UPSTREAM "],\n"
                                 "\"routes\":[" ROUTE "]}\n";

struct invalid_case {
    const char *text;
    int err;
    uint32_t line;
    const char *field;
};

static const struct invalid_case cases[] = {
    {"{\"route\":[]}", CT_ERR_FIELD_UNKNOWN, 1, "route"},
    {"{\n\"routes\":{}}", CT_ERR_FIELD_TYPE, 2, "routes"},
    {"{\"routes\":[3]}", CT_ERR_FIELD_TYPE, 0, "routes[0]"},
    {"{\"organisations\":[{\"name\":\"x\"},\n{\"name\":\"y\",\n"
     "\"wait\":1}]}",
     CT_ERR_FIELD_UNKNOWN, 3, "organisations[1].wait"},
    {"{\"organisations\":[{\"name\":\"x\"},\n{}]}", CT_ERR_FIELD_MISSING, 2,
     "organisations[1].name"},
    {"{\"organisations\":[\n{\"name\":\"law\"}]}", CT_ERR_EXISTS, 2,
     "organisations[0].name"},
    {"{\"organisations\":[{\"name\":\"x\",\"weight\":0}]}", CT_ERR_FIELD_RANGE,
     1, "organisations[0].weight"},
    {"{\"classes\":[{\"name\":\"x\",\"tier\":4,\"total_target_ms\":1,"
     "\"gap_timeout_ms\":10,\"queue_limit_ms\":1}]}",
     CT_ERR_FIELD_RANGE, 1, "classes[0].tier"},
    {"{\"classes\":[\n{\"name\":\"x\",\"tier\":0,\"gap_timeout_ms\":10,"
     "\"queue_limit_ms\":1}]}",
     CT_ERR_FIELD_MISSING, 2, "classes[0].first_token_target_ms"},
    {"{\"classes\":[" CLASS "]}", CT_ERR_EXISTS, 1, "classes[0].name"},
    {"{\"pools\":[{\"name\":\"q\",\"kind\":\"engines\"}],\"upstreams\":[{"
     "\"name\":\"u2\",\"pool\":\"q\",\"zone\":\"Z\",\"address\":"
     "\"127.0.0.2:2\",\"slots\":1}]}",
     CT_ERR_FIELD_RANGE, 1, "pools[0].kind"},
    {"{\"pools\":[{\"name\":\"q\",\"kind\":\"plain\"}]}", CT_ERR_FIELD_MISSING,
     1, "pools[0].max_upstreams"},
    {"{\"pools\":[{\"name\":\"q\",\"kind\":\"plain\",\"min_upstreams\":3,"
     "\"max_upstreams\":2}]}",
     CT_ERR_FIELD_RANGE, 1, "pools[0].min_upstreams"},
    {"{\"upstreams\":[{\"name\":\"u2\",\"pool\":\"q\",\"zone\":\"Z\","
     "\"address\":\"127.0.0.2:2\",\"slots\":1}]}",
     CT_ERR_REFERENCE_UNKNOWN, 1, "upstreams[0].pool"},
    {"{\"upstreams\":[" UPSTREAM "]}", CT_ERR_EXISTS, 1, "upstreams[0].name"},
    {"{\"hosts\":[{\"name\":\"h2\",\"zone\":\"Yaba\",\"caller_address\":"
     "\"127.0.0.1:1\",\"peer_address\":\"127.0.0.1:5\","
     "\"operator_address\":\"127.0.0.1:6\"}]}",
     CT_ERR_EXISTS, 1, "hosts[0].caller_address"},
    {"{\"hosts\":[{\"name\":\"h2\",\"zone\":\"Yaba\",\"caller_address\":"
     "\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:5\","
     "\"operator_address\":\"127.0.0.1:6\"}]}",
     CT_ERR_FIELD_RANGE, 1, "hosts[0].caller_address"},
    {"{\"routes\":[" ROUTE "]}", CT_ERR_EXISTS, 1, "routes[0].path"},
    {"{\"routes\":[" OPEN_ROUTE("x", "") "]}", CT_ERR_FIELD_RANGE, 1,
     "routes[0].path"},
    {"{\"routes\":[" OPEN_ROUTE("/x?y", "") "]}", CT_ERR_FIELD_RANGE, 1,
     "routes[0].path"},
    {"{\"routes\":[" OPEN_ROUTE("/x", ",\"organisations\":[\"law\"]") "]}",
     CT_ERR_FIELD_RANGE, 1, "routes[0].open_to_all"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"p\","
     "\"open_to_all\":true}]}",
     CT_ERR_FIELD_MISSING, 1, "routes[0].idempotent"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"p\","
     "\"idempotent\":true}]}",
     CT_ERR_FIELD_MISSING, 1, "routes[0].organisations"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chats\",\"pool\":\"p\","
     "\"open_to_all\":true,\"idempotent\":true}]}",
     CT_ERR_REFERENCE_UNKNOWN, 1, "routes[0].class"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"q\","
     "\"open_to_all\":true,\"idempotent\":true}]}",
     CT_ERR_REFERENCE_UNKNOWN, 1, "routes[0].pool"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"p\","
     "\"organisations\":[\"law\",\"medicine\"],\"idempotent\":true}]}",
     CT_ERR_REFERENCE_UNKNOWN, 1, "routes[0].organisations"},
    {"{\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"p\","
     "\"organisations\":[\"law\",\"law\"],\"idempotent\":true}]}",
     CT_ERR_EXISTS, 1, "routes[0].organisations"},
    {"{\"pools\":[{\"name\":\"q\",\"kind\":\"engine\"}],\"upstreams\":[{"
     "\"name\":\"u2\",\"pool\":\"q\",\"zone\":\"Z\",\"address\":"
     "\"127.0.0.2:2\",\"slots\":1,\"cheap\":true}],\"routes\":[{\"path\":"
     "\"/x\",\"class\":\"chat\",\"pool\":\"q\",\"open_to_all\":true,"
     "\"idempotent\":true}]}",
     CT_ERR_FIELD_RANGE, 1, "routes[0].pool"},
    {"{\"pools\":[{\"name\":\"q\",\"kind\":\"plain\",\"max_upstreams\":1}],"
     "\"routes\":[{\"path\":\"/x\",\"class\":\"chat\",\"pool\":\"q\","
     "\"model\":\"m\",\"open_to_all\":true,\"idempotent\":true}]}",
     CT_ERR_FIELD_RANGE, 1, "routes[0].model"},
};

struct fixture {
    char *dir;
    char *first;
    char *second;
    struct ct_service_files files;
    struct ct_diags diags;
};

static void
set_up(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->dir = g_dir_make_tmp("ct-service-XXXXXX", NULL);
    f->first = g_build_filename(f->dir, "a.json", NULL);
    f->second = g_build_filename(f->dir, "b.json", NULL);
    g_file_set_contents(f->first, valid_file, -1, NULL);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_unlink(f->first);
    g_unlink(f->second);
    g_rmdir(f->dir);
    g_free(f->first);
    g_free(f->second);
    g_free(f->dir);
}

static int
load_files(struct fixture *f)
{
    const char *dirs[] = {f->dir};

    ct_diags_init(&f->diags);
    return ct_service_files_load(&f->files, dirs, 1, &f->diags);
}

static void
free_files(struct fixture *f)
{
    ct_service_files_free(&f->files);
    ct_diags_free(&f->diags);
}

static const struct ct_config_row *
config_row(struct fixture *f, guint i)
{
    return &g_array_index(f->files.rows, struct ct_config_row, i);
}

static void
test_valid(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpint(load_files(f), ==, CT_OK);
    g_assert_cmpuint(f->files.rows->len, ==, 7);
    g_assert_cmpuint(config_row(f, 0)->u.organisation.weight, ==, 1);
    g_assert_cmpstr(config_row(f, 1)->u.host.zone.text, ==, "Yaba");
    g_assert_cmpint(config_row(f, 2)->u.klass.first_token_target_ms, ==, 900);
    g_assert_cmpuint(config_row(f, 2)->u.klass.retry_budget_percent, ==, 10);
    g_assert_cmpint(config_row(f, 3)->u.pool.kind, ==, CT_POOL_ENGINE);
    g_assert_cmpuint(config_row(f, 4)->u.upstream.slots, ==, 8);
    g_assert_true(config_row(f, 5)->u.route.idempotent);
    g_assert_cmpint(config_row(f, 6)->kind, ==, CT_CONFIG_ACCESS);
    g_assert_cmpstr(config_row(f, 6)->u.access.organisation.text, ==, "law");
    free_files(f);
}

static void
test_invalid(struct fixture *f, gconstpointer data)
{
    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct invalid_case *c = &cases[i];
        const struct ct_diag *diag;

        g_test_message("%s", c->text);
        g_file_set_contents(f->second, c->text, -1, NULL);
        g_assert_cmpint(load_files(f), ==, c->err);
        g_assert_cmpuint(ct_diags_count(&f->diags), ==, 1);
        diag = ct_diags_get(&f->diags, 0);
        g_assert_cmpstr(diag->file, ==, f->second);
        g_assert_cmpuint(diag->line, ==, c->line);
        g_assert_cmpstr(diag->field, ==, c->field);
        free_files(f);
    }
}

/* All errors of a file are reported, not only the first. */
static void
test_all_errors(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_file_set_contents(f->second,
                        "{\"organisations\":[{\"name\":\"law\"}],\n"
                        "\"classes\":[{\"name\":\"x y\"}],\n\"x\":1}",
                        -1, NULL);
    g_assert_cmpint(load_files(f), ==, CT_ERR_FIELD_RANGE);
    /* x y: name, tier, gap_timeout_ms, queue_limit_ms, no target */
    g_assert_cmpuint(ct_diags_count(&f->diags), ==, 7);
    free_files(f);
}

static void
test_no_hosts(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_file_set_contents(f->first, "{\"organisations\":[{\"name\":\"law\"}]}",
                        -1, NULL);
    g_assert_cmpint(load_files(f), ==, CT_ERR_FIELD_MISSING);
    g_assert_cmpstr(ct_diags_get(&f->diags, 0)->field, ==, "hosts");
    free_files(f);
    g_file_set_contents(f->first, "{\"hosts\":[]}", -1, NULL);
    g_assert_cmpint(load_files(f), ==, CT_ERR_FIELD_MISSING);
    free_files(f);
}

static void
test_no_files(struct fixture *f, gconstpointer data)
{
    const char *dirs[] = {"/nonexistent"};

    (void)data;
    g_unlink(f->first);
    g_assert_cmpint(load_files(f), ==, CT_ERR_NOT_FOUND);
    free_files(f);
    ct_diags_init(&f->diags);
    g_assert_cmpint(ct_service_files_load(&f->files, dirs, 1, &f->diags), ==,
                    CT_ERR_IO);
    free_files(f);
}

#define ADD(name, function)                                                   \
    g_test_add("/service-files/" name, struct fixture, NULL, set_up,          \
               function, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("valid", test_valid);
    ADD("invalid", test_invalid);
    ADD("all-errors", test_all_errors);
    ADD("no-hosts", test_no_hosts);
    ADD("no-files", test_no_files);
    return g_test_run();
}
