#ifndef BENCH_CALL_LOAD_H
#define BENCH_CALL_LOAD_H

#include <glib.h>

/* Calls to a port in a closed loop, and the times until their first byte. */

struct call_load {
    unsigned port;
    const char *key;
    const char *body;
    int calls;
    int concurrency;
};

struct call_result {
    /* double: times to the first byte of the body, sorted. */
    GArray *first_byte_us;
    int failed;
};

/* Runs a closed loop of load->concurrency calls until all have ended. */
void call_load_run(const struct call_load *load, struct call_result *result);

/*
 * Runs the load from several processes, because a single one would be the
 * bottleneck. Returns the duration in seconds and the number of failed calls.
 */
double call_load_run_processes(const struct call_load *load, int *failed);

/* Sorts the times after some were added. */
void call_result_sort(struct call_result *result);
/* The time, in microseconds, at the share p of the sorted times. */
double call_result_percentile(const struct call_result *result, double p);

#endif
