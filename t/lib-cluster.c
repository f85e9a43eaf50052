#include "lib-cluster.h"

#include <string.h>

#include "frame.h"
#include "peer-codec.h"

#define CLUSTER_STEP_MS 100
/* Interval at which hosts receive the platform's list of upstreams. */
#define UPSTREAM_LIST_INTERVAL_MS 10000

struct pending_effect {
    uint32_t host;
    uint32_t incarnation;
    struct ct_effect effect;
};

static struct ct_rows
copy_rows(struct ct_rows rows)
{
    rows.data =
        rows.n ? g_memdup2(rows.data, (gsize)rows.n * rows.row_size) : NULL;
    return rows;
}

static void
queue_effects(struct t_cluster *c, uint32_t host)
{
    const struct ct_effects *effects = &c->hosts[host].effects;

    for (uint32_t i = 0; i < effects->n; i++) {
        struct pending_effect *p = g_new0(struct pending_effect, 1);

        p->host = host;
        p->incarnation = c->incarnation[host];
        p->effect = effects->items[i];
        p->effect.rows = copy_rows(effects->items[i].rows);
        g_queue_push_tail(&c->effects, p);
    }
}

static void
post_event(struct t_cluster *c, uint32_t host, struct ct_event *event)
{
    t_core_post(&c->hosts[host], event);
    queue_effects(c, host);
}

static int
find_host(const struct t_cluster *c, const struct ct_name *name)
{
    for (uint32_t i = 0; i < c->n; i++) {
        if (ct_name_eq(&c->hosts[i].state->self.host, name)) {
            return (int)i;
        }
    }
    return -1;
}

static void
append_record(struct t_cluster *c, struct pending_effect *p)
{
    struct ct_event event = {.type = CT_EVENT_LOG_APPEND_DONE};
    struct ct_record record = p->effect.u.log_append.record;

    event.u.log_append.sequence = record.sequence;
    event.u.log_append.result = CT_ERR_LOG_UNAVAILABLE;
    if (!c->log_down) {
        record.rows = copy_rows(p->effect.rows);
        g_array_append_val(c->log, record);
        if (!c->lose_append_results) {
            event.u.log_append.result = CT_OK;
            event.u.log_append.offset = c->log->len;
        }
    }
    if (p->incarnation == c->incarnation[p->host]) {
        post_event(c, p->host, &event);
    }
}

/* The check of the real executor: nothing is sent at or after its limit. */
static bool
is_past_limit(const struct t_cluster *c, const struct pending_effect *p,
              ct_ms not_after_ms)
{
    return c->hosts[p->host].now_ms >= not_after_ms;
}

/* An order id takes effect once, even if another host repeats the order. */
static void
apply_order(struct t_cluster *c, const struct ct_order *order)
{
    struct ct_listed_upstream item;

    if (!g_hash_table_add(c->applied_orders,
                          GUINT_TO_POINTER(order->order_id))) {
        return;
    }
    for (guint i = 0; order->kind == CT_ORDER_STOP && i < c->upstreams->len;
         i++) {
        if (ct_name_eq(
                &g_array_index(c->upstreams, struct ct_listed_upstream, i)
                     .upstream.name,
                &order->upstream)) {
            g_array_remove_index(c->upstreams, i);
        }
    }
    if (order->kind == CT_ORDER_START) {
        memset(&item, 0, sizeof(item));
        g_snprintf(item.upstream.name.text, CT_NAME_MAX, "u%" G_GUINT64_FORMAT,
                   order->order_id);
        item.upstream.pool = order->pool;
        item.upstream.zone = order->zone;
        item.upstream.cheap = order->cheap;
        item.upstream.slots = 4;
        CT_TEXT_SET(item.upstream.address, "127.0.0.1:1");
        g_array_append_val(c->upstreams, item);
    }
}

/*
 * Asserts that the host holds the lease for orders and that the log holds the
 * intent record of the order.
 */
static void
assert_order_allowed(const struct t_cluster *c, uint32_t host,
                     const struct ct_order *order)
{
    g_assert_cmpint(t_cluster_lease_holder(c, CT_ROLE_ORDERS), ==, (int)host);
    g_assert_cmpuint(order->order_id, <=, c->log->len);
    g_assert_cmpint(
        g_array_index(c->log, struct ct_record, (guint)order->order_id - 1)
            .type,
        ==, CT_RECORD_ORDER_INTENT);
}

