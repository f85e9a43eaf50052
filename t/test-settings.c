/*
 * Tests of settings.h: a complete file, default values, and one invalid field
 * at a time.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "error.h"
#include "settings.h"

/* A valid file with one field per line; each case replaces one line. */
static const char *const valid_lines[] = {
    "{",
    "\"host\": \"h1\", // this host",
    "\"zone\": \"Yaba\",",
    "\"caller_address\": \"127.0.0.1:0\",",
    "\"operator_address\": \"[::1]:8081\",",
    "\"peer_address\": \"127.0.0.1:8082\",",
    "\"platform\": \"http://127.0.0.1:9000\",",
    "\"peer_secret\": \"0123456789abcdef\",",
    "\"credentials\": {\"draft\": \"s3cret\", \"hold\": \"other\"},",
    "\"limits\": {\"body_bytes\": 4096}",
    "}",
};

struct invalid_case {
    guint line;
    int err;
    const char *field;
    const char *text;
};

static const struct invalid_case cases[] = {
    {1, CT_ERR_FIELD_MISSING, "host", ""},
    {2, CT_ERR_FIELD_RANGE, "host", "\"host\": \"\","},
    {2, CT_ERR_FIELD_RANGE, "host", "\"host\": \"a b\","},
    {2, CT_ERR_FIELD_TYPE, "host", "\"host\": 1,"},
    {10, CT_ERR_FIELD_TYPE, "limits.body_bytes",
     "\"limits\": {\"body_bytes\": null}"},
    {2, CT_ERR_FIELD_UNKNOWN, "hosts", "\"host\": \"h\", \"hosts\": 1,"},
    {3, CT_ERR_FIELD_DOUBLED, "zone", "\"zone\": \"a\", \"zone\": \"b\","},
    {4, CT_ERR_FIELD_RANGE, "caller_address",
     "\"caller_address\": \"localhost:1\","},
    {4, CT_ERR_FIELD_RANGE, "caller_address",
     "\"caller_address\": \"127.0.0.1\","},
    {4, CT_ERR_FIELD_RANGE, "caller_address",
     "\"caller_address\": \"127.0.0.1:65536\","},
    {5, CT_ERR_FIELD_RANGE, "operator_address",
     "\"operator_address\": \"[::1:8081\","},
    {7, CT_ERR_FIELD_RANGE, "platform",
     "\"platform\": \"https://127.0.0.1:9000\","},
    {7, CT_ERR_FIELD_RANGE, "platform",
     "\"platform\": \"http://127.0.0.1:0\","},
    {8, CT_ERR_FIELD_RANGE, "peer_secret", "\"peer_secret\": \"short\","},
    {9, CT_ERR_FIELD_RANGE, "credentials",
     "\"credentials\": {\"a b\": \"x\"},"},
    {9, CT_ERR_FIELD_TYPE, "credentials", "\"credentials\": {\"a\": 3},"},
    {9, CT_ERR_FIELD_RANGE, "credentials",
     "\"credentials\": {\"a\": \"x\\r\\nY: z\"},"},
    {10, CT_ERR_FIELD_TYPE, "limits", "\"limits\": 5"},
    {10, CT_ERR_FIELD_RANGE, "limits.body_bytes",
     "\"limits\": {\"body_bytes\": 1}"},
    {10, CT_ERR_FIELD_TYPE, "limits.body_bytes",
     "\"limits\": {\"body_bytes\": 4096.5}"},
    {10, CT_ERR_FIELD_UNKNOWN, "limits.bodies", "\"limits\": {\"bodies\": 1}"},
};

static char *dir;
static char *path;

/* Writes the valid file with one line replaced; line 0 replaces none. */
static void
write_file(guint line, const char *text)
{
    GString *out = g_string_new(NULL);

    for (guint i = 0; i < G_N_ELEMENTS(valid_lines); i++) {
        g_string_append_printf(out, "%s\n",
                               i + 1 == line ? text : valid_lines[i]);
    }
    g_file_set_contents(path, out->str, -1, NULL);
    g_string_free(out, TRUE);
}

