/* Tests of peer.h and peer-link.h on real sockets. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"
#include "lib-script.h"
#include "peer.h"
#include "socket.h"

#define SILENCE_MS 300
#define POLL_MS 20000

struct node {
    struct script *script;
    struct ct_peers *peers;
    const char *greeting;
    char name[8];
};

/* What a node does when a link comes up: it sends its greeting. */
static void
greet(struct script *script, const struct ct_event *event,
      struct ct_effects *effects)
{
    const struct node *node = script->arg;
    struct ct_effect *effect;

    if (event->type != CT_EVENT_PEER_UP || !node->greeting) {
        return;
    }
    effect = ct_effects_add(effects, CT_EFFECT_SEND_PEER_MESSAGE);
    effect->u.peer.peer = event->u.peer.peer;
    effect->u.peer.message.type = CT_PEER_RESPONSE_LOOKUP;
    CT_TEXT_SET(effect->u.peer.message.u.request_id, node->greeting);
}

static void
node_init(struct node *node, const char *name, const char *secret,
          const char *listen)
{
    struct ct_peers_options options = {
        .identity = {.secret = secret, .silence_timeout_ms = SILENCE_MS},
        .listen = listen,
        .fallback_delay_ms = 100,
    };

    memset(node, 0, sizeof(*node));
    node->script = script_new();
    node->script->arg = node;
    node->script->react = greet;
    CT_TEXT_SET(options.identity.host, name);
    g_strlcpy(node->name, name, sizeof(node->name));
    g_assert_cmpint(ct_peers_new(node->script->loop, &options, &node->peers),
                    ==, CT_OK);
    ct_loop_add(node->script->loop, ct_peers_executor(node->peers));
}

static void
node_free(struct node *node)
{
    ct_loop_free(node->script->loop);
    script_free(node->script);
}

/* Tells a node of a peer at a port; port 0 names no address. */
static void
node_know(struct node *node, const char *name, uint16_t port)
{
    struct ct_effect effect = {.type = CT_EFFECT_SET_PEERS};
    struct ct_host host;

    memset(&host, 0, sizeof(host));
    CT_TEXT_SET(host.name, name);
    g_snprintf(host.peer_address.text, sizeof(host.peer_address.text),
               "127.0.0.1:%u", port);
    effect.rows = CT_ROWS(&host, 1);
    ct_peers_executor(node->peers)
        ->ops->run(ct_peers_executor(node->peers), &effect);
}

struct wait {
    struct node *other;
    struct node *node;
    enum ct_event_type type;
    guint n;
};

/* Serves the other node's loop as well. */
static bool
has_seen(void *arg)
{
    const struct wait *wait = arg;

    if (wait->other) {
        ev_run(ct_loop_ev(wait->other->script->loop), EVRUN_NOWAIT);
    }
    return script_count(wait->node->script, wait->type) >= wait->n;
}

static void
wait_for(struct node *runs, struct node *other, struct node *node,
         enum ct_event_type type, guint n)
{
    struct wait wait = {other, node, type, n};

    script_wait_for(runs->script, has_seen, &wait);
}

/* Both ways, whichever of the two knows the other. */
static void
test_link(gconstpointer data)
{
    bool larger_dials = data != NULL;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "secret", "127.0.0.1:0");
    a.greeting = "from a";
    b.greeting = "from b";
    if (larger_dials) {
        node_know(&b, "a", ct_peers_port(a.peers));
    }
    else {
        node_know(&a, "b", ct_peers_port(b.peers));
    }
    wait_for(&a, &b, &a, CT_EVENT_PEER_MESSAGE, 1);
    wait_for(&a, &b, &b, CT_EVENT_PEER_MESSAGE, 1);
    g_assert_cmpstr(script_last(a.script, CT_EVENT_PEER_MESSAGE)
                        ->u.peer.message.u.request_id.text,
                    ==, "from b");
    g_assert_cmpstr(
        script_last(b.script, CT_EVENT_PEER_MESSAGE)->u.peer.peer.text, ==,
        "a");
    /* Neither sends more: the link is silent, is closed, and is redialled. */
    wait_for(&a, &b, &a, CT_EVENT_PEER_DOWN, 1);
    wait_for(&a, &b, &a, CT_EVENT_PEER_UP, 2);
    wait_for(&a, &b, &b, CT_EVENT_PEER_UP, 2);
    node_free(&a);
    node_free(&b);
}

