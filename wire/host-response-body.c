#include "host-response-body.h"

#include "config-row.h"
#include "event.h"
#include "json-append.h"

static void
append_member(GString *out, const char *name, const char *text)
{
    g_string_append_printf(out, ",\"%s\":", name);
    ct_json_append_string(out, text, -1);
}

void
ct_addresses_body(ct_ms lifetime_ms, struct ct_rows rows, GString *out)
{
    const struct ct_host *hosts = rows.data;

    g_string_append_printf(
        out, "{\"lifetime_ms\":%" G_GINT64_FORMAT ",\"addresses\":[",
        lifetime_ms);
    for (uint32_t i = 0; i < rows.n; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        ct_json_append_string(out, hosts[i].caller_address.text, -1);
    }
    g_string_append(out, "]}");
}

static void
append_hosts(struct ct_rows rows, bool missing, GString *out)
{
    const struct ct_host_row *hosts = rows.data;
    const char *separator = "";

    for (uint32_t i = 0; i < rows.n; i++) {
        if (hosts[i].leaving != missing) {
            continue;
        }
        g_string_append(out, separator);
        ct_json_append_string(out, hosts[i].name.text, -1);
        separator = ",";
    }
}

void
ct_withdrawal_body(struct ct_rows rows, GString *out)
{
    g_string_append(out, "{\"confirmed\":[");
    append_hosts(rows, false, out);
    g_string_append(out, "],\"missing\":[");
    append_hosts(rows, true, out);
    g_string_append(out, "]}");
}

void
ct_explain_body(const struct ct_refusal_row *r, GString *out)
{
    g_string_append(out, "{\"request_id\":");
    ct_json_append_string(out, r->request_id.text, -1);
    append_member(out, "organisation", r->organisation.text);
    append_member(out, "class", r->class_name.text);
    append_member(out, "host", r->host.text);
    append_member(out, "path", r->path.text);
    append_member(out, "type", ct_refusal_text(r->reason));
    append_member(out, "run_state", ct_run_state_text(r->run_state));
    g_string_append_printf(
        out,
        ",\"wall_ms\":%" G_GINT64_FORMAT ",\"tier\":%u,\"queue_length\":%u,"
        "\"slots_busy\":%u,\"slots_total\":%u,\"waited_ms\":%" G_GINT64_FORMAT
        ",\"expected_wait_ms\":%" G_GINT64_FORMAT
        ",\"log_offset\":%" G_GINT64_FORMAT "}",
        r->wall_ms, r->tier, r->queue_length, r->slots_busy, r->slots_total,
        r->waited_ms, r->expected_wait_ms, r->log_offset);
}
