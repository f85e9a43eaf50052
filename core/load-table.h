#ifndef CT_LOAD_TABLE_H
#define CT_LOAD_TABLE_H

#include <glib.h>

#include "clock.h"
#include "name.h"
#include "peer-message.h"
#include "table.h"

/*
 * What other hosts reported of the calls that they have in flight at the
 * upstreams, added up. Reports name upstreams by their numbers in the sender's
 * list, which the sender transmits once. In the table they have the numbers of
 * this host's own list. The report of a host, or of the hosts that it adds up,
 * is a part of the total.
 */

#define CT_LOAD_NO_NUMBER UINT32_MAX
/* Upstreams in a list; further ones are left out. */
#define CT_LOAD_LIST_MAX 4096

/* The shortest gaps of upstreams that a host reported. */
struct ct_load_gaps {
    /* Number of its last message of these. */
    uint32_t sequence;
    /* When that arrived; 0 if it is not used any more. */
    ct_ms received_ms;
    /* It is a follower of this host, and sent its own measurements. */
    bool follows;
    /* gap_code of struct ct_load_gap_row, by this host's number. */
    GArray *codes;
};

/* A host that this one has a link to. */
struct ct_load_peer {
    struct ct_name host;
    /* How much of which version of this host's list it was sent. */
    uint32_t listed_version;
    uint32_t listed;
    /* Its own list: this host's number of each upstream, uint32_t. */
    uint32_t list_version;
    GArray *numbers;
    /* Number of its last report. */
    uint32_t sequence;
    /*
     * Its part: the hosts that it covers, when it arrived (0 if there is no
     * part), and the mean time, by this host's clock, at which its counts were
     * right.
     */
    uint32_t hosts;
    ct_ms received_ms;
    ct_ms dated_ms;
    /* Its part is the report of a follower of this host. */
    bool follows;
    /* struct ct_load_row with this host's numbers */
    GArray *rows;
    struct ct_load_gaps gaps;
};

/* The number of an upstream of this host. */
struct ct_load_upstream {
    struct ct_handle upstream;
    uint32_t number;
};

struct ct_load_table {
    /* This host's list: hash of each upstream, uint64_t; number by hash. */
    uint32_t version;
    GArray *hashes;
    GHashTable *numbers;
    /* struct ct_load_upstream, by the index of the upstream's row */
    GArray *upstreams;
    /* Length of the list after it was last renumbered. */
    uint32_t renumbered;
    /* struct ct_load_peer */
    struct ct_table peers;
    /* Sum over all parts of the calls by number, uint64_t. */
    GArray *totals;
    /* Sum over all parts of hosts, and of dated_ms of each host. */
    uint32_t hosts;
    int64_t dated_sum_ms;
    /* Zeroes by number between calls, uint32_t. */
    GArray *scratch;
};

void ct_load_table_init(struct ct_load_table *table);
void ct_load_table_free(struct ct_load_table *table);

/*
 * Returns the number of an upstream, which is added to the list if need be, or
 * CT_LOAD_NO_NUMBER if the list is full.
 */
uint32_t ct_load_table_number(struct ct_load_table *table,
                              uint64_t upstream_hash);

/* Gives an upstream of this host a number, unless the list is full. */
void ct_load_table_add_upstream(struct ct_load_table *table,
                                struct ct_handle upstream,
                                uint64_t upstream_hash);
/* Returns the number of an upstream, or CT_LOAD_NO_NUMBER if it has none. */
uint32_t ct_load_table_upstream_number(const struct ct_load_table *table,
                                       struct ct_handle upstream);

/*
 * Begins a new version of the list that leaves out the upstreams for which
 * keep is false, unless they have calls or are among the newest, which other
 * hosts may know earlier than this one. The upstreams of this host have to be
 * added again.
 */
void ct_load_table_renumber(struct ct_load_table *table, const bool *keep);

struct ct_load_peer *ct_load_table_find(const struct ct_load_table *table,
                                        const struct ct_name *host);
/*
 * Adds a host that sent and was sent nothing yet; replaces one of this name.
 * Errors: CT_ERR_NO_MEMORY.
 */
int ct_load_table_add(struct ct_load_table *table, const struct ct_name *host);
/* Removes a host and its part. */
void ct_load_table_remove(struct ct_load_table *table,
                          const struct ct_name *host);

/*
 * The peer's list from number first on; rows: struct ct_load_list_row.
 * Returns whether the numbers before are known.
 */
bool ct_load_table_set_list(struct ct_load_table *table,
                            struct ct_load_peer *peer, uint32_t version,
                            uint32_t first, struct ct_rows rows);

/* What a report says besides its rows. */
struct ct_load_part {
    uint32_t hosts;
    ct_ms received_ms;
    ct_ms dated_ms;
    bool follows;
};

/*
 * Replaces the peer's part. rows: struct ct_load_row with numbers of the
 * peer's list; own: calls to subtract from it, struct ct_load_row with this
 * host's numbers.
 */
void ct_load_table_set_part(struct ct_load_table *table,
                            struct ct_load_peer *peer,
                            const struct ct_load_part *part,
                            struct ct_rows rows, struct ct_rows own);
void ct_load_table_clear_part(struct ct_load_table *table,
                              struct ct_load_peer *peer);

/* Replaces the gaps of a peer; rows: struct ct_load_gap_row. */
void ct_load_table_set_gaps(const struct ct_load_table *table,
                            struct ct_load_peer *peer, bool follows,
                            ct_ms received_ms, struct ct_rows rows);
void ct_load_table_clear_gaps(struct ct_load_peer *peer);

#endif
