#include "lib-cold-group.h"

#include <string.h>

#include "error.h"

#define OVERSHOOT_PERMILLE 1500
#define BURST 5
/* The store drops a member that has not joined for this long. */
#define MEMBER_TTL_MS 3000
#define CONFIRM_STEPS 10
/* Some requests wait for their connection, for up to this many steps. */
#define CONNECT_STEPS_MAX 20

struct sent_later {
    struct ct_handle attempt;
    bool cold;
    uint32_t step;
};

static void
set_cold(GArray *rows, ct_ms cold_ms, int64_t cold_permille)
{
    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_POOL) {
            row->u.pool.cold_ms = cold_ms;
            row->u.pool.cold_permille = cold_permille;
        }
    }
}

void
t_cold_configure(struct t_core *core, ct_ms cold_ms, int64_t cold_permille,
                 uint32_t n_cold)
{
    GArray *rows = t_relay_rows();

    core->state->self.bounds.cold_overshoot_permille = OVERSHOOT_PERMILLE;
    core->state->self.bounds.cold_burst = BURST;
    set_cold(rows, cold_ms, cold_permille);
    t_relay_post_config(core, 5, rows);
    g_array_free(rows, TRUE);
    for (uint32_t i = 0; i < 2; i++) {
        struct ct_store_upstream entry = t_upstream("desk", i);

        if (i < n_cold) {
            entry.started_ms = core->wall_ms;
        }
        t_relay_post_upstream(core, &entry);
    }
    t_relay_confirm(core);
}

uint32_t
t_cold_random(struct t_cold_group *group, uint32_t n)
{
    return (uint32_t)g_rand_int_range(group->random, 0, (gint32)n);
}

void
t_cold_start(struct t_cold_group *group, uint32_t i)
{
    struct t_cold_host *host = &group->hosts[i];
    g_autofree char *name = g_strdup_printf("h%u", i + 1);

    memset(host, 0, sizeof(*host));
    t_relay_init_seeded(&host->core, name, i + 1);
    host->core.now_ms += (ct_ms)group->step * T_COLD_STEP_MS;
    host->core.wall_ms += (ct_ms)group->step * T_COLD_STEP_MS;
    host->attempts = g_array_new(FALSE, FALSE, sizeof(struct sent_later));
    host->members_step = group->step + 1 + t_cold_random(group, 3);
    host->runs = true;
    t_cold_configure(&host->core, T_COLD_MS, T_COLD_PERMILLE, group->n_cold);
}

void
t_cold_stop(struct t_cold_group *group, uint32_t i)
{
    struct t_cold_host *host = &group->hosts[i];

    if (host->runs) {
        host->runs = false;
        g_array_free(host->attempts, TRUE);
        t_core_free(&host->core);
    }
}

struct t_cold_group *
t_cold_setup(uint32_t seed, uint32_t n_hosts, uint32_t n_cold)
{
    struct t_cold_group *group = g_new0(struct t_cold_group, 1);

    group->random = g_rand_new_with_seed(seed);
    group->generation = 1;
    group->n_cold = n_cold;
    group->calls_permille = 300;
    for (uint32_t i = 0; i < n_hosts; i++) {
        t_cold_start(group, i);
    }
    return group;
}

void
t_cold_teardown(struct t_cold_group *group)
{
    for (uint32_t i = 0; i < T_COLD_HOSTS; i++) {
        t_cold_stop(group, i);
    }
    g_rand_free(group->random);
    g_free(group);
}

