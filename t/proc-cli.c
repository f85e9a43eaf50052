/* Runs the command line as a process against the fake platform. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "lib-http.h"
#include "lib-process.h"
#include "lib-raw-server.h"

#define CLI "coriandertrack/coriandertrack"
#define DAEMON "coriandertrackd/coriandertrackd"
#define ARGUMENTS_MAX 12

/* Documented exit codes. */
enum {
    DONE = 0,
    USAGE = 1,
    REFUSED = 2,
    LOST = 3,
    UNAVAILABLE = 4,
    UNKNOWN = 5,
    NOT_FOUND = 6,
    PARTIAL = 7,
};

struct fixture {
    struct process platform;
    char *url;
    char *lagos;
    char *anatolia;
};

static char *
source_path(const char *path)
{
    const char *source = g_getenv("CT_SOURCE_DIR");

    return g_build_filename(source ? source : ".", path, NULL);
}

static void
set_up(struct fixture *f, gconstpointer data)
{
    (void)data;
    PROCESS_START(&f->platform, "t/fake/fake-platform", NULL);
    f->url =
        g_strdup_printf("--platform=http://127.0.0.1:%u", f->platform.port);
    f->lagos = source_path("examples/lagos");
    f->anatolia = source_path("examples/anatolia");
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
    (void)data;
    process_kill(&f->platform);
    g_free(f->url);
    g_free(f->lagos);
    g_free(f->anatolia);
}

/*
 * Runs the command line with the arguments in text, separated by spaces, and
 * returns its exit code; output may be NULL.
 */
static int
run_command(char **output, const char *text)
{
    g_auto(GStrv) words = g_strsplit(text, " ", ARGUMENTS_MAX);

    return process_run(CLI, (const char *const *)words, output);
}

/*
 * Runs a command with the --platform option; checks its exit code, and that
 * its output contains the part.
 */
static void
expect_output(struct fixture *f, int code, const char *part,
              const char *format, ...)
{
    g_autofree char *text = NULL;
    g_autofree char *command = NULL;
    g_autofree char *output = NULL;
    va_list arguments;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    command = g_strdup_printf("%s %s", text, f->url);
    g_test_message("%s", command);
    g_assert_cmpint(run_command(&output, command), ==, code);
    if (!strstr(output, part)) {
        g_error("%s not in: %s", part, output);
    }
}

static void
set_platform(struct fixture *f, const char *json)
{
    http_set(f->platform.port, "/fake/set", json);
}

static char *
read_log(struct fixture *f)
{
    return http_get(f->platform.port, "/log/read?from=1&max=256&wait_ms=0");
}

static void
test_command_line(void)
{
    static const struct {
        const char *text;
        int code;
    } cases[] = {
        {"help", DONE},
        {"--help", DONE},
        {"help key withdraw", DONE},
        {"publish --help", DONE},
        {"help nothing", USAGE},
        {"nothing", USAGE},
        {"key", USAGE},
        {"check", USAGE},
        {"check --unknown=1", USAGE},
        {"check x --label=y", USAGE},
        {"publish x", USAGE},
        {"publish --platform=http://127.0.0.1:1", USAGE},
        {"publish x --platform=127.0.0.1:1", USAGE},
        {"publish x --platform=http://127.0.0.1:1 --base=x", USAGE},
        {"publish x --platform=http://127.0.0.1:1 --base=-1", USAGE},
        {"key grant a --platform=http://127.0.0.1:1", USAGE},
        {"key grant a/b --label=l --platform=http://127.0.0.1:1", USAGE},
        {"key withdraw --platform=http://127.0.0.1:1", USAGE},
        {"key withdraw l --digest=00 --platform=http://127.0.0.1:1", USAGE},
        {"key withdraw --digest=00 --platform=http://127.0.0.1:1", USAGE},
        {"explain a/b --host=127.0.0.1:1", USAGE},
        {"status", USAGE},
        {"check /nonexistent", REFUSED},
        {"key list --platform=http://127.0.0.1:1", UNAVAILABLE},
        {"status --host=127.0.0.1:1", UNAVAILABLE},
        {"drain --host=127.0.0.1:1", UNAVAILABLE},
        {"explain 0190 --host=127.0.0.1:1", UNAVAILABLE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].text);
        g_assert_cmpint(run_command(NULL, cases[i].text), ==, cases[i].code);
    }
}

static void
test_publish(struct fixture *f, gconstpointer data)
{
    (void)data;
    expect_output(f, DONE, "in force at offset 1\n", "publish %s", f->lagos);
    expect_output(f, DONE, "in force at offset 2\n", "publish %s",
                  f->anatolia);
    expect_output(f, LOST, "lost to offset 2\n", "publish %s --base=1",
                  f->lagos);
    expect_output(f, DONE, "in force at offset 3\n", "publish %s --base=2",
                  f->lagos);
}

