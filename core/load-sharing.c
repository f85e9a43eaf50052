#include "load-sharing.h"

#include <string.h>

#include "load-report.h"
#include "speed-sharing.h"
#include "state.h"

/* Interval between the reports of a follower, and the sums for followers. */
#define PERIOD_MS 500
/* Interval between the reports of a source to the other sources. */
#define SOURCE_PERIOD_MS 1000
/*
 * A source reports to the others this long before its next sum. All sources
 * report at the same time, so that the sums contain new reports of all.
 */
#define SOURCE_LEAD_MS 60
/* Largest change of a source's interval that adapts it to the others. */
#define SOURCE_SHIFT_MAX_MS 200
/*
 * A follower sends its next report this long before it expects the next sum,
 * so that its source has it, even if one of them runs late, when it reports to
 * the other sources. A report that misses the sum is 500 ms older.
 */
#define REPORT_LEAD_MS 160
/* Random part of it, which spreads the reports to a source. */
#define REPORT_SPREAD_MS 40
/* Limits of the interval between reports while it is adapted to the sums. */
#define REPORT_INTERVAL_MIN_MS 250
#define REPORT_INTERVAL_MAX_MS 750
/* Parts, sums and estimates that are older are not used. */
#define EXPIRY_MS 3000
/*
 * How long the calls that a host reported to its last source can be contained
 * in sums of the next one: the report expires at the last source, whose next
 * report replaces that at the other sources, whose next sum is without it.
 */
#define DOUBTFUL_MS (EXPIRY_MS + SOURCE_PERIOD_MS + PERIOD_MS)
/*
 * With reports of fewer than one in so many of the other hosts, a single call
 * would count as too many for an estimate.
 */
#define COVERAGE_DIVISOR 4

void
ct_load_sharing_init(struct ct_load_sharing *sharing)
{
    memset(sharing, 0, sizeof(*sharing));
    ct_load_table_init(&sharing->table);
    for (int i = 0; i < CT_LOAD_OWN_REPORTS; i++) {
        sharing->own_reports[i].rows =
            g_array_new(FALSE, FALSE, sizeof(struct ct_load_row));
    }
}

void
ct_load_sharing_free(struct ct_load_sharing *sharing)
{
    for (int i = 0; i < CT_LOAD_OWN_REPORTS; i++) {
        g_array_free(sharing->own_reports[i].rows, TRUE);
    }
    ct_load_table_free(&sharing->table);
}

/* The estimate. */

/* Returns the number of other hosts in the group. */
static uint32_t
other_hosts(const struct ct_load_sharing *sharing)
{
    return sharing->group_hosts > 1 ? sharing->group_hosts - 1 : 0;
}

/* Returns the mean age of the counts of the hosts that are covered. */
static ct_ms
mean_age_ms(const struct ct_state *state)
{
    const struct ct_load_table *table = &state->load_sharing.table;

    return MAX(state->now_ms - table->dated_sum_ms / (int64_t)table->hosts, 0);
}

static bool
is_load_known(const struct ct_state *state)
{
    const struct ct_load_sharing *sharing = &state->load_sharing;

    return sharing->table.hosts > 0 &&
           state->now_ms >= sharing->doubtful_until_ms &&
           sharing->table.hosts >= other_hosts(sharing) / COVERAGE_DIVISOR &&
           mean_age_ms(state) <= EXPIRY_MS;
}

bool
ct_load_sharing_get(const struct ct_state *state, struct ct_handle upstream,
                    struct ct_shared_load *out)
{
    const struct ct_load_sharing *sharing = &state->load_sharing;
    uint64_t others = other_hosts(sharing);
    uint64_t covered = sharing->table.hosts;
    uint32_t number = ct_load_table_upstream_number(&sharing->table, upstream);
    uint64_t in_flight = 0;

