#include "head-estimate.h"

/* struct MHD_HTTP_Req_Header, rounded up to the alignment of the pool. */
#define RECORD_BYTES 64
/* The shortest field is a query argument of one byte and its separator. */
#define FIELD_MIN_BYTES 2

size_t
ct_head_pool_max(size_t head_bytes)
{
    return head_bytes + head_bytes / FIELD_MIN_BYTES * RECORD_BYTES;
}

/*
 * Counts each separator of fields wherever it stands, since a larger pool than
 * needed does no harm.
 */
struct ct_head_estimate
ct_head_estimate(const char *bytes, size_t n)
{
    struct ct_head_estimate out = {0};
    size_t line_bytes = 0;
    size_t records = 0;
    size_t i;

    for (i = 0; i < n && !out.complete; i++) {
        switch (bytes[i]) {
        case '\n':
            /* Empty lines before the request line are skipped. */
            out.complete = line_bytes == 0 && records > 0;
            line_bytes = 0;
            records++;
            break;
        case '\r':
            break;
        case '&':
        case ';':
            records++;
            line_bytes++;
            break;
        default:
            line_bytes++;
            break;
        }
    }
    out.pool_bytes = i + records * RECORD_BYTES;
    return out;
}
