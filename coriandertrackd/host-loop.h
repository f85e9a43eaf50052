#ifndef CT_HOST_LOOP_H
#define CT_HOST_LOOP_H

#include <ev.h>

#include "daemon.h"
#include "executor.h"
#include "http.h"
#include "loop.h"
#include "operators.h"
#include "reduce.h"

/*
 * Code common to both daemons: the state and its loop, draining on a signal or
 * on an operator's request, and the end of the process after a drain. The
 * struct of each daemon has struct ct_host_loop as its first member.
 */

struct ct_host_loop;

struct ct_host_loop_ops {
    /* Starts draining the ports; called when a drain begins. */
    void (*drain)(struct ct_host_loop *host);
    /*
     * Called when the reducer has drained; the last bytes may not be written
     * out yet.
     */
    void (*drained)(struct ct_host_loop *host);
    /*
     * Whether callers still read their last bytes; may be NULL. While they
     * do, the process stays for up to flush_max_ms.
     */
    bool (*is_writing)(const struct ct_host_loop *host);
};

/* Executor of CT_EFFECT_DRAINED. */
struct ct_drain_executor {
    struct ct_executor executor;
    struct ct_host_loop *host;
};

struct ct_host_loop {
    const struct ct_host_loop_ops *ops;
    struct ct_drain_executor drain;
    struct ct_host_identity self;
    struct ct_state *state;
    struct ct_loop *loop;
    ev_signal term;
    ev_signal interrupt;
    /*
     * Ends the process flush_limit_ms after the drain, or flush_max_ms after
     * it while callers still read.
     */
    ev_timer flush_limit;
    ct_ms flush_max_ms;
    ct_ms drained_ms;
    bool draining;
    enum ct_exit status;
};

/* Sets the host, its zone, a random seed and a writer name of this process. */
void ct_host_init_self(struct ct_host_identity *self,
                       const struct ct_name *host, const struct ct_name *zone);

/*
 * Creates the state of host->self and a loop that passes events to it. If
 * record is not NULL, all events are also written to that file. The caller
 * calls ct_host_loop_end(), also on failure.
 * Errors: CT_ERR_NO_MEMORY, CT_ERR_IO.
 */
int ct_host_loop_start(struct ct_host_loop *host,
                       const struct ct_host_loop_ops *ops, const char *record,
                       ct_ms flush_limit_ms, ct_ms flush_max_ms);

/* Adds an HTTP client. Errors: CT_ERR_NO_MEMORY. */
int ct_host_loop_add_http(struct ct_host_loop *host, struct ct_http **out);

/*
 * Adds the operators' port; gauges is called with host as its arg.
 * Errors: CT_ERR_INVALID for an invalid address, CT_ERR_IO.
 */
int ct_host_loop_add_operators(struct ct_host_loop *host,
                               const struct ct_address *address,
                               void (*gauges)(void *arg, GString *out),
                               struct ct_operators **out);

/* Runs until the drain ends or a second signal interrupts it. */
void ct_host_loop_run(struct ct_host_loop *host);

/* Begins a drain; host is a struct ct_host_loop. */
void ct_host_loop_drain(void *host);

/* Stops the loop; host is a struct ct_host_loop. */
void ct_host_loop_stop(void *host);

/* Frees the loop, its executors and the state; returns the exit status. */
enum ct_exit ct_host_loop_end(struct ct_host_loop *host);

#endif
