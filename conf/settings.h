#ifndef CT_SETTINGS_H
#define CT_SETTINGS_H

#include "clock.h"
#include "diag.h"
#include "name.h"
#include "schema.h"

/* Settings of one host's daemon. */

#define CT_URL_MAX 96

struct ct_url {
    char text[CT_URL_MAX];
};

struct ct_limits {
    uint32_t max_connections;
    /* Largest head and body of a request, in bytes. */
    uint32_t head_bytes;
    uint32_t body_bytes;
    ct_ms idle_timeout_ms;
};

struct ct_settings {
    struct ct_name host;
    struct ct_name zone;
    /* Addresses to listen on; port 0 selects any free port. */
    struct ct_address caller_address;
    struct ct_address operator_address;
    struct ct_address peer_address;
    struct ct_url platform;
    struct ct_secret peer_secret;
    /* Credentials for upstreams, by pool: struct ct_named_secret. */
    GArray *credentials;
    struct ct_limits limits;
};

/*
 * Reads and checks a settings file; all findings are added to diags. The
 * caller frees the settings with ct_settings_free(), also on failure.
 * Errors: those of ct_json_file_load() and ct_schema_read().
 */
int ct_settings_load(const char *path, struct ct_settings *settings,
                     struct ct_diags *diags);
void ct_settings_free(struct ct_settings *settings);

/* Returns the credential for a pool, or NULL if the settings have none. */
const char *ct_settings_credential(const struct ct_settings *settings,
                                   const struct ct_name *pool);

#endif
