#ifndef CT_WITHDRAWAL_H
#define CT_WITHDRAWAL_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Keys that an operator withdraws at a host directly, because the log may be
 * down. They spread to all hosts over the links, the operator hears which
 * hosts confirmed, and the log learns of them when it answers again.
 */

/* An operator waits for the confirmations of a withdrawal. */
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
    uint32_t beats;
};

struct ct_state;

void ct_withdrawals_init(struct ct_withdrawals *withdrawals);
void ct_withdrawals_free(struct ct_withdrawals *withdrawals);

void ct_withdrawals_on_request(struct ct_state *state,
                               const struct ct_key_withdrawal_request *handed);
/* Tells a peer whose link came up of all direct withdrawals. */
void ct_withdrawals_on_peer_up(struct ct_state *state,
                               const struct ct_name *peer);
void ct_withdrawals_on_withdraw(struct ct_state *state,
                                const struct ct_peer_message *message);
void ct_withdrawals_on_withdrawn(struct ct_state *state,
                                 const struct ct_peer_message *message);
/* With each heartbeat: ends waits that are over, gets keys into the log. */
void ct_withdrawals_on_heartbeat(struct ct_state *state);

#endif
