#ifndef CT_CLAIM_H
#define CT_CLAIM_H

#include <glib.h>

#include "record.h"
#include "table.h"

/*
 * Claims of requests with an idempotency key. The first claim in log order is
 * the only one that may run. A claim is held until its key is older than the
 * horizon. Claim records with keys older than that are rejected, so a claim
 * that arrives late cannot win a key whose claim was dropped. Age is measured
 * against the newest time in the log, which is the same on all hosts.
 */

#define CT_CLAIM_HORIZON_MS ((ct_ms)24 * 60 * 60 * 1000)

/* How far a key's time may be ahead of the time in the log. */
#define CT_CLAIM_SKEW_MS ((ct_ms)5 * 60 * 1000)

struct ct_claim_row {
    struct ct_claim claim;
    int64_t offset;
};

struct ct_claims {
    struct ct_table rows;
    GHashTable *by_digest;
    /* Newest wall time of any record. */
    ct_ms log_wall_ms;
    /* Position at which the next sweep for old claims continues. */
    uint32_t sweep_cursor;
};

enum ct_claim_result {
    /* The record's request may run. */
    CT_CLAIM_WON = 1,
    /* Another request claimed the key first. */
    CT_CLAIM_LOST,
    /* The key's time is outside of the horizon. */
    CT_CLAIM_TOO_OLD,
};

void ct_claims_init(struct ct_claims *claims);
void ct_claims_free(struct ct_claims *claims);

/* Whether a key of this time may be claimed at wall_ms. */
bool ct_claim_in_horizon(ct_ms key_wall_ms, ct_ms wall_ms);

/* Advances the time of the log and drops some claims past the horizon. */
void ct_claims_advance(struct ct_claims *claims, ct_ms wall_ms);

/*
 * Applies a claim record. Returns an enum ct_claim_result. Errors:
 * CT_ERR_NO_MEMORY.
 */
int ct_claims_apply(struct ct_claims *claims, const struct ct_claim *claim,
                    int64_t offset);

/*
 * Applies the result of a claimed request. A request that did not run frees
 * its key. Only a result from the request that holds the claim has an effect.
 */
void ct_claims_apply_result(struct ct_claims *claims,
                            const struct ct_claim *claim);

/* Returns the claim on this digest, or NULL. */
const struct ct_claim_row *ct_claims_find(const struct ct_claims *claims,
                                          const struct ct_digest *digest);

/*
 * Values of the status of a CLAIM_DONE record that are not HTTP statuses.
 * CT_CLAIM_NOT_RUN: the request did not run. CT_CLAIM_UNKNOWN: the request may
 * have run and its status is unknown.
 */
#define CT_CLAIM_NOT_RUN 0
#define CT_CLAIM_UNKNOWN (-1)

#endif
