/* Faults of the soak: kinds in a table, each with a start and an end. */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define ACTIVE_MAX 3
#define PAUSE_MIN_MS 300
#define PAUSE_MAX_MS 4000
#define LAST_MIN_MS 500
#define LAST_MAX_MS 12000

enum target {
    TARGET_HOST,
    TARGET_LINK,
    TARGET_LOG,
    TARGET_PLATFORM,
    TARGET_ENGINE,
    TARGET_PLAIN,
    TARGET_COUNT
};

struct fault;

struct fault_kind {
    void (*start)(struct soak *s, const struct fault *fault);
    void (*end)(struct soak *s, const struct fault *fault);
    enum target target;
    const char *name;
    /* Settings or mode of a stand-in, and what undoes them. */
    const char *set;
    const char *unset;
    /* Callers may notice it as a lost connection or as silence. */
    bool hurts;
};

struct fault {
    const struct fault_kind *kind;
    int target;
    int64_t end_ms;
};

struct soak_faults {
    struct soak *soak;
    GRand *random;
    struct fault active[ACTIVE_MAX];
    int n_active;
    int64_t next_ms;
    GHashTable *counts;
};

static struct process *
host_process(struct soak *s, const struct fault *fault)
{
    return &s->d.hosts[fault->target].process;
}

static void
start_host(struct soak *s, const struct fault *fault)
{
    deployment_start_host(&s->d, fault->target);
    g_atomic_int_inc(&s->hosts[fault->target].lives);
}

static void
kill_host(struct soak *s, const struct fault *fault)
{
    process_kill(host_process(s, fault));
}

static void
freeze_host(struct soak *s, const struct fault *fault)
{
    process_signal(host_process(s, fault), SIGSTOP);
}

static void
thaw_host(struct soak *s, const struct fault *fault)
{
    process_signal(host_process(s, fault), SIGCONT);
}

static void
drain_host(struct soak *s, const struct fault *fault)
{
    process_signal(host_process(s, fault), SIGTERM);
}

static void
await_drained(struct soak *s, const struct fault *fault)
{
    int code = process_wait(host_process(s, fault), AWAIT_MS);

    if (code != 0) {
        soak_violation(s, "h%d drained with exit code %d", fault->target + 1,
                       code);
    }
    start_host(s, fault);
}

static void
set_link(struct soak *s, const struct fault *fault)
{
    http_set(s->peer_relays[fault->target].second_port, "/fake/relay",
             fault->kind->set);
}

static void
mend_link(struct soak *s, const struct fault *fault)
{
    http_set(s->peer_relays[fault->target].second_port, "/fake/relay",
             fault->kind->unset);
}

static void
set_log(struct soak *s, const struct fault *fault)
{
    http_set(s->d.platform_relay.second_port, "/fake/relay", fault->kind->set);
}

static void
mend_log(struct soak *s, const struct fault *fault)
{
    http_set(s->d.platform_relay.second_port, "/fake/relay",
             fault->kind->unset);
}

static uint16_t
stand_in_port(const struct soak *s, const struct fault *fault)
{
    switch (fault->kind->target) {
    case TARGET_ENGINE:
        return s->d.engines[fault->target].port;
    case TARGET_PLAIN:
        return s->d.plains[fault->target].port;
    default:
        return s->d.platform.port;
    }
}

static void
set_stand_in(struct soak *s, const struct fault *fault)
{
    http_set(stand_in_port(s, fault), "/fake/set", fault->kind->set);
}

static void
mend_stand_in(struct soak *s, const struct fault *fault)
{
    http_set(stand_in_port(s, fault), "/fake/set", fault->kind->unset);
}

static void
kill_engine(struct soak *s, const struct fault *fault)
{
    process_kill(&s->d.engines[fault->target]);
}

static void
start_engine(struct soak *s, const struct fault *fault)
{
    deployment_start_engine(&s->d, fault->target);
}

static void
kill_plain(struct soak *s, const struct fault *fault)
{
    process_kill(&s->d.plains[fault->target]);
}

static void
start_plain(struct soak *s, const struct fault *fault)
{
    deployment_start_plain(&s->d, fault->target);
}

#define LINK(mode)                                                            \
    {                                                                         \
        set_link, mend_link, TARGET_LINK, "link " mode,                       \
            "{\"mode\":\"" mode "\"}", "{\"mode\":\"pass\"}", false           \
    }
#define LOG(mode)                                                             \
    {                                                                         \
        set_log, mend_log, TARGET_LOG, "log link " mode,                      \
            "{\"mode\":\"" mode "\"}", "{\"mode\":\"pass\"}", false           \
    }
#define SET(target, name, set, unset)                                         \
    {                                                                         \
        set_stand_in, mend_stand_in, TARGET_##target, name, set, unset, false \
    }

