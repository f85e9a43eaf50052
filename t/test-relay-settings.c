/*
 * Tests of relay-settings.h: a valid file, default values, and invalid fields.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "error.h"
#include "relay-settings.h"

static const char *const valid_lines[] = {
    "{",
    "\"host\": \"edge-1\", // filled in",
    "\"zone\": \"Yaba\",",
    "\"caller_address\": \"127.0.0.1:0\",",
    "\"guide_address\": \"127.0.0.1:0\",",
    "\"ready_address\": \"127.0.0.1:0\",",
    "\"operator_address\": \"127.0.0.1:0\",",
    "\"store\": \"127.0.0.1:9\",",
    "\"duties\": \"127.0.0.1:9\",",
    "\"peer_address\": \"127.0.0.1:0\",",
    "\"peer_secret\": \"0123456789abcdef\",",
    "\"bounds\": {\"revoke_ms\": 4000, \"repeat_ratio\": 0.25,",
    "\"usage_window_s\": 2.5}",
    "}",
};

static int
load_with_line(guint line, const char *text,
               struct ct_relay_settings *settings)
{
    GString *file = g_string_new(NULL);
    struct ct_diags diags;
    char *path;
    int err;

    for (guint i = 0; i < G_N_ELEMENTS(valid_lines); i++) {
        g_string_append_printf(file, "%s\n",
                               i + 1 == line ? text : valid_lines[i]);
    }
    path = g_build_filename(g_get_tmp_dir(), "ct-relay-settings-XXXXXX", NULL);
    g_close(g_mkstemp(path), NULL);
    g_assert_true(g_file_set_contents(path, file->str, -1, NULL));
    ct_diags_init(&diags);
    err = ct_relay_settings_load(path, settings, &diags);
    g_assert_cmpint(ct_diags_count(&diags) > 0, ==, err < 0);
    ct_diags_free(&diags);
    g_unlink(path);
    g_free(path);
    g_string_free(file, TRUE);
    return err;
}

static void
test_valid(void)
{
    struct ct_relay_settings settings;

    g_assert_cmpint(load_with_line(0, NULL, &settings), ==, CT_OK);
    g_assert_cmpstr(settings.host.text, ==, "edge-1");
    g_assert_cmpint(settings.bounds.revoke_ms, ==, 4000);
    g_assert_cmpint(settings.bounds.repeat_permille, ==, 250);
    g_assert_cmpint(settings.bounds.usage_window_ms, ==, 2500);
    g_assert_cmpint(settings.bounds.lease_ms, ==, 3000);
    g_assert_cmpint(settings.bounds.config_ms, ==, 2000);
    g_assert_cmpint(settings.bounds.cold_overshoot_permille, ==, 1000);
    g_assert_cmpuint(settings.bounds.cold_burst, ==, 0);
    /* No bound on evacuations unless the deployment sets one. */
    g_assert_cmpint(settings.bounds.evacuate_ms, ==, 0);
    g_assert_false(settings.first_start);
    g_assert_cmpint(load_with_line(9, "\"first_start\": true,", &settings), ==,
                    CT_OK);
    g_assert_true(settings.first_start);
    g_assert_false(settings.share_load);
    g_assert_false(settings.share_config);
    g_assert_false(settings.skip_unreachable_zones);
    g_assert_cmpint(load_with_line(9, "\"share_load\": true,", &settings), ==,
                    CT_OK);
    g_assert_true(settings.share_load);
    g_assert_cmpint(load_with_line(0, NULL, &settings), ==, CT_OK);
    g_assert_cmpuint(settings.max_connections, ==, 2048);
}

/*
 * By default no limit per address stops callers behind one proxy before they
 * have three quarters of all connections.
 */
