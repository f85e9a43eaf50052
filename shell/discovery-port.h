#ifndef CT_GUIDE_H
#define CT_GUIDE_H

#include "dialect.h"
#include "http-server.h"
#include "reduce.h"

/*
 * The ports beside the callers' own: where callers ask which hosts to use,
 * and where the platform asks whether this one is ready.
 */

struct ct_guide;

struct ct_guide_options {
    const struct ct_dialect *dialect;
    const char *guide_address;
    const char *ready_address;
    /* Read for answers; borrowed. */
    const struct ct_state *state;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_guide_new(struct ct_loop *loop, const struct ct_guide_options *options,
                 struct ct_guide **out);
struct ct_executor *ct_guide_executor(struct ct_guide *guide);
uint16_t ct_guide_port(const struct ct_guide *guide);
uint16_t ct_guide_ready_port(const struct ct_guide *guide);

#endif
