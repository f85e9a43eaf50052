#ifndef CT_RELAY_SETTINGS_H
#define CT_RELAY_SETTINGS_H

#include "bounds.h"
#include "diag.h"
#include "name.h"
#include "schema.h"

/* Settings of a host that relays calls. */

struct ct_relay_settings {
    struct ct_name host;
    struct ct_name zone;
    /* Addresses to listen on; port 0 selects any free port. */
    struct ct_address caller_address;
    /* Discovery port, where callers look up host addresses. */
    struct ct_address discovery_address;
    /* Readiness port, which the platform polls. */
    struct ct_address readiness_address;
    /* Counters, state and health. */
    struct ct_address operator_address;
    /*
     * The platform's store, and the platform's interface for usage reports and
     * upstream orders.
     */
    struct ct_address store;
    struct ct_address duties;
    /* Port for links to other hosts, and the secret they authenticate with. */
    struct ct_address peer_address;
    struct ct_secret peer_secret;
    uint32_t max_connections;
    /* The deployment is started for the first time; it has no callers yet. */
    bool first_start;
    /* The hosts report to each other how many calls they send where. */
    bool share_load;
    /* Sources send the configurations that they read to their followers. */
    bool share_config;
    /* Calls avoid zones in which connections time out. */
    bool skip_unreachable_zones;
    struct ct_bounds bounds;
};

/*
 * Reads and checks a settings file; all findings are added to diags.
 * Errors: those of ct_json_file_load() and ct_schema_read().
 */
int ct_relay_settings_load(const char *path,
                           struct ct_relay_settings *settings,
                           struct ct_diags *diags);

/*
 * Lowers the number of connections to what a limit on open descriptors and the
 * memory allow, and sets limits per IP address that the file leaves out.
 */
void ct_relay_settings_limit(struct ct_relay_settings *settings,
                             uint64_t max_files);

#endif
