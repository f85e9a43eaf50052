/* Tests of uuid.h: formatting, parsing and malformed texts. */
#include <glib.h>

#include "error.h"
#include "uuid.h"

static void
test_round_trip(void)
{
    uint8_t random[CT_UUID7_RANDOM_BYTES] = {255, 255, 255, 255, 255,
                                             255, 255, 255, 255, 255};
    struct ct_request_id id;
    ct_ms wall_ms;

    ct_uuid7_format(INT64_C(0x0123456789ab), random, &id);
    g_assert_cmpstr(id.text, ==, "01234567-89ab-7fff-bfff-ffffffffffff");
    g_assert_cmpint(ct_uuid7_parse(id.text, &wall_ms), ==, CT_OK);
    g_assert_cmpint(wall_ms, ==, INT64_C(0x0123456789ab));
}

static void
test_malformed(void)
{
    static const char *const texts[] = {
        "",
        "01234567-89ab-4fff-bfff-ffffffffffff",
        "01234567-89ab-7fff-cfff-ffffffffffff",
        "01234567-89ab-7fff-bfff-fffffffffff",
        "01234567-89ab-7fff-bfff-fffffffffffg",
        "0123456789ab--7fff-bfff-ffffffffffff",
        "01234567089ab07fff0bfff0ffffffffffff",
    };
    ct_ms wall_ms;

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_cmpint(ct_uuid7_parse(texts[i], &wall_ms), ==,
                        CT_ERR_INVALID);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/uuid/round-trip", test_round_trip);
    g_test_add_func("/uuid/malformed", test_malformed);
    return g_test_run();
}
