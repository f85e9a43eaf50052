#ifndef CT_LOGGER_H
#define CT_LOGGER_H

#include "executor.h"

/*
 * The executor of log events: each is written as a structured GLib message
 * with the fields EVENT (its number), NAME, MESSAGE and the event's details.
 */
struct ct_executor *ct_logger_new(void);

/*
 * Writes each log message of the process as one line of JSON to the
 * descriptor, which is set to non-blocking: a line that cannot be written at
 * once is dropped and counted.
 */
void ct_logger_install(int fd);
/* Number of lines dropped since the start. */
uint64_t ct_logger_dropped_lines(void);

#endif
