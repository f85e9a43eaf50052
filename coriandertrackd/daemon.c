#include "daemon.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "error.h"
#include "host-loop.h"
#include "load-poll.h"
#include "logger.h"
#include "operators.h"
#include "peer.h"
#include "platform.h"
#include "state-body.h"
#include "upstreams.h"

/* Time after the drain to write responses; later ones may be truncated. */
#define FLUSH_LIMIT_MS 10000
#define LOAD_POLL_PERIOD_MS 500

struct daemon {
    struct ct_host_loop host;
    const struct ct_settings *settings;
    struct ct_response_store *responses;
    struct ct_upstreams *upstreams;
    struct ct_platform *platform;
    struct ct_callers *callers;
    struct ct_operators *operators;
    struct ct_peers *peers;
};

static void
drain_callers(struct ct_host_loop *host)
{
    ct_callers_drain(((struct daemon *)host)->callers);
}

static void
finish_callers(struct ct_host_loop *host)
{
    ct_callers_finish(((struct daemon *)host)->callers, ct_host_loop_stop,
                      host);
}

static void
add_gauges(void *arg, GString *out)
{
    const struct daemon *daemon = arg;
    uint64_t received;
    uint64_t sent;

    ct_gauge_text("caller_connections",
                  ct_callers_connection_count(daemon->callers), out);
    ct_gauge_text("caller_requests", ct_callers_request_count(daemon->callers),
                  out);
    ct_gauge_text("upstream_attempts",
                  ct_upstreams_attempt_count(daemon->upstreams), out);
    ct_peers_traffic(daemon->peers, &sent, &received);
    ct_gauge_text("peer_bytes_sent", sent, out);
    ct_gauge_text("peer_bytes_received", received, out);
    ct_gauge_text("stored_bodies", ct_response_store_count(daemon->responses),
                  out);
}

static void
add_upstreams(struct daemon *daemon, struct ct_http *http)
{
    const GArray *credentials = daemon->settings->credentials;

    daemon->upstreams =
        ct_upstreams_new(daemon->host.loop, http, daemon->responses);
    ct_loop_add(daemon->host.loop, ct_upstreams_executor(daemon->upstreams));
    for (guint i = 0; credentials != NULL && i < credentials->len; i++) {
        const struct ct_named_secret *secret =
            &g_array_index(credentials, struct ct_named_secret, i);

        ct_upstreams_set_credential(daemon->upstreams, &secret->name,
                                    secret->secret.text);
    }
}

/* Adds the clients, each after those that it depends on. */
static int
add_clients(struct daemon *daemon)
{
    const char *platform = daemon->settings->platform.text;
    struct ct_http *http;
    int err;

    daemon->responses = ct_response_store_new();
    ct_loop_add(daemon->host.loop,
                ct_response_store_executor(daemon->responses));
    err = ct_host_loop_add_http(&daemon->host, &http);
    if (err < 0) {
        return err;
    }
    add_upstreams(daemon, http);
    ct_loop_add(daemon->host.loop,
                ct_load_poll_executor(ct_load_poll_new(daemon->host.loop, http,
                                                       daemon->host.state,
                                                       LOAD_POLL_PERIOD_MS)));
    if (g_str_has_prefix(platform, "http://")) {
        platform += strlen("http://");
    }
    daemon->platform = ct_platform_new(daemon->host.loop, http, platform);
    if (daemon->platform == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    ct_loop_add(daemon->host.loop, ct_platform_executor(daemon->platform));
    return CT_OK;
}

static int
add_peers(struct daemon *daemon)
{
    const struct ct_settings *settings = daemon->settings;
    const struct ct_peers_options options = {
        .identity =
            {
                .host = settings->host,
                .zone = settings->zone,
                .secret = settings->peer_secret.text,
                .silence_timeout_ms = CT_PEER_SILENCE_TIMEOUT_MS,
            },
        .listen = settings->peer_address.text,
        .fallback_delay_ms = CT_PEER_FALLBACK_DELAY_MS,
    };
    int err = ct_peers_new(daemon->host.loop, &options, &daemon->peers);

    if (err < 0) {
        fprintf(stderr, "coriandertrackd: peer_address %s: %s\n",
                settings->peer_address.text, ct_err_name(err));
        return err;
    }
    ct_loop_add(daemon->host.loop, ct_peers_executor(daemon->peers));
    return CT_OK;
}

static int
add_ports(struct daemon *daemon)
{
    const struct ct_settings *settings = daemon->settings;
    const struct ct_caller_limits limits = {
        .max_connections = settings->limits.max_connections,
        .head_bytes = settings->limits.head_bytes,
        .body_bytes = settings->limits.body_bytes,
        .idle_timeout_ms = settings->limits.idle_timeout_ms,
    };
    int err = ct_callers_new(daemon->host.loop, daemon->responses,
                             settings->caller_address.text, &limits,
                             &daemon->callers);

    if (err < 0) {
        fprintf(stderr, "coriandertrackd: caller_address %s: %s\n",
                settings->caller_address.text, ct_err_name(err));
        return err;
    }
    ct_loop_add(daemon->host.loop, ct_callers_executor(daemon->callers));
    err =
        ct_host_loop_add_operators(&daemon->host, &settings->operator_address,
                                   add_gauges, &daemon->operators);
    if (err < 0) {
        fprintf(stderr, "coriandertrackd: operator_address %s: %s\n",
                settings->operator_address.text, ct_err_name(err));
    }
    return err;
}

static int
start_daemon(struct daemon *daemon, const char *record)
{
    static const struct ct_host_loop_ops ops = {
        .drain = drain_callers,
        .drained = finish_callers,
    };
    int err;

    ct_host_init_self(&daemon->host.self, &daemon->settings->host,
                      &daemon->settings->zone);
    err = ct_host_loop_start(&daemon->host, &ops, record, FLUSH_LIMIT_MS,
                             FLUSH_LIMIT_MS);
    if (err < 0) {
        fprintf(stderr, "coriandertrackd: cannot start: %s\n",
                ct_err_name(err));
        return err;
    }
    err = add_clients(daemon);
    if (err == CT_OK) {
        err = add_ports(daemon);
    }
    if (err == CT_OK) {
        err = add_peers(daemon);
    }
    return err;
}

enum ct_exit
ct_daemon_run(const struct ct_settings *settings, const char *record)
{
    struct daemon daemon = {.settings = settings};
    enum ct_exit status;

    ct_logger_install(STDERR_FILENO);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (start_daemon(&daemon, record) < 0) {
        daemon.host.status = CT_EXIT_FAILED;
        goto out;
    }
    printf("listening callers=%u operators=%u peers=%u\n",
           ct_callers_port(daemon.callers),
           ct_operators_port(daemon.operators), ct_peers_port(daemon.peers));
    fflush(stdout);
    ct_platform_start(daemon.platform);
    ct_host_loop_run(&daemon.host);
out:
    status = ct_host_loop_end(&daemon.host);
    curl_global_cleanup();
    return status;
}
