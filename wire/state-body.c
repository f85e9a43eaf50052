#include "state-body.h"

#include <inttypes.h>

/*
 * Names of hosts, pools and upstreams are written without escaping: the checks
 * on input admit no characters that need it.
 */

void
ct_gauge_text(const char *name, uint64_t value, GString *out)
{
    g_string_append_printf(out, "coriandertrack_%s %" PRIu64 "\n", name,
                           value);
}

static void
append_latency(const struct ct_latency *latency, enum ct_latency_kind kind,
               GString *out)
{
    const char *name = ct_latency_text(kind);
    uint64_t total = 0;

    for (int i = 0; i < CT_LATENCY_BUCKETS; i++) {
        total += latency->counts[i];
        if (ct_latency_bound_ms(i) == CT_MS_NEVER) {
            g_string_append_printf(out,
                                   "coriandertrack_%s_bucket{le=\"+Inf\"} "
                                   "%" PRIu64 "\n",
                                   name, total);
            continue;
        }
        g_string_append_printf(
            out, "coriandertrack_%s_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n",
            name, ct_latency_bound_ms(i), total);
    }
    g_string_append_printf(out,
                           "coriandertrack_%s_sum %" PRIu64
                           "\ncoriandertrack_%s_count %" PRIu64 "\n",
                           name, latency->sum_ms, name, total);
}

void
ct_counters_text(const struct ct_counters *counters, GString *out)
{
    for (int i = 0; i < CT_COUNTER_COUNT; i++) {
        ct_gauge_text(ct_counter_text(i), counters->values[i], out);
    }
    for (int i = 0; i < CT_REFUSAL_COUNT; i++) {
        g_string_append_printf(
            out, "coriandertrack_refusals_total{reason=\"%s\"} %" PRIu64 "\n",
            ct_refusal_text(i), counters->refusals[i]);
    }
    for (int i = 0; i < CT_LATENCY_KINDS; i++) {
        append_latency(&counters->latencies[i], i, out);
    }
}

static void
append_pools(const struct ct_state *state, GString *out)
{
    struct ct_pool_view pool;
    uint32_t cursor = 0;
    const char *separator = "";

    while (ct_state_next_pool(state, &cursor, &pool)) {
        g_string_append_printf(out,
                               "%s{\"name\":\"%s\",\"slots_busy\":%" PRIu32
                               ",\"slots_total\":%" PRIu32
                               ",\"queued\":%" PRIu32 "}",
                               separator, pool.name.text, pool.slots_busy,
                               pool.slots_total, pool.queued);
        separator = ",";
    }
}

static void
append_upstreams(const struct ct_state *state, ct_ms now_ms, GString *out)
{
    struct ct_upstream_view upstream;
    uint32_t cursor = 0;
    const char *separator = "";

    while (ct_state_next_upstream(state, now_ms, &cursor, &upstream)) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"%s\",\"pool\":\"%s\",\"zone\":\"%s\","
            "\"in_flight\":%" PRIu32 ",\"usable\":%s,\"leaving\":%s}",
            separator, upstream.conf.name.text, upstream.conf.pool.text,
            upstream.conf.zone.text, upstream.in_flight,
            upstream.usable ? "true" : "false",
            upstream.leaving ? "true" : "false");
        separator = ",";
    }
}

void
ct_state_body(const struct ct_state *state, const struct ct_name *host,
              ct_ms now_ms, GString *out)
{
    struct ct_state_summary s;

    ct_state_summarise(state, now_ms, &s);
    g_string_append_printf(
        out,
        "{\"host\":\"%s\",\"state\":\"%s\",\"log_applied\":%" PRId64
        ",\"log_head\":%" PRId64 ",\"config_offset\":%" PRId64
        ",\"organisations\":%" PRIu32 ",\"keys\":%" PRIu32
        ",\"claims\":%" PRIu32 ",\"requests_active\":%" PRIu32
        ",\"requests_kept\":%" PRIu32 ",\"attempts\":%" PRIu32
        ",\"refusals_pending\":%" PRIu32 ",\"refusals_overflow\":%" PRIu64
        ",\"pools\":[",
        host->text, ct_health_text(s.health), s.log_applied, s.log_head,
        s.config_offset, s.organisations, s.keys, s.claims, s.requests_active,
        s.requests_retained, s.attempts, s.refusals_pending,
        s.refusals_dropped);
    append_pools(state, out);
    g_string_append(out, "],\"upstreams\":[");
    append_upstreams(state, now_ms, out);
    g_string_append(out, "]}");
}
