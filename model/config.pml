/*
 * Spin model of configuration and keys in the platform's log, and of how old a
 * host's view of them may be.
 *
 * Two publishers each derive a configuration from the one that they read and
 * append it; an operator grants a key and later withdraws it. An append takes
 * effect late, twice or never. Two hosts read the log in order, pause for any
 * time, and serve only while their view is recent. Each macro named in run.sh
 * removes one guard.
 */

#define MAX_AGE 2
#ifndef MAX_LOG
#define MAX_LOG 4
#endif

#define RECORD_CONFIG 1
#define RECORD_GRANT 2
#define RECORD_WITHDRAW 3
#define MAX_PENDING 4

typedef record {
    byte kind;
    byte base; /* offset of the configuration that it was derived from */
}

typedef host {
    byte read_offset;
    byte config_offset;
    bool key_granted;
    bool key_withdrawn;
    byte view_age; /* ticks since the host had read the log to its end */
}

record entry[MAX_LOG + 1];
byte head = 0;
record pending[MAX_PENDING];
host h[2];
/* Configuration after a replay of the complete log. */
byte config_offset = 0;
/* Number of accepted configurations derived from the one at each offset. */
byte successors[MAX_LOG + 1];
bool key_withdrawn = false;
/* Ticks since the withdrawal was committed to the log. */
byte since_withdrawal = 0;

inline set_pending(p, new_kind, new_base)
{
    pending[p].kind = new_kind;
    pending[p].base = new_base
}

#ifdef NO_CAS
#define CONFIG_ACCEPTED(from_, current_) true
#else
#define CONFIG_ACCEPTED(from_, current_) (from_ == current_)
#endif

inline commit_pending(p)
{
    head++;
    entry[head].kind = pending[p].kind;
    entry[head].base = pending[p].base;
    if
    :: pending[p].kind == RECORD_CONFIG &&
       CONFIG_ACCEPTED(pending[p].base, config_offset) ->
        successors[pending[p].base]++;
        /* Of two derived from the same one, only one is accepted. */
        assert(successors[pending[p].base] == 1);
        config_offset = head
    :: pending[p].kind == RECORD_WITHDRAW -> key_withdrawn = true
    :: else
    fi
}

active proctype platform()
{
end:
    do
    :: d_step { head < MAX_LOG && pending[0].kind != 0 -> commit_pending(0) }
    :: d_step { head < MAX_LOG && pending[1].kind != 0 -> commit_pending(1) }
    :: d_step { head < MAX_LOG && pending[2].kind != 0 -> commit_pending(2) }
    :: d_step { head < MAX_LOG && pending[3].kind != 0 -> commit_pending(3) }
    /* A pending append is lost; until then it can be committed again. */
    :: d_step { pending[0].kind != 0 -> set_pending(0, 0, 0) }
    :: d_step { pending[1].kind != 0 -> set_pending(1, 0, 0) }
    :: d_step { pending[2].kind != 0 -> set_pending(2, 0, 0) }
    :: d_step { pending[3].kind != 0 -> set_pending(3, 0, 0) }
    od
}

/* Derives a configuration from one that may be out of date by now. */
proctype publisher(byte p)
{
    byte base;

    base = config_offset;
    d_step { set_pending(p, RECORD_CONFIG, base) }
}

active proctype operator()
{
    d_step { set_pending(2, RECORD_GRANT, 0) }
    d_step { set_pending(3, RECORD_WITHDRAW, 0) }
}

#define READ_ENTRY entry[h[i].read_offset]

inline apply_record(i)
{
    h[i].read_offset++;
    if
    :: READ_ENTRY.kind == RECORD_CONFIG &&
       CONFIG_ACCEPTED(READ_ENTRY.base, h[i].config_offset) ->
        assert(h[i].read_offset > h[i].config_offset);
        h[i].config_offset = h[i].read_offset
    :: READ_ENTRY.kind == RECORD_GRANT ->
        h[i].key_granted = true;
#ifdef NO_TOMBSTONE
        h[i].key_withdrawn = false
#endif
    :: READ_ENTRY.kind == RECORD_WITHDRAW -> h[i].key_withdrawn = true
    :: else
    fi
}

/* A host may serve a call with the key at any moment, also after a pause. */
#ifdef NO_AGE_CHECK
#define MAY_SERVE true
#else
#define MAY_SERVE (h[i].view_age < MAX_AGE)
#endif

proctype process(byte i)
{
end:
    do
    :: d_step { h[i].read_offset < head -> apply_record(i) }
    /* A response shows that the host has read the log to its end. */
    :: d_step { h[i].read_offset == head -> h[i].view_age = 0 }
    :: d_step { MAY_SERVE && h[i].key_granted && !h[i].key_withdrawn ->
        assert(!key_withdrawn || since_withdrawal < MAX_AGE) }
    :: d_step { h[i].read_offset == head && h[1 - i].read_offset == head ->
        assert(h[i].config_offset == h[1 - i].config_offset &&
               h[i].config_offset == config_offset) }
    od
}

active proctype clocks()
{
end:
    do
    :: d_step { true ->
        h[0].view_age =
            (h[0].view_age < MAX_AGE -> h[0].view_age + 1 : MAX_AGE);
        h[1].view_age =
            (h[1].view_age < MAX_AGE -> h[1].view_age + 1 : MAX_AGE);
        since_withdrawal =
            (key_withdrawn && since_withdrawal < MAX_AGE ->
             since_withdrawal + 1 : since_withdrawal) }
    od
}

init
{
    h[0].view_age = MAX_AGE;
    h[1].view_age = MAX_AGE;
    atomic {
        run publisher(0); run publisher(1);
        run process(0); run process(1)
    }
}
