#ifndef LIB_DEPLOYMENT_H
#define LIB_DEPLOYMENT_H

#include "lib-http.h"
#include "lib-process.h"

/*
 * A whole deployment on ephemeral ports: platform, engines, plain services,
 * hosts, and a published configuration with these routes:
 *   /v1/chat/completions  model "large"   class chat, engines
 *   /v1/book              non-idempotent  class book, plain services
 *   /v1/stock             idempotent      class stock, plain services, to all
 * Organisations alpha and beta may call the first two; gamma may not.
 */

#define HOSTS_MAX 8
#define UPSTREAMS_MAX 4
#define KEY_BYTES 128

#define CHAT_PATH "/v1/chat/completions"
#define CHAT_STREAM                                                           \
    "{\"model\":\"large\",\"stream\":true,\"messages\":[{\"role\":\"user\","  \
    "\"content\":\"hello\"}]}"
#define CHAT_WHOLE                                                            \
    "{\"model\":\"large\",\"messages\":[{\"role\":\"user\","                  \
    "\"content\":\"hello\"}]}"

/* Overall limit of a wait; no verdict hangs on how long it takes. */
#define AWAIT_MS 60000

struct host {
    struct process process;
    /* Kept over a restart. */
    uint16_t caller_port;
    uint16_t operator_port;
    uint16_t peer_port;
    /* What the configuration says instead, a relay's port; 0 for none. */
    uint16_t public_peer_port;
};

struct deployment {
    char *directory;
    struct process platform;
    /* The hosts reach the platform through this relay. */
    struct process platform_relay;
    struct process engines[UPSTREAMS_MAX];
    struct process plains[UPSTREAMS_MAX];
    struct host hosts[HOSTS_MAX];
    int n_hosts;
    int n_engines;
    int n_plains;
    char alpha[KEY_BYTES];
    char beta[KEY_BYTES];
    char gamma[KEY_BYTES];
};

/* Starts all, publishes, grants three keys, waits until all hosts serve. */
void deployment_start(struct deployment *d, int n_hosts, int n_engines,
                      int n_plains);
void deployment_stop(struct deployment *d);

/* Starts a host, on its earlier ports where it had some. */
void deployment_start_host(struct deployment *d, int i);
bool deployment_is_ready(const struct deployment *d, int i);
void deployment_await_ready(const struct deployment *d);

/* Kills all hosts at once and starts new ones in their places. */
void deployment_replace_hosts(struct deployment *d);

/* Starts a stand-in, on its earlier port where it had one. */
void deployment_start_engine(struct deployment *d, int i);
void deployment_start_plain(struct deployment *d, int i);
/* The file in which "platform", "engine-0" or "plain-0" ... logs. */
char *deployment_log_path(const struct deployment *d, const char *name, int i);

/* Changes a stand-in by POST /fake/set. */
void deployment_set_engines(const struct deployment *d, const char *json);
void deployment_set_platform(const struct deployment *d, const char *json);

/* Writes the service files to a new directory; weight is alpha's. */
char *deployment_write_files(const struct deployment *d, const char *name,
                             int weight);

/* Runs the command line with --platform added; returns its exit code. */
int deployment_command_with(const struct deployment *d, char **output,
                            const char *const *arguments);

/* The same with the arguments in place. */
#define DEPLOYMENT_COMMAND(d, output, ...)                                    \
    deployment_command_with((d), (output),                                    \
                            (const char *const[]){__VA_ARGS__, NULL})

int deployment_grant(const struct deployment *d, const char *organisation,
                     const char *label, char *key);
/* "--host=IP:port" of a host's operators' port; freed by the caller. */
char *deployment_host_option(const struct deployment *d, int i);

/* A new idempotency key: UUIDv7 of this moment. */
void deployment_idempotency_key(char text[40]);

struct caller_call {
    const char *key;
    const char *path;
    const char *body;
    const char *idempotency_key;
    int64_t timeout_ms;
    bool (*on_data)(void *arg, const GString *body);
    void *arg;
};

/* Calls host i; a NULL client takes a connection of its own. */
void deployment_call(const struct deployment *d, int i,
                     struct http_client *client,
                     const struct caller_call *call, struct http_reply *reply);

/* Fails the test unless the reply is this refusal, in head and body alike. */
void deployment_assert_refused(const struct http_reply *reply, long status,
                               const char *type, const char *run_state);

#endif
