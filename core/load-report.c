#include "load-report.h"

#include "state.h"

/* The list is renumbered when it is this much longer than needed. */
#define SPARE_NUMBERS 64

/* The list of upstreams. */

/* Forgets the numbers in this host's reports; sums that name one are unused.
 */
static void
forget_own_reports(struct ct_load_sharing *sharing)
{
    for (int i = 0; i < CT_LOAD_OWN_REPORTS; i++) {
        sharing->own_reports[i].sequence = 0;
    }
}

/* Drops upstreams from the list that are neither configured nor loaded. */
static void
renumber(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    struct ct_load_table *table = &sharing->table;
    bool *keep = g_new0(bool, table->hashes->len);
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((upstream =
                ct_table_next(&state->config.upstreams, &cursor, &handle))) {
        uint32_t number = upstream->configured
                              ? ct_load_table_upstream_number(table, handle)
                              : CT_LOAD_NO_NUMBER;

        if (number != CT_LOAD_NO_NUMBER) {
            keep[number] = true;
        }
    }
    ct_load_table_renumber(table, keep);
    g_free(keep);
    forget_own_reports(sharing);
}

/* Gives each upstream of the configuration a number. */
static void
number_upstreams(struct ct_state *state)
{
    struct ct_load_table *table = &state->load_sharing.table;
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((upstream =
                ct_table_next(&state->config.upstreams, &cursor, &handle))) {
        if (upstream->configured) {
            ct_load_table_add_upstream(table, handle, upstream->name_hash);
        }
    }
}

void
ct_load_report_update_list(struct ct_state *state)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    uint32_t needed =
        MAX(state->config.upstreams.live, table->renumbered) + SPARE_NUMBERS;

    number_upstreams(state);
    if (table->hashes->len > needed) {
        renumber(state);
        number_upstreams(state);
    }
}

void
ct_load_report_send_list(struct ct_state *state, struct ct_load_peer *peer)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    struct ct_peer_message *message;
    const uint64_t *hashes = (const uint64_t *)(void *)table->hashes->data;

    if (peer->listed_version != table->version) {
        peer->listed_version = table->version;
        peer->listed = 0;
    }
    if (peer->listed == table->hashes->len) {
        return;
    }
    message =
        ct_peer_message_to(state, &peer->host, CT_PEER_LOAD_LIST,
                           CT_ROWS((const struct ct_load_list_row
                                        *)(const void *)&hashes[peer->listed],
                                   table->hashes->len - peer->listed));
    message->u.load_list.version = table->version;
    message->u.load_list.first = peer->listed;
    peer->listed = table->hashes->len;
}

const struct ct_upstream_row *
ct_load_report_next(const struct ct_state *state, uint32_t *cursor,
                    struct ct_handle *handle, uint32_t *number)
{
    const struct ct_upstream_row *upstream;

    while (
        (upstream = ct_table_next(&state->config.upstreams, cursor, handle))) {
        *number =
            ct_load_table_upstream_number(&state->load_sharing.table, *handle);
        if (upstream->configured && *number != CT_LOAD_NO_NUMBER) {
            return upstream;
        }
    }
    return NULL;
}

/* Sending. */

/* Adds this host's own calls to the counts by number. */
static void
add_own_calls(const struct ct_state *state, uint64_t *counts)
{
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    uint32_t cursor = 0;
    uint32_t number;

    while (
        (upstream = ct_load_report_next(state, &cursor, &handle, &number))) {
        counts[number] += upstream->in_flight;
    }
}

/*
 * Writes the counts by number, n of them, as rows. Upstreams without calls are
 * left out unless most have some: then the numbers, which count up, need not
 * be transmitted.
 */
static void
counts_to_rows(const uint64_t *counts, uint32_t n, GArray *rows)
{
    uint32_t loaded = 0;
    bool sparse;

    while (n > 0 && counts[n - 1] == 0) {
        n--;
    }
    for (uint32_t i = 0; i < n; i++) {
        loaded += counts[i] > 0;
    }
    sparse = loaded < n / 2;
    g_array_set_size(rows, 0);
    for (uint32_t i = 0; i < n; i++) {
        struct ct_load_row row = {i, (uint32_t)MIN(counts[i], UINT32_MAX)};

        if (row.in_flight > 0 || !sparse) {
            g_array_append_val(rows, row);
        }
    }
}

static struct ct_rows
rows_of(const GArray *rows)
{
    return CT_ROWS((const struct ct_load_row *)(const void *)rows->data,
                   rows->len);
}

/* Starts a report that covers this host alone; the caller adds the others. */
static struct ct_peer_load
new_report(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;

    return (struct ct_peer_load){
        .sequence = ++sharing->sequence,
        .list_version = sharing->table.version,
        .hosts = 1,
    };
}

/* Sets the mean age of counts of hosts whose dates have this sum. */
static void
set_age(const struct ct_state *state, struct ct_peer_load *report,
        int64_t dated_sum_ms)
{
    report->age_ms =
        MAX(state->now_ms - dated_sum_ms / (int64_t)report->hosts, 0);
}

