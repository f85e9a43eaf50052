#ifndef CT_SERVICE_CHECKS_H
#define CT_SERVICE_CHECKS_H

#include "config-row.h"
#include "diag.h"

/* Checks of a whole configuration: names, references and sums. */

/* Where a row was declared. */
struct ct_row_source {
    char file[CT_DIAG_FILE_MAX];
    uint32_t line;
    /* The list and index, such as "routes[2]". */
    char field[CT_DIAG_FIELD_MAX];
};

struct ct_config_draft {
    /* struct ct_config_row */
    GArray *rows;
    /* struct ct_row_source, one a row */
    GArray *sources;
    struct ct_diags *diags;
    /* From kind and name to the first row; set while the checks run. */
    GHashTable *index;
};

/* Adds every finding to draft->diags; dir names the whole. */
void ct_service_checks(struct ct_config_draft *draft, const char *dir);

#endif
