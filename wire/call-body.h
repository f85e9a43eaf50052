#ifndef CT_CALL_BODY_H
#define CT_CALL_BODY_H

#include <stddef.h>

#include "event.h"

/*
 * What a caller's body says. Both functions set only the members of the call
 * that come from its body: kind, model, stream, max_tokens, prompt_tokens,
 * prefix_hash and body_bytes.
 */

/* Bytes of the prompt that decide about prefix affinity. */
#define CT_PREFIX_BYTES 1024

/*
 * Reads the body of a chat completion. Errors: CT_ERR_JSON_SYNTAX,
 * CT_ERR_FIELD_DOUBLED, CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE,
 * CT_ERR_FIELD_RANGE.
 */
int ct_call_body_parse(const char *body, size_t n, struct ct_call *call);

/* Takes a body that is passed on as it is. */
void ct_call_plain_body(size_t n, struct ct_call *call);

#endif
