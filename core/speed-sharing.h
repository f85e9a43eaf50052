#ifndef CT_SPEED_SHARING_H
#define CT_SPEED_SHARING_H

#include "clock.h"
#include "load-table.h"
#include "peer-message.h"
#include "table.h"

/*
 * The shortest gaps of the upstreams' streams that other hosts measured (see
 * upstream-speed.h), over the links by which hosts share load. A follower
 * sends its source what it measured; a source sends the other sources what it
 * and its followers measured, and its followers the shortest of all. No host
 * passes on what it learned from another source, so that a measurement that
 * its host forgets is forgotten everywhere.
 */

/* An upstream by its number. */
struct ct_speed_upstream {
    struct ct_handle upstream;
    /*
     * Until then gaps of other hosts may be those of an earlier process of
     * the same name; 0 if this host saw none.
     */
    ct_ms doubtful_until_ms;
};

struct ct_speed_sharing {
    uint32_t sequence;
    /* When this host last sent gaps; 0 for never. */
    ct_ms sent_ms;
    /*
     * It sent some, so it also tells when it has none any more; the receivers
     * would keep the last ones until they expire, at each of three links.
     */
    bool sent_any;
    /* struct ct_speed_upstream, by the number in this version of the list. */
    GArray *upstreams;
    uint32_t list_version;
};

struct ct_state;

void ct_speed_sharing_init(struct ct_speed_sharing *sharing);
void ct_speed_sharing_free(struct ct_speed_sharing *sharing);

/*
 * Sends what is due, and passes what other hosts measured to the speeds.
 * source: the link to the source of a follower, NULL if there is none.
 */
void ct_speed_sharing_on_tick(struct ct_state *state, bool follows,
                              struct ct_load_peer *source);
/* CT_PEER_LOAD_GAPS, whose list of upstreams is known. */
void ct_speed_sharing_on_message(struct ct_state *state,
                                 struct ct_load_peer *peer,
                                 const struct ct_peer_message *message);

/*
 * A gap as a number of 9 bits, 0 for none. Numbers of gaps that differ by a
 * factor of less than 15 differ by less than 64, which takes one byte in a
 * message.
 */
uint32_t ct_speed_encode_gap(uint32_t gap_us);
/* Returns the gap, exact to 4 percent; 0 for 0. */
uint32_t ct_speed_decode_gap(uint32_t code);

#endif
