#ifndef CT_SERVICE_FILES_H
#define CT_SERVICE_FILES_H

#include "config-row.h"
#include "diag.h"

/*
 * The operators' service files: all *.json files of the given directories,
 * merged into the rows of one configuration and checked together.
 */
struct ct_service_files {
    /* struct ct_config_row, ordered by directory, file name and line */
    GArray *rows;
};

/*
 * Reads and checks the files of n directories; adds all findings to diags. The
 * caller frees the result with ct_service_files_free(), also on failure.
 * Returns CT_OK, or the error of the first finding.
 */
int ct_service_files_load(struct ct_service_files *files,
                          const char *const *dirs, size_t n,
                          struct ct_diags *diags);
void ct_service_files_free(struct ct_service_files *files);

#endif
