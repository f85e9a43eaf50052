#include "lib-deployment.h"

#include <stdio.h>
#include <string.h>

#include <glib/gstdio.h>

#define ARGUMENTS_MAX 16

static const char *const zones[] = {"north", "south", "west"};

static void
write_file(const char *directory, const char *name, const char *text)
{
    char *path = g_build_filename(directory, name, NULL);

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(path);
}

static void
write_settings(const struct deployment *d, int i)
{
    const struct host *host = &d->hosts[i];
    char *name = g_strdup_printf("h%d.json", i + 1);
    char *text = g_strdup_printf(
        "// Settings of a host under test.\n"
        "{\"host\":\"h%d\",\"zone\":\"%s\","
        "\"caller_address\":\"127.0.0.1:%u\","
        "\"operator_address\":\"127.0.0.1:%u\","
        "\"peer_address\":\"127.0.0.1:%u\","
        "\"platform\":\"http://127.0.0.1:%u\","
        "\"peer_secret\":\"0123456789abcdef0123456789abcdef\","
        "\"credentials\":{\"engines\":\"engine-credential\","
        "\"plains\":\"plain-credential\"}}",
        i + 1, zones[i % 3], host->caller_port, host->operator_port,
        host->peer_port, d->platform_proxy.port);

    write_file(d->directory, name, text);
    g_free(text);
    g_free(name);
}

void
deployment_start_host(struct deployment *d, int i)
{
    struct host *host = &d->hosts[i];
    char *path = g_strdup_printf("%s/h%d.json", d->directory, i + 1);

    if (host->caller_port == 0) {
        host->caller_port = process_pick_port();
        host->operator_port = process_pick_port();
        host->peer_port = process_pick_port();
    }
    write_settings(d, i);
    PROCESS_START(&host->process, "coriandertrackd/coriandertrackd",
                  "--config", path, NULL);
    host->caller_port = host->process.port;
    host->operator_port = host->process.second_port;
    host->peer_port = host->process.third_port;
    g_free(path);
}

static void
append_upstreams(GString *out, const struct process *upstreams, int n,
                 const char *pool)
{
    for (int i = 0; i < n; i++) {
        g_string_append_printf(out,
                               "%s{\"name\":\"%s-%d\",\"pool\":\"%s\","
                               "\"zone\":\"%s\",\"address\":\"127.0.0.1:%u\","
                               "\"slots\":8}",
                               i > 0 ? "," : "", pool, i + 1, pool,
                               zones[i % 3], upstreams[i].port);
    }
}

static void
append_hosts(GString *out, const struct deployment *d)
{
    for (int i = 0; i < d->n_hosts; i++) {
        const struct host *host = &d->hosts[i];
        uint16_t peer_port =
            host->public_peer_port ? host->public_peer_port : host->peer_port;

        g_string_append_printf(out,
                               "%s{\"name\":\"h%d\",\"zone\":\"%s\","
                               "\"caller_address\":\"127.0.0.1:%u\","
                               "\"peer_address\":\"127.0.0.1:%u\","
                               "\"operator_address\":\"127.0.0.1:%u\"}",
                               i > 0 ? "," : "", i + 1, zones[i % 3],
                               host->caller_port, peer_port,
                               host->operator_port);
    }
}

static const char classes_and_routes[] =
    "\"classes\":["
    "{\"name\":\"chat\",\"tier\":1,\"first_token_target_ms\":20000,"
    "\"token_gap_target_ms\":1000,\"total_target_ms\":60000,"
    "\"gap_timeout_ms\":1000,\"queue_limit_ms\":20000,"
    "\"retry_budget_percent\":100,\"reserve_percent\":10},"
    "{\"name\":\"book\",\"tier\":0,\"first_token_target_ms\":20000,"
    "\"total_target_ms\":60000,\"gap_timeout_ms\":2000,"
    "\"queue_limit_ms\":20000,\"reserve_percent\":10},"
    "{\"name\":\"stock\",\"tier\":0,\"first_token_target_ms\":20000,"
    "\"total_target_ms\":60000,\"gap_timeout_ms\":2000,"
    "\"queue_limit_ms\":20000,\"retry_budget_percent\":100,"
    "\"reserve_percent\":10}],"
    "\"pools\":[{\"name\":\"engines\",\"kind\":\"engine\"},"
    "{\"name\":\"plains\",\"kind\":\"plain\"}],"
    "\"routes\":["
    "{\"path\":\"/v1/chat/completions\",\"model\":\"large\","
    "\"class\":\"chat\",\"pool\":\"engines\",\"idempotent\":true,"
    "\"organisations\":[\"alpha\",\"beta\"]},"
    "{\"path\":\"/v1/book\",\"class\":\"book\",\"pool\":\"plains\","
    "\"idempotent\":false,\"organisations\":[\"alpha\",\"beta\"]},"
    "{\"path\":\"/v1/stock\",\"class\":\"stock\",\"pool\":\"plains\","
    "\"idempotent\":true,\"open_to_all\":true}],";

