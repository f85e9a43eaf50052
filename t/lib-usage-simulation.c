#include "lib-usage-simulation.h"

#include <string.h>

#include "error.h"
#include "lib-relay.h"

void
usage_simulation_post_rows(struct usage_simulation *sim,
                           enum ct_event_type type, int64_t window,
                           const char *writer, uint64_t requests)
{
    struct ct_event event = {.type = type};
    struct ct_tally_row row = {.requests = requests};

    CT_TEXT_SET(row.organisation, "acme");
    CT_TEXT_SET(event.u.tally.writer, writer);
    event.u.tally.window = window;
    event.u.tally.sequence = (uint64_t)window;
    event.u.tally.closes = true;
    event.rows = CT_ROWS(&row, 1);
    t_core_post(&sim->core, &event);
}

static void
post_read_result(struct usage_simulation *sim, enum ct_topic topic,
                 int64_t next, uint32_t entries, int32_t result)
{
    struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};

    event.u.store_read.topic = topic;
    event.u.store_read.sent_ms = sim->core.now_ms;
    event.u.store_read.next = next;
    event.u.store_read.entries = entries;
    event.u.store_read.result = result;
    t_core_post(&sim->core, &event);
}

static void
post_read(struct usage_simulation *sim, enum ct_topic topic, int64_t next,
          uint32_t entries)
{
    post_read_result(sim, topic, next, entries, CT_OK);
}

static void
post_finals(struct usage_simulation *sim, int64_t from)
{
    for (guint i = (guint)from; i < sim->fixed->len; i++) {
        const struct usage_figure *figure =
            &g_array_index(sim->fixed, struct usage_figure, i);

        usage_simulation_post_rows(sim, CT_EVENT_STORE_FINAL, figure->window,
                                   "x", figure->requests);
    }
    post_read(sim, CT_TOPIC_FINALS, sim->fixed->len,
              (uint32_t)(sim->fixed->len - from));
}

static void
post_window(struct usage_simulation *sim, int64_t window)
{
    for (guint i = 0; i < sim->writers; i++) {
        char writer[8];

        g_snprintf(writer, sizeof(writer), "w%u", i);
        usage_simulation_post_rows(sim, CT_EVENT_STORE_TALLY, window, writer,
                                   sim->requests);
        /* A repeated record is counted once. */
        usage_simulation_post_rows(sim, CT_EVENT_STORE_TALLY, window, writer,
                                   sim->requests);
    }
}

/*
 * Each writer has a record of the window that ended last, and of those before
 * it that were not read yet.
 */
static void
post_tallies(struct usage_simulation *sim, int64_t from)
{
    int64_t first;

    int64_t window = sim->core.wall_ms / USAGE_WINDOW_MS - 1;

    if (sim->core.now_ms < sim->tallies_fail_until_ms) {
        post_read_result(sim, CT_TOPIC_TALLIES, from, 0, CT_ERR_UNAVAILABLE);
        return;
    }
    if (from > 0 && window == sim->last_tally_window) {
        post_read(sim, CT_TOPIC_TALLIES, from, 0);
        return;
    }
    first = sim->last_tally_window > 0 ? sim->last_tally_window + 1 : window;
    sim->last_tally_window = window;
    while (first <= window) {
        post_window(sim, first++);
    }
    post_read(sim, CT_TOPIC_TALLIES, from + 1, sim->writers);
}

static void
post_append_result(struct usage_simulation *sim,
                   const struct ct_store_append_effect *append,
                   struct ct_rows rows)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};
    const struct ct_tally_row *row = rows.data;
    struct usage_figure figure = {append->tally.window,
                                  rows.n > 0 ? row[0].requests : 0,
                                  sim->core.now_ms};

    event.u.store_append.topic = append->topic;
    event.u.store_append.writer = append->tally.writer;
    event.u.store_append.window = append->tally.window;
    event.u.store_append.sequence = append->tally.sequence;
    if (append->topic == CT_TOPIC_FINALS) {
        if (append->expected_end_offset == (int64_t)sim->fixed->len) {
            g_array_append_val(sim->fixed, figure);
        }
        else {
            event.u.store_append.result = CT_ERR_LOG_LOST_RACE;
        }
        if (sim->lose_append_response) {
            event.u.store_append.result = CT_ERR_TIMEOUT;
        }
    }
    t_core_post(&sim->core, &event);
}

static void
post_report_result(struct usage_simulation *sim,
                   const struct ct_effect *effect)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    const struct ct_tally_row *row = effect->rows.data;
    struct usage_figure figure = {effect->u.duty_usage.window,
                                  effect->rows.n > 0 ? row[0].requests : 0,
                                  sim->core.now_ms};

    g_array_append_val(sim->reports, figure);
    event.u.duty.is_usage = true;
    event.u.duty.window = figure.window;
    event.u.duty.fence = effect->u.duty_usage.fence;
    event.u.duty.result = sim->report_result;
    t_core_post(&sim->core, &event);
}

void
usage_simulation_handle_effects(struct usage_simulation *sim)
{
    struct ct_effects effects = sim->core.effects;

    ct_effects_init(&sim->core.effects);
    for (uint32_t i = 0; i < effects.n; i++) {
        const struct ct_effect *effect = &effects.items[i];

        if (effect->type == CT_EFFECT_STORE_READ &&
            effect->u.store_read.topic == CT_TOPIC_FINALS) {
            post_finals(sim, effect->u.store_read.from);
        }
        else if (effect->type == CT_EFFECT_STORE_READ &&
                 effect->u.store_read.topic == CT_TOPIC_TALLIES) {
            post_tallies(sim, effect->u.store_read.from);
        }
        else if (effect->type == CT_EFFECT_STORE_APPEND) {
            post_append_result(sim, &effect->u.store_append, effect->rows);
        }
        else if (effect->type == CT_EFFECT_DUTY_REPORT_USAGE) {
            post_report_result(sim, effect);
        }
        else {
            continue;
        }
        usage_simulation_handle_effects(sim);
    }
    ct_effects_free(&effects);
}

void
usage_simulation_run(struct usage_simulation *sim, ct_ms duration_ms,
                     bool is_leader)
{
    for (ct_ms elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 50) {
        struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

        if (elapsed_ms % 1000 == 0) {
            event.u.store_join.sent_ms = sim->core.now_ms;
            event.u.store_join.generation = 4;
            event.u.store_join.holds_leader_slot = is_leader;
            t_core_post(&sim->core, &event);
            usage_simulation_handle_effects(sim);
        }
        t_core_tick(&sim->core, 50);
        usage_simulation_handle_effects(sim);
    }
}

void
usage_simulation_init(struct usage_simulation *sim)
{
    memset(sim, 0, sizeof(*sim));
    sim->fixed = g_array_new(FALSE, TRUE, sizeof(struct usage_figure));
    sim->reports = g_array_new(FALSE, TRUE, sizeof(struct usage_figure));
    sim->requests = 7;
    sim->writers = 1;
    t_relay_init(&sim->core);
    t_relay_configure(&sim->core, 1, 1);
}

void
usage_simulation_free(struct usage_simulation *sim)
{
    g_array_free(sim->fixed, TRUE);
    g_array_free(sim->reports, TRUE);
    t_core_free(&sim->core);
}
