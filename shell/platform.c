#include "platform.h"

#include <ev.h>
#include <glib.h>
#include <string.h>

#include "error.h"
#include "platform-body.h"

/* Maximum entries of a read, and how long it waits for the first. */
#define READ_MAX_ENTRIES 256
#define READ_WAIT_MS 1000
/* A read fails if it has no response this long after the end of its wait. */
#define READ_TIMEOUT_MS 2000
#define APPEND_TIMEOUT_MS 3000
/* An upstream that is leaving must be detected within a few seconds. */
#define LISTS_PERIOD_MS 1000
#define LISTS_TIMEOUT_MS 900
/* Pause after a failed read; doubled each time, up to the limit. */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
/* Pause after an empty response that came without waiting. */
#define EMPTY_PAUSE_MS 50
#define RESPONSE_MAX_BYTES (64 * 1024 * 1024)

#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_GONE 410
#define MS_PER_S 1e3

struct ct_platform {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_http *http;
    char *address;
    /* Set of struct call in progress. */
    GHashTable *calls;
    struct call *read;
    int64_t next_offset;
    ct_ms backoff_ms;
    ev_timer read_timer;
    ev_timer lists_timer;
};

/* One of the lists that are polled from the platform. */
struct polled_list {
    const char *path;
    enum ct_event_type event;
    int (*parse)(const char *text, size_t n, GArray **rows);
};

/* One request to the platform. */
struct call {
    struct ct_transfer transfer;
    struct ct_platform *platform;
    GString *body;
    GString *response;
    ct_ms started_ms;
    ct_ms not_after_ms;
    bool expired;
    /* Identifies the subject of the result. */
    union {
        uint64_t sequence;
        uint64_t order_id;
        ct_ms window_start_ms;
        const struct polled_list *list;
    } u;
};

static ct_ms
now_ms(const struct ct_platform *platform)
{
    return ct_clock_steady_ms(ct_loop_clock(platform->loop));
}

/* Checks the time limit again just before the request is written. */
static int
on_before_send(struct ct_transfer *transfer)
{
    struct call *call = (struct call *)transfer;

    if (now_ms(call->platform) >= call->not_after_ms) {
        call->expired = true;
        return CT_ERR_TIMEOUT;
    }
    return CT_OK;
}

static int
on_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    struct call *call = (struct call *)transfer;

    g_string_append_len(call->response, data, (gssize)n);
    return CT_OK;
}

static void
free_call(gpointer data)
{
    struct call *call = data;

    ct_transfer_clear(&call->transfer);
    g_string_free(call->body, TRUE);
    g_string_free(call->response, TRUE);
    g_free(call);
}

/* Returns the HTTP status of a complete response, 0 if there was none. */
static long
get_status(const struct call *call, CURLcode result)
{
    long status = 0;

    if (result == CURLE_OK) {
        curl_easy_getinfo(call->transfer.easy, CURLINFO_RESPONSE_CODE,
                          &status);
    }
    return status;
}

/* Takes ownership of the body, which is NULL for a GET. */
static struct call *
new_call(struct ct_platform *platform, const struct ct_transfer_ops *ops,
         const char *path, GString *body, ct_ms timeout_ms)
{
    struct call *call = g_new0(struct call, 1);

    call->platform = platform;
    call->body = body ? body : g_string_new(NULL);
    call->response = g_string_new(NULL);
    call->started_ms = now_ms(platform);
    call->not_after_ms = CT_MS_NEVER;
    if (ct_transfer_init(&call->transfer, platform->http, ops,
                         platform->address, path) < 0) {
        g_error("failed to create a libcurl handle: out of memory");
    }
    ct_transfer_set_body_limit(&call->transfer, RESPONSE_MAX_BYTES);
    ct_transfer_set_timeout(&call->transfer, timeout_ms);
    if (body) {
        ct_transfer_add_header(&call->transfer, "Content-Type",
                               "application/json");
        ct_transfer_set_body(&call->transfer, call->body->str,
                             call->body->len);
    }
    g_hash_table_add(platform->calls, call);
    return call;
}

