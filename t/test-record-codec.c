/*
 * Tests of record-codec.h: every record type encoded and decoded, and
 * malformed records.
 */
#include <glib.h>
#include <string.h>

#include "coriandertrack.pb-c.h"
#include "error.h"
#include "record-codec.h"

static void
fill_config(struct ct_config_row *row, enum ct_config_kind kind)
{
    row->kind = kind;
    switch (kind) {
    case CT_CONFIG_ORGANISATION:
        CT_TEXT_SET(row->u.organisation.name, "law");
        row->u.organisation.weight = 3;
        break;
    case CT_CONFIG_HOST:
        CT_TEXT_SET(row->u.host.name, "h1");
        CT_TEXT_SET(row->u.host.zone, "Yaba");
        CT_TEXT_SET(row->u.host.peer_address, "127.0.0.1:9");
        break;
    case CT_CONFIG_CLASS:
        CT_TEXT_SET(row->u.klass.name, "draft");
        row->u.klass.tier = CT_TIERS - 1;
        row->u.klass.total_target_ms = 90000;
        row->u.klass.cheap_allowed = true;
        break;
    case CT_CONFIG_ROUTE:
        CT_TEXT_SET(row->u.route.path, "/v1/hold");
        row->u.route.idempotent = true;
        break;
    case CT_CONFIG_ACCESS:
        CT_TEXT_SET(row->u.access.organisation, "law");
        break;
    case CT_CONFIG_POOL:
        row->u.pool.kind = CT_POOL_PLAIN;
        row->u.pool.max_upstreams = 9;
        break;
    case CT_CONFIG_UPSTREAM:
        CT_TEXT_SET(row->u.upstream.address, "127.0.0.2:80");
        row->u.upstream.slots = 8;
        break;
    case CT_CONFIG_PREFIX_ROUTE:
    case CT_CONFIG_POOL_SHARE:
    case CT_CONFIG_ORDER_ZONE:
    case CT_CONFIG_KEY:
        /*
         * These rows come from the platform's store and are never written to
         * this log.
         */
        break;
    }
}

static void
fill_snapshot(struct ct_snapshot_row *row, enum ct_snapshot_kind kind)
{
    row->kind = kind;
    row->offset = 40 + kind;
    switch (kind) {
    case CT_SNAPSHOT_CONFIG:
        fill_config(&row->u.config, CT_CONFIG_UPSTREAM);
        break;
    case CT_SNAPSHOT_KEY:
        memset(&row->u.key.digest, 0xa5, sizeof(row->u.key.digest));
        row->u.key.withdrawn = true;
        break;
    case CT_SNAPSHOT_LEASE:
        row->u.lease.role = CT_ROLE_USAGE;
        row->u.lease.term = 12;
        break;
    case CT_SNAPSHOT_CLAIM:
        row->u.claim.done = true;
        row->u.claim.status = -7;
        break;
    case CT_SNAPSHOT_USAGE_WINDOW:
        row->u.window.window_start_ms = 60000;
        break;
    case CT_SNAPSHOT_USAGE_ROW:
        row->u.usage.tokens_out = UINT64_MAX;
        break;
    case CT_SNAPSHOT_ORDER:
        row->u.order.kind = CT_ORDER_ROLE;
        break;
    }
}

struct sample {
    struct ct_record record;
    struct ct_config_row config[CT_CONFIG_UPSTREAM];
    struct ct_snapshot_row snapshot[CT_SNAPSHOT_ORDER];
    struct ct_usage_row usage[2];
    struct ct_refusal_row refusals[2];
};

static void
fill_rows(struct sample *s)
{
    switch (s->record.type) {
    case CT_RECORD_CONFIG:
        for (int kind = 1; kind <= CT_CONFIG_UPSTREAM; kind++) {
            fill_config(&s->config[kind - 1], kind);
        }
        s->record.rows = CT_ROWS(s->config, CT_CONFIG_UPSTREAM);
        break;
    case CT_RECORD_SNAPSHOT:
        for (int kind = 1; kind <= CT_SNAPSHOT_ORDER; kind++) {
            fill_snapshot(&s->snapshot[kind - 1], kind);
        }
        s->record.rows = CT_ROWS(s->snapshot, CT_SNAPSHOT_ORDER);
        break;
    case CT_RECORD_USAGE_FINAL:
        CT_TEXT_SET(s->usage[1].organisation, "law");
        s->usage[1].late_requests = 1;
        s->record.rows = CT_ROWS(s->usage, 2);
        break;
    case CT_RECORD_REFUSALS:
        CT_TEXT_SET(s->refusals[0].host, "h1");
        s->refusals[0].expected_wait_ms = CT_MS_NEVER;
        s->refusals[0].reason = CT_REFUSAL_OVERLOAD;
        s->refusals[0].run_state = CT_MAY_HAVE_RUN;
        s->refusals[1].run_state = CT_NOT_RUN;
        s->record.rows = CT_ROWS(s->refusals, 2);
        break;
    default:
        break;
    }
}

