#ifndef CT_OUTCOME_H
#define CT_OUTCOME_H

/* How an attempt ended. */
enum ct_outcome {
    CT_OUTCOME_COMPLETE = 1,
    /* No byte of the request left this host. */
    CT_OUTCOME_NOT_SENT,
    /* The upstream reported that it did not run the request. */
    CT_OUTCOME_DECLINED,
    /* The upstream returned an error and may have run the request. */
    CT_OUTCOME_FAILED,
    /* The connection failed after part of the request had been sent. */
    CT_OUTCOME_CONNECTION_LOST,
    /* No data arrived within the gap time-out. */
    CT_OUTCOME_GAP_TIMEOUT,
    /* The response named another request and was dropped. */
    CT_OUTCOME_MISMATCH,
    CT_OUTCOME_CANCELLED,
    /* Not started before not_after_ms. */
    CT_OUTCOME_EXPIRED,
};

/* Returns a stable text for logs. */
const char *ct_outcome_text(enum ct_outcome outcome);

#endif
