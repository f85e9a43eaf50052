/*
 * memory PID PORT
 *
 * Prints the memory of a process, and the bytes that its connections on a port
 * have received and not yet read, in KB.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_KB 1024
#define ESTABLISHED 1
#define CLOSE_WAIT 8

static long
resident_kb(const char *pid)
{
    char path[64];
    char line[256];
    long kb = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%s/status", pid);
    file = fopen(path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kb = strtol(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kb;
}

static long
unread_kb(unsigned port)
{
    FILE *file = fopen("/proc/net/tcp", "re");
    uint64_t bytes = 0;
    char line[512];

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        unsigned local, state, unread;

        if (sscanf(line, " %*d: %*x:%x %*x:%*x %x %*x:%x", &local, &state,
                   &unread) == 3 &&
            local == port && (state == ESTABLISHED || state == CLOSE_WAIT)) {
            bytes += unread;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return (long)(bytes / BYTES_PER_KB);
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        fprintf(stderr, "usage: memory PID PORT\n");
        return 2;
    }
    printf("%ld %ld\n", resident_kb(argv[1]),
           unread_kb((unsigned)strtoul(argv[2], NULL, 10)));
    return 0;
}
