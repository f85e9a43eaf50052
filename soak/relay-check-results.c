/* Checks the records of a relay soak against the logs of the fake servers. */
#include <stdio.h>
#include <string.h>

#include "log-entry.h"
#include "relay.h"

/* Runs of one request at all runners. */
struct request_runs {
    int n;
    char organisation[16];
};

static void
for_each_log_entry(struct relay_soak *s, uint16_t port,
                   void (*handle_entry)(struct relay_soak *s, gpointer arg,
                                        JsonObject *entry),
                   gpointer arg)
{
    char *text = http_get(port, "/fake/seen");
    JsonParser *parser = json_parser_new();
    JsonArray *rows;

    g_assert_true(json_parser_load_from_data(parser, text, -1, NULL));
    rows = json_object_get_array_member(
        json_node_get_object(json_parser_get_root(parser)), "seen");
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        handle_entry(s, arg, json_array_get_object_element(rows, i));
    }
    g_object_unref(parser);
    g_free(text);
}

/*
 * Whether a disturbance overlaps the period, or ended less than
 * RELAY_STEADY_MS before it: hosts may lack store updates then.
 */
static bool
overlaps_disturbance(const struct relay_soak *s, int64_t from_ms,
                     int64_t until_ms)
{
    for (guint i = 0; i < s->disturbances->len; i++) {
        const struct relay_disturbance *row =
            &g_array_index(s->disturbances, struct relay_disturbance, i);

        if (row->from_ms <= until_ms &&
            (row->until_ms == 0 ||
             row->until_ms + RELAY_STEADY_MS >= from_ms)) {
            return true;
        }
    }
    return false;
}

/*
 * A draining runner, or one of an evacuated zone, must get no new request
 * after RELAY_DRAIN_MS.
 */
static void
check_drains(struct relay_soak *s, int runner, JsonObject *entry)
{
    int64_t at_ms = json_object_get_int_member(entry, "at_ms");

    for (int i = 0; s->timed && i < s->n_drains; i++) {
        const struct relay_drain *drain = &s->drains[i];

        if (drain->runner == runner &&
            at_ms > drain->from_ms + RELAY_DRAIN_MS &&
            at_ms < drain->until_ms &&
            !overlaps_disturbance(s, drain->from_ms, at_ms)) {
            fault_violation(&s->world,
                            "%s reached run-%d %" G_GINT64_FORMAT
                            " ms after it or its zone was to be drained",
                            log_entry_text(entry, "request"), runner,
                            at_ms - drain->from_ms);
        }
    }
}

struct runner_scan {
    GHashTable *runs;
    int runner;
};

static void
count_run(struct relay_soak *s, gpointer arg, JsonObject *entry)
{
    struct runner_scan *scan = arg;
    const char *id = log_entry_text(entry, "request");
    struct request_runs *run;

    if (strcmp(log_entry_text(entry, "what"), "ran") != 0) {
        return;
    }
    check_drains(s, scan->runner, entry);
    if (*log_entry_text(entry, "Key")) {
        fault_violation(&s->world, "run-%d received the caller's key of %s",
                        scan->runner, id);
    }
    run = g_hash_table_lookup(scan->runs, id);
    if (run == NULL) {
        run = g_new0(struct request_runs, 1);
        g_hash_table_insert(scan->runs, g_strdup(id), run);
    }
    run->n++;
    g_strlcpy(run->organisation, log_entry_text(entry, "Tenant"),
              sizeof(run->organisation));
}

