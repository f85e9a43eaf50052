/* Tests of window-sums.h: requests by window and organisation. */
#include "window-sums.h"

static void
add(struct ct_window_sums *sums, int64_t window, const char *organisation,
    uint64_t requests)
{
    struct ct_tally_row row = {.requests = requests};

    CT_TEXT_SET(row.organisation, organisation);
    ct_window_sums_add(sums, window, &row);
}

static void
assert_rows(const struct ct_window_sums *sums, int64_t window,
            const char *expected)
{
    GArray *rows = ct_window_sums_rows(sums, window);
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < rows->len; i++) {
        const struct ct_tally_row *row =
            &g_array_index(rows, struct ct_tally_row, i);

        g_string_append_printf(text, "%s=%" G_GUINT64_FORMAT " ",
                               row->organisation.text, row->requests);
    }
    g_assert_cmpstr(text->str, ==, expected);
    g_string_free(text, TRUE);
    g_array_free(rows, TRUE);
}

/* Rows of several hosts are summed by window and organisation. */
static void
test_sums(void)
{
    struct ct_window_sums sums;

    ct_window_sums_init(&sums);
    add(&sums, 7, "zeta", 1);
    add(&sums, 7, "acme", 2);
    add(&sums, 8, "acme", 16);
    add(&sums, 7, "acme", 4);
    assert_rows(&sums, 7, "acme=6 zeta=1 ");
    assert_rows(&sums, 8, "acme=16 ");
    assert_rows(&sums, 9, "");
    ct_window_sums_free(&sums);
}

static void
test_remove_before(void)
{
    struct ct_window_sums sums;

    ct_window_sums_init(&sums);
    add(&sums, 7, "acme", 1);
    add(&sums, 8, "acme", 2);
    ct_window_sums_remove_before(&sums, 8);
    assert_rows(&sums, 7, "");
    assert_rows(&sums, 8, "acme=2 ");
    ct_window_sums_free(&sums);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/window-sums/sums", test_sums);
    g_test_add_func("/window-sums/remove-before", test_remove_before);
    return g_test_run();
}
