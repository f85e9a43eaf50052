/*
 * Leases, orders and usage through the platform's log, for spin.
 *
 * Two hosts read the log in order and append to it. An append can take effect
 * at any later time or never, and its answer is not used. A host can stop
 * between any two steps while the clocks go on (a freeze), and can crash.
 * An outage of the log is a run in which no append lands and nothing is read.
 * The log here holds only the records that the replay accepts.
 *
 * Config: ORDERS or USAGE says what the holder does; GAP lets any time pass
 * between the executor's last check and the arrival at the platform.
 * Each other macro named in run.sh removes one guard.
 */

#define LEASE 2
#define TIMEOUT 1
#define DRIFT 1

#ifdef NO_WAIT
#define WAIT (LEASE - 1)
#else
#ifdef NO_DRIFT_MARGIN
#define WAIT LEASE
#else
#define WAIT (LEASE + DRIFT)
#endif
#endif

#ifndef MAX_LOG
#define MAX_LOG 4
#endif
#ifndef MAX_CLAIMS
#define MAX_CLAIMS 2
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
#endif
#ifndef MAX_ITEMS
#define MAX_ITEMS 1
#endif
#define PENDING 2
#define NO_ID 15

#define K_LEASE 1
#define K_RELEASE 2
#define K_INTENT 3
#define K_FINAL 4

#define IDLE 0
#define DECIDED 1

typedef rec {
    byte kind;
    byte writer;
    byte seq;
    byte base; /* offset of the lease built on, or the writer's term */
}

typedef host {
    byte inc;
    byte read; /* offset read up to */
    byte base; /* last accepted lease record */
    byte term; /* first record of the holder's unbroken run of leases */
    byte holder; /* 0 for none */
    byte left; /* ticks for which the host believes */
    byte wait; /* ticks until it may claim */
    byte seq; /* outstanding claim */
    byte sent; /* ticks that the outstanding claim would give */
    byte next_seq;
    byte items; /* intents or final records appended */
    byte item; /* offset of the intent or final record to carry out */
    byte phase;
}

/* A message to the platform, on its way. */
typedef flight {
    byte busy;
    byte item;
    byte left; /* ticks until its time-out */
    byte cover; /* ticks of the sender's lease left */
    byte id;
}

rec entry[MAX_LOG + 1];
byte head = 0;
rec pend[PENDING];
/* Replay of the whole log. */
byte base = 0;
byte term = 0;
byte holder = 0;
byte final = 0;

host h[2];
flight net[2];
byte ahead = 0;
byte crashes = 0;
/* What the platform saw. */
byte effects[MAX_LOG + 1];
byte last_id[MAX_LOG + 1];
byte billed = 0;
byte newest_term = 0;

#define WRITER(i) (1 + i + 2 * h[i].inc)
#define DEC(v) v = (v > 0 -> v - 1 : 0)

inline set(p, kk, ww, ss, bb)
{
    pend[p].kind = kk; pend[p].writer = ww; pend[p].seq = ss; pend[p].base = bb
}

inline append(kk, ww, ss, bb)
{
    if
    :: pend[0].kind == 0 -> set(0, kk, ww, ss, bb)
    :: else -> set(1, kk, ww, ss, bb)
    fi
}

#define ROOM (pend[0].kind == 0 || pend[1].kind == 0)

/* The replay rule: is the pending record accepted if it lands now? */
#ifdef NO_CAS
#define LEASE_OK(p) true
#define DATA_OK(p) true
#else
#define LEASE_OK(p) (pend[p].base == base)
#define DATA_OK(p) (pend[p].base == term && pend[p].writer == holder)
#endif
#ifdef NO_FIRST_FINAL
#define FINAL_OK(p) DATA_OK(p)
#else
#define FINAL_OK(p) (DATA_OK(p) && final == 0)
#endif

