#include "speed-sharing.h"

#include <string.h>

#include "load-report.h"
#include "state.h"

/* Interval between messages; gaps count for 30 s, so they may be late. */
#define PERIOD_MS 5000
/* What a host sent is not used for longer. */
#define EXPIRY_MS 15000
/*
 * How long other hosts may send gaps of the earlier process of a restarted
 * upstream: until a part expires at a source, and the next messages of that
 * source and of another one were sent.
 */
#define DOUBTFUL_MS (EXPIRY_MS + 2 * PERIOD_MS)

/* Steps of a code for each doubling of the gap, and the shortest gap. */
#define CODE_STEP_BITS 4
#define CODE_STEPS (1 << CODE_STEP_BITS)
#define CODE_MIN_BITS 6
#define CODE_GAP_MIN_US (1U << CODE_MIN_BITS)
#define CODE_MAX ((32 - CODE_MIN_BITS) * CODE_STEPS)

void
ct_speed_sharing_init(struct ct_speed_sharing *sharing)
{
    memset(sharing, 0, sizeof(*sharing));
    sharing->upstreams =
        g_array_new(FALSE, TRUE, sizeof(struct ct_speed_upstream));
}

void
ct_speed_sharing_free(struct ct_speed_sharing *sharing)
{
    g_array_free(sharing->upstreams, TRUE);
}

uint32_t
ct_speed_encode_gap(uint32_t gap_us)
{
    uint32_t bits = CODE_MIN_BITS;

    if (gap_us == 0) {
        return 0;
    }
    gap_us = MAX(gap_us, CODE_GAP_MIN_US);
    while (bits < 31 && gap_us >> (bits + 1)) {
        bits++;
    }
    return 1 + (bits - CODE_MIN_BITS) * CODE_STEPS +
           ((gap_us >> (bits - CODE_STEP_BITS)) & (CODE_STEPS - 1));
}

uint32_t
ct_speed_decode_gap(uint32_t code)
{
    uint32_t shift;

    if (code == 0) {
        return 0;
    }
    code = MIN(code, CODE_MAX) - 1;
    shift = CODE_MIN_BITS + code / CODE_STEPS - CODE_STEP_BITS;
    /* The middle of the gaps with this code. */
    return ((CODE_STEPS + code % CODE_STEPS) << shift) + (1U << shift) / 2;
}

/* Replaces a code by another one for a shorter gap. */
static void
take_shorter(uint32_t *code, uint32_t other)
{
    if (other > 0 && (*code == 0 || other < *code)) {
        *code = other;
    }
}

static void
add_own_gaps(const struct ct_state *state, uint32_t *codes)
{
    struct ct_handle handle;
    uint32_t cursor = 0;
    uint32_t number;

    while (ct_load_report_next(state, &cursor, &handle, &number)) {
        take_shorter(
            &codes[number],
            ct_speed_encode_gap(ct_upstream_speed_gap_us(state, handle)));
    }
}

/* Adds what other hosts measured: all of them, or only followers. */
static void
add_other_gaps(const struct ct_state *state, bool only_followers,
               uint32_t *codes)
{
    const struct ct_load_peer *peer;
    uint32_t cursor = 0;

    while ((peer = ct_table_next(&state->load_sharing.table.peers, &cursor,
                                 NULL))) {
        if (peer->gaps.received_ms == 0 ||
            (only_followers && !peer->gaps.follows)) {
            continue;
        }
        for (guint i = 0; i < peer->gaps.codes->len; i++) {
            take_shorter(&codes[i],
                         g_array_index(peer->gaps.codes, uint32_t, i));
        }
    }
}

/*
 * Returns the rows of the upstreams that are measured, or of all if most are:
 * then the numbers need not be transmitted.
 */
static GArray *
codes_to_rows(const uint32_t *codes, uint32_t n)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct ct_load_gap_row));
    uint32_t measured = 0;
    bool sparse;

    for (uint32_t i = 0; i < n; i++) {
        measured += codes[i] > 0;
    }
    sparse = measured < n / 2;
    for (uint32_t i = 0; i < n && measured > 0; i++) {
        struct ct_load_gap_row row = {i, codes[i]};

        if (codes[i] > 0 || !sparse) {
            g_array_append_val(rows, row);
        }
    }
    return rows;
}

