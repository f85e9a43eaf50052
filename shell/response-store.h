#ifndef CT_RESPONSE_STORE_H
#define CT_RESPONSE_STORE_H

#include <glib.h>

#include "executor.h"
#include "table.h"

/*
 * The bytes of bodies: of requests by caller, and of answers by request. The
 * reducer knows only lengths and offsets. It is the executor of
 * CT_EFFECT_FREE_RESPONSE; add it to the loop before those that use it.
 */

struct ct_response_store;

#define CT_MEDIA_TYPE_MAX 64
#define CT_METHOD_MAX 12

/* What is passed on of a caller's request; made with g_rc_box_new0(). */
struct ct_stored_call {
    char method[CT_METHOD_MAX];
    char media_type[CT_MEDIA_TYPE_MAX];
    /* As the caller gave it; empty for none. */
    struct ct_request_id idempotency_key;
    /* The part of the target after "?", NULL for none. */
    char *query;
    GBytes *bytes;
};

void ct_stored_call_unref(struct ct_stored_call *body);

struct ct_response_store *ct_response_store_new(void);
struct ct_executor *
ct_response_store_executor(struct ct_response_store *answers);

/* Takes over the body of a caller's request, until it is dropped. */
void ct_response_store_put_body(struct ct_response_store *answers,
                                uint64_t caller, struct ct_stored_call *body);
/* Forgets the body unless a request was bound to it. */
void ct_response_store_drop_body(struct ct_response_store *answers,
                                 uint64_t caller);

/*
 * Binds the caller's body to the request, which keeps it until
 * CT_EFFECT_FREE_RESPONSE. Returns it, borrowed, or NULL where there is none.
 */
struct ct_stored_call *
ct_response_store_body(struct ct_response_store *answers,
                       struct ct_handle request, uint64_t caller);

/*
 * Makes the attempt the writer of the answer, from offset on; what was
 * stored after it is cut off.
 * Errors: CT_ERR_EXISTS while another attempt writes, CT_ERR_INVALID where
 * the answer ends before offset, CT_ERR_NOT_FOUND for an unknown request.
 */
int ct_response_store_begin(struct ct_response_store *answers,
                            struct ct_handle request, struct ct_handle attempt,
                            uint64_t offset);
/* Errors: CT_ERR_EXISTS where the attempt is not the writer. */
int ct_response_store_append(struct ct_response_store *answers,
                             struct ct_handle request,
                             struct ct_handle attempt, const void *data,
                             uint32_t n);
/* The attempt writes no more; does nothing where it is not the writer. */
void ct_response_store_end(struct ct_response_store *answers,
                           struct ct_handle request, struct ct_handle attempt);

/* The media type that the answer was given with, "" when not known. */
void ct_response_store_set_type(struct ct_response_store *answers,
                                struct ct_handle request, const char *type);

/*
 * A reader keeps the bytes alive after CT_EFFECT_FREE_RESPONSE. Returns
 * CT_NO_HANDLE for an unknown request.
 */
struct ct_handle ct_response_store_open(struct ct_response_store *answers,
                                        struct ct_handle request);
void ct_response_store_close(struct ct_response_store *answers,
                             struct ct_handle reader);
/* Copies up to max bytes from offset on; returns how many. */
uint32_t ct_response_store_read(const struct ct_response_store *answers,
                                struct ct_handle reader, uint64_t offset,
                                void *out, uint32_t max);
const char *ct_response_store_type(const struct ct_response_store *answers,
                                   struct ct_handle reader);

/* Bodies and answers held now, for tests and the operators' port. */
uint32_t ct_response_store_count(const struct ct_response_store *answers);

#endif
