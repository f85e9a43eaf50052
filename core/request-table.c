#include "request-table.h"

#include <string.h>

#include "index.h"
#include "state.h"

void
ct_requests_init(struct ct_requests *requests)
{
    memset(requests, 0, sizeof(*requests));
    ct_table_init(&requests->rows, sizeof(struct ct_request), CT_REQUESTS_MAX,
                  NULL);
    ct_table_init(&requests->attempts, sizeof(struct ct_attempt), 0, NULL);
    requests->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
    requests->by_id = ct_index_new_by_text();
}

void
ct_requests_free(struct ct_requests *requests)
{
    g_hash_table_destroy(requests->by_caller);
    g_hash_table_destroy(requests->by_id);
    g_queue_clear(&requests->retained);
    ct_table_free(&requests->attempts);
    ct_table_free(&requests->rows);
}

struct ct_request *
ct_request_get(const struct ct_state *state, struct ct_handle handle)
{
    return ct_table_get(&state->requests.rows, handle);
}

struct ct_handle
ct_request_find(const struct ct_state *state, const struct ct_request_id *id)
{
    return ct_index_get(state->requests.by_id, id->text);
}
