/* The commands status, explain and drain. */
#include <stdio.h>

#include "command.h"
#include "error.h"
#include "host-call.h"

#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define STATUS_NOT_FOUND 404

/* Prints each number, text and boolean of an object as "name=value". */
static void
print_values(JsonObject *object, const char *separator)
{
    GList *names = json_object_get_members(object);

    for (GList *item = names; item; item = item->next) {
        JsonNode *node = json_object_get_member(object, item->data);
        char *text;

        if (!JSON_NODE_HOLDS_VALUE(node)) {
            continue;
        }
        text = json_to_string(node, FALSE);
        printf("%s%s=%s", separator, (const char *)item->data, text);
        g_free(text);
    }
    g_list_free(names);
}

static int
print_health(const char *host, ct_ms timeout_ms)
{
    struct ct_host_response response;
    const char *state = NULL;
    int err = ct_host_call(host, "/health", NULL, timeout_ms, &response);

    if (err == CT_OK && response.object) {
        state = ct_json_get_string(response.object, "state");
    }
    printf("%s %s", host, state ? state : "unknown");
    ct_host_response_free(&response);
    return err;
}

static int
print_status(const char *host, ct_ms timeout_ms)
{
    struct ct_host_response response;
    int err = print_health(host, timeout_ms);

    if (err == CT_OK) {
        err = ct_host_call(host, "/state", NULL, timeout_ms, &response);
        if (response.object) {
            print_values(response.object, " ");
        }
        ct_host_response_free(&response);
    }
    printf("\n");
    return err;
}

static enum ct_exit
run_status(const struct ct_arguments *arguments)
{
    int n_failed = 0;
    int n;

    for (n = 0; arguments->hosts[n]; n++) {
        n_failed +=
            print_status(arguments->hosts[n], arguments->timeout_ms) < 0;
    }
    if (n_failed == 0) {
        return CT_EXIT_OK;
    }
    return n_failed < n ? CT_EXIT_PARTIAL : CT_EXIT_UNAVAILABLE;
}

/* Request ids become part of a path: only letters, digits and '-' may pass. */
static bool
is_request_id(const char *text)
{
    const char *p = text;

    while (g_ascii_isalnum(*p) || *p == '-') {
        p++;
    }
    return p > text && *p == '\0';
}

static enum ct_exit
run_explain(const struct ct_arguments *arguments)
{
    enum ct_exit code = CT_EXIT_UNAVAILABLE;
    char path[128];

    if (!is_request_id(arguments->words[0])) {
        fprintf(stderr, "coriandertrack: not a request id\n");
        return CT_EXIT_USAGE;
    }
    g_snprintf(path, sizeof(path), "/explain/%s", arguments->words[0]);
    for (int i = 0; arguments->hosts[i] && code != CT_EXIT_OK; i++) {
        struct ct_host_response response;
        int err = ct_host_call(arguments->hosts[i], path, NULL,
                               arguments->timeout_ms, &response);

        if (err == CT_OK && response.status == STATUS_OK && response.object) {
            print_values(response.object, "\n");
            printf("\n");
            code = CT_EXIT_OK;
        }
        else if (err == CT_OK && response.status == STATUS_NOT_FOUND) {
            code = CT_EXIT_NOT_FOUND;
        }
        ct_host_response_free(&response);
    }
    if (code == CT_EXIT_NOT_FOUND) {
        fprintf(stderr, "coriandertrack: no refusal of this request was "
                        "found\n");
    }
    return code;
}

static enum ct_exit
run_drain(const struct ct_arguments *arguments)
{
    int n_failed = 0;
    int n;

    for (n = 0; arguments->hosts[n]; n++) {
        struct ct_host_response response;
        int err = ct_host_call(arguments->hosts[n], "/drain", "",
                               arguments->timeout_ms, &response);

        if (err == CT_OK && response.status == STATUS_ACCEPTED) {
            printf("%s draining\n", arguments->hosts[n]);
        }
        else {
            printf("%s not draining\n", arguments->hosts[n]);
            n_failed++;
        }
        ct_host_response_free(&response);
    }
    if (n_failed == 0) {
        return CT_EXIT_OK;
    }
    return n_failed < n ? CT_EXIT_PARTIAL : CT_EXIT_UNAVAILABLE;
}

static const struct ct_command_ops status_ops = {run_status};
static const struct ct_command_ops explain_ops = {run_explain};
static const struct ct_command_ops drain_ops = {run_drain};

const struct ct_command ct_command_status = {
    .ops = &status_ops,
    .name = "status",
    .synopsis = "--host=IP:port... [--timeout=MS]",
    .summary = "show the state of hosts",
    .text = "    Prints one line per host: its address, its health (ready,\n"
            "    starting, not-current or draining) and its state.\n",
    .options = CT_OPTION_HOST | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_HOST,
};

const struct ct_command ct_command_explain = {
    .ops = &explain_ops,
    .name = "explain",
    .synopsis = "REQUEST-ID --host=IP:port... [--timeout=MS]",
    .summary = "explain why a request was refused",
    .text = "    Queries the hosts in turn until one has the refusal, and\n"
            "    prints who was refused, when and why, and the load at that\n"
            "    time. Any host has it once the refusal is in the log.\n",
    .options = CT_OPTION_HOST | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_HOST,
    .min_words = 1,
    .max_words = 1,
};

const struct ct_command ct_command_drain = {
    .ops = &drain_ops,
    .name = "drain",
    .synopsis = "--host=IP:port... [--timeout=MS]",
    .summary = "stop hosts once they have finished their requests",
    .text =
        "    The host refuses new requests as not run, omits itself from the\n"
        "    addresses it returns, finishes its requests, and exits.\n",
    .options = CT_OPTION_HOST | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_HOST,
};
