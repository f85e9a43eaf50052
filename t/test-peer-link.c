/* Tests of peer.h and peer-link.h over TCP sockets. */
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
/* No link ends for its silence within the time limit of a test. */
#define PATIENT_MS 600000
#define POLL_MS 20000

struct node {
    struct script *script;
    struct ct_peers *peers;
    const char *greeting;
    char name[8];
};

/* Sends the greeting of a node when a link comes up. */
static void
send_greeting(struct script *script, const struct ct_event *event,
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
node_init_patient(struct node *node, const char *name, const char *secret,
                  const char *listen, ct_ms silence_ms)
{
    struct ct_peers_options options = {
        .identity = {.secret = secret, .silence_timeout_ms = silence_ms},
        .listen = listen,
        .fallback_delay_ms = 100,
    };

    memset(node, 0, sizeof(*node));
    node->script = script_new();
    node->script->arg = node;
    node->script->react = send_greeting;
    CT_TEXT_SET(options.identity.host, name);
    g_strlcpy(node->name, name, sizeof(node->name));
    g_assert_cmpint(ct_peers_new(node->script->loop, &options, &node->peers),
                    ==, CT_OK);
    ct_loop_add(node->script->loop, ct_peers_executor(node->peers));
}

static void
node_init(struct node *node, const char *name, const char *secret,
          const char *listen)
{
    node_init_patient(node, name, secret, listen, SILENCE_MS);
}

static void
node_free(struct node *node)
{
    ct_loop_free(node->script->loop);
    script_free(node->script);
}

/* Sets the only peer of a node: a host at a port of the loopback address. */
static void
node_set_peer(struct node *node, const char *name, uint16_t port)
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

struct event_wait {
    struct node *other;
    struct node *node;
    enum ct_event_type type;
    guint n;
};

/* Whether the event was seen; runs the loop of the other node too. */
static bool
has_seen(void *arg)
{
    const struct event_wait *event_wait = arg;

    if (event_wait->other) {
        ev_run(ct_loop_ev(event_wait->other->script->loop), EVRUN_NOWAIT);
    }
    return script_count(event_wait->node->script, event_wait->type) >=
           event_wait->n;
}

static void
wait_for(struct node *driver, struct node *other, struct node *node,
         enum ct_event_type type, guint n)
{
    struct event_wait event_wait = {other, node, type, n};

    script_wait_until(driver->script, has_seen, &event_wait);
}

/* Messages pass in both directions, whichever host knows the other. */
static void
test_link(gconstpointer data)
{
    bool larger_name_dials = data != NULL;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "secret", "127.0.0.1:0");
    a.greeting = "from a";
    b.greeting = "from b";
    if (larger_name_dials) {
        node_set_peer(&b, "a", ct_peers_port(a.peers));
    }
    else {
        node_set_peer(&a, "b", ct_peers_port(b.peers));
    }
    wait_for(&a, &b, &a, CT_EVENT_PEER_MESSAGE, 1);
    wait_for(&a, &b, &b, CT_EVENT_PEER_MESSAGE, 1);
    g_assert_cmpstr(script_last(a.script, CT_EVENT_PEER_MESSAGE)
                        ->u.peer.message.u.request_id.text,
                    ==, "from b");
    g_assert_cmpstr(
        script_last(b.script, CT_EVENT_PEER_MESSAGE)->u.peer.peer.text, ==,
        "a");
    /* Neither sends more, so the silent link is closed and dialled again. */
    wait_for(&a, &b, &a, CT_EVENT_PEER_DOWN, 1);
    wait_for(&a, &b, &a, CT_EVENT_PEER_UP, 2);
    wait_for(&a, &b, &b, CT_EVENT_PEER_UP, 2);
    node_free(&a);
    node_free(&b);
}

static bool
received_two_handshakes(void *arg)
{
    struct event_wait *event_wait = arg;
    uint64_t sent;
    uint64_t received;

    ev_run(ct_loop_ev(event_wait->other->script->loop), EVRUN_NOWAIT);
    ct_peers_traffic(event_wait->other->peers, &sent, &received);
    /* At least two handshakes: a hello is longer than its 32-byte nonce. */
    return received > (uint64_t)4 * 32 * 2;
}

