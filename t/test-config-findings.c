/* Tests of config-findings.h: checks on a configuration by itself. */
#include <string.h>

#include "config-entry.h"
#include "config-findings.h"
#include "error.h"

#define LIMITS(head, head_ms)                                                 \
    "\"limits\":{\"maxHeaderBytes\":" head ",\"maxBodyBytes\":4194304,"       \
    "\"headerTimeoutMs\":" head_ms ",\"idleTimeoutMs\":15000}"
#define GOOD_LIMITS LIMITS("16384", "15000")
#define ROUTE(name, prefix, members)                                          \
    "{\"name\":\"" name "\",\"host\":\"a\",\"pathPrefix\":\"" prefix          \
    "\",\"timeoutMs\":9000," members "}"
#define SAFE "\"type\":\"safe\",\"service\":\"s1\""
#define STREAM "\"type\":\"stream\",\"service\":\"s1\""
#define UNSAFE "\"type\":\"unsafe\",\"service\":\"s1\""
#define ADDED(members) "," ROUTE("r2", "/y/", members)
#define BACKENDS(list) ADDED("\"type\":\"safe\",\"backends\":[" list "]")

/*
 * Each case guards against a fault of that kind that is not found, or that
 * leads to other findings too. Expected: "KIND NAME OTHER;" for each finding.
 */
