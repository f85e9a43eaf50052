/*
 * Guards against clients that take a host down: crowds that stop halfway, send
 * or read slowly, send too much, or don't read at all. The host stays within
 * the memory of its machine and within its descriptors, and serves an ordinary
 * caller afterwards. No times are checked, and no share of served requests.
 */
#include <string.h>

#include "lib-hostile.h"
#include "lib-raw-server.h"
#include "lib-relay-process.h"

#define MEMORY_MB 64
#define BODY_MAX_BYTES 4194304

/*
 * A connection of the crowd may have one upstream connection. The host has
 * fewer descriptors than this without callers.
 */
#define DESCRIPTORS_BESIDE 64

/* Longer than the idle time-outs of the host's ports, 30 s and 60 s. */
#define CLOSE_TIMEOUT_MS 90000

/* The sanitizers' shadow memory counts as memory of the process. */
#if defined(__SANITIZE_ADDRESS__)
#define MEMORY_IS_CHECKED false
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
#define MEMORY_IS_CHECKED false
#endif
#endif
#ifndef MEMORY_IS_CHECKED
#define MEMORY_IS_CHECKED true
#endif

#define X32 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define X64 X32 X32

/* "%PATH%" is replaced by the path of the case. */
#define FIELDS                                                                \
    " HTTP/1.1\r\n" PLATFORM_HOST_HEADER "\r\n" RELAY_PROCESS_KEY             \
    "\r\n" PLATFORM_ID ": %ID%\r\n"
#define GET "GET %PATH%" FIELDS
#define POST "POST %PATH%" FIELDS
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
/* BODY_MAX_BYTES, which is 65,536 times X64. */
#define LENGTH "Content-Length: 4194304\r\n\r\n"
#define ALL_BUT_ONE_BYTE                                                      \
    .repeated = X64, .repetitions = 65535,                                    \
    .last = X32 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/* Heads of legal size, less than 16,384 bytes. */
#define HEADER_LINES                                                          \
    .first = GET, .repeated = "A: 1\r\n", .repetitions = 2500, .last = "\r\n"
#define QUERY_ARGUMENTS                                                       \
    .first = "GET %PATH%?", .repeated = "a=1&", .repetitions = 3500,          \
    .last = FIELDS "\r\n"
#define PROMPT_PARTS                                                          \
    .first = GET PLATFORM_PROMPT_PARTS ": ", .repeated = "1:1,",              \
    .repetitions = 3500, .last = "1:1\r\n\r\n"

static struct relay_process f;

/* Where a crowd sends its requests. */
static const struct target {
    const char *name, *path;
    enum { CALLER_PORT, READY_PORT, GUIDE_PORT } port;
} targets[] = {
    {"calls", "/once/x", CALLER_PORT},
    {"no-route", "/nowhere/x", CALLER_PORT},
    {"ready", PLATFORM_PATH_READY, READY_PORT},
    {"guide", PLATFORM_PATH_ADDRESSES, GUIDE_PORT},
};

