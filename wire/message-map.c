#include "message-map.h"

#include <stdbool.h>
#include <string.h>

#include "error.h"
#include "rows.h"

/*
 * Limits the memory for decoding n bytes to base + n * factor. The factor
 * covers the row that grows most, an empty usage row in a snapshot: 4 encoded
 * bytes become less than 1,600.
 */
#define DECODE_LIMIT_BASE_BYTES 65536
#define DECODE_LIMIT_FACTOR 400

/* Layout of a repeated message field in protobuf-c. */
struct wire_rows {
    size_t n;
    ProtobufCMessage **items;
};

struct wire_u32s {
    size_t n;
    uint32_t *items;
};

static int
text_to_wire(const struct ct_map_field *field, char **wire, const char *core)
{
    if (!memchr(core, '\0', field->size)) {
        return CT_ERR_INVALID;
    }
    *wire = (char *)core;
    return CT_OK;
}

static void
bytes_to_wire(const struct ct_map_field *field, ProtobufCBinaryData *wire,
              const uint8_t *core)
{
    wire->len = field->size;
    wire->data = (uint8_t *)core;
}

static int
field_to_wire(const struct ct_map_field *field, void *wire, const void *core)
{
    struct wire_u32s *array = wire;

    switch (field->kind) {
    case CT_MAP_TEXT:
        return text_to_wire(field, wire, core);
    case CT_MAP_BYTES:
        bytes_to_wire(field, wire, core);
        return CT_OK;
    case CT_MAP_BOOL:
        *(protobuf_c_boolean *)wire = *(const bool *)core;
        return CT_OK;
    case CT_MAP_U32:
    case CT_MAP_I32:
        memcpy(wire, core, sizeof(uint32_t));
        return CT_OK;
    case CT_MAP_U64:
    case CT_MAP_I64:
        memcpy(wire, core, sizeof(uint64_t));
        return CT_OK;
    case CT_MAP_U32_ARRAY:
        array->n = field->size;
        array->items = (uint32_t *)core;
        return CT_OK;
    }
    return CT_ERR_INVALID;
}

static const struct ct_map_variant *
find_variant(const struct ct_map *map, uint32_t type)
{
    return type > 0 && type < map->variants->n ? &map->variants->items[type]
                                               : NULL;
}

static int message_to_wire(struct ct_arena *arena, const struct ct_map *map,
                           const uint8_t *core, ProtobufCMessage **out);

static int
rows_to_wire(struct ct_arena *arena, const struct ct_map *map,
             const struct ct_rows *rows, struct wire_rows *wire)
{
    const uint8_t *row = rows->data;
    int err;

    if (rows->n == 0) {
        return CT_OK;
    }
    if (rows->row_size != map->core_size) {
        return CT_ERR_INVALID;
    }
    wire->items = ct_arena_alloc(arena, rows->n * sizeof(void *));
    if (!wire->items) {
        return CT_ERR_NO_MEMORY;
    }
    for (wire->n = 0; wire->n < rows->n; wire->n++) {
        err = message_to_wire(arena, map, row, &wire->items[wire->n]);
        if (err < 0) {
            return err;
        }
        row += rows->row_size;
    }
    return CT_OK;
}

/* Layouts of the repeated fields of columns in protobuf-c. */
struct wire_i64s {
    size_t n;
    int64_t *items;
};

struct wire_u64s {
    size_t n;
    uint64_t *items;
};

static int
u32_column_to_wire(struct ct_arena *arena, const struct ct_rows *rows,
                   const uint8_t *core, struct wire_i64s *wire)
{
    int64_t before = 0;
    uint32_t value;

    wire->items = ct_arena_alloc(arena, rows->n * sizeof(*wire->items));
    if (!wire->items) {
        return CT_ERR_NO_MEMORY;
    }
    for (; wire->n < rows->n; wire->n++) {
        memcpy(&value, core, sizeof(value));
        wire->items[wire->n] = value - before;
        before = value;
        core += rows->row_size;
    }
    return CT_OK;
}

static int
u64_column_to_wire(struct ct_arena *arena, const struct ct_rows *rows,
                   const uint8_t *core, struct wire_u64s *wire)
{
    wire->items = ct_arena_alloc(arena, rows->n * sizeof(*wire->items));
    if (!wire->items) {
        return CT_ERR_NO_MEMORY;
    }
    for (; wire->n < rows->n; wire->n++) {
        memcpy(&wire->items[wire->n], core, sizeof(*wire->items));
        core += rows->row_size;
    }
    return CT_OK;
}

