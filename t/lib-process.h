#ifndef LIB_PROCESS_H
#define LIB_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "wait.h"

/*
 * Processes under test. A failure to start fails the test. Processes that
 * still run when the test program exits are killed, each by its process id.
 */

struct process {
    pid_t pid;
    /* Read end of its standard output. */
    int out;
    /* Ports of its "listening" line, in order. */
    uint16_t port;
    uint16_t second_port;
    uint16_t third_port;
    uint16_t fourth_port;
    bool running;
};

/*
 * Sends the standard error of programs started afterwards to
 * DIRECTORY/NAME-PID.log, or with NULL to that of the test.
 */
void process_set_log_directory(const char *directory);

/*
 * Starts a program by its path within the build directory, with arguments up
 * to NULL, and waits until it listens.
 */
void process_start_with(struct process *process, const char *program,
                        const char *const *arguments);

/* The same with the arguments listed inline. */
#define PROCESS_START(process, program, ...)                                  \
    process_start_with((process), (program),                                  \
                       (const char *const[]){__VA_ARGS__, NULL})

/* Starts a program without waiting for its "listening" line. */
void process_spawn(struct process *process, const char *program,
                   const char *const *arguments);

/*
 * Returns a free port below those that the kernel gives to outgoing
 * connections, so that a program that is started again finds it free.
 */
uint16_t process_pick_port(void);

/* Waits for the line "listening PORT..." or "listening NAME=PORT...". */
void process_await_listening(struct process *process);

/* Runs a program until it exits; returns the exit code, output in *output. */
int process_run(const char *program, const char *const *arguments,
                char **output);

void process_signal(struct process *process, int signal);

/* Waits for the exit; returns the exit code, or minus the signal. */
int process_wait(struct process *process, int timeout_ms);

/* Sends SIGKILL and waits until the process has exited. */
void process_kill(struct process *process);

/* Monotonic time, the clock that the logs of the fakes use. */
int64_t process_now_ms(void);

/* Interval between two checks of a condition. */
#define PROCESS_POLL_INTERVAL_MS 5

/*
 * Waits until the condition holds; fails the test after timeout_ms. For
 * conditions that must be polled from another process because it does not
 * report them by itself.
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
            ct_wait_ms(PROCESS_POLL_INTERVAL_MS);                             \
        }                                                                     \
    } while (0)

#endif
