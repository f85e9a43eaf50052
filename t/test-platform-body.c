/* Tests of platform-body.h against the formats of docs/INTERFACES.md. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "event.h"
#include "platform-body.h"

static void
test_page(void)
{
    struct ct_record record = {.type = CT_RECORD_CLAIM, .sequence = 4};
    GString *body = g_string_new("{\"first\":2,\"head\":9,\"entries\":["
                                 "{\"offset\":7,");
    GString *append = g_string_new(NULL);
    struct ct_log_page_entry *entry;
    struct ct_log_page page;

    g_assert_cmpint(ct_append_body(&record, append), ==, CT_OK);
    g_string_append(body, append->str + 1);
    g_string_append(body, ",{\"offset\":8,\"data\":\"////\"},"
                          "{\"offset\":9}]}");
    g_assert_cmpint(ct_log_page_parse(body->str, body->len, &page), ==, CT_OK);
    g_assert_cmpint(page.first, ==, 2);
    g_assert_cmpint(page.head, ==, 9);
    g_assert_cmpuint(page.entries->len, ==, 3);
    entry = &g_array_index(page.entries, struct ct_log_page_entry, 0);
    g_assert_cmpint(entry->offset, ==, 7);
    g_assert_cmpint(entry->decoded.record.type, ==, CT_RECORD_CLAIM);
    g_assert_cmpuint(entry->decoded.record.sequence, ==, 4);
    /* An entry that is not a record is passed on without a type. */
    g_assert_cmpint(entry[1].decoded.record.type, ==, 0);
    g_assert_cmpint(entry[2].decoded.record.type, ==, 0);
    ct_log_page_free(&page);
    g_string_free(append, TRUE);
    g_string_free(body, TRUE);
}

static void
test_invalid_pages(void)
{
    static const struct {
        const char *text;
        int err;
    } cases[] = {
        {"{\"first\":2,\"head\":9}", CT_OK},
        {"", CT_ERR_JSON_SYNTAX},
        {"<html>", CT_ERR_JSON_SYNTAX},
        {"[]", CT_ERR_FIELD_TYPE},
        {"{\"first\":2}", CT_ERR_FIELD_MISSING},
        {"{\"first\":2,\"head\":-1}", CT_ERR_FIELD_RANGE},
        {"{\"first\":2,\"head\":\"9\"}", CT_ERR_FIELD_TYPE},
        {"{\"first\":2,\"head\":9,\"entries\":[1]}", CT_ERR_FIELD_TYPE},
        {"{\"first\":2,\"head\":9,\"entries\":[{}]}", CT_ERR_FIELD_MISSING},
        {"{\"first\":2,\"head\":9,\"entries\":[{\"offset\":0}]}",
         CT_ERR_FIELD_RANGE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_log_page page;

        g_test_message("%s", cases[i].text);
        g_assert_cmpint(
            ct_log_page_parse(cases[i].text, strlen(cases[i].text), &page), ==,
            cases[i].err);
        ct_log_page_free(&page);
    }
}

static void
test_append_response(void)
{
    int64_t offset = 0;

    g_assert_cmpint(ct_append_response_parse("{\"offset\":17}", 13, &offset),
                    ==, CT_OK);
    g_assert_cmpint(offset, ==, 17);
    g_assert_cmpint(ct_append_response_parse("{}", 2, &offset), ==,
                    CT_ERR_FIELD_MISSING);
    g_assert_cmpint(ct_append_response_parse("[]", 2, &offset), ==,
                    CT_ERR_FIELD_TYPE);
}

static void
test_order(void)
{
    struct ct_order order = {
        .order_id = 5,
        .term = 9,
        .kind = CT_ORDER_LOAD_MODEL,
        .pool = {"draft"},
        .zone = {"a\"b"},
        .cheap = true,
    };
    GString *out = g_string_new(NULL);

    ct_order_body(&order, out);
    g_assert_cmpstr(out->str, ==,
                    "{\"order_id\":5,\"term\":9,\"kind\":\"load-model\","
                    "\"pool\":\"draft\",\"zone\":\"a\\\"b\",\"upstream\":\"\","
                    "\"model\":\"\",\"cheap\":true}");
    g_string_free(out, TRUE);
}

static void
test_usage(void)
{
    struct ct_usage_window window = {.window_start_ms = 60000, .term = 3};
    struct ct_usage_row row = {{"law"}, 60000, 1, 2, 3, 4};
    GString *out = g_string_new(NULL);

    ct_usage_body(&window, &row, 1, out);
    g_assert_cmpstr(out->str, ==,
                    "{\"window_start_ms\":60000,\"term\":3,\"rows\":[{"
                    "\"organisation\":\"law\",\"requests\":1,\"tokens_in\":2,"
                    "\"tokens_out\":3,\"late_requests\":4}]}");
    g_string_free(out, TRUE);
}

static void
test_hosts(void)
{
    static const char text[] = "{\"hosts\":[{\"name\":\"h1\",\"leaving\":"
                               "true},{\"x\":1},{\"name\":\"h2\"}]}";
    const struct ct_host_row *row;
    GArray *rows;

    g_assert_cmpint(ct_host_list_parse(text, strlen(text), &rows), ==, CT_OK);
    g_assert_cmpuint(rows->len, ==, 2);
    row = &g_array_index(rows, struct ct_host_row, 0);
    g_assert_cmpstr(row[0].name.text, ==, "h1");
    g_assert_true(row[0].leaving);
    g_assert_false(row[1].leaving);
    g_array_unref(rows);
    g_assert_cmpint(ct_host_list_parse("{}", 2, &rows), ==,
                    CT_ERR_FIELD_MISSING);
    g_array_unref(rows);
}

static void
test_upstreams(void)
{
#define FIELDS "\"pool\":\"p\",\"zone\":\"Z\",\"address\":\"127.0.0.1:1\","
    static const char text[] =
        "{\"upstreams\":["
        "{\"name\":\"a\"," FIELDS "\"slots\":4,\"state\":\"running\"},"
        "{\"name\":\"b\"," FIELDS "\"slots\":4,\"state\":\"starting\"},"
        "{\"name\":\"c\"," FIELDS "\"slots\":0,\"state\":\"running\"},"
        "{" FIELDS "\"slots\":4,\"state\":\"running\"},"
        "{\"name\":\"d\"," FIELDS
        "\"slots\":4,\"cheap\":true,\"state\":\"leaving\"}]}";
    const struct ct_listed_upstream *row;
    GArray *rows;

    g_assert_cmpint(ct_upstream_list_parse(text, strlen(text), &rows), ==,
                    CT_OK);
    g_assert_cmpuint(rows->len, ==, 2);
    row = &g_array_index(rows, struct ct_listed_upstream, 0);
    g_assert_cmpstr(row[0].upstream.name.text, ==, "a");
    g_assert_cmpuint(row[0].upstream.slots, ==, 4);
    g_assert_false(row[0].leaving);
    g_assert_cmpstr(row[1].upstream.name.text, ==, "d");
    g_assert_true(row[1].leaving);
    g_assert_true(row[1].upstream.cheap);
    g_array_unref(rows);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform-body/page", test_page);
    g_test_add_func("/platform-body/invalid-pages", test_invalid_pages);
    g_test_add_func("/platform-body/append-response", test_append_response);
    g_test_add_func("/platform-body/order", test_order);
    g_test_add_func("/platform-body/usage", test_usage);
    g_test_add_func("/platform-body/hosts", test_hosts);
    g_test_add_func("/platform-body/upstreams", test_upstreams);
    return g_test_run();
}