static void
test_valid(void)
{
    struct ct_name known_pool = {"draft"};
    struct ct_name unknown_pool = {"none"};
    struct ct_settings settings;
    struct ct_diags diags;

    write_file(0, NULL);
    ct_diags_init(&diags);
    g_assert_cmpint(ct_settings_load(path, &settings, &diags), ==, CT_OK);
    g_assert_cmpstr(settings.host.text, ==, "h1");
    g_assert_cmpstr(settings.zone.text, ==, "Yaba");
    g_assert_cmpstr(settings.operator_address.text, ==, "[::1]:8081");
    g_assert_cmpstr(settings.platform.text, ==, "http://127.0.0.1:9000");
    g_assert_cmpstr(ct_settings_credential(&settings, &known_pool), ==,
                    "s3cret");
    g_assert_null(ct_settings_credential(&settings, &unknown_pool));
    g_assert_cmpuint(settings.limits.body_bytes, ==, 4096);
    g_assert_cmpuint(settings.limits.max_connections, ==, 4096);
    g_assert_cmpint(settings.limits.idle_timeout_ms, ==, 60000);
    ct_settings_free(&settings);
    ct_diags_free(&diags);
}

static void
test_invalid(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct invalid_case *c = &cases[i];
        struct ct_settings settings;
        struct ct_diags diags;
        const struct ct_diag *diag;

        g_test_message("line %u: %s", c->line, c->text);
        /*
         * With an empty text line 2 is omitted, which is reported for the
         * object on line 1.
         */
        if (c->text[0]) {
            write_file(c->line, c->text);
        }
        else {
            write_file(2, "");
        }
        ct_diags_init(&diags);
        g_assert_cmpint(ct_settings_load(path, &settings, &diags), ==, c->err);
        g_assert_cmpuint(ct_diags_count(&diags), ==, 1);
        diag = ct_diags_get(&diags, 0);
        g_assert_cmpint(diag->err, ==, c->err);
        g_assert_cmpuint(diag->line, ==, c->line);
        g_assert_cmpstr(diag->field, ==, c->field);
        ct_settings_free(&settings);
        ct_diags_free(&diags);
    }
}

/* A finding about a secret does not show it, whatever is wrong with it. */
static void
test_secret_not_shown(void)
{
    static const struct {
        guint line;
        const char *text;
    } invalid[] = {
        {8, "\"peer_secret\": \"tiny5ecret\","},
        {9, "\"credentials\": \"tiny5ecret\","},
    };

    for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++) {
        GString *out = g_string_new(NULL);
        struct ct_settings settings;
        struct ct_diags diags;

        write_file(invalid[i].line, invalid[i].text);
        ct_diags_init(&diags);
        ct_settings_load(path, &settings, &diags);
        ct_diag_format(ct_diags_get(&diags, 0), out);
        g_assert_null(strstr(out->str, "tiny5ecret"));
        g_string_free(out, TRUE);
        ct_settings_free(&settings);
        ct_diags_free(&diags);
    }
}

/* The settings files of the example deployments are valid. */
static void
test_examples(void)
{
    static const char *const files[] = {
        "examples/lagos/settings/lagos-host-1.json",
        "examples/anatolia/settings/anatolia-host-1.json",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        const char *source = g_getenv("CT_SOURCE_DIR");
        g_autofree char *file =
            g_build_filename(source ? source : ".", files[i], NULL);
        struct ct_settings settings;
        struct ct_diags diags;

        ct_diags_init(&diags);
        g_assert_cmpint(ct_settings_load(file, &settings, &diags), ==, CT_OK);
        ct_settings_free(&settings);
        ct_diags_free(&diags);
    }
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    dir = g_dir_make_tmp("ct-settings-XXXXXX", NULL);
    path = g_build_filename(dir, "host.json", NULL);
    g_test_add_func("/settings/valid", test_valid);
    g_test_add_func("/settings/invalid", test_invalid);
    g_test_add_func("/settings/secret-not-shown", test_secret_not_shown);
    g_test_add_func("/settings/examples", test_examples);
    result = g_test_run();
    g_unlink(path);
    g_rmdir(dir);
    g_free(path);
    g_free(dir);
    return result;
}
