#include "relay-daemon.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "call-dialect.h"
#include "duties.h"
#include "error.h"
#include "discovery-port.h"
#include "host-loop.h"
#include "logger.h"
#include "memory-budget.h"
#include "operators.h"
#include "peer.h"
#include "relay-io.h"
#include "state-body.h"
#include "store.h"

/* Limits on callers until the configuration in force sets others. */
#define BODY_BYTES_MAX (4 * 1024 * 1024)
#define IDLE_TIMEOUT_MS 15000
/* Time after the drain to write the last bytes and refuse the last calls. */
#define FLUSH_LIMIT_MS 300
/* The same while callers still read; the platform's kill follows after it. */
#define FLUSH_MAX_MS 600

struct relay_daemon {
    struct ct_host_loop host;
    const char *path;
    struct ct_relay_settings settings;
    /* Address of the port for callers, with the bound port number. */
    struct ct_address address;
    struct ct_peers *peers;
    struct ct_store *store;
    struct ct_relay_io *relay;
    struct ct_discovery_port *discovery;
    struct ct_operators *operators;
    ev_signal hangup;
};

static void
warn_diags(const struct ct_diags *diags)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < ct_diags_count(diags); i++) {
        g_string_truncate(text, 0);
        ct_diag_format(ct_diags_get(diags, i), text);
        g_warning("settings not reloaded: %s", text->str);
    }
    g_string_free(text, TRUE);
}

/* The limit on open files is raised to the hard limit at the start. */
static uint64_t
max_files(void)
{
    struct rlimit files;

    return getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_max : 0;
}

/* Reloads the bounds from the settings; ports and addresses do not change. */
static void
on_hangup(struct ev_loop *ev, ev_signal *signal, int events)
{
    struct relay_daemon *daemon = signal->data;
    struct ct_event event = {.type = CT_EVENT_RELAY_BOUNDS_CHANGED};
    struct ct_relay_settings settings;
    struct ct_diags diags;

    (void)ev;
    (void)events;
    ct_diags_init(&diags);
    if (ct_relay_settings_load(daemon->path, &settings, &diags) == CT_OK) {
        ct_relay_settings_limit(&settings, max_files());
        ct_relay_io_limit_peers(daemon->relay,
                                settings.bounds.peer_connections);
        daemon->settings.bounds = settings.bounds;
        event.u.relay_bounds = settings.bounds;
        ct_loop_post(daemon->host.loop, &event);
    }
    else {
        warn_diags(&diags);
    }
    ct_diags_free(&diags);
}

static void
drain_relay(struct ct_host_loop *host)
{
    ct_relay_io_drain(((struct relay_daemon *)host)->relay);
}

/*
 * Stops accepting connections; called when all responses have ended. Calls on
 * open connections still get a response until the flush limit.
 */
static void
finish_relay(struct ct_host_loop *host)
{
    ct_relay_io_finish(((struct relay_daemon *)host)->relay);
}

static bool
is_relay_writing(const struct ct_host_loop *host)
{
    return ct_relay_io_call_count(((const struct relay_daemon *)host)->relay) >
           0;
}

static void
add_gauges(void *arg, GString *out)
{
    const struct relay_daemon *daemon = arg;
    struct ct_state_summary summary;
    uint64_t received;
    uint64_t calls;
    uint64_t bytes;
    uint64_t sent;

    ct_store_traffic(daemon->store, &calls, &bytes);
    ct_gauge_text("store_calls_total", calls, out);
    ct_gauge_text("store_answer_bytes_total", bytes, out);
    ct_peers_traffic(daemon->peers, &sent, &received);
    ct_gauge_text("peer_bytes_sent", sent, out);
    ct_gauge_text("peer_bytes_received", received, out);
    ct_gauge_text("relay_calls", ct_relay_io_call_count(daemon->relay), out);
    ct_gauge_text("relay_attempts", ct_relay_io_attempt_count(daemon->relay),
                  out);
    ct_state_summarise(daemon->host.state,
                       ct_clock_steady_ms(ct_loop_clock(daemon->host.loop)),
                       &summary);
    ct_gauge_text("zones_evacuated", summary.zones_evacuated, out);
    ct_gauge_text("log_lines_dropped_total", ct_logger_dropped_lines(), out);
}

/* Returns an address of the settings with the bound port number. */
static struct ct_address
with_port(const struct ct_address *address, uint16_t port)
{
    const char *text = address->text;
    struct ct_address bound;

    memset(&bound, 0, sizeof(bound));
    g_snprintf(bound.text, sizeof(bound.text), "%.*s:%u",
               (int)(strrchr(text, ':') - text), text, port);
    return bound;
}

/*
 * Keeps accepted links: each follower connects to its source, whichever of the
 * two host names is larger.
 */
static int
add_peers(struct relay_daemon *daemon)
{
    const struct ct_relay_settings *settings = &daemon->settings;
    const struct ct_peers_options options = {
        .identity =
            {
                .host = settings->host,
                .zone = settings->zone,
                .secret = settings->peer_secret.text,
                .silence_timeout_ms = CT_PEER_SILENCE_TIMEOUT_MS,
            },
        .listen = settings->peer_address.text,
        .keep_accepted_links = true,
    };
    int err = ct_peers_new(daemon->host.loop, &options, &daemon->peers);

    if (err == CT_OK) {
        ct_loop_add(daemon->host.loop, ct_peers_executor(daemon->peers));
    }
    return err;
}

