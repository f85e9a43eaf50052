#ifndef CT_HOST_RESPONSE_BODY_H
#define CT_HOST_RESPONSE_BODY_H

#include <glib.h>

#include "refusal.h"
#include "rows.h"

/* JSON bodies of responses that a host generates itself. */

/* rows: struct ct_host */
void ct_addresses_body(ct_ms lifetime_ms, struct ct_rows rows, GString *out);

/* rows: struct ct_host_row; leaving is set if the host did not confirm. */
void ct_withdrawal_body(struct ct_rows rows, GString *out);

void ct_explain_body(const struct ct_refusal_row *refusal, GString *out);

#endif
