/*
 * Measures the overhead of a host per call: time to the first byte, requests
 * per second and CPU time at saturation, memory per connection and per stream.
 * One run measures calls through the host and direct calls to the same fake
 * engine. Prints lines of: scenario figure direct host ratio.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call-load.h"
#include "lib-http.h"
#include "lib-process.h"

#define LATENCY_CALLS 600
#define LATENCY_CONCURRENCY 4
#define SATURATION_CALLS 20000
#define SATURATION_CONCURRENCY 64
#define IDLE_CONNECTIONS 1000
#define STREAMS 200
#define START_TIMEOUT_MS 30000
#define US_PER_S 1e6

#define CHAT(stream)                                                          \
    "{\"model\":\"m\",\"stream\":" stream                                     \
    ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"

struct bench {
    char *dir;
    struct process platform;
    struct process engine;
    struct process host;
    unsigned caller_port;
    unsigned operator_port;
    char *key;
};

static void
print_pair(const char *scenario, const char *figure, double direct,
           double host)
{
    printf("%s %s %.2f %.2f %.3f\n", scenario, figure, direct, host,
           direct > 0 ? host / direct : 0.0);
}

/* CPU time that a process has used, in microseconds. */
static double
cpu_us(const struct process *process)
{
    char *path = g_strdup_printf("/proc/%d/stat", (int)process->pid);
    char *text;
    unsigned long user;
    unsigned long kernel;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_assert_cmpint(sscanf(strrchr(text, ')'),
                           ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
                           "%lu %lu",
                           &user, &kernel),
                    ==, 2);
    g_free(text);
    g_free(path);
    return (double)(user + kernel) * US_PER_S / (double)sysconf(_SC_CLK_TCK);
}

static double
resident_kb(const struct process *process)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)process->pid);
    char *text;
    double kb;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    kb = g_ascii_strtod(strstr(text, "VmRSS:") + strlen("VmRSS:"), NULL);
    g_free(text);
    g_free(path);
    return kb;
}

static void
write_file(const struct bench *bench, const char *name, const char *text)
{
    char *path = g_build_filename(bench->dir, name, NULL);

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(path);
}

static void
write_settings(const struct bench *bench)
{
    char *text =
        g_strdup_printf("{\"host\":\"host-1\",\"zone\":\"z\","
                        "\"caller_address\":\"127.0.0.1:0\","
                        "\"operator_address\":\"127.0.0.1:0\","
                        "\"peer_address\":\"127.0.0.1:0\","
                        "\"platform\":\"http://127.0.0.1:%u\","
                        "\"peer_secret\":\"0123456789abcdef0123456789abcdef\","
                        "\"credentials\":{\"engines\":\"system\"},"
                        "\"limits\":{\"max_connections\":4096}}",
                        bench->platform.port);

    write_file(bench, "host.json", text);
    g_free(text);
}

static void
write_service(const struct bench *bench)
{
    char *text = g_strdup_printf(
        "{\"organisations\":[{\"name\":\"org\",\"weight\":1}],"
        "\"hosts\":[{\"name\":\"host-1\",\"zone\":\"z\","
        "\"caller_address\":\"127.0.0.1:%u\","
        "\"peer_address\":\"127.0.0.1:%u\","
        "\"operator_address\":\"127.0.0.1:%u\"}],"
        "\"classes\":[{\"name\":\"chat\",\"tier\":0,"
        "\"first_token_target_ms\":10000,\"token_gap_target_ms\":5000,"
        "\"total_target_ms\":60000,\"gap_timeout_ms\":10000,"
        "\"queue_limit_ms\":10000,\"retry_budget_percent\":0,"
        "\"hedge_budget_percent\":0,\"reserve_percent\":0,"
        "\"cheap_allowed\":false}],"
        "\"pools\":[{\"name\":\"engines\",\"kind\":\"engine\","
        "\"min_upstreams\":0,\"max_upstreams\":0}],"
        "\"upstreams\":[{\"name\":\"engine-1\",\"pool\":\"engines\","
        "\"zone\":\"z\",\"address\":\"127.0.0.1:%u\",\"slots\":1000,"
        "\"cheap\":false,\"checks_fencing\":true}],"
        "\"routes\":[{\"path\":\"/v1/chat/completions\",\"class\":\"chat\","
        "\"pool\":\"engines\",\"open_to_all\":true,\"idempotent\":true}]}",
        bench->caller_port, bench->caller_port, bench->operator_port,
        bench->engine.port);

    write_file(bench, "services/service.json", text);
    g_free(text);
}

static void
start_host(struct bench *bench)
{
    char *settings = g_build_filename(bench->dir, "host.json", NULL);

    PROCESS_START(&bench->host, "coriandertrackd/coriandertrackd", "--config",
                  settings);
    bench->caller_port = bench->host.port;
    bench->operator_port = bench->host.second_port;
    g_free(settings);
}

