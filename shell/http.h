#ifndef CT_HTTP_H
#define CT_HTTP_H

#include <stddef.h>
#include <curl/curl.h>

#include "loop.h"

/*
 * HTTP requests to others: a libcurl multi handle driven by the loop. What
 * becomes of a response is up to the vtable of the transfer.
 */

struct ct_http;
struct ct_transfer;

struct ct_transfer_ops {
    /*
     * The connection stands and nothing was written yet. A negative error
     * stops the transfer before any byte leaves. May be NULL.
     */
    int (*before_send)(struct ct_transfer *transfer);
    /* One header line, or the status line, with its CRLF. May be NULL. */
    int (*header)(struct ct_transfer *transfer, const char *line, size_t n);
    /* A part of the body; a negative error stops the transfer. */
    int (*data)(struct ct_transfer *transfer, const char *data, size_t n);
    /*
     * The transfer is over and out of the multi handle. Called once, not
     * after ct_http_cancel(). It frees the transfer.
     */
    void (*done)(struct ct_transfer *transfer, CURLcode result);
};

/* First member of each kind of transfer. */
struct ct_transfer {
    const struct ct_transfer_ops *ops;
    struct ct_http *http;
    CURL *easy;
    struct curl_slist *headers;
    /* In the multi handle now. */
    bool running;
};

struct ct_http *ct_http_new(struct ct_loop *loop);
/*
 * It carries out no effects, but the loop frees it in the order of the
 * executors: add it before those that send requests.
 */
struct ct_executor *ct_http_executor(struct ct_http *http);

/*
 * Prepares a request of "http://address/path"; nothing is sent. The method
 * is GET where no body is given.
 * Errors: CT_ERR_NO_MEMORY.
 */
int ct_transfer_init(struct ct_transfer *transfer, struct ct_http *http,
                     const struct ct_transfer_ops *ops, const char *address,
                     const char *path);
int ct_transfer_header(struct ct_transfer *transfer, const char *name,
                       const char *value);
/* A whole header line, in libcurl's form. Errors: CT_ERR_NO_MEMORY. */
int ct_transfer_line(struct ct_transfer *transfer, const char *line);
/* The body is borrowed until the transfer is cleared; the method is POST. */
void ct_transfer_body(struct ct_transfer *transfer, const void *body,
                      size_t n);
/* Another method than GET or POST; copied. */
void ct_transfer_method(struct ct_transfer *transfer, const char *method);
/* A connection of its own, so that libcurl never sends it a second time. */
void ct_transfer_once(struct ct_transfer *transfer);
/* Notices soon where the other side is gone without a word. */
void ct_transfer_watch_peer(struct ct_transfer *transfer);
/* Longest time for the whole transfer. */
void ct_transfer_timeout(struct ct_transfer *transfer, ct_ms timeout_ms);
/* The handle and headers; cancels it where it still runs. */
void ct_transfer_clear(struct ct_transfer *transfer);

/* Errors: CT_ERR_IO. */
int ct_http_start(struct ct_http *http, struct ct_transfer *transfer);
/* Stops a transfer; none of its functions are called any more. */
void ct_http_cancel(struct ct_http *http, struct ct_transfer *transfer);

#endif