static bool
is_refused_twice(void *arg)
{
    struct wait *wait = arg;
    uint64_t sent;
    uint64_t received;

    ev_run(ct_loop_ev(wait->other->script->loop), EVRUN_NOWAIT);
    ct_peers_traffic(wait->other->peers, &sent, &received);
    /* Two handshakes at least: a hello is more than 32 bytes of nonce. */
    return received > (uint64_t)4 * 32 * 2;
}

static void
test_wrong_secret(void)
{
    struct wait wait;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "Secret", "127.0.0.1:0");
    node_know(&a, "b", ct_peers_port(b.peers));
    wait = (struct wait){&b, &a, CT_EVENT_PEER_UP, 1};
    script_wait_for(a.script, is_refused_twice, &wait);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    g_assert_cmpuint(script_count(b.script, CT_EVENT_PEER_UP), ==, 0);
    node_free(&a);
    node_free(&b);
}

/* A host that answers at the address of another one. */
static void
test_wrong_name(void)
{
    struct wait wait;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "secret", "127.0.0.1:0");
    node_know(&a, "c", ct_peers_port(b.peers));
    wait = (struct wait){&b, &a, CT_EVENT_PEER_UP, 1};
    script_wait_for(a.script, is_refused_twice, &wait);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    node_free(&a);
    node_free(&b);
}

/* How a stranger who does not know the secret may go on. */
enum stranger {
    SAYS_NOTHING,
    HALF_A_FRAME,
    OVERSIZE,
    GARBAGE,
    REFLECTS,
    SAME_NAME,
    MESSAGE_FIRST,
};

static void
send_frame(int fd, const struct ct_peer_frame *frame)
{
    GByteArray *out = g_byte_array_new();
    guint start = ct_frame_begin(out);

    g_assert_cmpint(ct_peer_encode(frame, out), ==, CT_OK);
    g_assert_cmpint(ct_frame_end(out, start), ==, CT_OK);
    g_assert_cmpint(send(fd, out->data, out->len, MSG_NOSIGNAL), ==, out->len);
    g_byte_array_free(out, TRUE);
}

static void
send_first(int fd, enum stranger stranger)
{
    static const uint8_t half[] = {0, 0, 0, 40, 1, 2};
    static const uint8_t oversize[] = {0, 0x10, 0, 1};
    static const uint8_t garbage[] = {0, 0, 0, 3, 0xff, 0xff, 0xff};
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_HELLO};

    switch (stranger) {
    case HALF_A_FRAME:
        g_assert_cmpint(send(fd, half, sizeof(half), 0), >, 0);
        return;
    case OVERSIZE:
        g_assert_cmpint(send(fd, oversize, sizeof(oversize), 0), >, 0);
        return;
    case GARBAGE:
        g_assert_cmpint(send(fd, garbage, sizeof(garbage), 0), >, 0);
        return;
    case REFLECTS:
    case SAME_NAME:
        CT_TEXT_SET(frame.u.hello.host, stranger == SAME_NAME ? "a" : "b");
        send_frame(fd, &frame);
        return;
    case MESSAGE_FIRST:
        frame.kind = CT_PEER_FRAME_MESSAGE;
        frame.u.message.type = CT_PEER_STATE_REQUEST;
        send_frame(fd, &frame);
        return;
    case SAYS_NOTHING:
    default:
        return;
    }
}

struct visit {
    int fd;
    enum stranger stranger;
    struct ct_frame_reader frames;
};

/* Sends back the proof that the host gave. */
static void
reflect(struct visit *visit, const uint8_t *bytes, size_t n)
{
    struct ct_decoded_peer_frame decoded;
    const uint8_t *payload;
    size_t size;

    ct_frame_reader_push(&visit->frames, bytes, n);
    while (ct_frame_next(&visit->frames, &payload, &size) > 0) {
        g_assert_cmpint(ct_peer_decode(payload, size, &decoded), ==, CT_OK);
        if (decoded.frame.kind == CT_PEER_FRAME_PROOF) {
            send_frame(visit->fd, &decoded.frame);
        }
        ct_decoded_peer_frame_free(&decoded);
    }
}

