/* Tests of json-text.h: nesting limit, line numbers of members, getters. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "json-text.h"

static void
test_nesting_limit(void)
{
    g_autofree char *text = g_strnfill(100000, '[');
    struct ct_json json;

    g_assert_cmpint(ct_json_parse(&json, text, 100000), ==,
                    CT_ERR_JSON_SYNTAX);
    ct_json_free(&json);
}

static void
test_line_numbers(void)
{
    static const char text[] =
        "{\n \"a\": {\n  \"b\": 1\n },\n \"c\":\n [{\n \"d\":2,\"e\":{}}]\n}";
    struct ct_json json;
    JsonObject *root;
    JsonObject *a;
    JsonObject *element;

    g_assert_cmpint(ct_json_parse(&json, text, strlen(text)), ==, CT_OK);
    root = ct_json_object(&json);
    a = json_object_get_object_member(root, "a");
    element = ct_json_element_object(ct_json_get_array(root, "c"), 0);
    g_assert_cmpuint(ct_json_line(&json, root), ==, 1);
    g_assert_cmpuint(ct_json_line(&json, json_object_get_member(root, "a")),
                     ==, 2);
    g_assert_cmpuint(ct_json_line(&json, json_object_get_member(a, "b")), ==,
                     3);
    g_assert_cmpuint(ct_json_line(&json, json_object_get_member(root, "c")),
                     ==, 5);
    g_assert_cmpuint(ct_json_line(&json, element), ==, 6);
    g_assert_cmpuint(ct_json_line(&json, json_object_get_member(element, "e")),
                     ==, 7);
    ct_json_free(&json);
}

static void
test_getters(void)
{
    static const char text[] =
        "{\"i\":5,\"f\":4.9,\"s\":\"x\",\"b\":true,\"n\":null,\"a\":[{},1]}";
    int64_t number = 0;
    bool flag = false;
    struct ct_json json;
    JsonObject *root;

    g_assert_cmpint(ct_json_parse(&json, text, strlen(text)), ==, CT_OK);
    root = ct_json_object(&json);
    g_assert_cmpint(ct_json_get_int(root, "i", 0, 5, &number), ==, CT_OK);
    g_assert_cmpint(number, ==, 5);
    g_assert_cmpint(ct_json_get_int(root, "i", 6, 9, &number), ==,
                    CT_ERR_FIELD_RANGE);
    g_assert_cmpint(ct_json_get_int(root, "s", 0, 5, &number), ==,
                    CT_ERR_FIELD_TYPE);
    g_assert_cmpint(ct_json_get_int(root, "n", 0, 5, &number), ==,
                    CT_ERR_FIELD_MISSING);
    g_assert_cmpint(ct_json_get_int(root, "z", 0, 5, &number), ==,
                    CT_ERR_FIELD_MISSING);
    g_assert_cmpint(ct_json_get_int(root, "f", 0, 5, &number), ==,
                    CT_ERR_FIELD_TYPE);
    g_assert_cmpint(ct_json_get_floor(root, "f", 0, 5, &number), ==, CT_OK);
    g_assert_cmpint(number, ==, 4);
    g_assert_cmpint(ct_json_get_floor(root, "f", 5, 9, &number), ==,
                    CT_ERR_FIELD_RANGE);
    g_assert_cmpint(ct_json_get_floor(root, "i", 0, 5, &number), ==, CT_OK);
    g_assert_cmpint(number, ==, 5);
    g_assert_cmpint(ct_json_get_floor(root, "s", 0, 5, &number), ==,
                    CT_ERR_FIELD_TYPE);
    g_assert_cmpint(ct_json_get_bool(root, "b", &flag), ==, CT_OK);
    g_assert_true(flag);
    g_assert_cmpint(ct_json_get_bool(root, "a", &flag), ==, CT_ERR_FIELD_TYPE);
    g_assert_cmpstr(ct_json_get_string(root, "s"), ==, "x");
    g_assert_null(ct_json_get_string(root, "i"));
    g_assert_null(ct_json_get_array(root, "s"));
    g_assert_nonnull(ct_json_element_object(ct_json_get_array(root, "a"), 0));
    g_assert_null(ct_json_element_object(ct_json_get_array(root, "a"), 1));
    ct_json_free(&json);
}

/* An empty text is no JSON; the data of an empty array may be NULL. */
static void
test_empty(void)
{
    struct ct_json json;

    g_assert_cmpint(ct_json_parse(&json, NULL, 0), ==, CT_ERR_JSON_SYNTAX);
    ct_json_free(&json);
    g_assert_cmpint(ct_json_parse(&json, "", 0), ==, CT_ERR_JSON_SYNTAX);
    ct_json_free(&json);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json-text/nesting-limit", test_nesting_limit);
    g_test_add_func("/json-text/line-numbers", test_line_numbers);
    g_test_add_func("/json-text/getters", test_getters);
    g_test_add_func("/json-text/empty", test_empty);
    return g_test_run();
}
