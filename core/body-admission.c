#include "body-admission.h"

#include <string.h>

#include "error.h"
#include "index.h"
#include "limited-log.h"
#include "state.h"

/* Rows are checked this often while there are any. */
#define CHECK_MS 250
/*
 * First grant. libmicrohttpd buffers about as much of a connection, so the
 * grant only adds the copy.
 */
#define FIRST_GRANT_BYTES (16 * 1024)
/* A body in chunks, whose size is not known, is granted this multiple. */
#define CHUNKED_GROWTH 8
/* Incomplete bodies get three quarters of the budget, other calls the rest. */
#define SHARE_DIVISOR 4
/* Part of that share that only first grants use, so that small bodies pass. */
#define FIRST_DIVISOR 16
/*
 * A body that received less than this within STALL_MS may be refused while
 * others wait: 16 KB/s is an eightieth of a link of 10 Mbit/s.
 */
#define PROGRESS_STEP_BYTES (16 * 1024)
#define STALL_MS 1000
/* Delay after which a refused caller may try again. */
#define RETRY_AFTER_MS 1000

void
ct_bodies_init(struct ct_bodies *bodies)
{
    memset(bodies, 0, sizeof(*bodies));
    ct_table_init(&bodies->rows, sizeof(struct ct_body), 0, NULL);
    bodies->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
    bodies->granted_by_organisation =
        g_array_new(FALSE, TRUE, sizeof(uint64_t));
}

void
ct_bodies_free(struct ct_bodies *bodies)
{
    g_array_free(bodies->granted_by_organisation, TRUE);
    g_hash_table_destroy(bodies->by_caller);
    ct_table_free(&bodies->rows);
}

void
ct_bodies_set_head_timeout(struct ct_state *state, ct_ms head_timeout_ms)
{
    state->bodies.head_timeout_ms = head_timeout_ms;
}

static guint
organisation_index(const struct ct_body *body)
{
    return ct_handle_is_none(body->organisation)
               ? 0
               : body->organisation.index + 1;
}

/* Returns what all bodies of the same organisation were granted. */
static uint64_t
organisation_sum(const struct ct_bodies *bodies, const struct ct_body *body)
{
    const GArray *sums = bodies->granted_by_organisation;
    guint i = organisation_index(body);

    return i < sums->len ? g_array_index(sums, uint64_t, i) : 0;
}

static void
set_granted(struct ct_bodies *bodies, struct ct_body *body, uint32_t bytes)
{
    GArray *sums = bodies->granted_by_organisation;
    guint i = organisation_index(body);

    if (i >= sums->len) {
        g_array_set_size(sums, i + 1);
    }
    g_array_index(sums, uint64_t, i) += (uint64_t)bytes - body->granted_bytes;
    bodies->granted_bytes += (uint64_t)bytes - body->granted_bytes;
    body->granted_bytes = bytes;
}

static void
stop_waiting(struct ct_bodies *bodies, struct ct_body *body)
{
    if (body->wanted_bytes > 0) {
        body->wanted_bytes = 0;
        bodies->waiting--;
    }
}

static void
remove_body(struct ct_bodies *bodies, struct ct_handle handle,
            struct ct_body *body)
{
    stop_waiting(bodies, body);
    set_granted(bodies, body, 0);
    g_hash_table_remove(bodies->by_caller, &body->caller);
    ct_table_unref(&bodies->rows, handle);
}

/* Refuses the call, of which no upstream has received anything. */
static void
refuse_body(struct ct_state *state, struct ct_handle handle,
            enum ct_refusal reason, enum ct_log_event event)
{
    struct ct_body *body = ct_table_get(&state->bodies.rows, handle);

    ct_increment_counter(state, CT_COUNTER_CALLS);
    state->counters.refusals[reason]++;
    ct_limited_log(state, event, ct_refusal_text(reason));
    ct_emit_refusal(state, body->caller, &body->request_id, reason, CT_NOT_RUN,
                    RETRY_AFTER_MS);
    ct_memory_budget_remove(&state->relays.budget, body->caller);
    remove_body(&state->bodies, handle, body);
}

