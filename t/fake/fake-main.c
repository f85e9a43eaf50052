/* Command line and main loop of a fake. */
#include "fake-http.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

int
fake_main(struct fake_server *server, int argc, const char **argv,
          struct poptOption *extra)
{
    struct poptOption none[] = {POPT_TABLEEND};
    int port = 0;
    char *log = NULL;
    struct poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "port; 0 for any", "PORT"},
        {"log", 'l', POPT_ARG_STRING, &log, 0, "log of received requests",
         "FILE"},
        {NULL, 0, POPT_ARG_INCLUDE_TABLE, extra ? extra : none, 0,
         "Options of this program:", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(argv[0], argc, argv, options, 0);
    int rc = poptGetNextOpt(context);

    poptFreeContext(context);
    if (rc < -1) {
        fprintf(stderr, "%s: %s\n", argv[0], poptStrerror(rc));
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    if (log && !(server->log = fopen(log, "ae"))) {
        fprintf(stderr, "%s: %s: %s\n", argv[0], log, strerror(errno));
        return 1;
    }
    if (fake_start_server(server, EV_DEFAULT, port) < 0) {
        fprintf(stderr, "%s: cannot listen on %d\n", argv[0], port);
        return 1;
    }
    printf("listening %u\n", server->port);
    fflush(stdout);
    ev_run(EV_DEFAULT, 0);
    return 0;
}
