#ifndef CT_SCHEMA_H
#define CT_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>

#include "json-file.h"
#include "name.h"

#define CT_SECRET_MAX 128

struct ct_secret {
    char text[CT_SECRET_MAX];
};

struct ct_named_secret {
    struct ct_name name;
    struct ct_secret secret;
};

/*
 * Tables that describe the fields of a JSON object: their types and ranges and
 * their offsets in a flat struct. One reader interprets all tables.
 */

enum ct_schema_kind {
    /* Letters, digits, '.', '_' and '-'; not empty. */
    CT_SCHEMA_NAME = 1,
    /* min..max printable characters without spaces, quotes, backslashes. */
    CT_SCHEMA_TEXT,
    /* Like CT_SCHEMA_TEXT; never shown in a finding. */
    CT_SCHEMA_SECRET,
    /* Absolute path of a request, "/...", without query and escapes. */
    CT_SCHEMA_PATH,
    /* "IP:port" or "[IPv6]:port"; min is the smallest port. */
    CT_SCHEMA_ADDRESS,
    /* "http://IP:port" */
    CT_SCHEMA_URL,
    CT_SCHEMA_BOOL,
    CT_SCHEMA_U32,
    CT_SCHEMA_MS,
    /* A number with a fraction, stored like CT_SCHEMA_MS in thousandths. */
    CT_SCHEMA_MILLI,
    /* One of the texts in words; its value is stored as an int. */
    CT_SCHEMA_WORD,
    /* Embedded object; a missing one is read as empty. */
    CT_SCHEMA_OBJECT,
    /* List of names; a GArray of struct ct_name, NULL where missing. */
    CT_SCHEMA_NAMES,
    /* Object of names and secrets; a GArray of struct ct_named_secret. */
    CT_SCHEMA_SECRETS,
};

enum ct_schema_need {
    CT_SCHEMA_OPTIONAL,
    CT_SCHEMA_REQUIRED,
};

struct ct_schema_word {
    const char *text;
    int value;
};

struct ct_schema;

struct ct_schema_field {
    const char *name;
    enum ct_schema_kind kind;
    enum ct_schema_need need;
    size_t offset;
    /* Capacity of a text, including its NUL. */
    size_t size;
    int64_t min;
    int64_t max;
    /* Default of a number that is missing. */
    int64_t fallback;
    /*
     * CT_SCHEMA_U32, CT_SCHEMA_MS: the number may have a fraction, which is
     * cut off.
     */
    bool fraction;
    const struct ct_schema_word *words;
    const struct ct_schema *object;
};

struct ct_schema {
    size_t n;
    const struct ct_schema_field *fields;
};

/* Offset and size of a field of struct ct_C, for a row of a table. */
#define CT_SCHEMA_AT(C, member)                                               \
    offsetof(struct ct_##C, member), sizeof(((struct ct_##C *)0)->member)

/*
 * Reads an object into out, which must be zeroed. path is the object's path in
 * the file, "" for the root. All findings are added to diags; returns the
 * first error.
 */
int ct_schema_read(const struct ct_schema *schema,
                   const struct ct_json_file *file, JsonObject *object,
                   const char *path, void *out, struct ct_diags *diags);

/* Reads a file into out, which has size bytes and is zeroed first. */
int ct_schema_load(const struct ct_schema *schema, const char *path, void *out,
                   size_t size, struct ct_diags *diags);

/* Whether the text is a valid CT_SCHEMA_NAME. */
bool ct_schema_is_name(const char *text);

#endif
