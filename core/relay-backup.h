#ifndef CT_RELAY_BACKUP_H
#define CT_RELAY_BACKUP_H

#include "balance-policy.h"
#include "relay.h"

/*
 * Backups of streams that may not run again. While such a stream runs, its
 * engine copies the stream's cache to a second engine, the backup, which can
 * continue the same run if the first one fails.
 */

/*
 * Returns the upstream that is to hold the backup of the call's run at the
 * chosen upstream, or CT_NO_HANDLE if the call needs none or none is left.
 * request is what the upstream was chosen for.
 */
struct ct_handle
ct_relay_backup_choose(struct ct_state *state, const struct ct_relay *relay,
                       const struct ct_balance_request *request,
                       struct ct_handle chosen);

/* Whether only a backup can continue the call. */
bool ct_relay_backup_needed(const struct ct_relay *relay);

/* Whether the call's backup can continue it. */
bool ct_relay_backup_usable(const struct ct_state *state,
                            const struct ct_relay *relay);

#endif
