#ifndef CT_JSON_FILE_H
#define CT_JSON_FILE_H

#include "diag.h"
#include "json-text.h"

/* A file that holds one JSON object, with both kinds of C comments. */

#define CT_JSON_FILE_BYTES_MAX (4 * 1024 * 1024)

struct ct_json_file {
    char path[CT_DIAG_FILE_MAX];
    struct ct_json json;
    JsonObject *root;
};

/*
 * Reads and parses a file; a failure is added to diags as well. The caller
 * frees the file with ct_json_file_free(), also on failure.
 * Errors: CT_ERR_IO, CT_ERR_TOO_LARGE, CT_ERR_JSON_SYNTAX,
 * CT_ERR_FIELD_DOUBLED.
 */
int ct_json_file_load(struct ct_json_file *file, const char *path,
                      struct ct_diags *diags);
void ct_json_file_free(struct ct_json_file *file);

/*
 * Replaces comments by spaces, so that lines and columns stay.
 * Errors: CT_ERR_JSON_SYNTAX for a comment without its end, with its line.
 */
int ct_json_blank_comments(char *text, size_t n, uint32_t *line);

#endif
