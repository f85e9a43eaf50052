#include "balance-rows.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "queue-rows.h"

/* How long a plain policy keeps an upstream out after a failure. */
#define PLAIN_EJECT_MS 10000

struct ct_balance_row *
ct_balance_row(struct ct_balance_rows *rows, struct ct_handle upstream)
{
    struct ct_balance_row *row;

    if (ct_queue_grow((void **)&rows->rows, &rows->n_rows, upstream.index + 1,
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
note_flight(struct ct_balance_row *row, ct_ms now_ms)
{
    struct ct_flight *last =
        &row->flights[(row->n_flights + CT_FLIGHTS - 1) % CT_FLIGHTS];

    if (row->n_flights > 0 && last->at_ms == now_ms) {
        last->own = row->own;
        return;
    }
    row->flights[row->n_flights % CT_FLIGHTS] =
        (struct ct_flight){now_ms, row->own};
    row->n_flights++;
}

uint32_t
ct_balance_own_at(const struct ct_balance_row *row, ct_ms at_ms)
{
    uint32_t n = row->n_flights < CT_FLIGHTS ? row->n_flights : CT_FLIGHTS;
    uint32_t oldest = 0;

    for (uint32_t i = 1; i <= n; i++) {
        const struct ct_flight *flight =
            &row->flights[(row->n_flights - i) % CT_FLIGHTS];

        if (flight->at_ms <= at_ms) {
            return flight->own;
        }
        oldest = flight->own;
    }
    return row->n_flights > CT_FLIGHTS ? oldest : 0;
}

void
ct_balance_row_started(struct ct_balance_row *row, ct_ms now_ms)
{
    row->own++;
    note_flight(row, now_ms);
}

void
ct_balance_row_ended(struct ct_balance_row *row, ct_ms now_ms)
{
    if (row->own > 0) {
        row->own--;
    }
    note_flight(row, now_ms);
}

bool
ct_balance_is_failure(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
    case CT_OUTCOME_FAILED:
    case CT_OUTCOME_BROKEN:
    case CT_OUTCOME_SILENT:
    case CT_OUTCOME_MISMATCH:
        return true;
    default:
        return false;
    }
}

struct ct_balance_policy *
ct_balance_plain_new(const struct ct_balance_policy_ops *ops)
{
    struct ct_balance_plain *plain = calloc(1, sizeof(*plain));

    if (!plain) {
        return NULL;
    }
    plain->policy.ops = ops;
    plain->last_index = UINT32_MAX;
    return &plain->policy;
}

bool
ct_balance_plain_open(const struct ct_balance_row *row,
                      const struct ct_candidate *candidate,
                      const struct ct_balance_request *ask)
{
    if (candidate->excluded || (candidate->cheap && !ask->cheap_allowed)) {
        return false;
    }
    return row->own < candidate->slots && row->ejected_until_ms <= ask->now_ms;
}

int
ct_balance_plain_cache_donor(struct ct_balance_policy *policy,
                             const struct ct_balance_request *ask,
                             const struct ct_candidate *candidates, uint32_t n,
                             uint32_t chosen)
{
    (void)policy;
    (void)ask;
    (void)candidates;
    (void)n;
    (void)chosen;
    return CT_ERR_NOT_FOUND;
}

void
ct_balance_plain_started(struct ct_balance_policy *policy,
                         struct ct_handle upstream, ct_ms now_ms)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct ct_balance_row *row = ct_balance_row(&plain->rows, upstream);

    if (row) {
        ct_balance_row_started(row, now_ms);
    }
}

void
ct_balance_plain_ended(struct ct_balance_policy *policy,
                       struct ct_handle upstream, enum ct_outcome outcome,
                       ct_ms now_ms)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct ct_balance_row *row = ct_balance_row(&plain->rows, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_ended(row, now_ms);
    if (ct_balance_is_failure(outcome)) {
        row->ejected_until_ms = now_ms + PLAIN_EJECT_MS;
    }
}

void
ct_balance_plain_first_token(struct ct_balance_policy *policy,
                             struct ct_handle upstream, ct_ms wait_ms,
                             ct_ms now_ms)
{
    (void)policy;
    (void)upstream;
    (void)wait_ms;
    (void)now_ms;
}

void
ct_balance_plain_token_gap(struct ct_balance_policy *policy,
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
ct_balance_plain_reported(struct ct_balance_policy *policy,
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
ct_balance_plain_usable(struct ct_balance_policy *policy,
                        struct ct_handle upstream, ct_ms now_ms)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    const struct ct_balance_row *row = ct_balance_row(&plain->rows, upstream);

    return row && row->ejected_until_ms <= now_ms;
}

size_t
ct_balance_plain_bytes(const struct ct_balance_policy *policy)
{
    const struct ct_balance_plain *plain =
        (const struct ct_balance_plain *)policy;

    return sizeof(*plain) + plain->rows.n_rows * sizeof(*plain->rows.rows);
}

void
ct_balance_plain_free(struct ct_balance_policy *policy)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;

    ct_balance_rows_free(&plain->rows);
    free(plain);
}