/*
 * Whether the body may get the grant that it wants, once so many bytes of
 * other bodies are freed. One body alone may always have it, whatever the
 * configured sizes are.
 */
static bool
fits(const struct ct_state *state, const struct ct_body *body,
     uint64_t freed_bytes)
{
    uint64_t limit = ct_memory_budget_limit(&state->self.bounds);
    uint64_t share = limit - limit / SHARE_DIVISOR;
    uint64_t used = state->relays.budget.used_bytes - freed_bytes;
    uint64_t granted = state->bodies.granted_bytes - freed_bytes;
    uint64_t more = body->wanted_bytes - body->granted_bytes;

    if (granted == body->granted_bytes) {
        return used + more <= limit || used == body->granted_bytes;
    }
    if (body->granted_bytes > 0) {
        share -= share / FIRST_DIVISOR;
    }
    return granted + more <= share && used + more <= limit;
}

/* Whether the first body is granted before the second one. */
static bool
precedes(const struct ct_bodies *bodies, const struct ct_body *first,
         const struct ct_body *second)
{
    uint64_t first_sum = organisation_sum(bodies, first);
    uint64_t second_sum = organisation_sum(bodies, second);

    if ((first->granted_bytes == 0) != (second->granted_bytes == 0)) {
        return first->granted_bytes == 0;
    }
    if (first_sum != second_sum) {
        return first_sum < second_sum;
    }
    if (first->rank != second->rank) {
        return first->rank < second->rank;
    }
    return first->waiting_since_ms < second->waiting_since_ms;
}

static struct ct_body *
next_waiting(const struct ct_bodies *bodies)
{
    struct ct_body *next = NULL;
    struct ct_handle handle;
    struct ct_body *body;
    uint32_t cursor = 0;

    if (bodies->waiting == 0) {
        return NULL;
    }
    while ((body = ct_table_next(&bodies->rows, &cursor, &handle))) {
        if (body->wanted_bytes > 0 &&
            (!next || precedes(bodies, body, next))) {
            next = body;
        }
    }
    return next;
}

/* Whether the first body is refused before the second one. */
static bool
is_shed_before(const struct ct_body *first, const struct ct_body *second)
{
    ct_ms first_check = first->progress_ms / CHECK_MS;
    ct_ms second_check = second->progress_ms / CHECK_MS;

    if (first_check != second_check) {
        return first_check < second_check;
    }
    if (first->granted_bytes != second->granted_bytes) {
        return first->granted_bytes > second->granted_bytes;
    }
    return first->rank > second->rank;
}

/* Selects bodies that may be refused for memory. */
struct shed_rule {
    /* Never refused; may be NULL. */
    const struct ct_body *except;
    /* The last progress was not after this time. */
    ct_ms until_ms;
    uint32_t least_bytes;
    /* Also those that wait themselves. */
    bool waiting;
};

static bool
may_shed(const struct shed_rule *rule, const struct ct_body *body)
{
    return body != rule->except && body->progress_ms <= rule->until_ms &&
           body->granted_bytes >= rule->least_bytes &&
           (body->wanted_bytes == 0 || rule->waiting);
}

/* Returns the body to refuse next; sets the bytes of all candidates. */
static struct ct_handle
next_to_shed(const struct ct_bodies *bodies, const struct shed_rule *rule,
             uint64_t *bytes)
{
    struct ct_handle found = CT_NO_HANDLE;
    const struct ct_body *next = NULL;
    const struct ct_body *body;
    struct ct_handle handle;
    uint32_t cursor = 0;

    *bytes = 0;
    while ((body = ct_table_next(&bodies->rows, &cursor, &handle))) {
        if (!may_shed(rule, body)) {
            continue;
        }
        *bytes += body->granted_bytes;
        if (!next || is_shed_before(body, next)) {
            next = body;
            found = handle;
        }
    }
    return found;
}

/* Whether all bodies wait that hold more than a first grant. */
static bool
is_stuck(const struct ct_bodies *bodies)
{
    const struct ct_body *body;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((body = ct_table_next(&bodies->rows, &cursor, &handle))) {
        if (body->granted_bytes > FIRST_GRANT_BYTES &&
            body->wanted_bytes == 0) {
            return false;
        }
    }
    return true;
}

