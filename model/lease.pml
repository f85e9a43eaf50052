/*
 * Spin model of leases, orders and usage reports through the platform's log.
 *
 * Two hosts read the log in order and append to it. An append can take effect
 * at any later time or never, and its response is not used. A host can pause
 * between any two steps while the clocks go on (a freeze), and can crash. An
 * outage of the log is a run in which no append is committed and no record is
 * read. The modelled log holds only records that the replay accepts.
 *
 * ORDERS or USAGE selects what the lease holder sends to the platform. With
 * GAP, any time may pass between the executor's last check and the arrival.
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
#define MAX_PENDING 2
#define NO_ID 15

#define RECORD_LEASE 1
#define RECORD_RELEASE 2
#define RECORD_INTENT 3
#define RECORD_FINAL 4

#define IDLE 0
#define DECIDED 1

typedef record {
    byte kind;
    byte writer;
    byte seq;
    byte base; /* a lease: offset of the preceding one; an item: the term */
}

typedef host {
    byte incarnation;
    byte read_offset; /* offset of the last entry read */
    byte lease_offset; /* offset of the last accepted lease record */
    byte term; /* offset of the first of the holder's consecutive leases */
    byte holder; /* 0 for none */
    byte lease_left; /* ticks for which the host may act as the holder */
    byte claim_wait; /* ticks until the host may claim the lease */
    byte claim_seq; /* number of the outstanding claim */
    byte claim_left; /* ticks of lease that the outstanding claim would give */
    byte next_seq;
    byte item_count; /* intents or final records appended so far */
    byte item_offset; /* offset of the intent or final record to send */
    byte phase;
}

/* An order or usage report on its way to the platform. */
typedef message {
    byte in_flight;
    byte item_offset;
    byte timeout_left; /* ticks until the message times out */
    byte sender_lease_left; /* ticks */
    byte message_id;
}

record entry[MAX_LOG + 1];
byte head = 0;
record pending[MAX_PENDING];
/* State after a replay of the complete log. */
byte lease_offset = 0;
byte term = 0;
byte holder = 0;
byte final_offset = 0;

host h[2];
message net[2];
byte clock_lead = 0;
byte crashes = 0;
/* What the platform received. */
byte effect_count[MAX_LOG + 1];
byte last_message_id[MAX_LOG + 1];
byte billed_id = 0;
byte newest_term = 0;

#define WRITER(i) (1 + i + 2 * h[i].incarnation)
#define DEC(v) v = (v > 0 -> v - 1 : 0)

inline set_pending(p, new_kind, new_writer, new_seq, new_base)
{
    pending[p].kind = new_kind; pending[p].writer = new_writer;
    pending[p].seq = new_seq; pending[p].base = new_base
}

inline queue_append(new_kind, new_writer, new_seq, new_base)
{
    if
    :: pending[0].kind == 0 ->
        set_pending(0, new_kind, new_writer, new_seq, new_base)
    :: else -> set_pending(1, new_kind, new_writer, new_seq, new_base)
    fi
}

#define CAN_APPEND (pending[0].kind == 0 || pending[1].kind == 0)

/* Replay rule: whether a pending record is accepted if committed now. */
#ifdef NO_CAS
#define LEASE_ACCEPTED(p) true
#define ITEM_ACCEPTED(p) true
#else
#define LEASE_ACCEPTED(p) (pending[p].base == lease_offset)
#define ITEM_ACCEPTED(p) \
    (pending[p].base == term && pending[p].writer == holder)
#endif
#ifdef NO_FIRST_FINAL
#define FINAL_ACCEPTED(p) ITEM_ACCEPTED(p)
#else
#define FINAL_ACCEPTED(p) (ITEM_ACCEPTED(p) && final_offset == 0)
#endif

inline append_entry(p)
{
    head++;
    entry[head].kind = pending[p].kind;
    entry[head].writer = pending[p].writer;
    entry[head].seq = pending[p].seq;
    entry[head].base = pending[p].base
}

inline commit_pending(p)
{
    if
    :: pending[p].kind == RECORD_LEASE && LEASE_ACCEPTED(p) ->
        append_entry(p);
        lease_offset = head;
        if
        :: holder != pending[p].writer -> term = head
        :: else
        fi;
        holder = pending[p].writer
    :: pending[p].kind == RECORD_RELEASE && LEASE_ACCEPTED(p) ->
        append_entry(p); lease_offset = head; term = 0; holder = 0
    :: pending[p].kind == RECORD_INTENT && ITEM_ACCEPTED(p) ->
        append_entry(p)
    :: pending[p].kind == RECORD_FINAL && FINAL_ACCEPTED(p) ->
        append_entry(p); final_offset = head
    :: else
    fi
}

