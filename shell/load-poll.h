#ifndef CT_LOAD_POLL_H
#define CT_LOAD_POLL_H

#include "http.h"
#include "loop.h"

/* Periodically requests the load of configured engines; posts the reports. */

struct ct_load_poll;

/* Borrows its arguments; only reads the state. */
struct ct_load_poll *ct_load_poll_new(struct ct_loop *loop,
                                      struct ct_http *http,
                                      const struct ct_state *state,
                                      ct_ms period_ms);
/* Performs no effects; freed by the loop. */
struct ct_executor *ct_load_poll_executor(struct ct_load_poll *poll);

#endif
