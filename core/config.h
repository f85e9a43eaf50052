#ifndef CT_CONFIG_H
#define CT_CONFIG_H

#include <glib.h>

#include "config-row.h"
#include "rank-levels.h"
#include "retry.h"
#include "rows.h"
#include "table.h"

/*
 * The configuration in force, as tables. A new configuration keeps the rows
 * and handles of items whose names it repeats. Rows of removed items stay
 * while requests refer to them and are marked as not configured.
 */

struct ct_organisation_row {
    struct ct_organisation conf;
    bool configured;
};

struct ct_class_row {
    struct ct_class conf;
    bool configured;
    /* Retry and hedge budgets and the latencies that they depend on. */
    struct ct_retry_class retry;
};

struct ct_pool_row {
    struct ct_pool conf;
    bool configured;
    /* Its configured upstreams. */
    struct ct_handle *upstreams;
    uint32_t n_upstreams;
    /* Requests of this host that hold a slot of the pool. */
    uint32_t slots_busy;
    /* Slots of all hosts together; this host may fill slots_held of them. */
    uint32_t slots_total;
    /* Time of the next dispatch after no upstream could take a request. */
    ct_ms serve_again_at_ms;
    /* Smoothed number of this host's calls in flight, in thousandths. */
    uint64_t load_milli;
    /* struct ct_order_zone; NULL if upstreams are not ordered by zone. */
    GArray *order_zones;
    /* Shortest gap target of the streams routed to it; 0 if there is none. */
    ct_ms tightest_gap_ms;
    /* Longest gap target of these streams; 0 if there is none. */
    ct_ms longest_gap_ms;
    /* Tier inversions that the counter already includes. */
    uint64_t inversions;
    uint32_t slots_held;
};

struct ct_route_row {
    struct ct_route conf;
    bool configured;
    struct ct_handle klass;
    struct ct_handle pool;
    /* Bit set of organisations that may call the route, by table index. */
    uint8_t *allowed;
    uint32_t allowed_bytes;
};

/* A pool that takes a share of a route's calls. */
struct ct_route_pool {
    struct ct_handle pool;
    uint32_t weight;
};

struct ct_prefix_route_row {
    struct ct_prefix_route conf;
    bool configured;
    /* struct ct_route_pool; NULL until the route has its first pool. */
    GArray *pools;
    /* Recent duration of its calls, see relay-ready.h; 0 if unknown. */
    ct_ms recent_ms;
};

struct ct_host_conf_row {
    struct ct_host conf;
    bool configured;
};

enum ct_upstream_state {
    /* Takes new requests. */
    CT_UPSTREAM_RUNNING = 0,
    /* Finishes its requests and takes no new ones. */
    CT_UPSTREAM_LEAVING,
    /*
     * Its entry is missing after a store outage; takes requests only if no
     * other upstream of its pool can.
     */
    CT_UPSTREAM_UNCONFIRMED,
};

struct ct_upstream_row {
    struct ct_upstream conf;
    /* Declared by the configuration or listed by the platform. */
    bool configured;
    bool declared;
    bool listed;
    enum ct_upstream_state state;
    struct ct_handle pool;
    /* Hash of the name, for rendezvous hashing. */
    uint64_t name_hash;
    /* Attempts of this host in flight at the upstream. */
    uint32_t in_flight;
};

struct ct_config {
    /* Offset of the record in force; 0 for none. */
    int64_t offset;
    struct ct_table organisations;
    struct ct_table classes;
    struct ct_table pools;
    struct ct_table routes;
    struct ct_table hosts;
    struct ct_table upstreams;
    struct ct_table prefix_routes;
    struct ct_rank_levels rank_levels;
    /*
     * From name to packed handle, one for each table; the keys are in the
     * rows.
     */
    GHashTable *organisation_by_name;
    GHashTable *class_by_name;
    GHashTable *pool_by_name;
    GHashTable *host_by_name;
    GHashTable *upstream_by_name;
    GHashTable *prefix_route_by_name;
    /* From authority and prefix to packed handle. */
    GHashTable *prefix_route_by_key;
    /* From path and model to packed handle. */
    GHashTable *route_by_key;
};

struct ct_state;

void ct_config_init(struct ct_config *config);
void ct_config_free(struct ct_config *config);

/*
 * Applies a configuration. Its publisher checked the rows; they are checked
 * again, and nothing changes if a row refers to an unknown item. Errors:
 * CT_ERR_REFERENCE_UNKNOWN, CT_ERR_INVALID, CT_ERR_NO_MEMORY.
 */
int ct_config_apply(struct ct_config *config, int64_t offset,
                    struct ct_rows rows);

/*
 * Applies the platform's list of upstreams: leaving ones take no new
 * requests, and ordered ones are added. An upstream that the configuration
 * doesn't declare is removed when the list no longer names it. Errors:
 * CT_ERR_NO_MEMORY, CT_ERR_INVALID.
 */
int ct_config_list_upstreams(struct ct_config *config, struct ct_rows rows);

/* config-lookup.c */

/* Look up a name; return CT_NO_HANDLE if no configured item has the name. */
struct ct_handle ct_config_organisation(const struct ct_config *config,
                                        const struct ct_name *name);
struct ct_handle ct_config_pool(const struct ct_config *config,
                                const struct ct_name *name);
struct ct_handle ct_config_host(const struct ct_config *config,
                                const struct ct_name *name);
struct ct_handle ct_config_upstream(const struct ct_config *config,
                                    const struct ct_name *name);

/*
 * Finds the route for a path and model. A route without a model matches any
 * model.
 */
struct ct_handle ct_config_route(const struct ct_config *config,
                                 const struct ct_path *path,
                                 const struct ct_name *model);

/* Whether the organisation may call the route. */
bool ct_config_may_call(const struct ct_config *config, struct ct_handle route,
                        struct ct_handle organisation);

/*
 * Returns the rows of the configuration in force, for a snapshot; free them
 * with g_free.
 */
struct ct_config_row *ct_config_export(const struct ct_config *config,
                                       uint32_t *n);

/* Returns the heap bytes in use, without the allocator's overhead. */
size_t ct_config_bytes(const struct ct_config *config);

/* Adds a zeroed row of that kind to a GArray of struct ct_config_row. */
struct ct_config_row *ct_config_rows_add(GArray *rows,
                                         enum ct_config_kind kind);

#endif