inline put(p)
{
    head++;
    entry[head].kind = pend[p].kind;
    entry[head].writer = pend[p].writer;
    entry[head].seq = pend[p].seq;
    entry[head].base = pend[p].base
}

inline land(p)
{
    if
    :: pend[p].kind == K_LEASE && LEASE_OK(p) ->
        put(p);
        base = head;
        if
        :: holder != pend[p].writer -> term = head
        :: else
        fi;
        holder = pend[p].writer
    :: pend[p].kind == K_RELEASE && LEASE_OK(p) ->
        put(p); base = head; term = 0; holder = 0
    :: pend[p].kind == K_INTENT && DATA_OK(p) ->
        put(p)
    :: pend[p].kind == K_FINAL && FINAL_OK(p) -> put(p); final = head
    :: else
    fi
}

inline drop(p)
{
    set(p, 0, 0, 0, 0);
    if
    :: p == 0 && pend[1].kind != 0 ->
        set(0, pend[1].kind, pend[1].writer, pend[1].seq, pend[1].base);
        set(1, 0, 0, 0, 0)
    :: else
    fi
}

active proctype platform()
{
end:
    do
    :: d_step { pend[0].kind != 0 && head < MAX_LOG -> land(0); drop(0) }
    :: d_step { pend[1].kind != 0 && head < MAX_LOG -> land(1); drop(1) }
    /* Lost; a record that never lands does the same where there is room. */
    :: d_step { !ROOM -> drop(0) }
    :: d_step { !ROOM -> drop(1) }
    od
}

inline forget(i)
{
    net[i].busy = 0; net[i].item = 0; net[i].left = 0;
    net[i].cover = 0; net[i].id = 0
}

inline tick(i)
{
    DEC(h[i].left);
    DEC(h[i].wait);
    DEC(h[i].sent);
#ifndef GAP
    DEC(net[i].left);
    DEC(net[i].cover);
    if
    :: net[i].busy && net[i].left == 0 -> forget(i)
    :: else
    fi
#endif
}

/* Host 0's clock may be ahead of host 1's by at most DRIFT. */
active proctype clocks()
{
end:
    do
    :: d_step { true -> tick(0); tick(1) }
    :: d_step { ahead < DRIFT -> tick(0); ahead++ }
    :: d_step { ahead > 0 -> tick(1); ahead-- }
    od
}

#define READ entry[h[i].read]

inline believe(i)
{
#ifdef COUNT_FROM_READ
    h[i].left = LEASE;
#else
    h[i].left = h[i].sent;
#endif
    h[i].seq = 0;
    h[i].sent = 0;
    if
    :: h[i].left > 0 ->
        assert(h[1 - i].left == 0);
        assert(h[i].term >= newest_term);
        newest_term = h[i].term
    :: else
    fi
}

inline read_lease(i)
{
    h[i].base = h[i].read;
    if
    :: h[i].holder != READ.writer -> h[i].term = h[i].read
    :: else
    fi;
    h[i].holder = READ.writer;
    h[i].wait = WAIT;
    if
    :: READ.writer == WRITER(i) && READ.seq == h[i].seq -> believe(i)
    :: READ.writer == WRITER(i) && READ.seq != h[i].seq ->
        h[i].seq = 0; h[i].sent = 0
    :: else ->
        h[i].seq = 0; h[i].sent = 0; h[i].left = 0;
        h[i].phase = IDLE; h[i].item = 0
    fi
}

inline read_next(i)
{
    h[i].read++;
    if
    :: READ.kind == K_LEASE -> read_lease(i)
    :: READ.kind == K_RELEASE ->
        h[i].base = h[i].read; h[i].holder = 0; h[i].term = 0;
        h[i].left = 0; h[i].wait = 0; h[i].seq = 0; h[i].sent = 0
    :: else
    fi
}

