/*
 * coriandertrack: check and publish configurations, grant and withdraw keys,
 * inspect and drain hosts.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "error.h"

static const struct ct_command *const commands[] = {
    &ct_command_check,        &ct_command_publish,  &ct_command_key_grant,
    &ct_command_key_withdraw, &ct_command_key_list, &ct_command_status,
    &ct_command_explain,      &ct_command_causes,   &ct_command_drain,
};

static const char overview[] =
    "coriandertrack - the operators' command line of coriandertrack\n"
    "\n"
    "USAGE\n"
    "    coriandertrack COMMAND [ARGUMENT...] [--OPTION=VALUE...]\n"
    "    coriandertrack help [COMMAND]\n"
    "\n"
    "COMMANDS\n";

static const char exit_text[] =
    "\n"
    "EXIT CODES\n"
    "    0  done\n"
    "    1  the command line is invalid\n"
    "    2  rejected by a check; nothing was changed\n"
    "    3  another configuration was published first; nothing was changed\n"
    "    4  the platform or host did not respond; the log was not changed\n"
    "    5  sent, but the response was lost; it may still take effect\n"
    "    6  no such key or refusal\n"
    "    7  partly done; the output says what is missing\n"
    "    check FILE: 1 errors or warnings, 2 not readable\n";

static void
print_overview(FILE *out)
{
    fputs(overview, out);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(out, "    %-14s %s\n", commands[i]->name,
                commands[i]->summary);
    }
    fputs(exit_text, out);
}

static void
print_help(const struct ct_command *command)
{
    printf("NAME\n    coriandertrack %s - %s\n\n", command->name,
           command->summary);
    printf("USAGE\n    coriandertrack %s %s\n\n", command->name,
           command->synopsis);
    printf("DESCRIPTION\n%s", command->text);
    if (command->options) {
        printf("\nOPTIONS\n");
        ct_arguments_print_options(command->options);
    }
    fputs(exit_text, stdout);
}

/*
 * Returns the number of words in the command's name if the arguments begin
 * with it, or else 0.
 */
static int
match_command(const struct ct_command *command,
              const struct ct_arguments *arguments)
{
    g_auto(GStrv) name = g_strsplit(command->name, " ", -1);
    int n;

    for (n = 0; name[n]; n++) {
        if (n >= arguments->n_words ||
            strcmp(name[n], arguments->words[n]) != 0) {
            return 0;
        }
    }
    return n;
}

/* Finds the command and removes its name from the words. */
static const struct ct_command *
find_command(struct ct_arguments *arguments)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        int n = match_command(commands[i], arguments);

        if (n > 0) {
            arguments->words += n;
            arguments->n_words -= n;
            return commands[i];
        }
    }
    return NULL;
}

static enum ct_exit
run_help(struct ct_arguments *arguments)
{
    const struct ct_command *command;

    if (arguments->n_words == 0) {
        print_overview(stdout);
        return CT_EXIT_OK;
    }
    command = find_command(arguments);
    if (!command) {
        fprintf(stderr, "coriandertrack: no such command\n");
        return CT_EXIT_USAGE;
    }
    print_help(command);
    return CT_EXIT_OK;
}

static enum ct_exit
run_command(const struct ct_command *command,
            const struct ct_arguments *arguments)
{
    if ((arguments->given & ~command->options) ||
        (command->required_options & ~arguments->given) ||
        arguments->n_words < command->min_words ||
        arguments->n_words > command->max_words) {
        fprintf(stderr, "usage: coriandertrack %s %s\n", command->name,
                command->synopsis);
        return CT_EXIT_USAGE;
    }
    return command->ops->run(arguments);
}

static enum ct_exit
dispatch(struct ct_arguments *arguments)
{
    const struct ct_command *command;

    if (arguments->given & CT_OPTION_HELP) {
        return run_help(arguments);
    }
    if (arguments->n_words == 0) {
        print_overview(stderr);
        return CT_EXIT_USAGE;
    }
    if (strcmp(arguments->words[0], "help") == 0) {
        arguments->words++;
        arguments->n_words--;
        return run_help(arguments);
    }
    command = find_command(arguments);
    if (!command) {
        fprintf(stderr, "coriandertrack: no such command\n");
        return CT_EXIT_USAGE;
    }
    return run_command(command, arguments);
}

int
main(int argc, const char **argv)
{
    struct ct_arguments arguments;
    enum ct_exit code = CT_EXIT_USAGE;

    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (ct_arguments_parse(argc, argv, &arguments) == CT_OK) {
        code = dispatch(&arguments);
    }
    ct_arguments_free(&arguments);
    curl_global_cleanup();
    return code;
}