static void
fill_sample(struct sample *s, enum ct_record_type type)
{
    memset(s, 0, sizeof(*s));
    s->record.type = type;
    CT_TEXT_SET(s->record.writer, "h1/7");
    s->record.sequence = UINT64_MAX;
    s->record.base_offset = 17;
    s->record.wall_ms = 1700000000000;
    switch (type) {
    case CT_RECORD_KEY_GRANT:
    case CT_RECORD_KEY_WITHDRAW:
        memset(&s->record.u.key.digest, 1, sizeof(s->record.u.key.digest));
        CT_TEXT_SET(s->record.u.key.label, "desk");
        break;
    case CT_RECORD_LEASE:
        s->record.u.lease.duration_ms = 6000;
        break;
    case CT_RECORD_CLAIM:
    case CT_RECORD_CLAIM_DONE:
        CT_TEXT_SET(s->record.u.claim.host, "h1");
        break;
    case CT_RECORD_USAGE_FINAL:
    case CT_RECORD_USAGE_ACCEPTED:
        s->record.u.window.window_ms = 60000;
        break;
    case CT_RECORD_ORDER_INTENT:
    case CT_RECORD_ORDER_DONE:
        s->record.u.order.kind = CT_ORDER_START;
        s->record.u.order.result = CT_ERR_TIMEOUT;
        break;
    default:
        break;
    }
    fill_rows(s);
}

static void
assert_records_equal(const struct ct_record *a, const struct ct_record *b)
{
    struct ct_record x = *a;
    struct ct_record y = *b;

    g_assert_cmpuint(a->rows.n, ==, b->rows.n);
    g_assert_cmpmem(a->rows.data, (size_t)a->rows.n * a->rows.row_size,
                    b->rows.data, (size_t)b->rows.n * b->rows.row_size);
    x.rows = CT_NO_ROWS;
    y.rows = CT_NO_ROWS;
    g_assert_cmpmem(&x, sizeof(x), &y, sizeof(y));
}

static void
test_round_trip(void)
{
    struct ct_decoded_record decoded;
    struct sample s;

    for (int type = 1; type <= CT_RECORD_SNAPSHOT; type++) {
        GByteArray *bytes = g_byte_array_new();

        fill_sample(&s, type);
        g_assert_cmpint(ct_record_encode(&s.record, bytes), ==, CT_OK);
        g_assert_cmpint(ct_record_decode(bytes->data, bytes->len, &decoded),
                        ==, CT_OK);
        assert_records_equal(&s.record, &decoded.record);
        ct_decoded_record_free(&decoded);
        g_byte_array_unref(bytes);
    }
}

/*
 * Every record that can be encoded can be decoded, including records of the
 * smallest rows, which expand most when decoded.
 */
static void
test_smallest_rows(void)
{
    struct ct_snapshot_row *rows = g_new0(struct ct_snapshot_row, 20000);
    struct ct_record record = {.type = CT_RECORD_SNAPSHOT};
    struct ct_decoded_record decoded;

    for (int kind = 1; kind <= CT_SNAPSHOT_ORDER; kind++) {
        GByteArray *bytes = g_byte_array_new();

        for (int i = 0; i < 20000; i++) {
            rows[i] = (struct ct_snapshot_row){.kind = kind};
            if (kind == CT_SNAPSHOT_CONFIG) {
                rows[i].u.config.kind = CT_CONFIG_ACCESS;
            }
            else if (kind == CT_SNAPSHOT_ORDER) {
                rows[i].u.order.kind = CT_ORDER_START;
            }
        }
        record.rows = CT_ROWS(rows, 20000);
        g_assert_cmpint(ct_record_encode(&record, bytes), ==, CT_OK);
        g_assert_cmpint(ct_record_decode(bytes->data, bytes->len, &decoded),
                        ==, CT_OK);
        ct_decoded_record_free(&decoded);
        g_byte_array_unref(bytes);
    }
    g_free(rows);
}

/*
 * A truncated or corrupted record either decodes or gives CT_ERR_DECODE,
 * nothing else.
 */
