#include "balance-affinity.h"

#include <stdlib.h>

#include "error.h"
#include "queue-rows.h"

/* Load reports older than this are ignored. */
#define REPORT_MAX_AGE_MS 5000
/* How long an upstream that declined a request counts as full. */
#define FULL_MS 100
/* Load bound of prefix affinity, in percent of the mean load. */
#define LOAD_BOUND_PERCENT 125

#define EJECT_MIN_MS 1000
#define EJECT_MAX_MS 30000
#define EJECT_SLOW_MS 5000
/*
 * Consecutive failures after which an upstream is ejected; a refused
 * connection ejects it at once.
 */
#define EJECT_FAILURES 2

/* A new sample has a weight of 1/AVERAGE_SCALE in the moving averages. */
#define AVERAGE_SCALE 16
#define MIN_GAP_SAMPLES 16
#define COMPARE_INTERVAL_MS 250
#define SLOW_PERCENT 200
/*
 * Upstreams with measurements needed for a median, so that slowness is
 * relative to enough peers; with fewer, no upstream counts as slow.
 */
#define MIN_PEERS 3

static struct ct_balance_row *
row_of(struct ct_balance_policy *policy, struct ct_handle upstream)
{
    struct ct_balance_affinity *b = (struct ct_balance_affinity *)policy;

    return ct_balance_row(&b->rows, upstream);
}

static int
compare_u64(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return (x > y) - (x < y);
}

static uint64_t
median_of(uint64_t *values, uint32_t n)
{
    if (n < MIN_PEERS) {
        return 0;
    }
    qsort(values, n, sizeof(*values), compare_u64);
    return values[n / 2];
}

/* Writes the medians over all candidates to the row of each candidate. */
static int
update_medians(struct ct_balance_affinity *b, uint32_t n, ct_ms now_ms)
{
    uint64_t median_gap_us;
    uint64_t median_first_us;
    uint32_t n_gaps = 0;
    uint32_t n_firsts = 0;

    if (ct_array_grow((void **)&b->sorted, &b->n_sorted, 2 * n,
                      sizeof(*b->sorted)) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row = b->choices[i].row;

        if (row->gap_samples >= MIN_GAP_SAMPLES) {
            b->sorted[n_gaps++] = row->scaled_gap_us;
        }
        if (row->scaled_first_us > 0) {
            b->sorted[n + n_firsts++] = row->scaled_first_us;
        }
    }
    median_gap_us = median_of(b->sorted, n_gaps);
    median_first_us = median_of(b->sorted + n, n_firsts);
    for (uint32_t i = 0; i < n; i++) {
        struct ct_balance_row *row = b->choices[i].row;

        row->median_gap_us = median_gap_us;
        row->median_first_us = median_first_us;
        row->compared_at_ms = now_ms;
    }
    return CT_OK;
}

/*
 * Whether an upstream is much slower than its peers: by the time between
 * tokens if enough samples are known, else by the time to the first byte.
 */
static bool
is_slow(const struct ct_balance_row *row)
{
    if (row->gap_samples >= MIN_GAP_SAMPLES) {
        return row->median_gap_us > 0 &&
               row->scaled_gap_us * 100 > row->median_gap_us * SLOW_PERCENT;
    }
    if (row->gap_samples > 0) {
        return false;
    }
    /*
     * The time to the first byte varies more, so its threshold is twice as
     * high.
     */
    return row->median_first_us > 0 &&
           row->scaled_first_us * 100 >
               2 * row->median_first_us * SLOW_PERCENT;
}

static void
eject_upstream(struct ct_balance_row *row, enum ct_health health,
               ct_ms first_ms, ct_ms now_ms)
{
    ct_ms wait_ms = first_ms;

    for (uint32_t i = 0; i < row->ejections && wait_ms < EJECT_MAX_MS; i++) {
        wait_ms *= 2;
    }
    if (wait_ms > EJECT_MAX_MS) {
        wait_ms = EJECT_MAX_MS;
    }
    row->health = health;
    row->probing = false;
    row->ejections++;
    row->ejected_until_ms = now_ms + wait_ms;
}

static uint32_t
load_of(const struct ct_balance_row *row, ct_ms now_ms)
{
    if (row->reported_at_ms == 0 ||
        now_ms - row->reported_at_ms > REPORT_MAX_AGE_MS) {
        return row->in_flight;
    }
    return row->in_flight + row->others_load;
}

