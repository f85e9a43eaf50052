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
    "    Takes callers' requests and routes them to upstreams, by the\n"
    "    configuration that operators publish to the platform's log. It\n"
    "    reads the log to its head before it serves. Once its ports are open\n"
    "    it prints one line to standard output:\n"
    "\n"
    "        listening callers=PORT operators=PORT peers=PORT\n"
    "\n"
    "    Its log goes to standard error, one JSON object a line; the "
    "numbered\n"
    "    events are listed in docs/EVENTS.md. G_MESSAGES_DEBUG=all adds\n"
    "    messages for debugging.\n"
    "\n"
    "OPTIONS\n"
    "    --config FILE   settings of this host, JSON with comments\n"
    "    --relay         run on the users' platform: follow its store, relay\n"
    "                    callers' calls unchanged, report usage and order\n"
    "                    upstreams; the log goes to standard output, and\n"
    "                    SIGHUP takes over the bounds of the settings\n"
    "    --check         check the settings and exit\n"
    "    --record FILE   write every event to FILE, for replays of this\n"
    "                    build; the file grows without bound\n"
    "    --version       print the version and exit\n"
    "    --help, -?      print this text and exit\n"
    "\n"
    "SIGNALS\n"
    "    SIGTERM, SIGINT  drain: refuse new requests as not run, finish the\n"
    "                     others, exit. A second one exits at once.\n"
    "\n"
    "EXIT STATUS\n"
    "    0  drained, or the settings are good\n"
    "    1  a port cannot be opened, a file cannot be made, or no memory\n"
    "    2  bad arguments or settings\n"
    "    3  stopped by a second signal; requests may have been cut\n"
    "\n"
    "SEE ALSO\n"
    "    coriandertrack(1), docs/OPERATING.md, docs/INTERFACES.md\n";

void
ct_daemon_help(void)
{
    fputs(text, stdout);
}
