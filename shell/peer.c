#include "peer.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "error.h"
#include "socket.h"
#include "table.h"

#define MS_PER_S 1e3
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
/* Limit of links that have not authenticated yet. */
#define UNAUTHENTICATED_MAX 64
/* Pause before the next accept() after one has failed. */
#define ACCEPT_PAUSE_MS 200

struct peer_row {
    struct ct_peers *owner;
    struct ct_host conf;
    /* Listed by the last CT_EFFECT_SET_PEERS. */
    bool listed;
    struct ct_peer_link *link;
    /* This host opened that link. */
    bool dialled;
    struct ct_peer_link *dialling_link;
    ev_timer dial;
    ct_ms backoff_ms;
};

struct ct_peers {
    struct ct_executor executor;
    struct ct_peer_link_owner owner;
    struct ct_loop *loop;
    struct ct_peer_identity identity;
    ct_ms fallback_delay_ms;
    bool keep_accepted_links;
    int listener;
    uint16_t port;
    ev_io acceptor;
    ev_timer pause;
    /* struct peer_row */
    struct ct_table rows;
    /* All links, in any state. */
    GPtrArray *links;
    /* Frame of the last message, which may go to further hosts. */
    GByteArray *encoded;
};

static struct ct_peers *
get_peers(struct ct_peer_link_owner *owner)
{
    return (struct ct_peers *)((char *)owner -
                               offsetof(struct ct_peers, owner));
}

static struct peer_row *
find_row(const struct ct_peers *peers, const struct ct_name *name,
         struct ct_handle *handle)
{
    struct peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&peers->rows, &cursor, handle))) {
        if (ct_name_eq(&row->conf.name, name)) {
            return row;
        }
    }
    return NULL;
}

static struct peer_row *
find_row_by_link(const struct ct_peers *peers, const struct ct_peer_link *link,
                 struct ct_handle *handle)
{
    struct peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&peers->rows, &cursor, handle))) {
        if (row->link == link || row->dialling_link == link) {
            return row;
        }
    }
    return NULL;
}

static void
clear_row(void *data)
{
    struct peer_row *row = data;

    ev_timer_stop(ct_loop_ev(row->owner->loop), &row->dial);
}

static bool
is_dialler(const struct peer_row *row)
{
    return strcmp(row->owner->identity.host.text, row->conf.name.text) < 0;
}

/* Dials after the delay, varied at random by up to half of it. */
static void
schedule_dial(struct peer_row *row, ct_ms delay_ms)
{
    struct ev_loop *ev = ct_loop_ev(row->owner->loop);
    ct_ms jittered_ms =
        delay_ms / 2 + g_random_int_range(0, (gint32)delay_ms + 1);

    if (!row->listed || row->link || row->dialling_link ||
        ev_is_active(&row->dial)) {
        return;
    }
    if (!is_dialler(row)) {
        jittered_ms += row->owner->fallback_delay_ms;
    }
    ev_now_update(ev);
    ev_timer_set(&row->dial, (ev_tstamp)jittered_ms / MS_PER_S, 0);
    ev_timer_start(ev, &row->dial);
}

