/* The command causes: counts relayed calls that failed, by cause. */
#include <gio/gio.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "effect.h"
#include "json-text.h"

#define STATUS_FIRST_ERROR 400
/* Calls of one cause whose times are kept for the median. */
#define TIMES_MAX 4096
#define UNKNOWN "-"

/* Failed calls of one route that ended alike. */
struct cause {
    /* Route, event, reason, outcome of the last attempt and status. */
    char *key;
    uint64_t calls;
    /* int64_t, milliseconds from the call's arrival to its end */
    GArray *elapsed_ms;
    /* Calls by the upstream of the last attempt. */
    GHashTable *upstreams;
};

struct report {
    GHashTable *causes;
    uint64_t calls;
    uint64_t failed;
};

static void
free_cause(gpointer data)
{
    struct cause *cause = data;

    g_free(cause->key);
    g_array_unref(cause->elapsed_ms);
    g_hash_table_unref(cause->upstreams);
    g_free(cause);
}

static struct cause *
find_cause(struct report *report, char *key)
{
    struct cause *cause = g_hash_table_lookup(report->causes, key);

    if (cause) {
        g_free(key);
        return cause;
    }
    cause = g_new0(struct cause, 1);
    cause->key = key;
    cause->elapsed_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    cause->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(report->causes, key, cause);
    return cause;
}

/* Returns the member as text; log lines write all values as texts. */
static const char *
get_field(JsonObject *line, const char *name)
{
    const char *text = ct_json_get_string(line, name);

    return text ? text : UNKNOWN;
}

static int64_t
get_number(JsonObject *line, const char *name)
{
    return g_ascii_strtoll(get_field(line, name), NULL, 10);
}

static void
count_upstream(struct cause *cause, const char *upstream)
{
    guint n =
        GPOINTER_TO_UINT(g_hash_table_lookup(cause->upstreams, upstream));

    g_hash_table_replace(cause->upstreams, g_strdup(upstream),
                         GUINT_TO_POINTER(n + 1));
}

/* Whether the line ends a call, and whether that failed. */
static bool
ends_call(JsonObject *line, bool *failed)
{
    int64_t event = get_number(line, "event");

    *failed = event != CT_LOG_RELAY_ENDED ||
              get_number(line, "status") >= STATUS_FIRST_ERROR;
    return event == CT_LOG_RELAY_ENDED || event == CT_LOG_RELAY_REFUSED ||
           event == CT_LOG_RELAY_BROKEN || event == CT_LOG_RELAY_GONE;
}

/*
 * Counts a rate-limited line, whose number is that of its occurrences; returns
 * whether it is one. Refused connections are no calls, and calls whose
 * response was aborted have a line of their own.
 */
static bool
count_limited_line(struct report *report, JsonObject *line)
{
    int64_t event = get_number(line, "event");
    uint64_t n = (uint64_t)MAX(get_number(line, "number"), 0);
    bool are_calls =
        event == CT_LOG_BODIES_SHED || event == CT_LOG_BODIES_STALLED ||
        event == CT_LOG_BODIES_OF_PEER || event == CT_LOG_CALLS_REJECTED;

    if (!are_calls && event != CT_LOG_CONNECTIONS_REFUSED &&
        event != CT_LOG_RESPONSES_UNREAD) {
        return false;
    }
    if (are_calls) {
        report->calls += n;
        report->failed += n;
    }
    find_cause(report,
               g_strdup_printf("%-12s %-14s %-16s %-14s %s", UNKNOWN,
                               get_field(line, "name"),
                               get_field(line, "reason"), UNKNOWN, UNKNOWN))
        ->calls += n;
    return true;
}

static void
count_line(struct report *report, JsonObject *line)
{
    struct cause *cause;
    int64_t elapsed_ms = get_number(line, "elapsed_ms");
    bool failed;

    if (count_limited_line(report, line) || !ends_call(line, &failed)) {
        return;
    }
    report->calls++;
    if (!failed) {
        return;
    }
    report->failed++;
    cause = find_cause(
        report, g_strdup_printf(
                    "%-12s %-14s %-16s %-14s %s", get_field(line, "other"),
                    get_field(line, "name"), get_field(line, "reason"),
                    get_field(line, "outcome"), get_field(line, "status")));
    cause->calls++;
    if (cause->elapsed_ms->len < TIMES_MAX) {
        g_array_append_val(cause->elapsed_ms, elapsed_ms);
    }
    count_upstream(cause, get_field(line, "upstream"));
}

