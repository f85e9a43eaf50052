/* The commands key grant, key withdraw and key list. */
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "command.h"
#include "error.h"
#include "host-call.h"
#include "log-view.h"
#include "schema.h"

#define KEY_BYTES 32
#define KEY_PREFIX "ct-"
#define STATUS_OK 200

static void
hex_encode(const uint8_t *bytes, size_t n, char *out)
{
    for (size_t i = 0; i < n; i++) {
        g_snprintf(out + 2 * i, 3, "%02x", bytes[i]);
    }
}

static bool
hex_decode(const char *text, uint8_t *out, size_t n)
{
    if (strlen(text) != 2 * n) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        out[i] = (uint8_t)(high << 4 | low);
    }
    return true;
}

static void
digest_key(const char *key, struct ct_digest *digest)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize n = sizeof(digest->bytes);

    g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(checksum, digest->bytes, &n);
    g_checksum_free(checksum);
}

/* Makes a key; out has room for the prefix, two digits per byte and a NUL. */
static int
make_key(char *out)
{
    uint8_t bytes[KEY_BYTES];

    if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes)) {
        return CT_ERR_IO;
    }
    g_stpcpy(out, KEY_PREFIX);
    hex_encode(bytes, sizeof(bytes), out + strlen(KEY_PREFIX));
    return CT_OK;
}

static const struct ct_key *
find_key_by_label(const struct ct_log_view *view, const char *label)
{
    const struct ct_key_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&view->state->keys.rows, &cursor, NULL))) {
        if (row->offset > 0 && strcmp(row->key.label.text, label) == 0) {
            return &row->key;
        }
    }
    return NULL;
}

static enum ct_exit
report_error(int err, const char *what)
{
    if (err == CT_ERR_TIMEOUT) {
        fprintf(stderr, "coriandertrack: sent, but not found in the log yet; "
                        "it may still take effect\n");
        return CT_EXIT_UNKNOWN;
    }
    fprintf(stderr, "coriandertrack: %s: %s\n", what, ct_err_name(err));
    return CT_EXIT_UNAVAILABLE;
}

/* Checks that the organisation and label can be used for a new key. */
static int
check_grant(const struct ct_log_view *view, const struct ct_key *key)
{
    if (ct_handle_is_none(ct_config_organisation(&view->state->config,
                                                 &key->organisation))) {
        fprintf(stderr,
                "coriandertrack: no organisation %s in the configuration\n",
                key->organisation.text);
        return CT_ERR_REFERENCE_UNKNOWN;
    }
    if (find_key_by_label(view, key->label.text)) {
        fprintf(stderr, "coriandertrack: the label %s is already in use\n",
                key->label.text);
        return CT_ERR_EXISTS;
    }
    return CT_OK;
}

static enum ct_exit
grant_key(struct ct_log_view *view, struct ct_record *record)
{
    char text[sizeof(KEY_PREFIX) + 2 * KEY_BYTES];
    int err = check_grant(view, &record->u.key);

    if (err < 0) {
        return CT_EXIT_REFUSED;
    }
    err = make_key(text);
    if (err < 0) {
        return report_error(err, "cannot generate a key");
    }
    digest_key(text, &record->u.key.digest);
    err = ct_log_view_append(view, record);
    if (err < 0) {
        return report_error(err, "no key was granted");
    }
    printf("%s\n", text);
    fprintf(stderr,
            "granted at offset %" G_GINT64_FORMAT
            "; the key is not shown again\n",
            view->appended_offset);
    return CT_EXIT_OK;
}

static enum ct_exit
run_grant(const struct ct_arguments *arguments)
{
    struct ct_record record = {.type = CT_RECORD_KEY_GRANT};
    struct ct_log_view view;
    enum ct_exit code;
    int err;

    if (!ct_schema_is_name(arguments->words[0]) ||
        !ct_schema_is_name(arguments->label)) {
        fprintf(stderr, "coriandertrack: invalid organisation or label\n");
        return CT_EXIT_USAGE;
    }
    CT_TEXT_SET(record.u.key.organisation, arguments->words[0]);
    CT_TEXT_SET(record.u.key.label, arguments->label);
    err = ct_log_view_open(&view, arguments);
    code = err < 0 ? report_error(err, "cannot read the log")
                   : grant_key(&view, &record);
    ct_log_view_close(&view);
    return code;
}

