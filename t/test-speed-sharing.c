/*
 * Tests of speed-sharing.h: a group of hosts whose links and messages are
 * simulated; the tests add the streams of its upstreams.
 */
#include <string.h>

#include "lib-host-group.h"
#include "speed-sharing.h"

#define HOSTS 40
/* Time for all hosts to find their sources and send gaps over three links. */
#define SETTLE_MS 20000
/* A host's own measurements are forgotten, and what it sent of them. */
#define FORGOTTEN_MS 40000
#define EXPIRY_MS 15000
#define PERIOD_MS 5000

static struct ct_handle
upstream_of(const struct t_core *core)
{
    struct ct_name name = {"engines-1"};

    return ct_config_upstream(&core->state->config, &name);
}

static void
add_stream_of(struct t_core *core, struct ct_handle upstream, ct_ms gap_ms)
{
    const struct ct_stream_timing timing = {
        .first_ms = 1000, .last_ms = 1000 + 20 * gap_ms, .gaps = 20};

    ct_upstream_speed_on_stream(core->state, upstream, &timing);
}

static void
add_stream(struct t_group *group, uint32_t host, ct_ms gap_ms)
{
    struct t_core *core = &group->hosts[host];

    add_stream_of(core, upstream_of(core), gap_ms);
}

/* Returns the shortest gap that a host knows, in ms; 0 for none. */
static uint32_t
known_gap_ms(const struct t_group *group, uint32_t host)
{
    const struct ct_state *state = group->hosts[host].state;
    struct ct_handle upstream = upstream_of(&group->hosts[host]);
    uint32_t gap_us = ct_upstream_speed_gap_us(state, upstream);
    const struct ct_speed_row *row;

    if (upstream.index < state->upstream_speeds.rows->len) {
        row = &g_array_index(state->upstream_speeds.rows, struct ct_speed_row,
                             upstream.index);
        if (ct_handle_eq(row->upstream, upstream) && row->others_gap_us > 0 &&
            (gap_us == 0 || row->others_gap_us < gap_us)) {
            gap_us = row->others_gap_us;
        }
    }
    return (gap_us + 500) / 1000;
}

static void
assert_all(const struct t_group *group, uint32_t least_ms, uint32_t most_ms)
{
    for (uint32_t i = 0; i < group->n; i++) {
        g_assert_cmpuint(known_gap_ms(group, i), >=, least_ms);
        g_assert_cmpuint(known_gap_ms(group, i), <=, most_ms);
    }
}

/* A speed must not change by how its gap is sent; 0 stands for no gap. */
static void
test_codes(void)
{
    uint32_t last = 0;

    g_assert_cmpuint(ct_speed_encode_gap(0), ==, 0);
    g_assert_cmpuint(ct_speed_decode_gap(0), ==, 0);
    for (uint32_t gap_us = 64; gap_us < 100000000; gap_us += 1 + gap_us / 50) {
        uint32_t code = ct_speed_encode_gap(gap_us);
        int64_t off = (int64_t)ct_speed_decode_gap(code) - gap_us;

        g_assert_cmpuint(code, >=, MAX(last, 1));
        g_assert_cmpuint(code - MAX(last, 1), <=, 1);
        g_assert_cmpint(ABS(off) * 100, <=, (int64_t)gap_us * 4);
        last = code;
    }
    g_assert_cmpuint(ct_speed_encode_gap(1), ==, 1);
    g_assert_cmpuint(ct_speed_encode_gap(UINT32_MAX), ==, 416);
    g_assert_cmpuint(ct_speed_decode_gap(UINT32_MAX), >, UINT32_C(4) << 29);
}

/*
 * Every host learns the shortest gap, whoever measured it, and all forget it
 * after those that measured it: no host passes it on for ever. The load of
 * other hosts stays known meanwhile.
 */
static void
test_all_hosts(void)
{
    struct t_group *group = t_group_new(HOSTS, 20, HOSTS);
    struct ct_shared_load load;

    /* Host 20 is a source, host 39 a follower. */
    add_stream(group, 39, 50);
    t_group_run(group, SETTLE_MS);
    assert_all(group, 48, 52);
    add_stream(group, 20, 100);
    add_stream(group, 0, 40);
    for (ct_ms ms = 0; ms < SETTLE_MS; ms += T_GROUP_STEP_MS) {
        t_group_step(group);
        g_assert_true(ct_load_sharing_get(
            group->hosts[39].state, upstream_of(&group->hosts[39]), &load));
    }
    assert_all(group, 38, 42);
    t_group_run(group, FORGOTTEN_MS + EXPIRY_MS + 2 * PERIOD_MS);
    assert_all(group, 0, 0);
    t_group_free(group);
}

/* What a lost host measured is forgotten by the others. */
static void
test_lost_host(void)
{
    struct t_group *group = t_group_new(HOSTS, 20, HOSTS);

    add_stream(group, 39, 50);
    t_group_run(group, SETTLE_MS);
    g_assert_cmpuint(known_gap_ms(group, 0), >, 0);
    group->frozen[39] = true;
    t_group_run(group, EXPIRY_MS + 2 * PERIOD_MS + 1000);
    for (uint32_t i = 0; i < 39; i++) {
        g_assert_cmpuint(known_gap_ms(group, i), ==, 0);
    }
    t_group_free(group);
}

