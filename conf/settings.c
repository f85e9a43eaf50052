#include "settings.h"

#define SECRET_MIN_BYTES 16
#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_HEAD_BYTES (16 * 1024)
#define DEFAULT_BODY_BYTES (1024 * 1024)
#define DEFAULT_IDLE_TIMEOUT_MS 60000

#define REQUIRED CT_SCHEMA_REQUIRED
#define OPTIONAL CT_SCHEMA_OPTIONAL
#define AT CT_SCHEMA_AT

static const struct ct_schema_field limit_fields[] = {
    {"max_connections", CT_SCHEMA_U32, OPTIONAL, AT(limits, max_connections),
     1, 1000000, .fallback = DEFAULT_MAX_CONNECTIONS},
    {"head_bytes", CT_SCHEMA_U32, OPTIONAL, AT(limits, head_bytes), 1024,
     1024 * 1024, .fallback = DEFAULT_HEAD_BYTES},
    {"body_bytes", CT_SCHEMA_U32, OPTIONAL, AT(limits, body_bytes), 1024,
     64 * 1024 * 1024, .fallback = DEFAULT_BODY_BYTES},
    {"idle_timeout_ms", CT_SCHEMA_MS, OPTIONAL, AT(limits, idle_timeout_ms),
     1000, 3600000, .fallback = DEFAULT_IDLE_TIMEOUT_MS},
};
static const struct ct_schema limits_schema = {G_N_ELEMENTS(limit_fields),
                                               limit_fields};

static const struct ct_schema_field fields[] = {
    {"host", CT_SCHEMA_NAME, REQUIRED, AT(settings, host)},
    {"zone", CT_SCHEMA_NAME, REQUIRED, AT(settings, zone)},
    {"caller_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(settings, caller_address)},
    {"operator_address", CT_SCHEMA_ADDRESS, REQUIRED,
     AT(settings, operator_address)},
    {"peer_address", CT_SCHEMA_ADDRESS, REQUIRED, AT(settings, peer_address)},
    {"platform", CT_SCHEMA_URL, REQUIRED, AT(settings, platform)},
    {"peer_secret", CT_SCHEMA_SECRET, REQUIRED, AT(settings, peer_secret),
     SECRET_MIN_BYTES, CT_SECRET_MAX - 1},
    {"credentials", CT_SCHEMA_SECRETS, OPTIONAL,
     offsetof(struct ct_settings, credentials)},
    {"limits", CT_SCHEMA_OBJECT, OPTIONAL, AT(settings, limits),
     .object = &limits_schema},
};
static const struct ct_schema schema = {G_N_ELEMENTS(fields), fields};

int
ct_settings_load(const char *path, struct ct_settings *settings,
                 struct ct_diags *diags)
{
    return ct_schema_load(&schema, path, settings, sizeof(*settings), diags);
}

void
ct_settings_free(struct ct_settings *settings)
{
    g_clear_pointer(&settings->credentials, g_array_unref);
}

const char *
ct_settings_credential(const struct ct_settings *settings,
                       const struct ct_name *pool)
{
    for (guint i = 0; settings->credentials && i < settings->credentials->len;
         i++) {
        const struct ct_named_secret *credential =
            &g_array_index(settings->credentials, struct ct_named_secret, i);

        if (ct_name_eq(&credential->name, pool)) {
            return credential->secret.text;
        }
    }
    return NULL;
}