static const struct fault_kind kinds[] = {
    {kill_host, start_host, TARGET_HOST, "host killed", NULL, NULL, true},
    {freeze_host, thaw_host, TARGET_HOST, "host frozen", NULL, NULL, true},
    {drain_host, await_drained, TARGET_HOST, "host drained", NULL, NULL,
     false},
    LINK("silent"),
    LINK("cut"),
    LINK("refuse"),
    LINK("silent-all"),
    LOG("silent"),
    LOG("cut"),
    LOG("refuse"),
    LOG("silent-all"),
    SET(PLATFORM, "platform outage", "{\"outage\":1}", "{\"outage\":0}"),
    SET(PLATFORM, "platform slow", "{\"delay_ms\":400}", "{\"delay_ms\":0}"),
    SET(PLATFORM, "platform answers lost", "{\"lose_answers\":5}",
        "{\"lose_answers\":0}"),
    {kill_engine, start_engine, TARGET_ENGINE, "engine killed", NULL, NULL,
     false},
    SET(ENGINE, "engine silent", "{\"silent_after_tokens\":3}",
        "{\"silent_after_tokens\":-1}"),
    SET(ENGINE, "engine breaks", "{\"break_after_tokens\":3}",
        "{\"break_after_tokens\":-1}"),
    SET(ENGINE, "engine declines", "{\"decline\":1}", "{\"decline\":0}"),
    SET(ENGINE, "engine answers others", "{\"wrong_id\":1}",
        "{\"wrong_id\":0}"),
    SET(ENGINE, "engine closes", "{\"close_after_read\":1}",
        "{\"close_after_read\":0}"),
    {kill_plain, start_plain, TARGET_PLAIN, "plain service killed", NULL, NULL,
     false},
    SET(PLAIN, "plain service closes", "{\"close_after_read\":1}",
        "{\"close_after_read\":0}"),
    SET(PLAIN, "plain service silent", "{\"silent\":1}", "{\"silent\":0}"),
    SET(PLAIN, "plain service declines", "{\"decline\":1}", "{\"decline\":0}"),
    SET(PLAIN, "plain service slow", "{\"delay_ms\":1000}",
        "{\"delay_ms\":0}"),
};

static const int targets[TARGET_COUNT] = {
    [TARGET_HOST] = SOAK_HOSTS,
    [TARGET_LINK] = SOAK_HOSTS,
    [TARGET_LOG] = 1,
    [TARGET_PLATFORM] = 1,
    [TARGET_ENGINE] = SOAK_ENGINES,
    [TARGET_PLAIN] = SOAK_PLAINS,
};

struct soak_faults *
soak_faults_new(struct soak *s)
{
    struct soak_faults *faults = g_new0(struct soak_faults, 1);

    faults->soak = s;
    faults->random = g_rand_new_with_seed(s->seed);
    faults->counts = g_hash_table_new(g_str_hash, g_str_equal);
    return faults;
}

static bool
is_hit(const struct soak_faults *faults, enum target target, int i)
{
    for (int k = 0; k < faults->n_active; k++) {
        if (faults->active[k].kind->target == target &&
            faults->active[k].target == i) {
            return true;
        }
    }
    return false;
}

bool
soak_faults_hit(const struct soak_faults *faults, int host)
{
    return is_hit(faults, TARGET_HOST, host);
}

static void
start_fault(struct soak_faults *faults, const struct fault *fault)
{
    struct soak *s = faults->soak;
    const char *name = fault->kind->name;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(faults->counts, name));

    if (fault->kind->hurts) {
        g_atomic_int_inc(&s->hosts[fault->target].hurt);
        g_atomic_int_inc(&s->hosts[fault->target].faults);
    }
    fault->kind->start(s, fault);
    g_hash_table_insert(faults->counts, (gpointer)name,
                        GINT_TO_POINTER(count + 1));
    printf("%" G_GINT64_FORMAT " %s %d\n", process_now_ms(), name,
           fault->target);
    fflush(stdout);
}

static void
end_fault(struct soak_faults *faults, int k)
{
    struct fault fault = faults->active[k];
    struct soak *s = faults->soak;

    fault.kind->end(s, &fault);
    if (fault.kind->hurts) {
        g_atomic_int_add(&s->hosts[fault.target].hurt, -1);
    }
    printf("%" G_GINT64_FORMAT " end of %s %d\n", process_now_ms(),
           fault.kind->name, fault.target);
    fflush(stdout);
    faults->active[k] = faults->active[--faults->n_active];
}

static void
start_next(struct soak_faults *faults, int64_t now_ms)
{
    GRand *random = faults->random;
    struct fault fault = {
        .kind = &kinds[g_rand_int_range(random, 0, G_N_ELEMENTS(kinds))],
        .end_ms = now_ms + g_rand_int_range(random, LAST_MIN_MS, LAST_MAX_MS)};

    fault.target = g_rand_int_range(random, 0, targets[fault.kind->target]);
    faults->next_ms =
        now_ms + g_rand_int_range(random, PAUSE_MIN_MS, PAUSE_MAX_MS);
    if (is_hit(faults, fault.kind->target, fault.target)) {
        return;
    }
    faults->active[faults->n_active++] = fault;
    start_fault(faults, &fault);
}

void
soak_faults_step(struct soak_faults *faults)
{
    int64_t now_ms = process_now_ms();

    for (int k = faults->n_active - 1; k >= 0; k--) {
        if (now_ms >= faults->active[k].end_ms) {
            end_fault(faults, k);
        }
    }
    if (now_ms >= faults->next_ms && faults->n_active < ACTIVE_MAX) {
        start_next(faults, now_ms);
    }
}

void
soak_faults_free(struct soak_faults *faults)
{
    GHashTableIter iter;
    gpointer name;
    gpointer count;

    while (faults->n_active > 0) {
        end_fault(faults, faults->n_active - 1);
    }
    g_hash_table_iter_init(&iter, faults->counts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        printf("fault %s: %d\n", (const char *)name, GPOINTER_TO_INT(count));
    }
    g_hash_table_destroy(faults->counts);
    g_rand_free(faults->random);
    g_free(faults);
}