/* A follower reports its own calls to its source. */
void
ct_load_report_to_source(struct ct_state *state, struct ct_load_peer *source)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    uint32_t n = sharing->table.hashes->len;
    uint64_t *counts = g_new0(uint64_t, MAX(n, 1));
    struct ct_peer_load report = new_report(state);
    struct ct_own_load_report *own =
        &sharing->own_reports[report.sequence % CT_LOAD_OWN_REPORTS];

    add_own_calls(state, counts);
    counts_to_rows(counts, n, own->rows);
    own->sequence = report.sequence;
    own->sent_ms = state->now_ms;
    report.follows = true;
    sharing->reported_ms = state->now_ms;
    ct_load_report_send_list(state, source);
    ct_peer_message_to(state, &source->host, CT_PEER_LOAD, rows_of(own->rows))
        ->u.load = report;
    g_free(counts);
}

/* Whether this host dials the peer as another source. */
static bool
is_dialled_source(const struct ct_state *state, const struct ct_name *host)
{
    const GArray *links = state->replication.links;

    for (guint i = 0; i < links->len; i++) {
        if (ct_name_eq(&g_array_index(links, struct ct_host, i).name, host)) {
            return true;
        }
    }
    return false;
}

static bool
is_follower(const struct ct_load_peer *peer)
{
    return peer->received_ms > 0 && peer->follows;
}

static bool
is_source(const struct ct_state *state, const struct ct_load_peer *peer)
{
    return (peer->received_ms > 0 && !peer->follows) ||
           (!is_follower(peer) && is_dialled_source(state, &peer->host));
}

bool
ct_load_report_send_to_peers(struct ct_state *state,
                             const struct ct_peer_message *message,
                             struct ct_rows rows, bool to_followers)
{
    struct ct_load_peer *peer;
    uint32_t cursor = 0;
    bool sent = false;

    while ((peer = ct_table_next(&state->load_sharing.table.peers, &cursor,
                                 NULL))) {
        if (to_followers ? is_follower(peer) : is_source(state, peer)) {
            ct_load_report_send_list(state, peer);
        }
    }
    cursor = 0;
    while ((peer = ct_table_next(&state->load_sharing.table.peers, &cursor,
                                 NULL))) {
        if (to_followers ? !is_follower(peer) : !is_source(state, peer)) {
            continue;
        }
        if (sent) {
            ct_peer_message_repeat_to(state, &peer->host);
            continue;
        }
        ct_peer_message_to(state, &peer->host, message->type, rows)->u =
            message->u;
        sent = true;
    }
    return sent;
}

/* Adds up this host's calls and its followers', for the other sources. */
void
ct_load_report_to_sources(struct ct_state *state)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    uint32_t n = table->hashes->len;
    uint64_t *counts = g_new0(uint64_t, MAX(n, 1));
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct ct_load_row));
    struct ct_peer_message message = {.type = CT_PEER_LOAD};
    int64_t dated_sum_ms = state->now_ms;
    const struct ct_load_peer *peer;
    uint32_t cursor = 0;

    message.u.load = new_report(state);
    add_own_calls(state, counts);
    while ((peer = ct_table_next(&table->peers, &cursor, NULL))) {
        if (!is_follower(peer)) {
            continue;
        }
        for (guint i = 0; i < peer->rows->len; i++) {
            const struct ct_load_row *row =
                &g_array_index(peer->rows, struct ct_load_row, i);

            counts[row->number] += row->in_flight;
        }
        message.u.load.hosts += peer->hosts;
        dated_sum_ms += (int64_t)peer->hosts * peer->dated_ms;
    }
    set_age(state, &message.u.load, dated_sum_ms);
    counts_to_rows(counts, n, rows);
    if (ct_load_report_send_to_peers(state, &message, rows_of(rows), false)) {
        state->load_sharing.reported_ms = state->now_ms;
    }
    g_array_free(rows, TRUE);
    g_free(counts);
}

uint32_t
ct_load_reporter_id(const struct ct_name *host)
{
    return (uint32_t)ct_name_hash(CT_HASH_SEED, host);
}

void
ct_load_report_send_sum(struct ct_state *state)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    uint32_t n = table->hashes->len;
    uint64_t *counts = g_new0(uint64_t, MAX(n, 1));
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct ct_load_row));
    struct ct_peer_message message = {.type = CT_PEER_LOAD_SUM};
    struct ct_peer_load_sum *sum = &message.u.load_sum;
    const struct ct_load_peer *peer;
    uint32_t n_reporters = 0;
    uint32_t cursor = 0;

    sum->load = new_report(state);
    sum->load.hosts += table->hosts;
    set_age(state, &sum->load, table->dated_sum_ms + state->now_ms);
    while ((peer = ct_table_next(&table->peers, &cursor, NULL))) {
        if (is_follower(peer) && n_reporters < CT_LOAD_REPORTERS_MAX) {
            sum->reporters[n_reporters] = ct_load_reporter_id(&peer->host);
            sum->reported[n_reporters++] = peer->sequence;
        }
    }
    for (uint32_t i = 0; i < n; i++) {
        counts[i] = g_array_index(table->totals, uint64_t, i);
    }
    add_own_calls(state, counts);
    counts_to_rows(counts, n, rows);
    if (n_reporters > 0) {
        ct_load_report_send_to_peers(state, &message, rows_of(rows), true);
    }
    g_array_free(rows, TRUE);
    g_free(counts);
}
