#ifndef CT_REDUCE_PEERS_H
#define CT_REDUCE_PEERS_H

#include "peer-message.h"

/* The part of the reducer for the other hosts. */

struct ct_state;

/* A configuration was read, from the store or by the source. */
void ct_reduce_config(struct ct_state *state,
                      const struct ct_store_config *config,
                      struct ct_rows rows);
void ct_reduce_peer_message(struct ct_state *state,
                            const struct ct_peer_message *message);
/* A link to another host came up or went down. */
void ct_reduce_peer_link(struct ct_state *state, const struct ct_name *peer,
                         bool up);

#endif
