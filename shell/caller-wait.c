#include "caller.h"

/*
 * Posts CT_EVENT_CALLER_DISCONNECTED if the request is open, and resumes the
 * connection, so that libmicrohttpd ends the request.
 */
static void
on_disconnect(void *arg)
{
    struct ct_caller *caller = arg;
    struct ct_event event = {.type = CT_EVENT_CALLER_DISCONNECTED};

    caller->disconnected = true;
    if (caller->open) {
        caller->open = false;
        event.u.caller = ct_caller_number(caller);
        ct_loop_post(caller->callers->loop, &event);
    }
    ct_caller_resume(caller);
}

void
ct_caller_suspend(struct ct_caller *caller)
{
    MHD_suspend_connection(caller->connection);
    caller->suspended = true;
    ct_disconnect_watch_start(&caller->watch,
                              ct_loop_ev(caller->callers->loop), caller->fd,
                              on_disconnect, caller);
}

void
ct_caller_resume(struct ct_caller *caller)
{
    if (!caller->suspended) {
        return;
    }
    caller->suspended = false;
    ct_disconnect_watch_stop(&caller->watch);
    MHD_resume_connection(caller->connection);
    ct_http_server_wake(&caller->callers->server);
}
