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