static void
publish_config(struct bench *bench)
{
    char *services = g_build_filename(bench->dir, "services", NULL);
    char *platform = g_strdup_printf("--platform=http://127.0.0.1:%u",
                                     bench->platform.port);
    const char *publish_arguments[] = {"publish", services, platform, NULL};
    const char *grant_arguments[] = {"key",         "grant",  "org",
                                     "--label=one", platform, NULL};
    const char *cli = "coriandertrack/coriandertrack";
    char *output;

    g_assert_cmpint(process_run(cli, publish_arguments, NULL), ==, 0);
    g_assert_cmpint(process_run(cli, grant_arguments, &output), ==, 0);
    bench->key = g_strstrip(output);
    g_free(services);
    g_free(platform);
}

static bool
is_serving(const struct bench *bench)
{
    const struct call_load load = {bench->caller_port, bench->key,
                                   CHAT("false"), 1, 1};
    struct call_result result;

    call_load_run(&load, &result);
    g_array_unref(result.first_byte_us);
    return result.failed == 0;
}

static void
start_deployment(struct bench *bench)
{
    char *services;

    memset(bench, 0, sizeof(*bench));
    bench->dir = g_dir_make_tmp("ct-bench-XXXXXX", NULL);
    services = g_build_filename(bench->dir, "services", NULL);
    g_assert_cmpint(g_mkdir(services, 0700), ==, 0);
    g_free(services);
    PROCESS_START(&bench->platform, "t/fake/fake-platform", "--port", "0");
    PROCESS_START(&bench->engine, "t/fake/fake-engine", "--port", "0");
    http_set(bench->engine.port, "/fake/set", "{\"slots\":1000}");
    write_settings(bench);
    start_host(bench);
    write_service(bench);
    publish_config(bench);
    AWAIT(is_serving(bench), START_TIMEOUT_MS);
}

static void
stop_deployment(struct bench *bench)
{
    char *services_dir = g_build_filename(bench->dir, "services", NULL);
    char *files[] = {
        g_build_filename(bench->dir, "services", "service.json", NULL),
        g_build_filename(bench->dir, "host.json", NULL),
    };

    process_signal(&bench->host, SIGTERM);
    g_assert_cmpint(process_wait(&bench->host, START_TIMEOUT_MS), ==, 0);
    process_kill(&bench->engine);
    process_kill(&bench->platform);
    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        g_unlink(files[i]);
        g_free(files[i]);
    }
    g_rmdir(services_dir);
    g_rmdir(bench->dir);
    g_free(services_dir);
    g_free(bench->dir);
    g_free(bench->key);
}

/*
 * Alternates rounds of direct calls and calls through the host, so that a busy
 * period of the machine affects both.
 */
static void
measure_latency(const struct bench *bench, const char *scenario,
                const char *setting)
{
    struct call_load load = {0, bench->key, CHAT("true"), LATENCY_CALLS / 4,
                             LATENCY_CONCURRENCY};
    struct call_result sums[2] = {{0}, {0}};

    http_set(bench->engine.port, "/fake/set", setting);
    for (int round = 0; round < 8; round++) {
        struct call_result part;
        int side = round % 2;

        load.port = side ? bench->caller_port : bench->engine.port;
        call_load_run(&load, &part);
        if (sums[side].first_byte_us == NULL) {
            sums[side] = part;
            continue;
        }
        g_array_append_vals(sums[side].first_byte_us, part.first_byte_us->data,
                            part.first_byte_us->len);
        sums[side].failed += part.failed;
        g_array_unref(part.first_byte_us);
    }
    for (int side = 0; side < 2; side++) {
        call_result_sort(&sums[side]);
        g_assert_cmpint(sums[side].failed, ==, 0);
    }
    print_pair(scenario, "first-byte-p50-us",
               call_result_percentile(&sums[0], 0.5),
               call_result_percentile(&sums[1], 0.5));
    print_pair(scenario, "first-byte-p99-us",
               call_result_percentile(&sums[0], 0.99),
               call_result_percentile(&sums[1], 0.99));
    g_array_unref(sums[0].first_byte_us);
    g_array_unref(sums[1].first_byte_us);
}