static const struct {
    const char *limits, *services, *organisations, *routes;
    const char *expected;
} cases[] = {
    {GOOD_LIMITS, "", "", "", ""},
    /* Values at their bounds, and members of other route types. */
    {GOOD_LIMITS, "", "",
     ADDED(STREAM ",\"sloMs\":9000,\"itlTargetMs\":9000,\"attempts\":3,"
                  "\"resumable\":true"),
     ""},
    {GOOD_LIMITS, "", "", ADDED(UNSAFE ",\"attempts\":1"), ""},
    {GOOD_LIMITS, "", "", ADDED(SAFE ",\"resumable\":false"), ""},
    {GOOD_LIMITS, "", "", BACKENDS("{\"service\":\"s1\",\"weight\":0.001}"),
     ""},
    /* Left out. */
    {LIMITS("\"x\"", "3000"), "", "", "", "left-out limits ;"},
    {GOOD_LIMITS, ",5,{\"name\":7}", "", "", "left-out #2 ;left-out #3 ;"},
    {GOOD_LIMITS, "", ",{\"apiKeys\":[\"k9\"]}", "", "left-out #2 ;"},
    {GOOD_LIMITS, "", ",{\"name\":\"b\",\"apiKeys\":[\"k2\",3]}", "",
     "left-out b ;"},
    {GOOD_LIMITS, "", "", ADDED("\"service\":\"s1\""), "left-out r2 ;"},
    {GOOD_LIMITS, "", "", ",{\"name\":\"r2\"},7",
     "left-out r2 ;left-out #3 ;"},
    /* References and names. */
    {GOOD_LIMITS, "", "", ADDED("\"type\":\"safe\",\"service\":\"s9\""),
     "unknown-service r2 s9;"},
    {GOOD_LIMITS, "", "",
     BACKENDS("{\"service\":\"s1\",\"weight\":1},"
              "{\"service\":\"s9\",\"weight\":1}"),
     "unknown-service r2 s9;"},
    {GOOD_LIMITS, ",{\"name\":\"s1\"}", "", "", "duplicate-name s1 ;"},
    {GOOD_LIMITS, "", ",{\"name\":\"acme\",\"apiKeys\":[\"k2\"]}", "",
     "duplicate-name acme ;"},
    {GOOD_LIMITS, "", "", "," ROUTE("r1", "/y/", SAFE), "duplicate-name r1 ;"},
    {GOOD_LIMITS, "", ",{\"name\":\"b\",\"apiKeys\":[\"k2\",\"k1\"]}", "",
     "shared-key b acme;"},
    {GOOD_LIMITS, "", ",{\"name\":\"b\",\"apiKeys\":[\"k2\",\"k2\"]}", "",
     "repeated-key b ;"},
    /* A route is not called by the hash that replaces a name in use. */
    {GOOD_LIMITS, "", "", "," ROUTE("r1", "/y", SAFE),
     "duplicate-name r1 ;prefix-form a/y ;"},
    {GOOD_LIMITS, "", "", ",{\"host\":\"A\",\"pathPrefix\":\"/x/\"}",
     "left-out a/x/ ;hidden-route a/x/ r1;"},
    /* Without effect. */
    {GOOD_LIMITS, "", "", "," ROUTE("r2", "/x/", SAFE), "hidden-route r2 r1;"},
    {GOOD_LIMITS, "", "", "," ROUTE("r2", "y/", SAFE), "prefix-form r2 ;"},
    {GOOD_LIMITS, "", "", "," ROUTE("r2", "/y", SAFE), "prefix-form r2 ;"},
    {GOOD_LIMITS, ",{\"name\":\"s2\"}", "",
     BACKENDS("{\"service\":\"s1\",\"weight\":1},"
              "{\"service\":\"s2\",\"weight\":0}"),
     "zero-weight r2 s2;"},
    {GOOD_LIMITS, "", "", BACKENDS("{\"service\":\"s1\",\"weight\":0}"),
     "zero-weight r2 s1;no-weight r2 ;"},
    {GOOD_LIMITS, ",{\"name\":\"s2\"}", "", "", "unused-service s2 ;"},
    {GOOD_LIMITS, "", ",{\"name\":\"b\",\"apiKeys\":[]}", "", "no-keys b ;"},
    {GOOD_LIMITS, "", ",{\"name\":\"b\"}", "", "no-keys b ;"},
    /* Contradictions. */
    {GOOD_LIMITS, "", "", ADDED(SAFE ",\"sloMs\":9001"),
     "target-above-timeout r2 ;"},
    {GOOD_LIMITS, "", "", ADDED(STREAM ",\"itlTargetMs\":9001"),
     "gap-above-timeout r2 ;"},
    {GOOD_LIMITS, "", "", ADDED(SAFE ",\"attempts\":0"), "no-attempts r2 ;"},
    {GOOD_LIMITS, "", "", ADDED(SAFE ",\"resumable\":true"),
     "resume-no-stream r2 ;"},
    {GOOD_LIMITS, "", "", ADDED(UNSAFE ",\"attempts\":2"),
     "unsafe-attempts r2 ;"},
    {GOOD_LIMITS, ",{\"name\":\"s2\",\"scaling\":{\"min\":3,\"max\":2}}", "",
     ADDED("\"type\":\"safe\",\"service\":\"s2\""), "scaling-bounds s2 ;"},
    {LIMITS("16385", "3000"), "", "", "", "head-limit limits ;"},
    {LIMITS("16384", "15001"), "", "", "", "head-timeout limits ;"},
};

static void
test_findings(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"version\":7,%s,\"services\":[{\"name\":\"s1\"}%s],"
            "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\"]}%s],"
            "\"routes\":[" ROUTE("r1", "/x/", SAFE) "%s]}",
            cases[i].limits, cases[i].services, cases[i].organisations,
            cases[i].routes);
        GArray *findings = g_array_new(FALSE, TRUE, sizeof(struct ct_finding));
        GString *found = g_string_new(NULL);
        struct ct_decoded_config decoded;

        g_test_message("%s", text);
        ct_decoded_config_init(&decoded);
        g_assert_cmpint(ct_config_entry_decode(text, strlen(text), &decoded),
                        ==, CT_OK);
        ct_config_findings(&decoded, findings);
        for (guint j = 0; j < findings->len; j++) {
            const struct ct_finding *finding =
                &g_array_index(findings, struct ct_finding, j);

            g_string_append_printf(found, "%s %s %s;",
                                   ct_finding_kind_name(finding->kind),
                                   finding->name.text, finding->other.text);
        }
        g_assert_cmpstr(found->str, ==, cases[i].expected);
        ct_decoded_config_free(&decoded);
        g_array_free(findings, TRUE);
        g_string_free(found, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-findings/table", test_findings);
    return g_test_run();
}
