#include "refusal.h"

struct refusal_info {
    const char *text;
    int status;
};

static const struct refusal_info refusals[CT_REFUSAL_COUNT] = {
#define X(name, text, status) [CT_REFUSAL_##name] = {text, status},
    CT_REFUSALS(X)
#undef X
};

const char *
ct_refusal_text(enum ct_refusal reason)
{
    return reason < CT_REFUSAL_COUNT ? refusals[reason].text : "unknown";
}

int
ct_refusal_status(enum ct_refusal reason)
{
    return reason < CT_REFUSAL_COUNT ? refusals[reason].status : 500;
}

const char *
ct_run_state_text(enum ct_run_state run_state)
{
    return run_state == CT_NOT_RUN ? "not-run" : "may-have-run";
}
