#ifndef CT_JSON_FILE_H
#define CT_JSON_FILE_H

#include "diag.h"
#include "json-text.h"

/* A file with one JSON object; both kinds of C comments are allowed. */

#define CT_JSON_FILE_BYTES_MAX (4 * 1024 * 1024)

struct ct_json_file {
    char path[CT_DIAG_FILE_MAX];
    struct ct_json json;
    JsonObject *root;
};

/*
 * Reads and parses a file; an error is also added to diags. The caller frees
 * the file with ct_json_file_free(), also on failure.
 * Errors: CT_ERR_IO, CT_ERR_TOO_LARGE, CT_ERR_JSON_SYNTAX,
 * CT_ERR_FIELD_DOUBLED.
 */
int ct_json_file_load(struct ct_json_file *file, const char *path,
                      struct ct_diags *diags);
void ct_json_file_free(struct ct_json_file *file);

/*
 * Replaces comments with spaces, which preserves line and column numbers.
 * Errors: CT_ERR_JSON_SYNTAX for an unterminated comment, whose first line is
 * stored in line.
 */
int ct_json_blank_comments(char *text, size_t n, uint32_t *line);

#endif
