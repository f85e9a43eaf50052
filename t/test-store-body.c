/*
 * Tests of store-body.h: record batches, pages, and the slots of the host
 * group.
 */
#include <string.h>

#include "error.h"
#include "store-body.h"

static GByteArray *
make_bytes(const char *text, gssize n)
{
    GByteArray *bytes = g_byte_array_new();

    g_byte_array_append(bytes, (const guint8 *)text,
                        n < 0 ? (guint)strlen(text) : (guint)n);
    return bytes;
}

static void
add_record(GByteArray *bytes, const char *data, guint32 n)
{
    guint32 length = GUINT32_TO_BE(n);

    g_byte_array_append(bytes, (const guint8 *)&length, sizeof(length));
    g_byte_array_append(bytes, (const guint8 *)data, n);
}

static void
collect_record(void *arg, int64_t offset, const char *data, size_t n)
{
    g_string_append_printf(arg, "%d=%.*s;", (int)offset, (int)n, data);
}

static void
test_records(void)
{
    /* The topic ends at 43. */
    static const char head[16] = {0, 0, 0, 0, 0, 0, 0, 43};
    struct ct_store_records records;
    GByteArray *bytes = make_bytes(head, sizeof(head));
    GString *collected = g_string_new(NULL);

    add_record(bytes, "ab", 2);
    add_record(bytes, "", 0);
    add_record(bytes, "c", 1);
    g_assert_cmpint(
        ct_store_body_records(bytes, 40, collect_record, collected, &records),
        ==, CT_OK);
    g_assert_cmpstr(collected->str, ==, "40=ab;41=;42=c;");
    g_assert_cmpint(records.next, ==, 43);
    g_assert_cmpuint(records.entries, ==, 3);
    g_assert_false(records.more);
    /* A response truncated anywhere except between two records is invalid. */
    for (guint n = 0; n < bytes->len; n++) {
        GByteArray *part = make_bytes((const char *)bytes->data, n);
        bool complete = n == 16 || n == 22 || n == 26;

        g_assert_cmpint(ct_store_body_records(part, 40, collect_record,
                                              collected, &records),
                        ==, complete ? CT_OK : CT_ERR_DECODE);
        g_assert_true(!complete || records.more);
        g_byte_array_unref(part);
    }
    g_byte_array_unref(bytes);
    g_string_free(collected, TRUE);
}

static void
test_keys(void)
{
    char key[CT_STORE_KEY_MAX];
    const char *value;
    size_t n;

    g_assert_cmpint(ct_store_body_split_key("\x03"
                                            "abcxy",
                                            6, key, &value, &n),
                    ==, CT_OK);
    g_assert_cmpstr(key, ==, "abc");
    g_assert_cmpuint(n, ==, 2);
    g_assert_cmpint(ct_store_body_split_key("\x03"
                                            "abc",
                                            4, key, &value, &n),
                    ==, CT_OK);
    g_assert_cmpuint(n, ==, 0);
    g_assert_cmpint(ct_store_body_split_key("\x04"
                                            "abc",
                                            4, key, &value, &n),
                    ==, CT_ERR_DECODE);
    g_assert_cmpint(ct_store_body_split_key("", 0, key, &value, &n), ==,
                    CT_ERR_DECODE);
}

/* A key that names no zone must not evacuate anything. */
static void
test_evacuation(void)
{
    static const struct {
        const char *key;
        size_t n;
        int err;
        const char *zone;
        bool ends;
    } cases[] = {
        {"evacuate/zone-a", 1, CT_OK, "zone-a", false},
        {"evacuate/zone-a", 0, CT_OK, "zone-a", true},
        {"evacuate/a/b", 20, CT_OK, "a/b", false},
        {"evacuate/", 1, CT_ERR_FIELD_MISSING, "", false},
        {NULL, 1, CT_ERR_TOO_LARGE, "", false},
    };
    g_autofree char *zone = g_strnfill(CT_NAME_MAX, 'z');
    g_autofree char *too_long = g_strconcat("evacuate/", zone, NULL);

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_event event = {.type = 0};

        g_assert_cmpint(
            ct_store_body_evacuation(cases[i].key ? cases[i].key : too_long,
                                     cases[i].n, &event),
            ==, cases[i].err);
        g_assert_cmpstr(event.u.store_evacuation.zone.text, ==, cases[i].zone);
        g_assert_cmpint(event.u.store_evacuation.ends, ==, cases[i].ends);
        g_assert_cmpint(event.type, ==, CT_EVENT_STORE_EVACUATION);
    }
}

static void
collect_item(void *arg, const char *key, const char *value, size_t n)
{
    g_string_append_printf(arg, "%s=%.*s;", key, (int)n, value);
}

