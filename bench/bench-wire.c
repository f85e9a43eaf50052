/*
 * Prints the encoded sizes of log records of a deployment of the target size,
 * and of the messages between relaying hosts: one line per kind.
 */
#include <stdio.h>
#include <string.h>

#include "config.h"
#include "frame.h"
#include "peer-codec.h"
#include "record-codec.h"
#include "speed-sharing.h"

#define ORGANISATIONS 2400
#define HOSTS 360
#define UPSTREAMS 600
#define ROUTES 28

/* Sets a text; the callers use texts of common length. */
#define FILL(field, ...)                                                      \
    g_snprintf((field).text, sizeof((field).text), __VA_ARGS__)

static gsize
encoded_size(const struct ct_record *record)
{
    GByteArray *out = g_byte_array_new();
    gsize n;

    n = ct_record_encode(record, out) < 0 ? 0 : out->len;
    g_byte_array_unref(out);
    return n;
}

static struct ct_record
new_record(enum ct_record_type type)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = type;
    FILL(record.writer, "region-zone-host-123-%016x", 77);
    record.sequence = 1000000;
    record.base_offset = 100000000;
    record.wall_ms = 1796371561783;
    return record;
}

static void
print_record(const char *name, const struct ct_record *record)
{
    gsize n = encoded_size(record);

    if (n == 0) {
        printf("%-28s too large to be encoded\n", name);
        return;
    }
    printf("%-28s %8zu bytes\n", name, n);
}

static void
add_organisations(GArray *rows)
{
    for (int i = 0; i < ORGANISATIONS; i++) {
        struct ct_organisation *o =
            &ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation;

        FILL(o->name, "organisation-%04d", i);
        o->weight = 1;
    }
}

static void
add_hosts(GArray *rows)
{
    for (int i = 0; i < HOSTS; i++) {
        struct ct_host *host =
            &ct_config_rows_add(rows, CT_CONFIG_HOST)->u.host;

        FILL(host->name, "host-%03d", i);
        FILL(host->zone, "region-1-zone-%d", i % 7);
        FILL(host->caller_address, "10.0.%d.%d:8011", i / 250, i % 250);
        FILL(host->peer_address, "10.0.%d.%d:7011", i / 250, i % 250);
        FILL(host->operator_address, "10.0.%d.%d:6011", i / 250, i % 250);
    }
}

static void
add_upstreams(GArray *rows)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        struct ct_upstream *up =
            &ct_config_rows_add(rows, CT_CONFIG_UPSTREAM)->u.upstream;

        FILL(up->name, "runner-%03d", i);
        FILL(up->pool, "pool-%02d", i % ROUTES);
        FILL(up->zone, "region-1-zone-%d", i % 7);
        FILL(up->address, "10.1.%d.%d:9000", i / 250, i % 250);
        up->slots = 64;
    }
}

static void
add_routes(GArray *rows, bool access)
{
    for (int i = 0; i < ROUTES; i++) {
        struct ct_route *route =
            &ct_config_rows_add(rows, CT_CONFIG_ROUTE)->u.route;

        FILL(route->path, "/v1/chat/completions");
        FILL(route->model, "model-%02d", i);
        FILL(route->class_name, "class-%d", i % 8);
        FILL(route->pool, "pool-%02d", i);
        for (int j = 0; access && j < ORGANISATIONS; j++) {
            struct ct_access *a =
                &ct_config_rows_add(rows, CT_CONFIG_ACCESS)->u.access;

            FILL(a->path, "/v1/chat/completions");
            FILL(a->model, "model-%02d", i);
            FILL(a->organisation, "organisation-%04d", j);
        }
    }
}

static void
print_config(const char *name, bool access)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_record record = new_record(CT_RECORD_CONFIG);

    add_organisations(rows);
    add_hosts(rows);
    add_upstreams(rows);
    add_routes(rows, access);
    record.rows =
        CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
    print_record(name, &record);
    g_array_free(rows, TRUE);
}

static void
print_fixed_records(void)
{
    struct ct_record record = new_record(CT_RECORD_CLAIM);

    memset(&record.u.claim.digest, 7, sizeof(record.u.claim.digest));
    FILL(record.u.claim.request_id, "01a24016-bd37-796d-86e0-b89823df3828");
    FILL(record.u.claim.host, "host-123");
    record.u.claim.key_wall_ms = 1796371561783;
    print_record("claim", &record);
    record.type = CT_RECORD_CLAIM_DONE;
    record.u.claim.done = true;
    record.u.claim.status = 200;
    print_record("claim done", &record);
    record = new_record(CT_RECORD_LEASE);
    FILL(record.u.lease.holder, "host-123");
    record.u.lease.duration_ms = 10000;
    print_record("lease", &record);
    record = new_record(CT_RECORD_KEY_WITHDRAW);
    memset(&record.u.key.digest, 7, sizeof(record.u.key.digest));
    print_record("key withdrawn", &record);
}