/* Whether the value of each row is the row's index. */
static bool
is_index(const struct ct_rows *rows, const uint8_t *core)
{
    uint32_t value;

    for (uint32_t i = 0; i < rows->n; i++) {
        memcpy(&value, core + (size_t)i * rows->row_size, sizeof(value));
        if (value != i) {
            return false;
        }
    }
    return true;
}

static int
column_to_wire(struct ct_arena *arena, const struct ct_map_column *column,
               const struct ct_rows *rows, void *wire)
{
    const uint8_t *core = (const uint8_t *)rows->data + column->core_offset;

    switch (column->kind) {
    case CT_MAP_COLUMN_U64:
        return u64_column_to_wire(arena, rows, core, wire);
    case CT_MAP_COLUMN_INDEX:
        if (is_index(rows, core)) {
            return CT_OK;
        }
        return u32_column_to_wire(arena, rows, core, wire);
    case CT_MAP_COLUMN_U32:
        return u32_column_to_wire(arena, rows, core, wire);
    }
    return CT_ERR_INVALID;
}

static int
columns_to_wire(struct ct_arena *arena, const struct ct_map_columns *columns,
                const struct ct_rows *rows, uint8_t *wire)
{
    int err = CT_OK;

    if (rows->n == 0) {
        return CT_OK;
    }
    if (rows->row_size != columns->core_size) {
        return CT_ERR_INVALID;
    }
    for (uint32_t i = 0; i < columns->n && err == CT_OK; i++) {
        const struct ct_map_column *column = &columns->items[i];

        err = column_to_wire(arena, column, rows, wire + column->wire_offset);
    }
    return err;
}

static int
variant_to_wire(struct ct_arena *arena, const struct ct_map *map,
                const uint8_t *core, uint8_t *wire)
{
    const struct ct_map_variants *variants = map->variants;
    const struct ct_map_variant *variant;
    ProtobufCMessage *body;
    uint32_t type;
    int err;

    memcpy(&type, core + variants->core_type_offset, sizeof(type));
    variant = find_variant(map, type);
    if (!variant) {
        return CT_ERR_INVALID;
    }
    memcpy(wire + variants->wire_type_offset, &type, sizeof(type));
    if (variant->body) {
        err = message_to_wire(arena, variant->body,
                              core + variant->body_core_offset, &body);
        if (err < 0) {
            return err;
        }
        *(ProtobufCMessage **)(wire + variant->body_wire_offset) = body;
    }
    if (variant->columns) {
        return columns_to_wire(
            arena, variant->columns,
            (const void *)(core + variants->core_rows_offset), wire);
    }
    if (variant->rows) {
        return rows_to_wire(arena, variant->rows,
                            (const void *)(core + variants->core_rows_offset),
                            (void *)(wire + variant->rows_wire_offset));
    }
    return CT_OK;
}

static int
message_to_wire(struct ct_arena *arena, const struct ct_map *map,
                const uint8_t *core, ProtobufCMessage **out)
{
    ProtobufCMessage *message;
    uint8_t *wire;
    uint32_t i;
    int err;

    message = ct_arena_alloc(arena, map->wire->sizeof_message);
    if (!message) {
        return CT_ERR_NO_MEMORY;
    }
    map->wire->message_init(message);
    wire = (uint8_t *)message;
    for (i = 0; i < map->n_fields; i++) {
        const struct ct_map_field *field = &map->fields[i];

        err = field_to_wire(field, wire + field->wire_offset,
                            core + field->core_offset);
        if (err < 0) {
            return err;
        }
    }
    *out = message;
    return map->variants ? variant_to_wire(arena, map, core, wire) : CT_OK;
}

int
ct_map_encode(const struct ct_map *map, const void *core, GByteArray *out)
{
    struct ct_arena arena;
    ProtobufCMessage *message;
    guint start = out->len;
    int err;

    ct_arena_init(&arena, SIZE_MAX);
    err = message_to_wire(&arena, map, core, &message);
    if (err == CT_OK) {
        g_byte_array_set_size(
            out, start + (guint)protobuf_c_message_get_packed_size(message));
        protobuf_c_message_pack(message, out->data + start);
    }
    ct_arena_free(&arena);
    return err;
}

