#include "load-table.h"

#include <string.h>

#include "error.h"

/* Newest upstreams of the list that renumbering always keeps. */
#define KEPT_NEWEST 32

static void
clear_peer(void *data)
{
    struct ct_load_peer *peer = data;

    g_array_free(peer->gaps.codes, TRUE);
    g_array_free(peer->numbers, TRUE);
    g_array_free(peer->rows, TRUE);
}

void
ct_load_table_init(struct ct_load_table *table)
{
    memset(table, 0, sizeof(*table));
    table->version = 1;
    table->hashes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    table->numbers = g_hash_table_new(NULL, NULL);
    table->upstreams =
        g_array_new(FALSE, TRUE, sizeof(struct ct_load_upstream));
    table->totals = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    table->scratch = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    ct_table_init(&table->peers, sizeof(struct ct_load_peer), 0, clear_peer);
}

void
ct_load_table_free(struct ct_load_table *table)
{
    ct_table_free(&table->peers);
    g_array_free(table->scratch, TRUE);
    g_array_free(table->totals, TRUE);
    g_array_free(table->upstreams, TRUE);
    g_hash_table_destroy(table->numbers);
    g_array_free(table->hashes, TRUE);
}

uint32_t
ct_load_table_number(struct ct_load_table *table, uint64_t upstream_hash)
{
    gpointer key = GSIZE_TO_POINTER(upstream_hash);
    uint32_t next = table->hashes->len;
    gpointer value;

    if (g_hash_table_lookup_extended(table->numbers, key, NULL, &value)) {
        return GPOINTER_TO_UINT(value);
    }
    if (next == CT_LOAD_LIST_MAX) {
        return CT_LOAD_NO_NUMBER;
    }
    g_array_append_val(table->hashes, upstream_hash);
    g_array_set_size(table->totals, next + 1);
    g_array_set_size(table->scratch, next + 1);
    g_hash_table_insert(table->numbers, key, GUINT_TO_POINTER(next));
    return next;
}

uint32_t
ct_load_table_upstream_number(const struct ct_load_table *table,
                              struct ct_handle upstream)
{
    const struct ct_load_upstream *row;

    if (upstream.index >= table->upstreams->len) {
        return CT_LOAD_NO_NUMBER;
    }
    row = &g_array_index(table->upstreams, struct ct_load_upstream,
                         upstream.index);
    return ct_handle_eq(row->upstream, upstream) ? row->number
                                                 : CT_LOAD_NO_NUMBER;
}

void
ct_load_table_add_upstream(struct ct_load_table *table,
                           struct ct_handle upstream, uint64_t upstream_hash)
{
    if (ct_load_table_upstream_number(table, upstream) != CT_LOAD_NO_NUMBER) {
        return;
    }
    if (upstream.index >= table->upstreams->len) {
        g_array_set_size(table->upstreams, upstream.index + 1);
    }
    g_array_index(table->upstreams, struct ct_load_upstream, upstream.index) =
        (struct ct_load_upstream){upstream,
                                  ct_load_table_number(table, upstream_hash)};
}

/* Adds the peer's part to the totals, or subtracts it for sign -1. */
static void
add_part(struct ct_load_table *table, const struct ct_load_peer *peer,
         int sign)
{
    for (guint i = 0; i < peer->rows->len; i++) {
        const struct ct_load_row *row =
            &g_array_index(peer->rows, struct ct_load_row, i);
        uint64_t *total = &g_array_index(table->totals, uint64_t, row->number);

        *total = sign > 0 ? *total + row->in_flight : *total - row->in_flight;
    }
    table->hosts =
        sign > 0 ? table->hosts + peer->hosts : table->hosts - peer->hosts;
    table->dated_sum_ms += sign * (int64_t)peer->hosts * peer->dated_ms;
}

/* Replaces old numbers by new ones; rows without a new one are removed. */
static void
renumber_peer(struct ct_load_peer *peer, const uint32_t *new_numbers)
{
    guint kept = 0;

    /* They arrive again within seconds. */
    ct_load_table_clear_gaps(peer);
    for (guint i = 0; i < peer->numbers->len; i++) {
        uint32_t *number = &g_array_index(peer->numbers, uint32_t, i);

        if (*number != CT_LOAD_NO_NUMBER) {
            *number = new_numbers[*number];
        }
    }
    for (guint i = 0; i < peer->rows->len; i++) {
        struct ct_load_row row =
            g_array_index(peer->rows, struct ct_load_row, i);

        row.number = new_numbers[row.number];
        if (row.number != CT_LOAD_NO_NUMBER) {
            g_array_index(peer->rows, struct ct_load_row, kept++) = row;
        }
    }
    g_array_set_size(peer->rows, kept);
}

void
ct_load_table_renumber(struct ct_load_table *table, const bool *keep)
{
    guint n = table->hashes->len;
    uint32_t *new_numbers = g_new(uint32_t, MAX(n, 1));
    GArray *hashes = table->hashes;
    GArray *totals = table->totals;
    struct ct_load_peer *peer;
    uint32_t cursor = 0;

    table->hashes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    table->totals = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_hash_table_remove_all(table->numbers);
    g_array_set_size(table->upstreams, 0);
    for (guint i = 0; i < n; i++) {
        uint64_t total = g_array_index(totals, uint64_t, i);

        new_numbers[i] = CT_LOAD_NO_NUMBER;
        if (keep[i] || total > 0 || i + KEPT_NEWEST >= n) {
            new_numbers[i] = ct_load_table_number(
                table, g_array_index(hashes, uint64_t, i));
            g_array_index(table->totals, uint64_t, new_numbers[i]) = total;
        }
    }
    while ((peer = ct_table_next(&table->peers, &cursor, NULL))) {
        renumber_peer(peer, new_numbers);
    }
    table->version++;
    table->renumbered = table->hashes->len;
    g_array_free(hashes, TRUE);
    g_array_free(totals, TRUE);
    g_free(new_numbers);
}