static void
submit_order(struct t_cluster *c, struct pending_effect *p)
{
    struct ct_event event = {.type = CT_EVENT_UPSTREAM_ORDER_DONE};
    struct t_received_order seen = {p->host, c->hosts[p->host].now_ms,
                                    p->effect.u.order.order};

    event.u.upstream_order.order_id = seen.order.order_id;
    event.u.upstream_order.result = CT_ERR_LEASE_EXPIRING;
    if (!is_past_limit(c, p, p->effect.u.order.not_after_ms)) {
        assert_order_allowed(c, p->host, &seen.order);
        apply_order(c, &seen.order);
        g_array_append_val(c->orders, seen);
        event.u.upstream_order.result = c->order_result;
    }
    post_event(c, p->host, &event);
}

static void
submit_report(struct t_cluster *c, struct pending_effect *p)
{
    struct ct_event event = {.type = CT_EVENT_USAGE_REPORT_DONE};
    struct t_received_report seen = {
        p->host, p->effect.u.report.window,
        g_array_new(FALSE, FALSE, sizeof(struct ct_usage_row))};

    event.u.usage_report.window_start_ms = seen.window.window_start_ms;
    event.u.usage_report.result = CT_ERR_LEASE_EXPIRING;
    g_array_append_vals(seen.rows, p->effect.rows.data, p->effect.rows.n);
    if (!is_past_limit(c, p, p->effect.u.report.not_after_ms)) {
        g_array_append_val(c->reports, seen);
        event.u.usage_report.result = c->report_result;
    }
    else {
        g_array_free(seen.rows, TRUE);
    }
    post_event(c, p->host, &event);
}

static uint64_t
frame_bytes(const struct ct_peer_message *message)
{
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_MESSAGE};
    GByteArray *out = g_byte_array_new();
    guint start = ct_frame_begin(out);
    uint64_t n;

    frame.u.message = *message;
    g_assert_cmpint(ct_peer_encode(&frame, out), ==, CT_OK);
    g_assert_cmpint(ct_frame_end(out, start), ==, CT_OK);
    n = out->len;
    g_byte_array_free(out, TRUE);
    return n;
}

static void
send_peer_message(struct t_cluster *c, struct pending_effect *p)
{
    int to = find_host(c, &p->effect.u.peer.peer);
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};

    if (to < 0 || !c->linked[p->host][to] || c->suspended[to]) {
        return;
    }
    event.u.peer.peer = p->effect.u.peer.message.sender;
    event.u.peer.message = p->effect.u.peer.message;
    event.u.peer.message.rows = p->effect.rows;
    c->bytes[p->host] += frame_bytes(&event.u.peer.message);
    c->bytes[to] += frame_bytes(&event.u.peer.message);
    post_event(c, (uint32_t)to, &event);
}

/* Returns false if the effect must stay queued, as for a suspended host. */
static bool
execute_effect(struct t_cluster *c, struct pending_effect *p)
{
    bool stale = p->incarnation != c->incarnation[p->host];

    if (c->suspended[p->host] && !stale) {
        return false;
    }
    if (c->held_effect && p->effect.type == c->held_effect) {
        return false;
    }
    switch (p->effect.type) {
    case CT_EFFECT_APPEND_LOG:
        if (c->delayed_record &&
            p->effect.u.log_append.record.type == c->delayed_record) {
            return false;
        }
        append_record(c, p);
        return true;
    case CT_EFFECT_ORDER_UPSTREAM:
        if (!stale) {
            submit_order(c, p);
        }
        return true;
    case CT_EFFECT_REPORT_USAGE:
        if (!stale) {
            submit_report(c, p);
        }
        return true;
    case CT_EFFECT_SEND_PEER_MESSAGE:
        if (!stale) {
            send_peer_message(c, p);
        }
        return true;
    case CT_EFFECT_REPLY_WITHDRAWAL:
        c->replies++;
        g_array_set_size(c->confirmed, 0);
        g_array_append_vals(c->confirmed, p->effect.rows.data,
                            p->effect.rows.n);
        return true;
    default:
        return true;
    }
}

