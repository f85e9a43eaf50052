#ifndef CT_MESSAGE_MAP_H
#define CT_MESSAGE_MAP_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

#include "arena.h"

/*
 * Tables that pair the fields of a protobuf-c message with those of a flat
 * struct of the core. One encoder and one decoder walk them, so every message
 * is checked in the same way: length and printable characters of texts,
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
    /* Repeated uint32 of a fixed number of elements. */
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

/* What a message carries when its type has a certain value. */
struct ct_map_variant {
    /* An embedded struct; NULL for none. */
    const struct ct_map *body;
    size_t body_wire_offset;
    size_t body_core_offset;
    /* Rows; NULL for none. */
    const struct ct_map *rows;
    /* Offset of the count; the pointer to the rows follows it. */
    size_t rows_wire_offset;
};

/* The variants of a message, indexed by the value of its type. */
struct ct_map_variants {
    /* A uint32 field, or the case of a oneof. */
    size_t wire_type_offset;
    size_t core_type_offset;
    /* Offset of a struct ct_rows; unused where no variant has rows. */
    size_t core_rows_offset;
    uint32_t n;
    const struct ct_map_variant *items;
};

struct ct_map {
    const ProtobufCMessageDescriptor *wire;
    size_t core_size;
    uint32_t n_fields;
    const struct ct_map_field *fields;
    /* NULL where the message has only fields. */
    const struct ct_map_variants *variants;
};

/*
 * Appends the encoded message. Errors: CT_ERR_INVALID where the struct has an
 * unknown type or a text without its end, CT_ERR_NO_MEMORY.
 */
int ct_map_encode(const struct ct_map *map, const void *core, GByteArray *out);

/*
 * Decodes into a struct of map->core_size bytes. Rows are taken from the
 * arena, which this function sets up and the caller frees, also on failure.
 * Errors: CT_ERR_DECODE.
 */
int ct_map_decode(const struct ct_map *map, const uint8_t *bytes, size_t n,
                  void *core, struct ct_arena *arena);

#endif
