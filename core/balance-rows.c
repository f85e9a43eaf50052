#include "balance-rows.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "queue-rows.h"

/* How long an upstream stays ejected after a failure. */
#define PLAIN_EJECT_MS 10000

/*
 * Other hosts count as at most so many requests per slot. Upstreams and hosts
 * refuse requests long before; higher numbers are wrong, and would raise the
 * mean so far that no upstream is over it.
 */
#define OTHERS_MAX_PER_SLOT 8

struct ct_balance_row *
ct_balance_row(struct ct_balance_rows *rows, struct ct_handle upstream)
{
    struct ct_balance_row *row;

    if (ct_array_grow((void **)&rows->rows, &rows->n_rows, upstream.index + 1,
                      sizeof(*rows->rows)) < 0) {
        return NULL;
    }
    row = &rows->rows[upstream.index];
    if (!ct_handle_eq(row->upstream, upstream)) {
        memset(row, 0, sizeof(*row));
        row->upstream = upstream;
    }
    return row;
}

void
ct_balance_rows_free(struct ct_balance_rows *rows)
{
    free(rows->rows);
}

static void
record_in_flight(struct ct_balance_row *row, ct_ms now_ms)
{
    struct ct_in_flight_sample *last =
        &row->in_flight_samples[(row->n_in_flight_samples +
                                 CT_IN_FLIGHT_SAMPLES - 1) %
                                CT_IN_FLIGHT_SAMPLES];

    if (row->n_in_flight_samples > 0 && last->at_ms == now_ms) {
        last->in_flight = row->in_flight;
        return;
    }
    row->in_flight_samples[row->n_in_flight_samples % CT_IN_FLIGHT_SAMPLES] =
        (struct ct_in_flight_sample){now_ms, row->in_flight};
    row->n_in_flight_samples++;
}

uint32_t
ct_balance_in_flight_at(const struct ct_balance_row *row, ct_ms at_ms)
{
    uint32_t n = row->n_in_flight_samples < CT_IN_FLIGHT_SAMPLES
                     ? row->n_in_flight_samples
                     : CT_IN_FLIGHT_SAMPLES;
    uint32_t oldest = 0;

    for (uint32_t i = 1; i <= n; i++) {
        const struct ct_in_flight_sample *sample =
            &row->in_flight_samples[(row->n_in_flight_samples - i) %
                                    CT_IN_FLIGHT_SAMPLES];

        if (sample->at_ms <= at_ms) {
            return sample->in_flight;
        }
        oldest = sample->in_flight;
    }
    return row->n_in_flight_samples > CT_IN_FLIGHT_SAMPLES ? oldest : 0;
}

void
ct_balance_row_started(struct ct_balance_row *row, ct_ms now_ms)
{
    row->in_flight++;
    record_in_flight(row, now_ms);
}

void
ct_balance_row_ended(struct ct_balance_row *row, ct_ms now_ms)
{
    if (row->in_flight > 0) {
        row->in_flight--;
    }
    record_in_flight(row, now_ms);
}

bool
ct_balance_load_is_known(const struct ct_candidate *candidates, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        if (!candidates[i].load_known) {
            return false;
        }
    }
    return n > 0;
}

uint64_t
ct_balance_load(const struct ct_candidate *candidate,
                const struct ct_balance_row *row)
{
    uint64_t slots = candidate->slots > 0 ? candidate->slots : 1;
    uint64_t max = slots * OTHERS_MAX_PER_SLOT;
    uint64_t others = candidate->others_in_flight;

    return row->in_flight + (others < max ? others : max);
}

bool
ct_balance_is_failure(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
    case CT_OUTCOME_FAILED:
    case CT_OUTCOME_CONNECTION_LOST:
    case CT_OUTCOME_GAP_TIMEOUT:
    case CT_OUTCOME_MISMATCH:
        return true;
    default:
        return false;
    }
}

struct ct_balance_policy *
ct_balance_base_new(const struct ct_balance_policy_ops *ops)
{
    struct ct_balance_base *base = calloc(1, sizeof(*base));

    if (!base) {
        return NULL;
    }
    base->policy.ops = ops;
    base->last_index = UINT32_MAX;
    return &base->policy;
}

bool
ct_balance_base_is_eligible(const struct ct_balance_row *row,
                            const struct ct_candidate *candidate,
                            const struct ct_balance_request *request)
{
    if (candidate->excluded || candidate->barred ||
        (candidate->cheap && !request->cheap_allowed)) {
        return false;
    }
    return row->in_flight < candidate->slots &&
           row->ejected_until_ms <= request->now_ms;
}

int
ct_balance_base_cache_donor(struct ct_balance_policy *policy,
                            const struct ct_balance_request *request,
                            const struct ct_candidate *candidates, uint32_t n,
                            uint32_t chosen)
{
    (void)policy;
    (void)request;
    (void)candidates;
    (void)n;
    (void)chosen;
    return CT_ERR_NOT_FOUND;
}

int
ct_balance_base_choose_backup(struct ct_balance_policy *policy,
                              const struct ct_balance_request *request,
                              const struct ct_candidate *candidates,
                              uint32_t n, uint32_t chosen)
{
    (void)policy;
    (void)request;
    (void)candidates;
    (void)n;
    (void)chosen;
    return CT_ERR_NOT_FOUND;
}

void
ct_balance_base_started(struct ct_balance_policy *policy,
                        struct ct_handle upstream, ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    if (row) {
        ct_balance_row_started(row, now_ms);
    }
}

void
ct_balance_base_ended(struct ct_balance_policy *policy,
                      struct ct_handle upstream, enum ct_outcome outcome,
                      ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_ended(row, now_ms);
    if (ct_balance_is_failure(outcome)) {
        row->ejected_until_ms = now_ms + PLAIN_EJECT_MS;
    }
}

void
ct_balance_base_first_token(struct ct_balance_policy *policy,
                            struct ct_handle upstream, ct_ms wait_ms,
                            ct_ms now_ms)
{
    (void)policy;
    (void)upstream;
    (void)wait_ms;
    (void)now_ms;
}

void
ct_balance_base_token_gap(struct ct_balance_policy *policy,
                          struct ct_handle upstream, uint32_t tokens,
                          ct_ms gap_ms, ct_ms now_ms)
{
    (void)policy;
    (void)upstream;
    (void)tokens;
    (void)gap_ms;
    (void)now_ms;
}

void
ct_balance_base_reported(struct ct_balance_policy *policy,
                         struct ct_handle upstream, uint32_t running,
                         uint32_t waiting, ct_ms at_ms)
{
    (void)policy;
    (void)upstream;
    (void)running;
    (void)waiting;
    (void)at_ms;
}

bool
ct_balance_base_usable(struct ct_balance_policy *policy,
                       struct ct_handle upstream, ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    const struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    return row && row->ejected_until_ms <= now_ms;
}

size_t
ct_balance_base_bytes(const struct ct_balance_policy *policy)
{
    const struct ct_balance_base *base =
        (const struct ct_balance_base *)policy;

    return sizeof(*base) + base->rows.n_rows * sizeof(*base->rows.rows);
}

void
ct_balance_base_free(struct ct_balance_policy *policy)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;

    ct_balance_rows_free(&base->rows);
    free(base);
}
