#ifndef CT_COLD_UPSTREAMS_H
#define CT_COLD_UPSTREAMS_H

#include <glib.h>

#include "clock.h"
#include "relay-types.h"
#include "table.h"
#include "token-bucket.h"

/*
 * Upstreams that have started a short time ago, or say that they are cold,
 * crash under the load of warm ones. In pools that specify how long upstreams
 * are cold and how many requests they take then, a few hosts are responsible
 * for each cold upstream and send it what a token bucket allows; all others
 * send it nothing. docs/design/cold-upstreams.md derives the numbers.
 */

struct ct_cold_row {
    /* The upstream; rows are found by the handle's index. */
    struct ct_handle upstream;
    /* Start of its process by its entry; 0 if unknown. */
    ct_ms entry_started_ms;
    /* The same by this host's steady clock, or when it was first seen. */
    bool start_known;
    ct_ms started_ms;
    /* Its entries and responses say that it is cold until this time. */
    ct_ms told_until_ms;
    /* Cold, and in an evacuated zone, when the row was last updated. */
    bool cold;
    bool evacuated;
    /* When it was last logged that it is cold; 0 for never. */
    ct_ms logged_ms;
    /* Its rate is 0 if this host is not responsible. */
    struct ct_token_bucket bucket;
    /* Attempts of this host whose first byte was not sent yet. */
    uint32_t unsent;
};

struct ct_cold_upstreams {
    /* struct ct_cold_row */
    GArray *rows;
    /* When the rows were last updated. */
    ct_ms updated_ms;
    /* What the rows contain of the upstream entries and the configuration. */
    uint64_t registry_revision;
    int64_t config_offset;
    /* It was logged that the member list is too old. */
    bool list_old;
};

struct ct_state;

void ct_cold_upstreams_init(struct ct_cold_upstreams *cold);
void ct_cold_upstreams_free(struct ct_cold_upstreams *cold);

/*
 * Follows changes of upstreams, their entries, the configuration and the
 * group; cheap if there are none.
 */
void ct_cold_upstreams_update(struct ct_state *state);

/* The upstream sent a head with this notice. Ignored for CT_NO_HANDLE. */
void ct_cold_upstreams_on_head(struct ct_state *state,
                               struct ct_handle upstream,
                               const struct ct_upstream_notice *notice);

/*
 * Whether the upstream must get no request of this level of priority from this
 * host now.
 */
bool ct_cold_upstreams_bar(const struct ct_state *state,
                           struct ct_handle upstream, uint32_t rank);

/*
 * Returns the time until the upstream may get a call of this host, or 0 if it
 * is not cold.
 */
ct_ms ct_cold_upstreams_free_in_ms(const struct ct_state *state,
                                   struct ct_handle upstream);

/* An attempt at the upstream starts. */
void ct_cold_upstreams_on_attempt(struct ct_state *state,
                                  struct ct_handle upstream);
/* Its first byte was sent, or it ended before that. */
void ct_cold_upstreams_on_sent(struct ct_state *state,
                               struct ct_handle upstream);

#endif
