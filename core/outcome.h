#ifndef CT_OUTCOME_H
#define CT_OUTCOME_H

/* How an attempt ended. */
enum ct_outcome {
    CT_OUTCOME_COMPLETE = 1,
    /* No byte of the request left this host. */
    CT_OUTCOME_NOT_SENT,
    /* The upstream itself said that it did not run the request. */
    CT_OUTCOME_DECLINED,
    /* The upstream answered with an error after running, or perhaps. */
    CT_OUTCOME_FAILED,
    /* The connection broke after bytes had left. */
    CT_OUTCOME_BROKEN,
    /* Nothing came for the gap time-out. */
    CT_OUTCOME_SILENT,
    /* The answer named another request; it was dropped. */
    CT_OUTCOME_MISMATCH,
    CT_OUTCOME_CANCELLED,
    /* Not started before not_after_ms. */
    CT_OUTCOME_EXPIRED,
};

/* A stable text, for logs. */
const char *ct_outcome_text(enum ct_outcome outcome);

#endif
