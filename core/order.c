#include "order.h"

#include <string.h>

#include "error.h"
#include "order-plan.h"
#include "state.h"

#define CHECK_PERIOD_MS 1000
/*
 * An order has ended, with or without a response, this long after its
 * time-out.
 */
#define FLIGHT_MARGIN_MS 1000
#define RETRY_MS 2000
#define TRIES_MAX 10
#define APPEND_RETRY_MS 3000
/* An intent not read back within this time is dropped and planned again. */
#define INTENT_TIMEOUT_MS 3000

void
ct_orders_init(struct ct_orders *orders)
{
    memset(orders, 0, sizeof(*orders));
    ct_table_init(&orders->rows, sizeof(struct ct_order_row), 0, NULL);
    ct_table_init(&orders->demands, sizeof(struct ct_host_demand), 0, NULL);
    orders->wanted = g_array_new(FALSE, TRUE, sizeof(struct ct_order));
}

void
ct_orders_free(struct ct_orders *orders)
{
    ct_table_free(&orders->rows);
    ct_table_free(&orders->demands);
    if (orders->wanted) {
        g_array_free(orders->wanted, TRUE);
    }
}

static struct ct_order_row *
find_order(const struct ct_state *state, uint64_t order_id)
{
    struct ct_order_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->orders.rows, &cursor, NULL))) {
        if (row->order.order_id == order_id) {
            return row;
        }
    }
    return NULL;
}

static int
add_order(struct ct_state *state, const struct ct_order *order, int64_t offset)
{
    struct ct_order_row *row;
    struct ct_handle handle;
    int err = ct_table_add(&state->orders.rows, &handle);

    if (err < 0) {
        return err;
    }
    row = ct_table_get(&state->orders.rows, handle);
    row->order = *order;
    row->order.order_id = (uint64_t)offset;
    return CT_OK;
}

/* Appends the intent of the next wanted order. */
static void
append_intent(struct ct_state *state)
{
    struct ct_orders *orders = &state->orders;
    struct ct_record record;

    if (orders->wanted->len == 0 || orders->intent_sequence ||
        ct_lease_valid_until_ms(state, CT_ROLE_ORDERS) == 0) {
        return;
    }
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_ORDER_INTENT;
    record.base_offset = orders->last_offset;
    record.u.order = g_array_index(orders->wanted, struct ct_order, 0);
    record.u.order.term = state->leases.roles[CT_ROLE_ORDERS].own_term;
    orders->intent_until_ms = state->now_ms + INTENT_TIMEOUT_MS;
    orders->intent_sequence =
        ct_log_append(state, &record, orders->intent_until_ms);
}

/*
 * Drops the orders of the last plan; the next plan starts from the state at
 * that time.
 */
static void
discard_wanted(struct ct_orders *orders)
{
    g_array_set_size(orders->wanted, 0);
    orders->intent_sequence = 0;
}

static int
accept_intent(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_record *record = &entry->record;

    if (!ct_lease_is_current_term(state, CT_ROLE_ORDERS,
                                  record->u.order.term) ||
        record->base_offset != state->orders.last_offset) {
        return CT_ERR_LOG_LOST_RACE;
    }
    state->orders.last_offset = entry->offset;
    return add_order(state, &record->u.order, entry->offset);
}

int
ct_order_intent_apply(struct ct_state *state, const struct ct_log_entry *entry)
{
    struct ct_orders *orders = &state->orders;
    int err = accept_intent(state, entry);

    if (orders->intent_sequence == 0) {
        return err;
    }
    if (ct_name_eq(&entry->record.writer, &state->self.writer) &&
        entry->record.sequence == orders->intent_sequence && err == CT_OK) {
        orders->intent_sequence = 0;
        g_array_remove_index(orders->wanted, 0);
        append_intent(state);
    }
    else if (err == CT_OK) {
        /* Another intent came first; the plan did not include it. */
        discard_wanted(orders);
    }
    return err;
}

int
ct_order_done_apply(struct ct_state *state, const struct ct_order *order)
{
    struct ct_order_row *row = find_order(state, order->order_id);

    if (!row || row->order.done) {
        return CT_ERR_LOG_LOST_RACE;
    }
    row->order.done = true;
    row->done_ms = state->now_ms;
    ct_emit_log(state, CT_LOG_ORDER_RESULT, &row->order.pool,
                order->result ? ct_err_name(order->result) : NULL,
                (int64_t)order->order_id);
    return CT_OK;
}

void
ct_orders_export(const struct ct_state *state, GArray *out)
{
    const struct ct_order_row *order;
    struct ct_snapshot_row row;
    uint32_t cursor = 0;

    while ((order = ct_table_next(&state->orders.rows, &cursor, NULL))) {
        /*
         * The last accepted intent is exported even if its order is done,
         * because the next intent has to build on it.
         */
        if (order->order.done &&
            (int64_t)order->order.order_id != state->orders.last_offset) {
            continue;
        }
        memset(&row, 0, sizeof(row));
        row.kind = CT_SNAPSHOT_ORDER;
        row.offset = (int64_t)order->order.order_id;
        row.u.order = order->order;
        g_array_append_val(out, row);
    }
}

