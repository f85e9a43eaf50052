#ifndef CT_PLATFORM_BODY_H
#define CT_PLATFORM_BODY_H

#include <glib.h>

#include "record-codec.h"

/* JSON bodies of the platform's interface, as in docs/INTERFACES.md. */

/*
 * One entry of the log. record.type is 0 if its bytes are not a record of this
 * version, so that every reader skips the same entries.
 */
struct ct_log_page_entry {
    int64_t offset;
    struct ct_decoded_record decoded;
};

/* Response to a read; a response with status 410 has no entries. */
struct ct_log_page {
    int64_t first;
    int64_t head;
    /* struct ct_log_page_entry */
    GArray *entries;
};

/*
 * Parses the response to a read. The caller frees the page with
 * ct_log_page_free(), also on failure.
 * Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE,
 * CT_ERR_FIELD_RANGE, CT_ERR_FIELD_DOUBLED.
 */
int ct_log_page_parse(const char *text, size_t n, struct ct_log_page *page);
void ct_log_page_free(struct ct_log_page *page);

/*
 * Appends the body of an append request. Errors: those of ct_record_encode().
 */
int ct_append_body(const struct ct_record *record, GString *out);

/*
 * Parses the response to an append. Errors: those of ct_log_page_parse().
 */
int ct_append_response_parse(const char *text, size_t n, int64_t *offset);

/* Append the bodies of an upstream order and of a usage report. */
void ct_order_body(const struct ct_order *order, GString *out);
void ct_usage_body(const struct ct_usage_window *window,
                   const struct ct_usage_row *rows, uint32_t n, GString *out);

/*
 * Parses the list of hosts into a new array of struct ct_host_row. Hosts whose
 * name is missing, empty or too long are skipped. Errors: those
 * of ct_log_page_parse().
 */
int ct_host_list_parse(const char *text, size_t n, GArray **rows);

/*
 * Parses the list of upstreams into a new array of struct ct_listed_upstream.
 * Upstreams that are neither running nor leaving are skipped, and so are those
 * without a valid name, pool, zone, address or number of slots. Errors: those
 * of ct_log_page_parse().
 */
int ct_upstream_list_parse(const char *text, size_t n, GArray **rows);

#endif