/*
 * Adds the clients of the platform. Their HTTP client is separate from that of
 * relayed calls.
 */
static int
add_platform(struct relay_daemon *daemon)
{
    const struct ct_relay_settings *settings = &daemon->settings;
    struct ct_store_options store = {
        .address = settings->store.text,
        .self =
            {
                .host = settings->host,
                .address = daemon->address,
                .zone = settings->zone,
            },
    };
    const struct ct_duties_options duties = {
        .address = settings->duties.text,
        .host = settings->host,
    };
    struct ct_http *http;
    int err = ct_host_loop_add_http(&daemon->host, &http);

    if (err < 0) {
        return err;
    }
    store.self.peer_address =
        with_port(&settings->peer_address, ct_peers_port(daemon->peers));
    daemon->store = ct_store_new(daemon->host.loop, http, &store);
    ct_loop_add(daemon->host.loop, ct_store_executor(daemon->store));
    if (settings->duties.text[0] != '\0') {
        ct_loop_add(daemon->host.loop, ct_duties_executor(ct_duties_new(
                                           daemon->host.loop, http, &duties)));
    }
    return CT_OK;
}

static int
add_relay(struct relay_daemon *daemon)
{
    const struct ct_relay_options options = {
        .dialect = ct_platform_dialect(),
        .address = daemon->settings.caller_address.text,
        .peer_connections = daemon->settings.bounds.peer_connections,
        .memory_bytes = ct_memory_budget_limit(&daemon->settings.bounds),
        .limits =
            {
                .max_connections = daemon->settings.max_connections,
                .head_bytes = CT_HEAD_BYTES_MAX,
                .body_bytes = BODY_BYTES_MAX,
                .idle_timeout_ms = IDLE_TIMEOUT_MS,
            },
    };
    struct ct_http *http;
    int err = ct_host_loop_add_http(&daemon->host, &http);

    if (err < 0) {
        return err;
    }
    err = ct_relay_io_new(daemon->host.loop, http, &options, &daemon->relay);
    if (err < 0) {
        return err;
    }
    ct_loop_add(daemon->host.loop, ct_relay_io_executor(daemon->relay));
    daemon->address = with_port(&daemon->settings.caller_address,
                                ct_relay_io_port(daemon->relay));
    return CT_OK;
}

static int
add_other_ports(struct relay_daemon *daemon)
{
    const struct ct_relay_settings *settings = &daemon->settings;
    const struct ct_discovery_port_options options = {
        .dialect = ct_platform_dialect(),
        .discovery_address = settings->discovery_address.text,
        .readiness_address = settings->readiness_address.text,
        .state = daemon->host.state,
    };
    int err =
        ct_discovery_port_new(daemon->host.loop, &options, &daemon->discovery);

    if (err < 0) {
        return err;
    }
    ct_loop_add(daemon->host.loop,
                ct_discovery_port_executor(daemon->discovery));
    return ct_host_loop_add_operators(&daemon->host,
                                      &settings->operator_address, add_gauges,
                                      &daemon->operators);
}

static void
watch_hangup(struct relay_daemon *daemon)
{
    ev_signal_init(&daemon->hangup, on_hangup, SIGHUP);
    daemon->hangup.data = daemon;
    ev_signal_start(ct_loop_ev(daemon->host.loop), &daemon->hangup);
}

static int
start_daemon(struct relay_daemon *daemon, const char *record)
{
    static const struct ct_host_loop_ops ops = {
        .drain = drain_relay,
        .drained = finish_relay,
        .is_writing = is_relay_writing,
    };
    int err;

    ct_relay_settings_limit(&daemon->settings, max_files());
    ct_host_init_self(&daemon->host.self, &daemon->settings.host,
                      &daemon->settings.zone);
    daemon->host.self.bounds = daemon->settings.bounds;
    daemon->host.self.first_start = daemon->settings.first_start;
    daemon->host.self.share_load = daemon->settings.share_load;
    daemon->host.self.share_config = daemon->settings.share_config;
    daemon->host.self.skip_unreachable_zones =
        daemon->settings.skip_unreachable_zones;
    err = ct_host_loop_start(&daemon->host, &ops, record, FLUSH_LIMIT_MS,
                             FLUSH_MAX_MS);
    if (err < 0) {
        return err;
    }
    err = add_relay(daemon);
    if (err == CT_OK) {
        err = add_peers(daemon);
    }
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
    };
    struct ct_event started = {.type = CT_EVENT_RELAY_HOST_STARTED};
    enum ct_exit status;
    int err;

    curl_global_init(CURL_GLOBAL_DEFAULT);
    err = start_daemon(&daemon, record);
    if (err < 0) {
        fprintf(stderr, "coriandertrackd: cannot start: %s\n",
                ct_err_name(err));
        daemon.host.status = CT_EXIT_FAILED;
        goto out;
    }
    watch_hangup(&daemon);
    printf("listening callers=%u guide=%u ready=%u operators=%u\n",
           ct_relay_io_port(daemon.relay),
           ct_discovery_port_number(daemon.discovery),
           ct_discovery_port_readiness_number(daemon.discovery),
           ct_operators_port(daemon.operators));
    fflush(stdout);
    ct_logger_install(STDOUT_FILENO);
    started.u.relay_address = daemon.address;
    ct_loop_post(daemon.host.loop, &started);
    ct_host_loop_run(&daemon.host);
out:
    status = ct_host_loop_end(&daemon.host);
    curl_global_cleanup();
    return status;
}
