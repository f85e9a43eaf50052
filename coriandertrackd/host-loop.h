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
 * What both kinds of daemon share: the state and its loop, a drain by signal
 * or by an operator, and the end of the process after it. The struct of each
 * daemon has struct ct_host_loop as its first member.
 */

struct ct_host_loop;

struct ct_host_loop_ops {
    /* A drain begins: what the ports do about it. */
    void (*drain)(struct ct_host_loop *host);
    /* The reducer is done; the last bytes may still be on their way out. */
    void (*drained)(struct ct_host_loop *host);
};

/* Executor of CT_EFFECT_DRAINED. */
struct ct_drain_executor {
    struct ct_executor executor;
    struct ct_host_loop *host;
};

struct ct_host_loop {
    const struct ct_host_loop_ops *ops;
    struct ct_drain_executor drain;
    struct ct_self self;
    struct ct_state *state;
    struct ct_loop *loop;
    ev_signal term;
    ev_signal interrupt;
    /* The process ends then, after the drain, whoever still reads. */
    ev_timer flush_limit;
    bool draining;
    enum ct_exit status;
};

/* Names the host and this process, with a seed of its own. */
void ct_host_self(struct ct_self *self, const struct ct_name *host,
                  const struct ct_name *zone);

/*
 * Makes the state of host->self and a loop that gives events to it; with a
 * recorder around it where record names a file. To be ended also on failure.
 * Errors: CT_ERR_NO_MEMORY, CT_ERR_IO.
 */
int ct_host_loop_start(struct ct_host_loop *host,
                       const struct ct_host_loop_ops *ops, const char *record,
                       ct_ms flush_limit_ms);

/* Adds a client of libcurl. Errors: CT_ERR_NO_MEMORY. */
int ct_host_loop_add_http(struct ct_host_loop *host, struct ct_http **out);

/*
 * Adds the operators' port; gauges gets host, as a struct of the daemon.
 * Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO.
 */
int ct_host_loop_add_operators(struct ct_host_loop *host,
                               const struct ct_address *address,
                               void (*gauges)(void *arg, GString *out),
                               struct ct_operators **out);

/* Runs until the drain is over or a second signal cuts it. */
void ct_host_loop_run(struct ct_host_loop *host);

/* Begins a drain; a struct ct_host_loop. */
void ct_host_loop_drain(void *host);

/* Stops the loop; a struct ct_host_loop. */
void ct_host_loop_stop(void *host);

/* Frees the loop with its executors, and the state. */
enum ct_exit ct_host_loop_end(struct ct_host_loop *host);

#endif
