#ifndef CT_ERROR_H
#define CT_ERROR_H

/*
 * Error codes. A function that can fail returns a negative value of enum
 * ct_err on failure, else 0 or a positive result. Each module has its own
 * block of values.
 */

/* X(name, value): all error codes; the table of names is built from it too. */
#define CT_ERRORS(X)                                                          \
    X(OK, 0)                                                                  \
    /* general */                                                             \
    X(NO_MEMORY, -1)                                                          \
    X(INVALID, -2)                                                            \
    X(TOO_LARGE, -3)                                                          \
    X(NOT_FOUND, -4)                                                          \
    X(EXISTS, -5)                                                             \
    X(IO, -6)                                                                 \
    X(TIMEOUT, -7)                                                            \
    /* table */                                                               \
    X(STALE_HANDLE, -20)                                                      \
    X(TABLE_FULL, -21)                                                        \
    /* log replay */                                                          \
    X(LOG_GAP, -40)                                                           \
    X(LOG_LOST_RACE, -41)                                                     \
    X(LOG_DUPLICATE, -42)                                                     \
    X(LOG_BAD_RECORD, -43)                                                    \
    X(LOG_TRUNCATED, -44)                                                     \
    X(LOG_UNAVAILABLE, -45)                                                   \
    /* settings and service files */                                          \
    X(JSON_SYNTAX, -60)                                                       \
    X(FIELD_UNKNOWN, -61)                                                     \
    X(FIELD_DOUBLED, -62)                                                     \
    X(FIELD_MISSING, -63)                                                     \
    X(FIELD_TYPE, -64)                                                        \
    X(FIELD_RANGE, -65)                                                       \
    X(REFERENCE_UNKNOWN, -66)                                                 \
    /* encoding */                                                            \
    X(DECODE, -80)                                                            \
    X(FRAME_TOO_LARGE, -81)                                                   \
    X(VERSION, -82)                                                           \
    /* peers */                                                               \
    X(PEER_AUTH, -100)                                                        \
    X(PEER_GONE, -101)                                                        \
    /* leases and orders */                                                   \
    X(LEASE_NOT_HELD, -120)                                                   \
    X(LEASE_EXPIRING, -121)                                                   \
    /* the platform's store and interfaces */                                 \
    X(FENCED, -140)                                                           \
    X(EXHAUSTED, -141)                                                        \
    X(OVERLOADED, -142)                                                       \
    X(UNAVAILABLE, -143)

enum ct_err {
#define X(name, value) CT_ERR_##name = (value),
    CT_ERRORS(X)
#undef X
};

#define CT_OK CT_ERR_OK

/* Returns the stable name of an error code, "UNKNOWN" for any other value. */
const char *ct_err_name(int err);

#endif
