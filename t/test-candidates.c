/* Tests of candidates.h: which upstreams of a pool become candidates. */
#include "candidates.h"
#include "lib-relay.h"

static void
test_list(void)
{
    static const struct ct_name zone_b = {"zone-b"};
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    struct ct_candidate_filter filter = {.state = CT_UPSTREAM_RUNNING};
    struct ct_name pool = {"engines"};
    struct ct_handle tried[1];
    struct t_core core;

    t_relay_setup(&core, 3);
    filter.pool = ct_config_pool(&core.state->config, &pool);
    g_assert_cmpuint(
        ct_candidates_list(core.state, &filter, candidates, CT_CANDIDATES_MAX),
        ==, 3);
    for (int i = 0; i < 3; i++) {
        g_assert_false(candidates[i].same_zone);
        g_assert_false(candidates[i].excluded);
        g_assert_cmpuint(candidates[i].slots, ==, 8);
    }
    tried[0] = candidates[1].upstream;
    filter.zone = &zone_b;
    filter.tried = tried;
    filter.n_tried = 1;
    g_assert_cmpuint(
        ct_candidates_list(core.state, &filter, candidates, CT_CANDIDATES_MAX),
        ==, 3);
    for (int i = 0; i < 3; i++) {
        const struct ct_upstream_row *upstream = ct_table_get(
            &core.state->config.upstreams, candidates[i].upstream);

        g_assert_cmpint(candidates[i].excluded, ==, i == 1);
        g_assert_cmpint(candidates[i].same_zone, ==,
                        ct_name_eq(&upstream->conf.zone, &zone_b));
    }
    filter.state = CT_UPSTREAM_UNCONFIRMED;
    g_assert_cmpuint(
        ct_candidates_list(core.state, &filter, candidates, CT_CANDIDATES_MAX),
        ==, 0);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/candidates/list", test_list);
    return g_test_run();
}
