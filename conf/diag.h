#ifndef CT_DIAG_H
#define CT_DIAG_H

#include <glib.h>
#include <stdint.h>

/* Findings of the checks on settings and service files. */

#define CT_DIAG_FILE_MAX 256
#define CT_DIAG_FIELD_MAX 96
#define CT_DIAG_VALUE_MAX 64

struct ct_diag {
    char file[CT_DIAG_FILE_MAX];
    /* 0 if the finding concerns the whole file or directory. */
    uint32_t line;
    /* Path of the field, such as "routes[2].class"; may be empty. */
    char field[CT_DIAG_FIELD_MAX];
    /* The invalid value; may be empty. Never a secret. */
    char value[CT_DIAG_VALUE_MAX];
    /* Negative value of enum ct_err. */
    int err;
};

struct ct_diags {
    /* struct ct_diag */
    GArray *items;
};

void ct_diags_init(struct ct_diags *diags);
void ct_diags_free(struct ct_diags *diags);

/* Adds a finding and returns its error. field and value may be NULL. */
int ct_diags_add(struct ct_diags *diags, int err, const char *file,
                 uint32_t line, const char *field, const char *value);

guint ct_diags_count(const struct ct_diags *diags);
const struct ct_diag *ct_diags_get(const struct ct_diags *diags, guint i);

/* Returns the text of an error for operators. */
const char *ct_diag_err_text(int err);

/* Appends "FILE:LINE: FIELD: text (VALUE)" without a newline. */
void ct_diag_format(const struct ct_diag *diag, GString *out);

#endif
