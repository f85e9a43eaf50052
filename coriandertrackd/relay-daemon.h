#ifndef CT_RELAY_DAEMON_H
#define CT_RELAY_DAEMON_H

#include "daemon.h"
#include "relay-settings.h"

/*
 * Runs a host that relays calls on the users' platform until it has drained.
 * path is the settings file, which SIGHUP reloads.
 */
enum ct_exit ct_relay_daemon_run(const char *path,
                                 const struct ct_relay_settings *settings,
                                 const char *record);

#endif
