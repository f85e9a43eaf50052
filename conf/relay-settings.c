#include "relay-settings.h"

#include "memory-budget.h"
#include "schema.h"

#define DEFAULT_MAX_CONNECTIONS 2048
#define MAX_CONNECTIONS 1000000
#define DEFAULT_MEMORY_MB 128
/* More than upstreams buffer for a slow reader: they end it first. */
#define DEFAULT_UNREAD_BYTES (16 * 1024 * 1024)
#define UNREAD_MIN_BYTES (64 * 1024)
#define SECRET_MIN_BYTES 16
/* Descriptors besides those of calls: the other ports, links, the store. */
#define FILES_RESERVED 128
/* The caller's connection and the one to the upstream. */
#define FILES_PER_CALL 2
#define BYTES_PER_MB (1024 * 1024)
/* The process without connections and calls, and one connection. */
#define PROCESS_MB 16
#define CONNECTION_BYTES (32 * 1024)
/* Connections for which memory is assumed to suffice on any host. */
#define MEMORY_CONNECTIONS_MIN 64
/*
 * All callers may share the address of a proxy, so by default one address may
 * have three quarters of the total.
 */
#define PEER_DIVISOR 4
#define HOUR_MS 3600000

#define REQUIRED CT_SCHEMA_REQUIRED
#define OPTIONAL CT_SCHEMA_OPTIONAL
#define AT CT_SCHEMA_AT
/* A duration in milliseconds, and one in seconds; both may have a fraction. */
#define DURATION(name, member, default_ms)                                    \
    {                                                                         \
        name, CT_SCHEMA_MS, OPTIONAL, AT(bounds, member), 1, HOUR_MS,         \
            .fallback = (default_ms), .fraction = true                        \
    }
#define SECONDS(name, member, default_ms)                                     \
    {                                                                         \
        name, CT_SCHEMA_MILLI, OPTIONAL, AT(bounds, member), 1, HOUR_MS,      \
            .fallback = (default_ms)                                          \
    }

static const struct ct_schema_field bound_fields[] = {
    DURATION("revoke_ms", revoke_ms, 5000),
    DURATION("drain_ms", drain_ms, 2000),
    DURATION("config_ms", config_ms, 2000),
    DURATION("evacuate_ms", evacuate_ms, 0),
    DURATION("steady_ms", steady_ms, 3000),
    DURATION("lease_ms", lease_ms, 3000),
    DURATION("member_ttl_min_ms", member_ttl_min_ms, 1000),
    DURATION("body_idle_ms", body_idle_ms, 10000),
    DURATION("body_wait_ms", body_wait_ms, 5000),
    SECONDS("repeat_window_s", repeat_window_ms, 10000),
    SECONDS("usage_window_s", usage_window_ms, 5000),
    SECONDS("usage_late_s", usage_late_ms, 10000),
    SECONDS("address_ttl_s", address_ttl_ms, 2000),
    SECONDS("grace_s", grace_ms, 8000),
    SECONDS("upstream_pause_max_s", upstream_pause_max_ms, 300000),
    {"repeat_ratio", CT_SCHEMA_MILLI, OPTIONAL, AT(bounds, repeat_permille), 0,
     1000, .fallback = 100},
    {"cold_overshoot", CT_SCHEMA_MILLI, OPTIONAL,
     AT(bounds, cold_overshoot_permille), 0, 1000000, .fallback = 1000},
    {"cold_burst", CT_SCHEMA_U32, OPTIONAL, AT(bounds, cold_burst), 0, 1000000,
     .fallback = 0, .fraction = true},
    {"memory_mb", CT_SCHEMA_U32, OPTIONAL, AT(bounds, memory_mb), 1, 1000000,
     .fallback = DEFAULT_MEMORY_MB, .fraction = true},
    {"peer_connections", CT_SCHEMA_U32, OPTIONAL, AT(bounds, peer_connections),
     0, MAX_CONNECTIONS, .fraction = true},
    {"peer_bodies", CT_SCHEMA_U32, OPTIONAL, AT(bounds, peer_bodies), 0,
     MAX_CONNECTIONS, .fraction = true},
    {"unread_bytes", CT_SCHEMA_U32, OPTIONAL, AT(bounds, unread_bytes),
     UNREAD_MIN_BYTES, UINT32_MAX, .fallback = DEFAULT_UNREAD_BYTES,
     .fraction = true},
    {"repeat_burst", CT_SCHEMA_U32, OPTIONAL, AT(bounds, repeat_burst), 0,
     1000000, .fallback = 20, .fraction = true},
};
static const struct ct_schema bounds_schema = {G_N_ELEMENTS(bound_fields),
                                               bound_fields};

