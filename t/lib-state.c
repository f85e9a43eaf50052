#include "lib-state.h"

#include <string.h>

#define CALL_TIMEOUT_MS 5000

static bool
get_path(uint16_t port, const char *path, struct http_reply *reply)
{
    struct http_call call = {.timeout_ms = CALL_TIMEOUT_MS};

    http_call(port, path, &call, reply);
    return reply->error == 0;
}

static int64_t
parse_member_number(const char *text, const char *name)
{
    char *quoted = g_strdup_printf("\"%s\":", name);
    const char *found = strstr(text, quoted);
    int64_t number =
        found ? g_ascii_strtoll(found + strlen(quoted), NULL, 10) : -1;

    g_free(quoted);
    return number;
}

int64_t
state_number(const struct deployment *d, int i, const char *name)
{
    struct http_reply reply;
    int64_t number = -1;

    if (get_path(d->hosts[i].operator_port, "/state", &reply)) {
        number = parse_member_number(reply.body->str, name);
    }
    http_reply_free(&reply);
    return number;
}

bool
state_is(const struct deployment *d, int i, const char *health)
{
    char *quoted = g_strdup_printf("\"%s\"", health);
    struct http_reply reply;
    bool matches;

    matches = get_path(d->hosts[i].operator_port, "/health", &reply) &&
              strstr(reply.body->str, quoted);
    http_reply_free(&reply);
    g_free(quoted);
    return matches;
}

int64_t
state_log_head(const struct deployment *d)
{
    char *text = http_get(d->platform.port, "/log/read?from=1&max=1");
    int64_t head = parse_member_number(text, "head");

    g_free(text);
    return head;
}

void
state_await_log(const struct deployment *d)
{
    int64_t head = state_log_head(d);

    for (int i = 0; i < d->n_hosts; i++) {
        if (d->hosts[i].process.running) {
            AWAIT(state_number(d, i, "log_applied") >= head, AWAIT_TIMEOUT_MS);
        }
    }
}

void
state_replace_host(struct deployment *d, int i)
{
    process_kill(&d->hosts[i].process);
    deployment_start_host(d, i);
}

/* Number of occurrences of the text in the log of the host process. */
static int
count_logged(const struct deployment *d, int host, const char *text)
{
    char *name =
        g_strdup_printf("coriandertrackd-%d.log", d->hosts[host].process.pid);
    char *path = g_build_filename(d->directory, name, NULL);
    char *log = NULL;
    int n = 0;

    if (g_file_get_contents(path, &log, NULL, NULL)) {
        for (char *found = log; (found = strstr(found, text)); found++) {
            n++;
        }
    }
    g_free(log);
    g_free(path);
    g_free(name);
    return n;
}

int
state_count_leases(const struct deployment *d, int host, const char *event,
                   int role)
{
    char *text = g_strdup_printf(
        "\"name\":\"%s\",\"subject\":\"h%d\",\"number\":\"%d\"", event,
        host + 1, role);
    int n = count_logged(d, host, text);

    g_free(text);
    return n;
}

int
state_lease_holder(const struct deployment *d, int role, int except)
{
    for (int i = 0; i < d->n_hosts; i++) {
        if (i != except && state_count_leases(d, i, "LEASE_TAKEN", role) >
                               state_count_leases(d, i, "LEASE_LOST", role)) {
            return i;
        }
    }
    return -1;
}
