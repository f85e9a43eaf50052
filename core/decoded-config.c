#include "decoded-config.h"

#include <string.h>

void
ct_decoded_config_init(struct ct_decoded_config *decoded)
{
    memset(decoded, 0, sizeof(*decoded));
    decoded->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    decoded->left_out = g_array_new(FALSE, TRUE, sizeof(struct ct_left_out));
    decoded->routes =
        g_array_new(FALSE, TRUE, sizeof(struct ct_decoded_route));
}

void
ct_decoded_config_free(struct ct_decoded_config *decoded)
{
    g_array_free(decoded->rows, TRUE);
    g_array_free(decoded->left_out, TRUE);
    g_array_free(decoded->routes, TRUE);
}

void
ct_decoded_route_name(const struct ct_prefix_route *route,
                      const struct ct_decoded_route *decoded,
                      struct ct_name *name)
{
    if (ct_name_eq(&route->name, &decoded->written_name)) {
        *name = route->name;
        return;
    }
    g_snprintf(name->text, sizeof(name->text), "%s%s", route->authority.text,
               route->prefix.text);
}
