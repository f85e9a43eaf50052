/* Tests of diag.h: formatting of findings for operators. */
#include <glib.h>
#include <string.h>

#include "diag.h"
#include "error.h"

static void
test_format(void)
{
    struct ct_diag diag = {"f.json", 3, "routes[0].class", "draft",
                           CT_ERR_REFERENCE_UNKNOWN};
    GString *out = g_string_new(NULL);

    ct_diag_format(&diag, out);
    g_assert_cmpstr(out->str, ==,
                    "f.json:3: routes[0].class: refers to a name that is "
                    "not declared (draft)");
    g_string_free(out, TRUE);
}

static void
test_format_without_line_and_field(void)
{
    struct ct_diag diag = {"dir", 0, "", "", CT_ERR_NOT_FOUND};
    GString *out = g_string_new(NULL);

    ct_diag_format(&diag, out);
    g_assert_cmpstr(out->str, ==, "dir: holds no service file (*.json)");
    g_string_free(out, TRUE);
}

/* Values longer than their field are truncated. */
static void
test_long_values(void)
{
    g_autofree char *text = g_strnfill(1000, 'x');
    struct ct_diags diags;

    ct_diags_init(&diags);
    g_assert_cmpint(
        ct_diags_add(&diags, CT_ERR_FIELD_RANGE, text, 1, text, text), ==,
        CT_ERR_FIELD_RANGE);
    g_assert_cmpuint(ct_diags_count(&diags), ==, 1);
    g_assert_cmpuint(strlen(ct_diags_get(&diags, 0)->value), ==,
                     CT_DIAG_VALUE_MAX - 1);
    ct_diags_free(&diags);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/diag/format", test_format);
    g_test_add_func("/diag/format-without-line-and-field",
                    test_format_without_line_and_field);
    g_test_add_func("/diag/long-values", test_long_values);
    return g_test_run();
}
