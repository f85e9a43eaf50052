#include <stdio.h>

#include "daemon.h"

static const char text[] =
    "NAME\n"
    "    coriandertrackd - entry host of the coriandertrack router\n"
    "\n"
    "SYNOPSIS\n"
    "    coriandertrackd --config FILE [--record FILE]\n"
    "    coriandertrackd --config FILE --check\n"
    "    coriandertrackd --relay --config FILE [--check] [--record FILE]\n"
    "\n"
    "DESCRIPTION\n"
    "    Routes callers' requests to upstreams according to the\n"
    "    configuration that operators publish to the platform's log. It\n"
    "    reads the log to its head before it accepts requests. Once its\n"
    "    ports are open it prints one line to standard output:\n"
    "\n"
    "        listening callers=PORT operators=PORT peers=PORT\n"
    "\n"
    "    The log goes to standard error, one JSON object per line; the\n"
    "    numbered events are listed in docs/EVENTS.md. G_MESSAGES_DEBUG=all\n"
    "    adds messages for debugging.\n"
    "\n"
    "OPTIONS\n"
    "    --config FILE   settings of this host, JSON with comments\n"
    "    --relay         run on the users' platform: follow its store, relay\n"
    "                    callers' calls unchanged, report usage and order\n"
    "                    upstreams; the log goes to standard output, and\n"
    "                    SIGHUP reloads the bounds from the settings\n"
    "    --check         check the settings and exit\n"
    "    --record FILE   write every event to FILE for replay by the same\n"
    "                    build; the file grows without bound\n"
    "    --version       print the version and exit\n"
    "    --help, -?      print this text and exit\n"
    "\n"
    "SIGNALS\n"
    "    SIGTERM, SIGINT  drain: refuse new requests as not run, finish the\n"
    "                     others, exit. A second signal exits at once.\n"
    "\n"
    "EXIT STATUS\n"
    "    0  drained, or the settings are valid\n"
    "    1  a port cannot be opened, a file cannot be created, or no memory\n"
    "    2  invalid arguments or settings\n"
    "    3  stopped by a second signal; requests may have been aborted\n"
    "\n"
    "SEE ALSO\n"
    "    coriandertrack(1), docs/OPERATING.md, docs/INTERFACES.md\n";

void
ct_daemon_help(void)
{
    fputs(text, stdout);
}
