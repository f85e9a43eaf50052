#include "claim.h"

#include <string.h>

#include "error.h"
#include "index.h"

/* Rows checked per record; bounds the cost of dropping old claims. */
#define SWEEP_ROWS 4

void
ct_claims_init(struct ct_claims *claims)
{
    memset(claims, 0, sizeof(*claims));
    ct_table_init(&claims->rows, sizeof(struct ct_claim_row), 0, NULL);
    claims->by_digest = ct_index_new_by_digest();
}

void
ct_claims_free(struct ct_claims *claims)
{
    g_hash_table_destroy(claims->by_digest);
    ct_table_free(&claims->rows);
}

bool
ct_claim_in_horizon(ct_ms key_wall_ms, ct_ms wall_ms)
{
    return key_wall_ms > wall_ms - CT_CLAIM_HORIZON_MS &&
           key_wall_ms < wall_ms + CT_CLAIM_SKEW_MS;
}

static void
remove_claim(struct ct_claims *claims, struct ct_handle handle)
{
    struct ct_claim_row *row = ct_table_get(&claims->rows, handle);

    if (row) {
        g_hash_table_remove(claims->by_digest, &row->claim.digest);
        ct_table_unref(&claims->rows, handle);
    }
}

void
ct_claims_advance(struct ct_claims *claims, ct_ms wall_ms)
{
    const struct ct_claim_row *row;
    struct ct_handle handle;
    int i;

    if (wall_ms > claims->log_wall_ms) {
        claims->log_wall_ms = wall_ms;
    }
    for (i = 0; i < SWEEP_ROWS; i++) {
        row = ct_table_next(&claims->rows, &claims->sweep_cursor, &handle);
        if (!row) {
            claims->sweep_cursor = 0;
            return;
        }
        if (row->claim.key_wall_ms <=
            claims->log_wall_ms - CT_CLAIM_HORIZON_MS) {
            remove_claim(claims, handle);
        }
    }
}

int
ct_claims_apply(struct ct_claims *claims, const struct ct_claim *claim,
                int64_t offset)
{
    struct ct_claim_row *row;
    struct ct_handle handle;

    if (!ct_claim_in_horizon(claim->key_wall_ms, claims->log_wall_ms)) {
        return CT_CLAIM_TOO_OLD;
    }
    if (ct_table_get(&claims->rows,
                     ct_index_get(claims->by_digest, &claim->digest))) {
        return CT_CLAIM_LOST;
    }
    if (ct_table_add(&claims->rows, &handle) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    row = ct_table_get(&claims->rows, handle);
    row->claim = *claim;
    row->offset = offset;
    ct_index_add(claims->by_digest, &row->claim.digest, handle);
    return CT_CLAIM_WON;
}

void
ct_claims_apply_result(struct ct_claims *claims, const struct ct_claim *claim)
{
    struct ct_handle handle = ct_index_get(claims->by_digest, &claim->digest);
    struct ct_claim_row *row = ct_table_get(&claims->rows, handle);

    if (!row ||
        strcmp(row->claim.request_id.text, claim->request_id.text) != 0) {
        return;
    }
    if (claim->status == CT_CLAIM_NOT_RUN) {
        remove_claim(claims, handle);
        return;
    }
    row->claim.done = true;
    row->claim.status = claim->status;
}

const struct ct_claim_row *
ct_claims_find(const struct ct_claims *claims, const struct ct_digest *digest)
{
    return ct_table_get(&claims->rows,
                        ct_index_get(claims->by_digest, digest));
}