static void
measure_saturation(const struct bench *bench, const char *scenario,
                   const char *setting, const char *body, int calls)
{
    struct call_load load = {bench->engine.port, bench->key, body, calls,
                             SATURATION_CONCURRENCY};
    double direct_s;
    double host_s;
    double direct_cpu;
    double engine_cpu;
    double host_cpu;
    int direct_failed;
    int host_failed;

    http_set(bench->engine.port, "/fake/set", setting);
    direct_cpu = cpu_us(&bench->engine);
    direct_s = call_load_run_processes(&load, &direct_failed);
    direct_cpu = (cpu_us(&bench->engine) - direct_cpu) / calls;
    load.port = bench->caller_port;
    engine_cpu = cpu_us(&bench->engine);
    host_cpu = cpu_us(&bench->host);
    host_s = call_load_run_processes(&load, &host_failed);
    engine_cpu = (cpu_us(&bench->engine) - engine_cpu) / calls;
    host_cpu = (cpu_us(&bench->host) - host_cpu) / calls;
    print_pair(scenario, "requests-per-s", (calls - direct_failed) / direct_s,
               (calls - host_failed) / host_s);
    print_pair(scenario, "engine-cpu-us-per-request", direct_cpu, engine_cpu);
    print_pair(scenario, "host-cpu-us-per-request", 0, host_cpu);
    print_pair(scenario, "host-cores-used", 0,
               host_cpu * calls / US_PER_S / host_s);
    print_pair(scenario, "failed", direct_failed, host_failed);
}

static int
open_connection(unsigned port)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    to.sin_port = htons((uint16_t)port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_no_errno(connect(fd, (struct sockaddr *)&to, sizeof(to)));
    return fd;
}

static void
send_request(int fd, const char *request)
{
    g_assert_cmpint(write(fd, request, strlen(request)), ==, strlen(request));
}

/* Reads the first part of a response and checks its status. */
static void
read_response(int fd)
{
    char response[512];

    g_assert_cmpint(read(fd, response, sizeof(response) - 1), >, 0);
    g_assert_true(strncmp(response, "HTTP/1.1 200", 12) == 0);
}

static bool
has_connections(const struct bench *bench, int n)
{
    char *text = http_get((uint16_t)bench->operator_port, "/counters");
    const char *name = "coriandertrack_caller_connections ";
    const char *line = strstr(text, name);
    bool reached = line != NULL && atoi(line + strlen(name)) >= n;

    g_free(text);
    return reached;
}

static void
measure_connections(const struct bench *bench)
{
    static int fds[IDLE_CONNECTIONS];
    double before = resident_kb(&bench->host);
    double fresh;

    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        fds[i] = open_connection(bench->caller_port);
    }
    AWAIT(has_connections(bench, IDLE_CONNECTIONS), START_TIMEOUT_MS);
    fresh = resident_kb(&bench->host);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        send_request(fds[i], "GET /v1/addresses HTTP/1.1\r\nHost: h\r\n\r\n");
        read_response(fds[i]);
    }
    print_pair("memory", "kb-per-fresh-connection", 0,
               (fresh - before) / IDLE_CONNECTIONS);
    print_pair("memory", "kb-per-kept-connection", 0,
               (resident_kb(&bench->host) - before) / IDLE_CONNECTIONS);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        close(fds[i]);
    }
}

/* Measures memory while all streams wait for their second token. */
static void
measure_streams(const struct bench *bench)
{
    static int fds[STREAMS];
    const char *body = CHAT("true");
    char *request = g_strdup_printf(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
        "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n%s",
        bench->key, strlen(body), body);
    double before = resident_kb(&bench->host);

    http_set(bench->engine.port, "/fake/set",
             "{\"token_ms\":3000,\"first_token_ms\":0,\"tokens\":3}");
    for (int i = 0; i < STREAMS; i++) {
        fds[i] = open_connection(bench->caller_port);
    }
    for (int i = 0; i < STREAMS; i++) {
        send_request(fds[i], request);
    }
    for (int i = 0; i < STREAMS; i++) {
        read_response(fds[i]);
    }
    print_pair("memory", "kb-per-stream", 0,
               (resident_kb(&bench->host) - before) / STREAMS);
    for (int i = 0; i < STREAMS; i++) {
        close(fds[i]);
    }
    g_free(request);
}

int
main(void)
{
    struct bench bench;
    struct rlimit files;

    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    setvbuf(stdout, NULL, _IOLBF, 0);
    start_deployment(&bench);
    /* Memory first: memory retained after the load would hide the growth. */
    measure_streams(&bench);
    measure_connections(&bench);
    measure_latency(&bench, "first-token-20ms",
                    "{\"token_ms\":1,\"first_token_ms\":20,\"tokens\":3}");
    measure_latency(&bench, "first-token-0ms",
                    "{\"token_ms\":0,\"first_token_ms\":0,\"tokens\":1}");
    measure_saturation(&bench, "saturation-plain",
                       "{\"token_ms\":0,\"first_token_ms\":0,\"tokens\":1}",
                       CHAT("false"), SATURATION_CALLS);
    measure_saturation(&bench, "saturation-stream-50",
                       "{\"token_ms\":0,\"first_token_ms\":0,\"tokens\":50}",
                       CHAT("true"), SATURATION_CALLS / 4);
    stop_deployment(&bench);
    curl_global_cleanup();
    return 0;
}
