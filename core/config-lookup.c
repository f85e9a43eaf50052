#include "config.h"

#include <string.h>

#include "index.h"

struct ct_handle
ct_config_organisation(const struct ct_config *config,
                       const struct ct_name *name)
{
    return ct_index_get(config->organisation_by_name, name);
}

struct ct_handle
ct_config_pool(const struct ct_config *config, const struct ct_name *name)
{
    return ct_index_get(config->pool_by_name, name);
}

struct ct_handle
ct_config_host(const struct ct_config *config, const struct ct_name *name)
{
    return ct_index_get(config->host_by_name, name);
}

struct ct_handle
ct_config_upstream(const struct ct_config *config, const struct ct_name *name)
{
    return ct_index_get(config->upstream_by_name, name);
}

struct ct_handle
ct_config_route(const struct ct_config *config, const struct ct_path *path,
                const struct ct_name *model)
{
    struct ct_route key = {.path = *path, .model = *model};
    struct ct_handle handle = ct_index_get(config->route_by_key, &key);

    if (!ct_handle_is_none(handle)) {
        return handle;
    }
    memset(&key.model, 0, sizeof(key.model));
    return ct_index_get(config->route_by_key, &key);
}

bool
ct_config_may_call(const struct ct_config *config, struct ct_handle route,
                   struct ct_handle organisation)
{
    const struct ct_route_row *row = ct_table_get(&config->routes, route);
    uint32_t byte = organisation.index / 8;

    if (!row) {
        return false;
    }
    if (row->conf.open_to_all) {
        return true;
    }
    return byte < row->allowed_bytes &&
           (row->allowed[byte] >> (organisation.index % 8) & 1);
}
