#include "usage.h"

#include <string.h>

#include "error.h"
#include "state.h"
#include "usage-final.h"

#define COPY_PERIOD_MS 2000
/* Peers besides the holder of the lease that receive a copy of each row. */
#define COPY_PEERS 2

static guint
hash_row(gconstpointer key)
{
    const struct ct_usage_row *row = key;
    uint64_t h = ct_name_hash(CT_HASH_SEED, &row->writer);

    h = ct_hash_bytes(h, &row->window_start_ms, sizeof(row->window_start_ms));
    return (guint)ct_name_hash(h, &row->organisation);
}

static gboolean
equal_rows(gconstpointer a, gconstpointer b)
{
    const struct ct_usage_row *left = a;
    const struct ct_usage_row *right = b;

    return left->window_start_ms == right->window_start_ms &&
           ct_name_eq(&left->writer, &right->writer) &&
           ct_name_eq(&left->organisation, &right->organisation);
}

void
ct_usage_init(struct ct_usage *usage)
{
    memset(usage, 0, sizeof(*usage));
    ct_table_init(&usage->totals, sizeof(struct ct_usage_total), 0, NULL);
    usage->by_key = g_hash_table_new(hash_row, equal_rows);
}

void
ct_usage_free(struct ct_usage *usage)
{
    if (usage->by_key) {
        g_hash_table_destroy(usage->by_key);
    }
    ct_table_free(&usage->totals);
}

static struct ct_usage_total *
find_or_add(struct ct_state *state, const struct ct_usage_row *key)
{
    struct ct_usage *usage = &state->usage;
    struct ct_usage_total *total;
    struct ct_handle handle;
    gpointer found;
    int err;

    if (g_hash_table_lookup_extended(usage->by_key, key, &found, NULL)) {
        return (struct ct_usage_total *)found;
    }
    err = ct_table_add(&usage->totals, &handle);
    if (err < 0) {
        state->out->err = err;
        return NULL;
    }
    total = ct_table_get(&usage->totals, handle);
    total->row.writer = key->writer;
    total->row.organisation = key->organisation;
    total->row.window_start_ms = key->window_start_ms;
    g_hash_table_add(usage->by_key, &total->row);
    return total;
}

/*
 * Returns the start of the current window. A clock that was set back does not
 * reopen a window.
 */
static ct_ms
current_window_ms(const struct ct_state *state)
{
    ct_ms start_ms = state->wall_ms - state->wall_ms % CT_USAGE_WINDOW_MS;

    return MAX(start_ms, state->usage_finals.newest_ms + CT_USAGE_WINDOW_MS);
}

static bool
is_own(const struct ct_state *state, const struct ct_usage_row *row)
{
    return ct_name_eq(&row->writer, &state->self.writer);
}

static void
add_own(struct ct_state *state, const struct ct_name *organisation,
        const struct ct_usage_row *increment)
{
    struct ct_usage_row key;
    struct ct_usage_total *total;

    memset(&key, 0, sizeof(key));
    key.writer = state->self.writer;
    key.organisation = *organisation;
    key.window_start_ms = current_window_ms(state);
    total = find_or_add(state, &key);
    if (!total) {
        return;
    }
    total->row.requests += increment->requests;
    total->row.tokens_in += increment->tokens_in;
    total->row.tokens_out += increment->tokens_out;
    total->row.late_requests += increment->late_requests;
    total->changed = true;
}

void
ct_usage_add(struct ct_state *state, const struct ct_name *organisation,
             uint64_t requests, uint64_t tokens_in, uint64_t tokens_out)
{
    struct ct_usage_row increment = {
        .requests = requests,
        .tokens_in = tokens_in,
        .tokens_out = tokens_out,
    };

    add_own(state, organisation, &increment);
}

/*
 * Takes the higher of each pair of figures: totals only grow, so the higher
 * figure is newer.
 */
static void
merge_totals(struct ct_usage_row *into, const struct ct_usage_row *from)
{
    into->requests = MAX(into->requests, from->requests);
    into->tokens_in = MAX(into->tokens_in, from->tokens_in);
    into->tokens_out = MAX(into->tokens_out, from->tokens_out);
    into->late_requests = MAX(into->late_requests, from->late_requests);
}

void
ct_usage_on_copy(struct ct_state *state, const struct ct_peer_message *message)
{
    const struct ct_usage_row *rows = message->rows.data;
    struct ct_usage_total *total;
    uint32_t i;

    for (i = 0; i < message->rows.n; i++) {
        if (rows[i].window_start_ms <= state->usage_finals.newest_ms ||
            is_own(state, &rows[i])) {
            continue;
        }
        total = find_or_add(state, &rows[i]);
        if (total) {
            merge_totals(&total->row, &rows[i]);
        }
    }
}

struct copy_rank {
    const struct ct_peer_row *peer;
    uint64_t weight;
    bool other_zone;
};

static int
compare_ranks(gconstpointer a, gconstpointer b)
{
    const struct copy_rank *left = a;
    const struct copy_rank *right = b;

    if (left->other_zone != right->other_zone) {
        return left->other_zone ? -1 : 1;
    }
    return left->weight > right->weight ? -1 : left->weight < right->weight;
}

/*
 * Returns the peers whose link is up, the best holder of this host's copies
 * first.
 */