static void
start_call(struct call *call)
{
    if (ct_http_start(call->platform->http, &call->transfer) < 0) {
        call->transfer.ops->done(&call->transfer, CURLE_FAILED_INIT);
    }
}

static void
end_call(struct call *call)
{
    g_hash_table_remove(call->platform->calls, call);
}

/* Starts a call that must not be resent, nor sent after not_after_ms. */
static void
start_call_once(struct call *call, ct_ms not_after_ms)
{
    call->not_after_ms = not_after_ms;
    start_call(call);
}

static void
start_timer(struct ct_platform *platform, ev_timer *timer, ct_ms delay_ms)
{
    struct ev_loop *ev = ct_loop_ev(platform->loop);

    ev_timer_stop(ev, timer);
    ev_now_update(ev);
    ev_timer_set(timer, (double)delay_ms / MS_PER_S, 0);
    ev_timer_start(ev, timer);
}

/* Doubles the pause up to its limit; jitter spreads the reads of hosts. */
static void
retry_read(struct ct_platform *platform)
{
    gint32 pause_ms = (gint32)platform->backoff_ms;

    start_timer(platform, &platform->read_timer,
                g_random_int_range(pause_ms / 2, pause_ms + 1));
    platform->backoff_ms = MIN(2 * platform->backoff_ms, BACKOFF_MAX_MS);
}

static void
post_page(struct ct_platform *platform, const struct ct_log_page *page,
          ct_ms age_ms)
{
    struct ct_event event = {.type = CT_EVENT_LOG_HEAD};

    event.u.head.head = page->head;
    event.u.head.first = page->first;
    event.u.head.age_ms = age_ms;
    ct_loop_post(platform->loop, &event);
    for (guint i = 0; i < page->entries->len; i++) {
        const struct ct_log_page_entry *entry =
            &g_array_index(page->entries, struct ct_log_page_entry, i);

        event = (struct ct_event){.type = CT_EVENT_LOG_ENTRY};
        event.u.entry.offset = entry->offset;
        event.u.entry.record = entry->decoded.record;
        platform->next_offset = entry->offset + 1;
        ct_loop_post(platform->loop, &event);
    }
}

static void read_log(struct ct_platform *platform);

static void
on_page(struct ct_platform *platform, const struct ct_log_page *page,
        bool truncated, ct_ms elapsed_ms)
{
    post_page(platform, page, elapsed_ms);
    if (truncated) {
        /* The reducer sets the next offset; read again in case it does not. */
        retry_read(platform);
        return;
    }
    platform->backoff_ms = BACKOFF_MIN_MS;
    if (page->entries->len == 0 && elapsed_ms < EMPTY_PAUSE_MS) {
        start_timer(platform, &platform->read_timer, EMPTY_PAUSE_MS);
        return;
    }
    read_log(platform);
}

static void
on_read_done(struct ct_transfer *transfer, CURLcode result)
{
    struct call *call = (struct call *)transfer;
    struct ct_platform *platform = call->platform;
    struct ct_event failed = {.type = CT_EVENT_LOG_FAILED};
    long status = get_status(call, result);
    ct_ms elapsed_ms = now_ms(platform) - call->started_ms;
    struct ct_log_page page;
    int err = CT_ERR_IO;

    platform->read = NULL;
    if (status == STATUS_OK || status == STATUS_GONE) {
        err =
            ct_log_page_parse(call->response->str, call->response->len, &page);
        if (err == CT_OK) {
            on_page(platform, &page, status == STATUS_GONE, elapsed_ms);
        }
        ct_log_page_free(&page);
    }
    end_call(call);
    if (err < 0) {
        ct_loop_post(platform->loop, &failed);
        retry_read(platform);
    }
}

static void
read_log(struct ct_platform *platform)
{
    static const struct ct_transfer_ops ops = {
        .data = on_data,
        .done = on_read_done,
    };
    char path[128];

    g_snprintf(path, sizeof(path),
               "/log/read?from=%" G_GINT64_FORMAT "&max=%d&wait_ms=%d",
               platform->next_offset, READ_MAX_ENTRIES, READ_WAIT_MS);
    platform->read =
        new_call(platform, &ops, path, NULL, READ_WAIT_MS + READ_TIMEOUT_MS);
    start_call(platform->read);
}