/* Each is used with each target. */
static const struct sending {
    const char *name;
    struct hostile_plan plan;
} sendings[] = {
    {"body", {.first = POST LENGTH, ALL_BUT_ONE_BYTE}},
    {"body-in-pieces",
     {.first = POST LENGTH, ALL_BUT_ONE_BYTE, .send_bytes = 1400}},
    {"body-in-chunks",
     {.first = POST CHUNKED,
      .repeated = "20\r\n" X32 "\r\n",
      .repetitions = 130000}},
    {"chunk-extensions",
     {.first = POST CHUNKED,
      .repeated = "8;name=value\r\nxxxxxxxx\r\n",
      .repetitions = 300000}},
    {"body-over-limit",
     {.first = POST "Content-Length: 419430400\r\n\r\n",
      .repeated = X64,
      .repetitions = 262144}},
    {"chunks-over-limit",
     {.first = POST CHUNKED,
      .repeated = "40\r\n" X64 "\r\n",
      .repetitions = 262144}},
    {"header-lines", {HEADER_LINES}},
    {"query-arguments", {QUERY_ARGUMENTS}},
    {"prompt-parts", {PROMPT_PARTS}},
    {"part-of-head",
     {.first = GET, .repeated = "A: " X64 "\r\n", .repetitions = 200}},
    {"pipelined", {.repeated = GET "\r\n", .repetitions = 3000}},
    {"pipelined-bodies",
     {.repeated = POST "Content-Length: 64\r\n\r\n" X64, .repetitions = 3000}},
    {"slow-head",
     {.repeated = GET,
      .repetitions = 1,
      .send_bytes = 1,
      .send_pause_ms = 50}},
    {"slow-body",
     {.first = POST LENGTH,
      .repeated = X64,
      .repetitions = 100,
      .send_bytes = 1,
      .send_pause_ms = 50}},
    {"expect-without-body", {.first = POST "Expect: 100-continue\r\n" LENGTH}},
    {"silent", {.first = NULL}},
    {"reset",
     {.first = POST LENGTH,
      .repeated = X64,
      .repetitions = 32768,
      .reset = true,
      .rounds = 3}},
    {"half-closed",
     {.first = POST LENGTH, ALL_BUT_ONE_BYTE, .then = HOSTILE_HALF_CLOSE}},
};

/*
 * Long enough for a response to be complete at the host before the next one
 * begins, so that the host does not hold several incomplete ones.
 */
#define STAGGER_MS 50

/* Crowds that don't read responses, or read them slowly. */
static const struct reading {
    const char *name, *path;
    bool stream;
    struct hostile_plan plan;
    /* 0: MEMORY_MB */
    int memory_mb;
} readings[] = {
    {"stream-unread", "/s/str/x", true, {.first = GET "\r\n"}},
    {"stream-read-slowly",
     "/s/str/x",
     true,
     {.first = GET "\r\n", .read_bytes = 16, .read_pause_ms = 50}},
    {"response-unread", "/once/x", false, {.first = GET "\r\n"}},
    {"response-unread-in-turn",
     "/once/x",
     false,
     {.first = GET "\r\n", .stagger_ms = STAGGER_MS}},
    {"response-read-slowly",
     "/once/x",
     false,
     {.first = GET "\r\n",
      .stagger_ms = STAGGER_MS,
      .read_bytes = 16,
      .read_pause_ms = 50}},
    /* As many as the descriptors of a small host allow, and its memory. */
    {"many-streams-unread",
     "/s/str/x",
     true,
     {.first = GET "\r\n", .connections = 500},
     110},
};

/* Single requests within the limits. */
static const struct single {
    const char *name;
    struct hostile_plan plan;
} singles[] = {
    {"body", {.first = POST LENGTH, .repeated = X64, .repetitions = 65536}},
    {"body-in-chunks",
     {.first = POST CHUNKED,
      .repeated = "20\r\n" X32 "\r\n",
      .repetitions = 131072,
      .last = "0\r\n\r\n"}},
    {"header-lines", {HEADER_LINES}},
    {"query-arguments", {QUERY_ARGUMENTS}},
    {"prompt-parts", {PROMPT_PARTS}},
};

struct case_data {
    const struct target *target;
    const struct sending *sending;
};

static guint n_run;

static void
start(int memory_mb)
{
    n_run++;
    f = (struct relay_process){.memory_mb = memory_mb,
                               .body_max_bytes = BODY_MAX_BYTES};
    relay_process_start(&f);
}

static void
stop(void)
{
    process_kill(&f.host);
    relay_process_stop(&f);
}

static uint16_t
target_port(const struct target *target)
{
    return target->port == READY_PORT   ? f.host.third_port
           : target->port == GUIDE_PORT ? f.host.second_port
                                        : f.host.port;
}

static bool
serves_call(void)
{
    const char *const headers[] = {RELAY_PROCESS_KEY, NULL};
    struct http_reply reply;
    char id[24];
    bool served;

    relay_process_call(&f, "/any/x", "{}", headers, &reply, id);
    served = reply.error == 0 && reply.status == 200 &&
             strcmp(reply.body->str, "{}") == 0;
    http_reply_free(&reply);
    return served;
}

