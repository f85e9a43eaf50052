/* Tests of peer-codec.h: round trip of every frame, and invalid frames. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "peer-codec.h"

static struct ct_usage_row usage_rows[2];
static struct ct_slot_row demand_rows[2];
static struct ct_refusal_row refusal_row;
static struct ct_snapshot_row snapshot_row;
static struct ct_store_upstream entry;
static struct ct_member members[2];
static struct ct_tally_row tally_rows[2];
/* Numbers that are not in order, and the greatest differences of counts. */
static const struct ct_load_row load_rows[] = {
    {3, 0}, {4, UINT32_MAX}, {600, 0}, {1, 7}};
/* Numbers that count up are left out. */
static const struct ct_load_row dense_rows[] = {{0, 9}, {1, 0}, {2, 8}};
static const struct ct_load_list_row load_list[] = {{0}, {UINT64_MAX}, {42}};
static const struct ct_load_gap_row gap_rows[] = {{0, 149}, {1, 0}, {2, 416}};

static void
fill_load_message(struct ct_peer_message *m)
{
    m->rows = CT_ROWS(load_rows, G_N_ELEMENTS(load_rows));
    switch (m->type) {
    case CT_PEER_LOAD:
        m->u.load = (struct ct_peer_load){
            .sequence = 7, .list_version = 2, .hosts = 3, .age_ms = 450};
        m->u.load.follows = true;
        break;
    case CT_PEER_LOAD_SUM:
        m->rows = CT_ROWS(dense_rows, G_N_ELEMENTS(dense_rows));
        m->u.load_sum.load.hosts = 83;
        m->u.load_sum.reporters[CT_LOAD_REPORTERS_MAX - 1] = UINT32_MAX;
        m->u.load_sum.reported[CT_LOAD_REPORTERS_MAX - 1] = 9;
        break;
    case CT_PEER_LOAD_LIST:
        m->u.load_list = (struct ct_peer_load_list){2, 40};
        m->rows = CT_ROWS(load_list, G_N_ELEMENTS(load_list));
        break;
    case CT_PEER_LOAD_GAPS:
        m->u.load_gaps = (struct ct_peer_load_gaps){8, 2, true};
        m->rows = CT_ROWS(gap_rows, G_N_ELEMENTS(gap_rows));
        break;
    default:
        break;
    }
}

static void
fill_store_update(struct ct_peer_message *m)
{
    m->u.store_update = (struct ct_store_update){
        .topic = CT_TOPIC_UPSTREAMS,
        .from = 5,
        .next = 6,
        .requested_ms = 77,
        .known_after_ms = -3,
        .recovered_age_ms = CT_MS_NEVER,
        .failed = true,
    };
    CT_TEXT_SET(entry.upstream.name, "engine-1");
    /* Names are UTF-8, not only ASCII. */
    CT_TEXT_SET(entry.upstream.zone, "\xc4\xb0zmir");
    entry.upstream.slots = 64;
    entry.upstream.cheap = true;
    entry.leaving = true;
    entry.started_ms = -1;
    entry.cold_left_ms = 9000;
    entry.sequence = 8;
    entry.offset = 5;
    m->rows = CT_ROWS(&entry, 1);
}

/* One row of each kind, with the members that only relaying hosts use. */
static void
fill_config(struct ct_peer_message *m)
{
    static struct ct_config_row rows[CT_CONFIG_KEY];
    struct ct_prefix_route *route =
        &rows[CT_CONFIG_PREFIX_ROUTE - 1].u.prefix_route;

    memset(rows, 0, sizeof(rows));
    for (guint i = 0; i < G_N_ELEMENTS(rows); i++) {
        rows[i].kind = (enum ct_config_kind)(i + 1);
    }
    rows[CT_CONFIG_ORGANISATION - 1].u.organisation =
        (struct ct_organisation){.weight = 1, .has_rank = true, .rank = 7};
    rows[CT_CONFIG_POOL - 1].u.pool = (struct ct_pool){.kind = CT_POOL_PLAIN,
                                                       .backs_up = true,
                                                       .cold_ms = 9000,
                                                       .cold_permille = 6100};
    rows[CT_CONFIG_UPSTREAM - 1].u.upstream.slots = 1;
    *route = (struct ct_prefix_route){.stream = true,
                                      .repeat = CT_REPEAT_RESUME,
                                      .open_to_all = true,
                                      .sticky = true,
                                      .rank = 2,
                                      .attempts = 3,
                                      .timeout_ms = 8000,
                                      .gap_target_ms = 250};
    CT_TEXT_SET(route->name, "r1");
    CT_TEXT_SET(route->authority, "svc.example");
    CT_TEXT_SET(route->prefix, "/any/");
    rows[CT_CONFIG_POOL_SHARE - 1].u.pool_share.weight = 5;
    CT_TEXT_SET(rows[CT_CONFIG_ORDER_ZONE - 1].u.order_zone.zone, "Konya");
    memset(&rows[CT_CONFIG_KEY - 1].u.key.digest, 0x5a,
           sizeof(struct ct_digest));
    m->u.store_config = (struct ct_store_config_update){
        .from = 3,
        .next = 5,
        .config = {.version = 9,
                   .keys_required = true,
                   .has_bounds = true,
                   .bounds = {1, 2, 3, 4},
                   .n_left_out = 1,
                   .left_out_reason = CT_ERR_DECODE}};
    CT_TEXT_SET(m->u.store_config.config.left_out_name, "r2");
    m->rows = CT_ROWS(rows, G_N_ELEMENTS(rows));
}

