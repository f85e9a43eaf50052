/* Callers of the relay soak: a call adds a record and may add violations. */
#include <string.h>

#include <curl/curl.h>

#include "lib-platform.h"
#include "relay.h"

#define EVENTS 5
#define CALL_TIMEOUT_MS 10000
#define PAUSE_MAX_MS 30
/* Percentage of calls with one of the two newest keys. */
#define PERCENT_NEWEST_KEYS 30
#define STATUS_OK 200
#define STATUS_NO_KEY 401

struct caller {
    struct relay_soak *soak;
    GRand *random;
};

static const char *const paths[RELAY_KINDS] = {
    [RELAY_ONCE] = "/once/x",
    [RELAY_IDEMPOTENT] = "/any/x",
    [RELAY_RESUMABLE_STREAM] = "/s/res/x",
    [RELAY_STREAM] = "/s/str/x",
};

static bool
is_stream(enum relay_kind kind)
{
    return kind == RELAY_RESUMABLE_STREAM || kind == RELAY_STREAM;
}

/* Whether the body consists of the first n events in order, without a gap. */
static bool
has_events_in_order(const char *body, int *n)
{
    char event[64];
    const char *rest = body;

    for (*n = 0; *n < EVENTS; (*n)++) {
        g_snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", *n + 1,
                   *n + 1);
        if (!g_str_has_prefix(rest, event)) {
            break;
        }
        rest += strlen(event);
    }
    return *rest == '\0';
}

static void
check_stream(struct relay_soak *s, const struct relay_record *record,
             const struct http_reply *reply)
{
    int n;

    if (!has_events_in_order(reply->body->str, &n)) {
        fault_violation(&s->world, "events of %s are not in order: %s",
                        record->id, reply->body->str);
    }
    if (reply->error == CURLE_OK && n < EVENTS) {
        fault_violation(&s->world, "%s ended without an error after %d events",
                        record->id, n);
    }
}

/* Checks the request id, the proof and the body of a success response. */
static void
check_success(struct relay_soak *s, const struct relay_record *record,
              const struct http_reply *reply)
{
    char *id = http_reply_header(reply, PLATFORM_ID);
    char *proof = http_reply_header(reply, PLATFORM_PROOF);

    if (id == NULL || strcmp(id, record->id) != 0) {
        fault_violation(&s->world, "%s got the response of %s", record->id,
                        id);
    }
    if (proof == NULL) {
        fault_violation(&s->world, "%s got a success response without a proof",
                        record->id);
    }
    if (is_stream(record->kind)) {
        check_stream(s, record, reply);
    }
    else if (reply->error == CURLE_OK &&
             strcmp(reply->body->str, record->id) != 0) {
        fault_violation(&s->world, "%s got a wrong body: %s", record->id,
                        reply->body->str);
    }
    g_free(id);
    g_free(proof);
}

static bool
is_not_run_status(long status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static enum relay_outcome
outcome_of(struct relay_soak *s, const struct relay_record *record,
           const struct http_reply *reply, bool no_disruption)
{
    if (reply->error == CURLE_COULDNT_CONNECT) {
        return RELAY_CONNECT_FAILED;
    }
    if (reply->status == STATUS_OK) {
        check_success(s, record, reply);
        return reply->error == CURLE_OK ? RELAY_COMPLETE : RELAY_FAILED;
    }
    if (reply->error != CURLE_OK) {
        if (no_disruption) {
            fault_violation(&s->world,
                            "%s lost its connection to h%d: error %d",
                            record->id, record->host + 1, reply->error);
        }
        return RELAY_DISCONNECTED;
    }
    if (reply->status == STATUS_NO_KEY) {
        return RELAY_UNKNOWN_KEY;
    }
    return is_not_run_status(reply->status) ? RELAY_NOT_RUN : RELAY_FAILED;
}

void
relay_call(struct relay_soak *s, GRand *random, struct relay_record *record)
{
    struct relay_host *host = &s->hosts[record->host];
    gint disruptions = g_atomic_int_get(&host->disruptions);
    bool disrupted = g_atomic_int_get(&host->active_disruptions) > 0;
    char id_line[48];
    char key_line[48];
    const char *headers[] = {PLATFORM_HOST_HEADER, PLATFORM_TOKENS_HEADER,
                             id_line, key_line, NULL};
    struct http_call call = {
        .body = record->id,
        .headers = headers,
        .timeout_ms = CALL_TIMEOUT_MS,
    };
    struct http_reply reply;

    g_snprintf(record->id, sizeof(record->id), "%08x%08x", g_rand_int(random),
               g_random_int());
    g_snprintf(id_line, sizeof(id_line), PLATFORM_ID ": %s", record->id);
    g_snprintf(key_line, sizeof(key_line), "Key: %s",
               s->keys[record->key].text);
    record->started_ms = process_now_ms();
    http_call(host->process.port, paths[record->kind], &call, &reply);
    disrupted = disrupted || g_atomic_int_get(&host->active_disruptions) > 0 ||
                g_atomic_int_get(&host->disruptions) != disruptions;
    record->outcome = outcome_of(s, record, &reply, !disrupted);
    http_reply_free(&reply);
    g_mutex_lock(&s->lock);
    g_array_append_val(s->records, *record);
    g_mutex_unlock(&s->lock);
}

static gpointer
run_caller(gpointer arg)
{
    struct caller *caller = arg;
    struct relay_soak *s = caller->soak;
    GRand *random = caller->random;

    while (!g_atomic_int_get(&s->stop)) {
        int n_keys = g_atomic_int_get(&s->n_keys);
        struct relay_record record = {
            .kind = (enum relay_kind)g_rand_int_range(random, 0, RELAY_KINDS),
            .host = g_rand_int_range(random, 0, s->n_hosts),
        };

        if (g_rand_int_range(random, 0, 100) < PERCENT_NEWEST_KEYS) {
            record.key = g_rand_int_range(random, MAX(n_keys - 2, 0), n_keys);
        }
        relay_call(s, random, &record);
        ct_wait_ms(g_rand_int_range(random, 0, PAUSE_MAX_MS));
    }
    g_rand_free(random);
    g_free(caller);
    return NULL;
}

void
relay_start_callers(struct relay_soak *s, GThread **threads, int n)
{
    for (int i = 0; i < n; i++) {
        struct caller *caller = g_new0(struct caller, 1);

        caller->soak = s;
        caller->random = g_rand_new_with_seed(s->seed + 1 + (guint32)i);
        threads[i] = g_thread_new("caller", run_caller, caller);
    }
}
