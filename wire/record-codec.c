#include "record-codec.h"

#include "coriandertrack.pb-c.h"
#include "error.h"
#include "row-maps.h"

#define BODY(map, member)                                                     \
    .body = &ct_map_##map,                                                    \
    .body_wire_offset = offsetof(Ct__LogRecord, member),                      \
    .body_core_offset = offsetof(struct ct_record, u.member)
#define ROWS(map, member)                                                     \
    .rows = &ct_map_##map,                                                    \
    .rows_wire_offset = offsetof(Ct__LogRecord, n_##member)

static const struct ct_map_variant record_variant_items[] = {
    [CT_RECORD_CONFIG] = {ROWS(config_row, config_rows)},
    [CT_RECORD_KEY_GRANT] = {BODY(key, key)},
    [CT_RECORD_KEY_WITHDRAW] = {BODY(key, key)},
    [CT_RECORD_LEASE] = {BODY(lease, lease)},
    [CT_RECORD_CLAIM] = {BODY(claim, claim)},
    [CT_RECORD_CLAIM_DONE] = {BODY(claim, claim)},
    [CT_RECORD_USAGE_FINAL] = {BODY(usage_window, window),
                               ROWS(usage_row, usage_rows)},
    [CT_RECORD_USAGE_ACCEPTED] = {BODY(usage_window, window)},
    [CT_RECORD_ORDER_INTENT] = {BODY(order, order)},
    [CT_RECORD_ORDER_DONE] = {BODY(order, order)},
    [CT_RECORD_REFUSALS] = {ROWS(refusal_row, refusal_rows)},
    [CT_RECORD_SNAPSHOT] = {ROWS(snapshot_row, snapshot_rows)},
};

static const struct ct_map_variants record_variants = {
    offsetof(Ct__LogRecord, type), offsetof(struct ct_record, type),
    offsetof(struct ct_record, rows), CT_MAP_COUNT(record_variant_items),
    record_variant_items};

static const struct ct_map_field record_fields[] = {
    CT_MAP_F_TEXT(LogRecord, record, writer),
    CT_MAP_F_U64(LogRecord, record, sequence),
    CT_MAP_F_OFFSET(LogRecord, record, base_offset),
    CT_MAP_F_MS(LogRecord, record, wall_ms),
};

static const struct ct_map record_map = {
    &ct__log_record__descriptor, sizeof(struct ct_record),
    CT_MAP_COUNT(record_fields), record_fields, &record_variants};

int
ct_record_encode(const struct ct_record *record, GByteArray *out)
{
    guint start = out->len;
    int err = ct_map_encode(&record_map, record, out);

    if (err == CT_OK && out->len - start > CT_RECORD_BYTES_MAX) {
        g_byte_array_set_size(out, start);
        return CT_ERR_TOO_LARGE;
    }
    return err;
}

int
ct_record_decode(const uint8_t *bytes, size_t n, struct ct_decoded_record *out)
{
    if (n > CT_RECORD_BYTES_MAX) {
        ct_arena_init(&out->arena, 0);
        return CT_ERR_DECODE;
    }
    return ct_map_decode(&record_map, bytes, n, &out->record, &out->arena);
}

void
ct_decoded_record_free(struct ct_decoded_record *decoded)
{
    ct_arena_free(&decoded->arena);
}
