/* Tests of name.h: texts of fixed size, and the hashes of names. */
#include <string.h>

#include <glib.h>

#include "error.h"
#include "name.h"

/* A text that does not fit leaves the field empty. */
static void
test_text_set(void)
{
    char text[CT_NAME_MAX + 1];
    struct ct_name name;

    memset(text, 'n', sizeof(text));
    text[CT_NAME_MAX] = '\0';
    g_assert_cmpint(CT_TEXT_SET(name, text), ==, CT_ERR_TOO_LARGE);
    g_assert_cmpstr(name.text, ==, "");
    text[CT_NAME_MAX - 1] = '\0';
    g_assert_cmpint(CT_TEXT_SET(name, text), ==, CT_OK);
    g_assert_cmpstr(name.text, ==, text);
}

/* Forms of a host name that mean the same. */
static void
test_authority(void)
{
    static const struct {
        const char *host, *text;
    } cases[] = {
        {"annex.example", "annex.example"},
        {"Annex.EXAMPLE", "annex.example"},
        {"annex.example:8080", "annex.example"},
        {"annex.example.", "annex.example"},
        {"Annex.Example.:80", "annex.example"},
        {"10.1.0.9:80", "10.1.0.9"},
        {"[::1]:80", "[::1"},
        {"", ""},
    };
    char text[CT_AUTHORITY_MAX + 1];
    struct ct_authority authority;

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(ct_authority_set(&authority, cases[i].host), ==,
                        CT_OK);
        g_assert_cmpstr(authority.text, ==, cases[i].text);
    }
    memset(text, 'h', sizeof(text));
    text[CT_AUTHORITY_MAX] = '\0';
    g_assert_cmpint(ct_authority_set(&authority, text), ==, CT_ERR_TOO_LARGE);
    g_assert_cmpstr(authority.text, ==, "");
}

/*
 * Hosts of versions with other field sizes agree on the hash of a name: a
 * short name is hashed with the padding of a field of 48 bytes.
 */
static void
test_name_hash(void)
{
    const char padded[CT_NAME_HASH_BYTES_MIN] = "edge-ikeja-1";
    struct ct_name name;

    CT_TEXT_SET(name, padded);
    g_assert_cmpuint(ct_name_hash(CT_HASH_SEED, &name), ==,
                     ct_hash_bytes(CT_HASH_SEED, padded, sizeof(padded)));
}

/* The end of a long name is part of its hash. */
static void
test_long_name_hash(void)
{
    struct ct_name names[2];

    for (int i = 0; i < 2; i++) {
        memset(&names[i], 0, sizeof(names[i]));
        memset(names[i].text, 'n', CT_NAME_MAX - 1);
    }
    names[1].text[CT_NAME_MAX - 2] = 'm';
    g_assert_cmpuint(ct_name_hash(CT_HASH_SEED, &names[0]), !=,
                     ct_name_hash(CT_HASH_SEED, &names[1]));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/name/text-set", test_text_set);
    g_test_add_func("/name/authority", test_authority);
    g_test_add_func("/name/hash", test_name_hash);
    g_test_add_func("/name/long-name-hash", test_long_name_hash);
    return g_test_run();
}
