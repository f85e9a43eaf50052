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

#include "lib-http.h"
#include "lib-process.h"

#define LATENCY_CALLS 600
#define LATENCY_CONCURRENCY 4
#define SATURATION_CALLS 20000
#define SATURATION_CONCURRENCY 64
/* Processes that generate the load of the saturation scenarios. */
#define GENERATORS 4
#define IDLE_CONNECTIONS 1000
#define STREAMS 200
#define CALL_TIMEOUT_MS 60000L
#define START_TIMEOUT_MS 30000
#define POLL_MS 1000
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

/* Load on one port. */
struct load {
    unsigned port;
    const char *key;
    const char *body;
    int calls;
    int concurrency;
};

struct result {
    /* double: times to the first byte of the body, sorted. */
    GArray *first_byte_us;
    int failed;
};

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static double
percentile(const struct result *result, double p)
{
    guint n = result->first_byte_us->len;

    g_assert_cmpuint(n, >, 0);
    return g_array_index(result->first_byte_us, double, (guint)((n - 1) * p));
}

struct call {
    CURL *easy;
    struct curl_slist *headers;
    gint64 start_us;
    /* Arrival of the first data of the body; 0 before it. */
    gint64 first_us;
};

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    struct call *call = arg;

    (void)data;
    if (call->first_us == 0) {
        call->first_us = g_get_monotonic_time();
    }
    return size * n;
}

static void
start_call(CURLM *multi, const struct load *load)
{
    static unsigned long next_id;
    struct call *call = g_new0(struct call, 1);
    char *url =
        g_strdup_printf("http://127.0.0.1:%u/v1/chat/completions", load->port);
    char *auth = g_strdup_printf("Authorization: Bearer %s", load->key);
    char *id = g_strdup_printf("X-Request-Id: bench-%d-%lu", (int)getpid(),
                               next_id++);

    call->headers = curl_slist_append(NULL, auth);
    call->headers = curl_slist_append(call->headers, id);
    call->easy = curl_easy_init();
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, load->body);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    call->start_us = g_get_monotonic_time();
    curl_multi_add_handle(multi, call->easy);
    g_free(url);
    g_free(auth);
    g_free(id);
}

static void
end_call(CURLM *multi, const CURLMsg *message, struct result *result)
{
    CURLcode code = message->data.result;
    struct call *call;
    double us;
    long status = 0;

    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (code == CURLE_OK && status == 200 && call->first_us != 0) {
        us = (double)(call->first_us - call->start_us);
        g_array_append_val(result->first_byte_us, us);
    }
    else {
        result->failed++;
    }
    curl_multi_remove_handle(multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    g_free(call);
}

/* Runs a closed loop of load->concurrency calls until all have ended. */
static void
run_load(const struct load *load, struct result *result)
{
    CURLM *multi = curl_multi_init();
    int started = 0;
    int running = 0;

    result->first_byte_us = g_array_new(FALSE, FALSE, sizeof(double));
    result->failed = 0;
    while (started < load->calls || running > 0) {
        CURLMsg *message;
        int left;

        while (running < load->concurrency && started < load->calls) {
            start_call(multi, load);
            started++;
            running++;
        }
        curl_multi_perform(multi, &left);
        while ((message = curl_multi_info_read(multi, &left)) != NULL) {
            end_call(multi, message, result);
            running--;
        }
        if (running == load->concurrency || started == load->calls) {
            curl_multi_poll(multi, NULL, 0, running > 0 ? POLL_MS : 0, NULL);
        }
    }
    g_array_sort(result->first_byte_us, compare_doubles);
    curl_multi_cleanup(multi);
}

/*
 * Runs the load from several processes, because a single one would be the
 * bottleneck. Returns the duration in seconds and the number of failed calls.
 */
static double
run_load_processes(const struct load *load, int *failed)
{
    gint64 start_us = g_get_monotonic_time();
    struct load share = *load;
    int pipes[2];

    share.calls = load->calls / GENERATORS;
    share.concurrency = load->concurrency / GENERATORS;
    g_assert_no_errno(pipe(pipes));
    for (int i = 0; i < GENERATORS; i++) {
        if (fork() == 0) {
            struct result result;

            run_load(&share, &result);
            _exit(write(pipes[1], &result.failed, sizeof(int)) != sizeof(int));
        }
    }
    *failed = 0;
    for (int i = 0; i < GENERATORS; i++) {
        int part;

        g_assert_cmpint(read(pipes[0], &part, sizeof(part)), ==, sizeof(part));
        *failed += part;
    }
    close(pipes[0]);
    close(pipes[1]);
    return (double)(g_get_monotonic_time() - start_us) / US_PER_S;
}

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
    const struct load load = {bench->caller_port, bench->key, CHAT("false"), 1,
                              1};
    struct result result;

    run_load(&load, &result);
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
    struct load load = {0, bench->key, CHAT("true"), LATENCY_CALLS / 4,
                        LATENCY_CONCURRENCY};
    struct result sums[2] = {{0}, {0}};

    http_set(bench->engine.port, "/fake/set", setting);
    for (int round = 0; round < 8; round++) {
        struct result part;
        int side = round % 2;

        load.port = side ? bench->caller_port : bench->engine.port;
        run_load(&load, &part);
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
        g_array_sort(sums[side].first_byte_us, compare_doubles);
        g_assert_cmpint(sums[side].failed, ==, 0);
    }
    print_pair(scenario, "first-byte-p50-us", percentile(&sums[0], 0.5),
               percentile(&sums[1], 0.5));
    print_pair(scenario, "first-byte-p99-us", percentile(&sums[0], 0.99),
               percentile(&sums[1], 0.99));
    g_array_unref(sums[0].first_byte_us);
    g_array_unref(sums[1].first_byte_us);
}

static void
measure_saturation(const struct bench *bench, const char *scenario,
                   const char *setting, const char *body, int calls)
{
    struct load load = {bench->engine.port, bench->key, body, calls,
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
    direct_s = run_load_processes(&load, &direct_failed);
    direct_cpu = (cpu_us(&bench->engine) - direct_cpu) / calls;
    load.port = bench->caller_port;
    engine_cpu = cpu_us(&bench->engine);
    host_cpu = cpu_us(&bench->host);
    host_s = run_load_processes(&load, &host_failed);
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
