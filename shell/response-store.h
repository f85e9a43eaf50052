#ifndef CT_RESPONSE_STORE_H
#define CT_RESPONSE_STORE_H

#include <glib.h>

#include "executor.h"
#include "table.h"

/*
 * Stores the bytes of request bodies, by caller, and of responses, by request.
 * The reducer holds only lengths and offsets. It is the executor of
 * CT_EFFECT_FREE_RESPONSE; add it to the loop before the executors that use
 * it.
 */

struct ct_response_store;

#define CT_MEDIA_TYPE_MAX 64
#define CT_METHOD_MAX 12

/*
 * A request's body and the other parts of the request that an attempt sends;
 * made with g_rc_box_new0().
 */
struct ct_stored_call {
    char method[CT_METHOD_MAX];
    char media_type[CT_MEDIA_TYPE_MAX];
    /* As sent by the caller; empty if none was. */
    struct ct_request_id idempotency_key;
    /* The part of the target after "?", or NULL. */
    char *query;
    GBytes *bytes;
};

void ct_stored_call_unref(struct ct_stored_call *body);

struct ct_response_store *ct_response_store_new(void);
struct ct_executor *
ct_response_store_executor(struct ct_response_store *store);

/* Takes ownership of the body of a caller's request. */
void ct_response_store_put_body(struct ct_response_store *store,
                                uint64_t caller, struct ct_stored_call *body);
/* Frees the body unless it was bound to a request. */
void ct_response_store_drop_body(struct ct_response_store *store,
                                 uint64_t caller);

/*
 * Binds the caller's body to the request, which holds it until
 * CT_EFFECT_FREE_RESPONSE. Returns the body, borrowed, or NULL if there is
 * none.
 */
struct ct_stored_call *
ct_response_store_bind_body(struct ct_response_store *store,
                            struct ct_handle request, uint64_t caller);

/*
 * Makes the attempt the writer of the response and truncates the response at
 * offset. Errors: CT_ERR_EXISTS while another attempt is the writer,
 * CT_ERR_INVALID if the response ends before offset, CT_ERR_NOT_FOUND for an
 * unknown request.
 */
int ct_response_store_begin_write(struct ct_response_store *store,
                                  struct ct_handle request,
                                  struct ct_handle attempt, uint64_t offset);
/* Errors: CT_ERR_EXISTS if the attempt is not the writer, CT_ERR_TOO_LARGE. */
int ct_response_store_append(struct ct_response_store *store,
                             struct ct_handle request,
                             struct ct_handle attempt, const void *data,
                             uint32_t n);
/* Ends the attempt's role as writer; does nothing if it is not the writer. */
void ct_response_store_end_write(struct ct_response_store *store,
                                 struct ct_handle request,
                                 struct ct_handle attempt);

/* Sets the media type of the response; it is "" until set. */
void ct_response_store_set_media_type(struct ct_response_store *store,
                                      struct ct_handle request,
                                      const char *media_type);

/*
 * Returns a reader, which keeps the bytes alive after CT_EFFECT_FREE_RESPONSE,
 * or CT_NO_HANDLE for an unknown request.
 */
struct ct_handle ct_response_store_open_reader(struct ct_response_store *store,
                                               struct ct_handle request);
void ct_response_store_close_reader(struct ct_response_store *store,
                                    struct ct_handle reader);
/* Copies up to max bytes from offset on; returns the number copied. */
uint32_t ct_response_store_read(const struct ct_response_store *store,
                                struct ct_handle reader, uint64_t offset,
                                void *out, uint32_t max);
const char *ct_response_store_media_type(const struct ct_response_store *store,
                                         struct ct_handle reader);

/* Number of bodies and responses stored, for tests and operators. */
uint32_t ct_response_store_count(const struct ct_response_store *store);

#endif
