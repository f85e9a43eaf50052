#include "http.h"

#include <ev.h>
#include <glib.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "error.h"
#include "socket.h"

/* A transfer fails if its connection takes longer than this. */
#define CONNECT_TIMEOUT_MS 1000
/* Limit of the connection cache, for all peers together. */
#define IDLE_CONNECTIONS_MAX 512

/*
 * Receive buffer of a connection, which the kernel doubles: what it holds of
 * many upstreams that send faster than they are read counts as memory of the
 * process.
 */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/* Unanswered keepalive probes, 1 s apart, until a peer counts as down. */
#define KEEPALIVE_PROBES 2
/* Limit of the time for which sent data may stay unacknowledged. */
#define UNACKNOWLEDGED_TIMEOUT_MS 2500
/* Buffer for the body of a request; smaller than libcurl's default. */
#define UPLOAD_BUFFER_BYTES (16 * 1024)
/* Limit of a response's heads and trailers together. */
#define HEAD_MAX_BYTES (128 * 1024)
#define BODY_MAX_BYTES (16 * 1024 * 1024)
/* Limit of bytes received in a row that are neither head nor body. */
#define DISCARDED_MAX_BYTES (256 * 1024)
/* libcurl runs without a part of the response, until these are checked. */
#define IDLE_RUNS_PER_CHECK 4

/*
 * libcurl reads for as long as there is something to read. A transfer that
 * passed this much of a body in one run is paused until the loop has looked at
 * the other sockets. Small parts count for more than their size, for the time
 * that each takes.
 */
#define RUN_MAX_BYTES (32 * 1024)
#define PART_OVERHEAD_BYTES 64

struct ct_http {
    struct ct_executor executor;
    struct ct_loop *loop;
    CURLM *multi;
    ev_timer timer;
    /* Runs of libcurl so far. */
    unsigned runs;
    /* Paused struct ct_transfer, and the timer that resumes them. */
    GQueue paused;
    ev_timer resume;
};

/* A libev watcher for one of libcurl's sockets. */
struct socket_watch {
    ev_io io;
    struct ct_http *http;
};

/* Resets the state that is kept between runs of libcurl. */
static void
end_run(struct ct_transfer *transfer)
{
    transfer->received = false;
    transfer->idle_runs = 0;
    if (transfer->ops->flush != NULL) {
        transfer->ops->flush(transfer);
    }
}

/*
 * libcurl takes the end of a connection inside a head for the end of a
 * response without a body.
 */
static CURLcode
check_result(const struct ct_transfer *transfer, CURLcode result)
{
    return result == CURLE_OK && !transfer->head_complete ? CURLE_GOT_NOTHING
                                                          : result;
}

/* Ends the transfers that libcurl reports as done. */
static void
finish_transfers(struct ct_http *http)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(http->multi, &left)) != NULL) {
        struct ct_transfer *transfer;
        CURLcode result = message->data.result;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&transfer);
        ct_http_cancel(http, transfer);
        end_run(transfer);
        transfer->ops->done(transfer, check_result(transfer, result));
    }
}

/* Runs libcurl; effects are deferred until it may be called again. */
static void
run_socket_action(struct ct_http *http, curl_socket_t fd, int flags)
{
    int running;

    ct_loop_hold(http->loop);
    http->runs++;
    curl_multi_socket_action(http->multi, fd, flags, &running);
    finish_transfers(http);
    ct_loop_release(http->loop);
}

static void
on_socket(struct ev_loop *ev, ev_io *io, int events)
{
    struct socket_watch *watch = (struct socket_watch *)io;
    int flags = 0;

    (void)ev;
    if (events & EV_READ) {
        flags |= CURL_CSELECT_IN;
    }
    if (events & EV_WRITE) {
        flags |= CURL_CSELECT_OUT;
    }
    run_socket_action(watch->http, io->fd, flags);
}

static void
on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    run_socket_action(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Resumes a paused transfer, which gets the part that it was paused at. */
static void
resume_transfer(struct ct_transfer *transfer)
{
    CURLcode result = curl_easy_pause(transfer->easy, CURLPAUSE_CONT);

    if (result != CURLE_OK) {
        ct_http_cancel(transfer->http, transfer);
        end_run(transfer);
        transfer->ops->done(transfer, result);
    }
}

static void
on_resume(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_http *http = timer->data;
    guint n = http->paused.length;

    (void)ev;
    (void)events;
    ct_loop_hold(http->loop);
    http->runs++;
    for (guint i = 0; i < n; i++) {
        resume_transfer(g_queue_pop_head(&http->paused));
    }
    ct_loop_release(http->loop);
}

static int
set_timer(CURLM *multi, long timeout_ms, void *arg)
{
    struct ct_http *http = arg;
    struct ev_loop *ev = ct_loop_ev(http->loop);

    (void)multi;
    ev_timer_stop(ev, &http->timer);
    if (timeout_ms >= 0) {
        ev_now_update(ev);
        ev_timer_set(&http->timer, (ev_tstamp)timeout_ms / 1e3, 0);
        ev_timer_start(ev, &http->timer);
    }
    return 0;
}

static int
set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *watch_arg)
{
    struct ct_http *http = arg;
    struct socket_watch *watch = watch_arg;
    struct ev_loop *ev = ct_loop_ev(http->loop);
    struct ct_transfer *transfer = NULL;
    int events = 0;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (transfer != NULL) {
        transfer->fd = what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd;
    }
    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL) {
            ev_io_stop(ev, &watch->io);
            curl_multi_assign(http->multi, fd, NULL);
            g_free(watch);
        }
        return 0;
    }
    if (watch == NULL) {
        watch = g_new0(struct socket_watch, 1);
        watch->http = http;
        ev_io_init(&watch->io, on_socket, fd, 0);
        curl_multi_assign(http->multi, fd, watch);
    }
    if (what & CURL_POLL_IN) {
        events |= EV_READ;
    }
    if (what & CURL_POLL_OUT) {
        events |= EV_WRITE;
    }
    ev_io_stop(ev, &watch->io);
    ev_io_set(&watch->io, fd, events);
    ev_io_start(ev, &watch->io);
    return 0;
}

