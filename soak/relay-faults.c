/* Table of the fault kinds of the relay soak. */
#include <signal.h>

#include "lib-hostile.h"
#include "lib-platform.h"
#include "relay.h"

#define ACTIVE_MAX 3
#define AWAIT_TIMEOUT_MS 30000

enum target {
    TARGET_HOST,
    TARGET_STORE_LINK,
    TARGET_STORE,
    TARGET_RUNNER,
    TARGET_RUNNER_LINK,
    TARGET_COUNT,
};

static struct relay_soak *
relay_soak_of(struct fault_world *world)
{
    return (struct relay_soak *)world;
}

static struct relay_host *
host_of(struct fault_world *world, const struct fault *fault)
{
    return &relay_soak_of(world)->hosts[fault->target];
}

/*
 * Time limits are not checked during a disturbance and for RELAY_STEADY_MS
 * after it.
 */
static void
begin_disturbance(struct fault_world *world)
{
    const struct relay_disturbance row = {.from_ms = process_now_ms()};

    g_array_append_val(relay_soak_of(world)->disturbances, row);
}

/*
 * Ends the earliest active disturbance, which may belong to another fault than
 * the one that ended: only the union of the periods matters.
 */
static void
end_disturbance(struct fault_world *world)
{
    GArray *rows = relay_soak_of(world)->disturbances;

    for (guint i = 0; i < rows->len; i++) {
        struct relay_disturbance *row =
            &g_array_index(rows, struct relay_disturbance, i);

        if (row->until_ms == 0) {
            row->until_ms = process_now_ms();
            return;
        }
    }
}

static void
start_host(struct fault_world *world, const struct fault *fault)
{
    relay_world_start_host(relay_soak_of(world), fault->target);
    g_atomic_int_inc(&host_of(world, fault)->restarts);
    end_disturbance(world);
}

static void
kill_host(struct fault_world *world, const struct fault *fault)
{
    begin_disturbance(world);
    process_kill(&host_of(world, fault)->process);
}

static void
suspend_host(struct fault_world *world, const struct fault *fault)
{
    begin_disturbance(world);
    process_signal(&host_of(world, fault)->process, SIGSTOP);
}

static void
resume_host(struct fault_world *world, const struct fault *fault)
{
    process_signal(&host_of(world, fault)->process, SIGCONT);
    end_disturbance(world);
}

static void
stop_host(struct fault_world *world, const struct fault *fault)
{
    begin_disturbance(world);
    process_signal(&host_of(world, fault)->process, SIGTERM);
}

static void
await_exit(struct fault_world *world, const struct fault *fault)
{
    int code = process_wait(&host_of(world, fault)->process, AWAIT_TIMEOUT_MS);

    if (code != 0) {
        fault_violation(world, "h%d stopped with exit code %d",
                        fault->target + 1, code);
    }
    start_host(world, fault);
}

static void
reload_settings(struct fault_world *world, const struct fault *fault)
{
    process_signal(&host_of(world, fault)->process, SIGHUP);
}

/* Bodies of all but the last byte, and heads of many short lines. */
#define CROWD_HEAD                                                            \
    "POST /any/x HTTP/1.1\r\n" PLATFORM_HOST_HEADER                           \
    "\r\nKey: key-0\r\n" PLATFORM_ID ": %ID%\r\n"

static const struct hostile_plan body_crowd = {
    .first = CROWD_HEAD "Content-Length: 1048576\r\n\r\n",
    .repeated = "0123456789abcdef",
    .repetitions = 65535,
    .last = "0123456789abcde",
};
static const struct hostile_plan head_crowd = {
    .first = CROWD_HEAD,
    .repeated = "A: 1\r\n",
    .repetitions = 2500,
    .last = "\r\n",
};

struct crowd_thread {
    const struct hostile_plan *plan;
    uint16_t port;
    pid_t pid;
};

static gpointer
run_crowd(gpointer arg)
{
    struct crowd_thread *crowd = arg;

    hostile_run(crowd->plan, crowd->port, crowd->pid);
    g_free(crowd);
    return NULL;
}

