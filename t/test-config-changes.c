/* Tests of config-changes.h: differences between two configurations. */
#include <string.h>

#include "config-changes.h"
#include "config-entry.h"
#include "error.h"

#define LIMITS(bytes)                                                         \
    "\"limits\":{\"maxHeaderBytes\":" bytes ",\"maxBodyBytes\":4194304,"      \
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
#define CONFIG(version, services, organisations, routes)                      \
    "{\"version\":" version "," LIMITS("16384") ",\"services\":[" services    \
                                                "]" organisations             \
                                                ",\"routes\":[" routes "]}"
#define ORGANISATIONS(list) ",\"tenants\":[" list "]"
#define ROUTE(name, host, prefix, more)                                       \
    "{\"name\":\"" name "\",\"host\":\"" host "\",\"pathPrefix\":\"" prefix   \
    "\",\"type\":\"safe\",\"timeoutMs\":9000," more "}"
#define BACKENDS(a, b)                                                        \
    "\"backends\":[{\"service\":\"s1\",\"weight\":" a                         \
    "},{\"service\":\"s2\",\"weight\":" b "}]"
#define S1 "{\"name\":\"s1\"}"
#define S2(max, zone)                                                         \
    "{\"name\":\"s2\",\"scaling\":{\"min\":1,\"max\":" max                    \
    ",\"zonePrices\":{\"" zone "\":1}}}"
#define ACME "{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k2\"]}"
#define R1 ROUTE("r1", "a", "/x/", "\"service\":\"s1\"")
#define IN_FORCE                                                              \
    CONFIG("7", S1 "," S2("2", "za"), ORGANISATIONS(ACME),                    \
           R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3")))

/* First digits of the SHA-256 of the keys k1, k2 and k3. */
#define K1 "6ab9f1eb"
#define K2 "015f7e6b"
#define K3 "2f5052c9"

/* Expected: "KIND NAME OTHER DETAIL;" for each difference from IN_FORCE. */
static const struct {
    const char *next;
    const char *expected;
} cases[] = {
    {CONFIG("8", S1 "," S2("2", "za"), ORGANISATIONS(ACME),
            R1 "," ROUTE("r2", "A", "/x/y/", BACKENDS("1", "3"))),
     ""},
    /* A version that hosts ignore. */
    {IN_FORCE, "old-version version  ;"},
    /* The calls of a removed route go to the next shorter prefix, if any. */
    {CONFIG("8", S1 "," S2("2", "za"), ORGANISATIONS(ACME), R1),
     "removed r2 r1 ;"},
    {CONFIG("8", S1 "," S2("2", "za"), ORGANISATIONS(ACME),
            ROUTE("r1", "b", "/x/", "\"service\":\"s1\"") "," ROUTE(
                "r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "removed r1  ;added r1  ;"},
    /* A route keeps its identity under another name. */
    {CONFIG("8", S1 "," S2("2", "za"), ORGANISATIONS(ACME),
            ROUTE("other", "a", "/x/",
                  "\"service\":\"s1\",\"attempts\":2,\"sloMs\":5,"
                  "\"public\":true") "," ROUTE("r2", "a", "/x/y/",
                                               BACKENDS("1", "4"))),
     "changed other  name, open to all, attempts, target;"
     "changed r2  services;"},
    {CONFIG("8", S1 "," S2("2", "za"), ORGANISATIONS(ACME),
            R1 "," ROUTE("r2", "a", "/x/y/", "\"service\":\"s1\"")),
     "changed r2  services;"},
    {CONFIG("8", S1 "," S2("3", "zb"), ORGANISATIONS(ACME),
            R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "changed s2  bounds of scaling, zones;"},
    {CONFIG("8", S1 "," S2("2", "za") ",{\"name\":\"s3\"}",
            ORGANISATIONS(ACME),
            R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "added s3  ;"},
    /* Organisations and keys; a key may move to another organisation. */
    {CONFIG("8", S1 "," S2("2", "za"),
            ORGANISATIONS("{\"name\":\"acme\",\"apiKeys\":[\"k2\"],"
                          "\"priority\":0}"),
            R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "changed acme  priority;removed " K1 " acme ;"},
    {CONFIG("8", S1 "," S2("2", "za"),
            ORGANISATIONS("{\"name\":\"b\",\"apiKeys\":[\"k1\",\"k3\"]}"),
            R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "removed acme  ;added b  ;removed " K2 " acme ;"
     "changed " K1 " b organisation;added " K3 " b ;"},
    /* Without a list of organisations hosts require no keys. */
    {CONFIG("8", S1 "," S2("2", "za"), "",
            R1 "," ROUTE("r2", "a", "/x/y/", BACKENDS("1", "3"))),
     "keys-dropped organisations  ;removed acme  ;removed " K1
     " acme ;removed " K2 " acme ;"},
    {"{\"version\":8," LIMITS("8192") ",\"services\":[" S1 "," S2(
         "2", "za") "]" ORGANISATIONS(ACME) ",\"routes\":[" R1
                                            "," ROUTE("r2", "a", "/x/y/",
                                                      BACKENDS("1", "3")) "]}",
     "changed limits  bytes of a head;"},
};

static void
decode(struct ct_decoded_config *decoded, const char *text)
{
    ct_decoded_config_init(decoded);
    g_assert_cmpint(ct_config_entry_decode(text, strlen(text), decoded), ==,
                    CT_OK);
    g_assert_cmpuint(decoded->left_out->len, ==, 0);
}

static GString *
find_changes(const char *next_text, const char *in_force_text)
{
    GArray *findings = g_array_new(FALSE, TRUE, sizeof(struct ct_finding));
    GString *found = g_string_new(NULL);
    struct ct_decoded_config in_force;
    struct ct_decoded_config next;

    decode(&next, next_text);
    decode(&in_force, in_force_text);
    ct_config_changes(&next, &in_force, findings);
    for (guint i = 0; i < findings->len; i++) {
        const struct ct_finding *finding =
            &g_array_index(findings, struct ct_finding, i);

        g_string_append_printf(
            found, "%s %s %s %s;", ct_finding_kind_name(finding->kind),
            finding->name.text, finding->other.text, finding->detail);
    }
    ct_decoded_config_free(&next);
    ct_decoded_config_free(&in_force);
    g_array_free(findings, TRUE);
    return found;
}

/* Each case guards against a difference that is not reported, or invented. */
static void
test_changes(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *found = find_changes(cases[i].next, IN_FORCE);

        g_test_message("%s", cases[i].next);
        g_assert_cmpstr(found->str, ==, cases[i].expected);
        g_string_free(found, TRUE);
    }
}

/* Guards against keys that are required without a warning. */
static void
test_keys_demanded(void)
{
    GString *found = find_changes(CONFIG("8", S1, ORGANISATIONS(""), R1),
                                  CONFIG("7", S1, "", R1));

    g_assert_cmpstr(found->str, ==, "keys-demanded organisations  ;");
    g_string_free(found, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-changes/table", test_changes);
    g_test_add_func("/config-changes/keys-demanded", test_keys_demanded);
    return g_test_run();
}