/*
 * Texts are names, paths and addresses, in UTF-8. Control characters, quotes
 * and backslashes are rejected, so that texts need no escaping in output for
 * operators.
 */
static bool
is_allowed_char(char c)
{
    unsigned char byte = (unsigned char)c;

    return byte >= ' ' && byte != 0x7f && byte != '"' && byte != '\\';
}

static int
text_from_wire(const struct ct_map_field *field, const char *wire, char *core)
{
    size_t i;

    for (i = 0; wire[i]; i++) {
        if (i + 1 >= field->size || !is_allowed_char(wire[i])) {
            return CT_ERR_DECODE;
        }
        core[i] = wire[i];
    }
    return CT_OK;
}

static int
bytes_from_wire(const struct ct_map_field *field,
                const ProtobufCBinaryData *wire, uint8_t *core)
{
    if (wire->len != field->size) {
        return CT_ERR_DECODE;
    }
    memcpy(core, wire->data, field->size);
    return CT_OK;
}

static int
check_range(const struct ct_map_field *field, int64_t value)
{
    return value < field->min || value > field->max ? CT_ERR_DECODE : CT_OK;
}

static int
field_from_wire(const struct ct_map_field *field, const void *wire, void *core)
{
    const struct wire_u32s *array = wire;

    switch (field->kind) {
    case CT_MAP_TEXT:
        return text_from_wire(field, *(char *const *)wire, core);
    case CT_MAP_BYTES:
        return bytes_from_wire(field, wire, core);
    case CT_MAP_BOOL:
        *(bool *)core = *(const protobuf_c_boolean *)wire != 0;
        return CT_OK;
    case CT_MAP_U32:
        memcpy(core, wire, sizeof(uint32_t));
        return check_range(field, *(const uint32_t *)wire);
    case CT_MAP_I32:
        memcpy(core, wire, sizeof(int32_t));
        return CT_OK;
    case CT_MAP_U64:
        memcpy(core, wire, sizeof(uint64_t));
        return CT_OK;
    case CT_MAP_I64:
        memcpy(core, wire, sizeof(int64_t));
        return check_range(field, *(const int64_t *)wire);
    case CT_MAP_U32_ARRAY:
        if (array->n != field->size) {
            return CT_ERR_DECODE;
        }
        memcpy(core, array->items, field->size * sizeof(uint32_t));
        return CT_OK;
    }
    return CT_ERR_DECODE;
}

static int message_from_wire(struct ct_arena *arena, const struct ct_map *map,
                             const uint8_t *wire, uint8_t *core);

static int
rows_from_wire(struct ct_arena *arena, const struct ct_map *map,
               const struct wire_rows *wire, struct ct_rows *rows)
{
    uint8_t *row;
    int err;

    if (wire->n == 0) {
        return CT_OK;
    }
    row = ct_arena_alloc(arena, wire->n * map->core_size);
    if (!row) {
        return CT_ERR_DECODE;
    }
    *rows = (struct ct_rows){row, (uint32_t)wire->n, (uint32_t)map->core_size};
    for (size_t i = 0; i < wire->n; i++) {
        err = message_from_wire(arena, map, (const uint8_t *)wire->items[i],
                                row);
        if (err < 0) {
            return err;
        }
        row += map->core_size;
    }
    return CT_OK;
}

static int
u32_column_from_wire(const struct wire_i64s *wire, uint8_t *core,
                     size_t row_size)
{
    int64_t value = 0;

    for (size_t i = 0; i < wire->n; i++) {
        int64_t difference = wire->items[i];
        uint32_t item;

        if (difference < -value || difference > UINT32_MAX - value) {
            return CT_ERR_DECODE;
        }
        value += difference;
        item = (uint32_t)value;
        memcpy(core, &item, sizeof(item));
        core += row_size;
    }
    return CT_OK;
}

static int
u64_column_from_wire(const struct wire_u64s *wire, uint8_t *core,
                     size_t row_size)
{
    for (size_t i = 0; i < wire->n; i++) {
        memcpy(core, &wire->items[i], sizeof(wire->items[i]));
        core += row_size;
    }
    return CT_OK;
}

static void
fill_index(const struct ct_rows *rows, uint8_t *core)
{
    for (uint32_t i = 0; i < rows->n; i++) {
        memcpy(core, &i, sizeof(i));
        core += rows->row_size;
    }
}

