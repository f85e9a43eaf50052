/* Checks the records of a soak against the logs of the fake servers. */
#include <stdio.h>
#include <string.h>

#include "log-entry.h"
#include "soak.h"

#define EXPLAIN_SAMPLES 50

/* Requests in the logs of all upstreams. */
struct upstream_runs {
    /* Request id -> times that an upstream began to run it. */
    GHashTable *by_request_id;
    /* Idempotency key -> times that an upstream began to run it. */
    GHashTable *by_idempotency_key;
};

static void
count_key(GHashTable *table, const char *key)
{
    int n = GPOINTER_TO_INT(g_hash_table_lookup(table, key));

    g_hash_table_insert(table, g_strdup(key), GINT_TO_POINTER(n + 1));
}

static void
count_upstream_run(struct soak *s, gpointer arg, JsonObject *entry)
{
    struct upstream_runs *runs = arg;
    const char *what = log_entry_text(entry, "what");

    (void)s;
    if (strcmp(what, "start") != 0 && strcmp(what, "ran") != 0) {
        return;
    }
    count_key(runs->by_request_id, log_entry_text(entry, "request_id"));
    if (*log_entry_text(entry, "Idempotency-Key")) {
        count_key(runs->by_idempotency_key,
                  log_entry_text(entry, "Idempotency-Key"));
    }
}

struct platform_calls {
    int64_t order_term;
    int64_t usage_term;
    int orders;
    int reports;
    /* Start of the usage window -> last reported figures. */
    GHashTable *windows;
};

static void
check_term(struct soak *s, const char *what, JsonObject *entry,
           int64_t *newest)
{
    int64_t term = json_object_get_int_member(entry, "term");

    if (term < *newest) {
        fault_violation(&s->world,
                        "%s of term %" G_GINT64_FORMAT
                        " after one of term %" G_GINT64_FORMAT,
                        what, term, *newest);
    }
    *newest = MAX(*newest, term);
}

static void
check_report(struct soak *s, struct platform_calls *calls, JsonObject *entry)
{
    char *window =
        g_strdup_printf("%" G_GINT64_FORMAT,
                        json_object_get_int_member(entry, "window_start_ms"));
    const char *figures = log_entry_text(entry, "figures");
    const char *reported = g_hash_table_lookup(calls->windows, window);

    calls->reports++;
    check_term(s, "report", entry, &calls->usage_term);
    if (reported && strcmp(reported, figures) != 0) {
        fault_violation(&s->world,
                        "window %s was reported with different figures",
                        window);
    }
    g_hash_table_insert(calls->windows, window, g_strdup(figures));
}

static void
check_platform_call(struct soak *s, gpointer arg, JsonObject *entry)
{
    struct platform_calls *calls = arg;
    const char *what = log_entry_text(entry, "what");

    if (strcmp(what, "order") == 0) {
        calls->orders++;
        check_term(s, "order", entry, &calls->order_term);
    }
    else if (strcmp(what, "usage") == 0) {
        check_report(s, calls, entry);
    }
}

/* Hosts must not pass callers' keys to upstreams or to the platform. */
static void
check_no_caller_keys(struct soak *s, const char *name, const char *text)
{
    const char *const keys[] = {s->d.alpha, s->d.beta, s->d.gamma};

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        if (strstr(text, keys[i])) {
            fault_violation(&s->world, "a caller's key reached %s", name);
        }
    }
    for (int i = 0; i < s->n_keys; i++) {
        if (strstr(text, s->keys[i].text)) {
            fault_violation(&s->world, "a caller's key reached %s", name);
        }
    }
}

