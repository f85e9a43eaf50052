#include "relay-daemon.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "call-dialect.h"
#include "duties.h"
#include "error.h"
#include "host-loop.h"
#include "guide.h"
#include "logger.h"
#include "operators.h"
#include "relay-io.h"
#include "state-body.h"
#include "store.h"

/* Bounds on callers until the configuration in force sets others. */
#define HEAD_BYTES (16 * 1024)
#define BODY_BYTES (4 * 1024 * 1024)
#define IDLE_TIMEOUT_MS 15000
/* Time for the last bytes to get out. */
#define FLUSH_S 0.1

struct relay_daemon {
    struct ct_executor executor;
    const char *path;
    struct ct_relay_settings settings;
    struct ct_self self;
    /* Where callers reach this host, with the port that was bound. */
    struct ct_address address;
    struct ct_state *state;
    struct ct_loop *loop;
    struct ct_store *store;
    struct ct_relay_io *relay;
    struct ct_guide *guide;
    struct ct_operators *operators;
    ev_signal term;
    ev_signal interrupt;
    ev_signal hangup;
    ev_timer flush;
    bool draining;
    enum ct_exit status;
};

static void
begin_drain(void *arg)
{
    struct relay_daemon *daemon = arg;
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    daemon->draining = true;
    ct_relay_io_drain(daemon->relay);
    ct_loop_post(daemon->loop, &event);
}

static void
on_stop_signal(struct ev_loop *ev, ev_signal *signal, int events)
{
    struct relay_daemon *daemon = signal->data;

    (void)ev;
    (void)events;
    if (!daemon->draining) {
        begin_drain(daemon);
        return;
    }
    daemon->status = CT_EXIT_CUT;
    ct_loop_stop(daemon->loop);
}

/* Takes over the bounds of the settings; ports and addresses stay. */
static void
on_hangup(struct ev_loop *ev, ev_signal *signal, int events)
{
    struct relay_daemon *daemon = signal->data;
    struct ct_event event = {.type = CT_EVENT_RELAY_BOUNDS};
    struct ct_relay_settings settings;
    struct ct_diags diags;

    (void)ev;
    (void)events;
    ct_diags_init(&diags);
    if (ct_relay_settings_load(daemon->path, &settings, &diags) == CT_OK) {
        daemon->settings.bounds = settings.bounds;
        event.u.relay_bounds = settings.bounds;
        ct_loop_post(daemon->loop, &event);
    }
    else {
        g_warning("settings not taken over: %u findings",
                  ct_diags_count(&diags));
    }
    ct_diags_free(&diags);
}

static void
on_flushed(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct relay_daemon *daemon = timer->data;

    (void)ev;
    (void)events;
    ct_loop_stop(daemon->loop);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct relay_daemon *daemon = (struct relay_daemon *)executor;

    if (effect->type != CT_EFFECT_DRAINED) {
        return false;
    }
    ev_timer_start(ct_loop_ev(daemon->loop), &daemon->flush);
    return true;
}

/* The daemon outlives its loop and stands on the stack. */
static void
keep(struct ct_executor *executor)
{
    (void)executor;
}

static void
add_gauges(void *arg, GString *out)
{
    const struct relay_daemon *daemon = arg;
    uint64_t calls;
    uint64_t bytes;

    ct_store_traffic(daemon->store, &calls, &bytes);
    ct_gauge_text("store_calls_total", calls, out);
    ct_gauge_text("store_answer_bytes_total", bytes, out);
    ct_gauge_text("relay_calls", ct_relay_io_calls(daemon->relay), out);
    ct_gauge_text("relay_attempts", ct_relay_io_attempts(daemon->relay), out);
    ct_gauge_text("log_lines_dropped_total", ct_logger_dropped(), out);
}