/* A configuration with an error is refused and not written to the log. */
static void
test_publish_refused(struct fixture *f, gconstpointer data)
{
    g_autofree char *dir = g_dir_make_tmp("ct-cli-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(dir, "x.json", NULL);
    g_autofree char *log = NULL;

    (void)data;
    g_file_set_contents(file, "{\"hosts\":[]}", -1, NULL);
    expect_output(f, REFUSED, "", "publish %s", dir);
    log = read_log(f);
    g_assert_nonnull(strstr(log, "\"head\":0"));
    g_unlink(file);
    g_rmdir(dir);
}

/*
 * If two operators publish from the same base offset, one publish succeeds and
 * the other exits with LOST.
 */
static void
test_publish_race(struct fixture *f, gconstpointer data)
{
    const char *const first[] = {"publish", f->lagos, f->url, "--base=1",
                                 NULL};
    const char *const second[] = {"publish", f->anatolia, f->url, "--base=1",
                                  NULL};
    struct process operators[2];
    int codes[2];

    (void)data;
    expect_output(f, DONE, "in force at offset 1\n", "publish %s", f->lagos);
    /* The delay lets both read the log before either appends. */
    set_platform(f, "{\"delay_ms\":300}");
    process_spawn(&operators[0], CLI, first);
    process_spawn(&operators[1], CLI, second);
    for (int i = 0; i < 2; i++) {
        codes[i] = process_wait(&operators[i], 60000);
    }
    g_assert_cmpint(MIN(codes[0], codes[1]), ==, DONE);
    g_assert_cmpint(MAX(codes[0], codes[1]), ==, LOST);
}

/*
 * If the response to an append is lost, the command finds its entry in the log
 * and succeeds.
 */
static void
test_lost_response(struct fixture *f, gconstpointer data)
{
    (void)data;
    set_platform(f, "{\"lose_answers\":1}");
    expect_output(f, DONE, "in force at offset 1\n", "publish %s", f->lagos);
    set_platform(f, "{\"lose_answers\":1}");
    expect_output(f, DONE, "ct-", "key grant faculty-of-law --label=desk");
    expect_output(f, DONE, "desk", "key list");
}

/*
 * If an append was sent and has neither a response nor an entry that can be
 * read, the command exits with UNKNOWN: it may have taken effect.
 */
static void
test_unknown_outcome(void)
{
    static const struct raw_reply replies[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n"
         "{\"first\":1,\"head\":0,\"entries\":[]}",
         RAW_KEEP_ALIVE},
        {NULL, RAW_CLOSE},
        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", RAW_KEEP_ALIVE},
    };
    struct raw_server *server = raw_server_new(replies, G_N_ELEMENTS(replies));
    g_autofree char *lagos = source_path("examples/lagos");
    g_autofree char *command =
        g_strdup_printf("publish %s --platform=http://%s --timeout=300", lagos,
                        raw_server_address(server));

    g_assert_cmpint(run_command(NULL, command), ==, UNKNOWN);
    raw_server_free(server);
}

static void
test_platform_outage(struct fixture *f, gconstpointer data)
{
    static const char *const outages[] = {"{\"outage\":1}", "{\"outage\":2}"};

    (void)data;
    expect_output(f, DONE, "in force at offset 1\n", "publish %s", f->lagos);
    for (size_t i = 0; i < G_N_ELEMENTS(outages); i++) {
        set_platform(f, outages[i]);
        expect_output(f, UNAVAILABLE, "", "publish %s --timeout=300",
                      f->lagos);
        expect_output(f, UNAVAILABLE, "", "key list --timeout=300");
        expect_output(f, UNAVAILABLE, "", "key withdraw desk --timeout=300");
        expect_output(f, PARTIAL, "did not confirm",
                      "key withdraw --host=127.0.0.1:1 --timeout=300 --digest="
                      "00112233445566778899aabbccddeeff"
                      "00112233445566778899aabbccddeeff");
    }
    set_platform(f, "{\"outage\":0}");
    expect_output(f, DONE, "in force at offset 2\n", "publish %s", f->lagos);
}

/* Fails if any log entry contains the text. */
static void
assert_not_in_log(struct fixture *f, const char *text)
{
    g_autofree char *log = read_log(f);
    const char *p = log;
    int n = 0;

    while ((p = strstr(p, "\"data\":\""))) {
        g_autofree char *base64 = NULL;
        g_autofree guchar *bytes = NULL;
        gsize length;

        p += strlen("\"data\":\"");
        base64 = g_strndup(p, strcspn(p, "\""));
        bytes = g_base64_decode(base64, &length);
        g_assert_null(memmem(bytes, length, text, strlen(text)));
        n++;
    }
    g_assert_cmpint(n, >, 0);
}

