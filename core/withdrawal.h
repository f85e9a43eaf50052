#ifndef CT_WITHDRAWAL_H
#define CT_WITHDRAWAL_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Keys that an operator withdraws directly at a host, because the log may be
 * unavailable. The withdrawals spread to all hosts over the links, the
 * operator receives the list of hosts that confirmed, and the log receives the
 * withdrawals when it responds again.
 */

/* A withdrawal for whose confirmations an operator waits. */
struct ct_withdrawal_row {
    uint64_t caller;
    struct ct_digest digest;
    ct_ms deadline_ms;
    /* struct ct_host_row */
    GArray *confirmed;
};

struct ct_withdrawals {
    struct ct_table rows;
    /* Heartbeats since the start. */
    uint32_t heartbeats;
};

struct ct_state;

void ct_withdrawals_init(struct ct_withdrawals *withdrawals);
void ct_withdrawals_free(struct ct_withdrawals *withdrawals);

void
ct_withdrawals_on_request(struct ct_state *state,
                          const struct ct_key_withdrawal_request *request);
/* Sends all direct withdrawals to a peer whose link came up. */
void ct_withdrawals_on_peer_up(struct ct_state *state,
                               const struct ct_name *peer);
void ct_withdrawals_on_withdraw(struct ct_state *state,
                                const struct ct_peer_message *message);
void ct_withdrawals_on_withdrawn(struct ct_state *state,
                                 const struct ct_peer_message *message);
/*
 * Called with each heartbeat: ends expired waits and appends withdrawals to
 * the log.
 */
void ct_withdrawals_on_heartbeat(struct ct_state *state);

#endif
