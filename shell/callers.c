#include "callers.h"

#include <sys/random.h>

#include "caller.h"
#include "error.h"
#include "uuid.h"

#define MS_PER_S 1000
/* Memory besides the request head: the response head and one write buffer. */
#define CONNECTION_EXTRA_BYTES (4 * 1024)
/* How long ct_callers_finish() waits for requests that are in transit. */
#define FINISH_GRACE_S 1.0

struct ct_caller *
ct_caller_find(const struct ct_callers *callers, uint64_t number)
{
    struct ct_handle handle = {
        .index = (uint32_t)number,
        .generation = (uint32_t)(number >> 32),
    };

    return ct_table_get(&callers->requests, handle);
}

struct ct_caller *
ct_caller_add(struct ct_callers *callers)
{
    uint8_t random[CT_UUID7_RANDOM_BYTES];
    struct ct_caller *caller;
    struct ct_handle handle;

    if (ct_table_add(&callers->requests, &handle) < 0 ||
        getrandom(random, sizeof(random), 0) != sizeof(random)) {
        return NULL;
    }
    caller = ct_table_get(&callers->requests, handle);
    caller->callers = callers;
    caller->handle = handle;
    ct_uuid7_format(ct_clock_wall_ms(ct_loop_clock(callers->loop)), random,
                    &caller->request_id);
    return caller;
}

static void
clear_caller(void *row)
{
    struct ct_caller *caller = row;

    g_free(caller->query);
    if (caller->body != NULL) {
        g_byte_array_unref(caller->body);
    }
    if (caller->response != NULL) {
        MHD_destroy_response(caller->response);
    }
    if (caller->final_event != NULL) {
        g_string_free(caller->final_event, TRUE);
    }
}

/* Whether a request awaits its response or a response is being written. */
static bool
has_unsent_response(const struct ct_callers *callers)
{
    const struct ct_caller *caller;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((caller = ct_table_next(&callers->requests, &cursor, &handle))) {
        if (caller->phase == CT_CALLER_WAITING ||
            caller->phase == CT_CALLER_RESPONDING) {
            return true;
        }
    }
    return false;
}

/* Whether a request that a caller has begun to send may still arrive. */
static bool
may_request_arrive(const struct ct_callers *callers)
{
    return ev_is_active(&callers->grace_timer) &&
           (callers->unused_connections > 0 || callers->requests.live > 0 ||
            ct_http_server_has_pending(&callers->server));
}

void
ct_callers_check_finished(struct ct_callers *callers)
{
    if (callers->finished != NULL && !has_unsent_response(callers) &&
        !may_request_arrive(callers)) {
        void (*finished)(void *arg) = callers->finished;

        callers->finished = NULL;
        finished(callers->finished_arg);
    }
}

static void
on_grace_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    ct_callers_check_finished(timer->data);
}

void
ct_caller_remove(struct ct_caller *caller)
{
    struct ct_callers *callers = caller->callers;
    struct ct_event event = {.type = CT_EVENT_CALLER_DISCONNECTED};

    event.u.caller = ct_caller_number(caller);
    if (caller->open) {
        ct_loop_post(callers->loop, &event);
    }
    ct_response_store_drop_body(callers->responses, event.u.caller);
    ct_response_store_close_reader(callers->responses, caller->reader);
    ct_table_unref(&callers->requests, caller->handle);
    ct_callers_check_finished(callers);
}

/* Resumes all connections, as libmicrohttpd requires before it is stopped. */
static void
free_callers(struct ct_executor *executor)
{
    struct ct_callers *callers = (struct ct_callers *)executor;
    struct ct_caller *caller;
    struct ct_handle handle;
    uint32_t cursor = 0;

    callers->finished = NULL;
    ev_timer_stop(ct_loop_ev(callers->loop), &callers->grace_timer);
    while ((caller = ct_table_next(&callers->requests, &cursor, &handle))) {
        caller->disconnected = true;
        ct_caller_resume(caller);
    }
    ct_http_server_stop(&callers->server);
    ct_table_free(&callers->requests);
    g_free(callers);
}

static int
start_server(struct ct_callers *callers, const char *address)
{
    const struct ct_caller_limits *limits = &callers->limits;
    /*
     * Longer than idle_timeout_ms, at which this port sends a refusal itself;
     * also ends stalled writes.
     */
    const intptr_t timeout_s =
        (intptr_t)(2 * limits->idle_timeout_ms / MS_PER_S + 1);
    const struct MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, limits->max_connections, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, timeout_s, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         (intptr_t)limits->head_bytes + CONNECTION_EXTRA_BYTES, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ct_caller_uri, callers},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)ct_caller_completed, callers},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)ct_caller_connection_notify,
         callers},
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    return ct_http_server_start(&callers->server, callers->loop, address,
                                ct_caller_handle, callers, options);
}

int
ct_callers_new(struct ct_loop *loop, struct ct_response_store *responses,
               const char *address, const struct ct_caller_limits *limits,
               struct ct_callers **out)
{
    static const struct ct_executor_ops ops = {
        .run = ct_caller_run,
        .free = free_callers,
    };
    struct ct_callers *callers = g_new0(struct ct_callers, 1);
    int err;

    callers->executor.ops = &ops;
    callers->loop = loop;
    callers->responses = responses;
    callers->limits = *limits;
    ct_table_init(&callers->requests, sizeof(struct ct_caller), 0,
                  clear_caller);
    ev_timer_init(&callers->grace_timer, on_grace_timer, FINISH_GRACE_S, 0);
    callers->grace_timer.data = callers;
    err = start_server(callers, address);
    if (err < 0) {
        ct_table_free(&callers->requests);
        g_free(callers);
        return err;
    }
    *out = callers;
    return CT_OK;
}

struct ct_executor *
ct_callers_executor(struct ct_callers *callers)
{
    return &callers->executor;
}

uint16_t
ct_callers_port(const struct ct_callers *callers)
{
    return callers->server.port;
}

void
ct_callers_drain(struct ct_callers *callers)
{
    callers->draining = true;
}

/* Refuses the requests whose bodies are incomplete; none of them has run. */
static void
refuse_incomplete_requests(struct ct_callers *callers)
{
    struct ct_caller *caller;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((caller = ct_table_next(&callers->requests, &cursor, &handle))) {
        if (caller->phase == CT_CALLER_BODY) {
            caller->phase = CT_CALLER_RAW;
            ct_caller_reject(caller, CT_REFUSAL_DRAINING);
        }
    }
}

void
ct_callers_finish(struct ct_callers *callers, void (*done)(void *arg),
                  void *arg)
{
    ct_http_server_stop_accepting(&callers->server);
    ev_timer_start(ct_loop_ev(callers->loop), &callers->grace_timer);
    refuse_incomplete_requests(callers);
    callers->finished = done;
    callers->finished_arg = arg;
    ct_callers_check_finished(callers);
}

uint32_t
ct_callers_request_count(const struct ct_callers *callers)
{
    return callers->requests.live;
}

uint32_t
ct_callers_connection_count(const struct ct_callers *callers)
{
    return callers->connections;
}
