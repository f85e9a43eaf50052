/* Operators of the soak: configurations, keys, checks of the hosts' state. */
#include <stdio.h>
#include <string.h>

#include "lib-state.h"
#include "soak.h"

#define PUBLISH_EVERY_MS 9000
#define KEY_EVERY_MS 13000
#define CHECK_EVERY_MS 500
#define COMMAND_TIMEOUT "--timeout=4000"
#define EXIT_DONE 0
#define EXIT_PARTIAL 7

struct applied_config {
    int restarts;
    int64_t offset;
};

struct soak_operators {
    struct soak *soak;
    int64_t publish_ms;
    int64_t key_ms;
    int64_t check_ms;
    int n_published;
    /* Newest configuration reported in force, and the time of the report. */
    int64_t offset;
    int64_t in_force_ms;
    struct applied_config hosts[SOAK_HOSTS];
};

struct soak_operators *
soak_operators_new(struct soak *s)
{
    struct soak_operators *o = g_new0(struct soak_operators, 1);

    o->soak = s;
    return o;
}

static void
publish_config(struct soak_operators *o)
{
    struct soak *s = o->soak;
    char *name = g_strdup_printf("soak-%d", ++o->n_published);
    char *files = deployment_write_files(&s->d, name, 1 + o->n_published % 9);
    char *output;
    int code = DEPLOYMENT_COMMAND(&s->d, &output, "publish", files,
                                  COMMAND_TIMEOUT, NULL);
    const char *in_force = strstr(output, "in force at offset ");

    if (code == EXIT_DONE && in_force) {
        o->offset = g_ascii_strtoll(in_force + strlen("in force at offset "),
                                    NULL, 10);
        o->in_force_ms = process_now_ms();
    }
    printf("publish: %d %s", code, output);
    g_free(output);
    g_free(files);
    g_free(name);
}

static void
grant_key(struct soak *s)
{
    int n = g_atomic_int_get(&s->n_keys);
    struct soak_key *key = &s->keys[n];

    if (n == SOAK_KEYS_MAX) {
        return;
    }
    g_snprintf(key->label, sizeof(key->label), "soak-%d", n);
    if (deployment_grant(&s->d, "alpha", key->label, key->text) == EXIT_DONE) {
        g_atomic_int_inc(&s->n_keys);
    }
}

/* Withdraws through the log, or through one host if the log is down. */
static int
withdraw_key(struct soak *s, const struct soak_key *key, int host)
{
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, key->text, -1);
    char *option = g_strdup_printf("--digest=%s", digest);
    char *address = deployment_host_option(&s->d, host);
    char *output;
    int code = DEPLOYMENT_COMMAND(&s->d, &output, "key", "withdraw", option,
                                  address, COMMAND_TIMEOUT, NULL);

    printf("withdraw %s: %d %s", key->label, code, output);
    if (code == EXIT_PARTIAL && !strstr(output, "missing:\n")) {
        code = -1;
    }
    g_free(output);
    g_free(address);
    g_free(option);
    g_free(digest);
    return code;
}

static void
change_newest_key(struct soak_operators *o)
{
    struct soak *s = o->soak;
    int n = g_atomic_int_get(&s->n_keys);
    struct soak_key *key = &s->keys[n - 1];

    if (n > 1 && !g_atomic_int_get(&key->withdrawn)) {
        int code = withdraw_key(s, key, n % SOAK_HOSTS);

        if (code == EXIT_DONE) {
            key->withdrawn_ms = process_now_ms();
            g_atomic_int_set(&key->withdrawn, 1);
        }
        return;
    }
    grant_key(s);
}

/*
 * Checks that a ready host neither returns to an older configuration nor lacks
 * one that has been in force for SOAK_PROPAGATION_MS.
 */
static void
check_config_offset(struct soak_operators *o, int i)
{
    struct soak *s = o->soak;
    struct applied_config *applied = &o->hosts[i];
    int restarts = g_atomic_int_get(&s->hosts[i].restarts);
    bool overdue = process_now_ms() - o->in_force_ms > SOAK_PROPAGATION_MS;
    int64_t required = overdue ? o->offset : 0;
    int64_t offset;

    if (!state_is(&s->d, i, "ready")) {
        return;
    }
    offset = state_number(&s->d, i, "config_offset");
    if (offset < 0) {
        return;
    }
    if (applied->restarts == restarts && offset < applied->offset) {
        fault_violation(&s->world,
                        "h%d returned from configuration %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT,
                        i + 1, applied->offset, offset);
    }
    /* The host may have stopped being ready between the two requests. */
    if (offset < required && state_is(&s->d, i, "ready")) {
        fault_violation(&s->world,
                        "h%d serves with configuration %" G_GINT64_FORMAT
                        " instead of at least %" G_GINT64_FORMAT,
                        i + 1, offset, required);
    }
    *applied = (struct applied_config){restarts, offset};
}

void
soak_operators_step(struct soak_operators *o, const struct faults *faults)
{
    int64_t now_ms = process_now_ms();

    if (now_ms >= o->publish_ms) {
        o->publish_ms = now_ms + PUBLISH_EVERY_MS;
        publish_config(o);
    }
    if (now_ms >= o->key_ms) {
        o->key_ms = now_ms + KEY_EVERY_MS;
        change_newest_key(o);
    }
    if (now_ms < o->check_ms) {
        return;
    }
    o->check_ms = now_ms + CHECK_EVERY_MS;
    for (int i = 0; i < SOAK_HOSTS; i++) {
        if (!soak_faults_is_host_active(faults, i)) {
            check_config_offset(o, i);
        }
    }
}

void
soak_operators_free(struct soak_operators *o)
{
    g_free(o);
}
