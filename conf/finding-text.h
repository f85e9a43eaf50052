#ifndef CT_FINDING_TEXT_H
#define CT_FINDING_TEXT_H

#include "config-finding.h"

/* Appends what is wrong and what follows from it, in one line of text. */
void ct_finding_explain(const struct ct_finding *finding, GString *out);

#endif