static void
test_limits(void)
{
    static const struct {
        uint64_t max_files;
        uint32_t memory_mb;
        uint32_t total;
        uint32_t peer;
    } cases[] = {
        {1048576, 128, 2048, 1536},
        {4224, 128, 2048, 1536},
        {1024, 128, 448, 336},
        {128, 128, 1, 1},
        {0, 128, 1, 1},
        {1048576, 64, 1152, 864},
        {1048576, 20, 64, 48},
    };
    struct ct_relay_settings settings;

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(load_with_line(0, NULL, &settings), ==, CT_OK);
        settings.bounds.memory_mb = cases[i].memory_mb;
        ct_relay_settings_limit(&settings, cases[i].max_files);
        g_assert_cmpuint(settings.max_connections, ==, cases[i].total);
        g_assert_cmpuint(settings.bounds.peer_connections, ==, cases[i].peer);
        g_assert_cmpuint(settings.bounds.peer_bodies, ==, cases[i].peer);
    }
    g_assert_cmpint(
        load_with_line(12,
                       "\"bounds\": {\"revoke_ms\": 4000, \"body_idle_ms\": "
                       "200, \"peer_connections\": 9, \"peer_bodies\": 8,",
                       &settings),
        ==, CT_OK);
    ct_relay_settings_limit(&settings, cases[0].max_files);
    g_assert_cmpuint(settings.bounds.peer_connections, ==, 9);
    g_assert_cmpuint(settings.bounds.peer_bodies, ==, 8);
    g_assert_cmpint(settings.bounds.body_idle_ms, ==, 200);
    g_assert_cmpint(settings.bounds.body_wait_ms, ==, 5000);
    g_assert_cmpuint(settings.bounds.unread_bytes, ==, 16 * 1024 * 1024);
}

/* Bounds may have a fraction, which is cut off. */
static void
test_fractions(void)
{
    struct ct_relay_settings settings;

    g_assert_cmpint(
        load_with_line(12,
                       "\"bounds\": {\"revoke_ms\": 4000.75, "
                       "\"repeat_burst\": 66.7, \"lease_ms\": 2e3,",
                       &settings),
        ==, CT_OK);
    g_assert_cmpint(settings.bounds.revoke_ms, ==, 4000);
    g_assert_cmpuint(settings.bounds.repeat_burst, ==, 66);
    g_assert_cmpint(settings.bounds.lease_ms, ==, 2000);
    g_assert_cmpint(
        load_with_line(12, "\"bounds\": {\"revoke_ms\": 0.5,", &settings), ==,
        CT_ERR_FIELD_RANGE);
    g_assert_cmpint(
        load_with_line(12, "\"bounds\": {\"repeat_burst\": 1e300,", &settings),
        ==, CT_ERR_FIELD_RANGE);
}

static void
test_invalid(void)
{
    static const struct {
        guint line;
        const char *text;
        int err;
    } cases[] = {
        {2, "", CT_ERR_FIELD_MISSING},
        {4, "\"caller_address\": \"here\",", CT_ERR_FIELD_RANGE},
        {8, "\"store\": \"http://127.0.0.1:9\",", CT_ERR_FIELD_RANGE},
        {8, "\"store\": \"127.0.0.1:9\", \"disk\": 1,", CT_ERR_FIELD_UNKNOWN},
        {10, "", CT_ERR_FIELD_MISSING},
        {11, "\"peer_secret\": \"short\",", CT_ERR_FIELD_RANGE},
        {12, "\"bounds\": {\"revoke_ms\": 0,", CT_ERR_FIELD_RANGE},
        {12, "\"bounds\": {\"repeat_ratio\": 1.5,", CT_ERR_FIELD_RANGE},
        {12, "\"bounds\": {\"repeat_ratio\": \"0.2\",", CT_ERR_FIELD_TYPE},
        {12, "\"bounds\": {\"cold_overshoot\": -1,", CT_ERR_FIELD_RANGE},
        {12, "\"bounds\": {\"cold_burst\": \"5\",", CT_ERR_FIELD_TYPE},
        {13, "\"usage_window_s\": null}", CT_ERR_FIELD_TYPE},
        {14, "", CT_ERR_JSON_SYNTAX},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_settings settings;

        g_assert_cmpint(
            load_with_line(cases[i].line, cases[i].text, &settings), ==,
            cases[i].err);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-settings/valid", test_valid);
    g_test_add_func("/relay-settings/limits", test_limits);
    g_test_add_func("/relay-settings/fractions", test_fractions);
    g_test_add_func("/relay-settings/invalid", test_invalid);
    return g_test_run();
}
