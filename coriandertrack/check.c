/* The command check. */
#include <stdio.h>

#include "command.h"
#include "config-changes.h"
#include "config-entry.h"
#include "config-findings.h"
#include "error.h"
#include "finding-text.h"
#include "json-append.h"
#include "service-dirs.h"

static guint
count_rows(const GArray *rows, enum ct_config_kind kind)
{
    guint n = 0;

    for (guint i = 0; i < rows->len; i++) {
        n += g_array_index(rows, struct ct_config_row, i).kind == kind;
    }
    return n;
}

static enum ct_exit
check_dirs(const struct ct_arguments *arguments)
{
    struct ct_service_files files;
    int err = ct_service_dirs_load(arguments, &files);

    if (err == CT_OK) {
        printf("ok: %u classes, %u routes, %u organisations, %u hosts, "
               "%u pools, %u upstreams\n",
               count_rows(files.rows, CT_CONFIG_CLASS),
               count_rows(files.rows, CT_CONFIG_ROUTE),
               count_rows(files.rows, CT_CONFIG_ORGANISATION),
               count_rows(files.rows, CT_CONFIG_HOST),
               count_rows(files.rows, CT_CONFIG_POOL),
               count_rows(files.rows, CT_CONFIG_UPSTREAM));
    }
    ct_service_files_free(&files);
    return err < 0 ? CT_EXIT_REFUSED : CT_EXIT_OK;
}

/* Reads and decodes a configuration of the platform. */
static int
load_config(const char *path, struct ct_decoded_config *decoded)
{
    g_autofree char *text = NULL;
    gsize n;
    int err = CT_ERR_IO;

    ct_decoded_config_init(decoded);
    if (g_file_get_contents(path, &text, &n, NULL)) {
        err = ct_config_entry_decode(text, n, decoded);
    }
    if (err < 0) {
        fprintf(stderr, "coriandertrack: %s: no configuration: %s\n", path,
                ct_err_name(err));
    }
    return err;
}

/* Names may contain control characters, which would end the line. */
static void
print_line(GString *line)
{
    for (gsize i = 0; i < line->len; i++) {
        if (g_ascii_iscntrl(line->str[i])) {
            line->str[i] = '?';
        }
    }
    printf("%s\n", line->str);
}

static void
print_text(const GArray *findings)
{
    GString *line = g_string_new(NULL);

    for (guint i = 0; i < findings->len; i++) {
        const struct ct_finding *finding =
            &g_array_index(findings, struct ct_finding, i);

        g_string_printf(
            line, "%s %s %s: ", ct_finding_severity_name(finding->kind),
            ct_finding_kind_name(finding->kind), finding->name.text);
        ct_finding_explain(finding, line);
        print_line(line);
    }
    g_string_free(line, TRUE);
}

static void
append_member(GString *out, const char *name, const char *value)
{
    g_string_append_printf(out, "\"%s\":", name);
    ct_json_append_string(out, value, -1);
}

static void
print_json(const GArray *findings)
{
    GString *explanation = g_string_new(NULL);
    GString *out = g_string_new("[");

    for (guint i = 0; i < findings->len; i++) {
        const struct ct_finding *finding =
            &g_array_index(findings, struct ct_finding, i);

        g_string_truncate(explanation, 0);
        ct_finding_explain(finding, explanation);
        g_string_append(out, i > 0 ? ",\n {" : "{");
        append_member(out, "severity",
                      ct_finding_severity_name(finding->kind));
        g_string_append_c(out, ',');
        append_member(out, "kind", ct_finding_kind_name(finding->kind));
        g_string_append_c(out, ',');
        append_member(out, "name", finding->name.text);
        g_string_append_c(out, ',');
        append_member(out, "explanation", explanation->str);
        g_string_append_c(out, '}');
    }
    printf("%s]\n", out->str);
    g_string_free(explanation, TRUE);
    g_string_free(out, TRUE);
}

