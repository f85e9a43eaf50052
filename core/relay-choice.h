#ifndef CT_RELAY_CHOICE_H
#define CT_RELAY_CHOICE_H

#include "relay.h"

/* Chooses the upstream of a relayed call's attempt, and those beside it. */

struct ct_relay_choice {
    /* CT_NO_HANDLE if no upstream can take the call now. */
    struct ct_handle upstream;
    /*
     * Upstream that may hold parts of the prompt in its cache which the
     * chosen one lacks.
     */
    struct ct_handle cache_donor;
    struct ct_handle backup;
    /* The upstream holds the backup of the call's last attempt. */
    bool from_backup;
};

struct ct_state;

struct ct_relay_choice ct_relay_choose_upstream(struct ct_state *state,
                                                const struct ct_relay *relay);

/* Returns the backup of the call's last attempt, and a backup of its own. */
struct ct_relay_choice ct_relay_choose_backup(struct ct_state *state,
                                              const struct ct_relay *relay);

/*
 * Returns the time until an upstream that is barred by its own notice may get
 * the call, CT_MS_NEVER if none ever may, or 0 if none is barred.
 */
ct_ms ct_relay_upstream_free_in_ms(const struct ct_state *state,
                                   const struct ct_relay *relay);

/*
 * Why no upstream was chosen: all are limited, in evacuated zones, or there is
 * none.
 */
enum ct_refusal ct_relay_no_choice_reason(const struct ct_state *state,
                                          const struct ct_relay *relay);

/* The same for a new call like it, which may use the upstreams it tried. */
ct_ms ct_relay_new_call_in_ms(const struct ct_state *state,
                              const struct ct_relay *relay);

#endif