static void
print_names(JsonObject *object, const char *name)
{
    JsonArray *names = ct_json_get_array(object, name);

    printf(" %s:", name);
    for (guint i = 0; names && i < json_array_get_length(names); i++) {
        JsonNode *node = json_array_get_element(names, i);

        if (JSON_NODE_HOLDS_VALUE(node) &&
            json_node_get_value_type(node) == G_TYPE_STRING) {
            printf(" %s", json_node_get_string(node));
        }
    }
}

/*
 * Withdraws the key at a host, which forwards the withdrawal to the others.
 * Returns whether all hosts confirmed.
 */
static bool
withdraw_at_host(const char *host, const char *body, ct_ms timeout_ms)
{
    struct ct_host_response response;
    JsonArray *missing = NULL;
    bool complete = false;

    if (ct_host_call(host, "/keys/withdraw", body, timeout_ms, &response) ==
            CT_OK &&
        response.status == STATUS_OK && response.object) {
        missing = ct_json_get_array(response.object, "missing");
        complete = missing && json_array_get_length(missing) == 0;
        printf("%s", host);
        print_names(response.object, "confirmed");
        print_names(response.object, "missing");
        printf("\n");
    }
    else {
        printf("%s did not confirm\n", host);
    }
    ct_host_response_free(&response);
    return complete;
}

static bool
withdraw_at_hosts(const struct ct_arguments *arguments,
                  const struct ct_digest *digest)
{
    char hex[2 * CT_DIGEST_BYTES + 1];
    char body[sizeof(hex) + 32];
    bool complete = true;

    hex_encode(digest->bytes, CT_DIGEST_BYTES, hex);
    g_snprintf(body, sizeof(body), "{\"digest\":\"%s\"}", hex);
    for (int i = 0; arguments->hosts && arguments->hosts[i]; i++) {
        complete &=
            withdraw_at_host(arguments->hosts[i], body, arguments->timeout_ms);
    }
    return complete;
}

/*
 * Finds the key that the command line names. Errors: CT_ERR_INVALID for a bad
 * digest, CT_ERR_NOT_FOUND for an unknown label, view_err if a label cannot be
 * looked up because the log was not read.
 */
static int
find_key(const struct ct_arguments *arguments, const struct ct_log_view *view,
         int view_err, struct ct_key *key)
{
    const struct ct_key *found;

    if (arguments->digest) {
        return hex_decode(arguments->digest, key->digest.bytes,
                          CT_DIGEST_BYTES)
                   ? CT_OK
                   : CT_ERR_INVALID;
    }
    if (view_err < 0) {
        return view_err;
    }
    found = find_key_by_label(view, arguments->words[0]);
    if (!found) {
        return CT_ERR_NOT_FOUND;
    }
    *key = *found;
    return CT_OK;
}

static enum ct_exit
report_withdraw_error(int err)
{
    switch (err) {
    case CT_ERR_NOT_FOUND:
        fprintf(stderr, "coriandertrack: no key with this label\n");
        return CT_EXIT_NOT_FOUND;
    case CT_ERR_INVALID:
        fprintf(stderr, "coriandertrack: --digest: not a SHA-256 in hex\n");
        return CT_EXIT_USAGE;
    default:
        fprintf(stderr, "coriandertrack: cannot read the log; use --digest "
                        "with --host to withdraw without it\n");
        return CT_EXIT_UNAVAILABLE;
    }
}

static enum ct_exit
withdraw_key(const struct ct_arguments *arguments, struct ct_log_view *view,
             int view_err, struct ct_record *record)
{
    bool has_hosts = arguments->hosts != NULL;
    /*
     * Hosts come first: they apply the withdrawal at once, even if the log is
     * unavailable.
     */
    bool complete = withdraw_at_hosts(arguments, &record->u.key.digest);
    int err = view_err < 0 ? view_err : ct_log_view_append(view, record);

    if (err == CT_OK) {
        printf("withdrawn at offset %" G_GINT64_FORMAT "\n",
               view->appended_offset);
        return complete ? CT_EXIT_OK : CT_EXIT_PARTIAL;
    }
    if (!has_hosts) {
        return report_error(err, "the key was not withdrawn");
    }
    printf("not in the log; repeat the command when the log is available\n");
    return CT_EXIT_PARTIAL;
}

