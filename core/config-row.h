#ifndef CT_CONFIG_ROW_H
#define CT_CONFIG_ROW_H

#include "clock.h"
#include "name.h"

/* The configuration in force is a flat list of rows of these kinds. */
enum ct_config_kind {
    CT_CONFIG_ORGANISATION = 1,
    CT_CONFIG_HOST,
    CT_CONFIG_CLASS,
    CT_CONFIG_ROUTE,
    CT_CONFIG_ACCESS,
    CT_CONFIG_POOL,
    CT_CONFIG_UPSTREAM,
};

/* Tier 0 is the highest; a larger number is shed first. */
#define CT_TIERS 4

struct ct_organisation {
    struct ct_name name;
    /* Weight in the fair share; 1 is the usual. */
    uint32_t weight;
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
    /* Target for the first byte of an answer. */
    ct_ms first_token_target_ms;
    /* Target between tokens; 0 for plain services. */
    ct_ms token_gap_target_ms;
    /* Target for the whole answer; 0 for none. */
    ct_ms total_target_ms;
    /* Silence on a stream after which it counts as broken. */
    ct_ms gap_timeout_ms;
    /* Longest wait in the queue. */
    ct_ms queue_limit_ms;
    /* Retries and hedges allowed, in percent of first attempts. */
    uint32_t retry_budget_percent;
    uint32_t hedge_budget_percent;
    /* Share of a pool that keeps this class alive, in percent. */
    uint32_t reserve_percent;
    /* May run on upstreams that can be reclaimed on short notice. */
    bool cheap_allowed;
};

enum ct_pool_kind {
    CT_POOL_ENGINE = 1,
    CT_POOL_PLAIN,
};

struct ct_pool {
    struct ct_name name;
    enum ct_pool_kind kind;
    /* Bounds for ordering upstreams; both 0 where none are ordered. */
    uint32_t min_upstreams;
    uint32_t max_upstreams;
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

/* An organisation that may call a route which is not open to all. */
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
    /* Requests that it serves at the same time. */
    uint32_t slots;
    /* May be reclaimed on short notice. */
    bool cheap;
    /* Refuses orders with an old fencing number. */
    bool checks_fencing;
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
    } u;
};

#endif
