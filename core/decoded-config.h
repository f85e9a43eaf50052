#ifndef CT_DECODED_CONFIG_H
#define CT_DECODED_CONFIG_H

#include <glib.h>

#include "store-types.h"

/*
 * A decoded configuration with what its rows do not hold: all items that were
 * left out, and members that hosts do not use. For checks before it is sent.
 */

#define CT_LEFT_OUT_MEMBER_MAX 64

/* An item that hosts leave out, as a whole or in part. */
struct ct_left_out {
    /* Its kind; 0 for the limits on callers. */
    enum ct_config_kind kind;
    /* Empty if it is not known. */
    struct ct_name name;
    /* Position in the list of its kind, from 1; 0 if it is in no list. */
    uint32_t position;
    /* The member that cannot be read; empty if it is not known. */
    char member[CT_LEFT_OUT_MEMBER_MAX];
    /* CT_ERR_REFERENCE_UNKNOWN: the name that does not exist. */
    struct ct_name reference;
    int32_t reason;
};

/* Members of a route that hosts do not use. */
struct ct_decoded_route {
    /* The name as it is written; empty if it is missing or too long. */
    struct ct_name written_name;
    /* Target for the duration of a call; 0 if there is none. */
    ct_ms target_ms;
    /* The route is marked to be resumed, whether it is a stream or not. */
    bool may_resume;
    /* A member could not be read: the route has no pools. */
    bool left_out;
};

struct ct_decoded_config {
    struct ct_store_config config;
    /* struct ct_config_row */
    GArray *rows;
    /* struct ct_left_out */
    GArray *left_out;
    /* struct ct_decoded_route, in the order of the rows of prefix routes */
    GArray *routes;
    /* Time limit of a request's head; 0 if there is none. */
    ct_ms head_timeout_ms;
};

/* The decoded configuration is freed with ct_decoded_config_free(). */
void ct_decoded_config_init(struct ct_decoded_config *decoded);
void ct_decoded_config_free(struct ct_decoded_config *decoded);

/*
 * Sets name to the name of a route for messages: the written one, or host and
 * prefix where hosts replace the name by a hash.
 */
void ct_decoded_route_name(const struct ct_prefix_route *route,
                           const struct ct_decoded_route *decoded,
                           struct ct_name *name);

#endif