/* Differences that take nothing away are expected of a new version. */
static bool
has_fault(const GArray *findings)
{
    for (guint i = 0; i < findings->len; i++) {
        const struct ct_finding *finding =
            &g_array_index(findings, struct ct_finding, i);

        if (ct_finding_severity(finding->kind) != CT_SEVERITY_INFO) {
            return true;
        }
    }
    return false;
}

static enum ct_exit
print_findings(const struct ct_arguments *arguments,
               const struct ct_decoded_config *config, const GArray *findings)
{
    bool fault = has_fault(findings);

    if (arguments->given & CT_OPTION_JSON) {
        print_json(findings);
    }
    else {
        print_text(findings);
        if (!fault) {
            printf("ok: %u routes, %u services, %u organisations, %u keys\n",
                   count_rows(config->rows, CT_CONFIG_PREFIX_ROUTE),
                   count_rows(config->rows, CT_CONFIG_POOL),
                   count_rows(config->rows, CT_CONFIG_ORGANISATION),
                   count_rows(config->rows, CT_CONFIG_KEY));
        }
    }
    return fault ? CT_EXIT_FINDINGS : CT_EXIT_OK;
}

/* Adds the differences from the version in force, if there is one. */
static int
add_changes(const struct ct_arguments *arguments,
            const struct ct_decoded_config *config, GArray *findings)
{
    struct ct_decoded_config in_force;
    int err;

    if (!(arguments->given & CT_OPTION_AGAINST)) {
        return CT_OK;
    }
    err = load_config(arguments->against, &in_force);
    if (err == CT_OK) {
        ct_config_changes(config, &in_force, findings);
    }
    ct_decoded_config_free(&in_force);
    return err;
}

static enum ct_exit
check_file(const struct ct_arguments *arguments)
{
    GArray *findings = g_array_new(FALSE, TRUE, sizeof(struct ct_finding));
    enum ct_exit code = CT_EXIT_UNREADABLE;
    struct ct_decoded_config config;

    if (load_config(arguments->words[0], &config) == CT_OK) {
        ct_config_findings(&config, findings);
        if (add_changes(arguments, &config, findings) == CT_OK) {
            code = print_findings(arguments, &config, findings);
        }
    }
    ct_decoded_config_free(&config);
    g_array_free(findings, TRUE);
    return code;
}

static enum ct_exit
run_check(const struct ct_arguments *arguments)
{
    const unsigned file_options = CT_OPTION_AGAINST | CT_OPTION_JSON;

    if (arguments->n_words == 1 &&
        ((arguments->given & file_options) ||
         g_file_test(arguments->words[0], G_FILE_TEST_IS_REGULAR))) {
        return check_file(arguments);
    }
    if (arguments->given & file_options) {
        fprintf(stderr, "coriandertrack: --against and --json need one "
                        "file\n");
        return CT_EXIT_USAGE;
    }
    return check_dirs(arguments);
}

static const struct ct_command_ops check_ops = {run_check};

const struct ct_command ct_command_check = {
    .ops = &check_ops,
    .name = "check",
    .synopsis = "DIR... | FILE [--against=FILE] [--json]",
    .summary = "check service files, or a configuration of the platform",
    .text =
        "    Reads every *.json file of the directories, merges them and\n"
        "    checks the result. Each finding is one line on standard\n"
        "    error: FILE:LINE: FIELD: what is wrong (value).\n"
        "\n"
        "    A file is a configuration in the platform's format. Each\n"
        "    finding is one line on standard output: SEVERITY KIND NAME:\n"
        "    what is wrong and what follows; the severity is error, warning\n"
        "    or info. Exit codes: 0 no error and no warning, 1 errors or\n"
        "    warnings, 2 a file cannot be read or is no configuration.\n",
    .options = CT_OPTION_AGAINST | CT_OPTION_JSON,
    .min_words = 1,
    .max_words = INT32_MAX,
};