char *
deployment_write_files(const struct deployment *d, const char *name,
                       int weight)
{
    char *directory = g_build_filename(d->directory, name, NULL);
    GString *text = g_string_new("// Service file of a test.\n{");

    g_assert_cmpint(g_mkdir(directory, 0700), ==, 0);
    g_string_append(text, classes_and_routes);
    g_string_append_printf(text,
                           "\"organisations\":[{\"name\":\"alpha\","
                           "\"weight\":%d},{\"name\":\"beta\"},"
                           "{\"name\":\"gamma\"}],\"upstreams\":[",
                           weight);
    append_upstreams(text, d->engines, d->n_engines, "engines");
    g_string_append(text, d->n_engines > 0 && d->n_plains > 0 ? "," : "");
    append_upstreams(text, d->plains, d->n_plains, "plains");
    g_string_append(text, "],\"hosts\":[");
    append_hosts(text, d);
    g_string_append(text, "]}");
    write_file(directory, "service.json", text->str);
    g_string_free(text, TRUE);
    return directory;
}

int
deployment_command_with(const struct deployment *d, char **output,
                        const char *const *arguments)
{
    const char *argv[ARGUMENTS_MAX + 2] = {NULL};
    char *platform =
        g_strdup_printf("--platform=http://127.0.0.1:%u", d->platform.port);
    int code;
    int n = 0;

    while (n < ARGUMENTS_MAX && arguments[n]) {
        argv[n] = arguments[n];
        n++;
    }
    argv[n] = platform;
    code = process_run("coriandertrack/coriandertrack", argv, output);
    g_free(platform);
    return code;
}

int
deployment_grant(const struct deployment *d, const char *organisation,
                 const char *label, char *key)
{
    char *option = g_strdup_printf("--label=%s", label);
    char *output;
    int code = DEPLOYMENT_COMMAND(d, &output, "key", "grant", organisation,
                                  option, NULL);

    g_strlcpy(key, g_strstrip(output), KEY_BYTES);
    g_free(output);
    g_free(option);
    return code;
}

char *
deployment_host_option(const struct deployment *d, int i)
{
    return g_strdup_printf("--host=127.0.0.1:%u", d->hosts[i].operator_port);
}

bool
deployment_is_ready(const struct deployment *d, int i)
{
    struct http_call call = {.timeout_ms = 5000};
    struct http_reply reply;
    bool ready;

    http_call(d->hosts[i].operator_port, "/health", &call, &reply);
    ready = reply.status == 200;
    http_reply_free(&reply);
    return ready;
}

void
deployment_await_ready(const struct deployment *d)
{
    for (int i = 0; i < d->n_hosts; i++) {
        AWAIT(deployment_is_ready(d, i), AWAIT_TIMEOUT_MS);
    }
}

char *
deployment_log_path(const struct deployment *d, const char *name, int i)
{
    return g_strdup_printf("%s/%s-%d.json", d->directory, name, i);
}

static void
start_fake(const struct deployment *d, struct process *process,
           const char *name, int i)
{
    char *program = g_strdup_printf("t/fake/fake-%s", name);
    char *port = g_strdup_printf(
        "%u", process->port != 0 ? process->port : process_pick_port());
    char *log = deployment_log_path(d, name, i);

    PROCESS_START(process, program, "--port", port, "--log", log);
    g_free(log);
    g_free(port);
    g_free(program);
}

void
deployment_start_engine(struct deployment *d, int i)
{
    start_fake(d, &d->engines[i], "engine", i);
}

void
deployment_start_plain(struct deployment *d, int i)
{
    start_fake(d, &d->plains[i], "plain", i);
}

static void
start_fakes(struct deployment *d)
{
    char *proxy_target;

    start_fake(d, &d->platform, "platform", 0);
    proxy_target = g_strdup_printf("127.0.0.1:%u", d->platform.port);
    PROCESS_START(&d->platform_proxy, "t/fake/tcp-proxy", "--to",
                  proxy_target);
    for (int i = 0; i < d->n_engines; i++) {
        deployment_start_engine(d, i);
    }
    for (int i = 0; i < d->n_plains; i++) {
        deployment_start_plain(d, i);
    }
    g_free(proxy_target);
}

static void
publish_config(struct deployment *d)
{
    char *files = deployment_write_files(d, "first", 1);
    char *output;
    int code = DEPLOYMENT_COMMAND(d, &output, "publish", files, NULL);

    if (code != 0) {
        g_error("publish: %d: %s", code, output);
    }
    g_free(output);
    g_free(files);
    g_assert_cmpint(deployment_grant(d, "alpha", "key-alpha", d->alpha), ==,
                    0);
    g_assert_cmpint(deployment_grant(d, "beta", "key-beta", d->beta), ==, 0);
    g_assert_cmpint(deployment_grant(d, "gamma", "key-gamma", d->gamma), ==,
                    0);
}