inline drop_pending(p)
{
    set_pending(p, 0, 0, 0, 0);
    if
    :: p == 0 && pending[1].kind != 0 ->
        set_pending(0, pending[1].kind, pending[1].writer, pending[1].seq,
                    pending[1].base);
        set_pending(1, 0, 0, 0, 0)
    :: else
    fi
}

active proctype platform()
{
end:
    do
    :: d_step { pending[0].kind != 0 && head < MAX_LOG ->
        commit_pending(0); drop_pending(0) }
    :: d_step { pending[1].kind != 0 && head < MAX_LOG ->
        commit_pending(1); drop_pending(1) }
    /*
     * A lost append frees its place. While there is room for another one, an
     * append that is never committed has the same effect.
     */
    :: d_step { !CAN_APPEND -> drop_pending(0) }
    :: d_step { !CAN_APPEND -> drop_pending(1) }
    od
}

inline clear_message(i)
{
    net[i].in_flight = 0; net[i].item_offset = 0; net[i].timeout_left = 0;
    net[i].sender_lease_left = 0; net[i].message_id = 0
}

inline tick_host(i)
{
    DEC(h[i].lease_left);
    DEC(h[i].claim_wait);
    DEC(h[i].claim_left);
#ifndef GAP
    DEC(net[i].timeout_left);
    DEC(net[i].sender_lease_left);
    if
    :: net[i].in_flight && net[i].timeout_left == 0 -> clear_message(i)
    :: else
    fi
#endif
}

/* Host 0's clock may be ahead of host 1's by at most DRIFT. */
active proctype clocks()
{
end:
    do
    :: d_step { true -> tick_host(0); tick_host(1) }
    :: d_step { clock_lead < DRIFT -> tick_host(0); clock_lead++ }
    :: d_step { clock_lead > 0 -> tick_host(1); clock_lead-- }
    od
}

#define READ_ENTRY entry[h[i].read_offset]

inline start_lease(i)
{
#ifdef COUNT_FROM_READ
    h[i].lease_left = LEASE;
#else
    h[i].lease_left = h[i].claim_left;
#endif
    h[i].claim_seq = 0;
    h[i].claim_left = 0;
    if
    :: h[i].lease_left > 0 ->
        assert(h[1 - i].lease_left == 0);
        assert(h[i].term >= newest_term);
        newest_term = h[i].term
    :: else
    fi
}

inline apply_lease(i)
{
    h[i].lease_offset = h[i].read_offset;
    if
    :: h[i].holder != READ_ENTRY.writer -> h[i].term = h[i].read_offset
    :: else
    fi;
    h[i].holder = READ_ENTRY.writer;
    h[i].claim_wait = WAIT;
    if
    :: READ_ENTRY.writer == WRITER(i) && READ_ENTRY.seq == h[i].claim_seq ->
        start_lease(i)
    :: READ_ENTRY.writer == WRITER(i) && READ_ENTRY.seq != h[i].claim_seq ->
        h[i].claim_seq = 0; h[i].claim_left = 0
    :: else ->
        h[i].claim_seq = 0; h[i].claim_left = 0; h[i].lease_left = 0;
        h[i].phase = IDLE; h[i].item_offset = 0
    fi
}

inline apply_next_entry(i)
{
    h[i].read_offset++;
    if
    :: READ_ENTRY.kind == RECORD_LEASE -> apply_lease(i)
    :: READ_ENTRY.kind == RECORD_RELEASE ->
        h[i].lease_offset = h[i].read_offset; h[i].holder = 0; h[i].term = 0;
        h[i].lease_left = 0; h[i].claim_wait = 0;
        h[i].claim_seq = 0; h[i].claim_left = 0
    :: else
    fi
}

inline crash_host(i)
{
    crashes++;
    h[i].incarnation++;
    h[i].read_offset = 0; h[i].lease_offset = 0; h[i].term = 0;
    h[i].holder = 0; h[i].lease_left = 0; h[i].claim_wait = 0;
    h[i].claim_seq = 0; h[i].claim_left = 0;
    h[i].item_offset = 0; h[i].phase = IDLE
}