static void
shed_body(struct ct_state *state, struct ct_handle handle)
{
    ct_increment_counter(state, CT_COUNTER_BODIES_SHED);
    refuse_body(state, handle, CT_REFUSAL_BODY_MEMORY, CT_LOG_BODIES_SHED);
}

static void
give_grant(struct ct_state *state, struct ct_body *body)
{
    struct ct_body_grant *grant =
        &ct_emit_effect(state, CT_EFFECT_RELAY_READ_BODY)->u.body_grant;

    set_granted(&state->bodies, body, body->wanted_bytes);
    stop_waiting(&state->bodies, body);
    body->last_byte_ms = body->progress_ms = state->now_ms;
    grant->caller = body->caller;
    grant->bytes = body->granted_bytes;
    if (ct_memory_budget_add(&state->relays.budget, body->caller,
                             body->granted_bytes) < 0) {
        state->out->err = CT_ERR_NO_MEMORY;
    }
}

/*
 * Refuses one body, if the waiting one then fits or can be made to fit.
 * Returns whether one was refused.
 */
static bool
make_room(struct ct_state *state, const struct ct_body *waiting)
{
    struct shed_rule rule = {
        .except = waiting,
        .until_ms = state->now_ms - STALL_MS,
        .least_bytes = 1,
    };
    uint64_t bytes;
    struct ct_handle handle = next_to_shed(&state->bodies, &rule, &bytes);

    if (!fits(state, waiting, bytes) && is_stuck(&state->bodies)) {
        rule.waiting = true;
        rule.least_bytes = FIRST_GRANT_BYTES + 1;
        handle = next_to_shed(&state->bodies, &rule, &bytes);
    }
    if (ct_handle_is_none(handle) || !fits(state, waiting, bytes)) {
        return false;
    }
    shed_body(state, handle);
    return true;
}

void
ct_bodies_grant(struct ct_state *state)
{
    struct ct_body *body;

    while ((body = next_waiting(&state->bodies))) {
        if (fits(state, body, 0)) {
            give_grant(state, body);
        }
        else if (!make_room(state, body)) {
            return;
        }
    }
}

/* Returns the grant that follows the body's present one. */
static uint32_t
next_grant(const struct ct_body *body)
{
    uint64_t bytes = body->size_bytes;

    if (body->granted_bytes == 0) {
        bytes = FIRST_GRANT_BYTES;
    }
    else if (body->chunked) {
        bytes = (uint64_t)body->granted_bytes * CHUNKED_GROWTH;
    }
    return (uint32_t)MIN(bytes, body->size_bytes);
}

static void
request_grant(struct ct_state *state, struct ct_body *body)
{
    struct ct_handle handle =
        ct_index_get(state->bodies.by_caller, &body->caller);

    body->wanted_bytes = next_grant(body);
    body->waiting_since_ms = state->now_ms;
    state->bodies.waiting++;
    ct_bodies_grant(state);
    body = ct_table_get(&state->bodies.rows, handle);
    if (body && body->wanted_bytes > 0) {
        ct_increment_counter(state, CT_COUNTER_BODIES_WAITED);
        ct_limited_log(state, CT_LOG_BODIES_WAITING, NULL);
    }
}

static void
arm_timer(struct ct_state *state)
{
    if (!state->bodies.timer_armed && state->bodies.rows.live > 0) {
        state->bodies.timer_armed = true;
        ct_arm_timer(state, CHECK_MS, CT_TIMER_BODIES, CT_NO_HANDLE);
    }
}

static uint32_t
count_of_peer(const struct ct_bodies *bodies, uint64_t peer)
{
    const struct ct_body *body;
    struct ct_handle handle;
    uint32_t cursor = 0;
    uint32_t n = 0;

    while ((body = ct_table_next(&bodies->rows, &cursor, &handle))) {
        n += body->peer == peer;
    }
    return n;
}