    if (!is_load_known(state)) {
        return false;
    }
    if (number != CT_LOAD_NO_NUMBER) {
        in_flight = g_array_index(sharing->table.totals, uint64_t, number);
    }
    /* The hosts that are not covered count as the mean of the others. */
    if (covered < others) {
        in_flight = (in_flight * others + covered / 2) / covered;
    }
    out->others_in_flight = (uint32_t)MIN(in_flight, UINT32_MAX);
    out->age_ms = mean_age_ms(state);
    return true;
}

/* Logging. */

static void
log_known(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    bool known = is_load_known(state);

    if (known != sharing->logged_known &&
        ct_log_is_due(state->now_ms, &sharing->logged_ms)) {
        sharing->logged_known = known;
        ct_emit_log(state, known ? CT_LOG_LOAD_KNOWN : CT_LOG_LOAD_UNKNOWN,
                    &state->self.host, NULL, sharing->table.hosts);
    }
}

static void
ignore_message(struct ct_state *state, const struct ct_peer_message *message,
               enum ct_log_event event)
{
    ct_increment_counter(state, CT_COUNTER_LOAD_IGNORED);
    if (ct_log_is_due(state->now_ms, &state->load_sharing.ignored_logged_ms)) {
        ct_emit_log(state, event, &message->sender, NULL,
                    message->u.load.sequence);
    }
}

/* Timers. */

static void
schedule_tick(struct ct_state *state, ct_ms at_ms)
{
    state->load_sharing.next_ms = at_ms;
    ct_arm_timer(state, at_ms - state->now_ms, CT_TIMER_LOAD, CT_NO_HANDLE);
}

void
ct_load_sharing_start(struct ct_state *state)
{
    if (state->self.share_load) {
        schedule_tick(state, state->now_ms + 1 +
                                 (ct_ms)(ct_state_random(state) % PERIOD_MS));
    }
}

/*
 * After a change of the source, parts of other hosts no longer reach this host
 * the same way, and its own calls may be contained in what the new source
 * knows from the last one.
 */
static void
update_source(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    const struct ct_name *source = &state->replication.source;
    struct ct_load_peer *peer;
    uint32_t cursor = 0;

    if (ct_name_eq(source, &sharing->source)) {
        return;
    }
    sharing->source = *source;
    while ((peer = ct_table_next(&sharing->table.peers, &cursor, NULL))) {
        ct_load_table_clear_part(&sharing->table, peer);
    }
    if (sharing->reported_ms > 0) {
        sharing->doubtful_until_ms = sharing->reported_ms + DOUBTFUL_MS;
    }
}

static void
expire_parts(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    struct ct_load_peer *peer;
    uint32_t cursor = 0;

    while ((peer = ct_table_next(&sharing->table.peers, &cursor, NULL))) {
        if (peer->received_ms == 0 ||
            state->now_ms - peer->received_ms < EXPIRY_MS) {
            continue;
        }
        ct_load_table_clear_part(&sharing->table, peer);
        ct_increment_counter(state, CT_COUNTER_LOAD_EXPIRED);
        if (ct_log_is_due(state->now_ms, &sharing->expired_logged_ms)) {
            ct_emit_log(state, CT_LOG_LOAD_PART_EXPIRED, &peer->host, NULL, 0);
        }
    }
}

static bool
has_source(const struct ct_load_sharing *sharing)
{
    return sharing->source.text[0] != '\0';
}

/*
 * Returns the interval from a source's second sum to its next report, so that
 * it reports when the first source by name is expected to.
 */
static ct_ms
delay_to_source_report_ms(const struct ct_state *state)
{
    const struct ct_load_sharing *sharing = &state->load_sharing;
    ct_ms delay_ms = PERIOD_MS - SOURCE_LEAD_MS;
    ct_ms late_ms;

    if (sharing->first_source_ms == 0) {
        return delay_ms;
    }
    late_ms = (state->now_ms + delay_ms - sharing->first_source_ms) %
              SOURCE_PERIOD_MS;
    if (late_ms > SOURCE_PERIOD_MS / 2) {
        late_ms -= SOURCE_PERIOD_MS;
    }
    return delay_ms -
           CLAMP(late_ms, -SOURCE_SHIFT_MAX_MS, SOURCE_SHIFT_MAX_MS);
}

