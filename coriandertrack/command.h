#ifndef CT_COMMAND_H
#define CT_COMMAND_H

#include "arguments.h"

/* The commands and their exit codes. */

enum ct_exit {
    CT_EXIT_OK = 0,
    /* The command line is invalid. */
    CT_EXIT_USAGE = 1,
    /* The check of a file found errors or warnings. */
    CT_EXIT_FINDINGS = 1,
    /* Rejected by a check; nothing was changed. */
    CT_EXIT_REFUSED = 2,
    /* The checked file cannot be read or is no configuration. */
    CT_EXIT_UNREADABLE = 2,
    /* Another configuration was published first; nothing was changed. */
    CT_EXIT_LOST = 3,
    /* The platform or host did not respond; the log was not changed. */
    CT_EXIT_UNAVAILABLE = 4,
    /* Sent, but the response was lost; it may still take effect. */
    CT_EXIT_UNKNOWN = 5,
    /* No such key or refusal. */
    CT_EXIT_NOT_FOUND = 6,
    /* Partly done; the output says what is missing. */
    CT_EXIT_PARTIAL = 7,
};

struct ct_command_ops {
    enum ct_exit (*run)(const struct ct_arguments *arguments);
};

struct ct_command {
    const struct ct_command_ops *ops;
    /* One or two words. */
    const char *name;
    const char *synopsis;
    const char *summary;
    const char *text;
    /* Options that the command accepts, a set of enum ct_option. */
    unsigned options;
    unsigned required_options;
    int min_words;
    int max_words;
};

extern const struct ct_command ct_command_check;
extern const struct ct_command ct_command_publish;
extern const struct ct_command ct_command_key_grant;
extern const struct ct_command ct_command_key_withdraw;
extern const struct ct_command ct_command_key_list;
extern const struct ct_command ct_command_status;
extern const struct ct_command ct_command_explain;
extern const struct ct_command ct_command_drain;
extern const struct ct_command ct_command_causes;

#endif