static void
on_read_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    read_log(timer->data);
}

/* Continues reading at offset, unless it is being read already. */
static void
seek_log(struct ct_platform *platform, int64_t offset)
{
    if (platform->next_offset == offset && platform->read) {
        return;
    }
    platform->next_offset = offset;
    ev_timer_stop(ct_loop_ev(platform->loop), &platform->read_timer);
    if (platform->read) {
        end_call(platform->read);
    }
    read_log(platform);
}

static void
post_append_done(struct ct_platform *platform, uint64_t sequence, int result,
                 int64_t offset)
{
    struct ct_event event = {.type = CT_EVENT_LOG_APPEND_DONE};

    event.u.log_append = (struct ct_append_done){sequence, result, offset};
    ct_loop_post(platform->loop, &event);
}

static void
on_append_done(struct ct_transfer *transfer, CURLcode curl_result)
{
    struct call *call = (struct call *)transfer;
    int result = CT_ERR_LOG_UNAVAILABLE;
    int64_t offset = 0;

    if (call->expired) {
        result = CT_ERR_TIMEOUT;
    }
    else if (get_status(call, curl_result) == STATUS_OK &&
             ct_append_response_parse(call->response->str, call->response->len,
                                      &offset) == CT_OK) {
        result = CT_OK;
    }
    post_append_done(call->platform, call->u.sequence, result, offset);
    end_call(call);
}

static void
append_record(struct ct_platform *platform, const struct ct_effect *effect)
{
    static const struct ct_transfer_ops ops = {
        .before_send = on_before_send,
        .data = on_data,
        .done = on_append_done,
    };
    struct ct_record record = effect->u.log_append.record;
    GString *body = g_string_new(NULL);
    struct call *call;
    int err;

    record.rows = effect->rows;
    err = ct_append_body(&record, body);
    if (err < 0) {
        post_append_done(platform, record.sequence, err, 0);
        g_string_free(body, TRUE);
        return;
    }
    call = new_call(platform, &ops, "/log/append", body, APPEND_TIMEOUT_MS);
    call->u.sequence = record.sequence;
    start_call_once(call, effect->u.log_append.not_after_ms);
}

/*
 * Returns the result of an order or report; conflict is the error for status
 * 409.
 */
static int
get_result(const struct call *call, CURLcode curl_result, int conflict)
{
    if (call->expired) {
        return CT_ERR_TIMEOUT;
    }
    switch (get_status(call, curl_result)) {
    case STATUS_OK:
        return CT_OK;
    case STATUS_CONFLICT:
        return conflict;
    default:
        return CT_ERR_IO;
    }
}

static void
on_order_done(struct ct_transfer *transfer, CURLcode curl_result)
{
    struct call *call = (struct call *)transfer;
    struct ct_event event = {.type = CT_EVENT_UPSTREAM_ORDER_DONE};

    event.u.upstream_order.order_id = call->u.order_id;
    event.u.upstream_order.result =
        get_result(call, curl_result, CT_ERR_LEASE_NOT_HELD);
    ct_loop_post(call->platform->loop, &event);
    end_call(call);
}

static void
send_order(struct ct_platform *platform, const struct ct_order_effect *effect)
{
    static const struct ct_transfer_ops ops = {
        .before_send = on_before_send,
        .data = on_data,
        .done = on_order_done,
    };
    GString *body = g_string_new(NULL);
    struct call *call;

    ct_order_body(&effect->order, body);
    call =
        new_call(platform, &ops, "/upstreams/order", body, effect->timeout_ms);
    call->u.order_id = effect->order.order_id;
    start_call_once(call, effect->not_after_ms);
}

static void
on_report_done(struct ct_transfer *transfer, CURLcode curl_result)
{
    struct call *call = (struct call *)transfer;
    struct ct_event event = {.type = CT_EVENT_USAGE_REPORT_DONE};

    event.u.usage_report.window_start_ms = call->u.window_start_ms;
    event.u.usage_report.result = get_result(call, curl_result, CT_ERR_EXISTS);
    ct_loop_post(call->platform->loop, &event);
    end_call(call);
}

