#ifndef CT_CLAIM_H
#define CT_CLAIM_H

#include <glib.h>

#include "record.h"
#include "table.h"

/*
 * Claims of keyed requests. The first claim in log order is the only one that
 * may run. A claim is kept until its key is older than the horizon; records
 * with keys older than that are rejected, so a claim that lands late cannot
 * take a forgotten key. Old means: against the newest time in the log, which
 * all hosts see alike.
 */

#define CT_CLAIM_HORIZON_MS ((ct_ms)24 * 60 * 60 * 1000)

/* How far a key's time may be ahead of the log's. */
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
    /* Where the walk for old claims goes on. */
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

/* Moves the log's time forward and drops some claims past the horizon. */
void ct_claims_advance(struct ct_claims *claims, ct_ms wall_ms);

/* Applies a claim record. Errors: CT_ERR_NO_MEMORY. */
int ct_claims_apply(struct ct_claims *claims, const struct ct_claim *claim,
                    int64_t offset);

/*
 * Applies the result of a claimed request. A request that did not run frees
 * its key. Only the request that holds the claim can end it.
 */
void ct_claims_done(struct ct_claims *claims, const struct ct_claim *claim);

/* The claim on this digest, or NULL. */
const struct ct_claim_row *ct_claims_find(const struct ct_claims *claims,
                                          const struct ct_digest *digest);

/*
 * Status of a CLAIM_DONE record besides HTTP's: the request did not run; it
 * may have run and no status came.
 */
#define CT_CLAIM_NOT_RUN 0
#define CT_CLAIM_UNKNOWN (-1)

#endif