/* A host reads an entry of an upstream. */
static void
read_entry(struct t_group *group, uint32_t host,
           const struct ct_store_upstream *entry)
{
    int64_t next =
        group->hosts[host].state->store.topics[CT_TOPIC_UPSTREAMS].next;
    struct ct_event event = {.type = CT_EVENT_STORE_UPSTREAM};

    event.u.store_upstream = *entry;
    t_group_post(group, host, &event);
    event = (struct ct_event){.type = CT_EVENT_STORE_READ_DONE};
    event.u.store_read = (struct ct_store_read_done){
        .topic = CT_TOPIC_UPSTREAMS,
        .sent_ms = group->now_ms,
        .from = next,
        .next = next,
    };
    t_group_post(group, host, &event);
}

/* All hosts read the entry of another start of the upstream. */
static void
restart_upstream(struct t_group *group)
{
    struct ct_store_upstream entry = t_upstream("engines", 1);

    entry.started_ms++;
    for (uint32_t i = 0; i < group->n; i++) {
        read_entry(group, i, &entry);
    }
}

/*
 * A restarted upstream must not get the speed of the process before it from
 * messages that are still on their way; its own speed is shared afterwards.
 */
static void
test_restart(void)
{
    struct t_group *group = t_group_new(HOSTS, 20, HOSTS);

    add_stream(group, 39, 50);
    t_group_run(group, SETTLE_MS);
    restart_upstream(group);
    for (ct_ms ms = 0; ms < FORGOTTEN_MS; ms += T_GROUP_STEP_MS) {
        t_group_step(group);
        assert_all(group, 0, 0);
    }
    add_stream(group, 39, 70);
    t_group_run(group, SETTLE_MS);
    assert_all(group, 67, 73);
    t_group_free(group);
}

/* Repeated and unreadable messages are ignored, and counted. */
static void
test_old_message(void)
{
    struct t_group *group = t_group_new(4, 4, 4);
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct ct_peer_message *message = &event.u.peer.message;
    const uint64_t *ignored =
        &group->hosts[0].state->counters.values[CT_COUNTER_LOAD_IGNORED];
    const struct ct_load_gap_row row = {UINT32_MAX, 1};
    uint64_t before;

    add_stream(group, 3, 50);
    t_group_run(group, SETTLE_MS);
    before = *ignored;
    message->type = CT_PEER_LOAD_GAPS;
    message->sender = group->hosts[3].state->self.host;
    message->u.load_gaps = (struct ct_peer_load_gaps){1, 1, true};
    event.u.peer.peer = message->sender;
    t_group_post(group, 0, &event);
    message->u.load_gaps = (struct ct_peer_load_gaps){1000, 999, true};
    t_group_post(group, 0, &event);
    g_assert_cmpuint(*ignored, ==, before + 2);
    g_assert_cmpuint(known_gap_ms(group, 0), >, 0);
    /* An upstream that is in no list. */
    message->u.load_gaps = (struct ct_peer_load_gaps){1001, 1, true};
    message->rows = CT_ROWS(&row, 1);
    t_group_post(group, 0, &event);
    g_assert_cmpuint(*ignored, ==, before + 2);
    t_group_free(group);
}

#define ENGINES 4
#define CALLS 100

/* Returns how many of the calls on a path go to engines-0. */
static uint32_t
count_calls(struct t_core *core, const char *path)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < CALLS; i++) {
        struct ct_relay_start start;

        t_relay_call_with_prefix(core, 1, path,
                                 ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)));
        start = t_relay_started(core);
        n += strcmp(start.upstream.text, "engines-0") == 0;
        t_relay_finish(core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    }
    return n;
}

/* Sets the gap targets of the routes to the engines; 0 for none. */
static void
set_targets(struct t_core *core, int64_t version, ct_ms stream_ms,
            ct_ms resume_ms)
{
    GArray *rows = t_relay_rows();

    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_PREFIX_ROUTE) {
            row->u.prefix_route.gap_target_ms =
                strcmp(row->u.prefix_route.name.text, "/resume/") == 0
                    ? resume_ms
                    : stream_ms;
        }
    }
    t_relay_post_config(core, version, rows);
    t_relay_confirm(core);
    g_array_free(rows, TRUE);
}

/*
 * Of the calls to a pool, those with a target below the longest one pass over
 * the slow upstream. The others must not: nobody would use it.
 */
static void
test_targets(void)
{
    struct t_group *group = t_group_new(3, 3, 3);
    struct t_core *core = &group->hosts[0];

    for (uint32_t i = 2; i < ENGINES; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        read_entry(group, 0, &entry);
    }
    t_group_run(group, SETTLE_MS);
    for (uint32_t i = 0; i < ENGINES; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        add_stream_of(
            core,
            ct_config_upstream(&core->state->config, &entry.upstream.name),
            i == 0 ? 100 : 50);
    }
    set_targets(core, 6, 80, 200);
    g_assert_cmpuint(count_calls(core, T_STREAM_PATH), ==, 0);
    g_assert_cmpuint(count_calls(core, T_RESUME_PATH), >, 0);
    set_targets(core, 7, 0, 200);
    g_assert_cmpuint(count_calls(core, T_STREAM_PATH), >, 0);
    set_targets(core, 8, 200, 200);
    g_assert_cmpuint(count_calls(core, T_STREAM_PATH), >, 0);
    t_group_free(group);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/speed-sharing/codes", test_codes);
    g_test_add_func("/speed-sharing/all-hosts", test_all_hosts);
    g_test_add_func("/speed-sharing/lost-host", test_lost_host);
    g_test_add_func("/speed-sharing/restart", test_restart);
    g_test_add_func("/speed-sharing/old-message", test_old_message);
    g_test_add_func("/speed-sharing/targets", test_targets);
    return g_test_run();
}
