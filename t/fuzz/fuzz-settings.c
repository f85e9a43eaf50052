/* A settings file is read, or rejected with findings, whatever it holds. */
#include <glib.h>
#include <unistd.h>

#include "relay-settings.h"
#include "settings.h"

static void
load(const char *path)
{
    struct ct_relay_settings relay_settings;
    struct ct_settings settings;
    struct ct_diags diags;

    ct_diags_init(&diags);
    if (ct_relay_settings_load(path, &relay_settings, &diags) < 0) {
        g_assert_cmpuint(diags.items->len, >, 0);
    }
    ct_diags_free(&diags);
    ct_diags_init(&diags);
    if (ct_settings_load(path, &settings, &diags) == 0) {
        ct_settings_free(&settings);
    }
    ct_diags_free(&diags);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    char path[] = "/tmp/fuzz-settings-XXXXXX";
    int fd = mkstemp(path);

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(write(fd, bytes, n), ==, (ssize_t)n);
    close(fd);
    load(path);
    unlink(path);
    return 0;
}
