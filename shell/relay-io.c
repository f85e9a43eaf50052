#include "relay-io.h"

#include "error.h"
#include "index.h"
#include "relay-call.h"

static void
cancel_attempt(struct ct_relay_io *io, struct ct_handle handle)
{
    struct relay_attempt *attempt = relay_attempt_find(io, handle);

    if (attempt != NULL) {
        relay_attempt_free(attempt);
    }
}

static void
set_limits(struct ct_relay_io *io, const struct ct_caller_bounds *bounds)
{
    io->limits.head_bytes = bounds->head_bytes;
    io->limits.body_bytes = bounds->body_bytes;
    io->limits.idle_timeout_ms = bounds->idle_timeout_ms;
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_relay_io *io = (struct ct_relay_io *)executor;

    switch (effect->type) {
    case CT_EFFECT_RELAY_START_ATTEMPT:
        relay_attempt_start(io, &effect->u.relay);
        return true;
    case CT_EFFECT_RELAY_CANCEL_ATTEMPT:
        cancel_attempt(io, effect->u.relay.attempt);
        return true;
    case CT_EFFECT_RELAY_FORWARD_RESPONSE:
        relay_response_forward(io, &effect->u.forward);
        return true;
    case CT_EFFECT_RELAY_ABORT_RESPONSE:
        relay_response_abort(io, effect->u.caller);
        return true;
    case CT_EFFECT_REFUSE_REQUEST:
        relay_response_refuse(io, &effect->u.refuse);
        return true;
    case CT_EFFECT_RELAY_DISCONNECT_CALLER:
        relay_response_cut_off(io, effect->u.caller);
        return true;
    case CT_EFFECT_RELAY_READ_BODY:
        relay_body_grant(io, &effect->u.body_grant);
        return true;
    case CT_EFFECT_SET_CALLER_LIMITS:
        set_limits(io, &effect->u.bounds);
        return true;
    default:
        return false;
    }
}

/* Resumes all connections, as libmicrohttpd requires before it is stopped. */
static void
free_io(struct ct_executor *executor)
{
    struct ct_relay_io *io = (struct ct_relay_io *)executor;
    struct relay_attempt *attempt;
    struct relay_call *call;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((attempt = ct_table_next(&io->attempts, &cursor, &handle))) {
        relay_attempt_free(attempt);
    }
    cursor = 0;
    while ((call = ct_table_next(&io->calls, &cursor, &handle))) {
        call->disconnected = true;
        relay_call_resume(call);
    }
    relay_accept_stop(io);
    relay_body_stop(io);
    relay_connections_free(io);
    g_hash_table_destroy(io->by_handle);
    ct_table_free(&io->attempts);
    ct_table_free(&io->calls);
    g_free(io);
}

int
ct_relay_io_new(struct ct_loop *loop, struct ct_http *http,
                const struct ct_relay_options *options,
                struct ct_relay_io **out)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_io,
    };
    struct ct_relay_io *io = g_new0(struct ct_relay_io, 1);
    int err;

    io->executor.ops = &ops;
    io->loop = loop;
    io->http = http;
    io->dialect = options->dialect;
    io->limits = options->limits;
    ct_table_init(&io->calls, sizeof(struct relay_call), 0, relay_call_clear);
    ct_table_init(&io->attempts, sizeof(struct relay_attempt), 0, NULL);
    io->by_handle = g_hash_table_new(ct_handle_hash, ct_handle_equal);
    relay_body_init(io);
    relay_connections_init(io);
    io->peer_connections = options->peer_connections;
    io->memory_bytes = options->memory_bytes;
    err = relay_accept_start(io, options->address);
    if (err < 0) {
        relay_connections_free(io);
        g_hash_table_destroy(io->by_handle);
        ct_table_free(&io->attempts);
        ct_table_free(&io->calls);
        g_free(io);
        return err;
    }
    *out = io;
    return CT_OK;
}

struct ct_executor *
ct_relay_io_executor(struct ct_relay_io *io)
{
    return &io->executor;
}

uint16_t
ct_relay_io_port(const struct ct_relay_io *io)
{
    return io->accept.port;
}

void
ct_relay_io_limit_peers(struct ct_relay_io *io, uint32_t connections)
{
    io->peer_connections = connections;
}

void
ct_relay_io_drain(struct ct_relay_io *io)
{
    io->draining = true;
    relay_accept_drain(io);
}

void
ct_relay_io_finish(struct ct_relay_io *io)
{
    relay_accept_finish(io);
}

uint32_t
ct_relay_io_call_count(const struct ct_relay_io *io)
{
    return io->calls.live;
}

uint32_t
ct_relay_io_attempt_count(const struct ct_relay_io *io)
{
    return io->attempts.live;
}
