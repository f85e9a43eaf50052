#ifndef CT_PROMPT_QUARANTINE_H
#define CT_PROMPT_QUARANTINE_H

#include <glib.h>

#include "clock.h"
#include "store-types.h"
#include "table.h"

/*
 * Prompt parts that crash the upstreams that begin a response to them. Each
 * host counts the upstreams that failed before the first event of a call
 * with a part, since a call with that part was last answered; the hosts share
 * these counts through the store. A part that reaches the limit is
 * quarantined: calls whose prompt contains it are refused, on all hosts, until
 * the quarantine ends or a call with it is answered after all. Where two parts
 * crashed upstreams only together, either may be sound: a few calls with one
 * but not the other still pass, to find out. While all crashes are those of
 * one request and its repeats, its own part is quarantined and not the parts
 * that other calls share with it.
 */

/* Crashes of a part that are remembered. */
#define CT_PART_CRASHES_MAX 8
/* Other parts that a part is remembered to have occurred with. */
#define CT_PART_COMPANIONS_MAX 4

struct ct_part_crash {
    /* Identifies the upstream and its start. */
    uint64_t upstream;
    uint32_t weight;
};

struct ct_part_row {
    uint64_t id;
    /* Sum of the weights of the crashes since the last answer. */
    uint32_t score;
    /* Ring of the last crashes. */
    struct ct_part_crash crashes[CT_PART_CRASHES_MAX];
    uint32_t n_crashes;
    ct_ms crashed_ms;
    /* Other parts that all calls had which crashed an upstream. */
    uint64_t companions[CT_PART_COMPANIONS_MAX];
    uint32_t n_companions;
    /* The own part of all these calls; 0 if they have several or none. */
    uint64_t own;
    /* The companions are known: an upstream had begun when it crashed. */
    bool crashed_begun;
    /* When a call with the part was last answered; 0 for never. */
    ct_ms answered_ms;
    /* End of the quarantine; 0 for none. */
    ct_ms quarantined_until_ms;
    /* The store has the quarantine. */
    bool stored;
    /* When this host last wrote it; 0 for never. */
    ct_ms written_ms;
};

struct ct_prompt_quarantine {
    /* struct ct_part_row, and its handles by id */
    struct ct_table rows;
    GHashTable *by_id;
    /* Where the search for a row to replace continues. */
    uint32_t cursor;
};

struct ct_state;

void ct_prompt_quarantine_init(struct ct_prompt_quarantine *quarantine);
void ct_prompt_quarantine_free(struct ct_prompt_quarantine *quarantine);

/* Whether calls with these parts are refused. */
bool ct_prompt_quarantine_blocks(const struct ct_state *state,
                                 const struct ct_prompt_parts *parts);

/* Returns when a caller that was refused for it may retry. */
ct_ms ct_prompt_quarantine_retry_after_ms(const struct ct_state *state,
                                          const struct ct_prompt_parts *parts);

/*
 * Whether a call with these parts may pass although some are quarantined: it
 * tells which of several parts crashes upstreams.
 */
bool ct_prompt_quarantine_may_probe(struct ct_state *state,
                                    const struct ct_prompt_parts *parts);

/* A call with these parts was refused: the store must have the reason. */
void ct_prompt_quarantine_on_refused(struct ct_state *state,
                                     const struct ct_prompt_parts *parts);

/* An upstream sent the first event or the response to such a call. */
void ct_prompt_quarantine_on_answer(struct ct_state *state,
                                    const struct ct_prompt_parts *parts);

/*
 * An upstream, identified by name and start, failed before it answered such
 * a call; begun: it had sent the head of its response.
 */
void ct_prompt_quarantine_on_crash(struct ct_state *state,
                                   const struct ct_prompt_parts *parts,
                                   uint64_t upstream, bool begun);

/* CT_EVENT_STORE_PARTS: a record of any host was read. */
void ct_prompt_quarantine_on_record(struct ct_state *state,
                                    const struct ct_part_record *record);

#endif
