#ifndef FAKE_ENDLESS_H
#define FAKE_ENDLESS_H

#include <glib.h>

/*
 * Responses of a failing upstream that sends bytes without end until the
 * client closes the connection.
 */

struct fake_endless {
    const char *name;
    /* Sent once. "%FIELDS%" stands for the fields that bind the response. */
    const char *head;
    /* Sent again and again after the head. */
    const char *repeated;
    /* The response is complete; the bytes after it belong to no request. */
    gboolean complete;
};

extern const struct fake_endless fake_endless_kinds[];
extern const guint fake_endless_kinds_n;

/*
 * Returns the first bytes of the response; fields are header lines, each with
 * its CRLF. The caller frees them.
 */
char *fake_endless_head(const struct fake_endless *kind, const char *fields);
/* Returns a block of repetitions to send again and again; free it. */
GString *fake_endless_block(const struct fake_endless *kind);

#endif