static void
schedule_redial(struct peer_row *row)
{
    row->backoff_ms =
        CLAMP(row->backoff_ms * 2, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    schedule_dial(row, row->backoff_ms);
}

static struct ct_peer_link *
add_link(struct ct_peers *peers, int fd)
{
    struct ct_peer_link *link = ct_peer_link_new(
        ct_loop_ev(peers->loop), fd, &peers->identity, &peers->owner);

    if (link) {
        g_ptr_array_add(peers->links, link);
    }
    return link;
}

static void
on_dial(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct peer_row *row = timer->data;
    int fd;

    (void)ev;
    (void)events;
    if (row->link || row->dialling_link || !row->listed) {
        return;
    }
    fd = ct_socket_connect(row->conf.peer_address.text);
    if (fd >= 0) {
        row->dialling_link = add_link(row->owner, fd);
    }
    if (!row->dialling_link) {
        schedule_redial(row);
    }
}

static struct peer_row *
add_row(struct ct_peers *peers, const struct ct_name *name)
{
    struct ct_handle handle;
    struct peer_row *row;

    if (ct_table_add(&peers->rows, &handle) < 0) {
        return NULL;
    }
    row = ct_table_get(&peers->rows, handle);
    row->owner = peers;
    row->conf.name = *name;
    ev_timer_init(&row->dial, on_dial, 0, 0);
    row->dial.data = row;
    return row;
}

static void
post_event(struct ct_peers *peers, enum ct_event_type type,
           const struct ct_name *name, const struct ct_peer_message *message)
{
    struct ct_event event = {.type = type};

    event.u.peer.peer = *name;
    if (message) {
        event.u.peer.message = *message;
    }
    ct_loop_post(peers->loop, &event);
}

/*
 * Whether a new link replaces the row's link. If both hosts dialled, both keep
 * the link that the host with the smaller name opened, so that they do not
 * each close a different one.
 */
static bool
is_preferred(const struct peer_row *row, bool dialled)
{
    return !row->link || row->dialled == dialled || dialled == is_dialler(row);
}

static void
on_up(struct ct_peer_link_owner *owner, struct ct_peer_link *link)
{
    struct ct_peers *peers = get_peers(owner);
    struct ct_name name = *ct_peer_link_peer(link);
    struct peer_row *row = find_row_by_link(peers, link, NULL);
    bool dialled = row != NULL;

    /* The peer at the dialled address must be the host that was dialled. */
    if (row && !ct_name_eq(&row->conf.name, &name)) {
        ct_peer_link_shutdown(link);
        return;
    }
    if (!row) {
        row = find_row(peers, &name, NULL);
    }
    if (!row) {
        row = add_row(peers, &name);
    }
    if (!row || !is_preferred(row, dialled)) {
        ct_peer_link_shutdown(link);
        return;
    }
    if (dialled) {
        row->dialling_link = NULL;
    }
    if (row->link) {
        ct_peer_link_shutdown(row->link);
    }
    row->link = link;
    row->dialled = dialled;
    row->backoff_ms = 0;
    ev_timer_stop(ct_loop_ev(peers->loop), &row->dial);
    post_event(peers, CT_EVENT_PEER_UP, &name, NULL);
}

static void
on_message(struct ct_peer_link_owner *owner, struct ct_peer_link *link,
           const struct ct_peer_message *message)
{
    struct ct_peers *peers = get_peers(owner);
    const struct peer_row *row = find_row_by_link(peers, link, NULL);

    /* Messages of a link that was replaced are ignored. */
    if (row && row->link == link) {
        post_event(peers, CT_EVENT_PEER_MESSAGE, &row->conf.name, message);
    }
}

static void
on_closed(struct ct_peer_link_owner *owner, struct ct_peer_link *link, int err)
{
    struct ct_peers *peers = get_peers(owner);
    struct ct_handle handle = CT_NO_HANDLE;
    struct peer_row *row = find_row_by_link(peers, link, &handle);
    struct ct_name name;

    g_ptr_array_remove_fast(peers->links, link);
    if (err == CT_ERR_PEER_AUTH) {
        g_info("rejected a peer link: %s", ct_err_name(err));
    }
    if (!row) {
        return;
    }
    if (row->dialling_link == link) {
        row->dialling_link = NULL;
        schedule_redial(row);
        return;
    }
    row->link = NULL;
    name = row->conf.name;
    schedule_redial(row);
    if (!row->listed && !row->dialling_link) {
        ct_table_unref(&peers->rows, handle);
    }
    post_event(peers, CT_EVENT_PEER_DOWN, &name, NULL);
}

static uint32_t
count_unauthenticated(const struct ct_peers *peers)
{
    uint32_t n = 0;
    guint i;

    for (i = 0; i < peers->links->len; i++) {
        n += !ct_peer_link_is_up(g_ptr_array_index(peers->links, i));
    }
    return n;
}

static void
on_accept(struct ev_loop *ev, ev_io *io, int events)
{
    struct ct_peers *peers = io->data;
    int fd = ct_socket_accept(peers->listener);

    (void)events;
    if (fd < 0) {
        /*
         * Pauses, as the listener stays readable while no descriptor is free.
         */
        ev_io_stop(ev, io);
        ev_timer_set(&peers->pause, ACCEPT_PAUSE_MS / MS_PER_S, 0);
        ev_timer_start(ev, &peers->pause);
        return;
    }
    if (count_unauthenticated(peers) >= UNAUTHENTICATED_MAX) {
        close(fd);
        return;
    }
    add_link(peers, fd);
}

static void
on_pause_over(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_peers *peers = timer->data;

    (void)events;
    ev_io_start(ev, &peers->acceptor);
}

static void
set_peer(struct ct_peers *peers, const struct ct_host *host)
{
    struct peer_row *row = find_row(peers, &host->name, NULL);

    if (!row) {
        row = add_row(peers, &host->name);
    }
    if (row) {
        row->conf = *host;
        row->listed = true;
        schedule_dial(row, 0);
    }
}

static void
set_peers(struct ct_peers *peers, struct ct_rows rows)
{
    const struct ct_host *hosts = rows.data;
    struct ct_handle handle;
    struct peer_row *row;
    uint32_t cursor = 0;
    uint32_t i;

    while ((row = ct_table_next(&peers->rows, &cursor, NULL))) {
        row->listed = false;
    }
    for (i = 0; i < rows.n; i++) {
        set_peer(peers, &hosts[i]);
    }
    cursor = 0;
    while ((row = ct_table_next(&peers->rows, &cursor, &handle))) {
        if (row->listed ||
            (peers->keep_accepted_links && row->link && !row->dialled)) {
            continue;
        }
        if (row->link) {
            ct_peer_link_shutdown(row->link);
        }
        else if (!row->dialling_link) {
            ct_table_unref(&peers->rows, handle);
        }
    }
}

/* Encodes the message of an effect; on failure nothing is there to be sent. */
static int
encode_message(struct ct_peers *peers, const struct ct_effect *effect)
{
    struct ct_peer_message message = effect->u.peer.message;

    message.rows = effect->rows;
    g_byte_array_set_size(peers->encoded, 0);
    return ct_peer_link_encode(&message, peers->encoded);
}

static void
send_message(struct ct_peers *peers, const struct ct_effect *effect)
{
    const struct peer_row *row = find_row(peers, &effect->u.peer.peer, NULL);
    int err = CT_OK;

    if (!effect->u.peer.repeats) {
        err = encode_message(peers, effect);
    }
    if (!row || !row->link) {
        return;
    }
    if (err == CT_OK && peers->encoded->len > 0) {
        err = ct_peer_link_send(row->link, peers->encoded);
    }
    if (err < 0) {
        g_info("dropped a message to %s: %s", row->conf.name.text,
               ct_err_name(err));
    }
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_peers *peers = (struct ct_peers *)executor;

    switch (effect->type) {
    case CT_EFFECT_SET_PEERS:
        set_peers(peers, effect->rows);
        return true;
    case CT_EFFECT_SEND_PEER_MESSAGE:
        send_message(peers, effect);
        return true;
    default:
        return false;
    }
}

static void
free_peers(struct ct_executor *executor)
{
    struct ct_peers *peers = (struct ct_peers *)executor;
    guint i;

    ev_io_stop(ct_loop_ev(peers->loop), &peers->acceptor);
    ev_timer_stop(ct_loop_ev(peers->loop), &peers->pause);
    close(peers->listener);
    for (i = 0; i < peers->links->len; i++) {
        ct_peer_link_free(g_ptr_array_index(peers->links, i));
    }
    g_ptr_array_free(peers->links, TRUE);
    g_byte_array_free(peers->encoded, TRUE);
    ct_table_free(&peers->rows);
    g_free(peers);
}

int
ct_peers_new(struct ct_loop *loop, const struct ct_peers_options *options,
             struct ct_peers **out)
{
    static const struct ct_executor_ops ops = {.run = run_effect,
                                               .free = free_peers};
    static const struct ct_peer_link_owner_ops owner_ops = {
        .up = on_up,
        .message = on_message,
        .closed = on_closed,
    };
    struct ct_peers *peers = g_try_new0(struct ct_peers, 1);

    if (!peers) {
        return CT_ERR_NO_MEMORY;
    }
    peers->listener = ct_socket_listen(options->listen, &peers->port);
    if (peers->listener < 0) {
        int err = peers->listener;

        g_free(peers);
        return err;
    }
    peers->executor.ops = &ops;
    peers->owner.ops = &owner_ops;
    peers->loop = loop;
    peers->identity = options->identity;
    peers->fallback_delay_ms = options->fallback_delay_ms;
    peers->keep_accepted_links = options->keep_accepted_links;
    peers->links = g_ptr_array_new();
    peers->encoded = g_byte_array_new();
    ct_table_init(&peers->rows, sizeof(struct peer_row), 0, clear_row);
    ev_io_init(&peers->acceptor, on_accept, peers->listener, EV_READ);
    ev_timer_init(&peers->pause, on_pause_over, 0, 0);
    peers->acceptor.data = peers->pause.data = peers;
    ev_io_start(ct_loop_ev(loop), &peers->acceptor);
    *out = peers;
    return CT_OK;
}

struct ct_executor *
ct_peers_executor(struct ct_peers *peers)
{
    return &peers->executor;
}

uint16_t
ct_peers_port(const struct ct_peers *peers)
{
    return peers->port;
}

void
ct_peers_traffic(const struct ct_peers *peers, uint64_t *sent,
                 uint64_t *received)
{
    *sent = peers->owner.bytes_sent;
    *received = peers->owner.bytes_received;
}