static const struct ct_schema_field fields[] = {
    {"host", CT_SCHEMA_NAME, REQUIRED, AT(relay_settings, host)},
    {"zone", CT_SCHEMA_NAME, REQUIRED, AT(relay_settings, zone)},
    {"caller_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(relay_settings, caller_address)},
    {"guide_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(relay_settings, discovery_address)},
    {"ready_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(relay_settings, readiness_address)},
    {"operator_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(relay_settings, operator_address)},
    {"peer_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(relay_settings, peer_address)},
    {"peer_secret", CT_SCHEMA_SECRET, REQUIRED,
     AT(relay_settings, peer_secret), SECRET_MIN_BYTES, CT_SECRET_MAX - 1},
    {"store", CT_SCHEMA_ADDRESS, REQUIRED, AT(relay_settings, store)},
    {"duties", CT_SCHEMA_ADDRESS, OPTIONAL, AT(relay_settings, duties)},
    {"first_start", CT_SCHEMA_BOOL, OPTIONAL, AT(relay_settings, first_start)},
    {"share_load", CT_SCHEMA_BOOL, OPTIONAL, AT(relay_settings, share_load)},
    {"share_config", CT_SCHEMA_BOOL, OPTIONAL,
     AT(relay_settings, share_config)},
    {"skip_unreachable_zones", CT_SCHEMA_BOOL, OPTIONAL,
     AT(relay_settings, skip_unreachable_zones)},
    {"max_connections", CT_SCHEMA_U32, OPTIONAL,
     AT(relay_settings, max_connections), 1, MAX_CONNECTIONS,
     .fallback = DEFAULT_MAX_CONNECTIONS},
    {"bounds", CT_SCHEMA_OBJECT, REQUIRED, AT(relay_settings, bounds),
     .object = &bounds_schema},
};
static const struct ct_schema schema = {G_N_ELEMENTS(fields), fields};

int
ct_relay_settings_load(const char *path, struct ct_relay_settings *settings,
                       struct ct_diags *diags)
{
    return ct_schema_load(&schema, path, settings, sizeof(*settings), diags);
}

static uint64_t
connections_by_files(uint64_t max_files)
{
    return max_files > FILES_RESERVED + FILES_PER_CALL
               ? (max_files - FILES_RESERVED) / FILES_PER_CALL
               : 1;
}

/* Returns how many connections fit beside the process and its calls. */
static uint64_t
connections_by_memory(const struct ct_bounds *bounds)
{
    uint64_t bytes = (uint64_t)bounds->memory_mb * BYTES_PER_MB;
    uint64_t others =
        PROCESS_MB * BYTES_PER_MB + ct_memory_budget_limit(bounds);

    return MAX(bytes > others ? (bytes - others) / CONNECTION_BYTES : 0,
               MEMORY_CONNECTIONS_MIN);
}

void
ct_relay_settings_limit(struct ct_relay_settings *settings, uint64_t max_files)
{
    uint64_t most = MIN(connections_by_files(max_files),
                        connections_by_memory(&settings->bounds));
    uint32_t *total = &settings->max_connections;
    struct ct_bounds *bounds = &settings->bounds;

    *total = (uint32_t)MIN(*total, most);
    if (bounds->peer_connections == 0) {
        bounds->peer_connections = *total - *total / PEER_DIVISOR;
    }
    if (bounds->peer_bodies == 0) {
        bounds->peer_bodies = *total - *total / PEER_DIVISOR;
    }
}