#ifdef ORDERS
#define ITEM_KIND RECORD_INTENT
#else
#define ITEM_KIND RECORD_FINAL
#endif
#define IS_RECORDED_ITEM(k) \
    (k <= h[i].read_offset && entry[k].kind == ITEM_KIND)

#ifdef NO_EXECUTOR_CHECK
#define EXECUTOR_CHECK true
#else
#define EXECUTOR_CHECK (h[i].lease_left > TIMEOUT)
#endif

/* The platform receives an order or a usage report. */
inline deliver_message(i)
{
#ifndef GAP
    assert(net[i].sender_lease_left > 0);
    assert(h[1 - i].lease_left == 0);
#endif
#ifdef ORDERS
    /* If the other host holds the lease now, it has read the intent. */
    assert(h[1 - i].lease_left == 0 ||
           (net[i].item_offset != NO_ID &&
            h[1 - i].read_offset >= net[i].item_offset));
    if
    :: net[i].item_offset != NO_ID &&
       last_message_id[net[i].item_offset] != net[i].message_id ->
        effect_count[net[i].item_offset]++;
        last_message_id[net[i].item_offset] = net[i].message_id;
        assert(effect_count[net[i].item_offset] == 1)
    :: else
    fi;
#else
    assert(billed_id == 0 || billed_id == net[i].message_id);
    billed_id = net[i].message_id;
#endif
    clear_message(i)
}

/* Identifier by which the platform recognises a repeated message. */
#ifdef ORDERS
#ifdef NO_SAME_ID
#define MESSAGE_ID WRITER(i)
#else
#define MESSAGE_ID 1
#endif
#else
#define MESSAGE_ID \
    (h[i].item_offset == NO_ID -> \
     WRITER(i) : entry[h[i].item_offset].writer)
#endif

proctype process(byte i)
{
    byte k;

end:
    do
    :: d_step { h[i].read_offset < head -> apply_next_entry(i) }
    :: d_step { CAN_APPEND && h[i].next_seq < MAX_CLAIMS &&
                (h[i].claim_seq == 0 || h[i].claim_left == 0) &&
                (h[i].holder == WRITER(i) || h[i].claim_wait == 0) ->
        h[i].next_seq++;
        h[i].claim_seq = h[i].next_seq;
        h[i].claim_left = LEASE;
        queue_append(RECORD_LEASE, WRITER(i), h[i].claim_seq,
                     h[i].lease_offset) }
    /* A draining host releases the lease when no message is in flight. */
    :: d_step { CAN_APPEND && h[i].lease_left > 0 && !net[i].in_flight &&
                h[i].phase == IDLE && h[i].next_seq < MAX_CLAIMS ->
        h[i].next_seq++;
        h[i].lease_left = 0;
        queue_append(RECORD_RELEASE, WRITER(i), h[i].next_seq,
                     h[i].lease_offset) }
    :: d_step { i == 0 && crashes < MAX_CRASHES -> crash_host(i) }

    /* The intent or the final usage is appended to the log first. */
    :: d_step { CAN_APPEND && h[i].lease_left > 0 &&
                h[i].item_count < MAX_ITEMS ->
        h[i].item_count++;
        queue_append(ITEM_KIND, WRITER(i), h[i].item_count, h[i].term) }
    /* The core decides to send an item that it has read from the log. */
    :: atomic { h[i].lease_left > TIMEOUT && h[i].phase == IDLE ->
        select(k : 1 .. MAX_LOG);
        if
#if defined(NO_INTENT) || defined(NO_FINAL_BEFORE_REPORT)
        :: true -> h[i].item_offset = NO_ID; h[i].phase = DECIDED
#endif
        :: IS_RECORDED_ITEM(k) -> h[i].item_offset = k; h[i].phase = DECIDED
        :: else
        fi;
        k = 0 }
    /* The executor checks the lease and sends; an older message is lost. */
    :: d_step { h[i].phase == DECIDED ->
        if
        :: EXECUTOR_CHECK ->
            net[i].in_flight = 1;
            net[i].item_offset = h[i].item_offset;
            net[i].message_id = MESSAGE_ID;
#ifndef GAP
            net[i].timeout_left = TIMEOUT;
            net[i].sender_lease_left = h[i].lease_left
#endif
        :: else
        fi;
        h[i].phase = IDLE; h[i].item_offset = 0 }
    :: d_step { net[i].in_flight -> deliver_message(i) }
    od
}

init
{
    atomic { run process(0); run process(1) }
}
