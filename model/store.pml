/*
 * Spin model of how a host reads the configuration from the users' store.
 *
 * The store keeps a log of records, each with one of two keys, and the newest
 * record of each key. The host first reads a snapshot, the newest records with
 * one page per key, and then the log from the offset in the first page's
 * response. It reads the snapshot again when its next offset was removed from
 * the log. Responses arrive at any later time or never, the host can pause
 * between any two steps, and a response may be truncated before the end of the
 * log. Records of one key are versions of the configuration; the third version
 * withdraws the caller's key. Each macro named in run.sh removes one guard.
 */

#define MAX_LOG 5
#define MAX_AGE 3
#define HOLD 1
#define WITHDRAWN_VERSION 3

#define READ_NONE 0
#define READ_PAGE 1
#define READ_LOG 2

/* Version of the configuration; 0 for a record of the other key. */
byte entry[MAX_LOG + 1];
byte head = 0;
byte newest_version = 0;
byte first_offset = 1;
/* Ticks since the key was withdrawn. */
byte since_withdrawal = 0;

/* The outstanding read and its response. */
byte read_kind = READ_NONE;
bool responded = false;
byte read_from = 0;
byte read_page = 0;
byte read_end = 0;
byte page_version = 0; /* version in the page's response */
bool truncated = false;
bool empty_response = false;
bool out_of_range = false;
byte read_age = 0; /* ticks since the read was sent */
byte held = 0; /* ticks for which the store has held the read */

/* The host's view of the store. */
bool snapshot_read = false;
byte config_page = 0; /* page that holds the configuration */
byte next_page = 0;
byte next_offset = 1;
byte host_version = 0;
byte view_age = MAX_AGE;
byte snapshot_age = MAX_AGE;

#define INC(v) v = (v < MAX_AGE -> v + 1 : MAX_AGE)
#define MIN(a, b) (a < b -> a : b)

inline append_record(v)
{
    head++;
    entry[head] = v;
    newest_version = (v > 0 -> v : newest_version)
}

/* Responds with up to two log records, or with one page of the snapshot. */
inline respond()
{
    responded = true;
    empty_response = false;
    truncated = false;
    out_of_range = false;
    if
    :: read_kind == READ_PAGE ->
        read_end = head + 1;
        page_version = (read_page == config_page -> newest_version : 0)
    :: read_kind == READ_LOG && read_from < first_offset -> out_of_range = true
    :: read_kind == READ_LOG && read_from >= first_offset &&
       read_from > head ->
        empty_response = true;
        read_end = read_from
    :: read_kind == READ_LOG && read_from >= first_offset &&
       read_from <= head ->
        read_end = MIN(read_from + 2, head + 1);
        truncated = (read_end <= head)
    fi
}

proctype store()
{
end:
    do
    :: d_step { head < MAX_LOG -> append_record(0) }
    :: d_step { head < MAX_LOG && newest_version < WITHDRAWN_VERSION ->
        append_record(newest_version + 1) }
    /* Removes the oldest record of the log; the snapshot keeps the newest. */
    :: d_step { first_offset <= head -> first_offset++ }
    /* Responds at once if there are records, else after holding the read. */
    :: d_step { read_kind != READ_NONE && !responded &&
        (read_kind == READ_PAGE || read_from <= head ||
         held >= HOLD) -> respond() }
    od
}

inline apply_version(v)
{
    if
#ifdef NO_VERSION_CHECK
    :: v > 0 ->
#else
    :: v > host_version ->
#endif
        /* The host never returns to an older version. */
        assert(v >= host_version);
        host_version = v
    :: else
    fi
}

inline handle_page()
{
    apply_version(page_version);
    if
#ifdef NEXT_FROM_LAST_PAGE
    :: true -> next_offset = read_end; snapshot_age = read_age
#else
    :: read_page == 0 -> next_offset = read_end; snapshot_age = read_age
    :: else
#endif
    fi;
    if
    :: read_page == 0 -> next_page = 1
    :: else ->
        next_page = 0;
        snapshot_read = true;
#ifdef AGE_FROM_LAST_PAGE
        view_age = MIN(view_age, read_age)
#else
        view_age = MIN(view_age, snapshot_age)
#endif
    fi
}

inline handle_records()
{
    if
    :: read_from < read_end -> apply_version(entry[read_from])
    :: else
    fi;
    if
    :: read_from + 1 < read_end -> apply_version(entry[read_from + 1])
    :: else
    fi;
    next_offset = read_end;
    if
#ifdef AGE_FROM_RESPONSE
    :: true -> view_age = 0
#else
#ifdef TRUNCATED_IS_CURRENT
    :: !empty_response -> view_age = MIN(view_age, read_age)
#else
    :: !empty_response && !truncated -> view_age = MIN(view_age, read_age)
#endif
#ifdef ALWAYS_SUBTRACT_HOLD
    :: true ->
        view_age = MIN(view_age, (read_age > HOLD -> read_age - HOLD : 0))
#else
    :: empty_response ->
        view_age = MIN(view_age, (read_age > HOLD -> read_age - HOLD : 0))
#endif
    :: else
#endif
    fi
}

inline end_read()
{
    read_kind = READ_NONE;
    responded = false
}

inline begin_read(k)
{
    read_kind = k;
    responded = false;
    read_age = 0;
    held = 0
}

proctype host()
{
end:
    do
    :: d_step { read_kind == READ_NONE && !snapshot_read ->
        read_page = next_page;
        begin_read(READ_PAGE) }
    :: d_step { read_kind == READ_NONE && snapshot_read ->
        read_from = next_offset;
        begin_read(READ_LOG) }
    :: d_step { responded && read_kind == READ_PAGE ->
        handle_page(); end_read() }
    :: d_step { responded && read_kind == READ_LOG && !out_of_range ->
        handle_records(); end_read() }
    :: d_step { responded && read_kind == READ_LOG && out_of_range ->
        snapshot_read = false; end_read() }
    /* The read times out. */
    :: d_step { read_kind != READ_NONE -> end_read() }
    /* The host accepts a call with the caller's key. */
    :: d_step { view_age < MAX_AGE && host_version > 0 &&
                host_version < WITHDRAWN_VERSION ->
        assert(newest_version < WITHDRAWN_VERSION ||
               since_withdrawal < MAX_AGE) }
    od
}

proctype clocks()
{
end:
    do
    :: d_step { true ->
        INC(view_age);
        INC(snapshot_age);
        read_age = (read_age < MAX_AGE + HOLD -> read_age + 1 : read_age);
        INC(held);
        since_withdrawal =
            (newest_version >= WITHDRAWN_VERSION &&
             since_withdrawal < MAX_AGE ->
             since_withdrawal + 1 : since_withdrawal) }
    od
}

init
{
    if
    :: config_page = 0
    :: config_page = 1
    fi;
    atomic { run store(); run host(); run clocks() }
}