static void
read_log(struct soak *s, const char *name, int i,
         void (*handle_entry)(struct soak *s, gpointer arg, JsonObject *entry),
         gpointer arg)
{
    char *path = deployment_log_path(&s->d, name, i);
    JsonParser *parser = json_parser_new();
    char *text = NULL;
    char **lines;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    check_no_caller_keys(s, name, text);
    lines = g_strsplit(text, "\n", -1);
    for (int k = 0; lines[k]; k++) {
        /* The last line of a killed process may be truncated. */
        if (json_parser_load_from_data(parser, lines[k], -1, NULL) &&
            json_parser_get_root(parser)) {
            handle_entry(s, arg,
                         json_node_get_object(json_parser_get_root(parser)));
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_object_unref(parser);
    g_free(path);
}

static void
check_record(struct soak *s, const struct soak_record *record,
             const struct upstream_runs *runs)
{
    int ran = GPOINTER_TO_INT(
        g_hash_table_lookup(runs->by_request_id, record->request_id));

    if (record->outcome == SOAK_OUTCOME_NOT_RUN && ran > 0) {
        fault_violation(&s->world,
                        "%s ran, but h%d responded not-run to its caller (%s)",
                        record->request_id, record->host + 1, record->reason);
    }
    if (record->outcome == SOAK_OUTCOME_COMPLETE && ran == 0) {
        fault_violation(&s->world,
                        "%s has a complete response, but no upstream ran it",
                        record->request_id);
    }
}

static void
check_calls(struct soak *s)
{
    struct upstream_runs runs = {.by_request_id = g_hash_table_new_full(
                                     g_str_hash, g_str_equal, g_free, NULL),
                                 .by_idempotency_key = g_hash_table_new_full(
                                     g_str_hash, g_str_equal, g_free, NULL)};
    GHashTableIter iter;
    gpointer key;
    gpointer n;

    for (int i = 0; i < SOAK_ENGINES; i++) {
        read_log(s, "engine", i, count_upstream_run, &runs);
    }
    for (int i = 0; i < SOAK_PLAINS; i++) {
        read_log(s, "plain", i, count_upstream_run, &runs);
    }
    for (guint i = 0; i < s->records->len; i++) {
        check_record(s, &g_array_index(s->records, struct soak_record, i),
                     &runs);
    }
    g_hash_table_iter_init(&iter, runs.by_idempotency_key);
    while (g_hash_table_iter_next(&iter, &key, &n)) {
        if (GPOINTER_TO_INT(n) > 1) {
            fault_violation(&s->world, "idempotency key %s ran %d times",
                            (const char *)key, GPOINTER_TO_INT(n));
        }
    }
    printf("upstreams ran %u requests, %u with idempotency keys\n",
           g_hash_table_size(runs.by_request_id),
           g_hash_table_size(runs.by_idempotency_key));
    g_hash_table_destroy(runs.by_request_id);
    g_hash_table_destroy(runs.by_idempotency_key);
}

static void
check_platform(struct soak *s)
{
    struct platform_calls calls = {
        .windows =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};

    read_log(s, "platform", 0, check_platform_call, &calls);
    printf("platform received %d orders, %d usage reports of %u windows\n",
           calls.orders, calls.reports, g_hash_table_size(calls.windows));
    g_hash_table_destroy(calls.windows);
}

static bool
host_explains(const struct soak *s, const char *request_id, int host)
{
    char *path = g_strdup_printf("/explain/%s", request_id);
    struct http_call call = {.timeout_ms = AWAIT_TIMEOUT_MS};
    struct http_reply reply;
    bool found;

    http_call(s->d.hosts[host].operator_port, path, &call, &reply);
    found = reply.status == 200;
    http_reply_free(&reply);
    g_free(path);
    return found;
}

/* Polls, because a host may not have appended the last refusals yet. */
static bool
await_explanation(const struct soak *s, const char *request_id, int host)
{
    int64_t until_ms = process_now_ms() + SOAK_PROPAGATION_MS;

    while (!host_explains(s, request_id, host)) {
        if (process_now_ms() > until_ms) {
            return false;
        }
        ct_wait_ms(PROCESS_POLL_INTERVAL_MS);
    }
    return true;
}

/*
 * Any host can explain a refusal that is in the log. A host that is not ready
 * knows no keys, so it cannot determine the organisation of the request and
 * appends no refusal; only that host explains it (docs/DESIGN.md, 5).
 */
static int
explaining_host(const struct soak_record *record)
{
    return strcmp(record->reason, "not-ready") == 0
               ? record->host
               : (record->host + 1) % SOAK_HOSTS;
}

/* Checks the newest refusals of hosts that have not restarted since. */
static void
check_refusals(struct soak *s)
{
    int checked = 0;

    for (guint i = s->records->len; i > 0 && checked < EXPLAIN_SAMPLES; i--) {
        const struct soak_record *record =
            &g_array_index(s->records, struct soak_record, i - 1);

        if (!*record->reason ||
            record->restarts !=
                g_atomic_int_get(&s->hosts[record->host].restarts)) {
            continue;
        }
        checked++;
        if (!await_explanation(s, record->request_id,
                               explaining_host(record))) {
            fault_violation(
                &s->world, "refusal of %s (%s at h%d) is not explained",
                record->request_id, record->reason, record->host + 1);
        }
    }
    printf("checked the explanations of %d refusals\n", checked);
}

static void
print_reasons(const struct soak *s)
{
    GHashTable *reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer reason;
    gpointer n;

    for (guint i = 0; i < s->records->len; i++) {
        count_key(reasons,
                  g_array_index(s->records, struct soak_record, i).reason);
    }
    g_hash_table_iter_init(&iter, reasons);
    while (g_hash_table_iter_next(&iter, &reason, &n)) {
        if (*(const char *)reason) {
            printf("refusals %s: %d\n", (const char *)reason,
                   GPOINTER_TO_INT(n));
        }
    }
    g_hash_table_destroy(reasons);
}

static void
print_outcomes(const struct soak *s)
{
    static const char *const names[] = {"complete",
                                        "refused not-run",
                                        "refused may-have-run",
                                        "aborted with an error event",
                                        "connection failed",
                                        "disconnected"};
    int counts[SOAK_OUTCOME_COUNT] = {0};

    for (guint i = 0; i < s->records->len; i++) {
        counts[g_array_index(s->records, struct soak_record, i).outcome]++;
    }
    for (int i = 0; i < SOAK_OUTCOME_COUNT; i++) {
        printf("calls %s: %d\n", names[i], counts[i]);
    }
}

void
soak_check_results(struct soak *s)
{
    print_outcomes(s);
    print_reasons(s);
    check_refusals(s);
    check_calls(s);
    check_platform(s);
}
