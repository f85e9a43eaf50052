/*
 * Spin model of the leader on the users' platform, and of its usage reports.
 *
 * The store assigns the leader slot to one of two hosts and increments the
 * generation with each assignment; it may reassign the slot at any time.
 * Responses to joins and calls to the platform arrive at any later time or
 * never. A host can pause between any two steps while the clocks go on.
 *
 * USAGE: each host counts a different usage for the window, yet all reports
 * are the same. REGULAR_JOINS: in each tick, each host receives a response
 * that the store sent in that tick, and then calls of the two hosts do not
 * alternate within the lease. EXPIRY: the store reassigns the slot only when
 * the owner has not joined for its time to live, and then only the owner calls
 * the platform. Each other macro named in run.sh removes one guard.
 */

#define LEASE 4
#define TTL 3
#ifdef USAGE
#define MAX_GENERATION 3
#else
#define MAX_GENERATION 4
#endif
#define NO_OWNER 2

#define JOIN_INTERVAL 1
#ifdef NO_WAIT
#define WAIT 0
#else
#ifdef HALF_WAIT
#define WAIT (LEASE / 2)
#else
#define WAIT ((LEASE + JOIN_INTERVAL + 1) / 2)
#endif
#endif
#define DEC(v) v = (v > 0 -> v - 1 : 0)

/* The response to a join, on its way to the host. */
typedef join_response {
    bool in_flight;
    bool holds_slot;
    byte generation;
    byte slot_left; /* ticks that are left of the time to live */
}

typedef host {
    bool holds_slot;
    byte generation;
    byte slot_left; /* ticks for which the host may rely on the slot */
    byte wait_left; /* ticks until it may call the platform */
    byte usage; /* of the window, as read from the log; 0 if not yet read */
    byte since_call; /* ticks since its last call */
    bool fresh; /* received a response that was sent in this tick */
}

/* A usage report or other call on its way to the platform. */
typedef platform_call {
    bool in_flight;
    byte fencing_token;
    byte usage;
}

byte generation = 1;
byte slot_owner = NO_OWNER;
/* Ticks for which the store reserves the slot for its owner. */
byte owner_ttl_left = 0;
host h[2];
join_response responses[2];
platform_call calls[2];
/* Committed records of the window's usage, oldest first. */
byte final_records[2];
byte pending_final[2];
/* What the platform received. */
byte newest_fencing_token = 0;
byte reported_usage = 0;
byte sender_of_generation[MAX_GENERATION + 1];
byte last_sender = NO_OWNER;
byte newest_sent_generation = 0;

/* The store assigns the slot, after a join or without one. */
inline assign_slot(new_owner)
{
    generation++;
    slot_owner = new_owner
#ifdef EXPIRY
    ;
    owner_ttl_left = TTL
#endif
}

#ifdef EXPIRY
#define MAY_REASSIGN (generation < MAX_GENERATION && owner_ttl_left == 0)
#else
#define MAY_REASSIGN (generation < MAX_GENERATION)
#endif

inline handle_join(i)
{
    if
    :: slot_owner == NO_OWNER -> assign_slot(i)
    :: else
    fi;
#ifdef EXPIRY
    owner_ttl_left = (slot_owner == i -> TTL : owner_ttl_left);
#endif
    responses[i].in_flight = true;
    responses[i].holds_slot = (slot_owner == i);
    responses[i].generation = generation;
    responses[i].slot_left = TTL
}

inline handle_join_response(i)
{
    responses[i].in_flight = false;
#ifdef REGULAR_JOINS
    h[i].fresh = (responses[i].slot_left == TTL);
    if
    /* A generation has one owner, so the same one needs no new wait. */
    :: responses[i].holds_slot && (!h[i].holds_slot ||
       (h[i].slot_left == 0 && responses[i].generation != h[i].generation)) ->
        h[i].wait_left = WAIT
    :: else
    fi;
#endif
#ifdef KEEP_SLOT
    h[i].holds_slot = (h[i].holds_slot && h[i].slot_left > 0) ||
                      responses[i].holds_slot;
#else
    h[i].holds_slot = responses[i].holds_slot;
#endif
    h[i].generation = responses[i].generation;
#ifdef COUNT_FROM_RESPONSE
    h[i].slot_left = TTL
#else
    h[i].slot_left = responses[i].slot_left
#endif
}

