#include "lib-process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/pidfd.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#define ARGUMENTS_MAX 32
#define PROCESSES_MAX 256
#define START_TIMEOUT_MS 30000
#define RUN_TIMEOUT_MS 60000
#define LINE_MAX_BYTES 256
/* Ports of programs that keep theirs over a restart. */
#define PORT_MIN 10000
#define PORT_COUNT 20000
#define PORTS_PER_PROCESS 64

static pid_t running[PROCESSES_MAX];
static int n_running;
static bool exit_handler_set;
static char *log_directory;

int64_t
process_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static void
kill_running(void)
{
    for (int i = 0; i < n_running; i++) {
        kill(running[i], SIGKILL);
    }
}

static void
untrack_process(pid_t pid)
{
    for (int i = 0; i < n_running; i++) {
        if (running[i] == pid) {
            running[i] = running[--n_running];
            return;
        }
    }
}

static void
track_process(pid_t pid)
{
    if (!exit_handler_set) {
        exit_handler_set = true;
        atexit(kill_running);
    }
    g_assert_cmpint(n_running, <, PROCESSES_MAX);
    running[n_running++] = pid;
}

void
process_set_log_directory(const char *directory)
{
    g_free(log_directory);
    log_directory = g_strdup(directory);
}

static void
redirect_stderr(const char *program)
{
    char *name = g_path_get_basename(program);
    char *path =
        g_strdup_printf("%s/%s-%d.log", log_directory, name, (int)getpid());
    int fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

    dup2(fd, STDERR_FILENO);
    g_free(path);
    g_free(name);
}

static void
exec_child(const char *path, const char *program, const char *const *arguments,
           int out)
{
    const char *argv[ARGUMENTS_MAX + 2] = {program};

    for (int i = 0; arguments[i] && i < ARGUMENTS_MAX; i++) {
        argv[i + 1] = arguments[i];
    }
    /*
     * Runs in its own session: a stopped process would get SIGHUP when the
     * process group that it shares with the test's shell is orphaned.
     */
    setsid();
    /* The child is killed when the test exits or is killed. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    if (log_directory) {
        redirect_stderr(program);
    }
    execv(path, (char *const *)(void *)argv);
    fprintf(stderr, "%s: %s\n", path, strerror(errno));
    _exit(127);
}

void
process_spawn(struct process *process, const char *program,
              const char *const *arguments)
{
    const char *build = g_getenv("CT_BUILD_DIR");
    char *path = g_build_filename(build ? build : "build", program, NULL);
    int pipes[2];

    memset(process, 0, sizeof(*process));
    g_assert_cmpint(pipe2(pipes, O_CLOEXEC), ==, 0);
    process->pid = fork();
    g_assert_cmpint(process->pid, >=, 0);
    if (process->pid == 0) {
        exec_child(path, program, arguments, pipes[1]);
    }
    close(pipes[1]);
    process->out = pipes[0];
    process->running = true;
    track_process(process->pid);
    g_free(path);
}

/* Reads one byte, or returns 0 at end of file; fails the test on a timeout. */
static ssize_t
read_byte(int fd, char *byte, int timeout_ms)
{
    struct pollfd poll_fd = {fd, POLLIN, 0};

    g_assert_cmpint(poll(&poll_fd, 1, timeout_ms), ==, 1);
    return read(fd, byte, 1);
}

/* Returns the number of ports in the line "listening [NAME=]PORT...". */
static int
parse_ports(const char *line, uint16_t *ports, int max)
{
    char **words = g_strsplit_set(line, " \n", -1);
    int n = 0;

    if (g_strcmp0(words[0], "listening") == 0) {
        for (int i = 1; words[i] && n < max; i++) {
            const char *number = strchr(words[i], '=');

            if (*words[i]) {
                ports[n++] = (uint16_t)g_ascii_strtoull(
                    number ? number + 1 : words[i], NULL, 10);
            }
        }
    }
    g_strfreev(words);
    return n;
}

static bool
is_port_free(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool is_free;

    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return is_free;
}

uint16_t
process_pick_port(void)
{
    static uint32_t n_picked;
    uint16_t port;

    /* Tests that run at the same time begin at different ports. */
    do {
        port = (uint16_t)(PORT_MIN + ((uint32_t)getpid() * PORTS_PER_PROCESS +
                                      n_picked++) %
                                         PORT_COUNT);
    } while (!is_port_free(port));
    return port;
}

void
process_await_listening(struct process *process)
{
    char line[LINE_MAX_BYTES];
    uint16_t ports[4] = {0};
    size_t n = 0;

    while (n == 0 || line[n - 1] != '\n') {
        g_assert_cmpuint(n + 1, <, sizeof(line));
        g_assert_cmpint(read_byte(process->out, &line[n], START_TIMEOUT_MS),
                        ==, 1);
        n++;
    }
    line[n] = '\0';
    if (parse_ports(line, ports, G_N_ELEMENTS(ports)) == 0) {
        g_error("not listening: %s", line);
    }
    process->port = ports[0];
    process->second_port = ports[1];
    process->third_port = ports[2];
    process->fourth_port = ports[3];
}

void
process_start_with(struct process *process, const char *program,
                   const char *const *arguments)
{
    process_spawn(process, program, arguments);
    process_await_listening(process);
}

int
process_run(const char *program, const char *const *arguments, char **output)
{
    GString *text = g_string_new(NULL);
    struct process process;
    char byte;

    process_spawn(&process, program, arguments);
    while (read_byte(process.out, &byte, RUN_TIMEOUT_MS) == 1) {
        g_string_append_c(text, byte);
    }
    if (output) {
        *output = g_string_free(text, FALSE);
    }
    else {
        g_string_free(text, TRUE);
    }
    return process_wait(&process, RUN_TIMEOUT_MS);
}

void
process_signal(struct process *process, int signal)
{
    g_assert_true(process->running);
    g_assert_cmpint(kill(process->pid, signal), ==, 0);
}

int
process_wait(struct process *process, int timeout_ms)
{
    struct pollfd exit_poll = {-1, POLLIN, 0};
    int status = 0;

    g_assert_true(process->running);
    exit_poll.fd = pidfd_open(process->pid, 0);
    g_assert_cmpint(exit_poll.fd, >=, 0);
    g_assert_cmpint(poll(&exit_poll, 1, timeout_ms), ==, 1);
    close(exit_poll.fd);
    g_assert_cmpint(waitpid(process->pid, &status, 0), ==, process->pid);
    process->running = false;
    untrack_process(process->pid);
    close(process->out);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void
process_kill(struct process *process)
{
    if (process->running) {
        process_signal(process, SIGKILL);
        process_wait(process, START_TIMEOUT_MS);
    }
}
