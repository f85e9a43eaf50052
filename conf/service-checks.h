#ifndef CT_SERVICE_CHECKS_H
#define CT_SERVICE_CHECKS_H

#include "config-row.h"
#include "diag.h"

/* Checks of a complete configuration: duplicates, references and sums. */

/* Place at which a row was declared. */
struct ct_row_source {
    char file[CT_DIAG_FILE_MAX];
    uint32_t line;
    /* The list and index, such as "routes[2]". */
    char field[CT_DIAG_FIELD_MAX];
};

struct ct_config_draft {
    /* struct ct_config_row */
    GArray *rows;
    /* struct ct_row_source, one per row */
    GArray *sources;
    struct ct_diags *diags;
    /* Maps kind and key to the first such row; set during the checks. */
    GHashTable *index;
};

/* Findings that concern no single row are reported with dir as their file. */
void ct_service_checks(struct ct_config_draft *draft, const char *dir);

#endif
