/* Processes of the relay soak, and the upstream entries in the store. */
#include <stdio.h>

#include <glib/gstdio.h>

#include "lib-platform.h"
#include "relay.h"

#define AWAIT_TIMEOUT_MS 30000

void
relay_world_put_runner(struct relay_soak *s, int i, const char *state)
{
    platform_put_upstream_of(
        s->store.port, i, s->runner_proxies[i].port,
        i >= RELAY_EVACUATED_FROM ? RELAY_EVACUATED_ZONE : "z", state);
}

static char *
address_of(const struct process *process)
{
    return g_strdup_printf("127.0.0.1:%u", process->port);
}

static void
start_proxy(struct process *proxy, const struct process *target)
{
    char *to = address_of(target);

    PROCESS_START(proxy, "t/fake/tcp-proxy", "--to", to);
    g_free(to);
}

static void
start_runner(struct relay_soak *s, int i)
{
    char *id = g_strdup_printf("run-%d", i);

    PROCESS_START(&s->runners[i], "t/fake/fake-runner", "--id", id);
    start_proxy(&s->runner_proxies[i], &s->runners[i]);
    relay_world_put_runner(s, i, "ready");
    g_free(id);
}

/* Ports are chosen at the first start and reused by later ones. */
static void
write_settings(struct relay_soak *s, int i)
{
    struct relay_host *host = &s->hosts[i];
    char *name = g_strdup_printf("h%d.json", i + 1);
    char *text = g_strdup_printf(
        "{\"host\":\"h%02d\",\"zone\":\"z\",\"caller_address\":"
        "\"127.0.0.1:%u\",\"guide_address\":\"127.0.0.1:%u\","
        "\"ready_address\":\"127.0.0.1:%u\",\"operator_address\":"
        "\"127.0.0.1:%u\",\"peer_address\":\"127.0.0.1:0\","
        "\"peer_secret\":\"0123456789abcdef\",\"store\":\"127.0.0.1:%u\","
        "\"duties\":\"127.0.0.1:%u\",\"share_load\":true,"
        "\"share_config\":true,\"bounds\":{\"revoke_ms\":%d,"
        "\"drain_ms\":%d,\"evacuate_ms\":%d,\"steady_ms\":%d,\"lease_ms\":"
        "1000,"
        "\"usage_window_s\":2,\"usage_late_s\":8,\"grace_s\":%d,"
        "\"repeat_burst\":1000,\"upstream_pause_max_s\":3}}",
        i + 1, host->process.port, host->process.second_port,
        host->process.third_port, host->process.fourth_port,
        host->store_proxy.port, host->store_proxy.port, RELAY_REVOKE_MS,
        RELAY_DRAIN_MS, RELAY_DRAIN_MS, RELAY_STEADY_MS, RELAY_GRACE_S);

    g_free(host->settings);
    host->settings = g_build_filename(s->directory, name, NULL);
    g_assert_true(g_file_set_contents(host->settings, text, -1, NULL));
    g_free(text);
    g_free(name);
}

void
relay_world_start_host(struct relay_soak *s, int i)
{
    struct relay_host *host = &s->hosts[i];

    write_settings(s, i);
    PROCESS_START(&host->process, "coriandertrackd/coriandertrackd", "--relay",
                  "--config", host->settings);
}

bool
relay_world_is_ready(struct relay_soak *s, int i)
{
    struct http_call call = {.timeout_ms = RELAY_STEADY_MS};
    struct http_reply reply;
    bool ready;

    http_call(s->hosts[i].process.third_port, "/v1/readyz", &call, &reply);
    ready = reply.error == 0 && reply.status == 200;
    http_reply_free(&reply);
    return ready;
}

void
relay_world_start(struct relay_soak *s)
{
    s->directory = g_dir_make_tmp("ct-soak-XXXXXX", NULL);
    process_set_log_directory(s->directory);
    PROCESS_START(&s->store, "t/fake/fake-store", "--port", "0");
    for (int i = 0; i < RELAY_RUNNERS; i++) {
        start_runner(s, i);
    }
    g_strlcpy(s->keys[0].text, "key-0", sizeof(s->keys[0].text));
    s->n_keys = 1;
    relay_operators_publish(s);
    for (int i = 0; i < s->n_hosts; i++) {
        start_proxy(&s->hosts[i].store_proxy, &s->store);
        relay_world_start_host(s, i);
    }
    for (int i = 0; i < s->n_hosts; i++) {
        AWAIT(relay_world_is_ready(s, i), AWAIT_TIMEOUT_MS);
    }
}

void
relay_world_stop(struct relay_soak *s)
{
    for (int i = 0; i < s->n_hosts; i++) {
        process_kill(&s->hosts[i].process);
        process_kill(&s->hosts[i].store_proxy);
        g_unlink(s->hosts[i].settings);
        g_free(s->hosts[i].settings);
    }
    for (int i = 0; i < RELAY_RUNNERS; i++) {
        process_kill(&s->runners[i]);
        process_kill(&s->runner_proxies[i]);
    }
    process_kill(&s->store);
}