static void
fill_message(struct ct_peer_message *m, enum ct_peer_message_type type)
{
    m->type = type;
    CT_TEXT_SET(m->sender, "h2");
    switch (type) {
    case CT_PEER_HEARTBEAT:
        m->u.heartbeat =
            (struct ct_peer_heartbeat){7, 9, CT_MS_NEVER, 2, true};
        break;
    case CT_PEER_WITHDRAW:
    case CT_PEER_WITHDRAWN:
        memset(&m->u.digest, 0x5a, sizeof(m->u.digest));
        break;
    case CT_PEER_SLOT_REQUEST:
    case CT_PEER_SLOT_GRANT:
        CT_TEXT_SET(m->u.slot_row.pool, "draft");
        m->u.slot_row.waiting[CT_TIERS - 1] = 4;
        m->u.slot_row.cheap = true;
        m->u.slot_row.slots = 5;
        m->u.slot_row.request_number = UINT64_C(1) << 40;
        break;
    case CT_PEER_RESPONSE_LOOKUP:
    case CT_PEER_RESPONSE_FOUND:
        CT_TEXT_SET(m->u.request_id, "0190");
        break;
    case CT_PEER_USAGE_COPY:
        usage_rows[1].requests = 3;
        CT_TEXT_SET(usage_rows[1].writer, "h2-1");
        m->rows = CT_ROWS(usage_rows, 2);
        break;
    case CT_PEER_REFUSAL_COPY:
        refusal_row.run_state = CT_NOT_RUN;
        m->rows = CT_ROWS(&refusal_row, 1);
        break;
    case CT_PEER_STATE:
        m->u.offset = 99;
        snapshot_row.kind = CT_SNAPSHOT_KEY;
        m->rows = CT_ROWS(&snapshot_row, 1);
        break;
    case CT_PEER_DEMAND:
        demand_rows[1].slots_busy = 8;
        demand_rows[1].waiting[0] = 1;
        m->rows = CT_ROWS(demand_rows, 2);
        break;
    case CT_PEER_STORE_UPDATE_REQUEST:
        m->u.requested_ms = 77;
        break;
    case CT_PEER_STORE_UPDATE:
        fill_store_update(m);
        break;
    case CT_PEER_MEMBERS_UPDATE:
        CT_TEXT_SET(members[0].host, "h1");
        CT_TEXT_SET(members[1].peer_address, "10.0.0.1:7340");
        m->rows = CT_ROWS(members, 2);
        break;
    case CT_PEER_TALLY:
        m->u.tally = (struct ct_tally){
            .window = 9, .sequence = 4, .closes = true, .ends = true};
        CT_TEXT_SET(m->u.tally.writer, "h2-1");
        CT_TEXT_SET(tally_rows[1].organisation, "\xc5\x9eirket");
        tally_rows[1].requests = 3;
        m->rows = CT_ROWS(tally_rows, 2);
        break;
    case CT_PEER_TALLY_DONE:
        m->u.sequence = 4;
        break;
    case CT_PEER_LOAD:
    case CT_PEER_LOAD_SUM:
    case CT_PEER_LOAD_LIST:
    case CT_PEER_LOAD_GAPS:
        fill_load_message(m);
        break;
    case CT_PEER_STORE_CONFIG:
        fill_config(m);
        break;
    case CT_PEER_STATE_REQUEST:
        break;
    }
}

/* Fills in frame i of all kinds and types; returns false after the last. */
static gboolean
fill_nth_frame(struct ct_peer_frame *f, int i)
{
    memset(f, 0, sizeof(*f));
    f->kind = CT_PEER_FRAME_MESSAGE;
    if (i == 0) {
        f->kind = CT_PEER_FRAME_HELLO;
        CT_TEXT_SET(f->u.hello.host, "h1");
        CT_TEXT_SET(f->u.hello.zone, "Konya");
        memset(f->u.hello.nonce, 3, CT_NONCE_BYTES);
    }
    else if (i == 1) {
        f->kind = CT_PEER_FRAME_PROOF;
        memset(f->u.proof.hmac, 4, CT_HMAC_BYTES);
    }
    else {
        fill_message(&f->u.message, i - 1);
    }
    return i - 1 <= CT_PEER_STORE_CONFIG;
}

static void
assert_equal(struct ct_peer_frame a, struct ct_peer_frame b)
{
    if (a.kind == CT_PEER_FRAME_MESSAGE) {
        struct ct_rows *x = &a.u.message.rows;
        struct ct_rows *y = &b.u.message.rows;

        g_assert_cmpmem(x->data, (size_t)x->n * x->row_size, y->data,
                        (size_t)y->n * y->row_size);
        *x = CT_NO_ROWS;
        *y = CT_NO_ROWS;
    }
    g_assert_cmpmem(&a, sizeof(a), &b, sizeof(b));
}

