#ifndef LIB_HOSTILE_H
#define LIB_HOSTILE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

/*
 * Crowds of clients that break the conventions of HTTP clients: they stop
 * halfway, send or read slowly, or don't read at all. One thread drives all
 * connections of a crowd.
 */

/* Connections of a crowd, if its plan names no number, and the most. */
#define HOSTILE_CONNECTIONS 64
#define HOSTILE_CONNECTIONS_MAX 512

/* What each client of a crowd does. */
struct hostile_plan {
    /*
     * Sent in this order; NULL: nothing. "%ID%" is replaced by an id that
     * differs in each place and connection.
     */
    const char *first;
    const char *repeated;
    const char *last;
    guint repetitions;
    /* Time between the first bytes of two clients; 0: all send at once. */
    guint stagger_ms;
    /* Most bytes per send after the first part; 0: all that fit. */
    guint send_bytes;
    /* Pause before each send after the first part. */
    guint send_pause_ms;
    /* Most bytes per read; 0: reads nothing. */
    guint read_bytes;
    /* Pause after each read. */
    guint read_pause_ms;
    /* When all bytes were sent: keep the connection open, or half-close it. */
    enum { HOSTILE_HOLD, HOSTILE_HALF_CLOSE } then;
    /* The crowd ends its connections by a reset instead of a close. */
    bool reset;
    /* Crowds one after the other; 0: one. */
    guint rounds;
    /* 0: HOSTILE_CONNECTIONS */
    guint connections;
};

guint hostile_connections(const struct hostile_plan *plan);

/*
 * Runs the plan against a port of the process. A crowd ends some time after it
 * last sent or received a byte, or after the longest time for a crowd. Returns
 * the most descriptors of the process that were seen meanwhile.
 */
int hostile_run(const struct hostile_plan *plan, uint16_t port, pid_t pid);

/*
 * Sends all bytes of the plan on one connection. Returns the status of the
 * first response, or -1 if there is none.
 */
int hostile_request(const struct hostile_plan *plan, uint16_t port);

/* Peak resident memory of a process; -1 if it has exited. */
long hostile_peak_memory_kb(pid_t pid);
/* Open descriptors of a process; -1 if it has exited. */
int hostile_count_descriptors(pid_t pid);

#endif
