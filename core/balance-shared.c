#include "balance-shared.h"

#include <glib.h>

#include "balance-reserve.h"

/*
 * A home is over its bound above this percentage of the mean load per slot
 * plus HOME_EXTRA: in a small load, one request more says nothing.
 */
#define HOME_MEAN_PERCENT 125
#define HOME_EXTRA 1
/*
 * It is also over its bound above this percentage of its slots, unless the
 * mean is higher: with random arrivals an engine that is fuller than this on
 * average often has all slots in use.
 */
#define HOME_SLOTS_PERCENT 75

/*
 * A part changes by at most its own size in these times. The times must be
 * longer than the age of the load (2.5 s at most), or the part follows load
 * that it caused itself, and swings. It rises more slowly than it falls,
 * because requests wait at an upstream that gets too many.
 */
#define PART_FALL_MS 5000
#define PART_RISE_MS 10000
/* The longest time between two choices for which a part is adjusted. */
#define PART_STEP_MAX_MS 1000
/* A part that was not adjusted for this long is outdated and set to full. */
#define PART_KEEP_MS 60000
#define PART_MIN (CT_BALANCE_PART_FULL / 64)

/*
 * The relative difference in load of two candidates, times a weight, is added
 * to the probability of the one with less load. The weight in permille is
 * PAIR_PERMILLE_MS divided by the age of the load in ms, within the limits
 * below: short calls that ended since make an old difference say little.
 */
#define PAIR_PERMILLE_MS 250000
#define PAIR_PERMILLE_MIN 100
#define PAIR_PERMILLE_MAX 10000

/*
 * Requests with a short target for gaps pass over upstreams with less than
 * this percentage of the median speed, whose streams would miss the target.
 */
#define SLOW_PERCENT 70

/* What a random number is drawn for; homes use the hash of their name. */
enum draw_purpose {
    DRAW_FIRST = 1,
    DRAW_SECOND,
    DRAW_ONE_OF_PAIR,
};

/* Returns a number below n. */
static uint32_t
draw_below(const struct ct_balance_shared *shared, uint64_t purpose,
           uint32_t n)
{
    uint64_t random = ct_rendezvous_hash(shared->request->random, purpose);

    return (uint32_t)(((random >> 32) * n) >> 32);
}

static uint64_t
slots_of(const struct ct_candidate *candidate)
{
    return MAX(candidate->slots, 1);
}

static uint32_t
speed_of(const struct ct_candidate *candidate)
{
    return candidate->speed_percent ? candidate->speed_percent : 100;
}

static uint64_t
capacity_of(const struct ct_candidate *candidate)
{
    return slots_of(candidate) * speed_of(candidate);
}

static bool
is_slow(const struct ct_candidate *candidate)
{
    return speed_of(candidate) < SLOW_PERCENT;
}

static void
add_to_totals(struct ct_balance_totals *totals,
              const struct ct_candidate *candidate, uint64_t load)
{
    totals->n++;
    totals->load += load;
    totals->slots += slots_of(candidate);
    totals->capacity += capacity_of(candidate);
}

void
ct_balance_shared_add(struct ct_balance_shared *shared,
                      const struct ct_candidate *candidate,
                      const struct ct_balance_row *row)
{
    uint64_t load = ct_balance_load(candidate, row);

    add_to_totals(&shared->all, candidate, load);
    if (!is_slow(candidate)) {
        add_to_totals(&shared->quick, candidate, load);
    }
}

/* Returns the bound of n homes together, with these slots and capacity. */
static uint64_t
home_bound(const struct ct_balance_shared *shared, uint32_t n, uint64_t slots,
           uint64_t capacity)
{
    uint64_t all = MAX(shared->all.capacity, 1);
    uint64_t extra = (uint64_t)n * HOME_EXTRA;
    uint64_t mean = shared->all.load * capacity / all;
    uint64_t bound =
        shared->all.load * capacity * HOME_MEAN_PERCENT / (100 * all) + extra;

    return MIN(bound, MAX(mean + extra, slots * HOME_SLOTS_PERCENT / 100));
}