static void
test_round_trip(void)
{
    struct ct_decoded_peer_frame decoded;
    struct ct_peer_frame frame;

    for (int i = 0; fill_nth_frame(&frame, i); i++) {
        GByteArray *bytes = g_byte_array_new();

        g_assert_cmpint(ct_peer_encode(&frame, bytes), ==, CT_OK);
        g_assert_cmpint(ct_peer_decode(bytes->data, bytes->len, &decoded), ==,
                        CT_OK);
        assert_equal(frame, decoded.frame);
        ct_decoded_peer_frame_free(&decoded);
        g_byte_array_unref(bytes);
    }
}

static void
test_corrupted(void)
{
    GRand *random = g_rand_new_with_seed(12);
    struct ct_decoded_peer_frame decoded;
    struct ct_peer_frame frame;

    for (int i = 0; fill_nth_frame(&frame, i); i++) {
        GByteArray *bytes = g_byte_array_new();

        ct_peer_encode(&frame, bytes);
        for (guint offset = 0; offset < bytes->len; offset++) {
            uint8_t original = bytes->data[offset];
            int err;

            err = ct_peer_decode(bytes->data, offset, &decoded);
            g_assert_true(err == CT_OK || err == CT_ERR_DECODE);
            ct_decoded_peer_frame_free(&decoded);
            bytes->data[offset] ^= (uint8_t)g_rand_int_range(random, 1, 256);
            err = ct_peer_decode(bytes->data, bytes->len, &decoded);
            g_assert_true(err == CT_OK || err == CT_ERR_DECODE);
            ct_decoded_peer_frame_free(&decoded);
            bytes->data[offset] = original;
        }
        g_byte_array_unref(bytes);
    }
    g_rand_free(random);
}

static void
test_rejected(void)
{
    static const struct {
        const char *name;
        const char *bytes;
        size_t n;
    } cases[] = {
        {"empty", "", 0},
        {"empty message", "\x1a\x00", 2},
        {"unknown message type", "\x1a\x02\x08\x63", 4},
        {"message without its body", "\x1a\x02\x08\x01", 4},
        {"hello without a nonce", "\x0a\x04\x0a\x02h1", 6},
        {"proof without a digest", "\x12\x00", 2},
        {"not protobuf", "\xff\xff\xff\xff", 4},
        {"load with two numbers and one count",
         "\x1a\x0e\x08\x12\x9a\x01\x00\xb2\x01\x02\x02\x02\xba\x01\x01\x02",
         16},
        {"load with a count below zero",
         "\x1a\x0d\x08\x12\x9a\x01\x00\xb2\x01\x01\x02\xba\x01\x01\x01", 15},
    };
    struct ct_decoded_peer_frame decoded;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        g_assert_cmpint(ct_peer_decode((const uint8_t *)cases[i].bytes,
                                       cases[i].n, &decoded),
                        ==, CT_ERR_DECODE);
        ct_decoded_peer_frame_free(&decoded);
    }
}

/* A host without calls sends a report without rows. */
static void
test_no_load(void)
{
    struct ct_peer_frame frame = {.kind = CT_PEER_FRAME_MESSAGE};
    GByteArray *bytes = g_byte_array_new();
    struct ct_decoded_peer_frame decoded;

    frame.u.message.type = CT_PEER_LOAD;
    g_assert_cmpint(ct_peer_encode(&frame, bytes), ==, CT_OK);
    g_assert_cmpint(ct_peer_decode(bytes->data, bytes->len, &decoded), ==,
                    CT_OK);
    g_assert_cmpuint(decoded.frame.u.message.rows.n, ==, 0);
    ct_decoded_peer_frame_free(&decoded);
    g_byte_array_unref(bytes);
}

/*
 * Rows without a kind take 2 bytes each on the wire, so a frame within the
 * limit can hold very many; it is rejected.
 */
static void
test_many_empty_rows(void)
{
    GByteArray *frame_bytes = g_byte_array_new();
    const uint8_t head[] = {0x1a, 0x84,          0x80, 0x28,
                            0x08, CT_PEER_STATE, 0x3a, 0x00};
    struct ct_decoded_peer_frame decoded;

    g_byte_array_append(frame_bytes, head, sizeof(head));
    for (int i = 0; i < 0x50000; i++) {
        g_byte_array_append(frame_bytes, (const uint8_t *)"\x52\x00", 2);
    }
    g_assert_cmpint(
        ct_peer_decode(frame_bytes->data, frame_bytes->len, &decoded), ==,
        CT_ERR_DECODE);
    ct_decoded_peer_frame_free(&decoded);
    g_byte_array_unref(frame_bytes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-codec/round-trip", test_round_trip);
    g_test_add_func("/peer-codec/corrupted", test_corrupted);
    g_test_add_func("/peer-codec/rejected", test_rejected);
    g_test_add_func("/peer-codec/no-load", test_no_load);
    g_test_add_func("/peer-codec/many-empty-rows", test_many_empty_rows);
    return g_test_run();
}