static void
test_wrong_secret(void)
{
    struct event_wait event_wait;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "Secret", "127.0.0.1:0");
    node_set_peer(&a, "b", ct_peers_port(b.peers));
    event_wait = (struct event_wait){&b, &a, CT_EVENT_PEER_UP, 1};
    script_wait_until(a.script, received_two_handshakes, &event_wait);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    g_assert_cmpuint(script_count(b.script, CT_EVENT_PEER_UP), ==, 0);
    node_free(&a);
    node_free(&b);
}

/* A link to a host that has another name than the one dialled is refused. */
static void
test_wrong_name(void)
{
    struct event_wait event_wait;
    struct node a;
    struct node b;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    node_init(&b, "b", "secret", "127.0.0.1:0");
    node_set_peer(&a, "c", ct_peers_port(b.peers));
    event_wait = (struct event_wait){&b, &a, CT_EVENT_PEER_UP, 1};
    script_wait_until(a.script, received_two_handshakes, &event_wait);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    node_free(&a);
    node_free(&b);
}

/* What a client that does not have the secret sends. */
enum behaviour {
    SENDS_NOTHING,
    HALF_A_FRAME,
    OVERSIZE,
    GARBAGE,
    REFLECTS_PROOF,
    USES_OWN_NAME,
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
send_first_bytes(int fd, enum behaviour behaviour)
{
    static const uint8_t half[] = {0, 0, 0, 40, 1, 2};
    static const uint8_t oversize[] = {0, 0x10, 0, 1};
    static const uint8_t garbage[] = {0, 0, 0, 3, 0xff, 0xff, 0xff};
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_HELLO};

    switch (behaviour) {
    case HALF_A_FRAME:
        g_assert_cmpint(send(fd, half, sizeof(half), 0), >, 0);
        return;
    case OVERSIZE:
        g_assert_cmpint(send(fd, oversize, sizeof(oversize), 0), >, 0);
        return;
    case GARBAGE:
        g_assert_cmpint(send(fd, garbage, sizeof(garbage), 0), >, 0);
        return;
    case REFLECTS_PROOF:
    case USES_OWN_NAME:
        CT_TEXT_SET(frame.u.hello.host,
                    behaviour == USES_OWN_NAME ? "a" : "b");
        send_frame(fd, &frame);
        return;
    case MESSAGE_FIRST:
        frame.kind = CT_PEER_FRAME_MESSAGE;
        frame.u.message.type = CT_PEER_STATE_REQUEST;
        send_frame(fd, &frame);
        return;
    case SENDS_NOTHING:
    default:
        return;
    }
}

struct client {
    int fd;
    enum behaviour behaviour;
    struct ct_frame_reader frames;
};

/* Sends the proof of the host back to it. */
static void
reflect_proof(struct client *client, const uint8_t *bytes, size_t n)
{
    struct ct_decoded_peer_frame decoded;
    const uint8_t *payload;
    size_t n_payload;

    ct_frame_reader_push(&client->frames, bytes, n);
    while (ct_frame_next(&client->frames, &payload, &n_payload) > 0) {
        g_assert_cmpint(ct_peer_decode(payload, n_payload, &decoded), ==,
                        CT_OK);
        if (decoded.frame.kind == CT_PEER_FRAME_PROOF) {
            send_frame(client->fd, &decoded.frame);
        }
        ct_decoded_peer_frame_free(&decoded);
    }
}

/* Whether the host closed the connection. */
static bool
is_closed_by_host(void *arg)
{
    struct client *client = arg;
    uint8_t bytes[4096];
    ssize_t n = recv(client->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n > 0 && client->behaviour == REFLECTS_PROOF) {
        reflect_proof(client, bytes, (size_t)n);
    }
    return n == 0 || (n < 0 && errno != EAGAIN);
}

static void
test_unauthenticated(gconstpointer data)
{
    struct client client = {.behaviour =
                                (enum behaviour)GPOINTER_TO_INT(data)};
    char address[32];
    struct pollfd connected;
    struct node a;

    node_init(&a, "a", "secret", "127.0.0.1:0");
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               ct_peers_port(a.peers));
    ct_frame_reader_init(&client.frames);
    client.fd = ct_socket_connect(address);
    connected = (struct pollfd){.fd = client.fd, .events = POLLOUT};
    g_assert_cmpint(poll(&connected, 1, POLL_MS), ==, 1);
    send_first_bytes(client.fd, client.behaviour);
    script_wait_until(a.script, is_closed_by_host, &client);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 0);
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_MESSAGE), ==, 0);
    close(client.fd);
    ct_frame_reader_free(&client.frames);
    node_free(&a);
}