inline crash(i)
{
    crashes++;
    h[i].inc++;
    h[i].read = 0; h[i].base = 0; h[i].term = 0; h[i].holder = 0;
    h[i].left = 0; h[i].wait = 0; h[i].seq = 0; h[i].sent = 0;
    h[i].item = 0; h[i].phase = IDLE
}

#ifdef ORDERS
#define KIND K_INTENT
#else
#define KIND K_FINAL
#endif
#define RECORDED(k) (k <= h[i].read && entry[k].kind == KIND)

#ifdef NO_EXECUTOR_CHECK
#define CHECK true
#else
#define CHECK (h[i].left > TIMEOUT)
#endif

/* An order or report reaches the platform. */
inline arrive(i)
{
#ifndef GAP
    assert(net[i].cover > 0);
    assert(h[1 - i].left == 0);
#endif
#ifdef ORDERS
    /* Whoever believes by now knows of it. */
    assert(h[1 - i].left == 0 ||
           (net[i].item != NO_ID && h[1 - i].read >= net[i].item));
    if
    :: net[i].item != NO_ID && last_id[net[i].item] != net[i].id ->
        effects[net[i].item]++;
        last_id[net[i].item] = net[i].id;
        assert(effects[net[i].item] == 1)
    :: else
    fi;
#else
    assert(billed == 0 || billed == net[i].id);
    billed = net[i].id;
#endif
    forget(i)
}

/* The number that the platform knows the message by. */
#ifdef ORDERS
#ifdef NO_SAME_ID
#define ID WRITER(i)
#else
#define ID 1
#endif
#else
#define ID (h[i].item == NO_ID -> WRITER(i) : entry[h[i].item].writer)
#endif

proctype process(byte i)
{
    byte k;

end:
    do
    :: d_step { h[i].read < head -> read_next(i) }
    :: d_step { ROOM && h[i].next_seq < MAX_CLAIMS &&
                (h[i].seq == 0 || h[i].sent == 0) &&
                (h[i].holder == WRITER(i) || h[i].wait == 0) ->
        h[i].next_seq++;
        h[i].seq = h[i].next_seq;
        h[i].sent = LEASE;
        append(K_LEASE, WRITER(i), h[i].seq, h[i].base) }
    /* A drain gives the lease back, with nothing on its way. */
    :: d_step { ROOM && h[i].left > 0 && !net[i].busy &&
                h[i].phase == IDLE && h[i].next_seq < MAX_CLAIMS ->
        h[i].next_seq++;
        h[i].left = 0;
        append(K_RELEASE, WRITER(i), h[i].next_seq, h[i].base) }
    :: d_step { i == 0 && crashes < MAX_CRASHES -> crash(i) }

    /* The intent or the final figures go into the log first. */
    :: d_step { ROOM && h[i].left > 0 && h[i].items < MAX_ITEMS ->
        h[i].items++;
        append(KIND, WRITER(i), h[i].items, h[i].term) }
    /* The core decides on an item that it has read from the log. */
    :: atomic { h[i].left > TIMEOUT && h[i].phase == IDLE ->
        select(k : 1 .. MAX_LOG);
        if
#if defined(NO_INTENT) || defined(NO_FINAL_BEFORE_REPORT)
        :: true -> h[i].item = NO_ID; h[i].phase = DECIDED
#endif
        :: RECORDED(k) -> h[i].item = k; h[i].phase = DECIDED
        :: else
        fi;
        k = 0 }
    /* The executor checks and writes; an older message is lost. */
    :: d_step { h[i].phase == DECIDED ->
        if
        :: CHECK ->
            net[i].busy = 1;
            net[i].item = h[i].item;
            net[i].id = ID;
#ifndef GAP
            net[i].left = TIMEOUT;
            net[i].cover = h[i].left
#endif
        :: else
        fi;
        h[i].phase = IDLE; h[i].item = 0 }
    :: d_step { net[i].busy -> arrive(i) }
    od
}

init
{
    atomic { run process(0); run process(1) }
}
