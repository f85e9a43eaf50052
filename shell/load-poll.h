#ifndef CT_LOAD_POLL_H
#define CT_LOAD_POLL_H

#include "http.h"
#include "loop.h"

/* Asks each engine in force for its load and posts what it says. */

struct ct_load_poll;

/* All is borrowed; the state is only read. */
struct ct_load_poll *ct_load_poll_new(struct ct_loop *loop,
                                      struct ct_http *http,
                                      const struct ct_state *state,
                                      ct_ms period_ms);
/* It carries out no effects; the loop frees it. */
struct ct_executor *ct_load_poll_executor(struct ct_load_poll *poll);

#endif