static void
test_corrupted(void)
{
    GRand *random = g_rand_new_with_seed(11);
    struct ct_decoded_record decoded;
    struct sample s;

    for (int type = 1; type <= CT_RECORD_SNAPSHOT; type++) {
        GByteArray *bytes = g_byte_array_new();

        fill_sample(&s, type);
        ct_record_encode(&s.record, bytes);
        for (guint i = 0; i < 4 * bytes->len; i++) {
            guint offset = i % bytes->len;
            uint8_t original = bytes->data[offset];
            guint n = i < bytes->len ? i : bytes->len;
            int err;

            bytes->data[offset] ^= (uint8_t)g_rand_int_range(random, 1, 256);
            err = ct_record_decode(bytes->data, n, &decoded);
            g_assert_true(err == CT_OK || err == CT_ERR_DECODE);
            ct_decoded_record_free(&decoded);
            bytes->data[offset] = original;
        }
        g_byte_array_unref(bytes);
    }
    g_rand_free(random);
}

struct malformed_case {
    const char *name;
    Ct__LogRecord *record;
};

static void
test_malformed(void)
{
    uint8_t digest_bytes[33] = {0};
    Ct__Key short_key = CT__KEY__INIT;
    Ct__Key long_key = CT__KEY__INIT;
    Ct__Lease lease = CT__LEASE__INIT;
    Ct__Order order = CT__ORDER__INIT;
    Ct__ConfigRow empty_row = CT__CONFIG_ROW__INIT;
    Ct__ConfigRow *rows[] = {&empty_row};
    char long_name[CT_NAME_MAX + 1];
    Ct__LogRecord r[12];
    const struct malformed_case cases[] = {
        {"no type", &r[0]},       {"unknown type", &r[1]},
        {"long name", &r[2]},     {"control character", &r[3]},
        {"no body", &r[4]},       {"short digest", &r[5]},
        {"long digest", &r[6]},   {"unknown role", &r[7]},
        {"unknown order", &r[8]}, {"row without a kind", &r[9]},
        {"quote", &r[10]},        {"backslash", &r[11]},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(r); i++) {
        ct__log_record__init(&r[i]);
        r[i].type = CT_RECORD_CONFIG;
    }
    memset(long_name, 'a', CT_NAME_MAX);
    long_name[CT_NAME_MAX] = '\0';
    r[0].type = 0;
    r[1].type = CT_RECORD_SNAPSHOT + 1;
    r[2].writer = long_name;
    r[3].writer = "a\nb";
    r[4].type = CT_RECORD_LEASE;
    short_key.digest = (ProtobufCBinaryData){31, digest_bytes};
    long_key.digest = (ProtobufCBinaryData){33, digest_bytes};
    r[5].type = CT_RECORD_KEY_GRANT;
    r[5].key = &short_key;
    r[6].type = CT_RECORD_KEY_GRANT;
    r[6].key = &long_key;
    lease.role = CT_ROLE_COUNT;
    r[7].type = CT_RECORD_LEASE;
    r[7].lease = &lease;
    order.kind = CT_ORDER_ROLE + 1;
    r[8].type = CT_RECORD_ORDER_DONE;
    r[8].order = &order;
    r[10].writer = "a\"b";
    r[11].writer = "a\\";
    r[9].n_config_rows = 1;
    r[9].config_rows = rows;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        size_t n = ct__log_record__get_packed_size(cases[i].record);
        uint8_t *bytes = g_malloc(n + 1);
        struct ct_decoded_record decoded;

        g_test_message("%s", cases[i].name);
        ct__log_record__pack(cases[i].record, bytes);
        g_assert_cmpint(ct_record_decode(bytes, n, &decoded), ==,
                        CT_ERR_DECODE);
        ct_decoded_record_free(&decoded);
        g_free(bytes);
    }
}

static void
test_encode_refused(void)
{
    GByteArray *bytes = g_byte_array_new();
    struct sample s;

    fill_sample(&s, CT_RECORD_LEASE);
    s.record.type = CT_RECORD_SNAPSHOT + 1;
    g_assert_cmpint(ct_record_encode(&s.record, bytes), ==, CT_ERR_INVALID);
    fill_sample(&s, CT_RECORD_LEASE);
    memset(&s.record.writer, 'a', sizeof(s.record.writer));
    g_assert_cmpint(ct_record_encode(&s.record, bytes), ==, CT_ERR_INVALID);
    fill_sample(&s, CT_RECORD_CONFIG);
    s.record.rows.row_size--;
    g_assert_cmpint(ct_record_encode(&s.record, bytes), ==, CT_ERR_INVALID);
    g_assert_cmpuint(bytes->len, ==, 0);
    g_byte_array_unref(bytes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/record-codec/round-trip", test_round_trip);
    g_test_add_func("/record-codec/smallest-rows", test_smallest_rows);
    g_test_add_func("/record-codec/corrupted", test_corrupted);
    g_test_add_func("/record-codec/malformed", test_malformed);
    g_test_add_func("/record-codec/encode-refused", test_encode_refused);
    return g_test_run();
}
