#ifndef CT_RELAY_DAEMON_H
#define CT_RELAY_DAEMON_H

#include "daemon.h"
#include "relay-settings.h"

/*
 * Runs a host on the users' platform, which relays calls, until it has
 * drained. path is the settings file; SIGHUP reloads the bounds from it.
 */
enum ct_exit ct_relay_daemon_run(const char *path,
                                 const struct ct_relay_settings *settings,
                                 const char *record);

#endif
