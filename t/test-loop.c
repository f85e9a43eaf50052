/* Tests of loop.h: order of events and effects, and the scheduled tick. */
#include <glib.h>

#include "lib-script.h"

/* An executor that records its effects and posts an event within one. */
struct probe {
    struct ct_executor executor;
    struct ct_loop *loop;
    GString *trace;
};

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct probe *probe = (struct probe *)executor;
    struct ct_event event = {.type = CT_EVENT_CALLER_DISCONNECTED};

    if (effect->type != CT_EFFECT_READ_LOG) {
        return false;
    }
    g_string_append_printf(probe->trace, "effect %d\n", (int)effect->u.offset);
    if (effect->u.offset == 1) {
        event.u.caller = 9;
        ct_loop_post(probe->loop, &event);
    }
    return true;
}

static void
ignore_free(struct ct_executor *executor)
{
    (void)executor;
}

static void
react_with_effects(struct script *script, const struct ct_event *event,
                   struct ct_effects *effects)
{
    struct probe *probe = script->arg;

    g_string_append_printf(probe->trace, "%s\n", ct_event_name(event->type));
    if (event->type == CT_EVENT_DRAIN) {
        ct_effects_add(effects, CT_EFFECT_READ_LOG)->u.offset = 1;
        ct_effects_add(effects, CT_EFFECT_READ_LOG)->u.offset = 2;
        /* No executor handles this effect; the others are still run. */
        ct_effects_add(effects, CT_EFFECT_DRAINED);
    }
    if (event->type == CT_EVENT_HOST_LIST) {
        const struct ct_host_row *rows = event->rows.data;

        g_assert_cmpuint(event->rows.n, ==, 1);
        g_assert_cmpstr(rows[0].name.text, ==, "h1");
    }
}

static struct script *
set_up(struct probe *probe)
{
    static const struct ct_executor_ops ops = {.run = run_effect,
                                               .free = ignore_free};
    struct script *script = script_new();

    probe->executor.ops = &ops;
    probe->loop = script->loop;
    probe->trace = g_string_new(NULL);
    script->arg = probe;
    script->react = react_with_effects;
    ct_loop_add(script->loop, &probe->executor);
    return script;
}

static void
tear_down(struct script *script, struct probe *probe)
{
    ct_loop_free(script->loop);
    script_free(script);
    g_string_free(probe->trace, TRUE);
}

/* An event posted within an effect waits until all effects were run. */
static void
test_no_recursion(void)
{
    struct probe probe = {0};
    struct script *script = set_up(&probe);
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    ct_loop_post(script->loop, &event);
    g_assert_cmpstr(probe.trace->str, ==,
                    "drain\neffect 1\neffect 2\ncall-gone\n");
    tear_down(script, &probe);
}

/* A held event has its own copy of the rows, not those of the poster. */
static void
test_hold(void)
{
    struct probe probe = {0};
    struct script *script = set_up(&probe);
    struct ct_event event = {.type = CT_EVENT_HOST_LIST};
    struct ct_host_row row = {{"h1"}, false};

    event.rows = CT_ROWS(&row, 1);
    ct_loop_hold(script->loop);
    ct_loop_hold(script->loop);
    ct_loop_post(script->loop, &event);
    row.name.text[0] = 'x';
    ct_loop_release(script->loop);
    g_assert_cmpstr(probe.trace->str, ==, "");
    ct_loop_release(script->loop);
    g_assert_cmpstr(probe.trace->str, ==, "host-list\n");
    /* Events that are still held are freed with the loop. */
    ct_loop_hold(script->loop);
    ct_loop_post(script->loop, &event);
    tear_down(script, &probe);
}

static void
react_with_ticks(struct script *script, const struct ct_event *event,
                 struct ct_effects *effects)
{
    const ct_ms *tick_ms = script->arg;

    if (event->type == CT_EVENT_DRAIN) {
        /* The second effect replaces the tick of the first. */
        ct_effects_add(effects, CT_EFFECT_SCHEDULE_TICK)->u.at_ms =
            *tick_ms + 3600000;
        ct_effects_add(effects, CT_EFFECT_SCHEDULE_TICK)->u.at_ms = *tick_ms;
    }
}

static void
test_scheduled_tick(void)
{
    struct script *script = script_new();
    struct ct_event event = {.type = CT_EVENT_DRAIN};
    ct_ms tick_ms = ct_clock_steady_ms(ct_system_clock()) + 30;

    script->react = react_with_ticks;
    script->arg = &tick_ms;
    ct_loop_post(script->loop, &event);
    script_wait_events(script, CT_EVENT_TICK, 1);
    g_assert_cmpint(script_last(script, CT_EVENT_TICK)->now_ms, >=, tick_ms);
    g_assert_cmpuint(script_count(script, CT_EVENT_TICK), ==, 1);
    ct_loop_free(script->loop);
    script_free(script);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loop/no-recursion", test_no_recursion);
    g_test_add_func("/loop/hold", test_hold);
    g_test_add_func("/loop/scheduled-tick", test_scheduled_tick);
    return g_test_run();
}
