/*
 * Configuration, keys and currency through the platform's log, for spin.
 *
 * Two publishers make a configuration from the one that they read and append
 * it; an operator grants a key and later withdraws it. Appends land late, twice
 * or never. Two hosts read the log in order, stop for any time, and serve only
 * while they are current. Each macro named in run.sh removes one guard.
 */

#define LIMIT 2
#ifndef MAX_LOG
#define MAX_LOG 4
#endif

#define K_CONFIG 1
#define K_GRANT 2
#define K_WITHDRAW 3
#define PENDING 4

typedef rec {
    byte kind;
    byte base; /* offset of the configuration that it was made from */
}

typedef host {
    byte read;
    byte config;
    bool granted;
    bool withdrawn;
    byte age; /* ticks since it had read all that there was */
}

rec entry[MAX_LOG + 1];
byte head = 0;
rec pend[PENDING];
host h[2];
/* Replay of the whole log. */
byte config = 0;
/* Accepted configurations by what they were made from. */
byte made_from[MAX_LOG + 1];
bool withdrawn = false;
/* Ticks since the withdrawal was in the log. */
byte since = 0;

inline append(slot, kk, bb)
{
    pend[slot].kind = kk;
    pend[slot].base = bb
}

#ifdef NO_CAS
#define CONFIG_OK(base_, now_) true
#else
#define CONFIG_OK(base_, now_) (base_ == now_)
#endif

inline land(slot)
{
    head++;
    entry[head].kind = pend[slot].kind;
    entry[head].base = pend[slot].base;
    if
    :: pend[slot].kind == K_CONFIG &&
       CONFIG_OK(pend[slot].base, config) ->
        made_from[pend[slot].base]++;
        /* Of two made from the same one, one is in force. */
        assert(made_from[pend[slot].base] == 1);
        config = head
    :: pend[slot].kind == K_WITHDRAW -> withdrawn = true
    :: else
    fi
}

active proctype platform()
{
end:
    do
    :: d_step { head < MAX_LOG && pend[0].kind != 0 -> land(0) }
    :: d_step { head < MAX_LOG && pend[1].kind != 0 -> land(1) }
    :: d_step { head < MAX_LOG && pend[2].kind != 0 -> land(2) }
    :: d_step { head < MAX_LOG && pend[3].kind != 0 -> land(3) }
    /* It lands no more. */
    :: d_step { pend[0].kind != 0 -> append(0, 0, 0) }
    :: d_step { pend[1].kind != 0 -> append(1, 0, 0) }
    :: d_step { pend[2].kind != 0 -> append(2, 0, 0) }
    :: d_step { pend[3].kind != 0 -> append(3, 0, 0) }
    od
}

/* Makes a configuration from what it read, perhaps some time ago. */
proctype publisher(byte slot)
{
    byte base;

    base = config;
    d_step { append(slot, K_CONFIG, base) }
}

active proctype operator()
{
    d_step { append(2, K_GRANT, 0) }
    d_step { append(3, K_WITHDRAW, 0) }
}

#define READ entry[h[i].read]

inline apply(i)
{
    h[i].read++;
    if
    :: READ.kind == K_CONFIG && CONFIG_OK(READ.base, h[i].config) ->
        assert(h[i].read > h[i].config);
        h[i].config = h[i].read
    :: READ.kind == K_GRANT ->
        h[i].granted = true;
#ifdef NO_TOMBSTONE
        h[i].withdrawn = false
#endif
    :: READ.kind == K_WITHDRAW -> h[i].withdrawn = true
    :: else
    fi
}

/* Serves with the key, at any moment, also right after a stop. */
#ifdef NO_CURRENT
#define SERVES true
#else
#define SERVES (h[i].age < LIMIT)
#endif

proctype process(byte i)
{
end:
    do
    :: d_step { h[i].read < head -> apply(i) }
    /* An answer that says that there is nothing more. */
    :: d_step { h[i].read == head -> h[i].age = 0 }
    :: d_step { SERVES && h[i].granted && !h[i].withdrawn ->
        assert(!withdrawn || since < LIMIT) }
    :: d_step { h[i].read == head && h[1 - i].read == head ->
        assert(h[i].config == h[1 - i].config && h[i].config == config) }
    od
}

active proctype clocks()
{
end:
    do
    :: d_step { true ->
        h[0].age = (h[0].age < LIMIT -> h[0].age + 1 : LIMIT);
        h[1].age = (h[1].age < LIMIT -> h[1].age + 1 : LIMIT);
        since = (withdrawn && since < LIMIT -> since + 1 : since) }
    od
}

init
{
    h[0].age = LIMIT;
    h[1].age = LIMIT;
    atomic {
        run publisher(0); run publisher(1);
        run process(0); run process(1)
    }
}
