#ifndef CT_ARGUMENTS_H
#define CT_ARGUMENTS_H

#include <stdint.h>

/* The parsed command line. */

enum ct_option {
    CT_OPTION_PLATFORM = 1 << 0,
    CT_OPTION_BASE = 1 << 1,
    CT_OPTION_LABEL = 1 << 2,
    CT_OPTION_DIGEST = 1 << 3,
    CT_OPTION_HOST = 1 << 4,
    CT_OPTION_TIMEOUT = 1 << 5,
    CT_OPTION_HELP = 1 << 6,
    CT_OPTION_AGAINST = 1 << 7,
    CT_OPTION_JSON = 1 << 8,
};

struct poptContext_s;

struct ct_arguments {
    struct poptContext_s *context;
    /* Options that were given, a set of enum ct_option. */
    unsigned given;
    char *platform_url;
    /* Address of the platform, "IP:port"; points into the URL. */
    const char *platform;
    int64_t base_offset;
    char *label;
    char *digest;
    /* Addresses of operators' ports, NULL-terminated; NULL if none given. */
    char **hosts;
    int64_t timeout_ms;
    char *against;
    /* Arguments after the command's name, NULL-terminated. */
    const char *const *words;
    int n_words;
};

/* Prints a line of help text for each option in the set. */
void ct_arguments_print_options(unsigned options);

/*
 * Parses argv. The caller frees the arguments with ct_arguments_free(), also
 * on failure. Errors: CT_ERR_INVALID, after a message on stderr.
 */
int ct_arguments_parse(int argc, const char **argv,
                       struct ct_arguments *arguments);
void ct_arguments_free(struct ct_arguments *arguments);

#endif
