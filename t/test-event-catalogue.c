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

struct declared_event {
    const char *name;
    int number;
    const char *level;
    const char *text;
};

static const struct declared_event declared_events[] = {
#define X(name, number, level, text) {#name, number, #level, text},
    CT_LOG_EVENTS(X)
#undef X
};

/* Returns the rows of the page's table whose first column is a number. */
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
test_page_matches_code(void)
{
    g_autoptr(GPtrArray) rows = read_page();

    g_assert_cmpuint(rows->len, ==, G_N_ELEMENTS(declared_events));
    for (guint i = 0; i < rows->len; i++) {
        char **row = g_ptr_array_index(rows, i);

        g_assert_cmpint(atoi(row[COLUMN_NUMBER]), ==,
                        declared_events[i].number);
        g_assert_cmpstr(row[COLUMN_NAME], ==, declared_events[i].name);
        g_assert_cmpstr(row[COLUMN_LEVEL], ==, declared_events[i].level);
        g_assert_cmpstr(row[COLUMN_MEANING], ==, declared_events[i].text);
        g_assert_cmpuint(strlen(row[COLUMN_WHAT_TO_DO]), >, 0);
    }
}

static void
test_numbers_ascend(void)
{
    for (size_t i = 1; i < G_N_ELEMENTS(declared_events); i++) {
        g_assert_cmpint(declared_events[i].number, >,
                        declared_events[i - 1].number);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event-catalogue/page-matches-code",
                    test_page_matches_code);
    g_test_add_func("/event-catalogue/numbers-ascend", test_numbers_ascend);
    return g_test_run();
}
