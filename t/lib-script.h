#ifndef LIB_SCRIPT_H
#define LIB_SCRIPT_H

#include <glib.h>

#include "loop.h"

/*
 * A reducer for tests of executors: records all events and emits the effects
 * that the test defines.
 */

struct script {
    struct ct_reducer reducer;
    struct ct_loop *loop;
    /* struct ct_event; their rows are not copied. */
    GArray *events;
    /* Called with each event; may add effects. May be NULL. */
    void (*react)(struct script *script, const struct ct_event *event,
                  struct ct_effects *effects);
    void *arg;
    /* The loop stops once this many events of the type were seen. */
    enum ct_event_type wanted;
    guint wanted_n;
};

/* Creates a script and its loop; free the loop before the script. */
struct script *script_new(void);
void script_free(struct script *script);

/* Runs the loop until n events of the type were seen since script_new(). */
void script_wait_events(struct script *script, enum ct_event_type type,
                        guint n);
/* Runs the loop until check(arg) holds; checked at short intervals. */
void script_wait_until(struct script *script, bool (*check)(void *arg),
                       void *arg);

guint script_count(const struct script *script, enum ct_event_type type);
/* The last event of the type; fails the test if there is none. */
const struct ct_event *script_last(const struct script *script,
                                   enum ct_event_type type);

#endif
