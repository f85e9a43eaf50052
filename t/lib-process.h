#ifndef LIB_PROCESS_H
#define LIB_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "wait.h"

/*
 * Processes under test. A failure to start fails the test. What still runs
 * when the test program exits is killed, each by its own process id.
 */

struct process {
    pid_t pid;
    /* Read end of its standard output. */
    int out;
    /* Ports of its "listening" line, in their order there. */
    uint16_t port;
    uint16_t second_port;
    uint16_t third_port;
    uint16_t fourth_port;
    bool running;
};

/*
 * What programs started from now on write to their standard error goes to
 * DIRECTORY/NAME-PID.log; NULL: to that of the test.
 */
void process_set_log_directory(const char *directory);

/* Starts a program of the build, by its place there, with arguments to NULL.
 */
void process_start_with(struct process *process, const char *program,
                        const char *const *arguments);

/* The same with the arguments in place. */
#define PROCESS_START(process, program, ...)                                  \
    process_start_with((process), (program),                                  \
                       (const char *const[]){__VA_ARGS__, NULL})

/* The same with an argument vector, without waiting for a first line. */
void process_spawn(struct process *process, const char *program,
                   const char *const *arguments);

/* Waits for its line "listening PORT..." or "listening NAME=PORT...". */
void process_await_listening(struct process *process);

/* Runs a program to its end; returns the exit code, its output in *output. */
int process_run(const char *program, const char *const *arguments,
                char **output);

void process_signal(struct process *process, int signal);

/* Waits for its end; returns the exit code, or minus the signal. */
int process_wait(struct process *process, int timeout_ms);

/* SIGKILL and wait. */
void process_kill(struct process *process);

/* Monotonic time, the same clock as in the logs of the stand-ins. */
int64_t process_now_ms(void);

/* Between two looks at a condition. */
#define PROCESS_LOOK_MS 5

/*
 * Waits until the condition holds; fails the test after timeout_ms. For what
 * another process must be asked for, and does not tell by itself.
 */
#define AWAIT(condition, timeout_ms)                                          \
    do {                                                                      \
        int64_t until_ms_ = process_now_ms() + (timeout_ms);                  \
                                                                              \
        while (!(condition)) {                                                \
            if (process_now_ms() > until_ms_) {                               \
                g_error("%s:%d: timed out: %s", __FILE__, __LINE__,           \
                        #condition);                                          \
            }                                                                 \
            ct_wait_ms(PROCESS_LOOK_MS);                                      \
        }                                                                     \
    } while (0)

#endif
