/*
 * Tests of http.h: a response never goes to another transfer that reuses the
 * connection, parts of a response are flushed once a run, and a transfer on
 * hold takes no data.
 */
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "http.h"
#include "lib-raw-server.h"
#include "lib-script.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define FIRST OK_HEAD "5\r\n\r\nfirst"
#define SECOND OK_HEAD "6\r\n\r\nsecond"
/* By this time the bytes that the server sent late have arrived. */
#define LATE_MS 200

struct get {
    struct ct_transfer transfer;
    GString *body;
    guint flushes;
    CURLcode result;
    bool done;
};

static int
on_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    g_string_append_len(((struct get *)transfer)->body, data, (gssize)n);
    return 0;
}

static void
on_flush(struct ct_transfer *transfer)
{
    ((struct get *)transfer)->flushes++;
}

static void
on_done(struct ct_transfer *transfer, CURLcode result)
{
    struct get *get = (struct get *)transfer;

    get->result = result;
    get->done = true;
}

static bool
is_done(void *arg)
{
    return ((struct get *)arg)->done;
}

static const struct ct_transfer_ops get_ops = {
    .data = on_data, .flush = on_flush, .done = on_done};

/* A client, and a server with scripted replies unless it is NULL. */
struct fixture {
    struct script *script;
    struct ct_http *http;
    struct raw_server *server;
};

static void
set_up(struct fixture *f, const struct raw_reply *replies, guint n)
{
    f->server = n > 0 ? raw_server_new(replies, n) : NULL;
    f->script = script_new();
    f->http = ct_http_new(f->script->loop);
    ct_loop_add(f->script->loop, ct_http_executor(f->http));
}

static void
tear_down(struct fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
    g_clear_pointer(&f->server, raw_server_free);
}

static void
init_get(struct fixture *f, const struct ct_transfer_ops *ops, struct get *get)
{
    memset(get, 0, sizeof(*get));
    get->body = g_string_new(NULL);
    get->transfer.http = f->http;
    g_assert_cmpint(ct_transfer_init(&get->transfer, f->http, ops,
                                     raw_server_address(f->server), "/"),
                    ==, 0);
}

static void
start_get(struct fixture *f, const struct ct_transfer_ops *ops,
          struct get *get)
{
    init_get(f, ops, get);
    g_assert_cmpint(ct_http_start(f->http, &get->transfer), ==, 0);
}

static void
run_get(struct fixture *f, const struct ct_transfer_ops *ops, struct get *get)
{
    start_get(f, ops, get);
    script_wait_until(f->script, is_done, get);
}

static void
clear_get(struct get *get)
{
    ct_transfer_clear(&get->transfer);
    g_string_free(get->body, TRUE);
}

static bool
is_time(void *arg)
{
    return g_get_monotonic_time() >= *(gint64 *)arg;
}

static void
wait_ms(struct script *script, gint64 ms)
{
    gint64 until = g_get_monotonic_time() + ms * 1000;

    script_wait_until(script, is_time, &until);
}

/*
 * The server sends its response twice: the copy at once, late, or so late that
 * the next request was sent. The next request must get the response to itself.
 */
static void
test_second_copy(gconstpointer arg)
{
    const struct raw_reply *first = arg;
    struct raw_reply replies[] = {*first, {SECOND, RAW_KEEP_ALIVE, NULL, 0}};
    struct fixture f;
    struct get get;

    set_up(&f, replies, 2);
    run_get(&f, &get_ops, &get);
    g_assert_cmpint(get.result, ==, CURLE_OK);
    g_assert_cmpstr(get.body->str, ==, "first");
    clear_get(&get);
    wait_ms(f.script, LATE_MS);
    run_get(&f, &get_ops, &get);
    g_assert_cmpint(get.result, ==, CURLE_OK);
    g_assert_cmpstr(get.body->str, ==, "second");
    clear_get(&get);
    tear_down(&f);
}

