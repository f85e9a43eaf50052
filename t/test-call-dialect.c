/* Tests of call-dialect.h: headers of calls and of responses, both ways. */
#include <string.h>

#include "call-dialect.h"
#include "error.h"

static const struct ct_dialect_ops *
ops(void)
{
    return ct_platform_dialect()->ops;
}

static int
parse_call_header(const char *name, const char *value,
                  struct ct_relay_call *call, bool *forwarded)
{
    return ops()->call_header(ct_platform_dialect(), name, value, call,
                              forwarded);
}

/* Which headers of a call are forwarded to the upstream unchanged. */
static void
test_forwarded_headers(void)
{
    static const struct {
        const char *name, *value;
        bool forwarded;
    } cases[] = {
        {"Host", "svc.example:80", true},
        {"Request-Id", "abc", true},
        {"request-id", "abc", true},
        {"Model", "m", true},
        {"Token-Count", "1460,80", true},
        {"Prefix-Hash", "5c1e:800,91bd:410", true},
        {"Length-Hint", "5", true},
        {"X-Anything", "", true},
        {"Key", "secret", false},
        {"Tenant", "acme", false},
        {"Deadline-Ms", "100", false},
        {"Expect-Instance", "i-1", false},
        {"Request-Priority", "0", false},
        {"Retain", "x", false},
        {"Pin-Ms", "4000", false},
        {"Kv-Backup", "1.1.1.1:1", false},
        {"Kv-From", "1.1.1.1:1/x", false},
        {"Kv-Fetch", "1.1.1.1:1", false},
        {"Last-Event-Id", "4", false},
        {"Connection", "keep-alive", false},
        {"Transfer-Encoding", "chunked", false},
        {"Content-Length", "3", false},
        {"Expect", "100-continue", false},
        {"TE", "trailers", false},
        {"Upgrade", "h2c", false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_call call = {0};
        bool forwarded = !cases[i].forwarded;

        g_assert_cmpint(parse_call_header(cases[i].name, cases[i].value, &call,
                                          &forwarded),
                        ==, CT_OK);
        g_assert_cmpint(forwarded, ==, cases[i].forwarded);
    }
}

/* Guards against a refusal of calls to the longest host name of DNS. */
static void
test_long_host(void)
{
    g_autofree char *host = g_strnfill(253, 'h');
    g_autofree char *value = g_strdup_printf("%s:8080", host);
    struct ct_relay_call call = {0};
    bool forwarded;

    g_assert_cmpint(parse_call_header("Host", value, &call, &forwarded), ==,
                    CT_OK);
    g_assert_cmpstr(call.authority.text, ==, host);
}

static void
test_parsed_headers(void)
{
    struct ct_relay_call call = {0};
    struct ct_relay_call other_call = {0};
    bool forwarded;

    parse_call_header("Host", "svc.example:8080", &call, &forwarded);
    parse_call_header("Request-Id", "9c41d07be2a35f68", &call, &forwarded);
    parse_call_header("Deadline-Ms", "12000", &call, &forwarded);
    parse_call_header("Last-Event-Id", "12", &call, &forwarded);
    parse_call_header("Token-Count", "1460,80", &call, &forwarded);
    parse_call_header("Key", "n2ctn", &call, &forwarded);
    parse_call_header("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                      &call, &forwarded);
    g_assert_cmpstr(call.authority.text, ==, "svc.example");
    g_assert_cmpstr(call.request_id.text, ==, "9c41d07be2a35f68");
    g_assert_cmpint(call.timeout_ms, ==, 12000);
    g_assert_cmpuint(call.last_event, ==, 12);
    g_assert_cmpuint(call.prompt_tokens, ==, 1460);
    g_assert_cmpuint(call.max_tokens, ==, 80);
    g_assert_true(call.has_key);
    /*
     * The last part of Prefix-Hash is unique to a call: calls that differ only
     * in it have the same home.
     */
    parse_call_header("Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,aaaaaaaa:99",
                      &other_call, &forwarded);
    g_assert_cmpuint(call.prefix_hash, ==, other_call.prefix_hash);
    parse_call_header("Prefix-Hash", "5c1e07a2:800,91bd3f07:410,aaaaaaaa:99",
                      &other_call, &forwarded);
    g_assert_cmpuint(call.prefix_hash, !=, other_call.prefix_hash);
}

/*
 * All parts are listed, the last one as the call's own, shared ones up to a
 * maximum; ids need not be hex.
 */
static void
test_prompt_parts(void)
{
    GString *long_list = g_string_new("1:5");
    struct ct_relay_call call = {0};
    bool forwarded;

    parse_call_header("Prefix-Hash", "5c1e07a2:800, 91BD:410,e4402b7d:250",
                      &call, &forwarded);
    g_assert_cmpuint(call.parts.n, ==, 3);
    g_assert_cmphex(call.parts.ids[0], ==, 0x5c1e07a2);
    g_assert_cmphex(call.parts.ids[1], ==, 0x91bd);
    g_assert_cmphex(call.parts.ids[2], ==, 0xe4402b7d);
    g_assert_true(call.parts.has_own);
    parse_call_header("Prefix-Hash", "e4402b7d:250", &call, &forwarded);
    g_assert_cmpuint(call.parts.n, ==, 1);
    parse_call_header("Prefix-Hash",
                      "any thing:1,"
                      "5c1e07a25c1e07a25c1e07a2:1,:,x",
                      &call, &forwarded);
    g_assert_cmpuint(call.parts.n, ==, 4);
    g_assert_cmphex(call.parts.ids[0], !=, call.parts.ids[1]);
    for (guint i = 0; i < 100; i++) {
        g_string_append(long_list, ",2:6");
    }
    g_string_append(long_list, ",3:7");
    parse_call_header("Prefix-Hash", long_list->str, &call, &forwarded);
    g_assert_cmpuint(call.parts.n, ==, CT_PROMPT_PARTS_MAX);
    g_assert_cmphex(call.parts.ids[CT_PROMPT_PARTS_MAX - 1], ==, 3);
    g_string_free(long_list, TRUE);
}

static void
test_bad_values(void)
{
    static const struct {
        const char *name, *value;
    } cases[] = {
        {"Deadline-Ms", "soon"},
        {"Deadline-Ms", "-1"},
        {"Deadline-Ms", "1e9"},
        {"Deadline-Ms", "99999999999"},
        {"Last-Event-Id", "x"},
        {"Token-Count", "many"},
        {"Request-Id", "0123456789012345678901234567890123456789"},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_call call = {0};
        bool forwarded;

        g_assert_cmpint(parse_call_header(cases[i].name, cases[i].value, &call,
                                          &forwarded),
                        <, 0);
    }
}

static bool
has_line(const struct curl_slist *lines, const char *line)
{
    for (; lines != NULL; lines = lines->next) {
        if (strcmp(lines->data, line) == 0) {
            return true;
        }
    }
    return false;
}

static void
test_attempt_headers(void)
{
    struct ct_relay_start start = {.rank = 12, .stream = true};
    struct ct_transfer transfer = {0};

    CT_TEXT_SET(start.upstream, "i-7f3a");
    CT_TEXT_SET(start.organisation, "acme");
    start.after_event = 8;
    CT_TEXT_SET(start.cache_donor, "10.1.0.7:8400");
    g_assert_cmpint(
        ops()->attempt_headers(ct_platform_dialect(), &start, 1234, &transfer),
        ==, CT_OK);
    g_assert_true(has_line(transfer.headers, "Expect-Instance: i-7f3a"));
    g_assert_true(has_line(transfer.headers, "Deadline-Ms: 1234"));
    g_assert_true(has_line(transfer.headers, "Tenant: acme"));
    g_assert_true(has_line(transfer.headers, "Request-Priority: 9"));
    g_assert_true(has_line(transfer.headers, "Last-Event-Id: 8"));
    g_assert_true(has_line(transfer.headers, "Kv-Fetch: 10.1.0.7:8400"));
    curl_slist_free_all(transfer.headers);
}

/* An attempt with a backup, and one that continues from it. */
static void
test_backup_headers(void)
{
    struct ct_relay_start start = {.stream = true, .from_backup = true};
    struct ct_transfer transfer = {0};

    CT_TEXT_SET(start.request_id, "9c41");
    CT_TEXT_SET(start.address, "10.1.0.7:8400");
    CT_TEXT_SET(start.cache_backup, "10.1.0.9:8400");
    start.after_event = 3;
    g_assert_cmpint(
        ops()->attempt_headers(ct_platform_dialect(), &start, 1234, &transfer),
        ==, CT_OK);
    g_assert_true(has_line(transfer.headers, "Kv-From: 10.1.0.7:8400/9c41"));
    g_assert_true(has_line(transfer.headers, "Kv-Backup: 10.1.0.9:8400"));
    g_assert_true(has_line(transfer.headers, "Last-Event-Id: 3"));
    curl_slist_free_all(transfer.headers);
}

static void
test_response_headers(void)
{
    static const struct {
        uint32_t status;
        const char *name, *value;
        bool forwarded, id, declined, proven;
    } cases[] = {
        {200, "Request-Id", "r1", true, true, false, false},
        {200, "Request-Id", "r2", true, false, false, false},
        {200, "Runner-Signature", "3e1b", true, false, false, true},
        {503, "Not-Executed", "1", true, false, true, false},
        {421, "Instance-Id", "i-2", false, false, true, false},
        {200, "Content-Length", "4", false, false, false, false},
        {200, "Connection", "close", false, false, false, false},
        {200, "Keep-Alive", "timeout=5", false, false, false, false},
        {200, "Content-Type", "text/event-stream", true, false, false, false},
        {200, "Weight-Versions", "4", true, false, false, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_upstream_response_head head = {.status = cases[i].status};
        struct ct_relay_start start = {.rank = 0};
        bool forwarded;

        CT_TEXT_SET(start.request_id, "r1");
        forwarded =
            ops()->response_header(ct_platform_dialect(), &start,
                                   cases[i].name, cases[i].value, &head);
        g_assert_cmpint(forwarded, ==, cases[i].forwarded);
        g_assert_cmpint(head.id_matches, ==, cases[i].id);
        g_assert_cmpint(head.declined, ==, cases[i].declined);
        g_assert_cmpint(head.proven, ==, cases[i].proven);
    }
}

static void
test_leaving(void)
{
    static const struct {
        const char *value;
        bool leaving, invalid;
    } cases[] = {{"1", true, false},  {"0", false, false},
                 {"", false, true},   {"true", false, true},
                 {"11", false, true}, {"-1", false, true},
                 {"1 1", false, true}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_upstream_response_head head = {.status = 200};
        struct ct_relay_start start = {.rank = 0};

        g_assert_true(ops()->response_header(ct_platform_dialect(), &start,
                                             "Server-Leaving", cases[i].value,
                                             &head));
        g_assert_cmpint(head.notice.leaving, ==, cases[i].leaving);
        g_assert_cmpint(head.notice.invalid, ==, cases[i].invalid);
    }
}

/* Only a refusal says for how long the upstream wants nothing. */
static void
test_pauses(void)
{
    static const struct {
        uint32_t status;
        const char *value;
        bool invalid;
        ct_ms pause_ms;
    } cases[] = {
        {503, "2", false, 2000},
        {503, "0.25", false, 250},
        {503, "31536000", false, 31536000000},
        {503, "0", false, 0},
        {429, "2", false, 0},
        {200, "2", false, 0},
        {503, "", true, 0},
        {503, "-1", true, 0},
        {503, "soon", true, 0},
        {503, "1e9", true, 0},
        {503, "nan", true, 0},
        {503, "2s", true, 0},
        {503, "99999999999", true, 0},
        {503, "11111111111111111111111111111111111111", true, 0},
        {503, "Sat, 05 Dec 2026 14:00:00 GMT", true, 0},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_upstream_response_head head = {.status = cases[i].status};
        struct ct_relay_start start = {.rank = 0};

        g_assert_true(ops()->response_header(ct_platform_dialect(), &start,
                                             "Retry-After", cases[i].value,
                                             &head));
        g_assert_cmpint(head.notice.invalid, ==, cases[i].invalid);
        g_assert_cmpint(head.notice.pause_ms, ==, cases[i].pause_ms);
    }
}

/* Limits that an upstream names; values that cannot be read are ignored. */
static void
test_limits(void)
{
    static const struct {
        const char *value;
        bool limited, invalid;
        int64_t permille;
    } cases[] = {
        {"3.2", true, false, 3200},
        {"0", true, false, 0},
        {"0.0004", true, false, 0},
        {"250", true, false, 250000},
        {"", false, true, 0},
        {"-1", false, true, 0},
        {"+1", false, true, 0},
        {"1e3", false, true, 0},
        {"0x10", false, true, 0},
        {"inf", false, true, 0},
        {"nan", false, true, 0},
        {"many", false, true, 0},
        {"3.2 a second", false, true, 0},
        {"1.2.3", false, true, 0},
        {"3,2", false, true, 0},
        {"9999999", false, true, 0},
        {"11111111111111111111111111111111111111", false, true, 0},
        {"0.0000000000000000000000000000000001", false, true, 0},
        {"Sat, 05 Dec 2026 14:00:00 GMT", false, true, 0},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_upstream_response_head head = {.status = 200};
        struct ct_relay_start start = {.rank = 0};

        g_assert_true(ops()->response_header(ct_platform_dialect(), &start,
                                             "server-limit", cases[i].value,
                                             &head));
        g_assert_cmpint(head.notice.limited, ==, cases[i].limited);
        g_assert_cmpint(head.notice.invalid, ==, cases[i].invalid);
        g_assert_cmpint(head.notice.limit_permille, ==, cases[i].permille);
    }
}

/* A response of any status says how long the upstream is still cold. */
static void
test_cold(void)
{
    static const struct {
        uint32_t status;
        const char *value;
        bool invalid;
        ct_ms cold_ms;
    } cases[] = {{200, "9000", false, 9000},
                 {503, "12.5", false, 12},
                 {421, "1", false, 1},
                 {200, "0", false, 0},
                 {200, "", true, 0},
                 {200, "-1", true, 0},
                 {200, "9s", true, 0},
                 {200, "nan", true, 0},
                 {200, "9999999999999", true, 0}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_upstream_response_head head = {.status = cases[i].status};
        struct ct_relay_start start = {.rank = 0};

        g_assert_true(ops()->response_header(
            ct_platform_dialect(), &start, "cold-ms", cases[i].value, &head));
        g_assert_cmpint(head.notice.invalid, ==, cases[i].invalid);
        g_assert_cmpint(head.notice.cold_ms, ==, cases[i].cold_ms);
    }
}

static void
test_own_responses(void)
{
    struct ct_host hosts[2];
    GString *out = g_string_new(NULL);
    char value[32];

    memset(hosts, 0, sizeof(hosts));
    CT_TEXT_SET(hosts[0].caller_address, "10.1.0.19:8227");
    CT_TEXT_SET(hosts[1].caller_address, "10.1.0.20:8227");
    ops()->addresses(ct_platform_dialect(), hosts, 2, 2000, out);
    g_assert_cmpstr(out->str, ==,
                    "{\"addrs\":[\"10.1.0.19:8227\",\"10.1.0.20:8227\"],"
                    "\"ttlS\":2}");
    g_assert_cmpstr(
        ops()->retry_after(ct_platform_dialect(), 250, value, sizeof(value)),
        ==, "Retry-After");
    g_assert_cmpstr(value, ==, "0.250");
    g_string_free(out, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call-dialect/forwarded-headers", test_forwarded_headers);
    g_test_add_func("/call-dialect/parsed-headers", test_parsed_headers);
    g_test_add_func("/call-dialect/long-host", test_long_host);
    g_test_add_func("/call-dialect/prompt-parts", test_prompt_parts);
    g_test_add_func("/call-dialect/bad-values", test_bad_values);
    g_test_add_func("/call-dialect/attempt-headers", test_attempt_headers);
    g_test_add_func("/call-dialect/backup-headers", test_backup_headers);
    g_test_add_func("/call-dialect/response-headers", test_response_headers);
    g_test_add_func("/call-dialect/leaving", test_leaving);
    g_test_add_func("/call-dialect/pauses", test_pauses);
    g_test_add_func("/call-dialect/limits", test_limits);
    g_test_add_func("/call-dialect/cold", test_cold);
    g_test_add_func("/call-dialect/own-responses", test_own_responses);
    return g_test_run();
}
