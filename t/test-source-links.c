/* Tests of source-links.h: which sources a host opens links to. */
#include <string.h>

#include "lib-host-group.h"
#include "source-links.h"

static void
assert_links(const struct t_group *group, uint32_t host, const char *expected)
{
    GArray *links = ct_source_links(group->hosts[host].state);
    GString *names = g_string_new(NULL);

    for (guint i = 0; i < links->len; i++) {
        g_string_append_printf(
            names, "%s%s", i > 0 ? " " : "",
            g_array_index(links, struct ct_host, i).name.text);
    }
    g_assert_cmpstr(names->str, ==, expected);
    g_string_free(names, TRUE);
    g_array_free(links, TRUE);
}

/*
 * Each pair of sources has one link. A host that other hosts do not count as a
 * source, but that has none itself, opens links to all.
 */
static void
test_links(void)
{
    struct t_group *group = t_group_new(43, 20, 0);

    assert_links(group, 0, "");
    assert_links(group, 1, "h00");
    assert_links(group, 20, "h00 h01");
    assert_links(group, 42, "h00 h01 h20 h21 h40 h41");
    assert_links(group, 5, "h00 h01 h20 h21 h40 h41 h42");
    t_group_free(group);
}

/* Without the list of the group no link is opened. */
static void
test_unknown_group(void)
{
    struct t_core core;
    GArray *links;

    t_relay_init(&core);
    links = ct_source_links(core.state);
    g_assert_cmpuint(links->len, ==, 0);
    g_array_free(links, TRUE);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/source-links/links", test_links);
    g_test_add_func("/source-links/unknown-group", test_unknown_group);
    return g_test_run();
}
