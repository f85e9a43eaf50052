/* soak [--seconds N] [--seed N]: see soak.h. Exits with 1 on violations. */
#include <stdio.h>
#include <stdlib.h>

#include <popt.h>

#include "soak.h"

#define CALLERS 12
#define SECONDS 180
#define MS_PER_S 1000

/* Starts a TCP proxy in front of the peer port of each host. */
static void
add_peer_proxies(struct soak *s)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        char *to = g_strdup_printf("127.0.0.1:%u", s->d.hosts[i].peer_port);

        PROCESS_START(&s->peer_proxies[i], "t/fake/tcp-proxy", "--to", to);
        s->d.hosts[i].public_peer_port = s->peer_proxies[i].port;
        g_free(to);
    }
}

static void
run_faults(struct soak *s)
{
    struct soak_operators *operators = soak_operators_new(s);
    struct faults *faults = soak_faults_new(s);
    GThread *threads[CALLERS];

    /* Publishes the proxies' ports and waits until they are in force. */
    soak_operators_step(operators, faults);
    soak_start_callers(s, threads, CALLERS);
    while (process_now_ms() < s->until_ms) {
        faults_step(faults);
        soak_operators_step(operators, faults);
        ct_wait_ms(PROCESS_POLL_INTERVAL_MS);
    }
    faults_free(faults);
    deployment_await_ready(&s->d);
    g_atomic_int_set(&s->stop, 1);
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
    }
    soak_operators_free(operators);
}

/* Checks that every host serves again once the faults have ended. */
static void
check_recovery(struct soak *s)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        struct caller_call call = {
            .key = s->d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};
        struct http_reply reply;

        deployment_call(&s->d, i, NULL, &call, &reply);
        if (reply.status != 200 ||
            !g_str_has_suffix(reply.body->str, "data: [DONE]\n\n")) {
            fault_violation(&s->world,
                            "h%d does not serve after the faults: %ld %s",
                            i + 1, reply.status, reply.body->str);
        }
        http_reply_free(&reply);
    }
}

static void
run_soak(guint32 seed, int seconds)
{
    struct soak s = {.seed = seed};

    printf("seed %u, %d seconds\n", seed, seconds);
    g_random_set_seed(seed);
    g_mutex_init(&s.lock);
    s.records = g_array_new(FALSE, TRUE, sizeof(struct soak_record));
    deployment_start(&s.d, SOAK_HOSTS, SOAK_ENGINES, SOAK_PLAINS);
    add_peer_proxies(&s);
    g_strlcpy(s.keys[0].text, s.d.alpha, sizeof(s.keys[0].text));
    s.n_keys = 1;
    s.until_ms = process_now_ms() + (int64_t)seconds * MS_PER_S;
    run_faults(&s);
    check_recovery(&s);
    soak_check_results(&s);
    printf("seed %u: %u calls, %d violations\n", seed, s.records->len,
           s.world.violations);
    if (s.world.violations > 0) {
        printf("logs retained in %s\n", s.d.directory);
        exit(1);
    }
    for (int i = 0; i < SOAK_HOSTS; i++) {
        process_kill(&s.peer_proxies[i]);
    }
    deployment_stop(&s.d);
    g_array_free(s.records, TRUE);
}

int
main(int argc, const char **argv)
{
    int seconds = SECONDS;
    long long seed = g_random_int();
    const struct poptOption options[] = {
        {"seconds", '\0', POPT_ARG_INT, &seconds, 0, "duration", "N"},
        {"seed", '\0', POPT_ARG_LONGLONG, &seed, 0,
         "seed of the random faults", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, argv, options, 0);
    int found = poptGetNextOpt(context);

    poptFreeContext(context);
    if (found < -1) {
        fprintf(stderr, "soak: %s\n", poptStrerror(found));
        return 2;
    }
    run_soak((guint32)seed, seconds);
    return 0;
}
