/* Tests of tally-body.h: tallies encoded and parsed, and malformed bodies. */
#include <string.h>

#include "error.h"
#include "tally-body.h"

static void
test_round_trip(void)
{
    struct ct_tally_row rows[2] = {{.requests = 412}, {.requests = 0}};
    struct ct_tally tally = {
        .window = 353445120, .sequence = 9, .closes = true};
    GArray *parsed = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_row));
    GString *text = g_string_new(NULL);
    struct ct_tally out = {0};

    CT_TEXT_SET(rows[0].organisation, "acme");
    CT_TEXT_SET(rows[1].organisation, "q\"uote");
    CT_TEXT_SET(tally.writer, "h1-1");
    ct_tally_body(&tally, CT_ROWS(rows, 2), text);
    g_assert_cmpint(ct_tally_body_parse(text->str, text->len, &out, parsed),
                    ==, CT_OK);
    g_assert_cmpint(out.window, ==, tally.window);
    g_assert_cmpuint(out.sequence, ==, 9);
    g_assert_true(out.closes);
    g_assert_cmpstr(out.writer.text, ==, "h1-1");
    g_assert_cmpuint(parsed->len, ==, 2);
    for (guint i = 0; i < 2; i++) {
        const struct ct_tally_row *row =
            &g_array_index(parsed, struct ct_tally_row, i);
        const struct ct_tally_row *expected =
            &rows[strcmp(row->organisation.text, "acme") == 0 ? 0 : 1];

        g_assert_cmpstr(row->organisation.text, ==,
                        expected->organisation.text);
        g_assert_cmpuint(row->requests, ==, expected->requests);
    }
    g_string_free(text, TRUE);
    g_array_free(parsed, TRUE);
}

static void
test_malformed(void)
{
    static const struct {
        const char *text;
        int err;
    } cases[] = {
        {"", CT_ERR_JSON_SYNTAX},
        {"[]", CT_ERR_FIELD_MISSING},
        {"{\"window\":1,\"writer\":\"w\",\"sequence\":1}",
         CT_ERR_FIELD_MISSING},
        {"{\"window\":1,\"writer\":\"w\",\"sequence\":1,\"closes\":true,"
         "\"ends\":false,\"requests\":[]}",
         CT_ERR_FIELD_TYPE},
        {"{\"window\":\"1\",\"writer\":\"w\",\"sequence\":1,\"closes\":true,"
         "\"ends\":false,\"requests\":{}}",
         CT_ERR_FIELD_TYPE},
        {"{\"window\":-1,\"writer\":\"w\",\"sequence\":1,\"closes\":true,"
         "\"ends\":false,\"requests\":{}}",
         CT_ERR_FIELD_RANGE},
        {"{\"window\":1,\"writer\":\"w\",\"sequence\":1,\"closes\":true,"
         "\"ends\":false,"
         "\"requests\":{\"a\":-4}}",
         CT_ERR_FIELD_RANGE},
        {"{\"window\":1,\"sequence\":1,\"closes\":true,\"ends\":false,"
         "\"requests\":{}}",
         CT_ERR_FIELD_MISSING},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_row));
        struct ct_tally tally = {0};

        g_assert_cmpint(ct_tally_body_parse(cases[i].text,
                                            strlen(cases[i].text), &tally,
                                            rows),
                        ==, cases[i].err);
        g_array_free(rows, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tally-body/round-trip", test_round_trip);
    g_test_add_func("/tally-body/malformed", test_malformed);
    return g_test_run();
}