static enum ct_exit
run_withdraw(const struct ct_arguments *arguments)
{
    struct ct_record record = {.type = CT_RECORD_KEY_WITHDRAW};
    struct ct_log_view view;
    enum ct_exit code;
    int view_err;
    int err;

    if ((arguments->n_words == 1) == (arguments->digest != NULL)) {
        fprintf(stderr, "coriandertrack: give either LABEL or --digest\n");
        return CT_EXIT_USAGE;
    }
    view_err = ct_log_view_open(&view, arguments);
    err = find_key(arguments, &view, view_err, &record.u.key);
    if (err < 0) {
        code = report_withdraw_error(err);
    }
    else {
        record.u.key.withdrawn = true;
        code = withdraw_key(arguments, &view, view_err, &record);
    }
    ct_log_view_close(&view);
    return code;
}

static void
print_key(const struct ct_key_row *row)
{
    char hex[2 * CT_DIGEST_BYTES + 1];

    hex_encode(row->key.digest.bytes, CT_DIGEST_BYTES, hex);
    printf("%-24s %-24s %-9s %s\n",
           row->key.label.text[0] ? row->key.label.text : "-",
           row->key.organisation.text[0] ? row->key.organisation.text : "-",
           row->key.withdrawn ? "withdrawn" : "granted", hex);
}

static enum ct_exit
run_list(const struct ct_arguments *arguments)
{
    const struct ct_key_row *row;
    struct ct_log_view view;
    uint32_t cursor = 0;
    int err = ct_log_view_open(&view, arguments);

    if (err == CT_OK) {
        while ((row = ct_table_next(&view.state->keys.rows, &cursor, NULL))) {
            print_key(row);
        }
    }
    ct_log_view_close(&view);
    return err < 0 ? report_error(err, "cannot read the log") : CT_EXIT_OK;
}

static const struct ct_command_ops grant_ops = {run_grant};
static const struct ct_command_ops withdraw_ops = {run_withdraw};
static const struct ct_command_ops list_ops = {run_list};

const struct ct_command ct_command_key_grant = {
    .ops = &grant_ops,
    .name = "key grant",
    .synopsis = "ORGANISATION --label=L --platform=URL [--timeout=MS]",
    .summary = "create a key for an organisation",
    .text =
        "    Prints the new key, and nothing else, on standard output. It\n"
        "    cannot be shown again: the log holds only its SHA-256 digest.\n"
        "    The label must not be in use.\n",
    .options = CT_OPTION_PLATFORM | CT_OPTION_LABEL | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_PLATFORM | CT_OPTION_LABEL,
    .min_words = 1,
    .max_words = 1,
};

const struct ct_command ct_command_key_withdraw = {
    .ops = &withdraw_ops,
    .name = "key withdraw",
    .synopsis = "LABEL|--digest=HEX --platform=URL [--host=IP:port...] "
                "[--timeout=MS]",
    .summary = "withdraw a key permanently",
    .text =
        "    Appends the withdrawal to the log. With --host it is first sent\n"
        "    to these hosts, which forward it to the others; the output\n"
        "    names the hosts that confirmed and those that did not. While\n"
        "    the log is unavailable, --digest and --host withdraw the key at\n"
        "    the hosts alone (exit code 7): repeat the command afterwards.\n",
    .options = CT_OPTION_PLATFORM | CT_OPTION_DIGEST | CT_OPTION_HOST |
               CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_PLATFORM,
    .max_words = 1,
};

const struct ct_command ct_command_key_list = {
    .ops = &list_ops,
    .name = "key list",
    .synopsis = "--platform=URL [--timeout=MS]",
    .summary = "list the keys in the log",
    .text = "    Prints one line per key: label, organisation, granted or\n"
            "    withdrawn, and the digest.\n",
    .options = CT_OPTION_PLATFORM | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_PLATFORM,
};
