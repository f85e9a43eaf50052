#ifndef CT_LOGGER_H
#define CT_LOGGER_H

#include "executor.h"

/*
 * The executor of log events: each is a structured GLib message with the
 * fields EVENT (its number), NAME and what it is about.
 */
struct ct_executor *ct_logger_new(void);

/* Writes each message of the process as one line of JSON to standard error. */
void ct_logger_install(void);

#endif
