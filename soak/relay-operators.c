/*
 * Operators of the relay soak: keys, configurations, draining upstreams, an
 * availability zone that is evacuated.
 */
#include <stdio.h>
#include <string.h>

#include "lib-platform.h"
#include "relay.h"

#define KEY_EVERY_MS 5000
#define PUBLISH_EVERY_MS 7000
#define DRAIN_EVERY_MS 9000
/* Time for which a runner is listed as draining. */
#define DRAIN_LASTS_MS 5000
#define EVACUATE_EVERY_MS 6000
#define EVACUATION_LASTS_MS 4000
#define CHECK_EVERY_MS 500

struct relay_operators {
    struct relay_soak *soak;
    int64_t key_ms;
    int64_t publish_ms;
    int64_t drain_ms;
    int64_t evacuate_ms;
    int64_t check_ms;
    /* The drain in progress; its runner is -1 if there is none. */
    struct relay_drain drain;
    /* When the evacuation in progress began; 0 if there is none. */
    int64_t evacuated_ms;
    /* Version last read from a host, and the restarts of the host by then. */
    int64_t versions[RELAY_HOSTS_MAX];
    gint restarts[RELAY_HOSTS_MAX];
};

void
relay_operators_publish(struct relay_soak *s)
{
    GString *organisations = g_string_new(NULL);

    for (int i = 0; i < s->n_keys; i++) {
        bool withdrawn = g_atomic_int_get(&s->keys[i].withdrawn) != 0;
        char *name = g_strdup_printf("org-%d", i);
        char *key = g_strdup_printf("\"%s\"", s->keys[i].text);

        platform_add_organisation(organisations, name, withdrawn ? "" : key);
        g_free(key);
        g_free(name);
    }
    platform_put_config(s->store.port, ++s->version, organisations->str);
    g_string_free(organisations, TRUE);
}

/* Grants a key, or withdraws the newest one. */
static void
change_newest_key(struct relay_soak *s)
{
    int newest = s->n_keys - 1;
    struct relay_key *key = &s->keys[newest];

    if (newest > 0 && !g_atomic_int_get(&key->withdrawn)) {
        g_atomic_int_set(&key->withdrawn, 1);
        relay_operators_publish(s);
        key->withdrawn_ms = process_now_ms();
        g_atomic_int_set(&key->withdrawn, 2);
        return;
    }
    if (newest + 1 < RELAY_KEYS_MAX) {
        key = &s->keys[newest + 1];
        g_snprintf(key->text, sizeof(key->text), "key-%d", newest + 1);
        g_atomic_int_inc(&s->n_keys);
        relay_operators_publish(s);
    }
}

static void
add_drain(struct relay_soak *s, const struct relay_drain *drain)
{
    if (s->n_drains < RELAY_DRAINS_MAX) {
        s->drains[s->n_drains++] = *drain;
    }
}

static void
drain_or_restore_runner(struct relay_operators *o, int64_t now_ms)
{
    struct relay_soak *s = o->soak;
    struct relay_drain *drain = &o->drain;

    if (drain->runner >= 0) {
        /*
         * The runner may get requests as soon as the store has its entry, so
         * the period ends before the write.
         */
        drain->until_ms = process_now_ms();
        relay_world_put_runner(s, drain->runner, "ready");
        add_drain(s, drain);
        drain->runner = -1;
        o->drain_ms = now_ms + DRAIN_EVERY_MS;
        return;
    }
    drain->runner = s->n_drains % RELAY_RUNNERS;
    relay_world_put_runner(s, drain->runner, "draining");
    drain->from_ms = process_now_ms();
    o->drain_ms = now_ms + DRAIN_LASTS_MS;
}

static void
evacuate_or_restore_zone(struct relay_operators *o, int64_t now_ms)
{
    struct relay_soak *s = o->soak;
    struct relay_drain drain = {.from_ms = o->evacuated_ms};

    if (o->evacuated_ms == 0) {
        platform_put_evacuation(s->store.port, RELAY_EVACUATED_ZONE, true);
        o->evacuated_ms = process_now_ms();
        o->evacuate_ms = now_ms + EVACUATION_LASTS_MS;
        return;
    }
    drain.until_ms = process_now_ms();
    platform_put_evacuation(s->store.port, RELAY_EVACUATED_ZONE, false);
    for (drain.runner = RELAY_EVACUATED_FROM; drain.runner < RELAY_RUNNERS;
         drain.runner++) {
        add_drain(s, &drain);
    }
    o->evacuated_ms = 0;
    o->evacuate_ms = now_ms + EVACUATE_EVERY_MS;
}

/* The configuration version of a host; -1 if it sends none. */
static int64_t
config_version(struct relay_soak *s, int i)
{
    static const char name[] = "\"config_offset\":";
    struct http_call call = {.timeout_ms = CHECK_EVERY_MS};
    struct http_reply reply;
    int64_t version = -1;
    const char *member;

    http_call(s->hosts[i].process.fourth_port, "/state", &call, &reply);
    member = reply.error == 0 ? strstr(reply.body->str, name) : NULL;
    if (member != NULL) {
        version = g_ascii_strtoll(member + strlen(name), NULL, 10);
    }
    http_reply_free(&reply);
    return version;
}

/* Checks that no host process returns to an older configuration. */
static void
check_config_versions(struct relay_operators *o)
{
    struct relay_soak *s = o->soak;

    for (int i = 0; i < s->n_hosts; i++) {
        gint restarts = g_atomic_int_get(&s->hosts[i].restarts);
        int64_t version = g_atomic_int_get(&s->hosts[i].active_disruptions) > 0
                              ? -1
                              : config_version(s, i);

        if (version < 0) {
            continue;
        }
        if (restarts == o->restarts[i] && version < o->versions[i]) {
            fault_violation(&s->world,
                            "h%d returned from version %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            i + 1, o->versions[i], version);
        }
        o->restarts[i] = restarts;
        o->versions[i] = version;
    }
}

struct relay_operators *
relay_operators_new(struct relay_soak *s)
{
    struct relay_operators *o = g_new0(struct relay_operators, 1);
    int64_t now_ms = process_now_ms();

    o->soak = s;
    o->drain.runner = -1;
    o->key_ms = now_ms + KEY_EVERY_MS;
    o->publish_ms = now_ms + PUBLISH_EVERY_MS;
    o->drain_ms = now_ms + DRAIN_EVERY_MS;
    o->evacuate_ms = now_ms + EVACUATE_EVERY_MS;
    return o;
}

void
relay_operators_step(struct relay_operators *o)
{
    int64_t now_ms = process_now_ms();

    if (now_ms >= o->key_ms) {
        o->key_ms = now_ms + KEY_EVERY_MS;
        change_newest_key(o->soak);
    }
    if (now_ms >= o->publish_ms) {
        o->publish_ms = now_ms + PUBLISH_EVERY_MS;
        relay_operators_publish(o->soak);
    }
    if (now_ms >= o->drain_ms) {
        drain_or_restore_runner(o, now_ms);
    }
    if (now_ms >= o->evacuate_ms) {
        evacuate_or_restore_zone(o, now_ms);
    }
    if (now_ms >= o->check_ms) {
        o->check_ms = now_ms + CHECK_EVERY_MS;
        check_config_versions(o);
    }
}

void
relay_operators_free(struct relay_operators *o)
{
    if (o->drain.runner >= 0) {
        drain_or_restore_runner(o, process_now_ms());
    }
    if (o->evacuated_ms != 0) {
        evacuate_or_restore_zone(o, process_now_ms());
    }
    g_free(o);
}