static void
test_keys(struct fixture *f, gconstpointer data)
{
    g_autofree char *command = NULL;
    g_autofree char *key = NULL;
    g_autofree char *digest = NULL;

    (void)data;
    expect_output(f, DONE, "in force", "publish %s", f->lagos);
    command =
        g_strdup_printf("key grant faculty-of-law --label=desk %s", f->url);
    g_assert_cmpint(run_command(&key, command), ==, DONE);
    g_strchomp(key);
    g_assert_true(g_str_has_prefix(key, "ct-"));
    g_assert_cmpuint(strlen(key), ==, 3 + 64);
    assert_not_in_log(f, key + 3);
    expect_output(f, REFUSED, "", "key grant faculty-of-law --label=desk");
    expect_output(f, REFUSED, "", "key grant nobody --label=other");
    expect_output(f, DONE, "granted", "key list");
    expect_output(f, NOT_FOUND, "", "key withdraw other");
    expect_output(f, DONE, "withdrawn at offset", "key withdraw desk");
    expect_output(f, DONE, "withdrawn", "key list");
    digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    expect_output(f, DONE, digest, "key list");
}

/* Starts the daemon of one host of the Lagos example on free ports. */
static void
start_host(struct fixture *f, struct process *host)
{
    g_autofree char *dir = g_dir_make_tmp("ct-cli-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(dir, "host.json", NULL);
    g_autofree char *settings =
        g_strdup_printf("{\"host\":\"lagos-host-1\",\"zone\":\"Ikeja\","
                        "\"caller_address\":\"127.0.0.1:0\","
                        "\"operator_address\":\"127.0.0.1:0\","
                        "\"peer_address\":\"127.0.0.1:0\","
                        "\"platform\":\"http://127.0.0.1:%u\","
                        "\"peer_secret\":\"0123456789abcdef\"}",
                        f->platform.port);

    g_file_set_contents(file, settings, -1, NULL);
    PROCESS_START(host, DAEMON, "--config", file);
    g_unlink(file);
    g_rmdir(dir);
}

static bool
is_ready(const struct process *host)
{
    g_autofree char *command =
        g_strdup_printf("status --host=127.0.0.1:%u", host->second_port);
    g_autofree char *output = NULL;

    return run_command(&output, command) == DONE && strstr(output, " ready ");
}

/* Makes a call that is refused with this status; returns its request id. */
static char *
make_refused_call(const struct process *host, const char *key, long status)
{
    g_autofree char *authorization =
        g_strdup_printf("Authorization: Bearer %s", key);
    const char *const headers[] = {authorization, NULL};
    const struct http_call call = {
        .body = "{}", .headers = headers, .timeout_ms = 30000};
    struct http_reply reply;
    char *id;

    http_call(host->port, "/v1/bookings/confirm", &call, &reply);
    g_assert_cmpint(reply.status, ==, status);
    id = http_reply_header(&reply, "X-Request-Id");
    g_assert_nonnull(id);
    http_reply_free(&reply);
    return id;
}

static void
expect_host_output(const struct process *host, int code, const char *part,
                   const char *command)
{
    g_autofree char *text =
        g_strdup_printf("%s --host=127.0.0.1:%u", command, host->second_port);
    g_autofree char *output = NULL;

    g_test_message("%s", text);
    g_assert_cmpint(run_command(&output, text), ==, code);
    if (!strstr(output, part)) {
        g_error("%s not in: %s", part, output);
    }
}

static void
test_host_commands(struct fixture *f, gconstpointer data)
{
    g_autofree char *command =
        g_strdup_printf("key grant faculty-of-law --label=desk %s", f->url);
    g_autofree char *explain = NULL;
    g_autofree char *key = NULL;
    g_autofree char *id = NULL;
    struct process host;

    (void)data;
    expect_output(f, DONE, "in force", "publish %s", f->lagos);
    g_assert_cmpint(run_command(&key, command), ==, DONE);
    g_strchomp(key);
    start_host(f, &host);
    AWAIT(is_ready(&host), 60000);
    /* The call lacks the idempotency key that the route requires. */
    id = make_refused_call(&host, key, 400);
    explain = g_strdup_printf("explain %s", id);
    expect_host_output(&host, DONE, "type=\"idempotency-key-required\"",
                       explain);
    expect_host_output(&host, DONE, "organisation=\"faculty-of-law\"",
                       explain);
    expect_host_output(&host, NOT_FOUND, "", "explain 0190-unknown");
    expect_host_output(&host, DONE, " draining", "drain");
    g_assert_cmpint(process_wait(&host, 60000), ==, 0);
}

/*
 * While the log is unavailable, the command withdraws a key at the given host
 * only, and exits with PARTIAL. Running it again after the outage appends the
 * withdrawal to the log.
 */
static void
test_withdraw_at_host(struct fixture *f, gconstpointer data)
{
    g_autofree char *command =
        g_strdup_printf("key grant faculty-of-law --label=desk %s", f->url);
    g_autofree char *digest = NULL;
    g_autofree char *key = NULL;
    g_autofree char *id = NULL;
    struct process host;

    (void)data;
    expect_output(f, DONE, "in force", "publish %s", f->lagos);
    g_assert_cmpint(run_command(&key, command), ==, DONE);
    g_strchomp(key);
    digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    start_host(f, &host);
    AWAIT(is_ready(&host), 60000);
    set_platform(f, "{\"outage\":1}");
    expect_output(
        f, PARTIAL, "confirmed: lagos-host-1",
        "key withdraw --digest=%s --host=127.0.0.1:%u --timeout=5000", digest,
        host.second_port);
    set_platform(f, "{\"outage\":0}");
    AWAIT(is_ready(&host), 60000);
    id = make_refused_call(&host, key, 401);
    g_assert_cmpuint(strlen(id), ==, 36);
    /* The other hosts of the configuration are not running. */
    expect_output(f, PARTIAL, "withdrawn at offset ",
                  "key withdraw desk --host=127.0.0.1:%u", host.second_port);
    expect_output(f, DONE, "withdrawn", "key list");
    process_kill(&host);
}

#define ADD(name, function)                                                   \
    g_test_add("/cli/" name, struct fixture, NULL, set_up, function, tear_down)

/*
 * Failed calls are counted by cause, also those for which one line stands;
 * lines that are no calls are ignored.
 */
static void
test_causes(void)
{
    static const char log[] =
        "1.5 h1 {\"event\":\"1701\",\"name\":\"RELAY_ENDED\","
        "\"other\":\"r1\",\"status\":\"200\",\"outcome\":\"complete\"}\n"
        "{\"event\":\"1702\",\"name\":\"RELAY_REFUSED\",\"other\":\"r1\","
        "\"reason\":\"upstream-full\",\"outcome\":\"declined\","
        "\"status\":\"503\",\"elapsed_ms\":\"30\",\"upstream\":\"u1\"}\n"
        "{\"event\":\"1702\",\"name\":\"RELAY_REFUSED\",\"other\":\"r1\","
        "\"reason\":\"upstream-full\",\"outcome\":\"declined\","
        "\"status\":\"503\",\"elapsed_ms\":\"10\",\"upstream\":\"u1\"}\n"
        "{\"event\":\"1704\",\"name\":\"RELAY_GONE\",\"other\":\"r2\","
        "\"elapsed_ms\":\"2000\"}\n"
        "{\"event\":\"1705\",\"name\":\"RELAY_REPEATED\"}\n"
        "{\"event\":\"1851\",\"name\":\"BODIES_SHED\","
        "\"reason\":\"body-memory\",\"number\":\"2\"}\n"
        "{\"event\":\"1851\",\"name\":\"BODIES_SHED\","
        "\"reason\":\"body-memory\",\"number\":\"5\"}\n"
        "{\"event\":\"1853\",\"name\":\"BODIES_WAITING\","
        "\"number\":\"9\"}\n"
        "listening {not an object\n{\"event\": 7, \"status\": null}\n[1]\n";
    char *path = g_build_filename(g_get_tmp_dir(), "ct-causes-XXXXXX", NULL);
    char *command;
    char *output;

    g_close(g_mkstemp(path), NULL);
    g_assert_true(g_file_set_contents(path, log, -1, NULL));
    command = g_strdup_printf("causes %s", path);
    g_assert_cmpint(run_command(&output, command), ==, DONE);
    g_assert_true(g_str_has_prefix(output, "10 of 11 calls failed\n"
                                           "      7  - "));
    g_assert_nonnull(strstr(output, "BODIES_SHED    body-memory"));
    g_assert_nonnull(strstr(output, "\n      2  r1 "));
    g_assert_nonnull(
        strstr(output, "median_ms=30 upstream=u1:2\n      1  r2"));
    g_free(output);
    g_unlink(path);
    g_assert_cmpint(run_command(NULL, command), ==, USAGE);
    g_free(command);
    g_free(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cli/command-line", test_command_line);
    g_test_add_func("/cli/unknown-outcome", test_unknown_outcome);
    g_test_add_func("/cli/causes", test_causes);
    ADD("publish", test_publish);
    ADD("publish-refused", test_publish_refused);
    ADD("publish-race", test_publish_race);
    ADD("lost-response", test_lost_response);
    ADD("platform-outage", test_platform_outage);
    ADD("keys", test_keys);
    ADD("host-commands", test_host_commands);
    ADD("withdraw-at-host", test_withdraw_at_host);
    return g_test_run();
}
