#include "addresses.h"

#include "state.h"

static bool
is_available(const struct ct_state *state, const struct ct_host_conf_row *host)
{
    if (!host->configured) {
        return false;
    }
    if (ct_name_eq(&host->conf.name, &state->self.host)) {
        return !state->draining && state->log.ready;
    }
    return !ct_peer_status_is_avoided(state, &host->conf.name);
}

/* Rotates the hosts by a random number, so that callers spread over all. */
static void
rotate_randomly(struct ct_state *state, GArray *hosts)
{
    struct ct_host first;
    uint32_t by;

    if (hosts->len == 0) {
        return;
    }
    by = (uint32_t)(ct_state_random(state) % hosts->len);
    while (by-- > 0) {
        first = g_array_index(hosts, struct ct_host, 0);
        g_array_remove_index(hosts, 0);
        g_array_append_val(hosts, first);
    }
}

void
ct_addresses_reply(struct ct_state *state, uint64_t caller, ct_ms lifetime_ms,
                   GArray *hosts)
{
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_REPLY_ADDRESSES);

    effect->u.addresses.caller = caller;
    effect->u.addresses.lifetime_ms = lifetime_ms;
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((struct ct_host *)(void *)hosts->data, hosts->len));
    g_array_free(hosts, TRUE);
}

void
ct_addresses_on_request(struct ct_state *state, uint64_t caller)
{
    GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct ct_host));
    const struct ct_host_conf_row *host;
    uint32_t cursor = 0;

    while ((host = ct_table_next(&state->config.hosts, &cursor, NULL))) {
        if (is_available(state, host)) {
            g_array_append_val(hosts, host->conf);
        }
    }
    rotate_randomly(state, hosts);
    ct_addresses_reply(state, caller, CT_ADDRESSES_LIFETIME_MS, hosts);
}
