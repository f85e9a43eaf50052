/*
 * A soak: eight hosts under load while they are killed, frozen, drained and
 * cut off, and the platform and the upstreams fail. The stand-ins' own
 * records judge. Run: soak [SECONDS [SEED]]; not part of the tests of CI.
 */
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib-deployment.h"

#define N_HOSTS 8
#define N_CALLERS 12
#define SECONDS_DEFAULT 180
#define STEP_MAX_MS 3000
#define FREEZE_MAX_MS 15000
#define OUTAGE_MAX_MS 6000
#define CALL_TIMEOUT_MS 30000
#define SETTLE_MS 20000

enum answer {
    ANSWER_UNKNOWN,
    ANSWER_SERVED,
    ANSWER_NOT_RUN,
    ANSWER_MAY_HAVE_RUN,
    ANSWERS,
};

/* What a caller was told, by idempotency key or request id. */
struct told {
    GMutex lock;
    GHashTable *bookings;
    GHashTable *not_run;
    int64_t counts[ANSWERS];
};

static struct deployment d;
static struct process reference;
static struct told told;
static gint stopping;
static gint violations;

static void
violation(const char *what, const char *about)
{
    g_atomic_int_inc(&violations);
    printf("violation: %s: %s\n", what, about);
    fflush(stdout);
}

static enum answer
read_answer(const struct http_reply *reply)
{
    if (reply->error == 0 && reply->status == 200) {
        return ANSWER_SERVED;
    }
    if (strstr(reply->body->str, "\"run_state\":\"not-run\"")) {
        return ANSWER_NOT_RUN;
    }
    if (strstr(reply->body->str, "\"run_state\":\"may-have-run\"")) {
        return ANSWER_MAY_HAVE_RUN;
    }
    return ANSWER_UNKNOWN;
}

/* Compares a served answer with that of an engine that has no faults. */
static void
check_whole(const struct http_reply *reply, const char *body)
{
    char *id = http_reply_header(reply, "X-Request-Id");
    char *header = g_strdup_printf("X-Request-Id: %s", id);
    const char *headers[] = {header, NULL};
    struct http_call call = {.body = body, .headers = headers};
    struct http_reply direct;

    http_call(reference.port, CHAT_PATH, &call, &direct);
    if (strcmp(direct.body->str, reply->body->str) != 0) {
        violation("answer not whole", reply->body->str);
    }
    http_reply_free(&direct);
    g_free(header);
    g_free(id);
}

static void
chat(GRand *rand)
{
    const char *body = g_rand_int_range(rand, 0, 2) ? CHAT_STREAM : CHAT_WHOLE;
    struct caller_call call = {.key = d.alpha,
                               .path = CHAT_PATH,
                               .body = body,
                               .timeout_ms = CALL_TIMEOUT_MS};
    struct http_reply reply;
    enum answer answer;

    deployment_call(&d, g_rand_int_range(rand, 0, N_HOSTS), NULL, &call,
                    &reply);
    answer = read_answer(&reply);
    if (answer == ANSWER_SERVED) {
        check_whole(&reply, body);
    }
    else if (strstr(reply.body->str, "[DONE]") && reply.error == 0) {
        violation("false end", reply.body->str);
    }
    g_mutex_lock(&told.lock);
    told.counts[answer]++;
    if (answer == ANSWER_NOT_RUN) {
        g_hash_table_add(told.not_run,
                         http_reply_header(&reply, "X-Request-Id"));
    }
    g_mutex_unlock(&told.lock);
    http_reply_free(&reply);
}

/* Calls, and repeats at another host what was not served. */
static void
book(GRand *rand)
{
    char key[40];
    struct caller_call call = {.key = d.beta,
                               .path = "/v1/book",
                               .body = "{}",
                               .idempotency_key = key,
                               .timeout_ms = CALL_TIMEOUT_MS};
    enum answer answer = ANSWER_UNKNOWN;
    bool certain = true;

    deployment_idempotency_key(key);
    for (int i = 0; i < 3 && answer != ANSWER_SERVED; i++) {
        struct http_reply reply;

        deployment_call(&d, g_rand_int_range(rand, 0, N_HOSTS), NULL, &call,
                        &reply);
        answer = read_answer(&reply);
        certain &= answer == ANSWER_SERVED || answer == ANSWER_NOT_RUN;
        http_reply_free(&reply);
    }
    if (!certain && answer == ANSWER_NOT_RUN) {
        answer = ANSWER_MAY_HAVE_RUN;
    }
    g_mutex_lock(&told.lock);
    told.counts[answer]++;
    g_hash_table_insert(told.bookings, g_strdup(key), GINT_TO_POINTER(answer));
    g_mutex_unlock(&told.lock);
}

static gpointer
run_caller(gpointer arg)
{
    GRand *rand = g_rand_new_with_seed(GPOINTER_TO_UINT(arg));

    while (!g_atomic_int_get(&stopping)) {
        if (g_rand_int_range(rand, 0, 3) == 0) {
            book(rand);
        }
        else {
            chat(rand);
        }
    }
    g_rand_free(rand);
    return NULL;
}

