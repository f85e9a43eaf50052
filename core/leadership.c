#include "leadership.h"

#include "error.h"
#include "state.h"

#define TTL_MIN_MS 3000
#define JOIN_PERIOD_MS 1000
/* While the group changes, slots move to other hosts with the next joins. */
#define JOIN_PERIOD_CHANGING_MS 400
#define GROUP_STABLE_MS 3000
#define JOIN_TIMEOUT_MS 900
/* Longest response time of a healthy store. */
#define RESPONSE_MS 100
/* Subtracted from the time to live to allow for clocks at other rates. */
#define CLOCK_RATE_MARGIN_MS 300

static ct_ms
ttl_ms(const struct ct_state *state)
{
    return MAX(TTL_MIN_MS, state->self.bounds.member_ttl_min_ms);
}

/*
 * Delay from receiving the leader slot to leading. The store may reassign
 * slots without notice; the previous holder then leads until its next join. If
 * the previous holder gets the slot back at once, the gap between its two
 * periods as leader is two of these delays less the time until that join.
 */
static ct_ms
takeover_delay_ms(const struct ct_state *state)
{
    return (state->self.bounds.lease_ms + JOIN_PERIOD_MS) / 2 + RESPONSE_MS;
}

void
ct_leadership_join(struct ct_state *state)
{
    struct ct_store_join_effect *join;
    bool stable =
        state->now_ms - state->leadership.changed_ms >= GROUP_STABLE_MS;

    ct_arm_timer(state, stable ? JOIN_PERIOD_MS : JOIN_PERIOD_CHANGING_MS,
                 CT_TIMER_JOIN, CT_NO_HANDLE);
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

/* Logs when this host became or ceased to be the leader. */
static void
update_leading(struct ct_state *state)
{
    bool leads = ct_leadership_is_held(state);

    if (leads != state->leadership.leading) {
        ct_emit_log(state, leads ? CT_LOG_DUTY_TAKEN : CT_LOG_DUTY_LOST, NULL,
                    NULL, state->leadership.generation);
        state->leadership.leading = leads;
        state->leadership.duties_pending = leads;
    }
}

void
ct_leadership_on_timer(struct ct_state *state)
{
    update_leading(state);
    ct_leadership_join(state);
}

/*
 * Whether another host may have held the slot since the last join. A slot has
 * one holder per generation, so with the same generation no other host did.
 */
static bool
may_have_lost_slot(const struct ct_state *state,
                   const struct ct_store_join_done *joined)
{
    const struct ct_leadership *leadership = &state->leadership;

    return !leadership->holds_slot ||
           (state->now_ms >= leadership->slot_until_ms &&
            joined->generation != leadership->generation);
}

bool
ct_leadership_on_join_done(struct ct_state *state,
                           const struct ct_store_join_done *joined)
{
    struct ct_leadership *leadership = &state->leadership;
    bool group_changed;

    leadership->joining = false;
    if (joined->result < 0) {
        bool first = leadership->failures++ == 0;

        if (first) {
            ct_emit_log(state, CT_LOG_STORE_LOST, NULL,
                        ct_err_name(joined->result), CT_TOPIC_COUNT);
        }
        update_leading(state);
        return first;
    }
    if (leadership->failures > 0) {
        ct_emit_log(state, CT_LOG_STORE_BACK, NULL, NULL, CT_TOPIC_COUNT);
        leadership->failures = 0;
    }
    if (joined->holds_leader_slot && may_have_lost_slot(state, joined)) {
        leadership->slot_held_since_ms = state->now_ms;
    }
    group_changed = joined->generation != leadership->generation;
    if (group_changed) {
        leadership->changed_ms = state->now_ms;
    }
    leadership->holds_slot = joined->holds_leader_slot;
    leadership->generation = joined->generation;
    leadership->joined_ms = joined->sent_ms;
    leadership->slot_until_ms =
        joined->sent_ms + ttl_ms(state) - CLOCK_RATE_MARGIN_MS;
    update_leading(state);
    return group_changed;
}

void
ct_leadership_on_fenced(struct ct_state *state, int64_t fence)
{
    state->leadership.refused_fence =
        MAX(state->leadership.refused_fence, fence);
    update_leading(state);
}

bool
ct_leadership_is_held(const struct ct_state *state)
{
    const struct ct_leadership *leadership = &state->leadership;

    return leadership->holds_slot &&
           state->now_ms < leadership->slot_until_ms &&
           state->now_ms - leadership->slot_held_since_ms >=
               takeover_delay_ms(state) &&
           leadership->generation > leadership->refused_fence;
}

bool
ct_leadership_take_duties(struct ct_state *state)
{
    bool pending = state->leadership.duties_pending;

    state->leadership.duties_pending = false;
    return pending;
}

bool
ct_leadership_sees_group_changes(const struct ct_state *state)
{
    return state->leadership.generation > 0 && state->leadership.failures == 0;
}

ct_ms
ct_leadership_valid_until_ms(const struct ct_state *state)
{
    return state->leadership.slot_until_ms;
}
