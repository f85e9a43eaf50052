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
    /* Bytes of a request's head and body. */
    uint32_t head_bytes;
    uint32_t body_bytes;
    ct_ms idle_timeout_ms;
};

struct ct_settings {
    struct ct_name host;
    struct ct_name zone;
    /* Port 0 takes any free port. */
    struct ct_address caller_address;
    struct ct_address operator_address;
    struct ct_address peer_address;
    struct ct_url platform;
    struct ct_secret peer_secret;
    /* The system's own credential for each pool: struct ct_named_secret. */
    GArray *credentials;
    struct ct_limits limits;
};

/*
 * Reads and checks a file of settings. All findings go to diags. The caller
 * frees the settings with ct_settings_free(), also on failure.
 * Errors: those of ct_json_file_load() and ct_schema_read().
 */
int ct_settings_load(const char *path, struct ct_settings *settings,
                     struct ct_diags *diags);
void ct_settings_free(struct ct_settings *settings);

/* Credential for a pool, or NULL where the settings name none. */
const char *ct_settings_credential(const struct ct_settings *settings,
                                   const struct ct_name *pool);

#endif
