#ifndef CT_ROW_MAPS_H
#define CT_ROW_MAPS_H

#include "message-map.h"

/* Maps of the structs that both log records and peer messages contain. */
extern const struct ct_map ct_map_config_row;
extern const struct ct_map ct_map_key;
extern const struct ct_map ct_map_lease;
extern const struct ct_map ct_map_claim;
extern const struct ct_map ct_map_usage_row;
extern const struct ct_map ct_map_usage_window;
extern const struct ct_map ct_map_order;
extern const struct ct_map ct_map_refusal_row;
extern const struct ct_map ct_map_snapshot_row;

/* Largest accepted duration or point in time, in milliseconds. */
#define CT_MAP_MS_MAX (INT64_C(1) << 52)

/*
 * Entries of a field table. W is the message type without its prefix, C the
 * struct of the core without "ct_"; the field f has the same name in both.
 */
#define CT_MAP_OFFSETS(W, C, f)                                               \
    offsetof(Ct__##W, f), offsetof(struct ct_##C, f)
#define CT_MAP_F_TEXT(W, C, f)                                                \
    {                                                                         \
        CT_MAP_TEXT, CT_MAP_OFFSETS(W, C, f),                                 \
            sizeof(((struct ct_##C *)0)->f), 0, 0                             \
    }
#define CT_MAP_F_BYTES(W, C, f)                                               \
    {                                                                         \
        CT_MAP_BYTES, CT_MAP_OFFSETS(W, C, f),                                \
            sizeof(((struct ct_##C *)0)->f), 0, 0                             \
    }
#define CT_MAP_F_BOOL(W, C, f)                                                \
    {                                                                         \
        CT_MAP_BOOL, CT_MAP_OFFSETS(W, C, f), 0, 0, 0                         \
    }
#define CT_MAP_F_U32(W, C, f, min, max)                                       \
    {                                                                         \
        CT_MAP_U32, CT_MAP_OFFSETS(W, C, f), 0, min, max                      \
    }
#define CT_MAP_F_I32(W, C, f)                                                 \
    {                                                                         \
        CT_MAP_I32, CT_MAP_OFFSETS(W, C, f), 0, 0, 0                          \
    }
#define CT_MAP_F_U64(W, C, f)                                                 \
    {                                                                         \
        CT_MAP_U64, CT_MAP_OFFSETS(W, C, f), 0, 0, 0                          \
    }
#define CT_MAP_F_I64(W, C, f, min, max)                                       \
    {                                                                         \
        CT_MAP_I64, CT_MAP_OFFSETS(W, C, f), 0, min, max                      \
    }
#define CT_MAP_F_MS(W, C, f) CT_MAP_F_I64(W, C, f, 0, CT_MAP_MS_MAX)
#define CT_MAP_F_OFFSET(W, C, f) CT_MAP_F_I64(W, C, f, 0, INT64_MAX)
#define CT_MAP_COUNT(array) (sizeof(array) / sizeof((array)[0]))

#endif