static void
start_crowd(struct relay_host *host, const struct hostile_plan *plan)
{
    struct crowd_thread *crowd = g_new0(struct crowd_thread, 1);

    crowd->plan = plan;
    crowd->port = host->process.port;
    crowd->pid = host->process.pid;
    host->crowd = g_thread_new("crowd", run_crowd, crowd);
}

static void
start_body_crowd(struct fault_world *world, const struct fault *fault)
{
    start_crowd(host_of(world, fault), &body_crowd);
}

static void
start_head_crowd(struct fault_world *world, const struct fault *fault)
{
    start_crowd(host_of(world, fault), &head_crowd);
}

/* No other fault hits the host before its crowd has gone. */
static void
end_crowd(struct fault_world *world, const struct fault *fault)
{
    struct relay_host *host = host_of(world, fault);

    g_thread_join(host->crowd);
    host->crowd = NULL;
}

static void
set_store_link(struct fault_world *world, const struct fault *fault)
{
    begin_disturbance(world);
    http_set(host_of(world, fault)->store_proxy.second_port, "/fake/relay",
             fault->kind->set_json);
}

static void
reset_store_link(struct fault_world *world, const struct fault *fault)
{
    http_set(host_of(world, fault)->store_proxy.second_port, "/fake/relay",
             fault->kind->reset_json);
    end_disturbance(world);
}

static void
set_store(struct fault_world *world, const struct fault *fault)
{
    begin_disturbance(world);
    http_set(relay_soak_of(world)->store.port, "/fake/set",
             fault->kind->set_json);
}

static void
reset_store(struct fault_world *world, const struct fault *fault)
{
    http_set(relay_soak_of(world)->store.port, "/fake/set",
             fault->kind->reset_json);
    end_disturbance(world);
}

/* Trims the store: of each key, only the newest record is retained. */
static void
trim_store(struct fault_world *world, const struct fault *fault)
{
    (void)fault;
    begin_disturbance(world);
    platform_trim_history(relay_soak_of(world)->store.port);
}

static void
end_trim(struct fault_world *world, const struct fault *fault)
{
    (void)fault;
    end_disturbance(world);
}

static void
set_runner(struct fault_world *world, const struct fault *fault)
{
    http_set(relay_soak_of(world)->runners[fault->target].port, "/fake/set",
             fault->kind->set_json);
}

static void
reset_runner(struct fault_world *world, const struct fault *fault)
{
    http_set(relay_soak_of(world)->runners[fault->target].port, "/fake/set",
             fault->kind->reset_json);
}

static void
set_runner_link(struct fault_world *world, const struct fault *fault)
{
    http_set(relay_soak_of(world)->runner_proxies[fault->target].second_port,
             "/fake/relay", fault->kind->set_json);
}

static void
reset_runner_link(struct fault_world *world, const struct fault *fault)
{
    http_set(relay_soak_of(world)->runner_proxies[fault->target].second_port,
             "/fake/relay", fault->kind->reset_json);
}

#define PASS "{\"mode\":\"pass\"}"
#define STORE_LINK(mode)                                                      \
    {                                                                         \
        set_store_link, reset_store_link, TARGET_STORE_LINK,                  \
            "store link " mode, "{\"mode\":\"" mode "\"}", PASS, false        \
    }
#define RUNNER_LINK(mode)                                                     \
    {                                                                         \
        set_runner_link, reset_runner_link, TARGET_RUNNER_LINK,               \
            "runner link " mode, "{\"mode\":\"" mode "\"}", PASS, false       \
    }
#define RUNNER(name, set, unset)                                              \
    {                                                                         \
        set_runner, reset_runner, TARGET_RUNNER, name, set, unset, false      \
    }

