#ifndef LIB_RELAY_PROCESS_H
#define LIB_RELAY_PROCESS_H

#include <glib.h>

#include "lib-http.h"
#include "lib-platform.h"
#include "lib-process.h"

/*
 * A relaying host as a process, between a fake store and fake upstreams that
 * use the wire format of the users' platform.
 */

#define RELAY_PROCESS_RUNNERS 2
#define RELAY_PROCESS_TIMEOUT_MS 30000
#define RELAY_PROCESS_KEY "Key: k1"

struct relay_process {
    char *directory;
    char *settings;
    struct process store;
    struct process runners[RELAY_PROCESS_RUNNERS];
    struct process host;
    /*
     * Set before the start: memory that the host may use, and the size limit
     * of bodies; 0: the default.
     */
    int memory_mb;
    int body_max_bytes;
    /* Version of the newest configuration. */
    int version;
    int calls;
};

/*
 * Starts the processes and publishes a configuration in which the organisation
 * "acme" has the keys "k1" and "k2"; waits until the host is ready.
 */
void relay_process_start(struct relay_process *f);
void relay_process_start_host(struct relay_process *f);
/* Kills the store and the upstreams. */
void relay_process_stop(struct relay_process *f);

/* Publishes a configuration in which acme has these keys. */
void relay_process_put_config(struct relay_process *f, const char *keys);
void relay_process_put_runner(struct relay_process *f, int i,
                              const char *state);
/* Changes settings of all upstreams. */
void relay_process_set_runners(struct relay_process *f, const char *json);
bool relay_process_is_ready(struct relay_process *f);

/* Makes a call with a new request id, which it returns in id. */
void relay_process_call(struct relay_process *f, const char *path,
                        const char *body, const char *const *more_headers,
                        struct http_reply *reply, char id[24]);

/*
 * Makes a call with a new request id and the given Host header; returns its
 * status, or 0 if the response did not arrive whole.
 */
long relay_process_status(struct relay_process *f, const char *host_header,
                          const char *path, const char *const *more_headers);

/* The same for the usual host, with the headers listed inline. */
#define RELAY_PROCESS_STATUS(f, path, ...)                                    \
    relay_process_status((f), PLATFORM_HOST_HEADER, (path),                   \
                         (const char *const[]){__VA_ARGS__, NULL})

/* Makes such calls until one ends with the status. */
#define RELAY_PROCESS_AWAIT_STATUS(f, status, path, ...)                      \
    AWAIT(RELAY_PROCESS_STATUS((f), (path), __VA_ARGS__) == (status),         \
          RELAY_PROCESS_TIMEOUT_MS)

/* Returns how often all upstreams together ran the request. */
int relay_process_count_runs(struct relay_process *f, const char *id);

#endif