/* A message that is too long for a frame is dropped; the link stays up. */
static void
test_oversize_message(void)
{
    struct ct_effect effect = {.type = CT_EFFECT_SEND_PEER_MESSAGE};
    struct ct_snapshot_row *rows;
    struct node a;
    struct node b;
    const uint32_t n = 100000;

    /* Encoding the rows holds up the loops of both nodes. */
    node_init_patient(&a, "a", "secret", "127.0.0.1:0", PATIENT_MS);
    node_init_patient(&b, "b", "secret", "127.0.0.1:0", PATIENT_MS);
    node_set_peer(&a, "b", ct_peers_port(b.peers));
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
    g_assert_cmpuint(script_count(a.script, CT_EVENT_PEER_UP), ==, 1);
    g_free(rows);
    node_free(&a);
    node_free(&b);
}

/*
 * A message that goes to several hosts is encoded once. It must not be sent
 * in place of one that is different, or instead of one that failed.
 */
static void
test_repeated_message(void)
{
    struct ct_effect effect = {.type = CT_EFFECT_SEND_PEER_MESSAGE};
    struct ct_executor *executor;
    struct node a;
    struct node b;

    node_init_patient(&a, "a", "secret", "127.0.0.1:0", PATIENT_MS);
    node_init_patient(&b, "b", "secret", "127.0.0.1:0", PATIENT_MS);
    node_set_peer(&a, "b", ct_peers_port(b.peers));
    wait_for(&a, &b, &a, CT_EVENT_PEER_UP, 1);
    wait_for(&a, &b, &b, CT_EVENT_PEER_UP, 1);
    executor = ct_peers_executor(a.peers);
    effect.u.peer.message.type = CT_PEER_TALLY_DONE;
    effect.u.peer.message.u.sequence = 1;
    /* The first recipient has no link. */
    CT_TEXT_SET(effect.u.peer.peer, "c");
    executor->ops->run(executor, &effect);
    CT_TEXT_SET(effect.u.peer.peer, "b");
    effect.u.peer.repeats = true;
    executor->ops->run(executor, &effect);
    wait_for(&a, &b, &b, CT_EVENT_PEER_MESSAGE, 1);
    g_assert_cmpuint(script_last(b.script, CT_EVENT_PEER_MESSAGE)
                         ->u.peer.message.u.sequence,
                     ==, 1);
    /* A message that cannot be encoded is not replaced by the last one. */
    effect.u.peer.repeats = false;
    effect.u.peer.message.type = 0;
    executor->ops->run(executor, &effect);
    effect.u.peer.repeats = true;
    executor->ops->run(executor, &effect);
    effect.u.peer.repeats = false;
    effect.u.peer.message.type = CT_PEER_TALLY_DONE;
    effect.u.peer.message.u.sequence = 2;
    executor->ops->run(executor, &effect);
    wait_for(&a, &b, &b, CT_EVENT_PEER_MESSAGE, 2);
    g_assert_cmpuint(script_last(b.script, CT_EVENT_PEER_MESSAGE)
                         ->u.peer.message.u.sequence,
                     ==, 2);
    node_free(&a);
    node_free(&b);
}

int
main(int argc, char **argv)
{
    static const char *const behaviours[] = {
        [SENDS_NOTHING] = "sends-nothing",
        [HALF_A_FRAME] = "half-a-frame",
        [OVERSIZE] = "oversize",
        [GARBAGE] = "garbage",
        [REFLECTS_PROOF] = "reflects-proof",
        [USES_OWN_NAME] = "uses-own-name",
        [MESSAGE_FIRST] = "message-first",
    };

    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/peer-link/smaller-name-dials", NULL, test_link);
    g_test_add_data_func("/peer-link/larger-name-dials", GINT_TO_POINTER(1),
                         test_link);
    g_test_add_func("/peer-link/wrong-secret", test_wrong_secret);
    g_test_add_func("/peer-link/wrong-name", test_wrong_name);
    for (guint i = 0; i < G_N_ELEMENTS(behaviours); i++) {
        char *path =
            g_strdup_printf("/peer-link/unauthenticated/%s", behaviours[i]);

        g_test_add_data_func(path, GINT_TO_POINTER(i), test_unauthenticated);
        g_free(path);
    }
    g_test_add_func("/peer-link/oversize-message", test_oversize_message);
    g_test_add_func("/peer-link/repeated-message", test_repeated_message);
    return g_test_run();
}
