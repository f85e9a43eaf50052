/* A service file is read, or rejected with findings, whatever it holds. */
#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "service-files.h"

static void
load(const char *directory)
{
    const char *const directories[] = {directory};
    struct ct_service_files files;
    struct ct_diags diags;

    ct_diags_init(&diags);
    if (ct_service_files_load(&files, directories, 1, &diags) < 0) {
        g_assert_cmpuint(diags.items->len, >, 0);
    }
    ct_service_files_free(&files);
    ct_diags_free(&diags);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    char directory[] = "/tmp/fuzz-service-files-XXXXXX";
    char *path;

    g_assert_nonnull(g_mkdtemp(directory));
    path = g_build_filename(directory, "service.json", NULL);
    g_assert_true(
        g_file_set_contents(path, (const char *)bytes, (gssize)n, NULL));
    load(directory);
    g_unlink(path);
    g_rmdir(directory);
    g_free(path);
    return 0;
}
