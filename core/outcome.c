#include "outcome.h"

const char *
ct_outcome_text(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_COMPLETE:
        return "complete";
    case CT_OUTCOME_NOT_SENT:
        return "not-sent";
    case CT_OUTCOME_DECLINED:
        return "declined";
    case CT_OUTCOME_FAILED:
        return "failed";
    case CT_OUTCOME_CONNECTION_LOST:
        return "broken";
    case CT_OUTCOME_GAP_TIMEOUT:
        return "silent";
    case CT_OUTCOME_MISMATCH:
        return "mismatch";
    case CT_OUTCOME_CANCELLED:
        return "cancelled";
    case CT_OUTCOME_EXPIRED:
        return "expired";
    default:
        return "unknown";
    }
}
