#include "upstream-notices.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* Invalid notices are logged this often at most. */
#define INVALID_LOG_MS 10000

void
ct_upstream_notices_init(struct ct_upstream_notices *notices)
{
    memset(notices, 0, sizeof(*notices));
    notices->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_notice_row));
}

void
ct_upstream_notices_free(struct ct_upstream_notices *notices)
{
    g_array_free(notices->rows, TRUE);
}

/* Returns the row of an upstream; a new upstream gets a cleared one. */
static struct ct_notice_row *
get_row(struct ct_upstream_notices *notices, struct ct_handle upstream)
{
    struct ct_notice_row *row;

    if (upstream.index >= notices->rows->len) {
        g_array_set_size(notices->rows, upstream.index + 1);
    }
    row = &g_array_index(notices->rows, struct ct_notice_row, upstream.index);
    if (!ct_handle_eq(row->upstream, upstream)) {
        *row = (struct ct_notice_row){.upstream = upstream};
    }
    return row;
}

static void
log_notice(struct ct_state *state, enum ct_log_event event,
           struct ct_handle upstream, int64_t number)
{
    const struct ct_upstream_row *row =
        ct_table_get(&state->config.upstreams, upstream);

    ct_emit_log(state, event, &row->conf.name, NULL, number);
}

static void
log_invalid(struct ct_state *state, struct ct_handle upstream)
{
    struct ct_upstream_notices *notices = &state->upstream_notices;

    if (notices->invalid_logged_ms &&
        state->now_ms - notices->invalid_logged_ms < INVALID_LOG_MS) {
        return;
    }
    notices->invalid_logged_ms = state->now_ms;
    log_notice(state, CT_LOG_UPSTREAM_NOTICE_BAD, upstream, 0);
}

static void
apply_limit(struct ct_state *state, struct ct_notice_row *row,
            const struct ct_upstream_notice *notice)
{
    if (row->limited == notice->limited &&
        row->limit_permille == notice->limit_permille) {
        return;
    }
    row->limited = notice->limited;
    row->limit_permille = notice->limit_permille;
    log_notice(state,
               row->limited ? CT_LOG_UPSTREAM_LIMITED
                            : CT_LOG_UPSTREAM_UNLIMITED,
               row->upstream, row->limit_permille);
}

void
ct_upstream_notices_on_head(struct ct_state *state, struct ct_handle upstream,
                            const struct ct_upstream_notice *notice)
{
    if (ct_handle_is_none(upstream)) {
        return;
    }
    if (notice->invalid) {
        log_invalid(state, upstream);
    }
    apply_limit(state, get_row(&state->upstream_notices, upstream), notice);
}