static void
free_http(struct ct_executor *executor)
{
    struct ct_http *http = (struct ct_http *)executor;

    curl_multi_cleanup(http->multi);
    ev_timer_stop(ct_loop_ev(http->loop), &http->timer);
    ev_timer_stop(ct_loop_ev(http->loop), &http->resume);
    g_queue_clear(&http->paused);
    g_free(http);
}

struct ct_http *
ct_http_new(struct ct_loop *loop)
{
    static const struct ct_executor_ops ops = {
        .free = free_http,
    };
    struct ct_http *http = g_try_new0(struct ct_http, 1);

    if (http == NULL) {
        return NULL;
    }
    http->multi = curl_multi_init();
    if (http->multi == NULL) {
        g_free(http);
        return NULL;
    }
    http->executor.ops = &ops;
    http->loop = loop;
    ev_timer_init(&http->timer, on_timer, 0, 0);
    http->timer.data = http;
    ev_timer_init(&http->resume, on_resume, 0, 0);
    http->resume.data = http;
    g_queue_init(&http->paused);
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS,
                      (long)IDLE_CONNECTIONS_MAX);
    return http;
}

struct ct_executor *
ct_http_executor(struct ct_http *http)
{
    return &http->executor;
}

static int
on_before_send(void *arg, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    struct ct_transfer *transfer = arg;

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (transfer->ops->before_send != NULL &&
        transfer->ops->before_send(transfer) < 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

/* Keeps track of where heads begin and end; trailers follow the last one. */
static void
track_head(struct ct_transfer *transfer, const char *line, size_t n)
{
    static const char version[] = "HTTP/";
    const char *status;

    if (transfer->head_complete) {
        return;
    }
    if (n >= strlen(version) && strncmp(line, version, strlen(version)) == 0) {
        status = memchr(line, ' ', n);
        transfer->interim =
            status != NULL && status + 1 < line + n && status[1] == '1';
        return;
    }
    if (line[0] == '\r' || line[0] == '\n') {
        transfer->head_complete = !transfer->interim;
    }
}

/* libcurl aborts a transfer whose callback returns another byte count. */
static size_t
on_header(char *line, size_t size, size_t n, void *arg)
{
    struct ct_transfer *transfer = arg;

    transfer->received = true;
    transfer->head_bytes += size * n;
    if (transfer->head_bytes > HEAD_MAX_BYTES) {
        return 0;
    }
    track_head(transfer, line, size * n);
    if (transfer->ops->header != NULL &&
        transfer->ops->header(transfer, line, size * n) < 0) {
        return 0;
    }
    return size * n;
}

/* Whether the transfer has passed enough in this run of libcurl. */
static bool
is_run_over(struct ct_transfer *transfer)
{
    if (transfer->run != transfer->http->runs) {
        transfer->run = transfer->http->runs;
        transfer->run_bytes = 0;
    }
    return transfer->run_bytes >= RUN_MAX_BYTES;
}

/* Queues a transfer, to be resumed after the other sockets were looked at. */
static void
resume_later(struct ct_transfer *transfer)
{
    g_queue_push_tail(&transfer->http->paused, transfer);
    ev_timer_start(ct_loop_ev(transfer->http->loop), &transfer->http->resume);
}

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    struct ct_transfer *transfer = arg;

    if (is_run_over(transfer)) {
        resume_later(transfer);
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->held = transfer->ops->takes_data != NULL &&
                     !transfer->ops->takes_data(transfer);
    if (transfer->held) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->run_bytes += size * n + PART_OVERHEAD_BYTES;
    transfer->received = true;
    transfer->body_bytes += size * n;
    if (transfer->body_bytes > transfer->body_max_bytes) {
        return 0;
    }
    if (transfer->ops->data(transfer, data, size * n) < 0) {
        return 0;
    }
    return size * n;
}

/* Returns the bytes received on the transfer's connection; 0 if unknown. */
static uint64_t
connection_bytes(const struct ct_transfer *transfer)
{
    return transfer->fd == CURL_SOCKET_BAD
               ? 0
               : ct_socket_bytes_received(transfer->fd);
}

/*
 * Called after each run of libcurl on the transfer; a value other than 0 ends
 * it. libcurl discards some bytes without a callback, such as the extension of
 * a chunk, so what the connection received in the meantime is checked instead.
 */
static int
on_progress(void *arg, curl_off_t down_total, curl_off_t down,
            curl_off_t up_total, curl_off_t up)
{
    struct ct_transfer *transfer = arg;
    uint64_t bytes;

    (void)down_total;
    (void)down;
    (void)up_total;
    (void)up;
    /* Bytes for a held transfer wait in the kernel; none were discarded. */
    if (transfer->received || transfer->held) {
        end_run(transfer);
        return 0;
    }
    if (++transfer->idle_runs % IDLE_RUNS_PER_CHECK != 0) {
        return 0;
    }
    bytes = connection_bytes(transfer);
    if (transfer->idle_runs == IDLE_RUNS_PER_CHECK) {
        transfer->idle_from_bytes = bytes;
    }
    return bytes > transfer->idle_from_bytes + DISCARDED_MAX_BYTES;
}

static void
set_callbacks(struct ct_transfer *transfer)
{
    CURL *easy = transfer->easy;

    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
}

int
ct_transfer_init(struct ct_transfer *transfer, struct ct_http *http,
                 const struct ct_transfer_ops *ops, const char *address,
                 const char *path)
{
    CURL *easy = curl_easy_init();
    char *url;

    if (easy == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    url = g_strconcat("http://", address, path, NULL);
    memset(transfer, 0, sizeof(*transfer));
    transfer->ops = ops;
    transfer->http = http;
    transfer->easy = easy;
    transfer->fd = CURL_SOCKET_BAD;
    transfer->body_max_bytes = BODY_MAX_BYTES;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
                     (long)UPLOAD_BUFFER_BYTES);
    set_callbacks(transfer);
    g_free(url);
    return ct_transfer_add_header(transfer, "Expect", "");
}

int
ct_transfer_add_header_line(struct ct_transfer *transfer, const char *line)
{
    struct curl_slist *headers = curl_slist_append(transfer->headers, line);

    if (headers == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    transfer->headers = headers;
    return CT_OK;
}

int
ct_transfer_add_header(struct ct_transfer *transfer, const char *name,
                       const char *value)
{
    char *line =
        g_strdup_printf(*value != '\0' ? "%s: %s" : "%s:", name, value);
    int err = ct_transfer_add_header_line(transfer, line);

    g_free(line);
    return err;
}

void
ct_transfer_set_body(struct ct_transfer *transfer, const void *body, size_t n)
{
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)n);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, n > 0 ? body : "");
}

