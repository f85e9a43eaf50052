#include "leadership.h"

#include "error.h"
#include "state.h"

#define TTL_MS 3000
#define JOIN_MS 1000
/* While the group changes, parts are handed over with the next joins. */
#define JOIN_SOON_MS 400
#define SETTLED_MS 3000
#define JOIN_TIMEOUT_MS 900
/* An answer of a store in order takes this long at most. */
#define ANSWER_MS 100
/* Kept from the time to live for what runs at another pace. */
#define MARGIN_MS 300

static ct_ms
ttl_ms(const struct ct_state *state)
{
    return MAX(TTL_MS, state->self.bounds.member_ttl_min_ms);
}

/*
 * From getting the part to acting. The store may deal anew without a word;
 * the holder before then acts up to its next join. Where it gets the part
 * back at once, its two acts are two of these waits less that time apart.
 */
static ct_ms
settle_ms(const struct ct_state *state)
{
    return (state->self.bounds.lease_ms + JOIN_MS) / 2 + ANSWER_MS;
}

void
ct_leadership_start(struct ct_state *state)
{
    struct ct_store_join_effect *join;
    bool settled = state->now_ms - state->leadership.changed_ms >= SETTLED_MS;

    ct_arm_timer(state, settled ? JOIN_MS : JOIN_SOON_MS, CT_TIMER_JOIN,
                 CT_NO_HANDLE);
    if (state->leadership.joining || state->draining ||
        !state->store.config_known) {
        return;
    }
    state->leadership.joining = true;
    join = &ct_emit_effect(state, CT_EFFECT_STORE_JOIN)->u.join;
    join->generation = state->leadership.generation;
    join->ttl_ms = ttl_ms(state);
    join->timeout_ms = JOIN_TIMEOUT_MS;
}

/* Logs where this host began or ceased to act. */
static void
update(struct ct_state *state)
{
    bool acts = ct_leadership_is_held(state);

    if (acts != state->leadership.acting) {
        ct_emit_log(state, acts ? CT_LOG_DUTY_TAKEN : CT_LOG_DUTY_LOST, NULL,
                    NULL, state->leadership.generation);
        state->leadership.acting = acts;
        if (acts) {
            ct_usage_report_begin(state);
            ct_zone_orders_begin(state);
        }
    }
}

void
ct_leadership_on_timer(struct ct_state *state)
{
    update(state);
    ct_leadership_start(state);
}

/* A part has one holder a generation; without a new one nobody had it. */
static bool
may_have_been_lost(const struct ct_state *state,
                   const struct ct_store_join_done *joined)
{
    const struct ct_leadership *tenure = &state->leadership;

    return !tenure->holds || (state->now_ms >= tenure->until_ms &&
                              joined->generation != tenure->generation);
}

void
ct_leadership_on_join_done(struct ct_state *state,
                           const struct ct_store_join_done *joined)
{
    struct ct_leadership *tenure = &state->leadership;

    tenure->joining = false;
    if (joined->result < 0) {
        if (tenure->failures++ == 0) {
            ct_emit_log(state, CT_LOG_STORE_LOST, NULL,
                        ct_err_name(joined->result), CT_TOPIC_COUNT);
            ct_group_refresh_soon(state);
        }
        update(state);
        return;
    }
    if (tenure->failures > 0) {
        ct_emit_log(state, CT_LOG_STORE_BACK, NULL, NULL, CT_TOPIC_COUNT);
        tenure->failures = 0;
    }
    if (joined->holds_duty && may_have_been_lost(state, joined)) {
        tenure->held_ms = state->now_ms;
    }
    if (joined->generation != tenure->generation) {
        tenure->changed_ms = state->now_ms;
        ct_group_refresh_soon(state);
    }
    tenure->holds = joined->holds_duty;
    tenure->generation = joined->generation;
    tenure->until_ms = joined->sent_ms + ttl_ms(state) - MARGIN_MS;
    update(state);
}

void
ct_leadership_on_fenced(struct ct_state *state, int64_t fence)
{
    state->leadership.refused_fence =
        MAX(state->leadership.refused_fence, fence);
    update(state);
}

bool
ct_leadership_is_held(const struct ct_state *state)
{
    const struct ct_leadership *tenure = &state->leadership;

    return tenure->holds && state->now_ms < tenure->until_ms &&
           state->now_ms - tenure->held_ms >= settle_ms(state) &&
           tenure->generation > tenure->refused_fence;
}

bool
ct_leadership_sees_group_changes(const struct ct_state *state)
{
    return state->leadership.generation > 0 && state->leadership.failures == 0;
}

ct_ms
ct_leadership_valid_until_ms(const struct ct_state *state)
{
    return state->leadership.until_ms;
}
