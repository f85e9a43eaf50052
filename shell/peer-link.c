#include "peer-link.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"

#define MS_PER_S 1e3
#define READ_BYTES 16384
/* Limit of bytes queued for a peer that does not read. */
#define BACKLOG_MAX (8 * 1024 * 1024)

enum link_state {
    LINK_HELLO = 1,
    LINK_PROOF,
    LINK_UP,
};

struct ct_peer_link {
    struct ev_loop *ev;
    ev_io reader;
    ev_io writer;
    ev_timer silence;
    int fd;
    const struct ct_peer_identity *identity;
    struct ct_peer_link_owner *owner;
    enum link_state state;
    struct ct_hello own;
    struct ct_hello peer;
    struct ct_frame_reader frames;
    GByteArray *out;
};

void
ct_peer_link_free(struct ct_peer_link *link)
{
    ev_io_stop(link->ev, &link->reader);
    ev_io_stop(link->ev, &link->writer);
    ev_timer_stop(link->ev, &link->silence);
    close(link->fd);
    ct_frame_reader_free(&link->frames);
    g_byte_array_free(link->out, TRUE);
    g_free(link);
}

static void
close_link(struct ct_peer_link *link, int err)
{
    link->owner->ops->closed(link->owner, link, err);
    ct_peer_link_free(link);
}

static void
add_name(GHmac *hmac, const struct ct_name *name)
{
    g_hmac_update(hmac, (const guchar *)name->text,
                  ct_text_hash_bytes(name->text, CT_NAME_HASH_BYTES_MIN));
}

/*
 * Computes the proof that one host sends to another. It covers the names and
 * nonces in the order sender, receiver, so that a proof sent back is not
 * valid.
 */
static void
compute_proof(const struct ct_peer_identity *identity,
              const struct ct_hello *from, const struct ct_hello *to,
              uint8_t *out)
{
    gsize n = CT_HMAC_BYTES;
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)identity->secret,
                   strlen(identity->secret));

    add_name(hmac, &from->host);
    add_name(hmac, &to->host);
    g_hmac_update(hmac, from->nonce, sizeof(from->nonce));
    g_hmac_update(hmac, to->nonce, sizeof(to->nonce));
    g_hmac_get_digest(hmac, out, &n);
    g_hmac_unref(hmac);
}

static int
append_frame(GByteArray *out, const struct ct_peer_frame *frame)
{
    guint start = ct_frame_begin(out);
    int err = ct_peer_encode(frame, out);

    if (err < 0) {
        g_byte_array_set_size(out, start);
        return err;
    }
    return ct_frame_end(out, start);
}

static int
queue_frame(struct ct_peer_link *link, const struct ct_peer_frame *frame)
{
    int err = append_frame(link->out, frame);

    if (err < 0) {
        return err;
    }
    ev_io_start(link->ev, &link->writer);
    return CT_OK;
}

static int
send_hello(struct ct_peer_link *link)
{
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_HELLO};

    link->own.host = link->identity->host;
    link->own.zone = link->identity->zone;
    if (getrandom(link->own.nonce, sizeof(link->own.nonce), 0) !=
        (ssize_t)sizeof(link->own.nonce)) {
        return CT_ERR_IO;
    }
    frame.u.hello = link->own;
    return queue_frame(link, &frame);
}

static int
on_hello(struct ct_peer_link *link, const struct ct_peer_frame *frame)
{
    struct ct_peer_frame reply = {.kind = CT_PEER_FRAME_PROOF};

    if (frame->kind != CT_PEER_FRAME_HELLO ||
        ct_name_eq(&frame->u.hello.host, &link->own.host)) {
        return CT_ERR_PEER_AUTH;
    }
    link->peer = frame->u.hello;
    link->state = LINK_PROOF;
    compute_proof(link->identity, &link->own, &link->peer, reply.u.proof.hmac);
    return queue_frame(link, &reply);
}

/* Compares in constant time. */
static bool
is_equal(const uint8_t *a, const uint8_t *b, size_t n)
{
    uint8_t difference = 0;

    while (n-- > 0) {
        difference |= a[n] ^ b[n];
    }
    return difference == 0;
}

static int
on_proof(struct ct_peer_link *link, const struct ct_peer_frame *frame)
{
    uint8_t expected[CT_HMAC_BYTES];

    compute_proof(link->identity, &link->peer, &link->own, expected);
    if (frame->kind != CT_PEER_FRAME_PROOF ||
        !is_equal(expected, frame->u.proof.hmac, sizeof(expected))) {
        return CT_ERR_PEER_AUTH;
    }
    link->state = LINK_UP;
    link->owner->ops->up(link->owner, link);
    return CT_OK;
}

