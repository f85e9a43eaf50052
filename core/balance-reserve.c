#include "balance-reserve.h"

#include <glib.h>
#include <stdlib.h>

#include "candidates.h"

/* Prompts of up to this length count as short. */
#define SHORT_PROMPT_TOKENS 4096
/*
 * Percentage of the upstreams that is reserved for interactive requests, and
 * its maximum when these need more. A pool with fewer upstreams than
 * RESERVE_MIN_UPSTREAMS reserves none.
 */
#define RESERVED_PERCENT 15
#define RESERVED_MAX_PERCENT 50
#define RESERVE_MIN_UPSTREAMS 3
#define RESERVE_SEED UINT64_C(0x5b0f7c1d2a94e863)

/*
 * More upstreams are reserved if more than this percentage of their slots is
 * in use, because full engines interrupt running requests. If the load of the
 * other hosts is not known, they are assumed to send as much as this one.
 */
#define RESERVED_FULL_PERCENT 50

uint64_t
ct_rendezvous_hash(uint64_t prefix_hash, uint64_t name_hash)
{
    uint64_t z = prefix_hash ^ name_hash;

    /* The steps of splitmix64 mix the pair. */
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint64_t
ct_balance_reserve_hash(const struct ct_candidate *candidate)
{
    return ct_rendezvous_hash(RESERVE_SEED, candidate->name_hash);
}

static bool
is_short_prompt(const struct ct_balance_request *request)
{
    return request->prompt_tokens <= SHORT_PROMPT_TOKENS;
}

bool
ct_balance_is_interactive(const struct ct_balance_request *request)
{
    return request->tight_gap && is_short_prompt(request);
}

struct reserve_entry {
    uint64_t hash;
    uint64_t in_flight;
    uint32_t slots;
};

static int
compare_entries(const void *a, const void *b)
{
    const struct reserve_entry *x = a;
    const struct reserve_entry *y = b;

    return (x->hash > y->hash) - (x->hash < y->hash);
}

/* Lists the healthy candidates in the order in which they are reserved. */
static uint32_t
list_reserve(struct ct_balance_base *base,
             const struct ct_balance_request *request,
             const struct ct_candidate *candidates, uint32_t n,
             bool load_known, struct reserve_entry *out)
{
    uint32_t listed = 0;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);

        if (row && !candidates[i].excluded &&
            row->ejected_until_ms <= request->now_ms) {
            out[listed++] = (struct reserve_entry){
                .hash = ct_balance_reserve_hash(&candidates[i]),
                .in_flight = load_known ? ct_balance_load(&candidates[i], row)
                                        : row->in_flight,
                .slots = candidates[i].slots,
            };
        }
    }
    qsort(out, listed, sizeof(out[0]), compare_entries);
    return listed;
}

bool
ct_balance_exceeds_reserve(uint64_t in_flight, uint64_t slots, uint32_t hosts)
{
    return in_flight * hosts * 100 > slots * RESERVED_FULL_PERCENT;
}

struct ct_balance_reserve
ct_balance_reserve(struct ct_balance_base *base,
                   const struct ct_balance_request *request,
                   const struct ct_candidate *candidates, uint32_t n)
{
    struct reserve_entry entries[CT_CANDIDATES_MAX];
    bool load_known = ct_balance_load_is_known(candidates, n);
    uint32_t hosts = load_known ? 1 : request->hosts;
    uint32_t listed =
        list_reserve(base, request, candidates, MIN(n, CT_CANDIDATES_MAX),
                     load_known, entries);
    uint32_t least = MAX((listed * RESERVED_PERCENT + 50) / 100, 1);
    uint32_t most = MAX(listed * RESERVED_MAX_PERCENT / 100, least);
    uint64_t in_flight = 0;
    uint64_t slots = 0;
    uint32_t reserved = 0;

    if (!request->prefix_hash || listed < RESERVE_MIN_UPSTREAMS) {
        return (struct ct_balance_reserve){0};
    }
    while (reserved < least ||
           (reserved < most &&
            ct_balance_exceeds_reserve(in_flight, slots, hosts))) {
        in_flight += entries[reserved].in_flight;
        slots += entries[reserved].slots;
        reserved++;
    }
    return (struct ct_balance_reserve){
        .up_to = entries[reserved - 1].hash,
        .full = ct_balance_exceeds_reserve(in_flight, slots, hosts),
    };
}
