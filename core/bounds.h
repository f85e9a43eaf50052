#ifndef CT_BOUNDS_H
#define CT_BOUNDS_H

#include <stdint.h>

#include "clock.h"

/* Bounds of the deployment that decisions about relayed calls keep. */
struct ct_bounds {
    /* After this a key that was taken away must not run anything. */
    ct_ms revoke_ms;
    /* After this an upstream that leaves must get nothing new. */
    ct_ms drain_ms;
    /*
     * After this without any disturbance of a host, its links and the store
     * the bounds hold for it.
     */
    ct_ms steady_ms;
    /* Repeats to a pool, in thousandths of its calls, beside the burst. */
    int64_t repeat_permille;
    uint32_t repeat_burst;
    ct_ms repeat_window_ms;
    /* Two hosts must not take turns in acting for all within this time. */
    ct_ms lease_ms;
    /* Shortest time to live of a member that the store accepts. */
    ct_ms member_ttl_min_ms;
    ct_ms usage_window_ms;
    /* After its end a window's usage is due within this time. */
    ct_ms usage_late_ms;
    /* How long callers may keep an address answer. */
    ct_ms address_ttl_ms;
    /* From the signal to stop to the kill. */
    ct_ms grace_ms;
};

#endif