int
ct_orders_import(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_snapshot_row *row = rows.data;
    struct ct_handle handle;
    uint32_t cursor = 0;
    int err = CT_OK;
    uint32_t i;

    while (ct_table_next(&state->orders.rows, &cursor, &handle)) {
        ct_table_unref(&state->orders.rows, handle);
    }
    for (i = 0; i < rows.n && err >= 0; i++) {
        if (row[i].kind == CT_SNAPSHOT_ORDER) {
            err = add_order(state, &row[i].u.order, row[i].offset);
            state->orders.last_offset =
                MAX(state->orders.last_offset, row[i].offset);
        }
    }
    return err;
}

void
ct_order_queue_intent(struct ct_state *state, const struct ct_order *order)
{
    g_array_append_val(state->orders.wanted, *order);
    append_intent(state);
}

static void
send_order(struct ct_state *state, struct ct_order_row *row,
           ct_ms valid_until_ms)
{
    struct ct_order_effect *order;

    order = &ct_emit_effect(state, CT_EFFECT_ORDER_UPSTREAM)->u.order;
    order->order = row->order;
    order->order.term = state->leases.roles[CT_ROLE_ORDERS].own_term;
    /* The rest of the lease covers the whole time-out. */
    order->not_after_ms = valid_until_ms - CT_ORDER_TIMEOUT_MS;
    order->timeout_ms = CT_ORDER_TIMEOUT_MS;
    row->tries++;
    row->flight_until_ms =
        state->now_ms + CT_ORDER_TIMEOUT_MS + FLIGHT_MARGIN_MS;
    row->retry_ms = row->flight_until_ms;
    ct_increment_counter(state, CT_COUNTER_ORDERS);
    ct_emit_log(state, CT_LOG_ORDER_SENT, &row->order.pool, NULL,
                (int64_t)row->order.order_id);
}

static void
append_done(struct ct_state *state, struct ct_order_row *row)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_ORDER_DONE;
    record.u.order = row->order;
    row->responded = true;
    row->retry_ms = state->now_ms + APPEND_RETRY_MS;
    ct_log_append(state, &record, row->retry_ms);
}

void
ct_orders_on_done(struct ct_state *state, const struct ct_order_done *done)
{
    struct ct_order_row *row = find_order(state, done->order_id);

    if (done->result == CT_ERR_TIMEOUT ||
        done->result == CT_ERR_LEASE_EXPIRING) {
        ct_increment_counter(state, CT_COUNTER_ORDERS_EXPIRED);
    }
    if (!row || row->order.done || row->responded) {
        return;
    }
    row->flight_until_ms = 0;
    row->retry_ms = state->now_ms + RETRY_MS;
    if (done->result == CT_OK || row->tries >= TRIES_MAX) {
        row->order.result = done->result;
        append_done(state, row);
    }
}

bool
ct_orders_in_flight(const struct ct_state *state)
{
    const struct ct_order_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->orders.rows, &cursor, NULL))) {
        if (state->now_ms < row->flight_until_ms) {
            return true;
        }
    }
    return false;
}

/* Sends due orders; returns the number of orders that have not ended. */
static uint32_t
send_due_orders(struct ct_state *state, ct_ms valid_until_ms)
{
    struct ct_order_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;
    uint32_t n = 0;

    while ((row = ct_table_next(&state->orders.rows, &cursor, &handle))) {
        if (row->order.done) {
            continue;
        }
        n++;
        if (state->now_ms < row->retry_ms) {
            continue;
        }
        if (row->responded) {
            append_done(state, row);
        }
        else if (state->now_ms < valid_until_ms - CT_ORDER_TIMEOUT_MS) {
            send_order(state, row, valid_until_ms);
        }
    }
    return n;
}

static void
remove_settled(struct ct_state *state)
{
    const struct ct_order_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->orders.rows, &cursor, &handle))) {
        if (row->order.done &&
            (int64_t)row->order.order_id != state->orders.last_offset &&
            state->now_ms >= row->done_ms + CT_ORDER_SETTLE_MS) {
            ct_table_unref(&state->orders.rows, handle);
        }
    }
}

bool
ct_orders_on_timer(struct ct_state *state)
{
    ct_ms valid_until_ms = ct_lease_valid_until_ms(state, CT_ROLE_ORDERS);
    ct_ms held_since_ms = state->leases.roles[CT_ROLE_ORDERS].held_since_ms;

    ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_ORDERS, CT_NO_HANDLE);
    remove_settled(state);
    /* An order of a predecessor may be in flight for one time-out. */
    if (valid_until_ms == 0 || state->draining ||
        state->now_ms < held_since_ms + CT_ORDER_TIMEOUT_MS) {
        discard_wanted(&state->orders);
        return false;
    }
    if (state->orders.intent_sequence &&
        state->now_ms >= state->orders.intent_until_ms) {
        discard_wanted(&state->orders);
    }
    return send_due_orders(state, valid_until_ms) == 0 &&
           state->orders.wanted->len == 0;
}

void
ct_orders_start(struct ct_state *state)
{
    if (!state->orders.armed) {
        state->orders.armed = true;
        ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_ORDERS, CT_NO_HANDLE);
    }
}