/* Whether an ejected upstream may be sent a probe. */
static bool
may_probe(const struct ct_balance_row *row,
          const struct ct_balance_request *request)
{
    return request->may_probe && !row->probing &&
           row->ejected_until_ms <= request->now_ms;
}

/*
 * Fills in the properties of a candidate; returns whether it must be probed.
 */
static bool
evaluate_candidate(struct ct_choice *choice,
                   const struct ct_candidate *candidate,
                   const struct ct_balance_request *request)
{
    struct ct_balance_row *row = choice->row;
    bool ejected = row->health != CT_HEALTHY;

    row->slots = candidate->slots;
    choice->load = load_of(row, request->now_ms);
    choice->slots = candidate->slots > 0 ? candidate->slots : 1;
    choice->cheap = candidate->cheap;
    choice->slow = row->health == CT_EJECTED_SLOW;
    choice->eligible = !candidate->excluded && !candidate->barred &&
                       (!candidate->cheap || request->cheap_allowed) &&
                       row->in_flight < candidate->slots &&
                       row->full_until_ms <= request->now_ms;
    if (choice->eligible && ejected && may_probe(row, request)) {
        return true;
    }
    if (row->health == CT_EJECTED_FAILED) {
        choice->eligible = false;
    }
    return false;
}

/* Ejects slow candidates, but no more than a third of all may be ejected. */
static void
eject_slow(struct ct_balance_affinity *b, uint32_t n, ct_ms now_ms)
{
    uint32_t ejected = 0;

    for (uint32_t i = 0; i < n; i++) {
        ejected += b->choices[i].row->health != CT_HEALTHY;
    }
    for (uint32_t i = 0; i < n && (ejected + 1) * 3 <= n; i++) {
        struct ct_balance_row *row = b->choices[i].row;

        if (row->health == CT_HEALTHY && is_slow(row)) {
            eject_upstream(row, CT_EJECTED_SLOW, EJECT_SLOW_MS, now_ms);
            b->choices[i].slow = true;
            ejected++;
        }
    }
}

/* Whether a has less load per slot than b. */
static bool
is_less_loaded(const struct ct_choice *a, const struct ct_choice *b)
{
    return (uint64_t)a->load * b->slots < (uint64_t)b->load * a->slots;
}

/*
 * Makes all other candidates ineligible if any eligible one satisfies the
 * predicate.
 */
static void
restrict_to_preferred(struct ct_choice *choices, uint32_t n,
                      bool (*is_preferred)(const struct ct_choice *choice))
{
    bool any = false;

    for (uint32_t i = 0; i < n; i++) {
        any = any || (choices[i].eligible && is_preferred(&choices[i]));
    }
    for (uint32_t i = 0; any && i < n; i++) {
        choices[i].eligible = choices[i].eligible && is_preferred(&choices[i]);
    }
}

static bool
is_not_slow(const struct ct_choice *choice)
{
    return !choice->slow;
}

/*
 * Whether the upstream is cheap and has free slots. Such upstreams are
 * preferred, so that firm ones are left to requests that need them.
 */
static bool
is_cheap_with_free_slots(const struct ct_choice *choice)
{
    return choice->cheap && choice->load < choice->slots;
}

/* Both inputs are hashes already; the steps of splitmix64 mix the pair. */
static uint64_t
rendezvous_hash(const struct ct_balance_request *request,
                const struct ct_candidate *candidate)
{
    uint64_t z = request->prefix_hash ^ candidate->name_hash;

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

/*
 * Chooses the eligible candidate to which the prefix is assigned, within the
 * load bound.
 */
static int
choose_by_prefix(const struct ct_balance_request *request,
                 const struct ct_candidate *candidates,
                 const struct ct_choice *choices, uint32_t n)
{
    uint64_t load = 1;
    uint64_t slots = 0;
    uint64_t highest = 0;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        if (choices[i].eligible) {
            load += choices[i].load;
            slots += choices[i].slots;
        }
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_choice *choice = &choices[i];
        uint64_t hash;

        if (!choice->eligible ||
            choice->load * slots * 100 >
                load * choice->slots * LOAD_BOUND_PERCENT) {
            continue;
        }
        hash = rendezvous_hash(request, &candidates[i]);
        if (chosen < 0 || hash > highest) {
            highest = hash;
            chosen = (int)i;
        }
    }
    return chosen;
}

/*
 * Chooses the eligible candidate with the least load; one of several with
 * equal load is chosen at random.
 */