static void
sleep_ms(int ms)
{
    g_usleep((gulong)ms * 1000);
}

static void
kill_host(GRand *rand)
{
    int i = g_rand_int_range(rand, 0, N_HOSTS);

    process_kill(&d.hosts[i].process);
    sleep_ms(g_rand_int_range(rand, 0, STEP_MAX_MS));
    deployment_start_host(&d, i);
}

static void
freeze_host(GRand *rand)
{
    int i = g_rand_int_range(rand, 0, N_HOSTS);

    process_signal(&d.hosts[i].process, SIGSTOP);
    sleep_ms(g_rand_int_range(rand, 0, FREEZE_MAX_MS));
    process_signal(&d.hosts[i].process, SIGCONT);
}

static void
drain_host(GRand *rand)
{
    int i = g_rand_int_range(rand, 0, N_HOSTS);
    int code;

    process_signal(&d.hosts[i].process, SIGTERM);
    code = process_wait(&d.hosts[i].process, 2 * AWAIT_MS);
    if (code != 0) {
        violation("a drain ended badly", "exit code");
    }
    deployment_start_host(&d, i);
}

static void
stop_platform(GRand *rand)
{
    static const char *const outages[] = {"{\"outage\":1}", "{\"outage\":2}",
                                          "{\"delay_ms\":1500}",
                                          "{\"lose_answers\":5}"};

    deployment_set_platform(
        &d, outages[g_rand_int_range(rand, 0, G_N_ELEMENTS(outages))]);
    sleep_ms(g_rand_int_range(rand, 0, OUTAGE_MAX_MS));
    deployment_set_platform(
        &d, "{\"outage\":0,\"delay_ms\":0,\"lose_answers\":0}");
}

static void
cut_platform(GRand *rand)
{
    static const char *const modes[] = {"{\"mode\":\"cut\"}",
                                        "{\"mode\":\"silent\"}"};

    http_set(d.platform_relay.second_port, "/",
             modes[g_rand_int_range(rand, 0, 2)]);
    http_set(d.platform_relay.second_port, "/", "{\"mode\":\"pass\"}");
}

static void
break_engine(GRand *rand)
{
    static const char *const faults[] = {
        "{\"break_after_tokens\":3,\"fault_calls\":20}",
        "{\"silent_after_tokens\":3,\"fault_calls\":5}", "{\"wrong_id\":true}",
        "{\"decline\":true}", "{\"close_after_read\":true}"};
    int i = g_rand_int_range(rand, 0, d.n_engines);

    http_set(d.engines[i].port, "/fake/set",
             faults[g_rand_int_range(rand, 0, G_N_ELEMENTS(faults))]);
    sleep_ms(g_rand_int_range(rand, 0, STEP_MAX_MS));
    http_set(d.engines[i].port, "/fake/set",
             "{\"break_after_tokens\":-1,\"silent_after_tokens\":-1,"
             "\"fault_calls\":-1,\"wrong_id\":false,\"decline\":false,"
             "\"close_after_read\":false}");
}

static void
break_plain(GRand *rand)
{
    static const char *const faults[] = {"{\"close_after_read\":true}",
                                         "{\"silent\":true}",
                                         "{\"decline\":true}"};
    int i = g_rand_int_range(rand, 0, d.n_plains);

    http_set(d.plains[i].port, "/fake/set",
             faults[g_rand_int_range(rand, 0, G_N_ELEMENTS(faults))]);
    sleep_ms(g_rand_int_range(rand, 0, STEP_MAX_MS));
    http_set(d.plains[i].port, "/fake/set",
             "{\"close_after_read\":false,\"silent\":false,"
             "\"decline\":false}");
}

static void
disturb(GRand *rand, int64_t until_ms)
{
    static const struct {
        const char *name;
        void (*run)(GRand *rand);
    } faults[] = {
        {"kill a host", kill_host},
        {"freeze a host", freeze_host},
        {"drain a host", drain_host},
        {"platform fails", stop_platform},
        {"links to the platform are cut or silent", cut_platform},
        {"an engine fails", break_engine},
        {"a plain service fails", break_plain},
    };
    int64_t start_ms = process_now_ms();

    while (process_now_ms() < until_ms) {
        int i = g_rand_int_range(rand, 0, G_N_ELEMENTS(faults));

        printf("%6" G_GINT64_FORMAT " ms %s\n", process_now_ms() - start_ms,
               faults[i].name);
        fflush(stdout);
        faults[i].run(rand);
        sleep_ms(g_rand_int_range(rand, 0, STEP_MAX_MS));
    }
}

static void
for_each_seen(uint16_t port, void (*visit)(JsonObject *row, GHashTable *into),
              GHashTable *into)
{
    char *text = http_get(port, "/fake/seen");
    JsonNode *root = json_from_string(text, NULL);
    JsonArray *rows =
        json_object_get_array_member(json_node_get_object(root), "seen");

    for (guint i = 0; i < json_array_get_length(rows); i++) {
        visit(json_array_get_object_element(rows, i), into);
    }
    json_node_free(root);
    g_free(text);
}

