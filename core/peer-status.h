#ifndef CT_PEER_STATUS_H
#define CT_PEER_STATUS_H

#include "event.h"
#include "table.h"

/*
 * State of the other configured hosts, from heartbeats over direct links. A
 * host that starts during an outage of the log, or missed its last entries,
 * copies its state from a peer.
 *
 * A host is current while the log responds, or while a majority of the hosts
 * (including itself) can be reached and none of them has applied more of the
 * log than it has. Otherwise it may have missed a withdrawal and accepts no
 * requests.
 */

/* Longest time without a message for which a host counts as current. */
#define CT_CURRENT_LIMIT_MS 8000

struct ct_peer_row {
    struct ct_host conf;
    bool configured;
    bool up;
    /* The platform's host list, which lags behind, names it as leaving. */
    bool listed_leaving;
    /*
     * Its last heartbeat, and when its last message arrived or its link came
     * up; 0 for never.
     */
    struct ct_peer_heartbeat heartbeat;
    ct_ms last_seen_ms;
};

struct ct_peer_status {
    struct ct_table peers;
    bool armed;
    bool was_current;
    /* Newest offset of the log that any peer has reported. */
    int64_t known_head;
    /* Number of configured peers, and of all peers whose link is up. */
    uint32_t n_configured;
    uint32_t n_up;
    /*
     * Time until which a majority of the hosts, including this one, counts as
     * reached.
     */
    ct_ms peers_fresh_until_ms;
    /*
     * Since when a peer has reported that it applied more of the log; 0 if
     * none has.
     */
    ct_ms behind_since_ms;
};

struct ct_state;

void ct_peer_status_init(struct ct_peer_status *status);
void ct_peer_status_free(struct ct_peer_status *status);

/* Follows the hosts of the configuration; emits CT_EFFECT_SET_PEERS. */
void ct_peer_status_configure(struct ct_state *state);

void ct_peer_status_on_link_up(struct ct_state *state,
                               const struct ct_name *peer);
void ct_peer_status_on_link_down(struct ct_state *state,
                                 const struct ct_name *peer);
/*
 * Records that the sender is alive and applies a heartbeat. Returns whether
 * the sender is a known peer.
 */
bool ct_peer_status_on_message(struct ct_state *state,
                               const struct ct_peer_message *message);
/*
 * Whether a peer's state as of the offset is newer than what this host can
 * read from the log now.
 */
bool ct_peer_status_needs_state(const struct ct_state *state, int64_t offset);
void ct_peer_status_on_host_list(struct ct_state *state, struct ct_rows rows);
/* CT_TIMER_HEARTBEAT */
void ct_peer_status_on_timer(struct ct_state *state);

/* Whether this host may accept requests: see above. */
bool ct_peer_status_is_current(const struct ct_state *state, ct_ms now_ms);

/* Returns the row of a peer, or NULL. */
struct ct_peer_row *ct_peer_status_find(const struct ct_state *state,
                                        const struct ct_name *name);

/*
 * Whether callers should not be sent to a host: it drains or leaves, or its
 * link is down while others are up.
 */
bool ct_peer_status_is_avoided(const struct ct_state *state,
                               const struct ct_name *name);

/* Sends a message if the link is up; sets its sender. */
void ct_peer_status_send(struct ct_state *state, const struct ct_name *peer,
                         const struct ct_peer_message *message);
/* Sends to all peers whose link is up except one; except may be NULL. */
void ct_peer_status_send_all(struct ct_state *state,
                             const struct ct_peer_message *message,
                             const struct ct_name *except);

#endif
