#include "row-maps.h"

#include "coriandertrack.pb-c.h"
#include "record.h"

#define WEIGHT_MAX 1000000
#define PERCENT_MAX 100
#define UPSTREAMS_MAX 1000000

/* Defines the map of a message without variants. */
#define DEFINE_MAP(name, descriptor, C)                                       \
    const struct ct_map ct_map_##name = {                                     \
        &ct__##descriptor##__descriptor, sizeof(struct ct_##C),               \
        CT_MAP_COUNT(name##_fields), name##_fields, NULL}

static const struct ct_map_field organisation_fields[] = {
    CT_MAP_F_TEXT(Organisation, organisation, name),
    CT_MAP_F_U32(Organisation, organisation, weight, 1, WEIGHT_MAX),
    CT_MAP_F_BOOL(Organisation, organisation, has_rank),
    CT_MAP_F_U32(Organisation, organisation, rank, 0, UINT32_MAX),
};
static DEFINE_MAP(organisation, organisation, organisation);

static const struct ct_map_field host_fields[] = {
    CT_MAP_F_TEXT(Host, host, name),
    CT_MAP_F_TEXT(Host, host, zone),
    CT_MAP_F_TEXT(Host, host, caller_address),
    CT_MAP_F_TEXT(Host, host, peer_address),
    CT_MAP_F_TEXT(Host, host, operator_address),
};
static DEFINE_MAP(host, host, host);

static const struct ct_map_field class_fields[] = {
    CT_MAP_F_TEXT(Class, class, name),
    CT_MAP_F_U32(Class, class, tier, 0, CT_TIERS - 1),
    CT_MAP_F_MS(Class, class, first_token_target_ms),
    CT_MAP_F_MS(Class, class, token_gap_target_ms),
    CT_MAP_F_MS(Class, class, total_target_ms),
    CT_MAP_F_MS(Class, class, gap_timeout_ms),
    CT_MAP_F_MS(Class, class, queue_limit_ms),
    CT_MAP_F_U32(Class, class, retry_budget_percent, 0, PERCENT_MAX),
    CT_MAP_F_U32(Class, class, hedge_budget_percent, 0, PERCENT_MAX),
    CT_MAP_F_U32(Class, class, reserve_percent, 0, PERCENT_MAX),
    CT_MAP_F_BOOL(Class, class, cheap_allowed),
};
static DEFINE_MAP(class, class, class);

static const struct ct_map_field pool_fields[] = {
    CT_MAP_F_TEXT(Pool, pool, name),
    CT_MAP_F_U32(Pool, pool, kind, CT_POOL_ENGINE, CT_POOL_PLAIN),
    CT_MAP_F_U32(Pool, pool, min_upstreams, 0, UPSTREAMS_MAX),
    CT_MAP_F_U32(Pool, pool, max_upstreams, 0, UPSTREAMS_MAX),
    CT_MAP_F_BOOL(Pool, pool, backs_up),
    CT_MAP_F_MS(Pool, pool, cold_ms),
    CT_MAP_F_I64(Pool, pool, cold_permille, 0, INT64_MAX),
};
static DEFINE_MAP(pool, pool, pool);

static const struct ct_map_field route_fields[] = {
    CT_MAP_F_TEXT(Route, route, path),
    CT_MAP_F_TEXT(Route, route, model),
    CT_MAP_F_TEXT(Route, route, class_name),
    CT_MAP_F_TEXT(Route, route, pool),
    CT_MAP_F_BOOL(Route, route, open_to_all),
    CT_MAP_F_BOOL(Route, route, idempotent),
};
static DEFINE_MAP(route, route, route);

static const struct ct_map_field access_fields[] = {
    CT_MAP_F_TEXT(Access, access, path),
    CT_MAP_F_TEXT(Access, access, model),
    CT_MAP_F_TEXT(Access, access, organisation),
};
static DEFINE_MAP(access, access, access);

static const struct ct_map_field upstream_fields[] = {
    CT_MAP_F_TEXT(Upstream, upstream, name),
    CT_MAP_F_TEXT(Upstream, upstream, pool),
    CT_MAP_F_TEXT(Upstream, upstream, zone),
    CT_MAP_F_TEXT(Upstream, upstream, address),
    CT_MAP_F_U32(Upstream, upstream, slots, 1, UPSTREAMS_MAX),
    CT_MAP_F_BOOL(Upstream, upstream, cheap),
    CT_MAP_F_BOOL(Upstream, upstream, checks_fencing),
};
static DEFINE_MAP(upstream, upstream, upstream);

static const struct ct_map_field prefix_route_fields[] = {
    CT_MAP_F_TEXT(PrefixRoute, prefix_route, name),
    CT_MAP_F_TEXT(PrefixRoute, prefix_route, authority),
    CT_MAP_F_TEXT(PrefixRoute, prefix_route, prefix),
    CT_MAP_F_BOOL(PrefixRoute, prefix_route, stream),
    CT_MAP_F_U32(PrefixRoute, prefix_route, repeat, CT_REPEAT_ANY,
                 CT_REPEAT_RESUME),
    CT_MAP_F_BOOL(PrefixRoute, prefix_route, open_to_all),
    CT_MAP_F_BOOL(PrefixRoute, prefix_route, sticky),
    CT_MAP_F_U32(PrefixRoute, prefix_route, rank, 0, UINT32_MAX),
    CT_MAP_F_U32(PrefixRoute, prefix_route, attempts, 0, UINT32_MAX),
    CT_MAP_F_MS(PrefixRoute, prefix_route, timeout_ms),
    CT_MAP_F_MS(PrefixRoute, prefix_route, gap_target_ms),
};
static DEFINE_MAP(prefix_route, prefix_route, prefix_route);

static const struct ct_map_field pool_share_fields[] = {
    CT_MAP_F_TEXT(PoolShare, pool_share, route),
    CT_MAP_F_TEXT(PoolShare, pool_share, pool),
    CT_MAP_F_U32(PoolShare, pool_share, weight, 0, UINT32_MAX),
};
static DEFINE_MAP(pool_share, pool_share, pool_share);

static const struct ct_map_field order_zone_fields[] = {
    CT_MAP_F_TEXT(OrderZone, order_zone, pool),
    CT_MAP_F_TEXT(OrderZone, order_zone, zone),
};
static DEFINE_MAP(order_zone, order_zone, order_zone);

static const struct ct_map_field config_key_fields[] = {
    CT_MAP_F_BYTES(ConfigKey, config_key, digest),
    CT_MAP_F_TEXT(ConfigKey, config_key, organisation),
};
static DEFINE_MAP(config_key, config_key, config_key);

static const struct ct_map_field key_fields[] = {
    CT_MAP_F_BYTES(Key, key, digest),
    CT_MAP_F_TEXT(Key, key, organisation),
    CT_MAP_F_TEXT(Key, key, label),
    CT_MAP_F_BOOL(Key, key, withdrawn),
};
DEFINE_MAP(key, key, key);

static const struct ct_map_field lease_fields[] = {
    CT_MAP_F_U32(Lease, lease, role, 0, CT_ROLE_COUNT - 1),
    CT_MAP_F_TEXT(Lease, lease, holder),
    CT_MAP_F_MS(Lease, lease, duration_ms),
    CT_MAP_F_OFFSET(Lease, lease, term),
};
DEFINE_MAP(lease, lease, lease);

static const struct ct_map_field claim_fields[] = {
    CT_MAP_F_BYTES(Claim, claim, digest),
    CT_MAP_F_TEXT(Claim, claim, request_id),
    CT_MAP_F_TEXT(Claim, claim, host),
    CT_MAP_F_MS(Claim, claim, key_wall_ms),
    CT_MAP_F_BOOL(Claim, claim, done),
    CT_MAP_F_I32(Claim, claim, status),
};
DEFINE_MAP(claim, claim, claim);

static const struct ct_map_field usage_row_fields[] = {
    CT_MAP_F_TEXT(UsageRow, usage_row, organisation),
    CT_MAP_F_MS(UsageRow, usage_row, window_start_ms),
    CT_MAP_F_U64(UsageRow, usage_row, requests),
    CT_MAP_F_U64(UsageRow, usage_row, tokens_in),
    CT_MAP_F_U64(UsageRow, usage_row, tokens_out),
    CT_MAP_F_U64(UsageRow, usage_row, late_requests),
    CT_MAP_F_TEXT(UsageRow, usage_row, writer),
};
DEFINE_MAP(usage_row, usage_row, usage_row);

static const struct ct_map_field usage_window_fields[] = {
    CT_MAP_F_MS(UsageWindow, usage_window, window_start_ms),
    CT_MAP_F_MS(UsageWindow, usage_window, window_ms),
    CT_MAP_F_OFFSET(UsageWindow, usage_window, term),
    CT_MAP_F_BOOL(UsageWindow, usage_window, accepted),
};
DEFINE_MAP(usage_window, usage_window, usage_window);

static const struct ct_map_field order_fields[] = {
    CT_MAP_F_U64(Order, order, order_id),
    CT_MAP_F_OFFSET(Order, order, term),
    CT_MAP_F_U32(Order, order, kind, CT_ORDER_START, CT_ORDER_ROLE),
    CT_MAP_F_TEXT(Order, order, pool),
    CT_MAP_F_TEXT(Order, order, zone),
    CT_MAP_F_TEXT(Order, order, upstream),
    CT_MAP_F_TEXT(Order, order, model),
    CT_MAP_F_BOOL(Order, order, cheap),
    CT_MAP_F_I32(Order, order, result),
    CT_MAP_F_BOOL(Order, order, done),
};
DEFINE_MAP(order, order, order);

static const struct ct_map_field refusal_row_fields[] = {
    CT_MAP_F_TEXT(RefusalRow, refusal_row, request_id),
    CT_MAP_F_TEXT(RefusalRow, refusal_row, organisation),
    CT_MAP_F_TEXT(RefusalRow, refusal_row, class_name),
    CT_MAP_F_TEXT(RefusalRow, refusal_row, host),
    CT_MAP_F_TEXT(RefusalRow, refusal_row, path),
    CT_MAP_F_MS(RefusalRow, refusal_row, wall_ms),
    CT_MAP_F_U32(RefusalRow, refusal_row, reason, 0, CT_REFUSAL_COUNT - 1),
    CT_MAP_F_U32(RefusalRow, refusal_row, run_state, CT_NOT_RUN,
                 CT_MAY_HAVE_RUN),
    CT_MAP_F_U32(RefusalRow, refusal_row, tier, 0, CT_TIERS - 1),
    CT_MAP_F_U32(RefusalRow, refusal_row, queue_length, 0, UINT32_MAX),
    CT_MAP_F_U32(RefusalRow, refusal_row, slots_busy, 0, UINT32_MAX),
    CT_MAP_F_U32(RefusalRow, refusal_row, slots_total, 0, UINT32_MAX),
    CT_MAP_F_I64(RefusalRow, refusal_row, waited_ms, 0, CT_MS_NEVER),
    CT_MAP_F_I64(RefusalRow, refusal_row, expected_wait_ms, 0, CT_MS_NEVER),
    CT_MAP_F_OFFSET(RefusalRow, refusal_row, log_offset),
};
DEFINE_MAP(refusal_row, refusal_row, refusal_row);

#define CONFIG_VARIANT(map, member)                                           \
    {                                                                         \
        &ct_map_##map, offsetof(Ct__ConfigRow, organisation),                 \
            offsetof(struct ct_config_row, u.member), NULL, 0                 \
    }

static const struct ct_map_variant config_row_variant_items[] = {
    [CT_CONFIG_ORGANISATION] = CONFIG_VARIANT(organisation, organisation),
    [CT_CONFIG_HOST] = CONFIG_VARIANT(host, host),
    [CT_CONFIG_CLASS] = CONFIG_VARIANT(class, klass),
    [CT_CONFIG_ROUTE] = CONFIG_VARIANT(route, route),
    [CT_CONFIG_ACCESS] = CONFIG_VARIANT(access, access),
    [CT_CONFIG_POOL] = CONFIG_VARIANT(pool, pool),
    [CT_CONFIG_UPSTREAM] = CONFIG_VARIANT(upstream, upstream),
    [CT_CONFIG_PREFIX_ROUTE] = CONFIG_VARIANT(prefix_route, prefix_route),
    [CT_CONFIG_POOL_SHARE] = CONFIG_VARIANT(pool_share, pool_share),
    [CT_CONFIG_ORDER_ZONE] = CONFIG_VARIANT(order_zone, order_zone),
    [CT_CONFIG_KEY] = CONFIG_VARIANT(config_key, key),
};

static const struct ct_map_variants config_row_variants = {
    offsetof(Ct__ConfigRow, row_case), offsetof(struct ct_config_row, kind), 0,
    CT_MAP_COUNT(config_row_variant_items), config_row_variant_items};

const struct ct_map ct_map_config_row = {&ct__config_row__descriptor,
                                         sizeof(struct ct_config_row), 0, NULL,
                                         &config_row_variants};

#define SNAPSHOT_VARIANT(map, member)                                         \
    {                                                                         \
        &ct_map_##map, offsetof(Ct__SnapshotRow, config),                     \
            offsetof(struct ct_snapshot_row, u.member), NULL, 0               \
    }

static const struct ct_map_variant snapshot_row_variant_items[] = {
    [CT_SNAPSHOT_CONFIG] = SNAPSHOT_VARIANT(config_row, config),
    [CT_SNAPSHOT_KEY] = SNAPSHOT_VARIANT(key, key),
    [CT_SNAPSHOT_LEASE] = SNAPSHOT_VARIANT(lease, lease),
    [CT_SNAPSHOT_CLAIM] = SNAPSHOT_VARIANT(claim, claim),
    [CT_SNAPSHOT_USAGE_WINDOW] = SNAPSHOT_VARIANT(usage_window, window),
    [CT_SNAPSHOT_USAGE_ROW] = SNAPSHOT_VARIANT(usage_row, usage),
    [CT_SNAPSHOT_ORDER] = SNAPSHOT_VARIANT(order, order),
};

static const struct ct_map_variants snapshot_row_variants = {
    offsetof(Ct__SnapshotRow, row_case),
    offsetof(struct ct_snapshot_row, kind), 0,
    CT_MAP_COUNT(snapshot_row_variant_items), snapshot_row_variant_items};

static const struct ct_map_field snapshot_row_fields[] = {
    CT_MAP_F_OFFSET(SnapshotRow, snapshot_row, offset),
};

const struct ct_map ct_map_snapshot_row = {
    &ct__snapshot_row__descriptor, sizeof(struct ct_snapshot_row),
    CT_MAP_COUNT(snapshot_row_fields), snapshot_row_fields,
    &snapshot_row_variants};
