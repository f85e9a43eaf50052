/* Tests of part-record-body.h: records encoded and parsed, malformed ones. */
#include <string.h>

#include "error.h"
#include "part-record-body.h"

static void
assert_round_trip(const struct ct_part_record *record, const char *key)
{
    GString *name = g_string_new(NULL);
    GString *body = g_string_new(NULL);
    struct ct_part_record out;

    ct_part_record_key(record, name);
    g_assert_cmpstr(name->str, ==, key);
    ct_part_record_body(record, body);
    g_assert_cmpint(
        ct_part_record_parse(name->str, body->str, body->len, &out), ==,
        CT_OK);
    g_assert_cmpint(out.kind, ==, record->kind);
    g_assert_cmpint(out.wall_ms, ==, record->wall_ms);
    g_assert_cmphex(out.upstream, ==, record->upstream);
    g_assert_cmpint(out.begun, ==, record->begun);
    g_assert_cmpuint(out.parts.n, ==, record->parts.n);
    g_assert_cmpint(
        memcmp(out.parts.ids, record->parts.ids, sizeof(out.parts.ids)), ==,
        0);
    g_string_free(name, TRUE);
    g_string_free(body, TRUE);
}

static void
test_round_trip(void)
{
    struct ct_part_record record = {
        .kind = CT_PART_CRASHED,
        .parts = {.ids = {1, UINT64_MAX}, .n = 2},
        .upstream = 0x8000000000000001,
        .begun = true,
        .wall_ms = 1780208650000,
    };

    assert_round_trip(&record, "crashed");
    record.parts.n = 0;
    memset(record.parts.ids, 0, sizeof(record.parts.ids));
    assert_round_trip(&record, "crashed");
    record = (struct ct_part_record){
        .kind = CT_PART_QUARANTINED,
        .parts = {.ids = {0xa1b2}, .n = 1},
        .wall_ms = 5,
    };
    assert_round_trip(&record, "part-a1b2");
    record.kind = CT_PART_ANSWERED;
    record.wall_ms = 0;
    assert_round_trip(&record, "part-a1b2");
}

static void
test_malformed(void)
{
    static const struct {
        const char *key, *value;
        int err;
    } cases[] = {
        {"", "{}", CT_ERR_INVALID},
        {"other", "{}", CT_ERR_INVALID},
        {"part-", "{\"until_ms\":1}", CT_ERR_FIELD_RANGE},
        {"part-xyz", "", CT_ERR_FIELD_RANGE},
        {"part-11112222333344445", "", CT_ERR_FIELD_RANGE},
        {"part-1", "{", CT_ERR_JSON_SYNTAX},
        {"part-1", "[]", CT_ERR_FIELD_TYPE},
        {"part-1", "{}", CT_ERR_FIELD_MISSING},
        {"part-1", "{\"until_ms\":-1}", CT_ERR_FIELD_RANGE},
        {"part-1", "{\"until_ms\":\"1\"}", CT_ERR_FIELD_TYPE},
        {"crashed", "", CT_ERR_JSON_SYNTAX},
        {"crashed", "{\"begun\":true,\"at_ms\":1,\"parts\":[]}",
         CT_ERR_FIELD_MISSING},
        {"crashed",
         "{\"upstream\":\"g\",\"begun\":true,\"at_ms\":1,"
         "\"parts\":[]}",
         CT_ERR_FIELD_RANGE},
        {"crashed",
         "{\"upstream\":\"1\",\"begun\":1,\"at_ms\":1,"
         "\"parts\":[]}",
         CT_ERR_FIELD_TYPE},
        {"crashed", "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1}",
         CT_ERR_FIELD_MISSING},
        {"crashed",
         "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1,"
         "\"parts\":{}}",
         CT_ERR_FIELD_TYPE},
        {"crashed",
         "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1,"
         "\"parts\":[1]}",
         CT_ERR_FIELD_TYPE},
        {"crashed",
         "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1,"
         "\"parts\":[[]]}",
         CT_ERR_FIELD_TYPE},
        {"crashed",
         "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1,"
         "\"parts\":[\"\"]}",
         CT_ERR_FIELD_RANGE},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_part_record record;

        g_test_message("%s %s", cases[i].key, cases[i].value);
        g_assert_cmpint(ct_part_record_parse(cases[i].key, cases[i].value,
                                             strlen(cases[i].value), &record),
                        ==, cases[i].err);
    }
}

/* More parts than a record holds. */
static void
test_too_many_parts(void)
{
    GString *value = g_string_new(
        "{\"upstream\":\"1\",\"begun\":true,\"at_ms\":1,\"parts\":[\"1\"");
    struct ct_part_record record;

    for (guint i = 0; i < CT_PROMPT_PARTS_MAX; i++) {
        g_string_append(value, ",\"2\"");
    }
    g_string_append(value, "]}");
    g_assert_cmpint(
        ct_part_record_parse("crashed", value->str, value->len, &record), ==,
        CT_ERR_TOO_LARGE);
    g_string_free(value, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/part-record-body/round-trip", test_round_trip);
    g_test_add_func("/part-record-body/malformed", test_malformed);
    g_test_add_func("/part-record-body/too-many-parts", test_too_many_parts);
    return g_test_run();
}
