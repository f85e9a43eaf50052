/*
 * A lease holder that was stopped past the end of its term, and then
 * continues, must not act under that lease after another host has taken it.
 * Checked by the calls that the platform received.
 */
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lib-state.h"

#define ROLE_USAGE 1
/* A window lasts a minute, and its report waits for late tallies. */
#define WINDOW_AWAIT_MS 200000
#define CALLS_PER_ROUND 5

static struct deployment d;
static int64_t calls_made;

static void
make_calls(int host)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};

    for (int i = 0; i < CALLS_PER_ROUND; i++) {
        struct http_reply reply;

        deployment_call(&d, host, NULL, &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        http_reply_free(&reply);
        calls_made++;
    }
}

static JsonNode *
read_platform_calls(void)
{
    char *text = http_get(d.platform.port, "/fake/seen");
    JsonNode *root = json_from_string(text, NULL);

    g_free(text);
    return root;
}

static JsonArray *
seen_rows(JsonNode *seen)
{
    return json_object_get_array_member(json_node_get_object(seen), "seen");
}

/* Returns alpha's requests in one usage report. */
static int64_t
report_requests(JsonObject *report)
{
    const char *figures = json_object_get_string_member(report, "figures");
    const char *found = strstr(figures, "alpha ");

    return found ? g_ascii_strtoll(found + strlen("alpha "), NULL, 10) : 0;
}

/* Returns alpha's requests in all reports; repeated reports do not count. */
static int64_t
total_reported_requests(void)
{
    JsonNode *seen = read_platform_calls();
    JsonArray *rows = seen_rows(seen);
    int64_t sum = 0;

    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);

        if (strcmp(json_object_get_string_member(row, "what"), "usage") == 0 &&
            !json_object_get_boolean_member(row, "repeated")) {
            sum += report_requests(row);
        }
    }
    json_node_free(seen);
    return sum;
}

/*
 * No report follows one of a newer term, and none was refused: the platform
 * refuses a second report of a window if its figures differ.
 */
static void
check_reports(void)
{
    JsonNode *seen = read_platform_calls();
    JsonArray *rows = seen_rows(seen);
    int64_t newest_term = 0;
    int n = 0;

    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        int64_t term;

        if (strcmp(json_object_get_string_member(row, "what"), "usage") != 0) {
            continue;
        }
        term = json_object_get_int_member(row, "term");
        g_assert_false(json_object_get_boolean_member(row, "refused"));
        g_assert_cmpint(term, >=, newest_term);
        newest_term = MAX(newest_term, term);
        n++;
    }
    g_assert_cmpint(n, >, 0);
    json_node_free(seen);
}

static void
test_usage_holder_stopped(void)
{
    int holder;
    int successor;
    int reports;

    AWAIT(state_lease_holder(&d, ROLE_USAGE, -1) >= 0, AWAIT_TIMEOUT_MS);
    holder = state_lease_holder(&d, ROLE_USAGE, -1);
    for (int i = 0; i < d.n_hosts; i++) {
        make_calls(i);
    }
    process_signal(&d.hosts[holder].process, SIGSTOP);
    AWAIT(state_lease_holder(&d, ROLE_USAGE, holder) >= 0, AWAIT_TIMEOUT_MS);
    successor = state_lease_holder(&d, ROLE_USAGE, holder);
    make_calls(successor);
    AWAIT(HTTP_COUNT_SEEN(d.platform.port, "\"usage\"") > 0, WINDOW_AWAIT_MS);
    reports = HTTP_COUNT_SEEN(d.platform.port, "\"usage\"");
    process_signal(&d.hosts[holder].process, SIGCONT);
    AWAIT(state_count_leases(&d, holder, "LEASE_LOST", ROLE_USAGE) > 0,
          AWAIT_TIMEOUT_MS);
    make_calls(successor);
    AWAIT(HTTP_COUNT_SEEN(d.platform.port, "\"usage\"") > reports,
          WINDOW_AWAIT_MS);
    check_reports();
    AWAIT(total_reported_requests() == calls_made, WINDOW_AWAIT_MS);
    check_reports();
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 1, 1);
    g_test_add_func("/lease/usage-holder-stopped", test_usage_holder_stopped);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