static void
print_row_records(void)
{
    struct ct_record record = new_record(CT_RECORD_REFUSALS);
    struct ct_refusal_row refusals[2];
    struct ct_usage_row usage[2];

    memset(refusals, 0, sizeof(refusals));
    memset(usage, 0, sizeof(usage));
    for (int i = 0; i < 2; i++) {
        FILL(refusals[i].request_id, "01a24016-bd37-796d-86e0-b89823df3828");
        FILL(refusals[i].organisation, "organisation-1234");
        FILL(refusals[i].class_name, "class-1");
        FILL(refusals[i].host, "host-123");
        FILL(refusals[i].path, "/v1/chat/completions");
        refusals[i].wall_ms = 1796371561783;
        refusals[i].reason = CT_REFUSAL_OVERLOAD;
        refusals[i].run_state = CT_NOT_RUN;
        refusals[i].queue_length = 200;
        refusals[i].slots_busy = 500;
        refusals[i].slots_total = 500;
        refusals[i].expected_wait_ms = 3000;
        refusals[i].log_offset = 100000000;
        FILL(usage[i].organisation, "organisation-1234");
        usage[i].window_start_ms = 1796371561783;
        usage[i].requests = 1000;
        usage[i].tokens_in = 1000000;
        usage[i].tokens_out = 1000000;
    }
    record.rows = CT_ROWS(refusals, 1);
    print_record("refusals, 1 row", &record);
    record.rows = CT_ROWS(refusals, 2);
    print_record("refusals, 2 rows", &record);
    record = new_record(CT_RECORD_USAGE_FINAL);
    record.rows = CT_ROWS(usage, 1);
    print_record("usage final, 1 row", &record);
    record.rows = CT_ROWS(usage, 2);
    print_record("usage final, 2 rows", &record);
}

/*
 * Prints and returns the size of a frame between hosts, including its length
 * prefix.
 */
static guint
print_peer_message(const char *name, const struct ct_peer_message *message)
{
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_MESSAGE};
    GByteArray *out = g_byte_array_new();
    guint start = ct_frame_begin(out);
    guint n = 0;

    frame.u.message = *message;
    FILL(frame.u.message.sender, "region-zone-host-123");
    if (ct_peer_encode(&frame, out) == 0 && ct_frame_end(out, start) == 0) {
        n = out->len;
        printf("%-28s %8u bytes\n", name, n);
    }
    g_byte_array_unref(out);
    return n;
}

/* A version with one key for each organisation. */
static void
print_config_update(void)
{
    struct ct_peer_message update = {.type = CT_PEER_STORE_CONFIG};
    struct ct_config_row *rows =
        g_new0(struct ct_config_row, 2 * ORGANISATIONS + 2 * ROUTES);
    uint32_t n = 0;

    for (int i = 0; i < ORGANISATIONS; i++) {
        rows[n].kind = CT_CONFIG_ORGANISATION;
        rows[n].u.organisation.weight = 1;
        FILL(rows[n].u.organisation.name, "organisation-%d", i);
        n++;
        rows[n].kind = CT_CONFIG_KEY;
        memset(&rows[n].u.key.digest, 0x5a, sizeof(struct ct_digest));
        FILL(rows[n].u.key.organisation, "organisation-%d", i);
        n++;
    }
    for (int i = 0; i < ROUTES; i++) {
        struct ct_prefix_route *route = &rows[n].u.prefix_route;

        rows[n].kind = CT_CONFIG_PREFIX_ROUTE;
        route->repeat = CT_REPEAT_RESUME;
        route->timeout_ms = 30000;
        FILL(route->name, "route-%d", i);
        FILL(route->authority, "service-%d.example", i);
        FILL(route->prefix, "/v1/model-%d/", i);
        n++;
        rows[n].kind = CT_CONFIG_POOL;
        rows[n].u.pool.kind = CT_POOL_ENGINE;
        FILL(rows[n].u.pool.name, "model-%d", i);
        n++;
    }
    update.u.store_config.config.version = 1000;
    update.rows = CT_ROWS(rows, n);
    print_peer_message("store update, configuration", &update);
    g_free(rows);
}

static void
print_store_updates(void)
{
    struct ct_peer_message request = {.type = CT_PEER_STORE_UPDATE_REQUEST};
    struct ct_peer_message update = {.type = CT_PEER_STORE_UPDATE};
    struct ct_store_upstream entry;

    request.u.requested_ms = 1000000000;
    print_peer_message("store update request", &request);
    update.u.store_update = (struct ct_store_update){
        .topic = CT_TOPIC_UPSTREAMS,
        .from = 100000000,
        .next = 100000001,
        .requested_ms = 1000000000,
        .known_after_ms = 900,
        .recovered_age_ms = CT_MS_NEVER,
    };
    print_peer_message("store update, no entries", &update);
    memset(&entry, 0, sizeof(entry));
    FILL(entry.upstream.name, "i-%08x", 77);
    FILL(entry.upstream.pool, "engines-12");
    FILL(entry.upstream.zone, "region-zone");
    FILL(entry.upstream.address, "10.1.200.200:8080");
    entry.upstream.slots = 64;
    entry.started_ms = 1796371561783;
    entry.offset = 100000000;
    update.rows = CT_ROWS(&entry, 1);
    print_peer_message("store update, one entry", &update);
}

