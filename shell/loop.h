#ifndef CT_LOOP_H
#define CT_LOOP_H

#include "clock.h"
#include "executor.h"
#include "reducer.h"

struct ev_loop;
struct ct_loop;

/*
 * The one thread of a host: a libev loop that gives events to the reducer and
 * the effects to the executors, in order.
 */

/* The clocks of the operating system. */
const struct ct_clock *ct_system_clock(void);

/*
 * Takes over the reducer; the clock stays the caller's. Returns NULL where
 * memory is gone.
 */
struct ct_loop *ct_loop_new(struct ct_reducer *reducer,
                            const struct ct_clock *clock);
/* Frees the executors, the last added first, and the reducer. */
void ct_loop_free(struct ct_loop *loop);

/* Takes over the executor; effects are offered to the first added first. */
void ct_loop_add(struct ct_loop *loop, struct ct_executor *executor);

/*
 * Stamps the event with the time and applies it. While effects are carried
 * out or the loop is held, a copy of the event and its rows is queued
 * instead, and applied after them.
 */
void ct_loop_post(struct ct_loop *loop, const struct ct_event *event);

/*
 * Holds back effects while a library's callbacks run in which that library
 * may not be called again. Nests; the last release applies what was queued.
 */
void ct_loop_hold(struct ct_loop *loop);
void ct_loop_release(struct ct_loop *loop);

struct ev_loop *ct_loop_ev(const struct ct_loop *loop);
const struct ct_clock *ct_loop_clock(const struct ct_loop *loop);

/* Runs until ct_loop_stop(). */
void ct_loop_run(struct ct_loop *loop);
void ct_loop_stop(struct ct_loop *loop);

#endif