static void
free_pending_effect(gpointer data)
{
    struct pending_effect *p = data;

    g_free((void *)p->effect.rows.data);
    g_free(p);
}

static void
execute_effects(struct t_cluster *c)
{
    GQueue remaining = G_QUEUE_INIT;
    struct pending_effect *p;

    while ((p = g_queue_pop_head(&c->effects))) {
        if (execute_effect(c, p)) {
            free_pending_effect(p);
        }
        else {
            g_queue_push_tail(&remaining, p);
        }
    }
    c->effects = remaining;
}

void
t_cluster_post(struct t_cluster *c, uint32_t host, struct ct_event *event)
{
    post_event(c, host, event);
    execute_effects(c);
}

static void
deliver_log(struct t_cluster *c, uint32_t host)
{
    struct ct_event event = {.type = CT_EVENT_LOG_FAILED};

    while (!c->log_down && c->read[host] < c->log->len) {
        event.type = CT_EVENT_LOG_ENTRY;
        event.u.entry.offset = ++c->read[host];
        event.u.entry.record =
            g_array_index(c->log, struct ct_record, (guint)c->read[host] - 1);
        post_event(c, host, &event);
    }
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_FAILED;
    if (!c->log_down) {
        event.type = CT_EVENT_LOG_HEAD;
        event.u.head.head = c->log->len;
        event.u.head.first = 1;
    }
    post_event(c, host, &event);
}

static void
update_link(struct t_cluster *c, uint32_t a, uint32_t b)
{
    bool up = !c->unlinked[a] && !c->unlinked[b] && !c->dead[a] && !c->dead[b];
    struct ct_event event = {.type =
                                 up ? CT_EVENT_PEER_UP : CT_EVENT_PEER_DOWN};

    if (c->suspended[a] || up == c->linked[a][b]) {
        return;
    }
    c->linked[a][b] = up;
    if (!c->dead[a]) {
        event.u.peer.peer = c->hosts[b].state->self.host;
        post_event(c, a, &event);
    }
}

static void
advance_cluster(struct t_cluster *c, ct_ms by_ms)
{
    struct ct_event tick = {.type = CT_EVENT_TICK};
    struct ct_event list = {.type = CT_EVENT_UPSTREAM_LIST};

    list.rows =
        CT_ROWS((struct ct_listed_upstream *)(void *)c->upstreams->data,
                c->upstreams->len);

    for (uint32_t i = 0; i < c->n; i++) {
        c->hosts[i].now_ms += by_ms;
        c->hosts[i].wall_ms += by_ms;
    }
    execute_effects(c);
    for (uint32_t i = 0; i < c->n; i++) {
        for (uint32_t j = 0; j < c->n; j++) {
            if (i != j) {
                update_link(c, i, j);
            }
        }
        if (!c->dead[i] && !c->suspended[i]) {
            deliver_log(c, i);
            if (c->hosts[i].now_ms % UPSTREAM_LIST_INTERVAL_MS == 0) {
                post_event(c, i, &list);
            }
            post_event(c, i, &tick);
        }
        execute_effects(c);
    }
}

void
t_cluster_run(struct t_cluster *c, ct_ms for_ms)
{
    for (ct_ms ms = 0; ms < for_ms; ms += CLUSTER_STEP_MS) {
        advance_cluster(c, CLUSTER_STEP_MS);
    }
}

static void
start_host(struct t_cluster *c, uint32_t host)
{
    char *name = g_strdup_printf("h%u", host + 1);
    char *writer = g_strdup_printf("h%u-%u", host + 1, ++c->incarnation[host]);

    t_core_init_named(&c->hosts[host], name, writer);
    c->read[host] = 0;
    c->dead[host] = false;
    c->suspended[host] = false;
    g_free(name);
    g_free(writer);
}

void
t_cluster_kill(struct t_cluster *c, uint32_t host)
{
    c->dead[host] = true;
    c->suspended[host] = false;
    c->incarnation[host]++;
    for (uint32_t i = 0; i < c->n; i++) {
        c->linked[host][i] = false;
    }
}