/* The client of relayed calls and that of the platform stay apart. */
static int
add_platform(struct relay_daemon *daemon)
{
    const struct ct_relay_settings *settings = &daemon->settings;
    const struct ct_store_options store = {
        .address = settings->store.text,
        .host = settings->host,
        .caller_address = daemon->address,
    };
    const struct ct_duties_options duties = {
        .address = settings->duties.text,
        .host = settings->host,
    };
    struct ct_http *http = ct_http_new(daemon->loop);

    if (http == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    ct_loop_add(daemon->loop, ct_http_executor(http));
    daemon->store = ct_store_new(daemon->loop, http, &store);
    ct_loop_add(daemon->loop, ct_store_executor(daemon->store));
    if (settings->duties.text[0] != '\0') {
        ct_loop_add(daemon->loop, ct_duties_executor(ct_duties_new(
                                      daemon->loop, http, &duties)));
    }
    return CT_OK;
}

static void
set_address(struct relay_daemon *daemon)
{
    const char *text = daemon->settings.caller_address.text;

    g_snprintf(daemon->address.text, sizeof(daemon->address.text), "%.*s:%u",
               (int)(strrchr(text, ':') - text), text,
               ct_relay_io_port(daemon->relay));
}

static int
add_relay(struct relay_daemon *daemon)
{
    const struct ct_relay_options options = {
        .dialect = ct_platform_dialect(),
        .address = daemon->settings.caller_address.text,
        .limits =
            {
                .max_connections = daemon->settings.max_connections,
                .head_bytes = HEAD_BYTES,
                .body_bytes = BODY_BYTES,
                .idle_timeout_ms = IDLE_TIMEOUT_MS,
            },
    };
    struct ct_http *http = ct_http_new(daemon->loop);
    int err;

    if (http == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    ct_loop_add(daemon->loop, ct_http_executor(http));
    err = ct_relay_io_new(daemon->loop, http, &options, &daemon->relay);
    if (err < 0) {
        return err;
    }
    ct_loop_add(daemon->loop, ct_relay_io_executor(daemon->relay));
    set_address(daemon);
    return CT_OK;
}

static int
add_other_ports(struct relay_daemon *daemon)
{
    const struct ct_relay_settings *settings = &daemon->settings;
    const struct ct_guide_options guide = {
        .dialect = ct_platform_dialect(),
        .guide_address = settings->guide_address.text,
        .ready_address = settings->ready_address.text,
        .state = daemon->state,
    };
    const struct ct_operators_options operators = {
        .address = settings->operator_address.text,
        .host = settings->host,
        .state = daemon->state,
        .drain = begin_drain,
        .gauges = add_gauges,
        .arg = daemon,
    };
    int err = ct_guide_new(daemon->loop, &guide, &daemon->guide);

    if (err < 0) {
        return err;
    }
    ct_loop_add(daemon->loop, ct_guide_executor(daemon->guide));
    err = ct_operators_new(daemon->loop, &operators, &daemon->operators);
    if (err == CT_OK) {
        ct_loop_add(daemon->loop, ct_operators_executor(daemon->operators));
    }
    return err;
}

static void
watch_signals(struct relay_daemon *daemon)
{
    struct ev_loop *ev = ct_loop_ev(daemon->loop);

    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&daemon->term, on_stop_signal, SIGTERM);
    ev_signal_init(&daemon->interrupt, on_stop_signal, SIGINT);
    ev_signal_init(&daemon->hangup, on_hangup, SIGHUP);
    ev_timer_init(&daemon->flush, on_flushed, FLUSH_S, 0);
    daemon->term.data = daemon->interrupt.data = daemon;
    daemon->hangup.data = daemon->flush.data = daemon;
    ev_signal_start(ev, &daemon->term);
    ev_signal_start(ev, &daemon->interrupt);
    ev_signal_start(ev, &daemon->hangup);
}

static int
start(struct relay_daemon *daemon, const char *record)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = keep,
    };
    int err;

    ct_host_self(&daemon->self, &daemon->settings.host,
                 &daemon->settings.zone);
    daemon->self.bounds = daemon->settings.bounds;
    err = ct_host_loop(&daemon->self, record, &daemon->state, &daemon->loop);

    if (err < 0) {
        return err;
    }
    daemon->executor.ops = &ops;
    ct_loop_add(daemon->loop, &daemon->executor);
    ct_loop_add(daemon->loop, ct_logger_new());
    err = add_relay(daemon);
    if (err == CT_OK) {
        err = add_platform(daemon);
    }
    if (err == CT_OK) {
        err = add_other_ports(daemon);
    }
    return err;
}

enum ct_exit
ct_relay_daemon_run(const char *path, const struct ct_relay_settings *settings,
                    const char *record)
{
    struct relay_daemon daemon = {
        .path = path,
        .settings = *settings,
        .status = CT_EXIT_OK,
    };
    struct ct_event begin = {.type = CT_EVENT_RELAY_BEGIN};
    int err;

    ct_host_raise_file_limit();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    err = start(&daemon, record);
    if (err < 0) {
        fprintf(stderr, "coriandertrackd: cannot start: %s\n",
                ct_err_name(err));
        daemon.status = CT_EXIT_FAILED;
        goto out;
    }
    watch_signals(&daemon);
    printf("listening callers=%u guide=%u ready=%u operators=%u\n",
           ct_relay_io_port(daemon.relay), ct_guide_port(daemon.guide),
           ct_guide_ready_port(daemon.guide),
           ct_operators_port(daemon.operators));
    fflush(stdout);
    ct_logger_install(STDOUT_FILENO);
    begin.u.relay_address = daemon.address;
    ct_loop_post(daemon.loop, &begin);
    ct_loop_run(daemon.loop);
out:
    ct_loop_free(daemon.loop);
    if (daemon.state != NULL) {
        ct_state_free(daemon.state);
    }
    curl_global_cleanup();
    return daemon.status;
}
