#ifndef CT_REPLICATION_H
#define CT_REPLICATION_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Sharing of the store's data between the hosts of one availability zone. In a
 * zone with enough hosts a few of them read the platform's store. Each other
 * host sends one of them an update request every second and receives updates
 * as soon as they are read. A follower dates an update by its own clock, from
 * its update request that the update names, so a delayed update or a suspended
 * host never makes the data seem fresher than it is. When updates stop or
 * leave a gap, a host reads the store itself.
 */

/* A host that receives updates from this one. */
struct ct_replication_follower {
    struct ct_name host;
    /* Its last update request: the time by its own clock, and the arrival. */
    ct_ms requested_ms;
    ct_ms received_ms;
};

/* A source that went stale. */
struct ct_replication_avoided_source {
    struct ct_name host;
    ct_ms until_ms;
};

struct ct_replication {
    /* struct ct_replication_follower */
    struct ct_table followers;
    /* struct ct_replication_avoided_source */
    struct ct_table avoided;
    /* Entries read since the last update, struct ct_store_upstream. */
    GArray *entries;
    /* entries lacks some of the entries that were read. */
    bool entries_incomplete;
    /*
     * The newest configuration read since the last update, with its rows,
     * struct ct_config_row.
     */
    struct ct_store_config config;
    GArray *config_rows;
    bool config_read;
    /* Other records of its topic were read, or it is too large. */
    bool config_incomplete;

    /* Hosts that this one opens links to, struct ct_host. */
    GArray *links;
    /* The host that this one follows; the name is empty if there is none. */
    struct ct_name source;
    bool source_linked;
    /* When the source was chosen, and when its last update arrived. */
    ct_ms source_chosen_ms;
    ct_ms last_update_ms;
    /* When the source last said that its reads fail; 0 if it did not. */
    ct_ms source_failed_ms;
};

struct ct_state;

void ct_replication_init(struct ct_replication *replication);
void ct_replication_free(struct ct_replication *replication);

void ct_replication_start(struct ct_state *state);
/* CT_TIMER_REPLICATION */
void ct_replication_on_timer(struct ct_state *state);
/*
 * Handles a link to another host that came up or went down. Returns whether
 * the link to the source was lost.
 */
bool ct_replication_on_link(struct ct_state *state, const struct ct_name *peer,
                            bool up);
void ct_replication_on_update_request(struct ct_state *state,
                                      const struct ct_peer_message *message);
/* Returns whether the update is to be applied: it is from the source. */
bool ct_replication_on_update(struct ct_state *state,
                              const struct ct_peer_message *message);
/* Whether the message is from the source, not from a previous one. */
bool ct_replication_is_from_source(const struct ct_state *state,
                                   const struct ct_peer_message *message);

/*
 * Sends the group's members that this host read to its followers; rows: struct
 * ct_member
 */
void ct_replication_on_members_read(struct ct_state *state,
                                    struct ct_rows rows);
/*
 * This host read from the store: an entry of an upstream, a configuration,
 * another record of the configuration's topic. The end of the read follows.
 */
void ct_replication_on_entry_read(struct ct_state *state,
                                  const struct ct_store_upstream *entry);
void ct_replication_on_config_read(struct ct_state *state,
                                   const struct ct_store_config *config,
                                   struct ct_rows rows);
void ct_replication_on_other_record_read(struct ct_state *state);
void ct_replication_on_read_done(struct ct_state *state,
                                 const struct ct_store_read_done *read);

/* A read of this host failed; tells its followers. */
void ct_replication_on_read_failed(struct ct_state *state,
                                   enum ct_topic topic);
/* Whether the source is alive and says that its reads fail. */
bool ct_replication_source_fails(const struct ct_state *state);
/* Whether this host's reads fail too: another source could not say more. */
bool ct_replication_is_outage(const struct ct_state *state);

/* Whether other hosts receive updates from this one. */
bool ct_replication_has_followers(const struct ct_state *state);
/* Creates a message to the source, which must be set. */
struct ct_peer_message *
ct_replication_message_to_source(struct ct_state *state,
                                 enum ct_peer_message_type type,
                                 struct ct_rows rows);
/* Whether this host has a source and the link to it is up. */
bool ct_replication_has_source(const struct ct_state *state);
/* Whether updates from the source arrive often enough to rely on them. */
bool ct_replication_source_is_fresh(const struct ct_state *state);
/* Returns the time without updates after which this host reads the store. */
ct_ms ct_replication_stale_ms(const struct ct_state *state);

#endif
