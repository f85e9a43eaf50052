/* Tests of config-finding.h: names and texts of findings. */
#include <string.h>

#include "config-finding.h"

/* Guards against two kinds that scripts cannot tell apart. */
static void
test_kinds(void)
{
    g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

    for (int kind = 0; kind < CT_FINDING_COUNT; kind++) {
        const char *name = ct_finding_kind_name(kind);

        g_assert_true(g_hash_table_add(names, (gpointer)name));
        g_assert_null(strchr(name, ' '));
    }
    g_assert_cmpstr(ct_finding_severity_name(CT_FINDING_LEFT_OUT), ==,
                    "error");
    g_assert_cmpstr(ct_finding_severity_name(CT_FINDING_NO_KEYS), ==,
                    "warning");
    g_assert_cmpstr(ct_finding_severity_name(CT_FINDING_ADDED), ==, "info");
}

/* Guards against a key's digest that is shown in full. */
static void
test_key_name(void)
{
    const struct ct_digest digest = {{0x01, 0xab, 0xff, 0x00, 0x77}};
    struct ct_name name = {""};

    ct_finding_name_key(&digest, &name);
    g_assert_cmpstr(name.text, ==, "01abff00");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-finding/kinds", test_kinds);
    g_test_add_func("/config-finding/key-name", test_key_name);
    return g_test_run();
}