static int
choose_by_load(struct ct_balance_affinity *b, uint32_t n)
{
    uint32_t equals = 0;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_choice *choice = &b->choices[i];

        if (!choice->eligible) {
            continue;
        }
        if (chosen >= 0 && is_less_loaded(&b->choices[chosen], choice)) {
            continue;
        }
        if (chosen >= 0 && !is_less_loaded(choice, &b->choices[chosen])) {
            b->seed = b->seed * UINT64_C(6364136223846793005) + 1;
            if ((b->seed >> 33) % ++equals != 0) {
                continue;
            }
        }
        else {
            equals = 1;
        }
        chosen = (int)i;
    }
    return chosen;
}

/*
 * Finds the rows of all candidates; the pointers are valid until the next
 * call.
 */
static int
find_rows(struct ct_balance_affinity *b, const struct ct_candidate *candidates,
          uint32_t n)
{
    uint32_t last = 0;

    if (ct_array_grow((void **)&b->choices, &b->n_choices, n,
                      sizeof(*b->choices)) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < n; i++) {
        if (candidates[i].upstream.index > last) {
            last = candidates[i].upstream.index;
        }
    }
    if (ct_array_grow((void **)&b->rows.rows, &b->rows.n_rows, last + 1,
                      sizeof(*b->rows.rows)) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < n; i++) {
        b->choices[i].row = ct_balance_row(&b->rows, candidates[i].upstream);
    }
    return CT_OK;
}

static int
affinity_choose(struct ct_balance_policy *policy,
                const struct ct_balance_request *request,
                const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_affinity *b = (struct ct_balance_affinity *)policy;
    int probe = -1;
    int chosen;

    if (n == 0) {
        return CT_ERR_NOT_FOUND;
    }
    if (find_rows(b, candidates, n) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < n; i++) {
        if (evaluate_candidate(&b->choices[i], &candidates[i], request)) {
            probe = (int)i;
        }
    }
    if (probe >= 0) {
        return probe;
    }
    if (request->now_ms - b->choices[0].row->compared_at_ms >=
        COMPARE_INTERVAL_MS) {
        if (update_medians(b, n, request->now_ms) < 0) {
            return CT_ERR_NO_MEMORY;
        }
        eject_slow(b, n, request->now_ms);
    }
    restrict_to_preferred(b->choices, n, is_not_slow);
    restrict_to_preferred(b->choices, n, is_cheap_with_free_slots);
    if (request->prefix_hash != 0) {
        chosen = choose_by_prefix(request, candidates, b->choices, n);
        if (chosen >= 0) {
            return chosen;
        }
    }
    return choose_by_load(b, n);
}

