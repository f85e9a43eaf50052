/*
 * Guards against a version of the configuration that a host drops because of
 * one of its items (review/2): whatever the form, size or number of the items
 * that a version adds, the key and the route that it removes are gone, the
 * others go on, on a host that runs and on one that starts.
 */
#include <signal.h>

#include "lib-relay-process.h"

static struct relay_process f;

/* What a version adds; NULL members add nothing. */
struct form {
    const char *name;
    const char *services, *organisations, *routes;
    /* Request target and Host header of the added route. */
    const char *path, *host_header;
    /* Status of a call of that route, and of a removed key. */
    long status, removed_key_status;
};

#define ROUTE(name, host, prefix, more)                                       \
    "{\"name\":\"" name "\",\"host\":\"" host "\",\"pathPrefix\":\"" prefix   \
    "\",\"timeoutMs\":8000,\"type\":\"safe\"," more "}"
#define APP "\"service\":\"app\""

#define LIMITS                                                                \
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,"            \
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
#define ANY_ROUTE ROUTE("any", "svc.example", "/any/", APP)

static void
put_text(char *text)
{
    platform_put(f.store.port, PLATFORM_TOPIC_CONFIG, "config", text);
    g_free(text);
}

/* Publishes a version with the keys, and the routes /any/ and the given one.
 */
static void
put_config(const char *keys, const char *last_route, const struct form *form)
{
    put_text(g_strdup_printf(
        "{\"version\":%d," LIMITS ",\"services\":[{\"name\":\"app\"}%s],"
        "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[%s]}%s],\"routes\":"
        "[" ANY_ROUTE "%s%s]}",
        ++f.version, form->services ? form->services : "", keys,
        form->organisations ? form->organisations : "", last_route,
        form->routes ? form->routes : ""));
}

static void
assert_in_force(const struct form *form)
{
    RELAY_PROCESS_AWAIT_STATUS(&f, form->removed_key_status, "/any/x",
                               "Key: k2");
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/old/x", "Key: k1"), ==,
                    form->removed_key_status == 401 ? 404 : 503);
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", "Key: k1"), ==, 200);
    if (form->path != NULL) {
        const char *const headers[] = {"Key: k1", NULL};

        g_assert_cmpint(relay_process_status(&f,
                                             form->host_header
                                                 ? form->host_header
                                                 : PLATFORM_HOST_HEADER,
                                             form->path, headers),
                        ==, form->status);
    }
}

static void
test_form(gconstpointer arg)
{
    static const struct form nothing = {.name = "nothing"};
    const struct form *form = arg;

    put_config("\"k1\",\"k2\"", "," ROUTE("old", "svc.example", "/old/", APP),
               &nothing);
    AWAIT(RELAY_PROCESS_STATUS(&f, "/any/x", "Key: k2") == 200 &&
              RELAY_PROCESS_STATUS(&f, "/old/x", "Key: k1") == 200,
          RELAY_PROCESS_TIMEOUT_MS);
    put_config("\"k1\"", "", form);
    assert_in_force(form);
    process_kill(&f.host);
    relay_process_start_host(&f);
    assert_in_force(form);
}

/* Forms of the list of organisations once it names none. */
static const struct organisations_form {
    const char *name, *member;
    /* Status of a call with a removed key, an unknown key and without a key.
     */
    long removed, unknown, none;
} organisations_forms[] = {
    {"empty list", "\"tenants\":[],", 401, 401, 401},
    {"null", "\"tenants\":null,", 503, 503, 401},
    {"no list", "", 401, 401, 200},
};

static void
assert_organisations(const struct organisations_form *form)
{
    RELAY_PROCESS_AWAIT_STATUS(&f, form->removed, "/any/x", "Key: k1");
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", "Key: nobody"), ==,
                    form->unknown);
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", "X-None: 1"), ==,
                    form->none);
}

/* Guards against keys that work after the last organisation was removed. */
static void
test_organisations(gconstpointer arg)
{
    static const struct form nothing = {.name = "nothing"};
    const struct organisations_form *form = arg;

    put_config("\"k1\"", "", &nothing);
    RELAY_PROCESS_AWAIT_STATUS(&f, 200, "/any/x", "Key: k1");
    put_text(g_strdup_printf("{\"version\":%d," LIMITS
                             ",\"services\":[{\"name\":\"app\"}],"
                             "%s\"routes\":[" ANY_ROUTE "]}",
                             ++f.version, form->member));
    assert_organisations(form);
    process_kill(&f.host);
    relay_process_start_host(&f);
    assert_organisations(form);
}

#define TEN(text) text text text text text text text text text text
#define LABEL "l3456789012345678901234567890123456789012345678."
#define LONG_HOST LABEL LABEL LABEL LABEL LABEL "example"
#define LONG_NAME TEN("name567890123456789") "long"
#define LONG_PREFIX "/" TEN("long-directory-name-of-forty-characters-") "/"
#define TOO_LONG_PREFIX LONG_PREFIX TEN("long-directory-name-of-forty-/")
#define BACKENDS(list)                                                        \
    "," ROUTE("added", "svc.example", "/added/", "\"backends\":[" list "]")
