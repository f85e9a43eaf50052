/*
 * Tests of load-table.h: lists of upstreams that do not match, and what stays
 * of the parts when numbers are renumbered.
 */
#include "load-table.h"

#include <string.h>

#define N_UPSTREAMS 50

static struct ct_load_peer *
add_peer(struct ct_load_table *table, const char *host)
{
    struct ct_name name = {{0}};

    CT_TEXT_SET(name, host);
    g_assert_cmpint(ct_load_table_add(table, &name), ==, 0);
    return ct_load_table_find(table, &name);
}

/* Sets the list of upstreams with the hashes 1 to n. */
static void
set_list(struct ct_load_table *table, struct ct_load_peer *peer, uint32_t n)
{
    g_autofree struct ct_load_list_row *rows =
        g_new0(struct ct_load_list_row, n);

    for (uint32_t i = 0; i < n; i++) {
        rows[i].upstream_hash = i + 1;
    }
    g_assert_true(ct_load_table_set_list(table, peer, 1, 0, CT_ROWS(rows, n)));
}

static void
set_part(struct ct_load_table *table, struct ct_load_peer *peer,
         struct ct_rows rows, struct ct_rows own)
{
    const struct ct_load_part part = {
        .hosts = 1, .received_ms = 10, .dated_ms = 10};

    ct_load_table_set_part(table, peer, &part, rows, own);
}

static uint64_t
total_of(struct ct_load_table *table, uint64_t upstream_hash)
{
    return g_array_index(table->totals, uint64_t,
                         ct_load_table_number(table, upstream_hash));
}

/* A list with a gap, or of another version, is not used. */
static void
test_list_mismatch(void)
{
    const struct ct_load_list_row rows[] = {{7}, {8}};
    struct ct_load_table table;
    struct ct_load_peer *peer;

    ct_load_table_init(&table);
    peer = add_peer(&table, "h2");
    g_assert_false(
        ct_load_table_set_list(&table, peer, 1, 2, CT_ROWS(rows, 2)));
    g_assert_true(
        ct_load_table_set_list(&table, peer, 1, 0, CT_ROWS(rows, 2)));
    g_assert_false(
        ct_load_table_set_list(&table, peer, 2, 2, CT_ROWS(rows, 2)));
    g_assert_false(
        ct_load_table_set_list(&table, peer, 1, 3, CT_ROWS(rows, 2)));
    g_assert_cmpuint(peer->numbers->len, ==, 2);
    ct_load_table_free(&table);
}

/*
 * Numbers outside the list are ignored, own calls are subtracted down to 0,
 * and a part that goes leaves nothing in the totals.
 */
static void
test_totals(void)
{
    const struct ct_load_row rows[] = {{0, 5}, {1, 2}, {9, 100}};
    struct ct_load_row own[] = {{0, 3}, {0, 9}};
    struct ct_load_table table;
    struct ct_load_peer *peer;

    ct_load_table_init(&table);
    peer = add_peer(&table, "h2");
    set_list(&table, peer, 2);
    own[0].number = ct_load_table_number(&table, 1);
    own[1].number = ct_load_table_number(&table, 2);
    set_part(&table, peer, CT_ROWS(rows, 3), CT_ROWS(own, 2));
    g_assert_cmpuint(total_of(&table, 1), ==, 2);
    g_assert_cmpuint(total_of(&table, 2), ==, 0);
    set_part(&table, peer, CT_ROWS(rows, 3), CT_NO_ROWS);
    g_assert_cmpuint(total_of(&table, 1), ==, 5);
    g_assert_cmpuint(table.hosts, ==, 1);
    ct_load_table_remove(&table, &peer->host);
    g_assert_cmpuint(total_of(&table, 1), ==, 0);
    g_assert_cmpuint(table.hosts, ==, 0);
    g_assert_cmpint(table.dated_sum_ms, ==, 0);
    ct_load_table_free(&table);
}

/* A host that sends a list without end does not fill the memory. */
static void
test_long_list(void)
{
    struct ct_load_table table;
    struct ct_load_peer *peer;
    const struct ct_load_row row = {CT_LOAD_LIST_MAX, 1};

    ct_load_table_init(&table);
    peer = add_peer(&table, "h2");
    set_list(&table, peer, 2 * CT_LOAD_LIST_MAX);
    g_assert_cmpuint(table.hashes->len, ==, CT_LOAD_LIST_MAX);
    g_assert_cmpuint(peer->numbers->len, ==, CT_LOAD_LIST_MAX);
    set_part(&table, peer, CT_ROWS(&row, 1), CT_NO_ROWS);
    g_assert_cmpuint(peer->rows->len, ==, 0);
    g_assert_cmpuint(ct_load_table_number(&table, 2 * CT_LOAD_LIST_MAX), ==,
                     CT_LOAD_NO_NUMBER);
    ct_load_table_free(&table);
}

/*
 * After renumbering, the parts and the peer's list refer to the same upstreams
 * as before.
 */
static void
test_renumber(void)
{
    const struct ct_load_row rows[] = {{3, 30}, {9, 90}, {49, 490}};
    const struct ct_load_row later[] = {{3, 31}, {5, 51}, {40, 400}};
    bool keep[N_UPSTREAMS] = {[9] = true, [12] = true};
    struct ct_load_table table;
    struct ct_load_peer *peer;

    ct_load_table_init(&table);
    peer = add_peer(&table, "h2");
    set_list(&table, peer, N_UPSTREAMS);
    set_part(&table, peer, CT_ROWS(rows, 3), CT_NO_ROWS);
    ct_load_table_renumber(&table, keep);
    g_assert_cmpuint(table.version, ==, 2);
    g_assert_cmpuint(table.hashes->len, <, N_UPSTREAMS);
    g_assert_cmpuint(total_of(&table, 4), ==, 30);
    g_assert_cmpuint(total_of(&table, 10), ==, 90);
    g_assert_cmpuint(total_of(&table, 50), ==, 490);
    set_part(&table, peer, CT_ROWS(later, 3), CT_NO_ROWS);
    g_assert_cmpuint(total_of(&table, 4), ==, 31);
    g_assert_cmpuint(total_of(&table, 10), ==, 0);
    g_assert_cmpuint(total_of(&table, 41), ==, 400);
    ct_load_table_remove(&table, &peer->host);
    for (guint i = 0; i < table.totals->len; i++) {
        g_assert_cmpuint(g_array_index(table.totals, uint64_t, i), ==, 0);
    }
    ct_load_table_free(&table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load-table/list-mismatch", test_list_mismatch);
    g_test_add_func("/load-table/totals", test_totals);
    g_test_add_func("/load-table/long-list", test_long_list);
    g_test_add_func("/load-table/renumber", test_renumber);
    return g_test_run();
}
