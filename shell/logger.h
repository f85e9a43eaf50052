#ifndef CT_LOGGER_H
#define CT_LOGGER_H

#include "executor.h"

/*
 * The executor of log events: each is a structured GLib message with the
 * fields EVENT (its number), NAME and what it is about.
 */
struct ct_executor *ct_logger_new(void);

/*
 * Writes each message of the process as one line of JSON. The lines go to the
 * descriptor, which is set to never block: what it does not take at once is
 * dropped and counted.
 */
void ct_logger_install(int fd);
/* Lines that were dropped since the start. */
uint64_t ct_logger_dropped(void);

#endif
