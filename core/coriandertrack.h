#ifndef CORIANDERTRACK_H
#define CORIANDERTRACK_H

/*
 * Public headers for other front ends that embed the reducer: create a state,
 * pass it events and execute the effects. See examples/embed.c.
 */

#include "clock.h"
#include "counter.h"
#include "effect.h"
#include "error.h"
#include "event.h"
#include "reduce.h"
#include "refusal.h"
#include "state-view.h"

#endif
