#ifndef T_LIB_CLUSTER_H
#define T_LIB_CLUSTER_H

#include <glib.h>

#include "lib-core.h"

/*
 * Reducers of several hosts that share one log, with links between them and a
 * platform that accepts orders and reports. Time moves only when a test
 * advances it. Faults are switches that a test sets between two calls of
 * t_cluster_run().
 */

#define T_HOSTS_MAX 8

/* An order as the platform received it. */
struct t_received_order {
    uint32_t host;
    ct_ms at_ms;
    struct ct_order order;
};

struct t_received_report {
    uint32_t host;
    struct ct_usage_window window;
    GArray *rows;
};

struct t_cluster {
    uint32_t n;
    struct t_core hosts[T_HOSTS_MAX];
    /* Number of the host's process; effects of an earlier one are stale. */
    uint32_t incarnation[T_HOSTS_MAX];
    /* A suspended host receives no events, and its effects stay queued. */
    bool suspended[T_HOSTS_MAX];
    bool dead[T_HOSTS_MAX];
    /* The host has no link to any peer. */
    bool unlinked[T_HOSTS_MAX];
    bool linked[T_HOSTS_MAX][T_HOSTS_MAX];
    /* Reads and appends of the log fail. */
    bool log_down;
    /* Appends take effect, but are reported to the writer as failed. */
    bool lose_append_results;
    /* Appends of this type are delayed while the switch is set; 0 for none. */
    enum ct_record_type delayed_record;
    /* Effects of this type are not executed while it is set; 0 for none. */
    enum ct_effect_type held_effect;
    /* Results that the platform returns for orders and reports. */
    int32_t order_result;
    int32_t report_result;
    GArray *log;
    int64_t read[T_HOSTS_MAX];
    GQueue effects;
    GArray *orders;
    /*
     * Upstreams that orders started (struct ct_listed_upstream), and the ids
     * of the orders that took effect.
     */
    GArray *upstreams;
    GHashTable *applied_orders;
    GArray *reports;
    /* Bytes of frames that each host sent and received. */
    uint64_t bytes[T_HOSTS_MAX];
    /* Rows of the last reply to a key withdrawal: struct ct_host_row. */
    uint32_t replies;
    GArray *confirmed;
};

/* Hosts "h1" to "hN" in zones a, b and c, with a configuration in the log. */
void t_cluster_init(struct t_cluster *cluster, uint32_t n);
void t_cluster_free(struct t_cluster *cluster);

/* Advances the time in small steps and delivers all events. */
void t_cluster_run(struct t_cluster *cluster, ct_ms for_ms);

/* Posts an event to one host and executes the resulting effects. */
void t_cluster_post(struct t_cluster *cluster, uint32_t host,
                    struct ct_event *event);

/* Ends a host's process, or starts a new one in its place. */
void t_cluster_kill(struct t_cluster *cluster, uint32_t host);
void t_cluster_start(struct t_cluster *cluster, uint32_t host);

/* Appends a record that no host wrote. */
void t_cluster_append(struct t_cluster *cluster,
                      const struct ct_record *record);

/*
 * The host that holds an unexpired lease of a role by its own clock, -1 for
 * none. Fails the test if there is more than one.
 */
int t_cluster_lease_holder(const struct t_cluster *cluster, enum ct_role role);

/* Number of records of a type in the log. */
uint32_t t_cluster_records(const struct t_cluster *cluster,
                           enum ct_record_type type);

#endif
