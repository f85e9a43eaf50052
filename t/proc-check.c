/* Runs coriandertrack check on configurations of the platform. */
#include <glib.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "lib-process.h"

#define CLI "coriandertrack/coriandertrack"
#define KEY "a-secret-key"
#define KEY_DIGITS "bf8061f0"

/* Documented exit codes. */
enum {
    CLEAN = 0,
    FINDINGS = 1,
    UNREADABLE = 2,
};

#define CONFIG(version, organisations, services)                              \
    "{\"version\":" version ",\"limits\":{\"maxHeaderBytes\":16384,"          \
    "\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,"                        \
    "\"idleTimeoutMs\":15000},\"services\":[{\"name\":\"s1\"}" services       \
    "],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\"]}" organisations   \
    "],\"routes\":[{\"name\":\"r1\",\"host\":\"a\",\"pathPrefix\":\"/\","     \
    "\"type\":\"safe\",\"timeoutMs\":9000,\"service\":\"s1\"}]}"
#define SECOND ",{\"name\":\"b\",\"apiKeys\":[\"" KEY "\"]}"
#define UNUSED ",{\"name\":\"s2\\nerror \\\"\"}"

static const struct {
    const char *name, *text;
} files[] = {
    {"good", CONFIG("7", "", "")},
    {"next", CONFIG("8", SECOND, "")},
    {"unused", CONFIG("8", "", UNUSED)},
    {"syntax", "{\"version\":7"},
    {"no-limits", "{\"version\":7,\"services\":[],\"routes\":[]}"},
    {"empty", ""},
};

struct fixture {
    char *directory;
};

static char *
file_path(struct fixture *f, const char *name)
{
    return g_build_filename(f->directory, name, NULL);
}

static void
set_up(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->directory = g_dir_make_tmp("ct-check-XXXXXX", NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(files); i++) {
        g_autofree char *path = file_path(f, files[i].name);

        g_assert_true(g_file_set_contents(path, files[i].text, -1, NULL));
    }
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
    (void)data;
    for (gsize i = 0; i < G_N_ELEMENTS(files); i++) {
        g_autofree char *path = file_path(f, files[i].name);

        g_unlink(path);
    }
    g_rmdir(f->directory);
    g_free(f->directory);
}

/*
 * Runs the check of a file against another one, unless that is NULL, with one
 * more argument, unless it is NULL.
 */
static int
run_check(struct fixture *f, const char *file, const char *against,
          const char *more, char **output)
{
    g_autofree char *path = file_path(f, file);
    g_autofree char *base = file_path(f, against != NULL ? against : "");
    g_autofree char *option = g_strdup_printf("--against=%s", base);
    const char *words[5] = {"check", path};
    int n = 2;

    if (against != NULL) {
        words[n++] = option;
    }
    words[n] = more;
    return process_run(CLI, words, output);
}

/* Guards against exit codes and lines that scripts do not expect. */
static void
test_text(struct fixture *f, gconstpointer data)
{
    static const struct {
        const char *file, *against;
        int code;
        const char *output;
    } cases[] = {
        {"good", NULL, CLEAN,
         "ok: 1 routes, 1 services, 1 organisations, 1 keys\n"},
        /* Additions are printed, but are no fault. */
        {"next", "good", CLEAN,
         "info added b: organisation added\n"
         "info added " KEY_DIGITS ": key of b added\n"
         "ok: 1 routes, 1 services, 2 organisations, 2 keys\n"},
        {"good", "next", FINDINGS,
         "error old-version version: version 7 is not greater than 8 in "
         "force; hosts ignore the configuration\n"
         "warning removed b: organisation removed; callers with a key that it "
         "alone has are refused\n"
         "warning removed " KEY_DIGITS
         ": key of b removed; callers that use it are refused\n"},
        /* A name with a newline makes no second line. */
        {"unused", NULL, FINDINGS,
         "warning unused-service s2?error \": no route uses the service\n"},
        {"syntax", NULL, UNREADABLE, ""},
        {"no-limits", NULL, UNREADABLE, ""},
        {"empty", NULL, UNREADABLE, ""},
        {"missing", NULL, UNREADABLE, ""},
        {"good", "missing", UNREADABLE, ""},
        {"unused", "syntax", UNREADABLE, ""},
    };

    (void)data;
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *output = NULL;

        g_test_message("%s %s", cases[i].file, cases[i].against);
        g_assert_cmpint(
            run_check(f, cases[i].file, cases[i].against, NULL, &output), ==,
            cases[i].code);
        g_assert_cmpstr(output, ==, cases[i].output);
    }
}

/* Guards against an array that a parser rejects or that differs in content. */
static void
test_json(struct fixture *f, gconstpointer data)
{
    g_autofree char *clean = NULL;
    g_autofree char *output = NULL;
    g_autoptr(JsonParser) parser = json_parser_new();
    JsonObject *first;
    JsonArray *array;

    (void)data;
    g_assert_cmpint(run_check(f, "good", NULL, "--json", &clean), ==, CLEAN);
    g_assert_cmpstr(clean, ==, "[]\n");
    g_assert_cmpint(run_check(f, "unused", "next", "--json", &output), ==,
                    FINDINGS);
    g_assert_true(json_parser_load_from_data(parser, output, -1, NULL));
    array = json_node_get_array(json_parser_get_root(parser));
    g_assert_cmpuint(json_array_get_length(array), ==, 5);
    first = json_array_get_object_element(array, 0);
    g_assert_cmpstr(json_object_get_string_member(first, "severity"), ==,
                    "warning");
    g_assert_cmpstr(json_object_get_string_member(first, "kind"), ==,
                    "unused-service");
    g_assert_cmpstr(json_object_get_string_member(first, "name"), ==,
                    "s2\nerror \"");
    g_assert_cmpstr(json_object_get_string_member(first, "explanation"), ==,
                    "no route uses the service");
    g_assert_null(strstr(output, KEY));
}

/* The options are for one file; directories are checked as before. */
static void
test_usage(struct fixture *f, gconstpointer data)
{
    g_autofree char *path = file_path(f, "good");
    const char *const two[] = {"check", path, path, "--json", NULL};

    (void)data;
    g_assert_cmpint(process_run(CLI, two, NULL), ==, FINDINGS);
    g_assert_cmpint(run_check(f, "", NULL, "--json", NULL), ==, UNREADABLE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/check/text", struct fixture, NULL, set_up, test_text,
               tear_down);
    g_test_add("/check/json", struct fixture, NULL, set_up, test_json,
               tear_down);
    g_test_add("/check/usage", struct fixture, NULL, set_up, test_usage,
               tear_down);
    return g_test_run();
}