/* True when the host has closed. */
static bool
visit_is_over(void *arg)
{
    struct visit *visit = arg;
    uint8_t bytes[4096];
    ssize_t n = recv(visit->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n > 0 && visit->stranger == REFLECTS) {
        reflect(visit, bytes, (size_t)n);
    }
    return n == 0 || (n < 0 && errno != EAGAIN);
}

static void
test_stranger(gconstpointer data)
{
    struct visit visit = {.stranger = (enum stranger)GPOINTER_TO_INT(data)};
    char address[32];
    struct pollfd connected;
    struct node a;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               ct_peers_port(a.peers));
    ct_frame_reader_init(&visit.frames);
    visit.fd = ct_socket_connect(address);
    connected = (struct pollfd){.fd = visit.fd, .events = POLLOUT};
    g_assert_cmpint(poll(&connected, 1, POLL_MS), ==, 1);
    send_first(visit.fd, visit.stranger);
    script_wait_for(a.script, visit_is_over, &visit);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_MESSAGE), ==, 0);
    close(visit.fd);
    ct_frame_reader_free(&visit.frames);
    node_free(&a);
}

/* A message that is too long for a frame is dropped; the link stays. */
static void
test_oversize_message(void)
{
    struct ct_effect effect = {.type = CT_EFFECT_SEND_PEER_MESSAGE};
    struct ct_snapshot_row *rows;
    struct node a;
    struct node b;
    const uint32_t n = 100000;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "secret", "127.0.0.1:0");
    node_know(&a, "b", ct_peers_port(b.peers));
    wait_for(&a, &b, &a, CT_EVENT_PEER_UP, 1);
    wait_for(&a, &b, &b, CT_EVENT_PEER_UP, 1);
    rows = g_new0(struct ct_snapshot_row, n);
    for (uint32_t i = 0; i < n; i++) {
        rows[i].kind = CT_SNAPSHOT_KEY;
        CT_TEXT_SET(rows[i].u.key.label, "label");
    }
    CT_TEXT_SET(effect.u.peer.peer, "b");
    effect.u.peer.message.type = CT_PEER_STATE;
    effect.rows = CT_ROWS(rows, n);
    ct_peers_executor(a.peers)->ops->run(ct_peers_executor(a.peers), &effect);
    effect.rows.n = 1;
    ct_peers_executor(a.peers)->ops->run(ct_peers_executor(a.peers), &effect);
    wait_for(&a, &b, &b, CT_EVENT_PEER_MESSAGE, 1);
    g_assert_cmpuint(
        script_last(b.script, CT_EVENT_PEER_MESSAGE)->u.peer.message.rows.n,
        ==, 1);
    g_free(rows);
    node_free(&a);
    node_free(&b);
}

int
main(int argc, char **argv)
{
    static const char *const strangers[] = {
        [SAYS_NOTHING] = "says-nothing",   [HALF_A_FRAME] = "half-a-frame",
        [OVERSIZE] = "oversize",           [GARBAGE] = "garbage",
        [REFLECTS] = "reflects",           [SAME_NAME] = "same-name",
        [MESSAGE_FIRST] = "message-first",
    };

    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/peer-link/smaller-dials", NULL, test_link);
    g_test_add_data_func("/peer-link/larger-dials", GINT_TO_POINTER(1),
                         test_link);
    g_test_add_func("/peer-link/wrong-secret", test_wrong_secret);
    g_test_add_func("/peer-link/wrong-name", test_wrong_name);
    for (guint i = 0; i < G_N_ELEMENTS(strangers); i++) {
        char *path = g_strdup_printf("/peer-link/stranger/%s", strangers[i]);

        g_test_add_data_func(path, GINT_TO_POINTER(i), test_stranger);
        g_free(path);
    }
    g_test_add_func("/peer-link/oversize-message", test_oversize_message);
    return g_test_run();
}