static void
affinity_started(struct ct_balance_policy *policy, struct ct_handle upstream,
                 ct_ms now_ms)
{
    struct ct_balance_row *row = row_of(policy, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_started(row, now_ms);
    if (row->health == CT_HEALTHY || row->ejected_until_ms > now_ms) {
        return;
    }
    /* Cleared, because a probe is judged by its own measurements only. */
    row->probing = true;
    row->scaled_gap_us = 0;
    row->scaled_first_us = 0;
    row->gap_samples = 0;
}

/*
 * Handles a completed request. A completed probe readmits the upstream, unless
 * it was ejected as slow and still is.
 */
static void
record_success(struct ct_balance_row *row, ct_ms now_ms)
{
    row->failures = 0;
    if (!row->probing) {
        return;
    }
    row->probing = false;
    if (row->health == CT_EJECTED_SLOW && is_slow(row)) {
        eject_upstream(row, CT_EJECTED_SLOW, EJECT_SLOW_MS, now_ms);
        return;
    }
    row->health = CT_HEALTHY;
    row->ejections = 0;
}

static void
affinity_ended(struct ct_balance_policy *policy, struct ct_handle upstream,
               enum ct_outcome outcome, ct_ms now_ms)
{
    struct ct_balance_row *row = row_of(policy, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_ended(row, now_ms);
    if (outcome == CT_OUTCOME_COMPLETE) {
        record_success(row, now_ms);
        return;
    }
    if (!ct_balance_is_failure(outcome)) {
        row->probing = false;
        if (outcome == CT_OUTCOME_DECLINED) {
            row->full_until_ms = now_ms + FULL_MS;
        }
        return;
    }
    row->failures++;
    if (row->probing || outcome == CT_OUTCOME_NOT_SENT ||
        row->failures >= EJECT_FAILURES) {
        /* Concurrent requests that fail count as one failure. */
        if (row->health == CT_HEALTHY || row->probing) {
            eject_upstream(row, CT_EJECTED_FAILED, EJECT_MIN_MS, now_ms);
        }
    }
}

static void
update_average(uint64_t *scaled_us, uint64_t value_us, uint64_t weight)
{
    if (*scaled_us == 0) {
        *scaled_us = value_us * AVERAGE_SCALE;
        return;
    }
    if (weight > AVERAGE_SCALE / 2) {
        weight = AVERAGE_SCALE / 2;
    }
    *scaled_us += weight * value_us;
    *scaled_us -= weight * (*scaled_us / AVERAGE_SCALE);
}

static void
affinity_first_token(struct ct_balance_policy *policy,
                     struct ct_handle upstream, ct_ms wait_ms, ct_ms now_ms)
{
    struct ct_balance_row *row = row_of(policy, upstream);

    (void)now_ms;
    if (row && wait_ms >= 0) {
        update_average(&row->scaled_first_us, (uint64_t)wait_ms * 1000 + 1, 1);
    }
}

/*
 * Converts a token gap to that of an idle engine: engines batch, and a full
 * engine is assumed to need twice the time of an idle one.
 */
static uint64_t
idle_gap_us(const struct ct_balance_row *row, uint32_t tokens, ct_ms gap_ms,
            ct_ms now_ms)
{
    uint64_t gap_us = (uint64_t)gap_ms * 1000 / tokens + 1;
    uint64_t slots = row->slots > 0 ? row->slots : 1;

    return gap_us * slots / (slots + load_of(row, now_ms));
}

static void
affinity_token_gap(struct ct_balance_policy *policy, struct ct_handle upstream,
                   uint32_t tokens, ct_ms gap_ms, ct_ms now_ms)
{
    struct ct_balance_row *row = row_of(policy, upstream);

    if (!row || tokens == 0 || gap_ms < 0) {
        return;
    }
    update_average(&row->scaled_gap_us,
                   idle_gap_us(row, tokens, gap_ms, now_ms), tokens);
    row->gap_samples += tokens;
}

static void
affinity_reported(struct ct_balance_policy *policy, struct ct_handle upstream,
                  uint32_t running, uint32_t waiting, ct_ms at_ms)
{
    struct ct_balance_row *row = row_of(policy, upstream);
    uint32_t counted;

    if (!row || at_ms < row->reported_at_ms) {
        return;
    }
    counted = ct_balance_in_flight_at(row, at_ms);
    row->others_load =
        running + waiting > counted ? running + waiting - counted : 0;
    row->reported_at_ms = at_ms;
}

static bool
affinity_usable(struct ct_balance_policy *policy, struct ct_handle upstream,
                ct_ms now_ms)
{
    const struct ct_balance_row *row = row_of(policy, upstream);

    return row && (row->health == CT_HEALTHY || row->probing ||
                   row->ejected_until_ms <= now_ms);
}

static size_t
affinity_bytes(const struct ct_balance_policy *policy)
{
    const struct ct_balance_affinity *b =
        (const struct ct_balance_affinity *)policy;

    return sizeof(*b) + b->rows.n_rows * sizeof(*b->rows.rows) +
           b->n_choices * sizeof(*b->choices) +
           b->n_sorted * sizeof(*b->sorted);
}

static void
affinity_free(struct ct_balance_policy *policy)
{
    struct ct_balance_affinity *b = (struct ct_balance_affinity *)policy;

    ct_balance_rows_free(&b->rows);
    free(b->choices);
    free(b->sorted);
    free(b);
}

static const struct ct_balance_policy_ops affinity_ops = {
    .choose_upstream = affinity_choose,
    .cache_donor = ct_balance_base_cache_donor,
    .choose_backup = ct_balance_base_choose_backup,
    .started = affinity_started,
    .ended = affinity_ended,
    .first_token = affinity_first_token,
    .token_gap = affinity_token_gap,
    .reported = affinity_reported,
    .usable = affinity_usable,
    .bytes = affinity_bytes,
    .free = affinity_free,
};

struct ct_balance_policy *
ct_balance_affinity_new(uint64_t seed)
{
    struct ct_balance_affinity *b = calloc(1, sizeof(*b));

    if (!b) {
        return NULL;
    }
    b->policy.ops = &affinity_ops;
    b->seed = seed;
    return &b->policy;
}