void
t_cluster_start(struct t_cluster *c, uint32_t host)
{
    ct_ms now_ms = c->hosts[host].now_ms;
    ct_ms wall_ms = c->hosts[host].wall_ms;

    t_core_free(&c->hosts[host]);
    start_host(c, host);
    c->hosts[host].now_ms = now_ms;
    c->hosts[host].wall_ms = wall_ms;
}

void
t_cluster_append(struct t_cluster *c, const struct ct_record *record)
{
    struct ct_record copy = *record;

    copy.rows = copy_rows(record->rows);
    g_array_append_val(c->log, copy);
}

static void
append_config(struct t_cluster *c)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_record record = {.type = CT_RECORD_CONFIG};
    static const char *const zones[] = {"a", "b", "c"};

    for (uint32_t i = 0; i < c->n; i++) {
        struct ct_host *host =
            &ct_config_rows_add(rows, CT_CONFIG_HOST)->u.host;

        host->name = c->hosts[i].state->self.host;
        CT_TEXT_SET(host->zone, zones[i % G_N_ELEMENTS(zones)]);
    }
    for (uint32_t i = 0; i < 2; i++) {
        struct ct_organisation *organisation =
            &ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation;

        CT_TEXT_SET(organisation->name, i ? "zeta" : "acme");
        organisation->weight = 1;
    }
    struct ct_pool *pool = &ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool;
    CT_TEXT_SET(pool->name, "engines");
    pool->kind = CT_POOL_ENGINE;
    pool->min_upstreams = 2;
    pool->max_upstreams = 6;
    record.rows =
        CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
    t_cluster_append(c, &record);
    g_array_free(rows, TRUE);
}

void
t_cluster_init(struct t_cluster *c, uint32_t n)
{
    memset(c, 0, sizeof(*c));
    c->n = n;
    c->log = g_array_new(FALSE, FALSE, sizeof(struct ct_record));
    c->orders = g_array_new(FALSE, FALSE, sizeof(struct t_received_order));
    c->reports = g_array_new(FALSE, FALSE, sizeof(struct t_received_report));
    c->confirmed = g_array_new(FALSE, FALSE, sizeof(struct ct_host_row));
    c->upstreams =
        g_array_new(FALSE, FALSE, sizeof(struct ct_listed_upstream));
    c->applied_orders = g_hash_table_new(NULL, NULL);
    g_queue_init(&c->effects);
    for (uint32_t i = 0; i < n; i++) {
        start_host(c, i);
    }
    append_config(c);
}

void
t_cluster_free(struct t_cluster *c)
{
    for (uint32_t i = 0; i < c->n; i++) {
        t_core_free(&c->hosts[i]);
    }
    for (guint i = 0; i < c->log->len; i++) {
        g_free((void *)g_array_index(c->log, struct ct_record, i).rows.data);
    }
    for (guint i = 0; i < c->reports->len; i++) {
        g_array_free(
            g_array_index(c->reports, struct t_received_report, i).rows, TRUE);
    }
    g_array_free(c->log, TRUE);
    g_array_free(c->orders, TRUE);
    g_array_free(c->upstreams, TRUE);
    g_hash_table_destroy(c->applied_orders);
    g_array_free(c->confirmed, TRUE);
    g_array_free(c->reports, TRUE);
    g_queue_clear_full(&c->effects, free_pending_effect);
}

int
t_cluster_lease_holder(const struct t_cluster *c, enum ct_role role)
{
    int holder = -1;

    for (uint32_t i = 0; i < c->n; i++) {
        const struct ct_lease_state *lease =
            &c->hosts[i].state->leases.roles[role];

        /* By the clock of the host, also while the host is suspended. */
        if (!c->dead[i] && lease->held &&
            c->hosts[i].now_ms < lease->valid_until_ms) {
            g_assert_cmpint(holder, ==, -1);
            holder = (int)i;
        }
    }
    return holder;
}

uint32_t
t_cluster_records(const struct t_cluster *c, enum ct_record_type type)
{
    uint32_t n = 0;

    for (guint i = 0; i < c->log->len; i++) {
        n += g_array_index(c->log, struct ct_record, i).type == type;
    }
    return n;
}