static int
on_message(struct ct_peer_link *link, struct ct_peer_frame *frame)
{
    if (frame->kind != CT_PEER_FRAME_MESSAGE) {
        return CT_ERR_DECODE;
    }
    /* The sender of a message is the authenticated peer. */
    frame->u.message.sender = link->peer.host;
    link->owner->ops->message(link->owner, link, &frame->u.message);
    return CT_OK;
}

static int
on_payload(struct ct_peer_link *link, const uint8_t *payload, size_t n)
{
    struct ct_decoded_peer_frame decoded;
    int err = ct_peer_decode(payload, n, &decoded);

    if (err == CT_OK && link->state == LINK_HELLO) {
        err = on_hello(link, &decoded.frame);
    }
    else if (err == CT_OK && link->state == LINK_PROOF) {
        err = on_proof(link, &decoded.frame);
    }
    else if (err == CT_OK) {
        err = on_message(link, &decoded.frame);
    }
    ct_decoded_peer_frame_free(&decoded);
    return err;
}

static int
read_frames(struct ct_peer_link *link)
{
    const uint8_t *payload;
    size_t n;
    int more;
    int err;

    while ((more = ct_frame_next(&link->frames, &payload, &n)) > 0) {
        err = on_payload(link, payload, n);
        if (err < 0) {
            return err;
        }
    }
    return more;
}

static void
on_readable(struct ev_loop *ev, ev_io *io, int events)
{
    struct ct_peer_link *link = io->data;
    uint8_t bytes[READ_BYTES];
    ssize_t n = recv(link->fd, bytes, sizeof(bytes), 0);
    int err;

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_link(link, CT_ERR_PEER_GONE);
        return;
    }
    link->owner->bytes_received += (uint64_t)n;
    /* Received bytes do not extend the timeout of the handshake. */
    if (link->state == LINK_UP) {
        ev_timer_again(ev, &link->silence);
    }
    ct_frame_reader_push(&link->frames, bytes, (size_t)n);
    err = read_frames(link);
    if (err < 0) {
        close_link(link, err);
    }
}

static void
on_writable(struct ev_loop *ev, ev_io *io, int events)
{
    struct ct_peer_link *link = io->data;
    ssize_t n = send(link->fd, link->out->data, link->out->len, MSG_NOSIGNAL);

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        close_link(link, CT_ERR_PEER_GONE);
        return;
    }
    link->owner->bytes_sent += (uint64_t)n;
    g_byte_array_remove_range(link->out, 0, (guint)n);
    if (link->out->len == 0) {
        ev_io_stop(ev, &link->writer);
    }
}

static void
on_silence_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    close_link(timer->data, CT_ERR_TIMEOUT);
}

struct ct_peer_link *
ct_peer_link_new(struct ev_loop *ev, int fd,
                 const struct ct_peer_identity *identity,
                 struct ct_peer_link_owner *owner)
{
    struct ct_peer_link *link = g_try_new0(struct ct_peer_link, 1);
    ev_tstamp silence_s = (ev_tstamp)identity->silence_timeout_ms / MS_PER_S;

    if (!link) {
        close(fd);
        return NULL;
    }
    link->ev = ev;
    link->fd = fd;
    link->identity = identity;
    link->owner = owner;
    link->state = LINK_HELLO;
    link->out = g_byte_array_new();
    ct_frame_reader_init(&link->frames);
    ev_io_init(&link->reader, on_readable, fd, EV_READ);
    ev_io_init(&link->writer, on_writable, fd, EV_WRITE);
    ev_timer_init(&link->silence, on_silence_timeout, silence_s, silence_s);
    link->reader.data = link->writer.data = link->silence.data = link;
    ev_now_update(ev);
    ev_io_start(ev, &link->reader);
    ev_timer_start(ev, &link->silence);
    if (send_hello(link) < 0) {
        ct_peer_link_free(link);
        return NULL;
    }
    return link;
}

void
ct_peer_link_shutdown(struct ct_peer_link *link)
{
    shutdown(link->fd, SHUT_RDWR);
}

int
ct_peer_link_encode(const struct ct_peer_message *message, GByteArray *out)
{
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_MESSAGE};

    frame.u.message = *message;
    return append_frame(out, &frame);
}

int
ct_peer_link_send(struct ct_peer_link *link, const GByteArray *encoded)
{
    if (link->state != LINK_UP) {
        return CT_ERR_PEER_GONE;
    }
    if (link->out->len > BACKLOG_MAX) {
        ct_peer_link_shutdown(link);
        return CT_ERR_PEER_GONE;
    }
    g_byte_array_append(link->out, encoded->data, encoded->len);
    ev_io_start(link->ev, &link->writer);
    return CT_OK;
}

const struct ct_name *
ct_peer_link_peer(const struct ct_peer_link *link)
{
    return &link->peer.host;
}

bool
ct_peer_link_is_up(const struct ct_peer_link *link)
{
    return link->state == LINK_UP;
}
