#ifndef CT_BOUNDS_H
#define CT_BOUNDS_H

#include <stdint.h>

#include "clock.h"

/* Bounds of the deployment that apply to relayed calls. */
struct ct_bounds {
    /* A withdrawn key must not run any call after this time. */
    ct_ms revoke_ms;
    /* A leaving upstream must get no new call after this time. */
    ct_ms drain_ms;
    /* A new configuration must be in force on every host after this time. */
    ct_ms config_ms;
    /*
     * Nothing must reach an upstream of an evacuated availability zone after
     * this time; 0 if no bound is set.
     */
    ct_ms evacuate_ms;
    /*
     * The bounds hold for a host after it, its links and the store were
     * undisturbed for this time.
     */
    ct_ms steady_ms;
    /* Retries to a pool, in thousandths of its calls, besides the burst. */
    int64_t repeat_permille;
    uint32_t repeat_burst;
    ct_ms repeat_window_ms;
    /* The leader must not change from one host to another within this time. */
    ct_ms lease_ms;
    /* Shortest time to live of a group member that the store accepts. */
    ct_ms member_ttl_min_ms;
    ct_ms usage_window_ms;
    /* A window's usage must be reported within this time after its end. */
    ct_ms usage_late_ms;
    /* How long callers may cache the addresses that they looked up. */
    ct_ms address_ttl_ms;
    /*
     * Longest time for which an upstream's own word keeps requests from it,
     * unless it says so again.
     */
    ct_ms upstream_pause_max_ms;
    /*
     * A cold upstream gets at most its pool's cold_permille times this factor,
     * in thousandths, plus the burst in any one second.
     */
    int64_t cold_overshoot_permille;
    uint32_t cold_burst;
    /* Time from the stop signal to the kill. */
    ct_ms grace_ms;
    /* Memory that the host may use. */
    uint32_t memory_mb;
    /*
     * A request body that receives no byte for this time, and for the time
     * limit of a head, is refused.
     */
    ct_ms body_idle_ms;
    /* Longest time that a request body waits unread for memory. */
    ct_ms body_wait_ms;
    /*
     * Most connections and incomplete request bodies of one IP address; 0 for
     * no limit. In the settings 0 stands for the default.
     */
    uint32_t peer_connections;
    uint32_t peer_bodies;
    /* Bytes of a response that wait for its caller to read them. */
    uint32_t unread_bytes;
};

/* Returns the shorter of a bound and the bound on evacuations. */
static inline ct_ms
ct_bounds_with_evacuation(const struct ct_bounds *bounds, ct_ms bound_ms)
{
    return bounds->evacuate_ms > 0 && bounds->evacuate_ms < bound_ms
               ? bounds->evacuate_ms
               : bound_ms;
}

#endif
