/* Table of the fault kinds of the soak. */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define ACTIVE_MAX 3

enum target {
    TARGET_HOST,
    TARGET_PEER_LINK,
    TARGET_PLATFORM_LINK,
    TARGET_PLATFORM,
    TARGET_ENGINE,
    TARGET_PLAIN,
    TARGET_COUNT
};

static struct process *
host_process(struct soak *s, const struct fault *fault)
{
    return &s->d.hosts[fault->target].process;
}

static void
start_host(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    deployment_start_host(&s->d, fault->target);
    g_atomic_int_inc(&s->hosts[fault->target].restarts);
}

static void
kill_host(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_kill(host_process(s, fault));
}

static void
suspend_host(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_signal(host_process(s, fault), SIGSTOP);
}

static void
resume_host(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_signal(host_process(s, fault), SIGCONT);
}

static void
drain_host(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_signal(host_process(s, fault), SIGTERM);
}

static void
await_drain_exit(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    int code = process_wait(host_process(s, fault), AWAIT_TIMEOUT_MS);

    if (code != 0) {
        fault_violation(&s->world, "h%d drained with exit code %d",
                        fault->target + 1, code);
    }
    start_host(world, fault);
}

static void
set_peer_link(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    http_set(s->peer_proxies[fault->target].second_port, "/fake/relay",
             fault->kind->set_json);
}

static void
reset_peer_link(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    http_set(s->peer_proxies[fault->target].second_port, "/fake/relay",
             fault->kind->reset_json);
}

static void
set_platform_link(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    http_set(s->d.platform_proxy.second_port, "/fake/relay",
             fault->kind->set_json);
}

static void
reset_platform_link(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    http_set(s->d.platform_proxy.second_port, "/fake/relay",
             fault->kind->reset_json);
}

static uint16_t
fake_server_port(const struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    switch (fault->kind->target) {
    case TARGET_ENGINE:
        return s->d.engines[fault->target].port;
    case TARGET_PLAIN:
        return s->d.plains[fault->target].port;
    default:
        return s->d.platform.port;
    }
}

static void
set_fake_server(struct fault_world *world, const struct fault *fault)
{
    http_set(fake_server_port(world, fault), "/fake/set",
             fault->kind->set_json);
}

static void
reset_fake_server(struct fault_world *world, const struct fault *fault)
{
    http_set(fake_server_port(world, fault), "/fake/set",
             fault->kind->reset_json);
}

static void
kill_engine(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_kill(&s->d.engines[fault->target]);
}

static void
start_engine(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    deployment_start_engine(&s->d, fault->target);
}

static void
kill_plain(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    process_kill(&s->d.plains[fault->target]);
}

static void
start_plain(struct fault_world *world, const struct fault *fault)
{
    struct soak *s = (struct soak *)world;

    deployment_start_plain(&s->d, fault->target);
}

#define PEER_LINK(mode)                                                       \
    {                                                                         \
        set_peer_link, reset_peer_link, TARGET_PEER_LINK, "peer link " mode,  \
            "{\"mode\":\"" mode "\"}", "{\"mode\":\"pass\"}", false           \
    }
#define PLATFORM_LINK(mode)                                                   \
    {                                                                         \
        set_platform_link, reset_platform_link, TARGET_PLATFORM_LINK,         \
            "platform link " mode, "{\"mode\":\"" mode "\"}",                 \
            "{\"mode\":\"pass\"}", false                                      \
    }
#define SET(target, name, set, unset)                                         \
    {                                                                         \
        set_fake_server, reset_fake_server, TARGET_##target, name, set,       \
            unset, false                                                      \
    }

static const struct fault_kind fault_kinds[] = {
    {kill_host, start_host, TARGET_HOST, "host killed", NULL, NULL, true},
    {suspend_host, resume_host, TARGET_HOST, "host suspended", NULL, NULL,
     true},
    {drain_host, await_drain_exit, TARGET_HOST, "host drained", NULL, NULL,
     false},
    PEER_LINK("silent"),
    PEER_LINK("cut"),
    PEER_LINK("refuse"),
    PEER_LINK("silent-all"),
    PLATFORM_LINK("silent"),
    PLATFORM_LINK("cut"),
    PLATFORM_LINK("refuse"),
    PLATFORM_LINK("silent-all"),
    SET(PLATFORM, "platform outage", "{\"outage\":1}", "{\"outage\":0}"),
    SET(PLATFORM, "platform slow", "{\"delay_ms\":400}", "{\"delay_ms\":0}"),
    SET(PLATFORM, "platform responses lost", "{\"lose_answers\":5}",
        "{\"lose_answers\":0}"),
    {kill_engine, start_engine, TARGET_ENGINE, "engine killed", NULL, NULL,
     false},
    SET(ENGINE, "engine silent", "{\"silent_after_tokens\":3}",
        "{\"silent_after_tokens\":-1}"),
    SET(ENGINE, "engine aborts responses", "{\"break_after_tokens\":3}",
        "{\"break_after_tokens\":-1}"),
    SET(ENGINE, "engine declines requests", "{\"decline\":1}",
        "{\"decline\":0}"),
    SET(ENGINE, "engine sends a wrong request id", "{\"wrong_id\":1}",
        "{\"wrong_id\":0}"),
    SET(ENGINE, "engine closes after reading", "{\"close_after_read\":1}",
        "{\"close_after_read\":0}"),
    {kill_plain, start_plain, TARGET_PLAIN, "plain service killed", NULL, NULL,
     false},
    SET(PLAIN, "plain service closes after reading",
        "{\"close_after_read\":1}", "{\"close_after_read\":0}"),
    SET(PLAIN, "plain service silent", "{\"silent\":1}", "{\"silent\":0}"),
    SET(PLAIN, "plain service declines requests", "{\"decline\":1}",
        "{\"decline\":0}"),
    SET(PLAIN, "plain service slow", "{\"delay_ms\":1000}",
        "{\"delay_ms\":0}"),
};

static const int target_counts[TARGET_COUNT] = {
    [TARGET_HOST] = SOAK_HOSTS,     [TARGET_PEER_LINK] = SOAK_HOSTS,
    [TARGET_PLATFORM_LINK] = 1,     [TARGET_PLATFORM] = 1,
    [TARGET_ENGINE] = SOAK_ENGINES, [TARGET_PLAIN] = SOAK_PLAINS,
};

static const struct fault_plan fault_plan = {
    .kinds = fault_kinds,
    .n_kinds = G_N_ELEMENTS(fault_kinds),
    .targets = target_counts,
    .active_max = ACTIVE_MAX,
};

static void
count_disruption(struct fault_world *world, const struct fault *fault,
                 bool begins)
{
    struct soak_host *host = &((struct soak *)world)->hosts[fault->target];

    g_atomic_int_add(&host->active_disruptions, begins ? 1 : -1);
    if (begins) {
        g_atomic_int_inc(&host->disruptions);
    }
}

struct faults *
soak_faults_new(struct soak *s)
{
    static const struct fault_world_ops ops = {.on_disruption =
                                                   count_disruption};

    s->world.ops = &ops;
    return faults_new(&s->world, &fault_plan, s->seed);
}

bool
soak_faults_is_host_active(const struct faults *faults, int host)
{
    return faults_is_target_active(faults, TARGET_HOST, host);
}
