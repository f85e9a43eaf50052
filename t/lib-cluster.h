#ifndef T_LIB_CLUSTER_H
#define T_LIB_CLUSTER_H

#include <glib.h>

#include "lib-core.h"

/*
 * A few hosts' reducers around one log, with links between them and a
 * platform that takes orders and reports. All time moves by hand. Faults are
 * switches; a test sets them between two calls of t_cluster_run().
 */

#define T_HOSTS_MAX 8

/* An order as the platform saw it. */
struct t_order_seen {
    uint32_t host;
    ct_ms at_ms;
    struct ct_order order;
};

struct t_report_seen {
    uint32_t host;
    struct ct_usage_window window;
    GArray *rows;
};

struct t_cluster {
    uint32_t n;
    struct t_core hosts[T_HOSTS_MAX];
    uint32_t life[T_HOSTS_MAX];
    /* Stopped: no event reaches it, its effects wait. */
    bool frozen[T_HOSTS_MAX];
    bool dead[T_HOSTS_MAX];
    /* No link to any peer. */
    bool cut[T_HOSTS_MAX];
    bool linked[T_HOSTS_MAX][T_HOSTS_MAX];
    /* Reads and appends fail. */
    bool log_down;
    /* Appends take effect, but the writer hears of a failure. */
    bool lose_answers;
    /* Appends of this type wait until the switch is off; 0 for none. */
    enum ct_record_type late;
    /* Effects of this type wait before their executor; 0 for none. */
    enum ct_effect_type held;
    /* What the platform answers to orders and reports. */
    int32_t order_result;
    int32_t report_result;
    GArray *log;
    int64_t read[T_HOSTS_MAX];
    GQueue effects;
    GArray *orders;
    /* What orders brought: struct ct_listed_upstream, and by which number. */
    GArray *upstreams;
    GHashTable *carried_out;
    GArray *reports;
    /* Bytes of frames that each host sent and received. */
    uint64_t bytes[T_HOSTS_MAX];
    /* The last answer about a withdrawn key: struct ct_host_row. */
    uint32_t replies;
    GArray *confirmed;
};

/* Hosts "h1" to "hN" in zones a, b and c, with a configuration in the log. */
void t_cluster_init(struct t_cluster *cluster, uint32_t n);
void t_cluster_free(struct t_cluster *cluster);

/* Lets time pass in small steps while all events are delivered. */
void t_cluster_run(struct t_cluster *cluster, ct_ms for_ms);

/* Gives one host an event and carries out what follows. */
void t_cluster_post(struct t_cluster *cluster, uint32_t host,
                    struct ct_event *event);

/* Ends a host's process, or starts a new one in its place. */
void t_cluster_kill(struct t_cluster *cluster, uint32_t host);
void t_cluster_start(struct t_cluster *cluster, uint32_t host);

/* Appends a record from outside. */
void t_cluster_append(struct t_cluster *cluster,
                      const struct ct_record *record);

/* The host that believes in its lease of a role, -1 for none; one at most. */
int t_cluster_holder(const struct t_cluster *cluster, enum ct_role role);

/* How many records of a type the log holds. */
uint32_t t_cluster_records(const struct t_cluster *cluster,
                           enum ct_record_type type);

#endif
