#ifndef CT_CONFIG_FINDINGS_H
#define CT_CONFIG_FINDINGS_H

#include "config-finding.h"

/*
 * Checks a configuration by itself and adds what it finds to findings (struct
 * ct_finding): items that hosts leave out, entries that never match or have no
 * effect, limits that contradict each other.
 */
void ct_config_findings(const struct ct_decoded_config *decoded,
                        GArray *findings);

#endif
