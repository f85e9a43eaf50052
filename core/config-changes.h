#ifndef CT_CONFIG_CHANGES_H
#define CT_CONFIG_CHANGES_H

#include "config-finding.h"

/*
 * Compares a configuration with the one in force, as far as hosts decode them,
 * and adds the differences to findings (struct ct_finding). Routes are told
 * apart by host and prefix, as calls are; services and organisations by name;
 * keys by digest.
 */
void ct_config_changes(const struct ct_decoded_config *next,
                       const struct ct_decoded_config *in_force,
                       GArray *findings);

#endif
