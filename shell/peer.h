#ifndef CT_PEER_H
#define CT_PEER_H

#include "executor.h"
#include "loop.h"
#include "peer-link.h"

/*
 * The executor of links between hosts: carries out CT_EFFECT_SET_PEERS and
 * CT_EFFECT_SEND_PEER_MESSAGE and answers with CT_EVENT_PEER_UP, _DOWN and
 * _MESSAGE. Of two hosts the one with the smaller name dials; the other one
 * does so only when it has been without a link for a while, so that a host
 * which does not know the others yet is found by all of them.
 */

#define CT_PEER_SILENCE_TIMEOUT_MS 3500
#define CT_PEER_FALLBACK_DELAY_MS 3000

struct ct_peers;

struct ct_peers_options {
    struct ct_peer_identity identity;
    /* "IP:port" to listen on; port 0 takes any. */
    const char *listen;
    /* The host with the larger name dials only after this time. */
    ct_ms fallback_delay_ms;
    /* Links that other hosts opened stay, whatever CT_EFFECT_SET_PEERS names.
     */
    bool keeps_accepted;
};

/* The options are copied, the secret's text is not. Errors: as for sockets. */
int ct_peers_new(struct ct_loop *loop, const struct ct_peers_options *options,
                 struct ct_peers **out);

/* Its free() frees the whole. */
struct ct_executor *ct_peers_executor(struct ct_peers *peers);

uint16_t ct_peers_port(const struct ct_peers *peers);

/* Bytes of all links since the start, without those of TCP itself. */
void ct_peers_traffic(const struct ct_peers *peers, uint64_t *sent,
                      uint64_t *received);

#endif
