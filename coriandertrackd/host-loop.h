#ifndef CT_HOST_LOOP_H
#define CT_HOST_LOOP_H

#include "loop.h"
#include "reduce.h"

/* What both kinds of daemon begin with. */

/* Names the host and this process, with a seed of its own. */
void ct_host_self(struct ct_self *self, const struct ct_name *host,
                  const struct ct_name *zone);

/*
 * Makes the state and a loop that gives events to it; with a recorder around
 * it where record names a file. Both are the caller's, also on failure.
 * Errors: CT_ERR_NO_MEMORY, CT_ERR_IO.
 */
int ct_host_loop(const struct ct_self *self, const char *record,
                 struct ct_state **state, struct ct_loop **loop);

/* As many connections as the machine's own limit allows. */
void ct_host_raise_file_limit(void);

#endif