static void
count_ran(JsonObject *row, GHashTable *ran)
{
    const char *key;
    int n;

    if (strcmp(json_object_get_string_member(row, "what"), "ran") != 0) {
        return;
    }
    key = json_object_get_string_member(row, "Idempotency-Key");
    n = GPOINTER_TO_INT(g_hash_table_lookup(ran, key));
    g_hash_table_insert(ran, g_strdup(key), GINT_TO_POINTER(n + 1));
}

static void
judge_bookings(void)
{
    GHashTable *ran =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer key;
    gpointer answer;

    for (int i = 0; i < d.n_plains; i++) {
        for_each_seen(d.plains[i].port, count_ran, ran);
    }
    g_hash_table_iter_init(&iter, told.bookings);
    while (g_hash_table_iter_next(&iter, &key, &answer)) {
        int n = GPOINTER_TO_INT(g_hash_table_lookup(ran, key));

        if (n > 1) {
            violation("ran more than once", key);
        }
        if (GPOINTER_TO_INT(answer) == ANSWER_SERVED && n != 1) {
            violation("served but not run", key);
        }
        if (GPOINTER_TO_INT(answer) == ANSWER_NOT_RUN && n != 0) {
            violation("said not-run and ran", key);
        }
    }
    g_hash_table_destroy(ran);
}

static void
check_not_run(JsonObject *row, GHashTable *not_run)
{
    const char *id;

    if (strcmp(json_object_get_string_member(row, "what"), "start") != 0) {
        return;
    }
    id = json_object_get_string_member(row, "request_id");
    if (g_hash_table_contains(not_run, id)) {
        violation("said not-run and an engine ran it", id);
    }
}

/* No order or report of an older term, no window with other figures. */
static void
check_platform(JsonObject *row, GHashTable *newest)
{
    const char *what = json_object_get_string_member(row, "what");
    int64_t *known = g_hash_table_lookup(newest, what);
    int64_t term;

    if (strcmp(what, "order") != 0 && strcmp(what, "usage") != 0) {
        return;
    }
    term = json_object_get_int_member(row, "term");
    if (!known) {
        known = g_new0(int64_t, 1);
        g_hash_table_insert(newest, g_strdup(what), known);
    }
    if (term < *known) {
        violation("older term after a newer one", what);
    }
    if (strcmp(what, "usage") == 0 &&
        json_object_get_boolean_member(row, "refused")) {
        violation("other figures for a window", what);
    }
    *known = MAX(*known, term);
}

static void
judge(void)
{
    GHashTable *newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

    judge_bookings();
    for (int i = 0; i < d.n_engines; i++) {
        for_each_seen(d.engines[i].port, check_not_run, told.not_run);
    }
    for_each_seen(d.platform.port, check_platform, newest);
    g_hash_table_destroy(newest);
}

static void
run(GRand *rand, int seconds)
{
    GThread *callers[N_CALLERS];

    for (int i = 0; i < N_CALLERS; i++) {
        callers[i] = g_thread_new("caller", run_caller,
                                  GUINT_TO_POINTER(g_rand_int(rand)));
    }
    disturb(rand, process_now_ms() + (int64_t)seconds * 1000);
    g_atomic_int_set(&stopping, 1);
    for (int i = 0; i < N_CALLERS; i++) {
        g_thread_join(callers[i]);
    }
    deployment_await_ready(&d);
    sleep_ms(SETTLE_MS);
    judge();
}

int
main(int argc, char **argv)
{
    int seconds = argc > 1 ? atoi(argv[1]) : SECONDS_DEFAULT;
    guint32 seed =
        argc > 2 ? (guint32)strtoul(argv[2], NULL, 10) : g_random_int();
    GRand *rand = g_rand_new_with_seed(seed);

    printf("soak: %d s, seed %u\n", seconds, seed);
    g_mutex_init(&told.lock);
    told.bookings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    told.not_run =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    deployment_start(&d, N_HOSTS, 4, 3);
    deployment_set_engines(&d, "{\"tokens\":20,\"token_ms\":10}");
    PROCESS_START(&reference, "t/fake/fake-engine", NULL);
    http_set(reference.port, "/fake/set", "{\"tokens\":20}");
    run(rand, seconds);
    printf("served %" G_GINT64_FORMAT ", not run %" G_GINT64_FORMAT
           ", may have run %" G_GINT64_FORMAT ", no answer %" G_GINT64_FORMAT
           ", violations %d\n",
           told.counts[ANSWER_SERVED], told.counts[ANSWER_NOT_RUN],
           told.counts[ANSWER_MAY_HAVE_RUN], told.counts[ANSWER_UNKNOWN],
           g_atomic_int_get(&violations));
    process_kill(&reference);
    deployment_stop(&d);
    g_rand_free(rand);
    return g_atomic_int_get(&violations) == 0 ? 0 : 1;
}