static bool
serves_lookup(void)
{
    const struct http_call call = {.body = NULL};
    struct http_reply reply;
    bool served;

    http_call(f.host.second_port, PLATFORM_PATH_ADDRESSES, &call, &reply);
    served = reply.error == 0 && reply.status == 200;
    http_reply_free(&reply);
    return served;
}

/*
 * Checks the host after a crowd has gone. The first call may be refused while
 * the host still ends the crowd's connections; it is made again then.
 */
static void
check_host(const struct hostile_plan *plan, int descriptors_before,
           int descriptors)
{
    int connections = (int)hostile_connections(plan);
    long memory_kb;

    AWAIT(serves_call(), RELAY_PROCESS_TIMEOUT_MS);
    AWAIT(serves_lookup(), RELAY_PROCESS_TIMEOUT_MS);
    AWAIT(relay_process_is_ready(&f), RELAY_PROCESS_TIMEOUT_MS);
    memory_kb = hostile_peak_memory_kb(f.host.pid);
    g_test_message("peak %ld KB, %d descriptors; before %d, after %d",
                   memory_kb, descriptors, descriptors_before,
                   hostile_count_descriptors(f.host.pid));
    g_assert_cmpint(memory_kb, >, 0);
    if (MEMORY_IS_CHECKED) {
        g_assert_cmpint(memory_kb, <=, f.memory_mb * 1024);
    }
    g_assert_cmpint(descriptors, <=, 2 * connections + DESCRIPTORS_BESIDE);
    /* A host that keeps the connections of the crowd stays above this. */
    AWAIT(hostile_count_descriptors(f.host.pid) <
              descriptors_before + connections / 2,
          CLOSE_TIMEOUT_MS);
}

/* Returns the text with the path in it; free it. */
static char *
insert_path(const char *text, const char *path)
{
    GString *out = g_string_new(text);

    g_string_replace(out, "%PATH%", path, 0);
    return g_string_free(out, FALSE);
}

/* Replaces the path in a plan; free its texts with free_plan(). */
static struct hostile_plan
make_plan(const struct hostile_plan *plan, const char *path)
{
    struct hostile_plan out = *plan;

    out.first = insert_path(plan->first, path);
    out.repeated = insert_path(plan->repeated, path);
    return out;
}

static void
free_plan(struct hostile_plan *plan)
{
    g_free((char *)plan->first);
    g_free((char *)plan->repeated);
}

static int
run_crowd(const struct hostile_plan *plan, const char *path, uint16_t port)
{
    struct hostile_plan with_path = make_plan(plan, path);
    int descriptors = hostile_run(&with_path, port, f.host.pid);

    free_plan(&with_path);
    return descriptors;
}

static void
test_sending(gconstpointer arg)
{
    const struct case_data *c = arg;
    int before;

    start(MEMORY_MB);
    before = hostile_count_descriptors(f.host.pid);
    check_host(
        &c->sending->plan, before,
        run_crowd(&c->sending->plan, c->target->path, target_port(c->target)));
    stop();
}

#define RESPONSE_HEAD                                                         \
    "HTTP/1.1 200 OK\r\n" PLATFORM_ID ": %ID%\r\n" PLATFORM_PROOF ": s\r\n"
#define RESPONSE_BYTES (4 * 1024 * 1024)

/* Makes a call; returns whether one has reached the server. */
static bool
is_used(struct raw_server *server)
{
    serves_call();
    return raw_server_request_count(server) > 0;
}

/* Lists the server as the only upstream, or removes it again. */
static void
use_server(struct raw_server *server)
{
    g_autofree char *text = NULL;

    if (server != NULL) {
        text = g_strdup_printf(
            "{\"service\":\"app\",\"addr\":\"%s\",\"zone\":\"z\","
            "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"born\":9}",
            raw_server_address(server));
    }
    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        relay_process_put_runner(&f, i, server != NULL ? "draining" : "ready");
    }
    if (server != NULL) {
        AWAIT(!serves_call(), RELAY_PROCESS_TIMEOUT_MS);
    }
    platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, "raw",
                 text != NULL ? text : "");
    if (server != NULL) {
        AWAIT(is_used(server), RELAY_PROCESS_TIMEOUT_MS);
    }
}