/*
 * A tick as a source: a report to the other sources, then two sums. Returns
 * the time until the next tick.
 */
static ct_ms
source_tick(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;

    switch (sharing->source_step) {
    case CT_LOAD_REPORT:
        sharing->source_step = CT_LOAD_FIRST_SUM;
        ct_load_report_to_sources(state);
        return SOURCE_LEAD_MS;
    case CT_LOAD_FIRST_SUM:
        sharing->source_step = CT_LOAD_SECOND_SUM;
        ct_load_report_send_sum(state);
        return PERIOD_MS;
    case CT_LOAD_SECOND_SUM:
    default:
        sharing->source_step = CT_LOAD_REPORT;
        ct_load_report_send_sum(state);
        return delay_to_source_report_ms(state);
    }
}

static ct_ms
follower_tick(struct ct_state *state)
{
    const struct ct_load_sharing *sharing = &state->load_sharing;
    struct ct_load_peer *source =
        ct_load_table_find(&sharing->table, &sharing->source);

    if (source) {
        ct_load_report_to_source(state, source);
    }
    return PERIOD_MS;
}

void
ct_load_sharing_on_timer(struct ct_state *state)
{
    struct ct_load_sharing *sharing = &state->load_sharing;

    /* The tick was moved. */
    if (state->now_ms < sharing->next_ms || sharing->next_ms == 0) {
        return;
    }
    sharing->last_ms = state->now_ms;
    sharing->group_hosts = ct_group_size(state);
    update_source(state);
    expire_parts(state);
    ct_load_report_update_list(state);
    ct_speed_sharing_on_tick(
        state, has_source(sharing),
        ct_load_table_find(&sharing->table, &sharing->source));
    schedule_tick(state,
                  state->now_ms + (has_source(sharing) ? follower_tick(state)
                                                       : source_tick(state)));
    log_known(state);
}

/* Moves the next report to just before the next sum. */
static void
align_report(struct ct_state *state)
{
    const struct ct_load_sharing *sharing = &state->load_sharing;
    ct_ms spread_ms = (ct_ms)(ct_state_random(state) % REPORT_SPREAD_MS);
    ct_ms at_ms = state->now_ms + PERIOD_MS - REPORT_LEAD_MS + spread_ms;

    at_ms = CLAMP(at_ms, sharing->last_ms + REPORT_INTERVAL_MIN_MS,
                  sharing->last_ms + REPORT_INTERVAL_MAX_MS);
    schedule_tick(state, MAX(at_ms, state->now_ms));
}

/* Receiving. */

void
ct_load_sharing_on_link(struct ct_state *state, const struct ct_name *peer,
                        bool up)
{
    struct ct_load_table *table = &state->load_sharing.table;
    int err;

    if (!state->self.share_load) {
        return;
    }
    if (!up) {
        ct_load_table_remove(table, peer);
        return;
    }
    err = ct_load_table_add(table, peer);
    if (err < 0) {
        state->out->err = err;
    }
}

/*
 * Returns the rows of this host's report that the sum contains, or NULL if the
 * sum contains none, or one so old that the sum was delayed on its way.
 */
static const GArray *
find_own_report(const struct ct_state *state,
                const struct ct_peer_load_sum *sum)
{
    uint32_t self = ct_load_reporter_id(&state->self.host);

    for (uint32_t i = 0; i < CT_LOAD_REPORTERS_MAX; i++) {
        const struct ct_own_load_report *own =
            &state->load_sharing
                 .own_reports[sum->reported[i] % CT_LOAD_OWN_REPORTS];

        if (sum->reporters[i] == self && own->sequence > 0 &&
            own->sequence == sum->reported[i] &&
            state->now_ms - own->sent_ms <= EXPIRY_MS) {
            return own->rows;
        }
    }
    return NULL;
}

