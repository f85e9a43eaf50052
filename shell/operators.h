#ifndef CT_OPERATORS_H
#define CT_OPERATORS_H

#include <glib.h>

#include "executor.h"
#include "loop.h"
#include "reduce.h"

/* The operators' port: counters, state, health, drain, keys, refusals. */

struct ct_operators;

struct ct_operators_options {
    const char *address;
    struct ct_name host;
    /* Read to respond to requests; borrowed. */
    const struct ct_state *state;
    /* Begins a drain. */
    void (*drain)(void *arg);
    /* Appends counters of the program that embeds the core. May be NULL. */
    void (*append_counters)(void *arg, GString *out);
    void *arg;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_operators_new(struct ct_loop *loop,
                     const struct ct_operators_options *options,
                     struct ct_operators **out);
struct ct_executor *ct_operators_executor(struct ct_operators *operators);
uint16_t ct_operators_port(const struct ct_operators *operators);

#endif
