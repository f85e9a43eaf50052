#include "rank-limit.h"

/* Weight of a new sample in the average is 1 / LATE_SAMPLES. */
#define LATE_SAMPLES 8
/*
 * Shares of late first events of a more urgent rank above which a limit is
 * decreased, and below which it is increased. The first lies above what the
 * loss of a rack of engines causes by itself.
 */
#define DECREASE_ABOVE_PERMILLE 250
#define INCREASE_BELOW_PERMILLE 100
/* Averages older than this no longer count. */
#define SAMPLE_AGE_MAX_MS 2000
/* Least time between two changes of a limit: one round of first events. */
#define CHANGE_INTERVAL_MS 500
#define DECREASE_PERCENT 70
#define INCREASE_PERCENT 125
/* A limit this far above its use is removed. */
#define UNUSED_FACTOR 4

static void
initialise(struct ct_rank_limit *limit)
{
    if (limit->initialised) {
        return;
    }
    limit->initialised = true;
    for (uint32_t i = 0; i < CT_RANK_LIMIT_RANKS; i++) {
        limit->ranks[i].limit_tokens = UINT64_MAX;
    }
}

static struct ct_rank_load *
load_of(struct ct_rank_limit *limit, uint32_t rank)
{
    initialise(limit);
    return &limit->ranks[MIN(rank, CT_RANK_LIMIT_RANKS - 1)];
}

void
ct_rank_limit_free(struct ct_rank_limit *limit)
{
    for (uint32_t i = 0; i < CT_RANK_LIMIT_RANKS; i++) {
        if (limit->ranks[i].waiting) {
            g_array_free(limit->ranks[i].waiting, TRUE);
        }
    }
    *limit = (struct ct_rank_limit){0};
}

static bool
is_waiting(const struct ct_rank_load *load)
{
    return load->waiting && load->first_waiting < load->waiting->len;
}

bool
ct_rank_limit_has_waiting(const struct ct_rank_limit *limit)
{
    for (uint32_t i = 0; i < CT_RANK_LIMIT_RANKS; i++) {
        if (is_waiting(&limit->ranks[i])) {
            return true;
        }
    }
    return false;
}

static bool
has_room(const struct ct_rank_load *load, uint32_t tokens)
{
    return load->limit_tokens == UINT64_MAX || load->awaited_tokens == 0 ||
           load->awaited_tokens + tokens <= load->limit_tokens;
}

bool
ct_rank_limit_admits(struct ct_rank_limit *limit, uint32_t rank,
                     uint32_t tokens)
{
    const struct ct_rank_load *load = load_of(limit, rank);

    for (const struct ct_rank_load *other = limit->ranks; other <= load;
         other++) {
        if (is_waiting(other)) {
            return false;
        }
    }
    return has_room(load, tokens);
}

void
ct_rank_limit_wait(struct ct_rank_limit *limit, uint32_t rank,
                   struct ct_handle call, uint32_t tokens)
{
    struct ct_rank_load *load = load_of(limit, rank);
    const struct ct_rank_waiting row = {call, tokens};

    if (!load->waiting) {
        load->waiting =
            g_array_new(FALSE, FALSE, sizeof(struct ct_rank_waiting));
    }
    g_array_append_val(load->waiting, row);
}

static struct ct_rank_waiting
pop_waiting(struct ct_rank_load *load)
{
    struct ct_rank_waiting row = g_array_index(
        load->waiting, struct ct_rank_waiting, load->first_waiting++);

    if (load->first_waiting == load->waiting->len) {
        g_array_set_size(load->waiting, 0);
        load->first_waiting = 0;
    }
    else if (load->first_waiting > load->waiting->len / 2) {
        g_array_remove_range(load->waiting, 0, load->first_waiting);
        load->first_waiting = 0;
    }
    return row;
}

bool
ct_rank_limit_next(struct ct_rank_limit *limit, struct ct_handle *call)
{
    for (uint32_t i = 0; i < CT_RANK_LIMIT_RANKS; i++) {
        struct ct_rank_load *load = &limit->ranks[i];

        if (!is_waiting(load)) {
            continue;
        }
        if (!has_room(load,
                      g_array_index(load->waiting, struct ct_rank_waiting,
                                    load->first_waiting)
                          .tokens)) {
            return false;
        }
        *call = pop_waiting(load).call;
        return true;
    }
    return false;
}

void
ct_rank_limit_sent(struct ct_rank_limit *limit, uint32_t rank, uint32_t tokens)
{
    struct ct_rank_load *load = load_of(limit, rank);

    load->awaited_tokens += tokens;
    load->peak_tokens = MAX(load->peak_tokens, load->awaited_tokens);
}

/* Returns the greatest recent share of late first events of urgent ranks. */
static uint32_t
late_share(const struct ct_rank_limit *limit, const struct ct_rank_load *below,
           ct_ms now_ms)
{
    uint32_t share = 0;

    for (const struct ct_rank_load *load = limit->ranks; load < below;
         load++) {
        if (now_ms - load->sampled_ms <= SAMPLE_AGE_MAX_MS) {
            share = MAX(share, load->late_permille);
        }
    }
    return share;
}

static void
decrease(struct ct_rank_load *load)
{
    uint64_t used = MIN(load->limit_tokens, load->peak_tokens);

    load->limit_tokens = used * DECREASE_PERCENT / 100;
}

static void
increase(struct ct_rank_load *load)
{
    if (load->limit_tokens == UINT64_MAX) {
        return;
    }
    /* A limit below one prompt must be able to grow as well. */
    load->limit_tokens =
        MAX(load->limit_tokens, load->peak_tokens) * INCREASE_PERCENT / 100;
    if (load->limit_tokens > load->peak_tokens * UNUSED_FACTOR) {
        load->limit_tokens = UINT64_MAX;
    }
}

static void
adjust(struct ct_rank_limit *limit, ct_ms now_ms)
{
    for (uint32_t i = 1; i < CT_RANK_LIMIT_RANKS; i++) {
        struct ct_rank_load *load = &limit->ranks[i];
        uint32_t share = late_share(limit, load, now_ms);

        if (now_ms - load->changed_ms < CHANGE_INTERVAL_MS) {
            continue;
        }
        if (share > DECREASE_ABOVE_PERMILLE && load->peak_tokens > 0) {
            decrease(load);
        }
        else if (share < INCREASE_BELOW_PERMILLE) {
            increase(load);
        }
        load->changed_ms = now_ms;
        load->peak_tokens = load->awaited_tokens;
    }
}

void
ct_rank_limit_first_event(struct ct_rank_limit *limit, uint32_t rank,
                          uint32_t tokens, bool late, ct_ms now_ms)
{
    struct ct_rank_load *load = load_of(limit, rank);
    uint32_t sample = late ? 1000 : 0;

    ct_rank_limit_ended(limit, rank, tokens);
    load->late_permille =
        (load->late_permille * (LATE_SAMPLES - 1) + sample) / LATE_SAMPLES;
    load->sampled_ms = now_ms;
    adjust(limit, now_ms);
}

void
ct_rank_limit_ended(struct ct_rank_limit *limit, uint32_t rank,
                    uint32_t tokens)
{
    struct ct_rank_load *load = load_of(limit, rank);

    load->awaited_tokens -= MIN(load->awaited_tokens, tokens);
}
