#include "lib-relay-process.h"

#include <unistd.h>

void
relay_process_put_config(struct relay_process *f, const char *keys)
{
    GString *organisations = g_string_new(NULL);

    platform_add_organisation(organisations, "acme", keys);
    platform_put_config_for(f->store.port, ++f->version, organisations->str,
                            f->body_max_bytes > 0 ? f->body_max_bytes
                                                  : PLATFORM_BODY_MAX_BYTES);
    g_string_free(organisations, TRUE);
}

void
relay_process_put_runner(struct relay_process *f, int i, const char *state)
{
    platform_put_upstream(f->store.port, i, f->runners[i].port, state);
}

void
relay_process_set_runners(struct relay_process *f, const char *json)
{
    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        http_set(f->runners[i].port, "/fake/set", json);
    }
}

bool
relay_process_is_ready(struct relay_process *f)
{
    struct http_call call = {.body = NULL};
    struct http_reply reply;
    bool ready;

    http_call(f->host.third_port, "/v1/readyz", &call, &reply);
    ready = reply.error == 0 && reply.status == 200;
    http_reply_free(&reply);
    return ready;
}

void
relay_process_start_host(struct relay_process *f)
{
    PROCESS_START(&f->host, "coriandertrackd/coriandertrackd", "--relay",
                  "--config", f->settings);
    AWAIT(relay_process_is_ready(f), RELAY_PROCESS_TIMEOUT_MS);
}

void
relay_process_start(struct relay_process *f)
{
    char memory[32] = "";
    char *text;

    if (f->memory_mb > 0) {
        g_snprintf(memory, sizeof(memory), ",\"memory_mb\":%d", f->memory_mb);
    }
    f->directory = g_dir_make_tmp("ct-relay-XXXXXX", NULL);
    process_set_log_directory(f->directory);
    PROCESS_START(&f->store, "t/fake/fake-store", "--port", "0");
    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        char id[16];

        g_snprintf(id, sizeof(id), "run-%d", i);
        PROCESS_START(&f->runners[i], "t/fake/fake-runner", "--id", id);
        relay_process_put_runner(f, i, "ready");
    }
    relay_process_put_config(f, "\"k1\",\"k2\"");
    f->settings = g_build_filename(f->directory, "settings.json", NULL);
    text = g_strdup_printf(
        "{\"host\":\"h1\",\"zone\":\"z\",\"caller_address\":\"127.0.0.1:0\","
        "\"peer_address\":\"127.0.0.1:0\","
        "\"peer_secret\":\"0123456789abcdef\","
        "\"guide_address\":\"127.0.0.1:0\",\"ready_address\":"
        "\"127.0.0.1:0\",\"operator_address\":\"127.0.0.1:0\",\"store\":"
        "\"127.0.0.1:%u\",\"duties\":\"127.0.0.1:%u\",\"bounds\":{"
        "\"revoke_ms\":3000,\"lease_ms\":600,\"usage_window_s\":1,"
        "\"usage_late_s\":4,\"grace_s\":3,\"repeat_burst\":1000%s}}",
        f->store.port, f->store.port, memory);
    g_assert_true(g_file_set_contents(f->settings, text, -1, NULL));
    g_free(text);
    relay_process_start_host(f);
}

static void
call_host(struct relay_process *f, const char *host_header, const char *path,
          const char *body, const char *const *more_headers,
          struct http_reply *reply, char id[24])
{
    const char *headers[8] = {host_header, NULL};
    struct http_call call = {.body = body, .headers = headers};
    char line[48];
    size_t n = 1;

    g_snprintf(id, 24, "id-%d-%d", getpid(), g_atomic_int_add(&f->calls, 1));
    g_snprintf(line, sizeof(line), "Request-Id: %s", id);
    headers[n++] = line;
    while (*more_headers != NULL) {
        headers[n++] = *more_headers++;
    }
    headers[n] = NULL;
    http_call(f->host.port, path, &call, reply);
}

void
relay_process_call(struct relay_process *f, const char *path, const char *body,
                   const char *const *more_headers, struct http_reply *reply,
                   char id[24])
{
    call_host(f, PLATFORM_HOST_HEADER, path, body, more_headers, reply, id);
}

long
relay_process_status(struct relay_process *f, const char *host_header,
                     const char *path, const char *const *more_headers)
{
    struct http_reply reply;
    char id[24];
    long status;

    call_host(f, host_header, path, "{}", more_headers, &reply, id);
    status = reply.error == 0 ? reply.status : 0;
    http_reply_free(&reply);
    return status;
}

int
relay_process_count_runs(struct relay_process *f, const char *id)
{
    int n = 0;

    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        n += HTTP_COUNT_SEEN(f->runners[i].port, "\"ran\"", id);
    }
    return n;
}


void
relay_process_stop(struct relay_process *f)
{
    process_kill(&f->store);
    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        process_kill(&f->runners[i]);
    }
}