void
ct_transfer_set_request(struct ct_transfer *transfer, const char *method,
                        const void *body, size_t n)
{
    if (strcmp(method, "HEAD") == 0) {
        /* Otherwise libcurl waits for the body that the head announces. */
        curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
    }
    else if (n > 0 || strcmp(method, "GET") != 0) {
        ct_transfer_set_body(transfer, body, n);
        curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, method);
    }
}

void
ct_transfer_share_connection(struct ct_transfer *transfer)
{
    curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 0L);
    curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 0L);
}

/* Sets socket options that libcurl does not offer. */
static int
set_socket_options(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    int probes = KEEPALIVE_PROBES;
    unsigned unacknowledged_ms = UNACKNOWLEDGED_TIMEOUT_MS;
    int receive_bytes = RECEIVE_BUFFER_BYTES;

    (void)arg;
    (void)purpose;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
    return CURL_SOCKOPT_OK;
}

void
ct_transfer_enable_keepalive(struct ct_transfer *transfer)
{
    curl_easy_setopt(transfer->easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_TCP_KEEPIDLE, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_TCP_KEEPINTVL, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_SOCKOPTFUNCTION,
                     set_socket_options);
}

void
ct_transfer_set_body_limit(struct ct_transfer *transfer, size_t max_bytes)
{
    transfer->body_max_bytes = max_bytes;
}

void
ct_transfer_set_timeout(struct ct_transfer *transfer, ct_ms timeout_ms)
{
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
}

void
ct_transfer_clear(struct ct_transfer *transfer)
{
    ct_http_cancel(transfer->http, transfer);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    transfer->easy = NULL;
    transfer->headers = NULL;
}

int
ct_http_start(struct ct_http *http, struct ct_transfer *transfer)
{
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (curl_multi_add_handle(http->multi, transfer->easy) != CURLM_OK) {
        return CT_ERR_IO;
    }
    transfer->running = true;
    return CT_OK;
}

void
ct_http_continue(struct ct_transfer *transfer)
{
    if (transfer->held) {
        transfer->held = false;
        resume_later(transfer);
    }
}

void
ct_http_cancel(struct ct_http *http, struct ct_transfer *transfer)
{
    if (transfer->running) {
        transfer->running = false;
        transfer->held = false;
        g_queue_remove(&http->paused, transfer);
        curl_multi_remove_handle(http->multi, transfer->easy);
    }
}
