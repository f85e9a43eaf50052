#include <string.h>

#include "lib-world-parts.h"

/* Counts a run: the upstream has received a byte of the request. */
static void
record_run(struct world *w, const struct run *run)
{
    const struct call *call =
        world_find_call(w, run->host, run->effect.caller);

    w->stats->runs++;
    g_hash_table_insert(
        w->runs_of_request, g_strdup(run->effect.request_id.text),
        GUINT_TO_POINTER(world_runs_of(w, &run->effect.request_id) + 1));
    if (call->idempotency_key) {
        /* A request that is not idempotent runs at most once. */
        g_assert_cmpuint(++w->runs_of_key[call->idempotency_key], ==, 1);
    }
}

static void
post_attempt(struct world *w, const struct run *run, enum ct_event_type type,
             struct ct_attempt_event attempt)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = type;
    event.u.attempt = attempt;
    event.u.attempt.attempt = run->effect.attempt;
    world_post(w, run->host, &event);
}

static void
end_run(struct world *w, guint i, enum ct_outcome outcome)
{
    struct run run = g_array_index(w->runs, struct run, i);

    g_array_remove_index(w->runs, i);
    post_attempt(w, &run, CT_EVENT_ATTEMPT_DONE,
                 (struct ct_attempt_event){.outcome = outcome});
}

void
world_step_run(struct world *w, bool no_faults)
{
    static const enum ct_outcome failures[] = {
        CT_OUTCOME_FAILED,
        CT_OUTCOME_CONNECTION_LOST,
        CT_OUTCOME_GAP_TIMEOUT,
        CT_OUTCOME_MISMATCH,
    };
    struct run *run;
    guint i;

    if (w->runs->len == 0) {
        return;
    }
    i = world_pick(w, w->runs->len);
    run = &g_array_index(w->runs, struct run, i);
    if (run->incarnation != w->incarnation[run->host] || run->cancelled) {
        /* A cancelled attempt may still deliver data. */
        if (run->incarnation == w->incarnation[run->host] &&
            world_pick(w, 2)) {
            post_attempt(w, run, CT_EVENT_ATTEMPT_DATA,
                         (struct ct_attempt_event){.bytes = PART_BYTES});
            return;
        }
        g_array_remove_index(w->runs, i);
        return;
    }
    if (!run->sent) {
        if (!no_faults && world_pick(w, 6) == 0) {
            end_run(w, i,
                    world_pick(w, 2) ? CT_OUTCOME_NOT_SENT
                                     : CT_OUTCOME_EXPIRED);
            return;
        }
        run->sent = true;
        post_attempt(w, run, CT_EVENT_ATTEMPT_SENT,
                     (struct ct_attempt_event){.tokens = 0});
        if (!no_faults && world_pick(w, 6) == 0) {
            end_run(w, i, CT_OUTCOME_DECLINED);
            return;
        }
        run = &g_array_index(w->runs, struct run, i);
        record_run(w, run);
        post_attempt(w, run, CT_EVENT_ATTEMPT_HEAD,
                     (struct ct_attempt_event){.status = 200});
        return;
    }
    if (!no_faults && world_pick(w, 6) == 0) {
        end_run(w, i, failures[world_pick(w, G_N_ELEMENTS(failures))]);
        return;
    }
    if (!no_faults && world_pick(w, 8) == 0) {
        /* A part arrives twice, or one is missing. */
        post_attempt(w, run, CT_EVENT_ATTEMPT_DATA,
                     (struct ct_attempt_event){
                         .offset = run->offset && world_pick(w, 2)
                                       ? 0
                                       : run->offset + PART_BYTES,
                         .bytes = PART_BYTES,
                     });
        return;
    }
    if (run->offset < RESPONSE_PARTS * PART_BYTES) {
        struct ct_attempt_event event = {
            .offset = run->offset, .bytes = PART_BYTES, .tokens = 1};

        run->offset += PART_BYTES;
        post_attempt(w, run, CT_EVENT_ATTEMPT_DATA, event);
        return;
    }
    end_run(w, i, CT_OUTCOME_COMPLETE);
}