void
ct_bodies_open(struct ct_state *state, const struct ct_relay_call *call,
               struct ct_handle organisation, uint32_t rank)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    struct ct_bodies *bodies = &state->bodies;
    struct ct_handle handle;
    struct ct_body *body;

    if (ct_table_add(&bodies->rows, &handle) < 0) {
        state->out->err = CT_ERR_NO_MEMORY;
        return;
    }
    body = ct_table_get(&bodies->rows, handle);
    body->caller = call->caller;
    body->request_id = call->request_id;
    body->peer = call->peer;
    body->organisation = organisation;
    body->rank = rank;
    body->size_bytes = MAX(call->body_bytes, 1);
    body->chunked = call->body_chunked;
    body->last_byte_ms = body->progress_ms = state->now_ms;
    body->deadline_ms =
        call->timeout_ms > 0 ? state->now_ms + call->timeout_ms : CT_MS_NEVER;
    ct_index_add(bodies->by_caller, &body->caller, handle);
    if (bounds->peer_bodies > 0 && call->peer != 0 &&
        count_of_peer(bodies, call->peer) > bounds->peer_bodies) {
        refuse_body(state, handle, CT_REFUSAL_PEER_LIMIT,
                    CT_LOG_BODIES_OF_PEER);
        return;
    }
    request_grant(state, body);
    arm_timer(state);
}

static struct ct_body *
find_body(const struct ct_bodies *bodies, uint64_t caller)
{
    return ct_table_get(&bodies->rows,
                        ct_index_get(bodies->by_caller, &caller));
}

void
ct_bodies_on_progress(struct ct_state *state,
                      const struct ct_body_progress *progress)
{
    struct ct_body *body = find_body(&state->bodies, progress->caller);

    if (!body) {
        return;
    }
    if (progress->bytes > body->received_bytes) {
        body->received_bytes = progress->bytes;
        body->last_byte_ms = state->now_ms;
    }
    if (body->received_bytes >= body->progress_bytes + PROGRESS_STEP_BYTES) {
        body->progress_bytes = body->received_bytes;
        body->progress_ms = state->now_ms;
    }
    if (progress->blocked && body->wanted_bytes == 0) {
        request_grant(state, body);
    }
}

void
ct_bodies_close(struct ct_state *state, uint64_t caller)
{
    struct ct_bodies *bodies = &state->bodies;
    struct ct_handle handle = ct_index_get(bodies->by_caller, &caller);
    struct ct_body *body = ct_table_get(&bodies->rows, handle);

    if (body) {
        remove_body(bodies, handle, body);
    }
}

void
ct_bodies_shed(struct ct_state *state)
{
    const struct shed_rule rule = {
        .until_ms = state->now_ms,
        .least_bytes = 1,
        .waiting = true,
    };
    const struct ct_memory_budget *budget = &state->relays.budget;
    uint64_t limit = ct_memory_budget_limit(&state->self.bounds);

    while (budget->used_bytes > limit) {
        uint64_t bytes;
        struct ct_handle handle = next_to_shed(&state->bodies, &rule, &bytes);

        if (budget->used_bytes - bytes > limit) {
            return;
        }
        shed_body(state, handle);
    }
}

/* Refuses the call if its body takes too long. */
static void
check_body(struct ct_state *state, struct ct_handle handle,
           const struct ct_body *body)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    ct_ms idle_ms = MAX(bounds->body_idle_ms, state->bodies.head_timeout_ms);

    if (body->wanted_bytes == 0) {
        if (state->now_ms - body->last_byte_ms >= idle_ms) {
            refuse_body(state, handle, CT_REFUSAL_REQUEST_TIMEOUT,
                        CT_LOG_BODIES_STALLED);
        }
        return;
    }
    if (state->now_ms - body->waiting_since_ms >= bounds->body_wait_ms ||
        state->now_ms >= body->deadline_ms) {
        refuse_body(state, handle, CT_REFUSAL_BODY_MEMORY, CT_LOG_BODIES_SHED);
    }
}

void
ct_bodies_on_timer(struct ct_state *state)
{
    struct ct_bodies *bodies = &state->bodies;
    const struct ct_body *body;
    struct ct_handle handle;
    uint32_t cursor = 0;

    bodies->timer_armed = false;
    while ((body = ct_table_next(&bodies->rows, &cursor, &handle))) {
        check_body(state, handle, body);
    }
    ct_bodies_grant(state);
    arm_timer(state);
}
