#ifndef CT_REFUSAL_LOG_H
#define CT_REFUSAL_LOG_H

#include <glib.h>

#include "event.h"
#include "refusal.h"

/*
 * The record of refusals. Each refusal of a known organisation is kept in
 * memory, appended to the log in batches and read back by all hosts, so that
 * any host can explain it. Refusals without an organisation (no or unknown
 * key, bad request) are kept by this host alone: whoever has no key must not
 * be able to fill the log.
 */

/* Refusals that a host can explain, its own and those of others. */
#define CT_REFUSALS_RETAINED_MAX 16384

/* Own refusals that wait for the log. */
#define CT_REFUSALS_PENDING_MAX 8192

struct ct_refusal_log {
    /* Ring of the last refusals, and their places by request id. */
    struct ct_refusal_row *kept;
    uint32_t next;
    uint32_t n;
    GHashTable *by_id;
    /* Own refusals not yet read back; the first in_flight are appended. */
    GArray *pending;
    uint32_t in_flight;
    uint64_t in_flight_sequence;
    bool armed;
    /* Refusals that were not recorded because the log was down too long. */
    uint64_t overflow;
};

struct ct_state;

void ct_refusal_log_init(struct ct_refusal_log *log);
void ct_refusal_log_free(struct ct_refusal_log *log);

/* Keeps a refusal of this host; logged says whether the log gets it too. */
void ct_refusal_log_add(struct ct_state *state,
                        const struct ct_refusal_row *row, bool logged);

/* Takes over the refusals of a record that was read from the log. */
void ct_refusal_log_apply(struct ct_state *state,
                          const struct ct_record *record);

/* CT_TIMER_REFUSALS, and the result of an append. */
void ct_refusal_log_on_timer(struct ct_state *state);
void ct_refusal_log_on_append_done(struct ct_state *state,
                                   const struct ct_append_done *done);

/* Entries of the log were passed over, maybe this host's own records. */
void ct_refusal_log_on_skipped(struct ct_state *state);

/* The refusal of a request, or NULL. */
const struct ct_refusal_row *
ct_refusal_log_find(const struct ct_refusal_log *log,
                    const struct ct_request_id *id);

#endif
