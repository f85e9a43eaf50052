#ifndef CT_PEER_LINK_H
#define CT_PEER_LINK_H

#include <ev.h>

#include "clock.h"
#include "frame.h"
#include "peer-codec.h"

/*
 * One TCP connection to another host. Both sides send a random nonce, then
 * prove by an HMAC-SHA256 over both names and nonces that they know the shared
 * secret; messages are accepted only afterwards. A link is closed if nothing
 * was received for the silence timeout or if the peer does not read.
 */

struct ct_peer_link;
struct ct_peer_link_owner;

struct ct_peer_link_owner_ops {
    /* The peer has authenticated; ct_peer_link_peer() is valid now. */
    void (*up)(struct ct_peer_link_owner *owner, struct ct_peer_link *link);
    /* The message and its rows are borrowed for the call. */
    void (*message)(struct ct_peer_link_owner *owner,
                    struct ct_peer_link *link,
                    const struct ct_peer_message *message);
    /* The link has failed; it is freed after the call. */
    void (*closed)(struct ct_peer_link_owner *owner, struct ct_peer_link *link,
                   int err);
};

struct ct_peer_link_owner {
    const struct ct_peer_link_owner_ops *ops;
    /* Totals of all links of the owner. */
    uint64_t bytes_sent;
    uint64_t bytes_received;
};

struct ct_peer_identity {
    struct ct_name host;
    struct ct_name zone;
    /* The secret that all hosts of a deployment share. */
    const char *secret;
    /*
     * Limit for the handshake, and then for the time without received bytes.
     */
    ct_ms silence_timeout_ms;
};

/* Takes ownership of the socket. Returns NULL if out of memory. */
struct ct_peer_link *ct_peer_link_new(struct ev_loop *ev, int fd,
                                      const struct ct_peer_identity *identity,
                                      struct ct_peer_link_owner *owner);

/*
 * Frees the link without calling closed(). The owner's functions must not call
 * it.
 */
void ct_peer_link_free(struct ct_peer_link *link);

/* Shuts the connection down; closed() is called from the loop later. */
void ct_peer_link_shutdown(struct ct_peer_link *link);

/*
 * Appends the frame of a message. Errors, after which out is as before:
 * CT_ERR_FRAME_TOO_LARGE, CT_ERR_INVALID, CT_ERR_NO_MEMORY.
 */
int ct_peer_link_encode(const struct ct_peer_message *message,
                        GByteArray *out);
/* Sends encoded frames. Errors: CT_ERR_PEER_GONE. */
int ct_peer_link_send(struct ct_peer_link *link, const GByteArray *encoded);

const struct ct_name *ct_peer_link_peer(const struct ct_peer_link *link);
bool ct_peer_link_is_up(const struct ct_peer_link *link);

#endif
