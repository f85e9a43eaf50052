#include "response-store.h"

#include <string.h>

#include "error.h"

struct answer {
    /* The request's handle in one number: key of the index. */
    gint64 key;
    struct ct_stored_call *body;
    GByteArray *bytes;
    /* The attempt that may append, if any. */
    struct ct_handle writer;
    char type[CT_MEDIA_TYPE_MAX];
    struct ct_handle handle;
};

struct ct_response_store {
    struct ct_executor executor;
    struct ct_table table;
    /* From the request's handle to struct answer. */
    GHashTable *by_request;
    /* From the caller's number to struct ct_stored_call. */
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
pack(struct ct_handle handle)
{
    return (gint64)((guint64)handle.generation << 32 | handle.index);
}

static struct answer *
find(const struct ct_response_store *answers, struct ct_handle request)
{
    gint64 key = pack(request);

    return g_hash_table_lookup(answers->by_request, &key);
}

static void
clear_answer(void *row)
{
    struct answer *answer = row;

    if (answer->body != NULL) {
        ct_stored_call_unref(answer->body);
    }
    if (answer->bytes != NULL) {
        g_byte_array_unref(answer->bytes);
    }
}

static void
drop(struct ct_response_store *answers, struct ct_handle request)
{
    struct answer *answer = find(answers, request);

    if (answer == NULL) {
        return;
    }
    g_hash_table_remove(answers->by_request, &answer->key);
    ct_table_unref(&answers->table, answer->handle);
}

static bool
run(struct ct_executor *executor, const struct ct_effect *effect)
{
    if (effect->type != CT_EFFECT_FREE_RESPONSE) {
        return false;
    }
    drop((struct ct_response_store *)executor, effect->u.request);
    return true;
}

static void
free_answers(struct ct_executor *executor)
{
    struct ct_response_store *answers = (struct ct_response_store *)executor;

    g_hash_table_destroy(answers->by_request);
    g_hash_table_destroy(answers->bodies);
    ct_table_free(&answers->table);
    g_free(answers);
}

struct ct_response_store *
ct_response_store_new(void)
{
    static const struct ct_executor_ops ops = {
        .run = run,
        .free = free_answers,
    };
    struct ct_response_store *answers = g_new0(struct ct_response_store, 1);

    answers->executor.ops = &ops;
    ct_table_init(&answers->table, sizeof(struct answer), 0, clear_answer);
    answers->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
    answers->bodies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)ct_stored_call_unref);
    return answers;
}

struct ct_executor *
ct_response_store_executor(struct ct_response_store *answers)
{
    return &answers->executor;
}

void
ct_response_store_put_body(struct ct_response_store *answers, uint64_t caller,
                           struct ct_stored_call *body)
{
    g_hash_table_replace(answers->bodies, g_memdup2(&caller, sizeof(caller)),
                         body);
}

void
ct_response_store_drop_body(struct ct_response_store *answers, uint64_t caller)
{
    g_hash_table_remove(answers->bodies, &caller);
}

/* Returns the row of the request, a new one if need be; NULL: no memory. */
static struct answer *
ensure(struct ct_response_store *answers, struct ct_handle request)
{
    struct answer *answer = find(answers, request);
    struct ct_handle handle;

    if (answer != NULL) {
        return answer;
    }
    if (ct_table_add(&answers->table, &handle) < 0) {
        return NULL;
    }
    answer = ct_table_get(&answers->table, handle);
    answer->handle = handle;
    answer->key = pack(request);
    g_hash_table_insert(answers->by_request, &answer->key, answer);
    return answer;
}

struct ct_stored_call *
ct_response_store_body(struct ct_response_store *answers,
                       struct ct_handle request, uint64_t caller)
{
    struct answer *answer = ensure(answers, request);
    struct ct_stored_call *body;

    if (answer == NULL || answer->body != NULL) {
        return answer != NULL ? answer->body : NULL;
    }
    body = g_hash_table_lookup(answers->bodies, &caller);
    if (body != NULL) {
        answer->body = g_rc_box_acquire(body);
    }
    return body;
}

int
ct_response_store_begin(struct ct_response_store *answers,
                        struct ct_handle request, struct ct_handle attempt,
                        uint64_t offset)
{
    struct answer *answer = find(answers, request);

    if (answer == NULL) {
        return CT_ERR_NOT_FOUND;
    }
    if (!ct_handle_is_none(answer->writer) &&
        !ct_handle_eq(answer->writer, attempt)) {
        return CT_ERR_EXISTS;
    }
    if (answer->bytes == NULL) {
        answer->bytes = g_byte_array_new();
    }
    if (offset > answer->bytes->len) {
        return CT_ERR_INVALID;
    }
    g_byte_array_set_size(answer->bytes, (guint)offset);
    answer->writer = attempt;
    return CT_OK;
}

int
ct_response_store_append(struct ct_response_store *answers,
                         struct ct_handle request, struct ct_handle attempt,
                         const void *data, uint32_t n)
{
    struct answer *answer = find(answers, request);

    if (answer == NULL || !ct_handle_eq(answer->writer, attempt)) {
        return CT_ERR_EXISTS;
    }
    if (n > G_MAXUINT / 2 - answer->bytes->len) {
        return CT_ERR_TOO_LARGE;
    }
    g_byte_array_append(answer->bytes, data, n);
    return CT_OK;
}

void
ct_response_store_end(struct ct_response_store *answers,
                      struct ct_handle request, struct ct_handle attempt)
{
    struct answer *answer = find(answers, request);

    if (answer != NULL && ct_handle_eq(answer->writer, attempt)) {
        answer->writer = CT_NO_HANDLE;
    }
}

void
ct_response_store_set_type(struct ct_response_store *answers,
                           struct ct_handle request, const char *type)
{
    struct answer *answer = find(answers, request);

    if (answer != NULL) {
        ct_text_set(answer->type, sizeof(answer->type), type);
    }
}

struct ct_handle
ct_response_store_open(struct ct_response_store *answers,
                       struct ct_handle request)
{
    struct answer *answer = find(answers, request);

    if (answer == NULL) {
        return CT_NO_HANDLE;
    }
    ct_table_ref(&answers->table, answer->handle);
    return answer->handle;
}

void
ct_response_store_close(struct ct_response_store *answers,
                        struct ct_handle reader)
{
    ct_table_unref(&answers->table, reader);
}

uint32_t
ct_response_store_read(const struct ct_response_store *answers,
                       struct ct_handle reader, uint64_t offset, void *out,
                       uint32_t max)
{
    const struct answer *answer = ct_table_get(&answers->table, reader);
    uint64_t n;

    if (answer == NULL || answer->bytes == NULL ||
        offset >= answer->bytes->len) {
        return 0;
    }
    n = MIN(answer->bytes->len - offset, max);
    memcpy(out, answer->bytes->data + offset, n);
    return (uint32_t)n;
}

const char *
ct_response_store_type(const struct ct_response_store *answers,
                       struct ct_handle reader)
{
    const struct answer *answer = ct_table_get(&answers->table, reader);

    return answer != NULL ? answer->type : "";
}

uint32_t
ct_response_store_count(const struct ct_response_store *answers)
{
    return answers->table.live + g_hash_table_size(answers->bodies);
}
