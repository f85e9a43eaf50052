#ifndef LIB_DEPLOYMENT_H
#define LIB_DEPLOYMENT_H

#include "lib-http.h"
#include "lib-process.h"

/*
 * A complete deployment on ephemeral ports: platform, engines, plain services,
 * hosts, and a published configuration with these routes:
 *   /v1/chat/completions  model "large"   class chat, engines
 *   /v1/book              non-idempotent  class book, plain services
 *   /v1/stock             idempotent      class stock, plain services,
 *                                         open to all
 * Organisations alpha and beta may call the first two; gamma may not.
 */

#define HOSTS_MAX 8
#define UPSTREAMS_MAX 4
#define KEY_BYTES 128

#define CHAT_PATH "/v1/chat/completions"
#define CHAT_STREAM                                                           \
    "{\"model\":\"large\",\"stream\":true,\"messages\":[{\"role\":\"user\","  \
    "\"content\":\"hello\"}]}"
#define CHAT_NOT_STREAMED                                                     \
    "{\"model\":\"large\",\"messages\":[{\"role\":\"user\","                  \
    "\"content\":\"hello\"}]}"

/* Overall limit of a wait. No test result depends on how long a wait takes. */
#define AWAIT_TIMEOUT_MS 60000

struct host {
    struct process process;
    /* A restarted host listens on the same ports. */
    uint16_t caller_port;
    uint16_t operator_port;
    uint16_t peer_port;
    /*
     * Port that the configuration publishes instead of peer_port, such as that
     * of a proxy; 0 for none.
     */
    uint16_t public_peer_port;
};

struct deployment {
    char *directory;
    struct process platform;
    /* TCP proxy through which the hosts reach the platform. */
    struct process platform_proxy;
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

/*
 * Starts all processes, publishes the configuration, grants three keys, and
 * waits until all hosts serve calls.
 */
void deployment_start(struct deployment *d, int n_hosts, int n_engines,
                      int n_plains);
void deployment_stop(struct deployment *d);

/* Starts a host, on its earlier ports if it ran before. */
void deployment_start_host(struct deployment *d, int i);
bool deployment_is_ready(const struct deployment *d, int i);
void deployment_await_ready(const struct deployment *d);

/* Kills all hosts, then starts them again and waits until all are ready. */
void deployment_replace_hosts(struct deployment *d);

/* Starts a fake upstream, on its earlier port if it ran before. */
void deployment_start_engine(struct deployment *d, int i);
void deployment_start_plain(struct deployment *d, int i);
/* Log file of the fake "platform", "engine" or "plain" with number i. */
char *deployment_log_path(const struct deployment *d, const char *name, int i);

/* Change the settings of the fakes by POST /fake/set. */
void deployment_set_engines(const struct deployment *d, const char *json);
void deployment_set_platform(const struct deployment *d, const char *json);

/* Writes the service files to a new directory; alpha gets the weight. */
char *deployment_write_files(const struct deployment *d, const char *name,
                             int weight);

/* Runs coriandertrack with --platform added; returns its exit code. */
int deployment_command_with(const struct deployment *d, char **output,
                            const char *const *arguments);

/* The same with the arguments listed inline. */
#define DEPLOYMENT_COMMAND(d, output, ...)                                    \
    deployment_command_with((d), (output),                                    \
                            (const char *const[]){__VA_ARGS__, NULL})

int deployment_grant(const struct deployment *d, const char *organisation,
                     const char *label, char *key);
/* "--host=IP:port" with the operators' port of a host; free it. */
char *deployment_host_option(const struct deployment *d, int i);

/* Writes a new idempotency key, a UUIDv7 with the current time. */
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

/* Calls host i; with a NULL client it opens a new connection. */
void deployment_call(const struct deployment *d, int i,
                     struct http_client *client,
                     const struct caller_call *call, struct http_reply *reply);

/* Asserts that head and body of the reply both state this refusal. */
void deployment_assert_refused(const struct http_reply *reply, long status,
                               const char *type, const char *run_state);

#endif
