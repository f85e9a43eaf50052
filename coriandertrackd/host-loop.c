#include "host-loop.h"

#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>

#include "error.h"
#include "logger.h"
#include "recorder.h"

#define MS_PER_S 1000
#define MAPPED_MIN_BYTES (128 * 1024)
/* Interval of the checks whether callers still read, after the flush limit. */
#define FLUSH_CHECK_MS 20

static uint64_t
random_u64(void)
{
    return (uint64_t)g_random_int() << 32 | g_random_int();
}

void
ct_host_init_self(struct ct_host_identity *self, const struct ct_name *host,
                  const struct ct_name *zone)
{
    self->host = *host;
    self->zone = *zone;
    self->seed = random_u64();
    g_snprintf(self->writer.text, sizeof(self->writer.text),
               "%.28s-%016" PRIx64, host->text, random_u64());
}

/* Raises the limit on open files, and so on connections, to the hard limit. */
static void
raise_file_limit(void)
{
    struct rlimit files;

    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
}

/*
 * Large buffers are mapped each by itself: they grow without a copy, and their
 * memory goes back when they are freed. By default glibc gives this up once
 * the first one was freed.
 */
static void
limit_heap(void)
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_host_loop *host = ((struct ct_drain_executor *)executor)->host;

    if (effect->type != CT_EFFECT_DRAINED) {
        return false;
    }
    host->drained_ms = ct_clock_steady_ms(ct_loop_clock(host->loop));
    ev_timer_start(ct_loop_ev(host->loop), &host->flush_limit);
    host->ops->drained(host);
    return true;
}

/*
 * Frees nothing: the executor is a member of the daemon, which is on the stack
 * and outlives the loop.
 */
static void
free_nothing(struct ct_executor *executor)
{
    (void)executor;
}

static int
start_loop(struct ct_host_loop *host, const char *record)
{
    struct ct_reducer *reducer;
    int err = CT_OK;

    host->state = ct_state_new(&host->self);
    if (host->state == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    reducer = ct_state_reducer_new(host->state);
    if (record != NULL) {
        err = ct_recorder_new(record, &host->self, reducer, &reducer);
    }
    if (err < 0) {
        reducer->ops->free(reducer);
        return err;
    }
    host->loop = ct_loop_new(reducer, ct_system_clock());
    return host->loop != NULL ? CT_OK : CT_ERR_NO_MEMORY;
}

static void
on_stop_signal(struct ev_loop *ev, ev_signal *signal, int events)
{
    struct ct_host_loop *host = signal->data;

    (void)ev;
    (void)events;
    if (!host->draining) {
        ct_host_loop_drain(host);
        return;
    }
    host->status = CT_EXIT_INTERRUPTED;
    ct_loop_stop(host->loop);
}

/* Whether to wait for callers that still read, after the flush limit. */
static bool
may_flush_longer(const struct ct_host_loop *host)
{
    ct_ms waited_ms =
        ct_clock_steady_ms(ct_loop_clock(host->loop)) - host->drained_ms;

    return host->ops->is_writing != NULL && host->ops->is_writing(host) &&
           waited_ms < host->flush_max_ms;
}

static void
on_flush_limit(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_host_loop *host = timer->data;

    (void)events;
    if (may_flush_longer(host)) {
        ev_timer_set(timer, (double)FLUSH_CHECK_MS / MS_PER_S, 0);
        ev_timer_start(ev, timer);
        return;
    }
    ct_host_loop_stop(host);
}

int
ct_host_loop_start(struct ct_host_loop *host,
                   const struct ct_host_loop_ops *ops, const char *record,
                   ct_ms flush_limit_ms, ct_ms flush_max_ms)
{
    static const struct ct_executor_ops drain_ops = {
        .run = run_effect,
        .free = free_nothing,
    };
    int err;

    raise_file_limit();
    limit_heap();
    host->ops = ops;
    err = start_loop(host, record);
    if (err < 0) {
        return err;
    }
    host->drain.executor.ops = &drain_ops;
    host->drain.host = host;
    ct_loop_add(host->loop, &host->drain.executor);
    ct_loop_add(host->loop, ct_logger_new());
    ev_timer_init(&host->flush_limit, on_flush_limit,
                  (double)flush_limit_ms / MS_PER_S, 0);
    host->flush_max_ms = flush_max_ms;
    host->flush_limit.data = host;
    return CT_OK;
}

int
ct_host_loop_add_http(struct ct_host_loop *host, struct ct_http **out)
{
    *out = ct_http_new(host->loop);
    if (*out == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    ct_loop_add(host->loop, ct_http_executor(*out));
    return CT_OK;
}

int
ct_host_loop_add_operators(struct ct_host_loop *host,
                           const struct ct_address *address,
                           void (*gauges)(void *arg, GString *out),
                           struct ct_operators **out)
{
    const struct ct_operators_options options = {
        .address = address->text,
        .host = host->self.host,
        .state = host->state,
        .drain = ct_host_loop_drain,
        .append_counters = gauges,
        .arg = host,
    };
    int err = ct_operators_new(host->loop, &options, out);

    if (err == CT_OK) {
        ct_loop_add(host->loop, ct_operators_executor(*out));
    }
    return err;
}

void
ct_host_loop_run(struct ct_host_loop *host)
{
    struct ev_loop *ev = ct_loop_ev(host->loop);

    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&host->term, on_stop_signal, SIGTERM);
    ev_signal_init(&host->interrupt, on_stop_signal, SIGINT);
    host->term.data = host->interrupt.data = host;
    ev_signal_start(ev, &host->term);
    ev_signal_start(ev, &host->interrupt);
    ct_loop_run(host->loop);
}

void
ct_host_loop_drain(void *arg)
{
    struct ct_host_loop *host = arg;
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    host->draining = true;
    host->ops->drain(host);
    ct_loop_post(host->loop, &event);
}

void
ct_host_loop_stop(void *arg)
{
    struct ct_host_loop *host = arg;

    ct_loop_stop(host->loop);
}

enum ct_exit
ct_host_loop_end(struct ct_host_loop *host)
{
    ct_loop_free(host->loop);
    if (host->state != NULL) {
        ct_state_free(host->state);
    }
    return host->status;
}
