#ifndef CT_STORE_SYNC_H
#define CT_STORE_SYNC_H

#include <glib.h>

#include "event.h"

/*
 * What this host knows of the platform's store. Each topic is first read as
 * the newest record of each key, then followed by reads that wait at its end.
 * The configuration never reverts within a process, and how old the knowledge
 * of it can be at most bounds what may be done with a key.
 */

struct ct_topic_sync {
    bool started;
    /* The newest records were read once. */
    bool known;
    /* While pages of the newest are read: the next one's key, and when the
     * first was asked for. */
    struct ct_path after;
    ct_ms pages_ms;
    /* The next record alone is beyond the size of a part. */
    bool oversize;
    /* Next offset to read. */
    int64_t next;
    /* Nothing before this time is unknown; 0 for never. */
    ct_ms known_ms;
    /* Reads in a row that failed. */
    uint32_t failures;
    /* When the store answered again after failures; 0 for long ago. */
    ct_ms back_ms;
    /* Time of the next read; 0 while one is under way. */
    ct_ms read_at_ms;
    /* Records are there that no other host passed on: they must be read. */
    bool behind;
};

struct ct_store_sync {
    struct ct_topic_sync topics[CT_TOPIC_COUNT];
    bool config_known;
    int64_t config_version;
};

struct ct_state;


/* Begins to follow the topics that every host needs. */
void ct_store_sync_start(struct ct_state *state);

void ct_store_on_config(struct ct_state *state, const struct ct_event *event);
void ct_store_on_invalid_entry(struct ct_state *state,
                               const struct ct_store_invalid_entry *odd);
void ct_store_on_read(struct ct_state *state,
                      const struct ct_store_read_done *read);
/*
 * What another host read of a topic; rows: struct ct_store_upstream. Not taken
 * while a read is under way, whose older records would come after them.
 */
void ct_store_on_update(struct ct_state *state,
                        const struct ct_store_update *news,
                        struct ct_rows rows);
/* Nobody passes on anything any more. */
void ct_store_on_source_lost(struct ct_state *state);
/* CT_TIMER_STORE */
void ct_store_on_timer(struct ct_state *state);

/* Age of what is known of a topic; CT_MS_NEVER where nothing is. */
ct_ms ct_store_age_ms(const struct ct_state *state, enum ct_topic topic);

#endif