static void
send_report(struct ct_platform *platform, const struct ct_effect *effect)
{
    static const struct ct_transfer_ops ops = {
        .before_send = on_before_send,
        .data = on_data,
        .done = on_report_done,
    };
    const struct ct_report_effect *report = &effect->u.report;
    GString *body = g_string_new(NULL);
    struct call *call;

    ct_usage_body(&report->window, effect->rows.data, effect->rows.n, body);
    call = new_call(platform, &ops, "/usage", body, report->timeout_ms);
    call->u.window_start_ms = report->window.window_start_ms;
    start_call_once(call, report->not_after_ms);
}

static void
on_list_done(struct ct_transfer *transfer, CURLcode result)
{
    struct call *call = (struct call *)transfer;
    struct ct_event event = {.type = call->u.list->event};
    GArray *rows;

    if (get_status(call, result) == STATUS_OK) {
        if (call->u.list->parse(call->response->str, call->response->len,
                                &rows) == CT_OK) {
            event.rows = (struct ct_rows){rows->data, rows->len,
                                          g_array_get_element_size(rows)};
            ct_loop_post(call->platform->loop, &event);
        }
        g_array_unref(rows);
    }
    end_call(call);
}

static void
on_lists_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    static const struct ct_transfer_ops ops = {
        .data = on_data,
        .done = on_list_done,
    };
    static const struct polled_list lists[] = {
        {"/hosts", CT_EVENT_HOST_LIST, ct_host_list_parse},
        {"/upstreams", CT_EVENT_UPSTREAM_LIST, ct_upstream_list_parse},
    };
    struct ct_platform *platform = timer->data;

    (void)ev;
    (void)events;
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        struct call *call =
            new_call(platform, &ops, lists[i].path, NULL, LISTS_TIMEOUT_MS);

        call->u.list = &lists[i];
        start_call(call);
    }
    start_timer(platform, timer, LISTS_PERIOD_MS);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_platform *platform = (struct ct_platform *)executor;

    switch (effect->type) {
    case CT_EFFECT_READ_LOG:
        seek_log(platform, effect->u.offset);
        return true;
    case CT_EFFECT_APPEND_LOG:
        append_record(platform, effect);
        return true;
    case CT_EFFECT_ORDER_UPSTREAM:
        send_order(platform, &effect->u.order);
        return true;
    case CT_EFFECT_REPORT_USAGE:
        send_report(platform, effect);
        return true;
    default:
        return false;
    }
}

static void
free_platform(struct ct_executor *executor)
{
    struct ct_platform *platform = (struct ct_platform *)executor;
    struct ev_loop *ev = ct_loop_ev(platform->loop);

    ev_timer_stop(ev, &platform->read_timer);
    ev_timer_stop(ev, &platform->lists_timer);
    g_hash_table_unref(platform->calls);
    g_free(platform->address);
    g_free(platform);
}

struct ct_platform *
ct_platform_new(struct ct_loop *loop, struct ct_http *http,
                const char *address)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_platform,
    };
    struct ct_platform *platform = g_try_new0(struct ct_platform, 1);

    if (!platform) {
        return NULL;
    }
    platform->executor.ops = &ops;
    platform->loop = loop;
    platform->http = http;
    platform->address = g_strdup(address);
    platform->calls = g_hash_table_new_full(NULL, NULL, free_call, NULL);
    platform->next_offset = 1;
    platform->backoff_ms = BACKOFF_MIN_MS;
    ev_timer_init(&platform->read_timer, on_read_timer, 0, 0);
    platform->read_timer.data = platform;
    ev_timer_init(&platform->lists_timer, on_lists_timer, 0, 0);
    platform->lists_timer.data = platform;
    return platform;
}

struct ct_executor *
ct_platform_executor(struct ct_platform *platform)
{
    return &platform->executor;
}

void
ct_platform_start(struct ct_platform *platform)
{
    start_timer(platform, &platform->read_timer, 0);
    start_timer(platform, &platform->lists_timer, 0);
}
