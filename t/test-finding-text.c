/* Tests of finding-text.h: texts of findings. */
#include "finding-text.h"
#include "error.h"

/* Guards against a consequence that hosts do not have. */
static void
test_explanations(void)
{
    static const struct {
        struct ct_finding finding;
        const char *text;
    } cases[] = {
        {{.kind = CT_FINDING_LEFT_OUT,
          .item = CT_CONFIG_POOL,
          .detail = "min",
          .reason = CT_ERR_FIELD_TYPE},
         "service: min: wrong type; hosts use the service without it"},
        {{.kind = CT_FINDING_LEFT_OUT,
          .item = CT_CONFIG_POOL,
          .whole = true,
          .reason = CT_ERR_FIELD_TYPE},
         "service: wrong type; hosts do not know the service"},
        {{.kind = CT_FINDING_LEFT_OUT, .reason = CT_ERR_FIELD_RANGE},
         "limits: value not allowed; the limits in force stay"},
        {{.kind = CT_FINDING_SCALING_BOUNDS, .value = 3, .limit = 2},
         "lower bound 3 of scaling is above the upper bound 2"},
        {{.kind = CT_FINDING_REMOVED, .item = CT_CONFIG_PREFIX_ROUTE},
         "route removed; its callers are refused"},
        {{.kind = CT_FINDING_REMOVED,
          .item = CT_CONFIG_PREFIX_ROUTE,
          .other = {"r1"}},
         "route removed; its calls take the route r1"},
        {{.kind = CT_FINDING_REMOVED,
          .item = CT_CONFIG_KEY,
          .other = {"acme"}},
         "key of acme removed; callers that use it are refused"},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *text = g_string_new(NULL);

        ct_finding_explain(&cases[i].finding, text);
        g_assert_cmpstr(text->str, ==, cases[i].text);
        g_string_free(text, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/finding-text/explanations", test_explanations);
    return g_test_run();
}
