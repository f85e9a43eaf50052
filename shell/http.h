#ifndef CT_HTTP_H
#define CT_HTTP_H

#include <stddef.h>
#include <curl/curl.h>

#include "loop.h"

/*
 * HTTP client: a libcurl multi handle driven by the loop. Each kind of
 * transfer handles its response through its vtable. A response is bounded
 * whatever the server sends: its head and trailers, its body, and bytes that
 * libcurl consumes without passing any on.
 */

struct ct_http;
struct ct_transfer;

struct ct_transfer_ops {
    /*
     * Called when the connection is established and nothing was written yet. A
     * negative error stops the transfer before any byte is sent. May be NULL.
     */
    int (*before_send)(struct ct_transfer *transfer);
    /*
     * Receives a header line or the status line, with its CRLF. May be NULL.
     */
    int (*header)(struct ct_transfer *transfer, const char *line, size_t n);
    /*
     * Whether data() may be called now; otherwise the transfer is paused until
     * ct_http_continue(), and the server finds its connection unread. NULL:
     * always.
     */
    bool (*takes_data)(const struct ct_transfer *transfer);
    /* Receives a part of the body; a negative error stops the transfer. */
    int (*data)(struct ct_transfer *transfer, const char *data, size_t n);
    /*
     * Called once after data() was called, however often that was, while
     * libcurl ran. May be NULL.
     */
    void (*flush)(struct ct_transfer *transfer);
    /*
     * Called once when the transfer has ended and was removed from the multi
     * handle, but not after ct_http_cancel(). Frees the transfer.
     */
    void (*done)(struct ct_transfer *transfer, CURLcode result);
};

/* First member of each kind of transfer. */
struct ct_transfer {
    const struct ct_transfer_ops *ops;
    struct ct_http *http;
    CURL *easy;
    struct curl_slist *headers;
    /* Added to the multi handle. */
    bool running;
    /* Bytes received of heads, interim ones included, and trailers. */
    size_t head_bytes;
    /* The last head began with the status of an interim response. */
    bool interim;
    /* The head of the response, not of an interim one, was received whole. */
    bool head_complete;
    size_t body_bytes;
    size_t body_max_bytes;
    /* The socket that libcurl uses, or CURL_SOCKET_BAD. */
    curl_socket_t fd;
    /* The run of libcurl that passed body bytes last, and how many. */
    unsigned run;
    size_t run_bytes;
    /* takes_data() returned false; held until ct_http_continue(). */
    bool held;
    /* Part of the response was received since libcurl last ran. */
    bool received;
    /* Times that libcurl ran since a part of the response was received. */
    unsigned idle_runs;
    /* Bytes received on the connection by the first check of idle runs. */
    uint64_t idle_from_bytes;
};

struct ct_http *ct_http_new(struct ct_loop *loop);
/*
 * Performs no effects, but must be freed after the executors that send
 * requests: add it to the loop before them.
 */
struct ct_executor *ct_http_executor(struct ct_http *http);

/*
 * Prepares a request for "http://address/path"; sends nothing. The method is
 * GET unless a body is set. Errors: CT_ERR_NO_MEMORY.
 */
int ct_transfer_init(struct ct_transfer *transfer, struct ct_http *http,
                     const struct ct_transfer_ops *ops, const char *address,
                     const char *path);
int ct_transfer_add_header(struct ct_transfer *transfer, const char *name,
                           const char *value);
/* Adds a complete header line, in libcurl's form. Errors: CT_ERR_NO_MEMORY. */
int ct_transfer_add_header_line(struct ct_transfer *transfer,
                                const char *line);
/* Sets the method POST and the body, borrowed until ct_transfer_clear(). */
void ct_transfer_set_body(struct ct_transfer *transfer, const void *body,
                          size_t n);
/*
 * Sets the method, copied, and the body, borrowed until ct_transfer_clear().
 * HEAD is sent without a body.
 */
void ct_transfer_set_request(struct ct_transfer *transfer, const char *method,
                             const void *body, size_t n);
/*
 * Allows a connection that served an earlier transfer, and keeps it for a
 * later one; by default each transfer has its own. A copy of an earlier
 * response may arrive in place of this one, so only for transfers that
 * recognise their response by an id, and that may be sent twice: libcurl
 * resends a request on a reused connection that turns out to be closed.
 */
void ct_transfer_share_connection(struct ct_transfer *transfer);
/* Detects soon that the peer stopped responding without closing. */
void ct_transfer_enable_keepalive(struct ct_transfer *transfer);
/* A longer body fails the transfer; the default is 16 MiB. */
void ct_transfer_set_body_limit(struct ct_transfer *transfer,
                                size_t max_bytes);
/* Limits the duration of the entire transfer. */
void ct_transfer_set_timeout(struct ct_transfer *transfer, ct_ms timeout_ms);
/* Frees the handle and headers; cancels the transfer if it is running. */
void ct_transfer_clear(struct ct_transfer *transfer);

/* Errors: CT_ERR_IO. */
int ct_http_start(struct ct_http *http, struct ct_transfer *transfer);
/* Resumes a transfer that is paused because takes_data() returned false. */
void ct_http_continue(struct ct_transfer *transfer);
/* Stops a transfer; none of its functions are called afterwards. */
void ct_http_cancel(struct ct_http *http, struct ct_transfer *transfer);

#endif
