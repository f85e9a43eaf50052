#ifndef CT_STORE_SYNC_H
#define CT_STORE_SYNC_H

#include <glib.h>

#include "event.h"

/*
 * This host's copy of the platform's store. Each topic is first read in full,
 * as the newest record of each key, and then followed by reads that wait at
 * its end. The configuration never reverts to an older version within a
 * process. The greatest possible age of the configuration data limits what
 * this host may do with a key.
 */

struct ct_topic_sync {
    /* The full read has completed. */
    bool full_read_done;
    /*
     * During a full read: the key after which the next page begins, and when
     * the first page was requested.
     */
    struct ct_name after;
    ct_ms full_read_ms;
    /* The next record alone exceeds the size limit of a read. */
    bool oversize;
    /* Next offset to read. */
    int64_t next;
    /* All records written before this time have been read; 0 for none. */
    ct_ms covered_until_ms;
    /* Consecutive reads that failed. */
    uint32_t failures;
    /* When the store recovered after failures; 0 if it has not failed. */
    ct_ms recovered_ms;
    /* Time of the next read; 0 while a read is in progress. */
    ct_ms next_read_ms;
    /*
     * Records exist that no update contained; they must be read from the
     * store.
     */
    bool behind;
};

struct ct_store_sync {
    struct ct_topic_sync topics[CT_TOPIC_COUNT];
    bool config_known;
    /* See struct ct_store_config. */
    bool keys_required;
    /* Items of the configuration in force could not be read. */
    bool config_partial;
    int64_t config_version;
};

struct ct_state;


/* Starts to follow the topics that every host needs. */
void ct_store_sync_start(struct ct_state *state);

/* rows: struct ct_config_row */
void ct_store_on_config(struct ct_state *state,
                        const struct ct_store_config *config,
                        struct ct_rows rows);
void ct_store_on_invalid_entry(struct ct_state *state,
                               const struct ct_store_invalid_entry *invalid);
/* Returns whether the store responds again after reads that failed. */
bool ct_store_on_read(struct ct_state *state,
                      const struct ct_store_read_done *read);
/*
 * Applies an update from the source; rows: struct ct_store_upstream. Ignored
 * while a read is in progress, whose older records would be applied after it.
 */
void ct_store_on_update(struct ct_state *state,
                        const struct ct_store_update *update,
                        struct ct_rows rows);
/*
 * Counts a configuration from the source as read, and returns true, if it has
 * all records that this host lacks up to its end.
 */
bool ct_store_take_config(struct ct_state *state,
                          const struct ct_store_config_update *update);
/*
 * Handles the loss of the link to the source, after which no more updates
 * arrive.
 */
void ct_store_on_source_lost(struct ct_state *state);
/* CT_TIMER_STORE */
void ct_store_on_timer(struct ct_state *state);

/* Returns the age of the data on a topic, or CT_MS_NEVER if there is none. */
ct_ms ct_store_age_ms(const struct ct_state *state, enum ct_topic topic);

#endif
