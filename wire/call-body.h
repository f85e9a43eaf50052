#ifndef CT_CALL_BODY_H
#define CT_CALL_BODY_H

#include <stddef.h>

#include "event.h"

/*
 * Parses request bodies. Both functions set only the members of the call that
 * depend on its body: kind, model, stream, max_tokens, prompt_tokens,
 * prefix_hash and body_bytes.
 */

/* Bytes at the start of the prompt that are hashed for prefix affinity. */
#define CT_PREFIX_BYTES 1024

/*
 * Parses the body of a chat completion request. Errors: CT_ERR_JSON_SYNTAX,
 * CT_ERR_FIELD_DOUBLED, CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE,
 * CT_ERR_FIELD_RANGE.
 */
int ct_call_body_parse(const char *body, size_t n, struct ct_call *call);

/* Fills in a call whose body is forwarded without being parsed. */
void ct_call_body_set_plain(size_t n, struct ct_call *call);

#endif