/* Sends codes to the source, to the other sources, or to the followers. */
static void
send_gaps(struct ct_state *state, struct ct_load_peer *source,
          bool to_followers, const uint32_t *codes)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    struct ct_peer_message message = {.type = CT_PEER_LOAD_GAPS};
    GArray *gaps = codes_to_rows(codes, table->hashes->len);
    struct ct_rows rows = CT_ROWS(
        (const struct ct_load_gap_row *)(const void *)gaps->data, gaps->len);

    state->speed_sharing.sent_any |= gaps->len > 0;
    if (!state->speed_sharing.sent_any) {
        g_array_free(gaps, TRUE);
        return;
    }
    message.u.load_gaps = (struct ct_peer_load_gaps){
        .sequence = ++state->speed_sharing.sequence,
        .list_version = table->version,
        .follows = source != NULL,
    };
    if (source) {
        ct_load_report_send_list(state, source);
        ct_peer_message_to(state, &source->host, message.type, rows)->u =
            message.u;
    }
    else {
        ct_load_report_send_to_peers(state, &message, rows, to_followers);
    }
    g_array_free(gaps, TRUE);
}

/* source: NULL if this host is a source. */
static void
send_due(struct ct_state *state, struct ct_load_peer *source)
{
    struct ct_speed_sharing *sharing = &state->speed_sharing;
    uint32_t n = state->load_sharing.table.hashes->len;
    uint32_t *codes;

    if (sharing->sent_ms && state->now_ms - sharing->sent_ms < PERIOD_MS) {
        return;
    }
    sharing->sent_ms = state->now_ms;
    codes = g_new0(uint32_t, MAX(n, 1));
    add_own_gaps(state, codes);
    if (!source) {
        add_other_gaps(state, true, codes);
    }
    send_gaps(state, source, false, codes);
    if (!source) {
        add_other_gaps(state, false, codes);
        send_gaps(state, NULL, true, codes);
    }
    g_free(codes);
}

static void
expire_parts(struct ct_state *state)
{
    struct ct_load_peer *peer;
    uint32_t cursor = 0;

    while ((peer = ct_table_next(&state->load_sharing.table.peers, &cursor,
                                 NULL))) {
        if (state->now_ms - peer->gaps.received_ms >= EXPIRY_MS) {
            ct_load_table_clear_gaps(peer);
        }
    }
}

/* Returns the upstream of a number, which may have been restarted. */
static const struct ct_speed_upstream *
update_upstream(struct ct_state *state, uint32_t number,
                struct ct_handle handle)
{
    struct ct_speed_upstream *upstream = &g_array_index(
        state->speed_sharing.upstreams, struct ct_speed_upstream, number);

    if (!ct_handle_eq(upstream->upstream, handle)) {
        if (!ct_handle_is_none(upstream->upstream)) {
            upstream->doubtful_until_ms = state->now_ms + DOUBTFUL_MS;
        }
        upstream->upstream = handle;
    }
    return upstream;
}

/* Passes what other hosts measured to the speeds of this host's upstreams. */
static void
apply_gaps(struct ct_state *state)
{
    const struct ct_load_table *table = &state->load_sharing.table;
    struct ct_speed_sharing *sharing = &state->speed_sharing;
    uint32_t *codes = g_new0(uint32_t, MAX(table->hashes->len, 1));
    const struct ct_upstream_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    if (sharing->list_version != table->version) {
        sharing->list_version = table->version;
        g_array_set_size(sharing->upstreams, 0);
    }
    g_array_set_size(sharing->upstreams, table->hashes->len);
    add_other_gaps(state, false, codes);
    while ((row = ct_table_next(&state->config.upstreams, &cursor, &handle))) {
        uint32_t number = ct_load_table_upstream_number(table, handle);
        const struct ct_speed_upstream *upstream;

        if (!row->configured || number == CT_LOAD_NO_NUMBER) {
            continue;
        }
        upstream = update_upstream(state, number, handle);
        ct_upstream_speed_set_others(state, handle,
                                     state->now_ms <
                                             upstream->doubtful_until_ms
                                         ? 0
                                         : ct_speed_decode_gap(codes[number]));
    }
    g_free(codes);
}

void
ct_speed_sharing_on_tick(struct ct_state *state, bool follows,
                         struct ct_load_peer *source)
{
    expire_parts(state);
    apply_gaps(state);
    if (source || !follows) {
        send_due(state, source);
    }
}

void
ct_speed_sharing_on_message(struct ct_state *state, struct ct_load_peer *peer,
                            const struct ct_peer_message *message)
{
    ct_load_table_set_gaps(&state->load_sharing.table, peer,
                           message->u.load_gaps.follows, state->now_ms,
                           message->rows);
}
