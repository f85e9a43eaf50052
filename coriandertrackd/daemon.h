#ifndef CT_DAEMON_H
#define CT_DAEMON_H

#include "settings.h"

/* Exit codes; listed in the help text. */
enum ct_exit {
    CT_EXIT_OK = 0,
    /* A port cannot be opened, a file cannot be created, or no memory. */
    CT_EXIT_FAILED = 1,
    /* Invalid arguments or settings. */
    CT_EXIT_USAGE = 2,
    /* A second signal stopped the process before the drain ended. */
    CT_EXIT_INTERRUPTED = 3,
};

/* Runs a host until it has drained. record is a file for events, or NULL. */
enum ct_exit ct_daemon_run(const struct ct_settings *settings,
                           const char *record);

/* Prints the help text. */
void ct_daemon_help(void);

#endif