#define MAY_CALL (h[i].holds_slot && h[i].slot_left > 0 && h[i].wait_left == 0)

inline commit_final(i)
{
    if
    :: final_records[0] == 0 -> final_records[0] = pending_final[i]
    :: final_records[0] != 0 && final_records[1] == 0 ->
        final_records[1] = pending_final[i]
    :: else
    fi;
    pending_final[i] = 0
}

/* Sets the usage that the host reports for the window. */
inline read_usage(i)
{
#ifndef USAGE
    h[i].usage = 1
#else
#ifdef OWN_USAGE
    h[i].usage = i + 1
#else
#ifdef LAST_FINAL
    h[i].usage = (final_records[1] != 0 -> final_records[1] : final_records[0])
#else
    h[i].usage = final_records[0]
#endif
#endif
#endif
}

inline send_call(i)
{
    /* No two hosts use the same generation as fencing token. */
    assert(sender_of_generation[h[i].generation] == 0 ||
           sender_of_generation[h[i].generation] == i + 1);
    sender_of_generation[h[i].generation] = i + 1;
#ifdef EXPIRY
    assert(slot_owner == i);
#endif
#ifdef REGULAR_JOINS
    /*
     * Calls never alternate A, B, A within the lease. The platform refuses a
     * call with an older fencing token, so it does not count.
     */
    if
    :: h[i].generation >= newest_sent_generation ->
        newest_sent_generation = h[i].generation;
        assert(last_sender != 1 - i || h[i].since_call >= LEASE);
        last_sender = i;
        h[i].since_call = 0
    :: else
    fi;
#endif
    calls[i].in_flight = true;
    calls[i].fencing_token = h[i].generation;
    calls[i].usage = h[i].usage
}

inline deliver_call(i)
{
    calls[i].in_flight = false;
    if
    :: calls[i].fencing_token >= newest_fencing_token ->
        newest_fencing_token = calls[i].fencing_token;
        assert(reported_usage == 0 || reported_usage == calls[i].usage);
        reported_usage = calls[i].usage
    :: else
    fi
}

proctype process(byte i)
{
end:
    do
    :: d_step { !responses[i].in_flight -> handle_join(i) }
    :: d_step { responses[i].in_flight -> handle_join_response(i) }
    :: d_step { responses[i].in_flight -> responses[i].in_flight = false }
#ifdef USAGE
    :: d_step { MAY_CALL && pending_final[i] == 0 && h[i].usage == 0 ->
        pending_final[i] = i + 1 }
#endif
    :: d_step { h[i].usage == 0 -> read_usage(i) }
    :: d_step { MAY_CALL && h[i].usage != 0 && !calls[i].in_flight ->
        send_call(i) }
    od
}

active proctype platform()
{
end:
    do
    :: d_step { MAY_REASSIGN -> assign_slot(0) }
    :: d_step { MAY_REASSIGN -> assign_slot(1) }
    :: d_step { pending_final[0] != 0 -> commit_final(0) }
    :: d_step { pending_final[1] != 0 -> commit_final(1) }
    :: d_step { pending_final[0] != 0 -> pending_final[0] = 0 }
    :: d_step { calls[0].in_flight -> deliver_call(0) }
    :: d_step { calls[1].in_flight -> deliver_call(1) }
    :: d_step { calls[0].in_flight -> calls[0].in_flight = false }
    od
}

inline tick_host(i)
{
    DEC(h[i].slot_left);
    DEC(responses[i].slot_left);
#ifdef REGULAR_JOINS
    h[i].fresh = false;
    DEC(h[i].wait_left);
    h[i].since_call = (h[i].since_call < LEASE -> h[i].since_call + 1 : LEASE)
#endif
}

active proctype clocks()
{
end:
    do
#ifdef REGULAR_JOINS
    :: d_step { h[0].fresh && h[1].fresh ->
        tick_host(0); tick_host(1); DEC(owner_ttl_left) }
#else
    :: d_step { true -> tick_host(0); tick_host(1); DEC(owner_ttl_left) }
#endif
    od
}

init
{
    h[0].since_call = LEASE;
    h[1].since_call = LEASE;
    atomic { run process(0); run process(1) }
}
