#ifndef LIB_HTTP_H
#define LIB_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* A small blocking HTTP client for tests. */

struct http_reply {
    /* 0, or the libcurl code of a failed transfer. */
    int error;
    long status;
    /* Header lines as received, and the body. */
    GString *head;
    GString *body;
    /* Local port of the connection; shows whether it was reused. */
    long local_port;
};

struct http_call {
    /* Body of a POST, or NULL for a GET. */
    const char *body;
    /* "Name: value" lines, to NULL; may be NULL. */
    const char *const *headers;
    int64_t timeout_ms;
    /* Called as body data arrives; may be NULL. Returning false aborts. */
    bool (*on_data)(void *arg, const GString *body);
    void *arg;
};

/* A connection that is reused between calls. */
struct http_client;

struct http_client *http_client_new(void);
void http_client_free(struct http_client *client);

/* Makes one call; the reply is freed with http_reply_free(). */
void http_client_call(struct http_client *client, uint16_t port,
                      const char *path, const struct http_call *call,
                      struct http_reply *reply);

/* The same on a connection of its own. */
void http_call(uint16_t port, const char *path, const struct http_call *call,
               struct http_reply *reply);
void http_reply_free(struct http_reply *reply);

/* The value of a header, or NULL; freed by the caller. */
char *http_reply_header(const struct http_reply *reply, const char *name);

/* POST to control a fake; fails the test on any status but 2xx. */
void http_set(uint16_t port, const char *path, const char *json);

/* GET; fails the test on anything but 200; the caller frees the text. */
char *http_get(uint16_t port, const char *path);

/* One row of a contract: a call under a fault, and the expected reply. */
struct http_case {
    const char *name;
    /* Settings of the fake, set before the call; NULL for no change. */
    const char *set;
    const char *path;
    const char *body;
    const char *headers[4];
    int64_t timeout_ms;
    /* Expected libcurl code, or 0 and the expected status. */
    int error;
    long status;
    /* Texts that must be in the head or the body; NULL for none. */
    const char *contains[3];
    const char *lacks;
};

/* Runs the cases in their order; fails the test with the name of the case. */
void http_run_cases(uint16_t port, const struct http_case *cases, int n);

/* Number of entries of /fake/seen that contain all of the texts, to NULL. */
int http_count_texts(uint16_t port, const char *const *texts);

/* The same with the texts listed inline. */
#define HTTP_COUNT_SEEN(port, ...)                                            \
    http_count_texts((port), (const char *const[]){__VA_ARGS__, NULL})

#endif