static struct ct_load_peer *
find_peer(const struct ct_load_table *table, const struct ct_name *host,
          struct ct_handle *handle)
{
    struct ct_load_peer *peer;
    uint32_t cursor = 0;

    while ((peer = ct_table_next(&table->peers, &cursor, handle))) {
        if (ct_name_eq(&peer->host, host)) {
            return peer;
        }
    }
    return NULL;
}

struct ct_load_peer *
ct_load_table_find(const struct ct_load_table *table,
                   const struct ct_name *host)
{
    return find_peer(table, host, NULL);
}

int
ct_load_table_add(struct ct_load_table *table, const struct ct_name *host)
{
    struct ct_load_peer *peer;
    struct ct_handle handle;
    int err;

    ct_load_table_remove(table, host);
    err = ct_table_add(&table->peers, &handle);
    if (err < 0) {
        return err;
    }
    peer = ct_table_get(&table->peers, handle);
    peer->host = *host;
    peer->numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    peer->gaps.codes = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    peer->rows = g_array_new(FALSE, FALSE, sizeof(struct ct_load_row));
    return CT_OK;
}

void
ct_load_table_remove(struct ct_load_table *table, const struct ct_name *host)
{
    struct ct_handle handle;
    struct ct_load_peer *peer = find_peer(table, host, &handle);

    if (peer) {
        ct_load_table_clear_part(table, peer);
        ct_table_unref(&table->peers, handle);
    }
}

bool
ct_load_table_set_list(struct ct_load_table *table, struct ct_load_peer *peer,
                       uint32_t version, uint32_t first, struct ct_rows rows)
{
    const struct ct_load_list_row *row = rows.data;

    if (first == 0) {
        peer->list_version = version;
    }
    if (version != peer->list_version || first > peer->numbers->len) {
        return false;
    }
    g_array_set_size(peer->numbers, first);
    for (uint32_t i = 0; i < rows.n && first + i < CT_LOAD_LIST_MAX; i++) {
        uint32_t number = ct_load_table_number(table, row[i].upstream_hash);

        g_array_append_val(peer->numbers, number);
    }
    return true;
}

/* Subtracts this host's own calls from the rows of a part. */
static void
subtract_own(struct ct_load_table *table, GArray *rows, struct ct_rows own)
{
    const struct ct_load_row *own_rows = own.data;
    uint32_t *in_flight = (uint32_t *)(void *)table->scratch->data;

    for (uint32_t i = 0; i < own.n; i++) {
        in_flight[own_rows[i].number] = own_rows[i].in_flight;
    }
    for (guint i = 0; i < rows->len; i++) {
        struct ct_load_row *row = &g_array_index(rows, struct ct_load_row, i);

        row->in_flight -= MIN(row->in_flight, in_flight[row->number]);
    }
    for (uint32_t i = 0; i < own.n; i++) {
        in_flight[own_rows[i].number] = 0;
    }
}

void
ct_load_table_set_part(struct ct_load_table *table, struct ct_load_peer *peer,
                       const struct ct_load_part *part, struct ct_rows rows,
                       struct ct_rows own)
{
    const struct ct_load_row *row = rows.data;

    ct_load_table_clear_part(table, peer);
    for (uint32_t i = 0; i < rows.n; i++) {
        uint32_t number =
            row[i].number < peer->numbers->len
                ? g_array_index(peer->numbers, uint32_t, row[i].number)
                : CT_LOAD_NO_NUMBER;
        struct ct_load_row translated = {number, row[i].in_flight};

        if (number != CT_LOAD_NO_NUMBER) {
            g_array_append_val(peer->rows, translated);
        }
    }
    subtract_own(table, peer->rows, own);
    peer->hosts = part->hosts;
    peer->received_ms = part->received_ms;
    peer->dated_ms = part->dated_ms;
    peer->follows = part->follows;
    add_part(table, peer, 1);
}

void
ct_load_table_clear_part(struct ct_load_table *table,
                         struct ct_load_peer *peer)
{
    if (peer->received_ms > 0) {
        add_part(table, peer, -1);
    }
    g_array_set_size(peer->rows, 0);
    peer->hosts = 0;
    peer->received_ms = 0;
    peer->dated_ms = 0;
}

void
ct_load_table_set_gaps(const struct ct_load_table *table,
                       struct ct_load_peer *peer, bool follows,
                       ct_ms received_ms, struct ct_rows rows)
{
    const struct ct_load_gap_row *row = rows.data;

    ct_load_table_clear_gaps(peer);
    g_array_set_size(peer->gaps.codes, table->hashes->len);
    for (uint32_t i = 0; i < rows.n; i++) {
        uint32_t number =
            row[i].number < peer->numbers->len
                ? g_array_index(peer->numbers, uint32_t, row[i].number)
                : CT_LOAD_NO_NUMBER;

        if (number != CT_LOAD_NO_NUMBER) {
            g_array_index(peer->gaps.codes, uint32_t, number) =
                row[i].gap_code;
        }
    }
    peer->gaps.follows = follows;
    peer->gaps.received_ms = received_ms;
}

void
ct_load_table_clear_gaps(struct ct_load_peer *peer)
{
    g_array_set_size(peer->gaps.codes, 0);
    peer->gaps.received_ms = 0;
}
