#ifndef CT_PEER_H
#define CT_PEER_H

#include "executor.h"
#include "loop.h"
#include "peer-link.h"

/*
 * The executor of links between hosts: performs CT_EFFECT_SET_PEERS and
 * CT_EFFECT_SEND_PEER_MESSAGE and posts CT_EVENT_PEER_UP, _DOWN and _MESSAGE.
 * Of two hosts the one with the smaller name dials. The other one dials only
 * after it has had no link for fallback_delay_ms, so that the two hosts also
 * connect while the first does not list the other yet.
 */

#define CT_PEER_SILENCE_TIMEOUT_MS 3500
#define CT_PEER_FALLBACK_DELAY_MS 3000

struct ct_peers;

struct ct_peers_options {
    struct ct_peer_identity identity;
    /* "IP:port" to listen on; port 0 selects a free port. */
    const char *listen;
    /* Additional delay before the host with the larger name dials. */
    ct_ms fallback_delay_ms;
    /*
     * Keeps links opened by other hosts, whatever CT_EFFECT_SET_PEERS lists.
     */
    bool keep_accepted_links;
};

/*
 * Copies the options, but borrows the secret's text. Errors: CT_ERR_NO_MEMORY
 * and those of ct_socket_listen().
 */
int ct_peers_new(struct ct_loop *loop, const struct ct_peers_options *options,
                 struct ct_peers **out);

/* Its free() frees the struct ct_peers. */
struct ct_executor *ct_peers_executor(struct ct_peers *peers);

uint16_t ct_peers_port(const struct ct_peers *peers);

/* Bytes of all links since the start, without the overhead of TCP. */
void ct_peers_traffic(const struct ct_peers *peers, uint64_t *sent,
                      uint64_t *received);

#endif
