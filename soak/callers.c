/* Callers of the soak: each call adds a record and may add violations. */
#include <string.h>

#include <curl/curl.h>

#include "name.h"
#include "soak.h"

#define TOKENS 8
#define CALL_TIMEOUT_MS 45000
#define PAUSE_MAX_MS 40
/*
 * Cumulative percentages of streams, other chat calls and bookings among the
 * calls; the rest are lookups.
 */
#define PERCENT_STREAM 45
#define PERCENT_NON_STREAM 55
#define PERCENT_BOOK 85
/* Percentage of failed bookings that are repeated with the same key. */
#define PERCENT_REPEAT 60
#define PERCENT_RANDOM_KEY 30

struct caller {
    struct soak *soak;
    GRand *random;
    /* Key of the booking to repeat, or "". */
    char idempotency_key[40];
};

static const char *
token_text(const char *id, int token, char *out, size_t size)
{
    uint64_t hash = ct_hash_bytes(CT_HASH_SEED, id, (uint32_t)strlen(id));

    g_snprintf(out, size, "w%08x-%d ", (uint32_t)hash, token);
    return out;
}

/* Whether the body has all tokens of this request, with no other between. */
static bool
has_all_tokens(const char *body, const char *id, bool stream)
{
    char word[64];

    for (int i = 0; i < TOKENS; i++) {
        body = strstr(body, "w");
        while (body && !g_str_has_prefix(
                           body, token_text(id, i, word, sizeof(word)))) {
            if (strchr("0123456789abcdef", body[1]) &&
                strchr(body, '-') == body + 9) {
                return false;
            }
            body = strstr(body + 1, "w");
        }
        if (!body) {
            return false;
        }
        body += strlen(word);
    }
    return !stream || g_str_has_suffix(body, "data: [DONE]\n\n");
}

static bool
response_matches(const struct soak_record *record, const char *body)
{
    char *expected;
    bool matches;

    if (record->kind == SOAK_STREAM || record->kind == SOAK_NON_STREAM) {
        return has_all_tokens(body, record->request_id,
                              record->kind == SOAK_STREAM);
    }
    expected = g_strdup_printf("\"request_id\":\"%s\"", record->request_id);
    matches = strstr(body, expected) != NULL;
    g_free(expected);
    return matches;
}

static void
copy_header(const struct http_reply *reply, const char *name, char *out,
            size_t size)
{
    char *value = http_reply_header(reply, name);

    g_strlcpy(out, value ? value : "", size);
    g_free(value);
}

static enum soak_outcome
outcome_of(struct soak *s, const struct soak_record *record,
           const struct http_reply *reply, bool no_disruption)
{
    char state[16];

    if (reply->error == CURLE_COULDNT_CONNECT) {
        return SOAK_OUTCOME_CONNECT_FAILED;
    }
    if (strstr(reply->body->str, "event: error")) {
        return SOAK_OUTCOME_ABORTED;
    }
    if (reply->error != CURLE_OK) {
        if (no_disruption) {
            fault_violation(&s->world,
                            "connection to h%d lost: %s, error %d, %zu bytes",
                            record->host + 1, record->request_id, reply->error,
                            reply->body->len);
        }
        return SOAK_OUTCOME_DISCONNECTED;
    }
    if (reply->status == 200) {
        if (!response_matches(record, reply->body->str)) {
            fault_violation(&s->world, "incomplete response to %s: %s",
                            record->request_id, reply->body->str);
        }
        return SOAK_OUTCOME_COMPLETE;
    }
    copy_header(reply, "X-Run-State", state, sizeof(state));
    if (strcmp(state, "not-run") == 0) {
        return SOAK_OUTCOME_NOT_RUN;
    }
    if (strcmp(state, "may-have-run") != 0) {
        fault_violation(&s->world, "response %ld has no valid X-Run-State: %s",
                        reply->status, reply->body->str);
    }
    return SOAK_OUTCOME_MAY_HAVE_RUN;
}

static void
add_record(struct soak *s, const struct soak_record *record)
{
    g_mutex_lock(&s->lock);
    g_array_append_val(s->records, *record);
    g_mutex_unlock(&s->lock);
}