#define ADDED(more) "," ROUTE("added", "svc.example", "/added/", more)
#define EMPTY_SERVICES                                                        \
    ",{\"name\":\"e1\"},{\"name\":\"e2\"},{\"name\":\"e3\"},"                 \
    "{\"name\":\"e4\"},{\"name\":\"e5\"},{\"name\":\"e6\"},"                  \
    "{\"name\":\"e7\"},{\"name\":\"e8\"}"
#define NO_SHARE(service) "{\"service\":\"" service "\",\"weight\":0}"
#define NO_SHARES                                                             \
    NO_SHARE("e1")                                                            \
    "," NO_SHARE("e2") "," NO_SHARE("e3") "," NO_SHARE("e4") "," NO_SHARE(    \
        "e5") "," NO_SHARE("e6") "," NO_SHARE("e7") "," NO_SHARE("e8")

static const struct form forms[] = {
    {"nothing", NULL, NULL, NULL, NULL, NULL, 0, 401},
    {"long host name", NULL, NULL,
     "," ROUTE("added", LONG_HOST, "/added/", APP), "/added/x",
     "Host: " LONG_HOST ":8080", 200, 401},
    {"host name in another case", NULL, NULL,
     "," ROUTE("added", "Annex.Example", "/added/", APP), "/added/x",
     "Host: aNNEX.example:80", 200, 401},
    {"long prefix", NULL, NULL,
     "," ROUTE("added", "svc.example", LONG_PREFIX, APP), LONG_PREFIX "x",
     NULL, 200, 401},
    {"long route name", NULL, NULL,
     "," ROUTE(LONG_NAME, "svc.example", "/added/", APP), "/added/x", NULL,
     200, 401},
    {"route name of any length", NULL, NULL,
     "," ROUTE(LONG_NAME LONG_NAME, "svc.example", "/added/", APP), "/added/x",
     NULL, 200, 401},
    {"long service name", ",{\"name\":\"" LONG_NAME "\"}", NULL,
     ADDED("\"service\":\"" LONG_NAME "\""), "/added/x", NULL, 503, 401},
    {"long organisation name", NULL,
     ",{\"name\":\"" LONG_NAME "\",\"apiKeys\":[\"k3\"]}", NULL, "/any/x",
     NULL, 200, 401},
    {"long zone",
     ",{\"name\":\"s\",\"scaling\":{\"min\":1,\"max\":2,\"zonePrices\":{"
     "\"" LONG_NAME "\":1}}}",
     NULL, NULL, NULL, NULL, 0, 401},
    {"fractions", NULL, NULL, BACKENDS("{\"service\":\"app\",\"weight\":0.5}"),
     "/added/x", NULL, 200, 401},
    {"many backends", EMPTY_SERVICES, NULL,
     BACKENDS(NO_SHARES ",{\"service\":\"app\",\"weight\":1}"), "/added/x",
     NULL, 200, 401},
    {"null members", NULL,
     ",{\"name\":\"b\",\"apiKeys\":[\"k3\"],\"priority\":null}",
     ADDED(APP ",\"priority\":null,\"attempts\":null"), "/added/x", NULL, 200,
     401},
    /* Items that cannot be read: the rest is in force. */
    {"prefix too long", NULL, NULL,
     "," ROUTE("added", "svc.example", TOO_LONG_PREFIX, APP),
     TOO_LONG_PREFIX "x", NULL, 503, 503},
    {"organisation name too long", NULL,
     ",{\"name\":\"" LONG_NAME LONG_NAME "\",\"apiKeys\":[\"k3\"]}", NULL,
     NULL, NULL, 0, 503},
    {"service name too long", ",{\"name\":\"" LONG_NAME LONG_NAME "\"}", NULL,
     ADDED("\"service\":\"" LONG_NAME LONG_NAME "\""), "/added/x", NULL, 503,
     503},
    {"weight that is no number", NULL, NULL,
     BACKENDS("{\"service\":\"app\",\"weight\":\"1\"}"), "/added/x", NULL, 503,
     503},
    {"unknown service", NULL, NULL, ADDED("\"service\":\"none\""), "/added/x",
     NULL, 503, 503},
    {"items that are no objects", ",5", ",[]", ",\"x\"", NULL, NULL, 0, 503},
};

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    for (guint i = 0; i < G_N_ELEMENTS(forms); i++) {
        char *path = g_strdup_printf("/config-forms/%s", forms[i].name);

        g_test_add_data_func(path, &forms[i], test_form);
        g_free(path);
    }
    for (guint i = 0; i < G_N_ELEMENTS(organisations_forms); i++) {
        char *path = g_strdup_printf("/config-forms/organisations/%s",
                                     organisations_forms[i].name);

        g_test_add_data_func(path, &organisations_forms[i],
                             test_organisations);
        g_free(path);
    }
    rc = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return rc;
}