/* Takes what the last event of the host asks of the store and upstreams. */
static void
collect(struct t_cold_group *group, struct t_cold_host *host)
{
    const struct ct_effect *effect;
    uint32_t delay = 1 + t_cold_random(group, 3);

    if (t_core_count(&host->core, CT_EFFECT_STORE_JOIN) > 0) {
        host->join_done_step = group->step + delay;
    }
    if (t_core_count(&host->core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
        host->members_step = group->step + delay;
    }
    for (uint32_t i = 0; (effect = t_core_effect(
                              &host->core, CT_EFFECT_RELAY_START_ATTEMPT, i));
         i++) {
        struct sent_later later = {
            .attempt = effect->u.relay.attempt,
            .cold = strcmp(effect->u.relay.upstream.text, "desk-0") == 0,
            /* Some requests wait for their connection. */
            .step =
                group->step + (t_cold_random(group, 10)
                                   ? 0
                                   : t_cold_random(group, CONNECT_STEPS_MAX)),
        };

        g_array_append_val(host->attempts, later);
    }
}

static void
finish_attempts(struct t_cold_group *group, struct t_cold_host *host)
{
    const struct ct_upstream_notice notice = {.cold_ms = T_COLD_MS};

    for (guint i = host->attempts->len; i > 0; i--) {
        struct sent_later later =
            g_array_index(host->attempts, struct sent_later, i - 1);

        if (later.step > group->step) {
            continue;
        }
        g_array_remove_index(host->attempts, i - 1);
        group->arrivals[group->step] += later.cold;
        t_relay_sent(&host->core, later.attempt);
        if (later.cold && group->says_cold) {
            t_relay_head(&host->core, later.attempt, &notice);
        }
        t_relay_done(&host->core, later.attempt, CT_OUTCOME_COMPLETE, 200);
        collect(group, host);
    }
}

static void
post_members(struct t_cold_group *group, struct t_cold_host *host, bool cut)
{
    struct ct_event event = {.type = CT_EVENT_STORE_MEMBERS_READ};
    struct ct_member members[T_COLD_HOSTS];
    uint32_t n = 0;

    memset(members, 0, sizeof(members));
    for (uint32_t i = 0; i < T_COLD_HOSTS && !cut; i++) {
        if (group->member[i]) {
            g_snprintf(members[n].host.text, sizeof(members[n].host.text),
                       "h%u", i + 1);
            g_snprintf(members[n].address.text,
                       sizeof(members[n].address.text), "10.0.0.%u:80", i + 1);
            n++;
        }
    }
    event.u.members.result = cut ? CT_ERR_TIMEOUT : CT_OK;
    event.rows = CT_ROWS(members, n);
    t_core_post(&host->core, &event);
    collect(group, host);
}

/* Delivers the responses of the store that are due. */
static void
respond(struct t_cold_group *group, uint32_t i)
{
    struct t_cold_host *host = &group->hosts[i];
    bool cut = host->cut_until > group->step;
    struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

    if (host->join_done_step && host->join_done_step <= group->step) {
        host->join_done_step = 0;
        if (!cut) {
            group->generation += !group->member[i];
            group->member[i] = true;
            host->joined_step = group->step;
        }
        event.u.store_join.result = cut ? CT_ERR_TIMEOUT : CT_OK;
        event.u.store_join.generation = group->generation;
        event.u.store_join.sent_ms = host->core.now_ms - T_COLD_STEP_MS;
        t_core_post(&host->core, &event);
        collect(group, host);
    }
    if (host->members_step && host->members_step <= group->step) {
        host->members_step = 0;
        post_members(group, host, cut);
    }
    if (!cut && (group->step + i) % CONFIRM_STEPS == 0) {
        t_relay_confirm(&host->core);
        collect(group, host);
    }
}

static void
expire_members(struct t_cold_group *group)
{
    for (uint32_t i = 0; i < T_COLD_HOSTS; i++) {
        if (group->member[i] &&
            group->step >
                group->hosts[i].joined_step + MEMBER_TTL_MS / T_COLD_STEP_MS) {
            group->member[i] = false;
            group->generation++;
        }
    }
}

static void
run_host(struct t_cold_group *group, uint32_t i)
{
    struct t_cold_host *host = &group->hosts[i];
    ct_ms now_ms = 1000 + (ct_ms)group->step * T_COLD_STEP_MS;

    if (!host->runs || host->frozen_until > group->step) {
        return;
    }
    t_core_tick(&host->core, now_ms - host->core.now_ms);
    collect(group, host);
    respond(group, i);
    finish_attempts(group, host);
    if (t_cold_random(group, 1000) < group->calls_permille) {
        t_relay_call_with_prefix(&host->core, T_COLD_NO_KEY, T_OPEN_PATH,
                                 1 + t_cold_random(group, 1000));
        collect(group, host);
    }
    finish_attempts(group, host);
}

void
t_cold_run(struct t_cold_group *group, ct_ms ms)
{
    for (ct_ms left_ms = ms; left_ms > 0; left_ms -= T_COLD_STEP_MS) {
        group->step++;
        g_assert_cmpuint(group->step, <, T_COLD_STEPS_MAX);
        expire_members(group);
        for (uint32_t i = 0; i < T_COLD_HOSTS; i++) {
            run_host(group, i);
        }
    }
}

/* Returns the most requests that the cold upstream got in a second. */
static uint32_t
most_per_second(const struct t_cold_group *group)
{
    uint32_t most = 0;
    uint32_t sum = 0;

    for (uint32_t i = 0; i <= group->step; i++) {
        sum += group->arrivals[i];
        sum -= i >= T_COLD_STEPS_PER_S
                   ? group->arrivals[i - T_COLD_STEPS_PER_S]
                   : 0;
        most = MAX(most, sum);
    }
    return most;
}

uint32_t
t_cold_count_since(const struct t_cold_group *group, uint32_t step)
{
    uint32_t sum = 0;

    for (uint32_t i = step; i <= group->step; i++) {
        sum += group->arrivals[i];
    }
    return sum;
}

void
t_cold_assert_within_bound(const struct t_cold_group *group, const char *name)
{
    uint32_t most = most_per_second(group);

    g_test_message("%s: at most %u in a second, %u in %u s", name, most,
                   t_cold_count_since(group, 0),
                   group->step / T_COLD_STEPS_PER_S);
    g_assert_cmpuint(most, <=, T_COLD_BOUND);
}
