#include "service-dirs.h"

#include <stdio.h>

int
ct_service_dirs_load(const struct ct_arguments *arguments,
                     struct ct_service_files *files)
{
    GString *line = g_string_new(NULL);
    struct ct_diags diags;
    int err;

    ct_diags_init(&diags);
    err = ct_service_files_load(files, arguments->words,
                                (size_t)arguments->n_words, &diags);
    for (guint i = 0; i < ct_diags_count(&diags); i++) {
        g_string_truncate(line, 0);
        ct_diag_format(ct_diags_get(&diags, i), line);
        fprintf(stderr, "%s\n", line->str);
    }
    ct_diags_free(&diags);
    g_string_free(line, TRUE);
    return err;
}
