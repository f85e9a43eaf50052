#ifndef CT_REFUSAL_LOG_H
#define CT_REFUSAL_LOG_H

#include <glib.h>

#include "event.h"
#include "refusal.h"

/*
 * Records of refusals. Each refusal of a known organisation is retained in
 * memory, appended to the log in batches and read back by all hosts, so that
 * any host can explain it. Refusals without an organisation (missing or
 * unknown key, bad request) are retained on this host only, because callers
 * without a key must not be able to fill the log.
 */

/* Refusals that a host retains, its own and those of other hosts. */
#define CT_REFUSALS_RETAINED_MAX 16384

/* Refusals of this host that wait to be appended to the log. */
#define CT_REFUSALS_PENDING_MAX 8192

struct ct_refusal_log {
    /* Ring of the last refusals, and its entries by request id. */
    struct ct_refusal_row *retained;
    uint32_t next;
    uint32_t n;
    GHashTable *by_id;
    /*
     * Refusals of this host not yet read back from the log; the first
     * in_flight of them are in an append.
     */
    GArray *pending;
    uint32_t in_flight;
    uint64_t in_flight_sequence;
    bool timer_armed;
    /*
     * Refusals that were not appended because too many were pending, as during
     * a long outage of the log.
     */
    uint64_t dropped;
};

struct ct_state;

void ct_refusal_log_init(struct ct_refusal_log *log);
void ct_refusal_log_free(struct ct_refusal_log *log);

/*
 * Retains a refusal of this host, and appends it to the log if logged is set.
 */
void ct_refusal_log_add(struct ct_state *state,
                        const struct ct_refusal_row *row, bool logged);

/* Retains the refusals of a record that was read from the log. */
void ct_refusal_log_apply(struct ct_state *state,
                          const struct ct_record *record);

/* CT_TIMER_REFUSALS, and the result of an append. */
void ct_refusal_log_on_timer(struct ct_state *state);
void ct_refusal_log_on_append_done(struct ct_state *state,
                                   const struct ct_append_done *done);

/*
 * Called when log entries were skipped, possibly including records of this
 * host.
 */
void ct_refusal_log_on_skipped(struct ct_state *state);

/* Returns the refusal of a request, or NULL. */
const struct ct_refusal_row *
ct_refusal_log_find(const struct ct_refusal_log *log,
                    const struct ct_request_id *id);

#endif
