#include "load-poll.h"

#include <ev.h>
#include <glib.h>
#include <string.h>

#include "error.h"
#include "load-body.h"
#include "state-view.h"

#define RESPONSE_MAX_BYTES 4096
#define STATUS_OK 200

struct ct_load_poll {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_http *http;
    const struct ct_state *state;
    ct_ms period_ms;
    ev_timer timer;
    /* Maps an upstream to its struct load_request in progress. */
    GHashTable *load_requests;
};

struct load_request {
    struct ct_transfer transfer;
    struct ct_load_poll *poll;
    struct ct_name upstream;
    ct_ms sent_ms;
    GString *response;
};

static void
free_request(void *arg)
{
    struct load_request *request = arg;

    ct_transfer_clear(&request->transfer);
    g_string_free(request->response, TRUE);
    g_free(request);
}

static int
on_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    struct load_request *request = (struct load_request *)transfer;

    if (request->response->len + n > RESPONSE_MAX_BYTES) {
        return CT_ERR_TOO_LARGE;
    }
    g_string_append_len(request->response, data, (gssize)n);
    return CT_OK;
}

/* Posts the report, unless the request failed or the response is invalid. */
static void
on_done(struct ct_transfer *transfer, CURLcode result)
{
    struct load_request *request = (struct load_request *)transfer;
    struct ct_load_poll *poll = request->poll;
    struct ct_event event = {.type = CT_EVENT_LOAD_REPORT};
    ct_ms now_ms = ct_clock_steady_ms(ct_loop_clock(poll->loop));
    long status = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (result == CURLE_OK && status == STATUS_OK &&
        ct_load_body_parse(request->response->str, request->response->len,
                           &event.u.load) == CT_OK) {
        event.u.load.upstream = request->upstream;
        event.u.load.age_ms += now_ms - request->sent_ms;
        ct_loop_post(poll->loop, &event);
    }
    g_hash_table_remove(poll->load_requests, request->upstream.text);
}

static void
request_load(struct ct_load_poll *poll, const struct ct_upstream *upstream)
{
    static const struct ct_transfer_ops ops = {
        .data = on_data,
        .done = on_done,
    };
    struct load_request *request = g_new0(struct load_request, 1);

    request->transfer.http = poll->http;
    request->poll = poll;
    request->upstream = upstream->name;
    request->sent_ms = ct_clock_steady_ms(ct_loop_clock(poll->loop));
    request->response = g_string_new(NULL);
    if (ct_transfer_init(&request->transfer, poll->http, &ops,
                         upstream->address.text, "/load") < 0) {
        free_request(request);
        return;
    }
    curl_easy_setopt(request->transfer.easy, CURLOPT_TIMEOUT_MS,
                     (long)poll->period_ms);
    g_hash_table_insert(poll->load_requests, request->upstream.text, request);
    if (ct_http_start(poll->http, &request->transfer) < 0) {
        g_hash_table_remove(poll->load_requests, request->upstream.text);
    }
}

static void
on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_load_poll *poll = timer->data;
    struct ct_upstream_view view;
    ct_ms now_ms = ct_clock_steady_ms(ct_loop_clock(poll->loop));
    uint32_t cursor = 0;

    (void)ev;
    (void)events;
    while (ct_state_next_upstream(poll->state, now_ms, &cursor, &view)) {
        if (view.kind == CT_POOL_ENGINE &&
            !g_hash_table_contains(poll->load_requests, view.conf.name.text)) {
            request_load(poll, &view.conf);
        }
    }
}

static void
free_poll(struct ct_executor *executor)
{
    struct ct_load_poll *poll = (struct ct_load_poll *)executor;

    ev_timer_stop(ct_loop_ev(poll->loop), &poll->timer);
    g_hash_table_destroy(poll->load_requests);
    g_free(poll);
}

struct ct_load_poll *
ct_load_poll_new(struct ct_loop *loop, struct ct_http *http,
                 const struct ct_state *state, ct_ms period_ms)
{
    static const struct ct_executor_ops ops = {
        .free = free_poll,
    };
    struct ct_load_poll *poll = g_new0(struct ct_load_poll, 1);

    poll->executor.ops = &ops;
    poll->loop = loop;
    poll->http = http;
    poll->state = state;
    poll->period_ms = period_ms;
    poll->load_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_request);
    ev_timer_init(&poll->timer, on_timer, 0, period_ms / 1e3);
    poll->timer.data = poll;
    ev_timer_again(ct_loop_ev(loop), &poll->timer);
    return poll;
}

struct ct_executor *
ct_load_poll_executor(struct ct_load_poll *poll)
{
    return &poll->executor;
}