static void
test_pages(void)
{
    static const struct {
        const char *text;
        int err;
    } cases[] = {
        {"{\"items\":[{\"key\":\"a\",\"value\":\"eHk=\",\"offset\":4},"
         "{\"key\":\"b\",\"value\":\"\",\"offset\":5}],\"hasMore\":true,"
         "\"endOffset\":9}",
         CT_OK},
        {"{\"items\":[],\"hasMore\":false}", CT_ERR_FIELD_MISSING},
        {"{\"items\":[],\"endOffset\":9}", CT_ERR_FIELD_MISSING},
        {"{\"items\":[{\"key\":5}],\"hasMore\":false,\"endOffset\":9}",
         CT_ERR_DECODE},
        {"{", CT_ERR_JSON_SYNTAX},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *bytes = make_bytes(cases[i].text, -1);
        GString *collected = g_string_new(NULL);
        struct ct_store_page page = {0};

        g_assert_cmpint(
            ct_store_body_page(bytes, &page, collect_item, collected), ==,
            cases[i].err);
        if (cases[i].err == CT_OK) {
            g_assert_cmpstr(collected->str, ==, "a=xy;b=;");
            g_assert_cmpstr(page.last_key, ==, "b");
            g_assert_true(page.has_more);
            g_assert_cmpint(page.end, ==, 9);
        }
        g_string_free(collected, TRUE);
        g_byte_array_unref(bytes);
    }
}

/* The host that holds the first part of the first topic is the leader. */
static void
test_joined(void)
{
    static const struct {
        const char *text;
        int err;
        bool is_leader;
    } cases[] = {
        {"{\"generation\":7,\"parts\":[[\"seats-00\",0,4]]}", CT_OK, true},
        {"{\"generation\":7,\"parts\":[[\"seats-01\",0,4],"
         "[\"seats-00\",3,0]]}",
         CT_OK, false},
        {"{\"generation\":7,\"parts\":[]}", CT_OK, false},
        {"{\"generation\":7,\"parts\":[5,[],[null,0,0]]}", CT_OK, false},
        {"{\"parts\":[[\"seats-00\",0,4]]}", CT_ERR_FIELD_MISSING, false},
        {"{\"generation\":7,\"parts\":[[\"seats-00\",\"0\",4],"
         "[\"seats-00\",{},4],[\"seats-00\",null,4]]}",
         CT_OK, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *bytes = make_bytes(cases[i].text, -1);
        struct ct_store_join_done joined = {0};

        g_assert_cmpint(ct_store_body_joined(bytes, &joined), ==,
                        cases[i].err);
        if (cases[i].err == CT_OK) {
            g_assert_cmpint(joined.generation, ==, 7);
            g_assert_cmpint(joined.holds_leader_slot, ==, cases[i].is_leader);
        }
        g_byte_array_unref(bytes);
    }
}

static void
test_members(void)
{
    GByteArray *bytes = make_bytes(
        "{\"parts\":[[\"seats-00\",0,\"h1@10.0.0.1:80\",0],"
        "[\"seats-00\",1,\"h2@10.0.0.2:80@Yaba@10.0.0.2:7340\",0],"
        "[\"seats-00\",2,\"h1@10.0.0.1:80\",0],[\"seats-00\",3,null,0],"
        "[\"seats-00\",4,\"odd\",0],[\"seats-00\",{},\"h3@10.0.0.3:80\",0],"
        "[[],0,\"h4@10.0.0.4:80\",0],[\"seats-00\"],7]}",
        -1);
    GArray *members = g_array_new(FALSE, TRUE, sizeof(struct ct_member));

    g_assert_cmpint(ct_store_body_members(bytes, members), ==, CT_OK);
    g_assert_cmpuint(members->len, ==, 2);
    g_assert_cmpstr(g_array_index(members, struct ct_member, 1).host.text, ==,
                    "h2");
    g_assert_cmpstr(g_array_index(members, struct ct_member, 1).address.text,
                    ==, "10.0.0.2:80");
    g_assert_cmpstr(g_array_index(members, struct ct_member, 1).zone.text, ==,
                    "Yaba");
    g_assert_cmpstr(
        g_array_index(members, struct ct_member, 1).peer_address.text, ==,
        "10.0.0.2:7340");
    g_array_free(members, TRUE);
    g_byte_array_unref(bytes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-body/records", test_records);
    g_test_add_func("/store-body/keys", test_keys);
    g_test_add_func("/store-body/evacuation", test_evacuation);
    g_test_add_func("/store-body/pages", test_pages);
    g_test_add_func("/store-body/joined", test_joined);
    g_test_add_func("/store-body/members", test_members);
    return g_test_run();
}