/* Returns whether the host knows the last key granted. */
static bool
knows_last_key(const struct deployment *d, int i)
{
    struct caller_call call = {
        .key = d->gamma, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};
    struct http_reply reply;
    bool known;

    deployment_call(d, i, NULL, &call, &reply);
    known = reply.error == 0 && reply.status != 401 && reply.status != 503;
    http_reply_free(&reply);
    return known;
}

void
deployment_start(struct deployment *d, int n_hosts, int n_engines,
                 int n_plains)
{
    memset(d, 0, sizeof(*d));
    d->directory = g_dir_make_tmp("coriandertrack-XXXXXX", NULL);
    g_assert_nonnull(d->directory);
    d->n_hosts = n_hosts;
    d->n_engines = n_engines;
    d->n_plains = n_plains;
    process_set_log_directory(d->directory);
    start_fakes(d);
    for (int i = 0; i < n_hosts; i++) {
        deployment_start_host(d, i);
    }
    publish_config(d);
    deployment_await_ready(d);
    for (int i = 0; i < n_hosts; i++) {
        AWAIT(knows_last_key(d, i), AWAIT_TIMEOUT_MS);
    }
}

/* Removes a directory and its contents at the end of a test. */
static void
remove_directory(const char *path)
{
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name;

    while ((name = g_dir_read_name(directory))) {
        char *child = g_build_filename(path, name, NULL);

        if (g_file_test(child, G_FILE_TEST_IS_DIR)) {
            remove_directory(child);
        }
        else {
            g_unlink(child);
        }
        g_free(child);
    }
    g_dir_close(directory);
    g_rmdir(path);
}

void
deployment_stop(struct deployment *d)
{
    for (int i = 0; i < d->n_hosts; i++) {
        process_kill(&d->hosts[i].process);
    }
    for (int i = 0; i < d->n_engines; i++) {
        process_kill(&d->engines[i]);
    }
    for (int i = 0; i < d->n_plains; i++) {
        process_kill(&d->plains[i]);
    }
    process_kill(&d->platform_proxy);
    process_kill(&d->platform);
    process_set_log_directory(NULL);
    remove_directory(d->directory);
    g_free(d->directory);
}

void
deployment_set_engines(const struct deployment *d, const char *json)
{
    for (int i = 0; i < d->n_engines; i++) {
        if (d->engines[i].running) {
            http_set(d->engines[i].port, "/fake/set", json);
        }
    }
}

void
deployment_set_platform(const struct deployment *d, const char *json)
{
    http_set(d->platform.port, "/fake/set", json);
}

void
deployment_idempotency_key(char text[40])
{
    int64_t ms = g_get_real_time() / 1000;

    g_snprintf(text, 40, "%08x-%04x-7%03x-8%03x-%012" G_GINT64_MODIFIER "x",
               (unsigned)(ms >> 16), (unsigned)(ms & 0xffff),
               g_random_int_range(0, 0x1000), g_random_int_range(0, 0x1000),
               (uint64_t)g_random_int());
}

void
deployment_call(const struct deployment *d, int i, struct http_client *client,
                const struct caller_call *call, struct http_reply *reply)
{
    char *key = g_strdup_printf("Authorization: Bearer %s", call->key);
    char *idempotency =
        g_strdup_printf("Idempotency-Key: %s", call->idempotency_key);
    const char *headers[] = {"Content-Type: application/json",
                             call->key ? key : NULL, NULL, NULL};
    struct http_call http = {.body = call->body,
                             .headers = headers,
                             .timeout_ms = call->timeout_ms,
                             .on_data = call->on_data,
                             .arg = call->arg};
    uint16_t port = d->hosts[i].caller_port;

    if (call->idempotency_key) {
        headers[call->key ? 2 : 1] = idempotency;
    }
    if (client) {
        http_client_call(client, port, call->path, &http, reply);
    }
    else {
        http_call(port, call->path, &http, reply);
    }
    g_free(idempotency);
    g_free(key);
}

static void
assert_header(const struct http_reply *reply, const char *name,
              const char *wanted)
{
    char *value = http_reply_header(reply, name);

    g_assert_cmpstr(value, ==, wanted);
    g_free(value);
}

void
deployment_assert_refused(const struct http_reply *reply, long status,
                          const char *type, const char *run_state)
{
    char *type_member = g_strdup_printf("\"type\":\"%s\"", type);
    char *run_state_member =
        g_strdup_printf("\"run_state\":\"%s\"", run_state);

    if (reply->status != status || !strstr(reply->body->str, type_member) ||
        !strstr(reply->body->str, run_state_member)) {
        g_error("wanted %ld %s %s, got %d %ld %s", status, type, run_state,
                reply->error, reply->status, reply->body->str);
    }
    assert_header(reply, "X-Refusal", type);
    assert_header(reply, "X-Run-State", run_state);
    g_free(run_state_member);
    g_free(type_member);
}

void
deployment_replace_hosts(struct deployment *d)
{
    for (int i = 0; i < d->n_hosts; i++) {
        process_kill(&d->hosts[i].process);
    }
    for (int i = 0; i < d->n_hosts; i++) {
        deployment_start_host(d, i);
    }
    deployment_await_ready(d);
}
