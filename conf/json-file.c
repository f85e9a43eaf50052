#include "json-file.h"

#include <string.h>

#include "error.h"

/* Returns the byte after the string that starts at p, or end. */
static char *
skip_string(char *p, const char *end, uint32_t *line)
{
    for (p++; p < end && *p != '"'; p++) {
        if (*p == '\\' && p + 1 < end) {
            p++;
        }
        *line += *p == '\n';
    }
    return p < end ? p + 1 : p;
}

static char *
blank_line_comment(char *p, const char *end)
{
    while (p < end && *p != '\n') {
        *p++ = ' ';
    }
    return p;
}

/* Returns NULL if the comment is unterminated. */
static char *
blank_block_comment(char *p, const char *end, uint32_t *line)
{
    p[0] = ' ';
    p[1] = ' ';
    for (p += 2; p + 1 < end; p++) {
        if (p[0] == '*' && p[1] == '/') {
            p[0] = ' ';
            p[1] = ' ';
            return p + 2;
        }
        if (*p == '\n') {
            ++*line;
        }
        else {
            *p = ' ';
        }
    }
    return NULL;
}

int
ct_json_blank_comments(char *text, size_t n, uint32_t *line)
{
    const char *end = text + n;
    uint32_t start;
    char *p = text;

    *line = 1;
    while (p < end) {
        if (*p == '"') {
            p = skip_string(p, end, line);
        }
        else if (p + 1 < end && p[0] == '/' && p[1] == '/') {
            p = blank_line_comment(p, end);
        }
        else if (p + 1 < end && p[0] == '/' && p[1] == '*') {
            start = *line;
            p = blank_block_comment(p, end, line);
            if (!p) {
                *line = start;
                return CT_ERR_JSON_SYNTAX;
            }
        }
        else {
            *line += *p++ == '\n';
        }
    }
    return CT_OK;
}

static int
parse_text(struct ct_json_file *file, char *text, size_t n,
           struct ct_diags *diags)
{
    uint32_t line;
    int err;

    if (n > CT_JSON_FILE_BYTES_MAX) {
        return ct_diags_add(diags, CT_ERR_TOO_LARGE, file->path, 0, NULL,
                            NULL);
    }
    err = ct_json_blank_comments(text, n, &line);
    if (err < 0) {
        return ct_diags_add(diags, err, file->path, line, NULL, NULL);
    }
    err = ct_json_parse(&file->json, text, n);
    if (err < 0) {
        return ct_diags_add(diags, err, file->path, file->json.error_line,
                            file->json.error_field, NULL);
    }
    file->root = ct_json_object(&file->json);
    if (!file->root) {
        return ct_diags_add(diags, CT_ERR_JSON_SYNTAX, file->path, 1, NULL,
                            NULL);
    }
    return CT_OK;
}

int
ct_json_file_load(struct ct_json_file *file, const char *path,
                  struct ct_diags *diags)
{
    char *text;
    gsize n;
    int err;

    memset(file, 0, sizeof(*file));
    g_strlcpy(file->path, path, sizeof(file->path));
    if (!g_file_get_contents(path, &text, &n, NULL)) {
        return ct_diags_add(diags, CT_ERR_IO, path, 0, NULL, NULL);
    }
    err = parse_text(file, text, n, diags);
    g_free(text);
    return err;
}

void
ct_json_file_free(struct ct_json_file *file)
{
    ct_json_free(&file->json);
    file->root = NULL;
}
