/* Tests of store-entry.h: entries of upstreams, also invalid ones. */
#include <glib.h>
#include <string.h>

#include "store-entry.h"
#include "error.h"

/* The entry of an upstream may have names as long as a configuration's. */
static void
test_long_upstream(void)
{
    g_autofree char *name = g_strnfill(255, 'n');
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"addr\":\"10.1.0.9:80\",\"zone\":\"%s\","
        "\"slots\":1,\"state\":\"ready\"}",
        name, name);
    struct ct_store_upstream entry;

    g_assert_cmpint(ct_store_entry_upstream(name, text, strlen(text), &entry),
                    ==, CT_OK);
    g_assert_cmpstr(entry.upstream.name.text, ==, name);
    g_assert_cmpstr(entry.upstream.pool.text, ==, name);
    g_assert_cmpstr(entry.upstream.zone.text, ==, name);
}

#define ENTRY(state, more)                                                    \
    "{\"service\":\"s1\",\"addr\":\"10.1.0.9:80\",\"zone\":\"za\","           \
    "\"version\":\"v1\",\"slots\":64,\"state\":\"" state "\"" more "}"

static void
test_upstreams(void)
{
    static const struct {
        const char *text;
        int err;
        bool leaving, cheap;
        ct_ms cold_left_ms;
    } cases[] = {
        {ENTRY("ready", ""), CT_OK, false, false},
        {ENTRY("ready", ",\"preemptible\":true,\"born\":5"), CT_OK, false,
         true},
        {ENTRY("ready", ",\"coldLeftMs\":8000.5"), CT_OK, false, false, 8000},
        {ENTRY("ready", ",\"coldLeftMs\":0"), CT_OK, false, false, 0},
        {ENTRY("ready", ",\"coldLeftMs\":1e30"), CT_OK, false, false,
         G_MAXINT32},
        {ENTRY("ready", ",\"coldLeftMs\":\"1\""), CT_ERR_FIELD_TYPE, false,
         false},
        {ENTRY("draining", ",\"leaves_ms\":2000"), CT_OK, true, false},
        {ENTRY("resting", ""), CT_ERR_INVALID, false, false},
        {ENTRY("ready", ",\"born\":\"x\""), CT_ERR_FIELD_TYPE, false, false},
        {ENTRY("ready", ",\"preemptible\":3"), CT_ERR_FIELD_TYPE, false,
         false},
        {"{\"service\":\"s1\",\"state\":\"ready\"}", CT_ERR_FIELD_MISSING,
         false, false},
        {"{\"service\":7}", CT_ERR_FIELD_MISSING, false, false},
        {"\xff\xfe", CT_ERR_JSON_SYNTAX, false, false},
        {"[1]", CT_ERR_FIELD_TYPE, false, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_store_upstream entry;

        g_assert_cmpint(ct_store_entry_upstream("i-1", cases[i].text,
                                                strlen(cases[i].text), &entry),
                        ==, cases[i].err);
        if (cases[i].err == CT_OK) {
            g_assert_cmpstr(entry.upstream.name.text, ==, "i-1");
            g_assert_cmpstr(entry.upstream.address.text, ==, "10.1.0.9:80");
            g_assert_cmpint(entry.leaving, ==, cases[i].leaving);
            g_assert_cmpint(entry.upstream.cheap, ==, cases[i].cheap);
            g_assert_cmpint(entry.cold_left_ms, ==, cases[i].cold_left_ms);
        }
    }
}

static int
parse_upstream(const char *address, const char *slots)
{
    struct ct_store_upstream entry;
    g_autofree char *text =
        g_strdup_printf("{\"service\":\"s1\",\"addr\":\"%s\",\"zone\":\"za\","
                        "\"slots\":%s,\"state\":\"ready\"}",
                        address, slots);

    g_test_message("%s", text);
    return ct_store_entry_upstream("i-1", text, strlen(text), &entry);
}

/*
 * An entry of another writer: an address where no upstream can be, numbers too
 * large, values nested too deeply.
 */
static void
test_odd_upstreams(void)
{
    static const char *const bad_addresses[] = {
        "",
        "10.1.0.9",
        "10.1.0.9:",
        ":80",
        "10.1.0.9:0",
        "10.1.0.9:65536",
        "10.1.0.9:99999",
        "10.1.0.9:-1",
        "10.1.0.9:+80",
        "10.1.0.9: 80",
        "10.1.0.9:80/x",
        "10.1.0.9:80?x",
        "10.1.0.9:4294967376",
        "u@10.1.0.9:80",
        "10.1.0.300:80",
        "server.example:80",
        "[10.1.0.9]:80",
        "::1:80",
        "10.1.0.9\\u000a:80",
    };
    static const char *const good_addresses[] = {"10.1.0.9:1",
                                                 "10.1.0.9:65535", "[::1]:80"};
    static const char *const bad_slots[] = {
        "-1", "1e999", "4294967297", "99999999999999999999", "2147483647"};
    struct ct_store_upstream entry;
    GString *deep = g_string_new("{\"x\":");

    for (guint i = 0; i < G_N_ELEMENTS(bad_addresses); i++) {
        g_assert_cmpint(parse_upstream(bad_addresses[i], "1"), <, 0);
    }
    for (guint i = 0; i < G_N_ELEMENTS(good_addresses); i++) {
        g_assert_cmpint(parse_upstream(good_addresses[i], "1"), ==, CT_OK);
    }
    for (guint i = 0; i < G_N_ELEMENTS(bad_slots); i++) {
        g_assert_cmpint(parse_upstream("10.1.0.9:80", bad_slots[i]), <, 0);
    }
    for (guint i = 0; i < 100000; i++) {
        g_string_append_c(deep, '[');
    }
    g_assert_cmpint(
        ct_store_entry_upstream("i-1", deep->str, deep->len, &entry), <, 0);
    g_string_free(deep, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-entry/upstreams", test_upstreams);
    g_test_add_func("/store-entry/long-upstream", test_long_upstream);
    g_test_add_func("/store-entry/odd-upstreams", test_odd_upstreams);
    return g_test_run();
}
