#ifndef CT_LOOP_H
#define CT_LOOP_H

#include "clock.h"
#include "executor.h"
#include "reducer.h"

struct ev_loop;
struct ct_loop;

/*
 * The single thread of a host: a libev loop that applies events to the reducer
 * and passes the resulting effects to the executors, in order.
 */

/* The clocks of the operating system. */
const struct ct_clock *ct_system_clock(void);

/*
 * Takes ownership of the reducer; the clock is borrowed. Returns NULL if out
 * of memory.
 */
struct ct_loop *ct_loop_new(struct ct_reducer *reducer,
                            const struct ct_clock *clock);
/* Frees the executors, last added first, and then the reducer. */
void ct_loop_free(struct ct_loop *loop);

/*
 * Takes ownership of the executor. An effect is offered to the executors in
 * the order in which they were added.
 */
void ct_loop_add(struct ct_loop *loop, struct ct_executor *executor);

/*
 * Stamps the event with the current time and applies it. While effects are
 * being performed or the loop is held, queues a copy of the event and its rows
 * instead and applies it afterwards.
 */
void ct_loop_post(struct ct_loop *loop, const struct ct_event *event);

/*
 * Defers events, and thereby their effects, while a library runs callbacks
 * from which it must not be called again. Calls nest; the last release applies
 * the queued events.
 */
void ct_loop_hold(struct ct_loop *loop);
void ct_loop_release(struct ct_loop *loop);

struct ev_loop *ct_loop_ev(const struct ct_loop *loop);
const struct ct_clock *ct_loop_clock(const struct ct_loop *loop);

/* Runs until ct_loop_stop(). */
void ct_loop_run(struct ct_loop *loop);
void ct_loop_stop(struct ct_loop *loop);

#endif
