#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon.h"
#include "diag.h"
#include "relay-daemon.h"

#ifndef CT_VERSION
#define CT_VERSION "unknown"
#endif

struct options {
    char *config;
    char *record;
    int check;
    int relay;
    int version;
    int help;
};

/* Returns CT_EXIT_OK, or another exit code after printing an error. */
static int
parse_options(int argc, const char **argv, struct options *options)
{
    const struct poptOption table[] = {
        {"config", 0, POPT_ARG_STRING, &options->config, 0, NULL, NULL},
        {"record", 0, POPT_ARG_STRING, &options->record, 0, NULL, NULL},
        {"check", 0, POPT_ARG_NONE, &options->check, 0, NULL, NULL},
        {"relay", 0, POPT_ARG_NONE, &options->relay, 0, NULL, NULL},
        {"version", 0, POPT_ARG_NONE, &options->version, 0, NULL, NULL},
        {"help", '?', POPT_ARG_NONE, &options->help, 0, NULL, NULL},
        POPT_TABLEEND,
    };
    poptContext context =
        poptGetContext("coriandertrackd", argc, argv, table, 0);
    int rc = poptGetNextOpt(context);
    int status = CT_EXIT_OK;

    if (rc < -1) {
        fprintf(stderr, "coriandertrackd: %s: %s\n",
                poptBadOption(context, POPT_BADOPTION_NOALIAS),
                poptStrerror(rc));
        status = CT_EXIT_USAGE;
    }
    else if (poptPeekArg(context) != NULL) {
        fprintf(stderr, "coriandertrackd: unexpected argument: %s\n",
                poptPeekArg(context));
        status = CT_EXIT_USAGE;
    }
    else if (options->config == NULL && !options->help && !options->version) {
        fputs("coriandertrackd: --config is missing; see --help\n", stderr);
        status = CT_EXIT_USAGE;
    }
    poptFreeContext(context);
    return status;
}

static void
print_diags(const struct ct_diags *diags)
{
    GString *line = g_string_new(NULL);

    for (guint i = 0; i < ct_diags_count(diags); i++) {
        g_string_truncate(line, 0);
        ct_diag_format(ct_diags_get(diags, i), line);
        fprintf(stderr, "%s\n", line->str);
    }
    g_string_free(line, TRUE);
}

static int
run_relay(const struct options *options)
{
    struct ct_relay_settings settings;
    struct ct_diags diags;
    int status = CT_EXIT_OK;

    ct_diags_init(&diags);
    if (ct_relay_settings_load(options->config, &settings, &diags) < 0) {
        print_diags(&diags);
        status = CT_EXIT_USAGE;
    }
    else if (!options->check) {
        status =
            ct_relay_daemon_run(options->config, &settings, options->record);
    }
    ct_diags_free(&diags);
    return status;
}

static int
run_host(const struct options *options)
{
    struct ct_settings settings;
    struct ct_diags diags;
    int status = CT_EXIT_OK;

    ct_diags_init(&diags);
    if (ct_settings_load(options->config, &settings, &diags) < 0) {
        print_diags(&diags);
        status = CT_EXIT_USAGE;
    }
    else if (!options->check) {
        status = ct_daemon_run(&settings, options->record);
    }
    ct_settings_free(&settings);
    ct_diags_free(&diags);
    return status;
}

int
main(int argc, const char **argv)
{
    struct options options = {0};
    int status = parse_options(argc, argv, &options);

    if (status != CT_EXIT_OK) {
        goto out;
    }
    if (options.help) {
        ct_daemon_help();
    }
    else if (options.version) {
        puts("coriandertrackd " CT_VERSION);
    }
    else {
        status = options.relay ? run_relay(&options) : run_host(&options);
    }
out:
    free(options.config);
    free(options.record);
    return status;
}