uint64_t
ct_balance_shared_bound(const struct ct_balance_shared *shared,
                        const struct ct_candidate *candidate)
{
    uint64_t capacity = capacity_of(candidate);

    if (!shared->request->prefix_hash) {
        return shared->all.load * capacity / MAX(shared->all.capacity, 1);
    }
    return home_bound(shared, 1, slots_of(candidate), capacity);
}

void
ct_balance_shared_decide_speed(struct ct_balance_shared *shared)
{
    const struct ct_balance_totals *quick = &shared->quick;

    shared->passes_slow =
        shared->request->short_gap && quick->n > 0 &&
        quick->n < shared->all.n &&
        quick->load <
            home_bound(shared, quick->n, quick->slots, quick->capacity);
}

bool
ct_balance_shared_passes_over(const struct ct_balance_shared *shared,
                              const struct ct_candidate *candidate)
{
    return shared->passes_slow && is_slow(candidate);
}

void
ct_balance_shared_adjust(const struct ct_balance_shared *shared,
                         const struct ct_candidate *candidate,
                         struct ct_balance_row *row)
{
    ct_ms elapsed_ms = shared->request->now_ms - row->part_at_ms;
    int64_t load = ct_balance_load(candidate, row);
    int64_t bound = (int64_t)ct_balance_shared_bound(shared, candidate);
    int64_t off_permille;
    int64_t change;

    if (!row->part_at_ms || elapsed_ms > PART_KEEP_MS) {
        row->part = CT_BALANCE_PART_FULL;
    }
    row->part_at_ms = shared->request->now_ms;
    off_permille = (bound - load) * 1000 / MAX(MAX(load, bound), 1);
    change = row->part * off_permille / 1000 *
             MIN(elapsed_ms, PART_STEP_MAX_MS) /
             (load > bound ? PART_FALL_MS : PART_RISE_MS);
    row->part = CLAMP(row->part + change, PART_MIN, CT_BALANCE_PART_FULL);
}

bool
ct_balance_shared_skips(const struct ct_balance_shared *shared,
                        const struct ct_candidate *candidate,
                        const struct ct_balance_row *row)
{
    uint64_t load = ct_balance_load(candidate, row);
    uint64_t bound = ct_balance_shared_bound(shared, candidate);
    uint64_t part = (uint64_t)row->part;

    if (load > bound) {
        part = part * bound / load;
    }
    return draw_below(shared, candidate->name_hash,
                      (uint32_t)CT_BALANCE_PART_FULL) >= part;
}

struct ct_balance_pair
ct_balance_shared_draw(const struct ct_balance_shared *shared)
{
    uint32_t n = shared->passes_slow ? shared->quick.n : shared->all.n;
    struct ct_balance_pair pair = {0};

    pair.first = draw_below(shared, DRAW_FIRST, n);
    pair.second = pair.first;
    if (n > 1) {
        pair.second = draw_below(shared, DRAW_SECOND, n - 1);
        pair.second += pair.second >= pair.first;
    }
    return pair;
}

bool
ct_balance_shared_prefers_second(const struct ct_balance_shared *shared,
                                 const struct ct_candidate *first,
                                 const struct ct_balance_row *first_row,
                                 const struct ct_candidate *second,
                                 const struct ct_balance_row *second_row)
{
    int64_t first_load =
        (int64_t)(ct_balance_load(first, first_row) * capacity_of(second));
    int64_t second_load =
        (int64_t)(ct_balance_load(second, second_row) * capacity_of(first));
    ct_ms age_ms = MAX(MAX(first->load_age_ms, second->load_age_ms), 1);
    int64_t weight =
        CLAMP(PAIR_PERMILLE_MS / age_ms, PAIR_PERMILLE_MIN, PAIR_PERMILLE_MAX);
    int64_t permille =
        second_row->part * 1000 / (first_row->part + second_row->part);

    if (first_load == second_load &&
        first_row->in_flight != second_row->in_flight) {
        return second_row->in_flight < first_row->in_flight;
    }
    permille += (first_load - second_load) * 1000 /
                MAX(first_load + second_load, 1) * weight / 1000;
    return (int64_t)draw_below(shared, DRAW_ONE_OF_PAIR, 1000) < permille;
}
