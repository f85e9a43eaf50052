#ifndef CT_DAEMON_H
#define CT_DAEMON_H

#include "settings.h"

/* Exit codes; listed in the help text. */
enum ct_exit {
    CT_EXIT_OK = 0,
    /* A port cannot be opened, or no memory. */
    CT_EXIT_FAILED = 1,
    /* Bad arguments or settings. */
    CT_EXIT_USAGE = 2,
    /* Stopped by a second signal, before the drain was over. */
    CT_EXIT_CUT = 3,
};

/* Runs a host until it was drained. record may be NULL. */
enum ct_exit ct_daemon_run(const struct ct_settings *settings,
                           const char *record);

/* Prints the manual. */
void ct_daemon_help(void);

#endif
