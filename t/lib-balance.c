#include "lib-balance.h"

void
balance_set_up(struct balance_fixture *f)
{
    *f = (struct balance_fixture){.policy = ct_balance_prefix_home_new(1)};
    f->request.now_ms = 1000;
    f->request.cheap_allowed = true;
    f->request.tight_gap = true;
    for (uint32_t i = 0; i < BALANCE_CANDIDATES; i++) {
        f->candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
        };
    }
}

int
balance_choose_for_prefix(struct balance_fixture *f, uint64_t prefix)
{
    f->request.prefix_hash = prefix;
    return f->policy->ops->choose_upstream(f->policy, &f->request,
                                           f->candidates, BALANCE_CANDIDATES);
}

void
balance_start_request(struct balance_fixture *f, int i)
{
    f->policy->ops->started(f->policy, f->candidates[i].upstream,
                            f->request.now_ms);
}

void
balance_tear_down(struct balance_fixture *f)
{
    f->policy->ops->free(f->policy);
}
