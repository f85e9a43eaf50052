#ifndef CT_LOAD_REPORT_H
#define CT_LOAD_REPORT_H

#include "config.h"
#include "load-sharing.h"

/* The messages by which hosts share their load, see load-sharing.h. */

/* Follows the upstreams of the configuration in this host's list. */
void ct_load_report_update_list(struct ct_state *state);

/* Reports this host's own calls to its source. */
void ct_load_report_to_source(struct ct_state *state,
                              struct ct_load_peer *source);
/* Reports this host's calls and its followers' to the other sources. */
void ct_load_report_to_sources(struct ct_state *state);
/* Sends the followers the sum over all hosts. */
void ct_load_report_send_sum(struct ct_state *state);

/* Sends a peer what it lacks of the list, before a message that refers to it.
 */
void ct_load_report_send_list(struct ct_state *state,
                              struct ct_load_peer *peer);
/*
 * Sends a message to all followers, or to all other sources, encoded once.
 * Returns whether there are any.
 */
bool ct_load_report_send_to_peers(struct ct_state *state,
                                  const struct ct_peer_message *message,
                                  struct ct_rows rows, bool to_followers);

/*
 * Returns the next configured upstream that has a number in this host's list,
 * or NULL; *cursor is 0 first.
 */
const struct ct_upstream_row *ct_load_report_next(const struct ct_state *state,
                                                  uint32_t *cursor,
                                                  struct ct_handle *handle,
                                                  uint32_t *number);

/* How a sum names a follower. */
uint32_t ct_load_reporter_id(const struct ct_name *host);

#endif
