/*
 * Who acts for all on the users' platform, and usage, for spin.
 *
 * The store deals one part to one of two hosts and counts a generation up
 * with each change; it may deal anew at any time. Answers to joins and calls
 * to the platform arrive at any later time or never; a host can stop between
 * any two steps while the clocks go on.
 *
 * FIGURES: each host has a figure of its own for the window, and all that is
 * reported is the same. TOUCH: each host hears from the store once a tick, and
 * then the two do not take turns within the lease. EXPIRY: the store deals
 * anew only when it has not heard from the holder for its time to live, and
 * then nobody acts beside the holder. Each other macro named in run.sh removes
 * one guard.
 */

#define LEASE 4
#define TTL 3
#ifdef FIGURES
#define MAX_GENERATION 3
#else
#define MAX_GENERATION 4
#endif
#define NOBODY 2

#define JOIN 1
#ifdef NO_WAIT
#define WAIT 0
#else
#ifdef HALF_WAIT
#define WAIT (LEASE / 2)
#else
#define WAIT ((LEASE + JOIN + 1) / 2)
#endif
#endif
#define DEC(v) v = (v > 0 -> v - 1 : 0)

/* An answer to a join, on its way. */
typedef answer {
    bool busy;
    bool holds;
    byte generation;
    byte left; /* ticks of the time to live that are left */
}

typedef host {
    bool holds;
    byte generation;
    byte left; /* ticks for which the host believes in its part */
    byte wait; /* ticks until it acts */
    byte figure; /* of the window, as read back; 0 for not known */
    byte since; /* ticks since it acted last */
    bool fresh; /* heard from the store in this tick */
}

/* A call to the platform, on its way. */
typedef flight {
    bool busy;
    byte fence;
    byte figure;
}

byte generation = 1;
byte owner = NOBODY;
/* Ticks for which the store keeps the part for its owner. */
byte kept = 0;
host h[2];
answer ans[2];
flight net[2];
/* Records of the window's figures, first one first. */
byte final[2];
byte pend[2];
/* What the platform saw. */
byte newest_fence = 0;
byte reported = 0;
byte sent_by[MAX_GENERATION + 1];
byte last_actor = NOBODY;
byte newest_sent = 0;

/* The store deals the part to another one, asked or not. */
inline deal(to)
{
    generation++;
    owner = to
#ifdef EXPIRY
    ;
    kept = TTL
#endif
}

#ifdef EXPIRY
#define MAY_DEAL (generation < MAX_GENERATION && kept == 0)
#else
#define MAY_DEAL (generation < MAX_GENERATION)
#endif

inline join(i)
{
    if
    :: owner == NOBODY -> deal(i)
    :: else
    fi;
#ifdef EXPIRY
    kept = (owner == i -> TTL : kept);
#endif
    ans[i].busy = true;
    ans[i].holds = (owner == i);
    ans[i].generation = generation;
    ans[i].left = TTL
}

inline joined(i)
{
    ans[i].busy = false;
#ifdef TOUCH
    h[i].fresh = (ans[i].left == TTL);
    if
    /* One holder a generation: nobody else had it in between. */
    :: ans[i].holds && (!h[i].holds ||
       (h[i].left == 0 && ans[i].generation != h[i].generation)) ->
        h[i].wait = WAIT
    :: else
    fi;
#endif
#ifdef KEEP_PART
    h[i].holds = (h[i].holds && h[i].left > 0) || ans[i].holds;
#else
    h[i].holds = ans[i].holds;
#endif
    h[i].generation = ans[i].generation;
#ifdef COUNT_FROM_ANSWER
    h[i].left = TTL
#else
    h[i].left = ans[i].left
#endif
}

#define ACTS (h[i].holds && h[i].left > 0 && h[i].wait == 0)

inline land(i)
{
    if
    :: final[0] == 0 -> final[0] = pend[i]
    :: final[0] != 0 && final[1] == 0 -> final[1] = pend[i]
    :: else
    fi;
    pend[i] = 0
}

/* What a host takes for the window's figures. */
inline look(i)
{
#ifndef FIGURES
    h[i].figure = 1
#else
#ifdef OWN_FIGURES
    h[i].figure = i + 1
#else
#ifdef LAST_FINAL
    h[i].figure = (final[1] != 0 -> final[1] : final[0])
#else
    h[i].figure = final[0]
#endif
#endif
#endif
}

inline send(i)
{
    /* No two hosts use one number. */
    assert(sent_by[h[i].generation] == 0 ||
           sent_by[h[i].generation] == i + 1);
    sent_by[h[i].generation] = i + 1;
#ifdef EXPIRY
    assert(owner == i);
#endif
#ifdef TOUCH
    /* Not A, B, A within the lease; an older number is refused. */
    if
    :: h[i].generation >= newest_sent ->
        newest_sent = h[i].generation;
        assert(last_actor != 1 - i || h[i].since >= LEASE);
        last_actor = i;
        h[i].since = 0
    :: else
    fi;
#endif
    net[i].busy = true;
    net[i].fence = h[i].generation;
    net[i].figure = h[i].figure
}

inline arrive(i)
{
    net[i].busy = false;
    if
    :: net[i].fence >= newest_fence ->
        newest_fence = net[i].fence;
        assert(reported == 0 || reported == net[i].figure);
        reported = net[i].figure
    :: else
    fi
}

proctype process(byte i)
{
end:
    do
    :: d_step { !ans[i].busy -> join(i) }
    :: d_step { ans[i].busy -> joined(i) }
    :: d_step { ans[i].busy -> ans[i].busy = false }
#ifdef FIGURES
    :: d_step { ACTS && pend[i] == 0 && h[i].figure == 0 -> pend[i] = i + 1 }
#endif
    :: d_step { h[i].figure == 0 -> look(i) }
    :: d_step { ACTS && h[i].figure != 0 && !net[i].busy -> send(i) }
    od
}

active proctype platform()
{
end:
    do
    :: d_step { MAY_DEAL -> deal(0) }
    :: d_step { MAY_DEAL -> deal(1) }
    :: d_step { pend[0] != 0 -> land(0) }
    :: d_step { pend[1] != 0 -> land(1) }
    :: d_step { pend[0] != 0 -> pend[0] = 0 }
    :: d_step { net[0].busy -> arrive(0) }
    :: d_step { net[1].busy -> arrive(1) }
    :: d_step { net[0].busy -> net[0].busy = false }
    od
}

inline tick(i)
{
    DEC(h[i].left);
    DEC(ans[i].left);
#ifdef TOUCH
    h[i].fresh = false;
    DEC(h[i].wait);
    h[i].since = (h[i].since < LEASE -> h[i].since + 1 : LEASE)
#endif
}

active proctype clocks()
{
end:
    do
#ifdef TOUCH
    :: d_step { h[0].fresh && h[1].fresh -> tick(0); tick(1); DEC(kept) }
#else
    :: d_step { true -> tick(0); tick(1); DEC(kept) }
#endif
    od
}

init
{
    h[0].since = LEASE;
    h[1].since = LEASE;
    atomic { run process(0); run process(1) }
}