static void
on_sum(struct ct_state *state, struct ct_load_peer *peer,
       const struct ct_peer_message *message)
{
    const struct ct_peer_load *report = &message->u.load_sum.load;
    const GArray *own = find_own_report(state, &message->u.load_sum);

    align_report(state);
    if (!own) {
        return;
    }
    ct_load_table_set_part(
        &state->load_sharing.table, peer,
        &(struct ct_load_part){
            .hosts = report->hosts - 1,
            .received_ms = state->now_ms,
            .dated_ms = state->now_ms - MIN(report->age_ms, EXPIRY_MS),
        },
        message->rows,
        CT_ROWS((const struct ct_load_row *)(const void *)own->data,
                own->len));
}

/* Whether no other source that reports, nor this one, has a smaller name. */
static bool
is_first_source(const struct ct_state *state, const struct ct_load_peer *peer)
{
    const struct ct_load_peer *other;
    uint32_t cursor = 0;

    while ((other = ct_table_next(&state->load_sharing.table.peers, &cursor,
                                  NULL))) {
        if (other->received_ms > 0 && !other->follows &&
            strcmp(other->host.text, peer->host.text) < 0) {
            return false;
        }
    }
    return strcmp(peer->host.text, state->self.host.text) < 0;
}

static void
on_report(struct ct_state *state, struct ct_load_peer *peer,
          const struct ct_peer_message *message)
{
    const struct ct_peer_load *report = &message->u.load;

    if (!report->follows && is_first_source(state, peer)) {
        state->load_sharing.first_source_ms = state->now_ms;
    }
    ct_load_table_set_part(
        &state->load_sharing.table, peer,
        &(struct ct_load_part){
            .hosts = report->follows ? 1 : report->hosts,
            .received_ms = state->now_ms,
            .dated_ms = state->now_ms - MIN(report->age_ms, EXPIRY_MS),
            .follows = report->follows,
        },
        message->rows, CT_NO_ROWS);
}

void
ct_load_sharing_on_message(struct ct_state *state,
                           const struct ct_peer_message *message)
{
    struct ct_load_sharing *sharing = &state->load_sharing;
    struct ct_load_peer *peer =
        ct_load_table_find(&sharing->table, &message->sender);
    /* All kinds of reports begin with the same members. */
    const struct ct_peer_load *report = &message->u.load;
    bool has_gaps = message->type == CT_PEER_LOAD_GAPS;
    uint32_t *last;

    if (!peer) {
        return;
    }
    if (message->type == CT_PEER_LOAD_LIST) {
        ct_load_table_set_list(&sharing->table, peer,
                               message->u.load_list.version,
                               message->u.load_list.first, message->rows);
        return;
    }
    last = has_gaps ? &peer->gaps.sequence : &peer->sequence;
    if (report->sequence <= *last) {
        ignore_message(state, message, CT_LOG_LOAD_OUT_OF_ORDER);
        return;
    }
    *last = report->sequence;
    if (report->list_version != peer->list_version ||
        (!has_gaps && report->hosts == 0)) {
        ignore_message(state, message, CT_LOG_LOAD_UNREADABLE);
        return;
    }
    if (has_gaps) {
        ct_speed_sharing_on_message(state, peer, message);
        return;
    }
    ct_increment_counter(state, CT_COUNTER_LOAD_REPORTS);
    update_source(state);
    if (message->type == CT_PEER_LOAD_SUM) {
        if (ct_name_eq(&message->sender, &sharing->source)) {
            on_sum(state, peer, message);
        }
    }
    else if (!has_source(sharing)) {
        on_report(state, peer, message);
    }
}