/* A response of RESPONSE_BYTES, or events of at least as many bytes. */
static char *
make_response(bool stream)
{
    GString *out = g_string_new(RESPONSE_HEAD);
    guint n = 0;

    if (!stream) {
        g_string_append_printf(out, "Content-Length: %d\r\n\r\n",
                               RESPONSE_BYTES);
        for (int i = 0; i < RESPONSE_BYTES; i += (int)strlen(X64)) {
            g_string_append(out, X64);
        }
        return g_string_free(out, FALSE);
    }
    g_string_append(out, "Content-Type: text/event-stream\r\n" CHUNKED);
    while (out->len < RESPONSE_BYTES) {
        g_autofree char *event =
            g_strdup_printf("id: %u\ndata: " X64 "\n\n", ++n);

        g_string_append_printf(out, "%zx\r\n%s\r\n", strlen(event), event);
    }
    return g_string_free(out, FALSE);
}

static void
test_reading(gconstpointer arg)
{
    const struct reading *c = arg;
    g_autofree char *response = make_response(c->stream);
    /* The first reply is for the call that shows that the server is used. */
    const struct raw_reply replies[] = {
        {.text = RESPONSE_HEAD "Content-Length: 0\r\n\r\n"},
        {
            .text = response,
            .next_action = c->stream ? RAW_HANG : RAW_KEEP_ALIVE,
        },
    };
    struct raw_server *server = raw_server_new(replies, G_N_ELEMENTS(replies));
    int before;
    int descriptors;

    start(c->memory_mb > 0 ? c->memory_mb : MEMORY_MB);
    before = hostile_count_descriptors(f.host.pid);
    use_server(server);
    descriptors = run_crowd(&c->plan, c->path, f.host.port);
    g_assert_cmpuint(raw_server_request_count(server), >, 1);
    g_test_message("%u requests at the upstream",
                   raw_server_request_count(server) - 1);
    use_server(NULL);
    raw_server_free(server);
    check_host(&c->plan, before, descriptors);
    stop();
}

/* Guards against a bound so strict that legal requests are not served. */
static void
test_single(gconstpointer arg)
{
    const struct single *c = arg;
    struct hostile_plan plan = make_plan(&c->plan, "/once/x");
    int before;

    start(MEMORY_MB);
    before = hostile_count_descriptors(f.host.pid);
    g_assert_cmpint(hostile_request(&plan, f.host.port), ==, 200);
    check_host(&c->plan, before, hostile_count_descriptors(f.host.pid));
    stop();
    free_plan(&plan);
}

static void
add_sendings(struct case_data *cases)
{
    for (guint i = 0; i < G_N_ELEMENTS(targets); i++) {
        for (guint j = 0; j < G_N_ELEMENTS(sendings); j++) {
            struct case_data *c = &cases[i * G_N_ELEMENTS(sendings) + j];
            g_autofree char *path = g_strdup_printf(
                "/hostile/%s/%s", targets[i].name, sendings[j].name);

            *c = (struct case_data){&targets[i], &sendings[j]};
            g_test_add_data_func(path, c, test_sending);
        }
    }
}

int
main(int argc, char **argv)
{
    static struct case_data
        cases[G_N_ELEMENTS(targets) * G_N_ELEMENTS(sendings)];
    int rc;

    g_test_init(&argc, &argv, NULL);
    add_sendings(cases);
    for (guint i = 0; i < G_N_ELEMENTS(readings); i++) {
        g_autofree char *path =
            g_strdup_printf("/hostile/responses/%s", readings[i].name);

        g_test_add_data_func(path, &readings[i], test_reading);
    }
    for (guint i = 0; i < G_N_ELEMENTS(singles); i++) {
        g_autofree char *path =
            g_strdup_printf("/hostile/single/%s", singles[i].name);

        g_test_add_data_func(path, &singles[i], test_single);
    }
    rc = g_test_run();
    /* A path that is no case must not pass. */
    return rc == 0 && n_run == 0 ? 1 : rc;
}
