#ifndef CT_REPLICATION_H
#define CT_REPLICATION_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Knowledge of the platform's store passed on between hosts. In an
 * availability zone of some size a few hosts read the store; the others ask
 * one of them each second and are told at once what it reads. What a host was
 * told is dated by its own clock, from the question that the news answers, so
 * that news on its way or a host that stood still never seem fresher than they
 * are. Where the news end, or leave a gap, a host reads the store itself.
 */

/* A host that is told what this one reads. */
struct ct_replication_follower {
    struct ct_name host;
    /* Its last question: by its clock, and when it came. */
    ct_ms asked_ms;
    ct_ms received_ms;
};

/* A source that fell silent. */
struct ct_replication_avoided_source {
    struct ct_name host;
    ct_ms until_ms;
};

struct ct_replication {
    /* struct ct_replication_follower */
    struct ct_table followers;
    /* struct ct_replication_avoided_source */
    struct ct_table avoided;
    /* Entries read since the last news, struct ct_store_upstream. */
    GArray *entries;
    /* They are not all of them. */
    bool partial;

    /* The host that this one asks; the name is empty for none. */
    struct ct_name source;
    bool linked;
    /* When it was chosen, and when it was last heard. */
    ct_ms since_ms;
    ct_ms heard_ms;
};

struct ct_state;

void ct_replication_init(struct ct_replication *feed);
void ct_replication_free(struct ct_replication *feed);

void ct_replication_start(struct ct_state *state);
/* CT_TIMER_REPLICATION */
void ct_replication_on_timer(struct ct_state *state);
/* A link to another host stands, or is lost. */
void ct_replication_on_link(struct ct_state *state, const struct ct_name *peer,
                            bool up);
void ct_replication_on_update_request(struct ct_state *state,
                                      const struct ct_peer_message *message);
void ct_replication_on_update(struct ct_state *state,
                              const struct ct_peer_message *message);

void ct_replication_on_members_update(struct ct_state *state,
                                      const struct ct_peer_message *message);

/* This host was told who is in the group; rows: struct ct_member */
void ct_replication_on_members_read(struct ct_state *state,
                                    struct ct_rows rows);
/* This host read an entry in the store, and then the end of a read. */
void ct_replication_on_entry_read(struct ct_state *state,
                                  const struct ct_store_upstream *entry);
void ct_replication_on_read_done(struct ct_state *state,
                                 const struct ct_store_read_done *read);

/* Whether other hosts rely on what this one reads. */
bool ct_replication_has_followers(const struct ct_state *state);
/* A message to the host that this one asks; there must be one. */
struct ct_peer_message *
ct_replication_message_to_source(struct ct_state *state,
                                 enum ct_peer_message_type type,
                                 struct ct_rows rows);
/* Whether this host has a link to another one that it asks. */
bool ct_replication_has_source(const struct ct_state *state);
/* Whether another host keeps this one up to date. */
bool ct_replication_source_is_fresh(const struct ct_state *state);
/* After this time without news of a topic this host asks the store. */
ct_ms ct_replication_stale_ms(const struct ct_state *state);

#endif
