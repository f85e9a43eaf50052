/*
 * Evacuates availability zones of a running host by records in the fake store.
 * Guards against calls that reach an evacuated upstream, and against an
 * evacuation that outlasts its record.
 */
#include <string.h>

#include "lib-relay-process.h"

#define AWAIT_TIMEOUT_MS RELAY_PROCESS_TIMEOUT_MS
/* The bound of the platform on an evacuation. */
#define EVACUATE_MS 5000
#define CALLS 12

static struct relay_process f;

/* Upstream 0 is in zone z, upstream 1 in zone y. */
static const char *const zones[RELAY_PROCESS_RUNNERS] = {"z", "y"};

/* Makes a call; returns its status, and which upstreams ran it as bits. */
static long
make_call(const char *body, int *ran_at)
{
    struct http_reply reply;
    char id[24];
    long status;

    relay_process_call(&f, "/any/x", body,
                       (const char *const[]){RELAY_PROCESS_KEY, NULL}, &reply,
                       id);
    status = reply.status;
    *ran_at = 0;
    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        *ran_at |= (HTTP_COUNT_SEEN(f.runners[i].port, "\"ran\"", id) > 0)
                   << i;
    }
    if (status == 503) {
        char *retry_after = http_reply_header(&reply, "Retry-After");

        g_assert_nonnull(strstr(reply.body->str, "zone-evacuated"));
        g_assert_nonnull(retry_after);
        g_assert_cmpint(*ran_at, ==, 0);
        g_free(retry_after);
    }
    http_reply_free(&reply);
    return status;
}

/* Whether the host treats this number of zones as evacuated. */
static bool
has_evacuated(int n)
{
    char *text = http_get(f.host.fourth_port, "/metrics");
    char *line = g_strdup_printf("\ncoriandertrack_zones_evacuated %d\n", n);
    bool found = strstr(text, line) != NULL;

    g_free(line);
    g_free(text);
    return found;
}

/* Checks that exactly these upstreams, as bits, run calls. */
static void
assert_used(int upstreams)
{
    int used = 0;

    for (int i = 0; i < CALLS; i++) {
        int ran_at;

        g_assert_cmpint(make_call("short", &ran_at), ==,
                        upstreams ? 200 : 503);
        g_assert_cmpint(ran_at & ~upstreams, ==, 0);
        used |= ran_at;
    }
    g_assert_cmpint(used, ==, upstreams);
}

static void
test_records(void)
{
    static const struct {
        const char *zone;
        bool evacuate;
        /* The history is trimmed before and after the record is written. */
        bool trim;
        int evacuated;
        int upstreams;
    } cases[] = {
        {"y", true, false, 1, 1},  {"z", true, false, 2, 0},
        {"y", false, false, 1, 2}, {"none", true, false, 2, 2},
        {"", true, false, 2, 2},   {"none", false, true, 1, 2},
        {"y", true, true, 2, 0},   {"z", false, true, 1, 1},
        {"y", false, true, 0, 3},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        if (cases[i].trim) {
            platform_trim_history(f.store.port);
        }
        platform_put_evacuation(f.store.port, cases[i].zone,
                                cases[i].evacuate);
        if (cases[i].trim) {
            platform_trim_history(f.store.port);
        }
        AWAIT(has_evacuated(cases[i].evacuated), EVACUATE_MS);
        assert_used(cases[i].upstreams);
    }
}

static gpointer
run_slow_call(gpointer ran_at)
{
    return GINT_TO_POINTER((int)make_call("slow", ran_at));
}

/* A call that runs in the zone ends there; the next ones go elsewhere. */
static void
test_drain(void)
{
    GThread *thread;
    int ran_at;

    platform_put_evacuation(f.store.port, zones[0], true);
    AWAIT(has_evacuated(1), EVACUATE_MS);
    relay_process_set_runners(&f, "{\"delay_ms\":1500}");
    thread = g_thread_new("slow call", run_slow_call, &ran_at);
    AWAIT(HTTP_COUNT_SEEN(f.runners[1].port, "slow") == 1, AWAIT_TIMEOUT_MS);
    relay_process_set_runners(&f, "{\"delay_ms\":0}");
    platform_put_evacuation(f.store.port, zones[0], false);
    AWAIT(has_evacuated(0), EVACUATE_MS);
    platform_put_evacuation(f.store.port, zones[1], true);
    AWAIT(has_evacuated(1), EVACUATE_MS);
    assert_used(1);
    g_assert_cmpint(GPOINTER_TO_INT(g_thread_join(thread)), ==, 200);
    g_assert_cmpint(ran_at, ==, 2);
}

/* Whether the host has read the upstreams of a zone. */
static bool
knows_zone(const char *zone)
{
    char *text = http_get(f.host.fourth_port, "/state");
    char *member = g_strdup_printf("\"zone\":\"%s\"", zone);
    bool found = strstr(text, member) != NULL;

    g_free(member);
    g_free(text);
    return found;
}

/*
 * Without the store the last known zones stay evacuated; a host that starts
 * during an evacuation knows of it before its first call.
 */
static void
test_outage_and_start(void)
{
    platform_put_evacuation(f.store.port, zones[1], true);
    AWAIT(has_evacuated(1), EVACUATE_MS);
    http_set(f.store.port, "/fake/set", "{\"down\":1}");
    assert_used(1);
    http_set(f.store.port, "/fake/set", "{\"down\":0}");
    process_kill(&f.host);
    relay_process_start_host(&f);
    assert_used(1);
    AWAIT(knows_zone(zones[1]), AWAIT_TIMEOUT_MS);
    platform_put_evacuation(f.store.port, zones[1], false);
    AWAIT(has_evacuated(0), EVACUATE_MS);
    assert_used(3);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    platform_put_upstream_in(f.store.port, 1, f.runners[1].port, zones[1]);
    AWAIT(knows_zone(zones[1]), AWAIT_TIMEOUT_MS);
    g_test_add_func("/evacuation/records", test_records);
    g_test_add_func("/evacuation/drain", test_drain);
    g_test_add_func("/evacuation/outage-and-start", test_outage_and_start);
    rc = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return rc;
}
