/*
 * What a host knows of the configuration in the users' store, for spin.
 *
 * The store keeps a log of records, each of one of two keys, and the newest
 * record of each key. The host first reads the newest records, a page a key,
 * then the log from where the first page's answer ended; it does so again
 * when the log is cut below what it has read. Answers arrive at any later time
 * or never, the host can stop between any two steps, and an answer may be cut
 * before the end of the log. Records of key 1 are versions of the
 * configuration; the one that takes the caller's key away is the third.
 * Each macro named in run.sh removes one guard.
 */

#define MAX_LOG 5
#define LIMIT 3
#define WAIT 1
#define GONE 3

#define READ_NONE 0
#define READ_PAGE 1
#define READ_LOG 2

/* 0 for the other key; else the version. */
byte entry[MAX_LOG + 1];
byte head = 0;
byte version = 0;
byte first = 1;
/* Ticks since the key was taken away. */
byte since = 0;

/* The read under way. */
byte kind = READ_NONE;
bool answered = false;
byte from = 0;
byte page = 0;
byte to = 0;
byte seen = 0; /* version that the page's answer holds */
bool more = false;
bool nothing = false;
bool cut = false;
byte sent = 0; /* ticks since it was sent */
byte waited = 0; /* ticks that the store had it wait */

/* The host. */
bool known = false;
byte mine_at = 0; /* page of the key of the configuration */
byte next_page = 0;
byte next = 1;
byte mine = 0;
byte age = LIMIT;
byte pages_age = LIMIT;

#define INC(v) v = (v < LIMIT -> v + 1 : LIMIT)
#define MIN(a, b) (a < b -> a : b)

inline write(v)
{
    head++;
    entry[head] = v;
    version = (v > 0 -> v : version)
}

/* Up to two records, or the page of the one key or the other. */
inline answer()
{
    answered = true;
    nothing = false;
    more = false;
    cut = false;
    if
    :: kind == READ_PAGE ->
        to = head + 1;
        seen = (page == mine_at -> version : 0)
    :: kind == READ_LOG && from < first -> cut = true
    :: kind == READ_LOG && from >= first && from > head ->
        nothing = true;
        to = from
    :: kind == READ_LOG && from >= first && from <= head ->
        to = MIN(from + 2, head + 1);
        more = (to <= head)
    fi
}

proctype store()
{
end:
    do
    :: d_step { head < MAX_LOG -> write(0) }
    :: d_step { head < MAX_LOG && version < GONE -> write(version + 1) }
    /* The log is cut, up to what is the newest of its key. */
    :: d_step { first <= head -> first++ }
    /* At once where there is something, else after its wait. */
    :: d_step { kind != READ_NONE && !answered &&
        (kind == READ_PAGE || from <= head || waited >= WAIT) -> answer() }
    od
}

inline apply(v)
{
    if
#ifdef NO_VERSION_CHECK
    :: v > 0 ->
#else
    :: v > mine ->
#endif
        /* Never back to an older one. */
        assert(v >= mine);
        mine = v
    :: else
    fi
}

inline on_page()
{
    apply(seen);
    if
#ifdef NEXT_FROM_LAST_PAGE
    :: true -> next = to; pages_age = sent
#else
    :: page == 0 -> next = to; pages_age = sent
    :: else
#endif
    fi;
    if
    :: page == 0 -> next_page = 1
    :: else ->
        next_page = 0;
        known = true;
#ifdef AGE_FROM_LAST_PAGE
        age = MIN(age, sent)
#else
        age = MIN(age, pages_age)
#endif
    fi
}

inline on_records()
{
    if
    :: from < to -> apply(entry[from])
    :: else
    fi;
    if
    :: from + 1 < to -> apply(entry[from + 1])
    :: else
    fi;
    next = to;
    if
#ifdef AGE_FROM_ANSWER
    :: true -> age = 0
#else
#ifdef CUT_IS_CURRENT
    :: !nothing -> age = MIN(age, sent)
#else
    :: !nothing && !more -> age = MIN(age, sent)
#endif
#ifdef WAIT_ALWAYS_COUNTS
    :: true -> age = MIN(age, (sent > WAIT -> sent - WAIT : 0))
#else
    :: nothing -> age = MIN(age, (sent > WAIT -> sent - WAIT : 0))
#endif
    :: else
#endif
    fi
}

inline end_read()
{
    kind = READ_NONE;
    answered = false
}

inline begin(k)
{
    kind = k;
    answered = false;
    sent = 0;
    waited = 0
}

proctype host()
{
end:
    do
    :: d_step { kind == READ_NONE && !known ->
        page = next_page;
        begin(READ_PAGE) }
    :: d_step { kind == READ_NONE && known ->
        from = next;
        begin(READ_LOG) }
    :: d_step { answered && kind == READ_PAGE -> on_page(); end_read() }
    :: d_step { answered && kind == READ_LOG && !cut ->
        on_records(); end_read() }
    :: d_step { answered && kind == READ_LOG && cut ->
        known = false; end_read() }
    /* No answer in time. */
    :: d_step { kind != READ_NONE -> end_read() }
    /* Serves with the caller's key. */
    :: d_step { age < LIMIT && mine > 0 && mine < GONE ->
        assert(version < GONE || since < LIMIT) }
    od
}

proctype clocks()
{
end:
    do
    :: d_step { true ->
        INC(age);
        INC(pages_age);
        sent = (sent < LIMIT + WAIT -> sent + 1 : sent);
        INC(waited);
        since = (version >= GONE && since < LIMIT -> since + 1 : since) }
    od
}

init
{
    if
    :: mine_at = 0
    :: mine_at = 1
    fi;
    atomic { run store(); run host(); run clocks() }
}
