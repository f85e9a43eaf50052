#include "response-store.h"

#include <string.h>

#include "error.h"

struct response {
    /* Key of by_request: the request's handle packed into one number. */
    gint64 key;
    struct ct_stored_call *body;
    GByteArray *bytes;
    /* The attempt that may append, or CT_NO_HANDLE. */
    struct ct_handle writer;
    char media_type[CT_MEDIA_TYPE_MAX];
    struct ct_handle handle;
};

struct ct_response_store {
    struct ct_executor executor;
    struct ct_table table;
    /* Maps the request's handle to struct response. */
    GHashTable *by_request;
    /* Maps the caller's number to struct ct_stored_call. */
    GHashTable *bodies;
};

static void
clear_body(void *box)
{
    struct ct_stored_call *body = box;

    g_free(body->query);
    if (body->bytes != NULL) {
        g_bytes_unref(body->bytes);
    }
}

void
ct_stored_call_unref(struct ct_stored_call *body)
{
    g_rc_box_release_full(body, clear_body);
}

static gint64
pack_handle(struct ct_handle handle)
{
    return (gint64)((guint64)handle.generation << 32 | handle.index);
}

static struct response *
find_response(const struct ct_response_store *store, struct ct_handle request)
{
    gint64 key = pack_handle(request);

    return g_hash_table_lookup(store->by_request, &key);
}

static void
clear_response(void *row)
{
    struct response *response = row;

    if (response->body != NULL) {
        ct_stored_call_unref(response->body);
    }
    if (response->bytes != NULL) {
        g_byte_array_unref(response->bytes);
    }
}

static void
free_response(struct ct_response_store *store, struct ct_handle request)
{
    struct response *response = find_response(store, request);

    if (response == NULL) {
        return;
    }
    g_hash_table_remove(store->by_request, &response->key);
    ct_table_unref(&store->table, response->handle);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    if (effect->type != CT_EFFECT_FREE_RESPONSE) {
        return false;
    }
    free_response((struct ct_response_store *)executor, effect->u.request);
    return true;
}

static void
free_store(struct ct_executor *executor)
{
    struct ct_response_store *store = (struct ct_response_store *)executor;

    g_hash_table_destroy(store->by_request);
    g_hash_table_destroy(store->bodies);
    ct_table_free(&store->table);
    g_free(store);
}

struct ct_response_store *
ct_response_store_new(void)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_store,
    };
    struct ct_response_store *store = g_new0(struct ct_response_store, 1);

    store->executor.ops = &ops;
    ct_table_init(&store->table, sizeof(struct response), 0, clear_response);
    store->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
    store->bodies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)ct_stored_call_unref);
    return store;
}

struct ct_executor *
ct_response_store_executor(struct ct_response_store *store)
{
    return &store->executor;
}

void
ct_response_store_put_body(struct ct_response_store *store, uint64_t caller,
                           struct ct_stored_call *body)
{
    g_hash_table_replace(store->bodies, g_memdup2(&caller, sizeof(caller)),
                         body);
}

void
ct_response_store_drop_body(struct ct_response_store *store, uint64_t caller)
{
    g_hash_table_remove(store->bodies, &caller);
}

/* Returns the request's row, adding it if missing. NULL if out of memory. */
static struct response *
get_or_add_response(struct ct_response_store *store, struct ct_handle request)
{
    struct response *response = find_response(store, request);
    struct ct_handle handle;

    if (response != NULL) {
        return response;
    }
    if (ct_table_add(&store->table, &handle) < 0) {
        return NULL;
    }
    response = ct_table_get(&store->table, handle);
    response->handle = handle;
    response->key = pack_handle(request);
    g_hash_table_insert(store->by_request, &response->key, response);
    return response;
}

struct ct_stored_call *
ct_response_store_bind_body(struct ct_response_store *store,
                            struct ct_handle request, uint64_t caller)
{
    struct response *response = get_or_add_response(store, request);
    struct ct_stored_call *body;

    if (response == NULL || response->body != NULL) {
        return response != NULL ? response->body : NULL;
    }
    body = g_hash_table_lookup(store->bodies, &caller);
    if (body != NULL) {
        response->body = g_rc_box_acquire(body);
    }
    return body;
}

int
ct_response_store_begin_write(struct ct_response_store *store,
                              struct ct_handle request,
                              struct ct_handle attempt, uint64_t offset)
{
    struct response *response = find_response(store, request);

    if (response == NULL) {
        return CT_ERR_NOT_FOUND;
    }
    if (!ct_handle_is_none(response->writer) &&
        !ct_handle_eq(response->writer, attempt)) {
        return CT_ERR_EXISTS;
    }
    if (response->bytes == NULL) {
        response->bytes = g_byte_array_new();
    }
    if (offset > response->bytes->len) {
        return CT_ERR_INVALID;
    }
    g_byte_array_set_size(response->bytes, (guint)offset);
    response->writer = attempt;
    return CT_OK;
}

int
ct_response_store_append(struct ct_response_store *store,
                         struct ct_handle request, struct ct_handle attempt,
                         const void *data, uint32_t n)
{
    struct response *response = find_response(store, request);

    if (response == NULL || !ct_handle_eq(response->writer, attempt)) {
        return CT_ERR_EXISTS;
    }
    if (n > G_MAXUINT / 2 - response->bytes->len) {
        return CT_ERR_TOO_LARGE;
    }
    g_byte_array_append(response->bytes, data, n);
    return CT_OK;
}

void
ct_response_store_end_write(struct ct_response_store *store,
                            struct ct_handle request, struct ct_handle attempt)
{
    struct response *response = find_response(store, request);

    if (response != NULL && ct_handle_eq(response->writer, attempt)) {
        response->writer = CT_NO_HANDLE;
    }
}

void
ct_response_store_set_media_type(struct ct_response_store *store,
                                 struct ct_handle request,
                                 const char *media_type)
{
    struct response *response = find_response(store, request);

    if (response != NULL) {
        ct_text_set(response->media_type, sizeof(response->media_type),
                    media_type);
    }
}

struct ct_handle
ct_response_store_open_reader(struct ct_response_store *store,
                              struct ct_handle request)
{
    struct response *response = find_response(store, request);

    if (response == NULL) {
        return CT_NO_HANDLE;
    }
    ct_table_ref(&store->table, response->handle);
    return response->handle;
}

void
ct_response_store_close_reader(struct ct_response_store *store,
                               struct ct_handle reader)
{
    ct_table_unref(&store->table, reader);
}

uint32_t
ct_response_store_read(const struct ct_response_store *store,
                       struct ct_handle reader, uint64_t offset, void *out,
                       uint32_t max)
{
    const struct response *response = ct_table_get(&store->table, reader);
    uint64_t n;

    if (response == NULL || response->bytes == NULL ||
        offset >= response->bytes->len) {
        return 0;
    }
    n = MIN(response->bytes->len - offset, max);
    memcpy(out, response->bytes->data + offset, n);
    return (uint32_t)n;
}

const char *
ct_response_store_media_type(const struct ct_response_store *store,
                             struct ct_handle reader)
{
    const struct response *response = ct_table_get(&store->table, reader);

    return response != NULL ? response->media_type : "";
}

uint32_t
ct_response_store_count(const struct ct_response_store *store)
{
    return store->table.live + g_hash_table_size(store->bodies);
}
