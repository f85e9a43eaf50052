#include "relay-call.h"

struct relay_call *
relay_call_find(const struct ct_relay_io *io, uint64_t number)
{
    struct ct_handle handle = {
        .index = (uint32_t)number,
        .generation = (uint32_t)(number >> 32),
    };

    return ct_table_get(&io->calls, handle);
}

struct relay_call *
relay_call_add(struct ct_relay_io *io)
{
    struct relay_call *call;
    struct ct_handle handle;

    if (ct_table_add(&io->calls, &handle) < 0) {
        return NULL;
    }
    call = ct_table_get(&io->calls, handle);
    call->io = io;
    call->handle = handle;
    call->info.caller = relay_call_number(call);
    call->message = g_rc_box_new0(struct relay_message);
    call->message->lines = g_ptr_array_new_with_free_func(g_free);
    call->message->body = g_byte_array_new();
    return call;
}

static void
clear_message(void *box)
{
    struct relay_message *message = box;

    g_free(message->method);
    g_free(message->target);
    g_ptr_array_unref(message->lines);
    g_byte_array_unref(message->body);
}

void
relay_message_unref(struct relay_message *message)
{
    g_rc_box_release_full(message, clear_message);
}

void
relay_call_clear(void *row)
{
    struct relay_call *call = row;

    relay_body_clear(call);
    relay_response_clear(call);
    if (call->message != NULL) {
        relay_message_unref(call->message);
    }
    if (call->response != NULL) {
        MHD_destroy_response(call->response);
    }
    if (call->pending != NULL) {
        g_byte_array_unref(call->pending);
    }
}

/* Posts the event of the call's end, once. */
static void
post_end(struct relay_call *call, enum ct_event_type type)
{
    struct ct_event event = {.type = type};

    if (!call->posted) {
        return;
    }
    call->posted = false;
    call->open = false;
    event.u.caller = relay_call_number(call);
    ct_loop_post(call->io->loop, &event);
}

void
relay_call_remove(struct relay_call *call)
{
    post_end(call, call->open ? CT_EVENT_RELAY_CALLER_DISCONNECTED
                              : CT_EVENT_RELAY_CALL_DELIVERED);
    ct_table_unref(&call->io->calls, call->handle);
}

void
relay_call_disconnect(struct relay_call *call)
{
    call->disconnected = true;
    if (call->open) {
        post_end(call, CT_EVENT_RELAY_CALLER_DISCONNECTED);
    }
    relay_call_resume(call);
}

static void
on_disconnect(void *arg)
{
    relay_call_disconnect(arg);
}

void
relay_call_suspend(struct relay_call *call)
{
    int fd = MHD_get_connection_info(call->connection,
                                     MHD_CONNECTION_INFO_CONNECTION_FD)
                 ->connect_fd;

    MHD_suspend_connection(call->connection);
    call->suspended = true;
    ct_disconnect_watch_start(&call->watch, ct_loop_ev(call->io->loop), fd,
                              on_disconnect, call);
}

void
relay_call_resume(struct relay_call *call)
{
    if (!call->suspended) {
        return;
    }
    call->suspended = false;
    ct_disconnect_watch_stop(&call->watch);
    MHD_resume_connection(call->connection);
    ct_http_server_wake(relay_connections_is_large(call->connection)
                            ? &call->io->accept.large
                            : &call->io->accept.server);
}
