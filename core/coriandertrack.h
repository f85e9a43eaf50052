#ifndef CORIANDERTRACK_H
#define CORIANDERTRACK_H

/*
 * What a front end of its own needs to embed the decisions: make a state, give
 * it events, carry out the effects. See examples/embed.c.
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