/* A deployment that shares load, with its calls spread at random. */
struct load_case {
    uint32_t hosts;
    uint32_t upstreams;
    uint32_t sources;
    uint32_t calls_per_host;
};

/*
 * Adds the calls of so many hosts and returns the rows, without zeroes if
 * these are the most.
 */
static struct ct_rows
fill_load_rows(const struct load_case *c, uint32_t hosts, GRand *random,
               struct ct_load_row *rows)
{
    uint32_t loaded = 0;
    uint32_t n = 0;

    for (uint32_t i = 0; i < c->upstreams; i++) {
        rows[i] = (struct ct_load_row){i, 0};
    }
    for (uint32_t i = 0; i < hosts * c->calls_per_host; i++) {
        rows[g_rand_int_range(random, 0, (gint32)c->upstreams)].in_flight++;
    }
    for (uint32_t i = 0; i < c->upstreams; i++) {
        loaded += rows[i].in_flight > 0;
    }
    for (uint32_t i = 0; i < c->upstreams; i++) {
        if (rows[i].in_flight > 0 || loaded >= c->upstreams / 2) {
            rows[n++] = rows[i];
        }
    }
    return CT_ROWS(rows, n);
}

/* The gaps of upstreams of which one in four has half the speed. */
static struct ct_rows
fill_gap_rows(const struct load_case *c, GRand *random,
              struct ct_load_gap_row *rows)
{
    for (uint32_t i = 0; i < c->upstreams; i++) {
        uint32_t gap_us = (uint32_t)g_rand_int_range(random, 20000, 30000);

        rows[i] = (struct ct_load_gap_row){
            i, ct_speed_encode_gap(i % 4 == 0 ? gap_us * 2 : gap_us)};
    }
    return CT_ROWS(rows, c->upstreams);
}

static void
print_load(const struct load_case *c)
{
    GRand *random = g_rand_new_with_seed(1);
    struct ct_load_row *rows = g_new0(struct ct_load_row, c->upstreams);
    struct ct_load_list_row *list =
        g_new0(struct ct_load_list_row, c->upstreams);
    struct ct_load_gap_row *gaps =
        g_new0(struct ct_load_gap_row, c->upstreams);
    struct ct_peer_message m = {.type = CT_PEER_LOAD};
    uint32_t followers = (c->hosts + c->sources - 1) / c->sources - 1;
    guint report;
    guint source_report;
    guint sum;

    printf("load of %u hosts, %u upstreams, %u sources:\n", c->hosts,
           c->upstreams, c->sources);
    /* As after a day. */
    m.u.load.sequence = 200000;
    m.u.load.list_version = 1;
    m.u.load.hosts = followers + 1;
    m.u.load.age_ms = 80;
    m.rows = fill_load_rows(c, 1, random, rows);
    report = print_peer_message("report of a follower", &m);
    m.rows = fill_load_rows(c, followers + 1, random, rows);
    source_report = print_peer_message("report of a source", &m);
    m.type = CT_PEER_LOAD_SUM;
    m.u.load_sum.load.hosts = c->hosts;
    m.u.load_sum.load.age_ms = 500;
    for (uint32_t i = 0; i < followers; i++) {
        m.u.load_sum.reporters[i] = g_rand_int(random);
        m.u.load_sum.reported[i] = 200000;
    }
    m.rows = fill_load_rows(c, c->hosts, random, rows);
    sum = print_peer_message("sum", &m);
    m.type = CT_PEER_LOAD_LIST;
    m.rows = CT_ROWS(list, c->upstreams);
    print_peer_message("list, once for each link", &m);
    m.type = CT_PEER_LOAD_GAPS;
    m.rows = fill_gap_rows(c, random, gaps);
    print_peer_message("gaps of all upstreams, each 5 s", &m);
    printf("follower sends %u, receives %u bytes/s\n", 2 * report, 2 * sum);
    printf("source sends %u, receives %u bytes/s\n",
           2 * followers * sum + (c->sources - 1) * source_report,
           2 * followers * report + (c->sources - 1) * source_report);
    g_free(gaps);
    g_free(list);
    g_free(rows);
    g_rand_free(random);
}

static const struct load_case load_small = {83, 140, 6, 60};
static const struct load_case load_target = {HOSTS, UPSTREAMS, 28, 360};

int
main(void)
{
    print_config("configuration, open routes", false);
    print_config("configuration, all access", true);
    print_fixed_records();
    print_row_records();
    print_store_updates();
    print_config_update();
    print_load(&load_small);
    print_load(&load_target);
    return 0;
}