/* However many chunks arrive at once, they are flushed together. */
static void
test_flush(void)
{
    GString *text =
        g_string_new("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    struct raw_reply reply = {NULL, RAW_KEEP_ALIVE, NULL, 0};
    struct fixture f;
    struct get get;

    for (int i = 0; i < 1000; i++) {
        g_string_append(text, "1\r\nx\r\n");
    }
    g_string_append(text, "0\r\n\r\n");
    reply.text = text->str;
    set_up(&f, &reply, 1);
    run_get(&f, &get_ops, &get);
    g_assert_cmpuint(get.body->len, ==, 1000);
    g_assert_cmpuint(get.flushes, >=, 1);
    g_assert_cmpuint(get.flushes, <, 100);
    clear_get(&get);
    tear_down(&f);
    g_string_free(text, TRUE);
}

/* Counts the body bytes that arrive in one iteration of the event loop. */
struct iteration {
    struct ev_prepare prepare;
    size_t bytes;
    size_t most_bytes;
};

static struct iteration iteration;

static void
on_prepare(struct ev_loop *ev, struct ev_prepare *prepare, int events)
{
    (void)ev;
    (void)prepare;
    (void)events;
    iteration.most_bytes = MAX(iteration.most_bytes, iteration.bytes);
    iteration.bytes = 0;
}

static int
on_counted_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    iteration.bytes += n;
    return on_data(transfer, data, n);
}

/*
 * A body that arrives faster than it is read, up to its limit, does not keep
 * the event loop from other sockets, and is complete until then.
 */
static void
test_fair_share(void)
{
    static const struct ct_transfer_ops ops = {
        .data = on_counted_data, .flush = on_flush, .done = on_done};
    char *block = g_strnfill(64 * 1024, 'x');
    struct raw_reply reply = {"HTTP/1.1 200 OK\r\n\r\n", RAW_REPEAT, block, 0};
    struct fixture f;
    struct get get;

    set_up(&f, &reply, 1);
    ev_prepare_init(&iteration.prepare, on_prepare);
    ev_prepare_start(ct_loop_ev(f.script->loop), &iteration.prepare);
    run_get(&f, &ops, &get);
    g_assert_cmpint(get.result, ==, CURLE_WRITE_ERROR);
    g_assert_cmpuint(get.body->len, >, 15 * 1024 * 1024);
    g_assert_cmpuint(strspn(get.body->str, "x"), ==, get.body->len);
    g_assert_cmpuint(iteration.most_bytes, >, 0);
    g_assert_cmpuint(iteration.most_bytes, <=, 128 * 1024);
    ev_prepare_stop(ct_loop_ev(f.script->loop), &iteration.prepare);
    clear_get(&get);
    tear_down(&f);
    g_free(block);
}

static size_t held_bytes;

static bool
takes_data(const struct ct_transfer *transfer)
{
    return ((const struct get *)transfer)->body->len < held_bytes;
}

/*
 * Guards against a transfer that goes on while it is on hold, or ends, and one
 * that loses bytes or does not go on afterwards.
 */
static void
test_hold(void)
{
    static const struct ct_transfer_ops ops = {.takes_data = takes_data,
                                               .data = on_data,
                                               .flush = on_flush,
                                               .done = on_done};
    char *body = g_strnfill(4 * 1024 * 1024, 'x');
    char *text = g_strconcat("HTTP/1.1 200 OK\r\n\r\n", body, NULL);
    struct raw_reply reply = {text, RAW_CLOSE, NULL, 0};
    struct fixture f;
    struct get get;

    set_up(&f, &reply, 1);
    held_bytes = 0;
    start_get(&f, &ops, &get);
    for (int i = 0; i < 4; i++) {
        wait_ms(f.script, LATE_MS);
        g_assert_false(get.done);
        g_assert_cmpuint(get.body->len, >=, held_bytes);
        g_assert_cmpuint(get.body->len, <=, held_bytes + CURL_MAX_WRITE_SIZE);
        held_bytes += 256 * 1024;
        ct_http_continue(&get.transfer);
    }
    held_bytes = SIZE_MAX;
    wait_ms(f.script, LATE_MS);
    ct_http_continue(&get.transfer);
    script_wait_until(f.script, is_done, &get);
    g_assert_cmpint(get.result, ==, CURLE_OK);
    g_assert_cmpstr(get.body->str, ==, body);
    clear_get(&get);
    /* One that is cancelled on hold leaves nothing behind. */
    held_bytes = 0;
    start_get(&f, &ops, &get);
    wait_ms(f.script, LATE_MS);
    ct_http_continue(&get.transfer);
    clear_get(&get);
    wait_ms(f.script, LATE_MS);
    tear_down(&f);
    g_free(text);
    g_free(body);
}

