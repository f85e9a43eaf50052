#include "answer.h"

#include "request.h"
#include "state.h"

static void
refuse(struct ct_state *state, const struct ct_answer_ask *ask,
       enum ct_refusal reason)
{
    state->counters.refusals[reason]++;
    ct_emit_refusal(state, ask->caller, &ask->request_id, reason,
                    CT_MAY_HAVE_RUN, 0);
}

/* Whether the key may see the answer: one of the request's organisation. */
static bool
may_see(const struct ct_state *state, const struct ct_answer_ask *ask,
        const struct ct_request *request)
{
    struct ct_handle handle = ct_keys_find(&state->keys, &ask->key);
    const struct ct_key_row *key = ct_table_get(&state->keys.rows, handle);
    struct ct_handle organisation;

    if (!ask->has_key || !ct_keys_usable(&state->keys, handle)) {
        return false;
    }
    organisation =
        ct_config_organisation(&state->config, &key->key.organisation);
    return ct_handle_eq(organisation, request->organisation);
}

void
ct_answer_on_asked(struct ct_state *state, const struct ct_answer_ask *ask)
{
    struct ct_handle handle = ct_request_find(state, &ask->request_id);
    struct ct_request *request = ct_request_get(state, handle);

    if (!request || !may_see(state, ask, request) ||
        ask->offset > request->answer_bytes) {
        refuse(state, ask, CT_REFUSAL_ANSWER_UNKNOWN);
        return;
    }
    ct_request_attach(state, handle, ask->caller, ask->offset);
}

void
ct_answer_on_kept_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    if (request && request->state == CT_REQUEST_KEPT &&
        request->finished_ms + CT_ANSWER_KEPT_MS <= state->now_ms) {
        ct_request_drop(state, handle);
    }
}
