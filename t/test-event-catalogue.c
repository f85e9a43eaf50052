/* Compares docs/EVENTS.md with CT_LOG_EVENTS in both directions. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "effect.h"

enum column {
    COLUMN_NUMBER = 1,
    COLUMN_NAME,
    COLUMN_LEVEL,
    COLUMN_MEANING,
    COLUMN_WHAT_TO_DO,
    COLUMN_COUNT,
};

struct code_event {
    const char *name;
    int number;
    const char *level;
    const char *text;
};

static const struct code_event code[] = {
#define X(name, number, level, text) {#name, number, #level, text},
    CT_LOG_EVENTS(X)
#undef X
};

/* Rows of the page's table whose first column is a number. */
static GPtrArray *
read_page(void)
{
    GPtrArray *rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
    const char *source = g_getenv("CT_SOURCE_DIR");
    g_autofree char *path =
        g_build_filename(source ? source : ".", "docs", "EVENTS.md", NULL);
    g_autofree char *text = NULL;
    g_auto(GStrv) lines = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        char **cells = g_strsplit(*line, "|", -1);

        if (g_strv_length(cells) <= COLUMN_COUNT ||
            atoi(cells[COLUMN_NUMBER]) == 0) {
            g_strfreev(cells);
            continue;
        }
        for (char **cell = cells; *cell; cell++) {
            g_strstrip(*cell);
        }
        g_ptr_array_add(rows, cells);
    }
    return rows;
}

static void
test_same(void)
{
    g_autoptr(GPtrArray) rows = read_page();

    g_assert_cmpuint(rows->len, ==, G_N_ELEMENTS(code));
    for (guint i = 0; i < rows->len; i++) {
        char **row = g_ptr_array_index(rows, i);

        g_assert_cmpint(atoi(row[COLUMN_NUMBER]), ==, code[i].number);
        g_assert_cmpstr(row[COLUMN_NAME], ==, code[i].name);
        g_assert_cmpstr(row[COLUMN_LEVEL], ==, code[i].level);
        g_assert_cmpstr(row[COLUMN_MEANING], ==, code[i].text);
        g_assert_cmpuint(strlen(row[COLUMN_WHAT_TO_DO]), >, 0);
    }
}

static void
test_numbers_rise(void)
{
    for (size_t i = 1; i < G_N_ELEMENTS(code); i++) {
        g_assert_cmpint(code[i].number, >, code[i - 1].number);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event-catalogue/same", test_same);
    g_test_add_func("/event-catalogue/numbers-rise", test_numbers_rise);
    return g_test_run();
}