static int
column_from_wire(const struct ct_map_column *column, const void *wire,
                 const struct ct_rows *rows, uint8_t *data)
{
    uint8_t *core = data + column->core_offset;
    size_t n;

    /* The count of a repeated field is its first member. */
    memcpy(&n, wire, sizeof(n));
    if (n == 0 && column->kind == CT_MAP_COLUMN_INDEX) {
        fill_index(rows, core);
        return CT_OK;
    }
    if (n != rows->n) {
        return CT_ERR_DECODE;
    }
    return column->kind == CT_MAP_COLUMN_U64
               ? u64_column_from_wire(wire, core, rows->row_size)
               : u32_column_from_wire(wire, core, rows->row_size);
}

static int
columns_from_wire(struct ct_arena *arena, const struct ct_map_columns *columns,
                  const uint8_t *wire, struct ct_rows *rows)
{
    uint8_t *data;
    size_t n;
    int err = CT_OK;

    memcpy(&n, wire + columns->items[0].wire_offset, sizeof(n));
    data = ct_arena_alloc(arena, n * columns->core_size);
    if (!data) {
        return CT_ERR_DECODE;
    }
    *rows = (struct ct_rows){data, (uint32_t)n, (uint32_t)columns->core_size};
    for (uint32_t i = 0; i < columns->n && err == CT_OK; i++) {
        const struct ct_map_column *column = &columns->items[i];

        err = column_from_wire(column, wire + column->wire_offset, rows, data);
    }
    if (n == 0) {
        *rows = CT_NO_ROWS;
    }
    return err;
}

static int
variant_from_wire(struct ct_arena *arena, const struct ct_map *map,
                  const uint8_t *wire, uint8_t *core)
{
    const struct ct_map_variants *variants = map->variants;
    const struct ct_map_variant *variant;
    const uint8_t *body;
    uint32_t type;
    int err;

    memcpy(&type, wire + variants->wire_type_offset, sizeof(type));
    variant = find_variant(map, type);
    if (!variant) {
        return CT_ERR_DECODE;
    }
    memcpy(core + variants->core_type_offset, &type, sizeof(type));
    if (variant->body) {
        body = *(const uint8_t *const *)(wire + variant->body_wire_offset);
        if (!body) {
            return CT_ERR_DECODE;
        }
        err = message_from_wire(arena, variant->body, body,
                                core + variant->body_core_offset);
        if (err < 0) {
            return err;
        }
    }
    if (variant->columns) {
        return columns_from_wire(arena, variant->columns, wire,
                                 (void *)(core + variants->core_rows_offset));
    }
    if (variant->rows) {
        return rows_from_wire(arena, variant->rows,
                              (const void *)(wire + variant->rows_wire_offset),
                              (void *)(core + variants->core_rows_offset));
    }
    return CT_OK;
}

/* core points to zeroed memory. */
static int
message_from_wire(struct ct_arena *arena, const struct ct_map *map,
                  const uint8_t *wire, uint8_t *core)
{
    uint32_t i;
    int err;

    for (i = 0; i < map->n_fields; i++) {
        const struct ct_map_field *field = &map->fields[i];

        err = field_from_wire(field, wire + field->wire_offset,
                              core + field->core_offset);
        if (err < 0) {
            return err;
        }
    }
    return map->variants ? variant_from_wire(arena, map, wire, core) : CT_OK;
}

static void *
unpack_alloc(void *arena, size_t n)
{
    return ct_arena_alloc(arena, n);
}

static void
unpack_free(void *arena, void *p)
{
    (void)arena;
    (void)p;
}

int
ct_map_decode(const struct ct_map *map, const uint8_t *bytes, size_t n,
              void *core, struct ct_arena *arena)
{
    ProtobufCAllocator allocator = {unpack_alloc, unpack_free, arena};
    ProtobufCMessage *message;

    memset(core, 0, map->core_size);
    ct_arena_init(arena, DECODE_LIMIT_BASE_BYTES + n * DECODE_LIMIT_FACTOR);
    message = protobuf_c_message_unpack(map->wire, &allocator, n, bytes);
    if (!message) {
        return CT_ERR_DECODE;
    }
    return message_from_wire(arena, map, (const uint8_t *)message, core);
}