/* A key withdrawn SOAK_PROPAGATION_MS before the call must be refused. */
static void
check_withdrawn_key(struct soak *s, const struct soak_key *key,
                    bool was_withdrawn, const struct soak_record *record)
{
    if (was_withdrawn && record->outcome == SOAK_OUTCOME_COMPLETE &&
        record->started_ms > key->withdrawn_ms + SOAK_PROPAGATION_MS) {
        fault_violation(
            &s->world,
            "%s ran %" G_GINT64_FORMAT " ms after its key was withdrawn",
            record->request_id, record->started_ms - key->withdrawn_ms);
    }
}

static void
make_call(struct caller *caller, struct soak_record *record,
          const struct soak_key *key)
{
    static const char *const paths[] = {CHAT_PATH, CHAT_PATH, "/v1/book",
                                        "/v1/stock"};
    static const char *const bodies[] = {CHAT_STREAM, CHAT_NOT_STREAMED, "{}",
                                         "{}"};
    struct soak *s = caller->soak;
    struct soak_host *host = &s->hosts[record->host];
    struct caller_call call = {.key = key->text,
                               .path = paths[record->kind],
                               .body = bodies[record->kind],
                               .timeout_ms = CALL_TIMEOUT_MS};
    bool was_withdrawn = g_atomic_int_get(&key->withdrawn);
    gint disruptions = g_atomic_int_get(&host->disruptions);
    bool disrupted = g_atomic_int_get(&host->active_disruptions) > 0;
    struct http_reply reply;

    if (record->kind == SOAK_BOOK) {
        call.idempotency_key = record->idempotency_key;
    }
    record->restarts = g_atomic_int_get(&host->restarts);
    record->started_ms = process_now_ms();
    deployment_call(&s->d, record->host, NULL, &call, &reply);
    copy_header(&reply, "X-Request-Id", record->request_id,
                sizeof(record->request_id));
    copy_header(&reply, "X-Refusal", record->reason, sizeof(record->reason));
    disrupted = disrupted || g_atomic_int_get(&host->active_disruptions) > 0 ||
                g_atomic_int_get(&host->disruptions) != disruptions;
    record->outcome = outcome_of(s, record, &reply, !disrupted);
    check_withdrawn_key(s, key, was_withdrawn, record);
    http_reply_free(&reply);
    add_record(s, record);
}

static enum soak_kind
choose_kind(struct caller *caller)
{
    int percent = g_rand_int_range(caller->random, 0, 100);

    if (percent < PERCENT_STREAM) {
        return SOAK_STREAM;
    }
    if (percent < PERCENT_NON_STREAM) {
        return SOAK_NON_STREAM;
    }
    return percent < PERCENT_BOOK ? SOAK_BOOK : SOAK_STOCK;
}

/* Chooses a random key, or the first, which is never withdrawn. */
static const struct soak_key *
choose_key(struct caller *caller)
{
    int n = g_atomic_int_get(&caller->soak->n_keys);

    if (g_rand_int_range(caller->random, 0, 100) < PERCENT_RANDOM_KEY) {
        return &caller->soak->keys[g_rand_int_range(caller->random, 0, n)];
    }
    return &caller->soak->keys[0];
}

static void
call_once(struct caller *caller)
{
    struct soak_record record = {
        .kind = choose_kind(caller),
        .host = g_rand_int_range(caller->random, 0, SOAK_HOSTS)};

    if (record.kind == SOAK_BOOK) {
        if (!*caller->idempotency_key) {
            deployment_idempotency_key(caller->idempotency_key);
        }
        g_strlcpy(record.idempotency_key, caller->idempotency_key,
                  sizeof(record.idempotency_key));
    }
    make_call(caller, &record, choose_key(caller));
    if (record.kind == SOAK_BOOK &&
        (record.outcome == SOAK_OUTCOME_COMPLETE ||
         g_rand_int_range(caller->random, 0, 100) >= PERCENT_REPEAT)) {
        *caller->idempotency_key = '\0';
    }
}

static gpointer
run_caller(gpointer arg)
{
    struct caller *caller = arg;

    while (!g_atomic_int_get(&caller->soak->stop)) {
        call_once(caller);
        ct_wait_ms(g_rand_int_range(caller->random, 0, PAUSE_MAX_MS));
    }
    g_rand_free(caller->random);
    g_free(caller);
    return NULL;
}

void
soak_start_callers(struct soak *s, GThread **threads, int n)
{
    for (int i = 0; i < n; i++) {
        struct caller *caller = g_new0(struct caller, 1);

        caller->soak = s;
        caller->random = g_rand_new_with_seed(s->seed + 1 + (guint32)i);
        threads[i] = g_thread_new("caller", run_caller, caller);
    }
}
