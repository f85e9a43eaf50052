#ifndef CT_CONFIG_ROW_H
#define CT_CONFIG_ROW_H

#include <stdbool.h>

#include "clock.h"
#include "name.h"

/* A configuration is a flat list of rows of these kinds. */
enum ct_config_kind {
    CT_CONFIG_ORGANISATION = 1,
    CT_CONFIG_HOST,
    CT_CONFIG_CLASS,
    CT_CONFIG_ROUTE,
    CT_CONFIG_ACCESS,
    CT_CONFIG_POOL,
    CT_CONFIG_UPSTREAM,
    CT_CONFIG_PREFIX_ROUTE,
    CT_CONFIG_POOL_SHARE,
    CT_CONFIG_ORDER_ZONE,
    CT_CONFIG_KEY,
};

/* Tier 0 is the highest; the tier with the largest number is shed first. */
#define CT_TIERS 4

struct ct_organisation {
    struct ct_name name;
    /* Weight in the fair share; normally 1. */
    uint32_t weight;
    /*
     * If has_rank is set, rank replaces the rank of the route for this
     * organisation's relayed calls.
     */
    bool has_rank;
    uint32_t rank;
};

struct ct_host {
    struct ct_name name;
    struct ct_name zone;
    struct ct_address caller_address;
    struct ct_address peer_address;
    struct ct_address operator_address;
};

struct ct_class {
    struct ct_name name;
    uint32_t tier;
    /* Target for the first byte of a response. */
    ct_ms first_token_target_ms;
    /* Target between tokens; 0 for plain services. */
    ct_ms token_gap_target_ms;
    /* Target for the complete response; 0 for none. */
    ct_ms total_target_ms;
    /* A stream that sends nothing for this long counts as failed. */
    ct_ms gap_timeout_ms;
    /* Longest time in the queue. */
    ct_ms queue_limit_ms;
    /* Retries and hedges allowed, in percent of first attempts. */
    uint32_t retry_budget_percent;
    uint32_t hedge_budget_percent;
    /*
     * Percent of the maximum queue length and of a pool's slots that is
     * reserved for this class.
     */
    uint32_t reserve_percent;
    /* May run on upstreams that can be reclaimed at short notice. */
    bool cheap_allowed;
};

enum ct_pool_kind {
    CT_POOL_ENGINE = 1,
    CT_POOL_PLAIN,
};

struct ct_pool {
    struct ct_name name;
    enum ct_pool_kind kind;
    /*
     * Bounds for ordering upstreams; both 0 if none are ordered. If the pool
     * has rows of struct ct_order_zone they apply to each such availability
     * zone, else to all upstreams of the pool together.
     */
    uint32_t min_upstreams;
    uint32_t max_upstreams;
    /* An engine can copy the cache of a running request to another engine. */
    bool backs_up;
    /* How long an upstream is cold after its start; 0 for never. */
    ct_ms cold_ms;
    /*
     * Requests that a cold upstream takes from all hosts together, in
     * thousandths per second; 0 for any number.
     */
    int64_t cold_permille;
};

/* An availability zone in which upstreams of a pool can be ordered. */
struct ct_order_zone {
    struct ct_name pool;
    struct ct_name zone;
};

struct ct_route {
    struct ct_path path;
    /* Model named in the body; empty matches any. */
    struct ct_name model;
    struct ct_name class_name;
    struct ct_name pool;
    bool open_to_all;
    bool idempotent;
};

/* Allows an organisation to call a route that is not open to all. */
struct ct_access {
    struct ct_path path;
    struct ct_name model;
    struct ct_name organisation;
};

struct ct_upstream {
    struct ct_name name;
    struct ct_name pool;
    struct ct_name zone;
    struct ct_address address;
    /* Requests that the upstream serves concurrently. */
    uint32_t slots;
    /* May be reclaimed at short notice. */
    bool cheap;
    /* Refuses orders with an old fencing token. */
    bool checks_fencing;
};

/* Whether a call of a route may be run more than once. */
enum ct_repeat {
    /* Yes: the calls are idempotent. */
    CT_REPEAT_ANY = 1,
    CT_REPEAT_NEVER,
    /* Yes: a stream resumes after the last event that the caller received. */
    CT_REPEAT_RESUME,
};

/* A route of relayed calls, found by authority and longest path prefix. */
struct ct_prefix_route {
    struct ct_name name;
    struct ct_authority authority;
    /* Starts and ends with a slash. */
    struct ct_call_path prefix;
    bool stream;
    enum ct_repeat repeat;
    /* No key is required. */
    bool open_to_all;
    /* Prefix affinity: calls share prompt parts that upstreams cache. */
    bool sticky;
    /* 0 is the most urgent. */
    uint32_t rank;
    /* Maximum number of attempts of which bytes were sent, per call. */
    uint32_t attempts;
    /* Time limit of a call. */
    ct_ms timeout_ms;
    /* Longest gap between two events of a stream that is on time; 0 if none.
     */
    ct_ms gap_target_ms;
};

/* A pool's share of the calls of a prefix route. */
struct ct_pool_share {
    struct ct_name route;
    struct ct_name pool;
    uint32_t weight;
};

/* A valid key and the organisation that holds it. */
struct ct_config_key {
    struct ct_digest digest;
    struct ct_name organisation;
};

struct ct_config_row {
    enum ct_config_kind kind;
    union {
        struct ct_organisation organisation;
        struct ct_host host;
        struct ct_class klass;
        struct ct_route route;
        struct ct_access access;
        struct ct_pool pool;
        struct ct_upstream upstream;
        struct ct_prefix_route prefix_route;
        struct ct_pool_share pool_share;
        struct ct_order_zone order_zone;
        struct ct_config_key key;
    } u;
};

#endif