static const struct fault_kind fault_kinds[] = {
    {kill_host, start_host, TARGET_HOST, "host killed", NULL, NULL, true},
    {suspend_host, resume_host, TARGET_HOST, "host suspended", NULL, NULL,
     true},
    {stop_host, await_exit, TARGET_HOST, "host stopped", NULL, NULL, false},
    {reload_settings, reload_settings, TARGET_HOST, "settings reloaded", NULL,
     NULL, false},
    {start_body_crowd, end_crowd, TARGET_HOST, "crowd with incomplete bodies",
     NULL, NULL, false},
    {start_head_crowd, end_crowd, TARGET_HOST, "crowd with many header lines",
     NULL, NULL, false},
    STORE_LINK("silent"),
    STORE_LINK("cut"),
    STORE_LINK("refuse"),
    STORE_LINK("silent-all"),
    STORE_LINK("one-way"),
    STORE_LINK("delay"),
    {set_store, reset_store, TARGET_STORE, "store down", "{\"down\":1}",
     "{\"down\":0}", false},
    {trim_store, end_trim, TARGET_STORE, "store trimmed", NULL, NULL, false},
    RUNNER("runner declines requests", "{\"decline\":1}", "{\"decline\":0}"),
    RUNNER("runner truncates streams", "{\"break_after\":2}",
           "{\"break_after\":0}"),
    RUNNER("runner returns status 500", "{\"status\":500}",
           "{\"status\":200}"),
    RUNNER("runner sends a wrong request id", "{\"mismatch\":1}",
           "{\"mismatch\":0}"),
    RUNNER("runner omits its proof", "{\"no_proof\":1}", "{\"no_proof\":0}"),
    RUNNER("runner closes after reading", "{\"close_after_read\":1}",
           "{\"close_after_read\":0}"),
    RUNNER("runner sends chunk extensions without end", "{\"endless\":7}",
           "{\"endless\":0}"),
    RUNNER("runner sends trailers without end", "{\"endless\":8}",
           "{\"endless\":0}"),
    RUNNER("runner sends comments without end", "{\"endless\":13}",
           "{\"endless\":0}"),
    RUNNER("runner declines with the id of another request",
           "{\"decline\":1,\"mismatch\":1}", "{\"decline\":0,\"mismatch\":0}"),
    RUNNER("runner wants nothing for 2 s", "{\"decline\":1,\"pause_ms\":2000}",
           "{\"decline\":0,\"pause_ms\":0}"),
    RUNNER("runner names a limit", "{\"limit\":2000}", "{\"limit\":0}"),
    RUNNER("runner says that it leaves", "{\"leaving\":1}", "{\"leaving\":0}"),
    RUNNER("runner slow", "{\"delay_ms\":700}", "{\"delay_ms\":0}"),
    RUNNER_LINK("silent"),
    RUNNER_LINK("cut"),
    RUNNER_LINK("refuse"),
    RUNNER_LINK("silent-all"),
    RUNNER_LINK("one-way"),
    RUNNER_LINK("delay"),
};

static void
count_disruption(struct fault_world *world, const struct fault *fault,
                 bool begins)
{
    struct relay_host *host = host_of(world, fault);

    g_atomic_int_add(&host->active_disruptions, begins ? 1 : -1);
    if (begins) {
        g_atomic_int_inc(&host->disruptions);
    }
}

struct faults *
relay_faults_new(struct relay_soak *s)
{
    static const struct fault_world_ops ops = {.on_disruption =
                                                   count_disruption};
    static int targets[TARGET_COUNT] = {
        [TARGET_STORE] = 1,
        [TARGET_RUNNER] = RELAY_RUNNERS,
        [TARGET_RUNNER_LINK] = RELAY_RUNNERS,
    };
    static const struct fault_plan plan = {
        .kinds = fault_kinds,
        .n_kinds = G_N_ELEMENTS(fault_kinds),
        .targets = targets,
        .active_max = ACTIVE_MAX,
    };

    targets[TARGET_HOST] = s->n_hosts;
    targets[TARGET_STORE_LINK] = s->n_hosts;
    s->world.ops = &ops;
    return faults_new(&s->world, &plan, s->seed);
}