static GArray *
rank_peers(const struct ct_state *state)
{
    GArray *ranks = g_array_new(FALSE, TRUE, sizeof(struct copy_rank));
    uint64_t seed = ct_name_hash(CT_HASH_SEED, &state->self.host);
    const struct ct_peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        struct copy_rank rank = {
            .peer = row,
            .weight = ct_name_hash(seed, &row->conf.name),
            .other_zone = !ct_name_eq(&row->conf.zone, &state->self.zone),
        };

        if (row->up && row->configured) {
            g_array_append_val(ranks, rank);
        }
    }
    g_array_sort(ranks, compare_ranks);
    return ranks;
}

static void
send_rows(struct ct_state *state, const struct ct_name *peer, GArray *rows)
{
    struct ct_peer_message message;

    if (rows->len == 0) {
        return;
    }
    memset(&message, 0, sizeof(message));
    message.type = CT_PEER_USAGE_COPY;
    message.rows =
        CT_ROWS((struct ct_usage_row *)(void *)rows->data, rows->len);
    ct_peer_status_send(state, peer, &message);
}

static const struct ct_name *
lease_holder(const struct ct_state *state)
{
    return &state->leases.roles[CT_ROLE_USAGE].holder;
}

bool
ct_usage_flush(struct ct_state *state)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_usage_row));
    GArray *ranks = rank_peers(state);
    struct ct_usage_total *total;
    uint32_t cursor = 0;
    bool unchanged;
    guint i;

    while ((total = ct_table_next(&state->usage.totals, &cursor, NULL))) {
        if (total->changed && ranks->len > 0) {
            total->changed = false;
            g_array_append_val(rows, total->row);
        }
    }
    unchanged = rows->len == 0;
    for (i = 0; i < ranks->len; i++) {
        const struct ct_name *name =
            &g_array_index(ranks, struct copy_rank, i).peer->conf.name;

        if (i < COPY_PEERS || ct_name_eq(name, lease_holder(state))) {
            send_rows(state, name, rows);
        }
    }
    g_array_free(ranks, TRUE);
    g_array_free(rows, TRUE);
    return unchanged;
}

/* Sends all totals of ended windows to the host that makes them final. */
static void
send_ended_windows(struct ct_state *state)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_usage_row));
    const struct ct_usage_total *total;
    uint32_t cursor = 0;

    while ((total = ct_table_next(&state->usage.totals, &cursor, NULL))) {
        if (total->row.window_start_ms + CT_USAGE_WINDOW_MS <=
            state->wall_ms) {
            g_array_append_val(rows, total->row);
        }
    }
    send_rows(state, lease_holder(state), rows);
    g_array_free(rows, TRUE);
}

void
ct_usage_start(struct ct_state *state)
{
    if (!state->usage.armed) {
        state->usage.armed = true;
        ct_arm_timer(state, COPY_PERIOD_MS, CT_TIMER_USAGE, CT_NO_HANDLE);
    }
}

void
ct_usage_on_timer(struct ct_state *state)
{
    ct_usage_flush(state);
    send_ended_windows(state);
    ct_arm_timer(state, COPY_PERIOD_MS, CT_TIMER_USAGE, CT_NO_HANDLE);
}

/* Returns what the final rows include of one row; zero if they lack it. */
static struct ct_usage_row
included_usage(struct ct_rows rows, const struct ct_usage_row *row)
{
    const struct ct_usage_row *finals = rows.data;
    struct ct_usage_row none;
    uint32_t i;

    for (i = 0; i < rows.n; i++) {
        if (equal_rows(&finals[i], row)) {
            return finals[i];
        }
    }
    memset(&none, 0, sizeof(none));
    return none;
}

static void
count_late(struct ct_state *state, const struct ct_usage_row *row,
           struct ct_rows rows)
{
    struct ct_usage_row done = included_usage(rows, row);
    struct ct_usage_row late = {
        .requests = row->requests - MIN(row->requests, done.requests),
        .tokens_in = row->tokens_in - MIN(row->tokens_in, done.tokens_in),
        .tokens_out = row->tokens_out - MIN(row->tokens_out, done.tokens_out),
    };

    late.late_requests = late.requests;
    if (late.requests || late.tokens_in || late.tokens_out) {
        add_own(state, &row->organisation, &late);
    }
}

/*
 * Removes the totals of all windows up to the given one. Usage of this process
 * that rows lacks is counted as late; if rows is NULL, none is.
 */
static void
remove_windows(struct ct_state *state, ct_ms window_start_ms,
               const struct ct_rows *rows)
{
    struct ct_usage_total *total;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((total = ct_table_next(&state->usage.totals, &cursor, &handle))) {
        if (total->row.window_start_ms > window_start_ms) {
            continue;
        }
        if (rows && is_own(state, &total->row)) {
            count_late(state, &total->row, *rows);
        }
        g_hash_table_remove(state->usage.by_key, &total->row);
        ct_table_unref(&state->usage.totals, handle);
    }
}

void
ct_usage_close_windows(struct ct_state *state, ct_ms window_start_ms,
                       struct ct_rows rows)
{
    remove_windows(state, window_start_ms, &rows);
}

void
ct_usage_discard_windows(struct ct_state *state, ct_ms window_start_ms)
{
    remove_windows(state, window_start_ms, NULL);
}
