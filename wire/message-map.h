#ifndef CT_MESSAGE_MAP_H
#define CT_MESSAGE_MAP_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

#include "arena.h"

/*
 * Tables that map the fields of a protobuf-c message to those of a flat struct
 * of the core. One encoder and one decoder interpret them, so that every
 * message gets the same checks: length and printable characters of texts,
 * length of digests, range of numbers.
 */

enum ct_map_kind {
    CT_MAP_TEXT = 1,
    CT_MAP_BYTES,
    CT_MAP_BOOL,
    CT_MAP_U32,
    CT_MAP_I32,
    CT_MAP_U64,
    CT_MAP_I64,
    /* Repeated uint32 with a fixed number of elements. */
    CT_MAP_U32_ARRAY,
};

struct ct_map_field {
    enum ct_map_kind kind;
    size_t wire_offset;
    size_t core_offset;
    /* Capacity of a text, bytes of a digest, elements of an array. */
    size_t size;
    /* Range of CT_MAP_U32 and CT_MAP_I64. */
    int64_t min;
    int64_t max;
};

struct ct_map;

enum ct_map_column_kind {
    /*
     * uint32_t, as repeated sint64: each value is the difference to the one
     * before.
     */
    CT_MAP_COLUMN_U32 = 1,
    /* The same; left out if the value of each row is the row's index. */
    CT_MAP_COLUMN_INDEX,
    /* uint64_t, as repeated fixed64. */
    CT_MAP_COLUMN_U64,
};

/* A member of all rows, mapped to one packed repeated field. */
struct ct_map_column {
    enum ct_map_column_kind kind;
    /* Offset of the count; the pointer to the values follows it. */
    size_t wire_offset;
    size_t core_offset;
};

/*
 * Rows by columns, which take less space than one message for each row. The
 * first column must not be a CT_MAP_COLUMN_INDEX.
 */
struct ct_map_columns {
    size_t core_size;
    uint32_t n;
    const struct ct_map_column *items;
};

/* Contents of a message for one value of its type. */
struct ct_map_variant {
    /* Map of the embedded struct; NULL if there is none. */
    const struct ct_map *body;
    size_t body_wire_offset;
    size_t body_core_offset;
    /* Map of the rows; NULL if there are none. */
    const struct ct_map *rows;
    /* Offset of the count; the pointer to the rows follows it. */
    size_t rows_wire_offset;
    /* Columns of the rows, in place of a map; NULL if there are none. */
    const struct ct_map_columns *columns;
};

/* The variants of a message, indexed by the value of its type. */
struct ct_map_variants {
    /* Offset of a uint32 field, or of the case of a oneof. */
    size_t wire_type_offset;
    size_t core_type_offset;
    /* Offset of a struct ct_rows; unused if no variant has rows. */
    size_t core_rows_offset;
    uint32_t n;
    const struct ct_map_variant *items;
};

struct ct_map {
    const ProtobufCMessageDescriptor *wire;
    size_t core_size;
    uint32_t n_fields;
    const struct ct_map_field *fields;
    /* NULL if the message has only fields. */
    const struct ct_map_variants *variants;
};

/*
 * Appends the encoded message. Errors: CT_ERR_INVALID if the type is unknown,
 * a text has no NUL, or the rows have the wrong size; CT_ERR_NO_MEMORY.
 */
int ct_map_encode(const struct ct_map *map, const void *core, GByteArray *out);

/*
 * Decodes into a struct of map->core_size bytes. Rows are allocated from the
 * arena, which this function initialises and the caller frees, also on
 * failure. Errors: CT_ERR_DECODE.
 */
int ct_map_decode(const struct ct_map *map, const uint8_t *bytes, size_t n,
                  void *core, struct ct_arena *arena);

#endif
