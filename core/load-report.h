#ifndef CT_LOAD_REPORT_H
#define CT_LOAD_REPORT_H

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

/* How a sum names a follower. */
uint32_t ct_load_reporter_id(const struct ct_name *host);

#endif