/*
 * Guards against a response that breaks off in its head and counts as a
 * complete one without a body: wherever the head is cut, the transfer fails.
 */
static void
test_cut_head(gconstpointer arg)
{
    const char *head = arg;
    size_t n = strlen(head);
    struct fixture f;

    set_up(&f, NULL, 0);
    for (size_t cut = 0; cut < n; cut++) {
        g_autofree char *text = g_strndup(head, cut);
        const struct raw_reply reply = {text, RAW_CLOSE, NULL, 0};
        struct get get;

        f.server = raw_server_new(&reply, 1);
        run_get(&f, &get_ops, &get);
        g_test_message("cut after %zu of %zu bytes", cut, n);
        g_assert_cmpint(get.result, !=, CURLE_OK);
        g_assert_cmpuint(get.body->len, ==, 0);
        clear_get(&get);
        g_clear_pointer(&f.server, raw_server_free);
    }
    tear_down(&f);
}

/* The heads of test_cut_head() are complete with their last byte. */
static void
test_whole_head(gconstpointer arg)
{
    const struct raw_reply reply = {arg, RAW_CLOSE, NULL, 0};
    struct fixture f;
    struct get get;

    set_up(&f, &reply, 1);
    run_get(&f, &get_ops, &get);
    g_assert_cmpint(get.result, ==, CURLE_OK);
    clear_get(&get);
    tear_down(&f);
}

/*
 * Guards against a wait for a body that a response to HEAD announces but does
 * not have: its connection stays open and carries the next response.
 */
static void
test_head_request(void)
{
    static const struct raw_reply replies[] = {
        {OK_HEAD "5\r\n\r\n", RAW_KEEP_ALIVE, NULL, 0},
        {SECOND, RAW_KEEP_ALIVE, NULL, 0},
    };
    struct fixture f;
    struct get get;

    set_up(&f, replies, G_N_ELEMENTS(replies));
    init_get(&f, &get_ops, &get);
    ct_transfer_set_request(&get.transfer, "HEAD", NULL, 0);
    g_assert_cmpint(ct_http_start(f.http, &get.transfer), ==, 0);
    script_wait_until(f.script, is_done, &get);
    g_assert_cmpint(get.result, ==, CURLE_OK);
    g_assert_cmpuint(get.body->len, ==, 0);
    clear_get(&get);
    run_get(&f, &get_ops, &get);
    g_assert_cmpstr(get.body->str, ==, "second");
    clear_get(&get);
    tear_down(&f);
}

static void
add_head_tests(void)
{
    static const struct {
        const char *name, *head;
    } heads[] = {
        {"empty", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n"
                  "X-C: d\r\n\r\n"},
        {"until-close", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
        {"no-content", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"},
        {"not-modified", "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n\r\n"},
        {"after-interim", "HTTP/1.1 102 Processing\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"after-two-interim",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"},
        {"1.0", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n"},
        {"line-feeds", "HTTP/1.1 200 OK\nContent-Length: 0\n\n"},
        {"error", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        char *path = g_strdup_printf("/http/cut-head/%s", heads[i].name);

        g_test_add_data_func(path, heads[i].head, test_cut_head);
        g_free(path);
        path = g_strdup_printf("/http/whole-head/%s", heads[i].name);
        g_test_add_data_func(path, heads[i].head, test_whole_head);
        g_free(path);
    }
}

int
main(int argc, char **argv)
{
    static const struct raw_reply at_once = {FIRST FIRST, RAW_KEEP_ALIVE};
    static const struct raw_reply late = {FIRST, RAW_REPEAT, FIRST,
                                          LATE_MS / 4};
    static const struct raw_reply after_next = {
        .text = FIRST, .next_action = RAW_KEEP_ALIVE, .late = FIRST};

    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    g_test_add_data_func("/http/second-copy/at-once", &at_once,
                         test_second_copy);
    g_test_add_data_func("/http/second-copy/late", &late, test_second_copy);
    g_test_add_data_func("/http/second-copy/after-next-request", &after_next,
                         test_second_copy);
    g_test_add_func("/http/flush", test_flush);
    g_test_add_func("/http/fair-share", test_fair_share);
    g_test_add_func("/http/hold", test_hold);
    g_test_add_func("/http/head-request", test_head_request);
    add_head_tests();
    return g_test_run();
}