static void
check_runs(struct relay_soak *s, const struct relay_record *record,
           const struct request_runs *run)
{
    const struct relay_key *key = &s->keys[record->key];
    char organisation[16];

    g_snprintf(organisation, sizeof(organisation), "org-%d", record->key);
    if (strcmp(run->organisation, organisation) != 0) {
        fault_violation(&s->world, "%s of %s ran for organisation %s",
                        record->id, organisation, run->organisation);
    }
    if (run->n > 1 &&
        (record->kind == RELAY_ONCE || record->kind == RELAY_STREAM)) {
        fault_violation(&s->world, "%s ran %d times", record->id, run->n);
    }
    if (run->n > 2) {
        fault_violation(&s->world, "%s ran %d times, more than twice",
                        record->id, run->n);
    }
    if (record->outcome == RELAY_NOT_RUN &&
        (record->kind == RELAY_ONCE || record->kind == RELAY_STREAM)) {
        fault_violation(&s->world, "%s ran, but its response said not-run",
                        record->id);
    }
    if (record->outcome == RELAY_UNKNOWN_KEY) {
        fault_violation(&s->world, "%s ran without a valid key", record->id);
    }
    if (s->timed && key->withdrawn_ms > 0 &&
        record->started_ms > key->withdrawn_ms + RELAY_REVOKE_MS) {
        fault_violation(&s->world,
                        "%s ran, though sent %" G_GINT64_FORMAT
                        " ms after its key was withdrawn",
                        record->id, record->started_ms - key->withdrawn_ms);
    }
}

static void
check_records(struct relay_soak *s, GHashTable *runs)
{
    static const char *const names[RELAY_OUTCOMES] = {
        "complete",          "not run",     "failed", "without a valid key",
        "connection failed", "disconnected"};
    int counts[RELAY_OUTCOMES] = {0};

    for (guint i = 0; i < s->records->len; i++) {
        const struct relay_record *record =
            &g_array_index(s->records, struct relay_record, i);
        const struct request_runs *run = g_hash_table_lookup(runs, record->id);

        counts[record->outcome]++;
        if (run != NULL) {
            check_runs(s, record, run);
        }
        else if (record->outcome == RELAY_COMPLETE) {
            fault_violation(&s->world,
                            "%s has a complete response, but no runner ran it",
                            record->id);
        }
    }
    for (int i = 0; i < RELAY_OUTCOMES; i++) {
        printf("calls %s: %d\n", names[i], counts[i]);
    }
}

struct usage_reports {
    int reports;
    /* Number of the usage window -> accepted body. */
    GHashTable *windows;
};

/* The number of the usage window in a report's body. */
static char *
report_window(const char *body)
{
    const char *start = strchr(body, ':');
    const char *end = start != NULL ? strchr(start, ',') : NULL;

    return end != NULL ? g_strndup(start + 1, (gsize)(end - start - 1))
                       : g_strdup("?");
}

/*
 * The store accepts only reports with fencing tokens that do not decrease; all
 * accepted reports of a window must have the same figures.
 */
static void
check_usage_report(struct relay_soak *s, gpointer arg, JsonObject *entry)
{
    struct usage_reports *usage_reports = arg;
    const char *body = log_entry_text(entry, "body");
    const char *reported;
    char *window;

    if (strcmp(log_entry_text(entry, "what"), "/usage") != 0 ||
        !json_object_get_boolean_member(entry, "accepted")) {
        return;
    }
    window = report_window(body);
    reported = g_hash_table_lookup(usage_reports->windows, window);
    usage_reports->reports++;
    if (reported != NULL && strcmp(reported, body) != 0) {
        fault_violation(&s->world, "window %s was reported as %s and as %s",
                        window, reported, body);
    }
    g_hash_table_insert(usage_reports->windows, window, g_strdup(body));
}

void
relay_check_results(struct relay_soak *s)
{
    struct usage_reports usage_reports = {
        .windows =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
    struct runner_scan scan = {
        .runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };

    for (; scan.runner < RELAY_RUNNERS; scan.runner++) {
        for_each_log_entry(s, s->runners[scan.runner].port, count_run, &scan);
    }
    check_records(s, scan.runs);
    for_each_log_entry(s, s->store.port, check_usage_report, &usage_reports);
    if (usage_reports.reports == 0) {
        fault_violation(&s->world, "no usage was reported");
    }
    printf("usage: %d reports of %u windows\n", usage_reports.reports,
           g_hash_table_size(usage_reports.windows));
    g_hash_table_destroy(usage_reports.windows);
    g_hash_table_destroy(scan.runs);
}
