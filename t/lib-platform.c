#include "lib-platform.h"

#include "lib-http.h"

/* Start of upstreams that were moved to another zone: a restart. */
#define MOVED_BORN 100

void
platform_put(uint16_t store, const char *topic, const char *key,
             const char *value)
{
    char *path = g_strdup_printf("/fake/put?topic=%s&key=%s", topic, key);

    http_set(store, path, value);
    g_free(path);
}

static void
put_upstream(uint16_t store, int n, uint16_t port, const char *zone,
             const char *state, int born)
{
    char *key = g_strdup_printf("run-%d", n);
    char *text = g_strdup_printf(
        "{\"service\":\"app\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":64,\"state\":\"%s\",\"born\":%d}",
        port, zone, state, born);

    platform_put(store, PLATFORM_TOPIC_UPSTREAMS, key, text);
    g_free(text);
    g_free(key);
}

void
platform_put_upstream(uint16_t store, int n, uint16_t port, const char *state)
{
    put_upstream(store, n, port, "z", state, n + 1);
}

void
platform_put_upstream_of(uint16_t store, int n, uint16_t port,
                         const char *zone, const char *state)
{
    put_upstream(store, n, port, zone, state, n + 1);
}

void
platform_put_restarted(uint16_t store, int n, uint16_t port, int born)
{
    put_upstream(store, n, port, "z", "ready", born);
}

void
platform_put_upstream_in(uint16_t store, int n, uint16_t port,
                         const char *zone)
{
    put_upstream(store, n, port, zone, "ready", n + MOVED_BORN);
}

void
platform_put_evacuation(uint16_t store, const char *zone, bool evacuate)
{
    char *key = g_strdup_printf("evacuate/%s", zone);

    platform_put(store, PLATFORM_TOPIC_CONFIG, key, evacuate ? "1" : "");
    g_free(key);
}

void
platform_add_organisation(GString *list, const char *name, const char *keys)
{
    g_string_append_printf(list, "%s{\"name\":\"%s\",\"apiKeys\":[%s]}",
                           list->len > 0 ? "," : "", name, keys);
}

static void
add_route(GString *out, const char *name, const char *prefix,
          const char *members)
{
    g_string_append_printf(
        out,
        "%s{\"name\":\"%s\",\"host\":\"svc.example\",\"pathPrefix\":\"%s\","
        "\"timeoutMs\":8000,\"attempts\":2,\"service\":\"app\","
        "\"priority\":2,%s}",
        out->len > 0 ? "," : "", name, prefix, members);
}

void
platform_put_config(uint16_t store, int version, const char *organisations)
{
    platform_put_config_for(store, version, organisations,
                            PLATFORM_BODY_MAX_BYTES);
}

void
platform_put_config_for(uint16_t store, int version, const char *organisations,
                        int body_max_bytes)
{
    GString *routes = g_string_new(NULL);
    char *text;

    add_route(routes, "any", "/any/", "\"type\":\"safe\"");
    add_route(routes, "once", "/once/", "\"type\":\"unsafe\"");
    add_route(routes, "open", "/open/", "\"type\":\"safe\",\"public\":true");
    add_route(routes, "res", "/s/res/",
              "\"type\":\"stream\",\"resumable\":true");
    add_route(routes, "str", "/s/str/", "\"type\":\"stream\"");
    text = g_strdup_printf(
        "{\"version\":%d,\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":%d,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000},\"services\":[{\"name\":\"app\","
        "\"engine\":{\"backups\":true}}],"
        "\"tenants\":[%s],\"routes\":[%s]}",
        version, body_max_bytes, organisations, routes->str);
    platform_put(store, PLATFORM_TOPIC_CONFIG, "config", text);
    g_free(text);
    g_string_free(routes, TRUE);
}

void
platform_trim_history(uint16_t store)
{
    http_set(store, "/fake/trim?topic=" PLATFORM_TOPIC_CONFIG, "{}");
    http_set(store, "/fake/trim?topic=" PLATFORM_TOPIC_UPSTREAMS, "{}");
}
