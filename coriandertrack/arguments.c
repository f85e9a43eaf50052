#include "arguments.h"

#include <glib.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

#define URL_SCHEME "http://"
#define DEFAULT_TIMEOUT_MS 10000

struct option_text {
    enum ct_option option;
    const char *text;
};

static const struct option_text option_texts[] = {
    {CT_OPTION_PLATFORM, "--platform=URL    the platform, http://IP:port"},
    {CT_OPTION_BASE, "--base=N          publish only if the configuration at "
                     "offset N is in force"},
    {CT_OPTION_LABEL, "--label=L         name of the key in lists"},
    {CT_OPTION_DIGEST, "--digest=HEX      SHA-256 of the key"},
    {CT_OPTION_HOST, "--host=IP:port    address of a host's operators' port; "
                     "may be repeated"},
    {CT_OPTION_TIMEOUT, "--timeout=MS      time to wait for the log or a host "
                        "(10000)"},
    {CT_OPTION_AGAINST, "--against=FILE    compare with the version in force"},
    {CT_OPTION_JSON, "--json            print findings as a JSON array"},
};

void
ct_arguments_print_options(unsigned options)
{
    for (size_t i = 0; i < G_N_ELEMENTS(option_texts); i++) {
        if (options & option_texts[i].option) {
            printf("    %s\n", option_texts[i].text);
        }
    }
}

static void
set_words(poptContext context, struct ct_arguments *arguments)
{
    arguments->words = (const char *const *)poptGetArgs(context);
    while (arguments->words && arguments->words[arguments->n_words]) {
        arguments->n_words++;
    }
}

static int
check_values(struct ct_arguments *arguments)
{
    if (arguments->platform_url) {
        if (!g_str_has_prefix(arguments->platform_url, URL_SCHEME)) {
            fprintf(stderr,
                    "coriandertrack: --platform: not http://IP:port\n");
            return CT_ERR_INVALID;
        }
        arguments->platform = arguments->platform_url + strlen(URL_SCHEME);
    }
    if (arguments->base_offset < 0 || arguments->timeout_ms < 1) {
        fprintf(stderr, "coriandertrack: number out of range\n");
        return CT_ERR_INVALID;
    }
    return CT_OK;
}

int
ct_arguments_parse(int argc, const char **argv, struct ct_arguments *arguments)
{
    long long base = 0;
    long long timeout_ms = DEFAULT_TIMEOUT_MS;
    const struct poptOption options[] = {
        {"platform", '\0', POPT_ARG_STRING, &arguments->platform_url,
         CT_OPTION_PLATFORM, NULL, NULL},
        {"base", '\0', POPT_ARG_LONGLONG, &base, CT_OPTION_BASE, NULL, NULL},
        {"label", '\0', POPT_ARG_STRING, &arguments->label, CT_OPTION_LABEL,
         NULL, NULL},
        {"digest", '\0', POPT_ARG_STRING, &arguments->digest, CT_OPTION_DIGEST,
         NULL, NULL},
        {"host", '\0', POPT_ARG_ARGV, &arguments->hosts, CT_OPTION_HOST, NULL,
         NULL},
        {"timeout", '\0', POPT_ARG_LONGLONG, &timeout_ms, CT_OPTION_TIMEOUT,
         NULL, NULL},
        {"against", '\0', POPT_ARG_STRING, &arguments->against,
         CT_OPTION_AGAINST, NULL, NULL},
        {"json", '\0', POPT_ARG_NONE, NULL, CT_OPTION_JSON, NULL, NULL},
        {"help", '?', POPT_ARG_NONE, NULL, CT_OPTION_HELP, NULL, NULL},
        POPT_TABLEEND,
    };
    poptContext context;
    int option;

    memset(arguments, 0, sizeof(*arguments));
    arguments->context = context =
        poptGetContext("coriandertrack", argc, argv, options, 0);
    while ((option = poptGetNextOpt(context)) > 0) {
        arguments->given |= (unsigned)option;
    }
    if (option < -1) {
        fprintf(stderr, "coriandertrack: %s: %s\n",
                poptBadOption(context, POPT_BADOPTION_NOALIAS),
                poptStrerror(option));
        return CT_ERR_INVALID;
    }
    arguments->base_offset = base;
    arguments->timeout_ms = timeout_ms;
    set_words(context, arguments);
    return check_values(arguments);
}

void
ct_arguments_free(struct ct_arguments *arguments)
{
    free(arguments->platform_url);
    free(arguments->label);
    free(arguments->digest);
    free(arguments->against);
    for (char **host = arguments->hosts; host && *host; host++) {
        free(*host);
    }
    free(arguments->hosts);
    poptFreeContext(arguments->context);
}
