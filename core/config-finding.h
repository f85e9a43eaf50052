#ifndef CT_CONFIG_FINDING_H
#define CT_CONFIG_FINDING_H

#include <glib.h>

#include "config-row.h"
#include "decoded-config.h"

/* Findings of the checks on a configuration of the platform. */

enum ct_finding_severity {
    /* Calls are refused, or the configuration is not used as written. */
    CT_SEVERITY_ERROR = 1,
    /* Has no effect, contradicts another entry, or takes something away. */
    CT_SEVERITY_WARNING,
    /* A difference that takes nothing away. */
    CT_SEVERITY_INFO,
};

/* X(kind, severity, name): all kinds of findings. */
#define CT_FINDINGS(X)                                                        \
    X(LEFT_OUT, ERROR, "left-out")                                            \
    X(UNKNOWN_SERVICE, ERROR, "unknown-service")                              \
    X(DUPLICATE_NAME, ERROR, "duplicate-name")                                \
    X(SHARED_KEY, ERROR, "shared-key")                                        \
    X(REPEATED_KEY, WARNING, "repeated-key")                                  \
    X(HIDDEN_ROUTE, ERROR, "hidden-route")                                    \
    X(PREFIX_FORM, ERROR, "prefix-form")                                      \
    X(ZERO_WEIGHT, WARNING, "zero-weight")                                    \
    X(NO_WEIGHT, ERROR, "no-weight")                                          \
    X(UNUSED_SERVICE, WARNING, "unused-service")                              \
    X(NO_KEYS, WARNING, "no-keys")                                            \
    X(TARGET_ABOVE_TIMEOUT, WARNING, "target-above-timeout")                  \
    X(GAP_ABOVE_TIMEOUT, WARNING, "gap-above-timeout")                        \
    X(NO_ATTEMPTS, WARNING, "no-attempts")                                    \
    X(RESUME_NO_STREAM, WARNING, "resume-no-stream")                          \
    X(UNSAFE_ATTEMPTS, WARNING, "unsafe-attempts")                            \
    X(SCALING_BOUNDS, ERROR, "scaling-bounds")                                \
    X(HEAD_LIMIT, WARNING, "head-limit")                                      \
    X(HEAD_TIMEOUT, WARNING, "head-timeout")                                  \
    X(OLD_VERSION, ERROR, "old-version")                                      \
    X(ADDED, INFO, "added")                                                   \
    X(CHANGED, INFO, "changed")                                               \
    X(REMOVED, WARNING, "removed")                                            \
    X(KEYS_DROPPED, WARNING, "keys-dropped")                                  \
    X(KEYS_DEMANDED, WARNING, "keys-demanded")

enum ct_finding_kind {
#define X(kind, severity, name) CT_FINDING_##kind,
    CT_FINDINGS(X)
#undef X
        CT_FINDING_COUNT,
};

#define CT_FINDING_DETAIL_MAX 128

struct ct_finding {
    enum ct_finding_kind kind;
    /* Kind of the item concerned; 0 for the limits on callers. */
    enum ct_config_kind item;
    /* The item; of a key, the first characters of its digest. */
    struct ct_name name;
    /*
     * Another item: the route that hides this one or takes its calls, the
     * organisation that has the same key, the service of a share, the service
     * that does not exist; may be empty.
     */
    struct ct_name other;
    /* Member that cannot be read, or what changed; may be empty. */
    char detail[CT_FINDING_DETAIL_MAX];
    /* CT_FINDING_LEFT_OUT: why, and whether nothing of the item is used. */
    int32_t reason;
    bool whole;
    /* The value in question and the one that it contradicts. */
    int64_t value;
    int64_t limit;
};

/* Adds a finding on an item to a GArray of struct ct_finding. */
struct ct_finding *ct_finding_add(GArray *findings, enum ct_finding_kind kind,
                                  enum ct_config_kind item, const char *name);

enum ct_finding_severity ct_finding_severity(enum ct_finding_kind kind);
const char *ct_finding_severity_name(enum ct_finding_kind kind);
const char *ct_finding_kind_name(enum ct_finding_kind kind);

/* The number of hexadecimal digits by which a key is named. */
#define CT_FINDING_DIGEST_DIGITS 8

/*
 * Sets the name to the first digits of the key's digest, which do not tell the
 * key.
 */
void ct_finding_name_key(const struct ct_digest *digest, struct ct_name *name);

#endif