/* Other programs may have put a time or a host's name before the object. */
static void
count_text(struct report *report, JsonParser *parser, const char *text)
{
    const char *object = strchr(text, '{');

    if (object && json_parser_load_from_data(parser, object, -1, NULL) &&
        JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        count_line(report, json_node_get_object(json_parser_get_root(parser)));
    }
}

static bool
read_log(struct report *report, const char *path)
{
    g_autoptr(GFile) file = g_file_new_for_path(path);
    g_autoptr(GFileInputStream) input = g_file_read(file, NULL, NULL);
    g_autoptr(GDataInputStream) lines = NULL;
    g_autoptr(JsonParser) parser = json_parser_new();
    char *text;

    if (!input) {
        return false;
    }
    lines = g_data_input_stream_new(G_INPUT_STREAM(input));
    while ((text = g_data_input_stream_read_line(lines, NULL, NULL, NULL))) {
        count_text(report, parser, text);
        g_free(text);
    }
    return true;
}

static gint
compare_causes(gconstpointer a, gconstpointer b)
{
    const struct cause *first = a;
    const struct cause *second = b;

    return first->calls != second->calls
               ? (first->calls < second->calls ? 1 : -1)
               : strcmp(first->key, second->key);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;

    return (first > second) - (first < second);
}

static int64_t
median_ms(struct cause *cause)
{
    if (cause->elapsed_ms->len == 0) {
        return 0;
    }
    g_array_sort(cause->elapsed_ms, compare_times);
    return g_array_index(cause->elapsed_ms, int64_t,
                         cause->elapsed_ms->len / 2);
}

/* Returns the upstream with most of the calls, and their number. */
static const char *
worst_upstream(const struct cause *cause, guint *calls)
{
    const char *worst = UNKNOWN;
    GHashTableIter iter;
    gpointer name;
    gpointer n;

    *calls = 0;
    g_hash_table_iter_init(&iter, cause->upstreams);
    while (g_hash_table_iter_next(&iter, &name, &n)) {
        if (GPOINTER_TO_UINT(n) > *calls) {
            *calls = GPOINTER_TO_UINT(n);
            worst = name;
        }
    }
    return worst;
}

static void
print_report(const struct report *report)
{
    GList *causes =
        g_list_sort(g_hash_table_get_values(report->causes), compare_causes);

    printf("%" PRIu64 " of %" PRIu64 " calls failed\n", report->failed,
           report->calls);
    for (GList *item = causes; item; item = item->next) {
        struct cause *cause = item->data;
        guint calls;
        const char *upstream = worst_upstream(cause, &calls);

        printf("%7" PRIu64 "  %s  median_ms=%" PRId64 " upstream=%s:%u\n",
               cause->calls, cause->key, median_ms(cause), upstream, calls);
    }
    g_list_free(causes);
}

static enum ct_exit
run_causes(const struct ct_arguments *arguments)
{
    struct report report = {
        .causes =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_cause),
    };
    enum ct_exit code = CT_EXIT_OK;

    for (int i = 0; i < arguments->n_words; i++) {
        if (!read_log(&report, arguments->words[i])) {
            fprintf(stderr, "coriandertrack: %s: cannot be read\n",
                    arguments->words[i]);
            code = CT_EXIT_USAGE;
        }
    }
    print_report(&report);
    g_hash_table_unref(report.causes);
    return code;
}

static const struct ct_command_ops causes_ops = {run_causes};

const struct ct_command ct_command_causes = {
    .ops = &causes_ops,
    .name = "causes",
    .synopsis = "LOG-FILE...",
    .summary = "count failed calls of relaying hosts by cause",
    .text =
        "    Reads the hosts' log lines and prints a line per cause, the\n"
        "    most frequent first: calls, route, event, reason, outcome of\n"
        "    the last attempt, status, median time to the end, and the\n"
        "    upstream with most of these calls. docs/OPERATIONS.md says\n"
        "    how to go on from there.\n",
    .min_words = 1,
    .max_words = 64,
};
