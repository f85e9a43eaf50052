#ifndef CT_RECORDER_H
#define CT_RECORDER_H

#include <glib.h>

#include "reducer.h"

/*
 * A reducer that writes each event to a file before passing it to another
 * reducer. The file holds the events as they are in memory, so only the same
 * build on the same kind of machine can read it. It starts with the sizes by
 * which this is checked and with the host's own description.
 */

/*
 * Takes ownership of the inner reducer. Errors: CT_ERR_IO if the file cannot
 * be created; the inner reducer then still belongs to the caller.
 */
int ct_recorder_new(const char *path, const struct ct_host_identity *self,
                    struct ct_reducer *inner, struct ct_reducer **out);

struct ct_recording;

/* Errors: CT_ERR_IO, CT_ERR_VERSION for a file of another build. */
int ct_recording_open(const char *path, struct ct_recording **out);
void ct_recording_close(struct ct_recording *recording);
const struct ct_host_identity *
ct_recording_self(const struct ct_recording *recording);
/*
 * Reads the next event; its rows stay valid until the next call. Returns 1, 0
 * at the end, or CT_ERR_DECODE if the file is truncated.
 */
int ct_recording_next(struct ct_recording *recording, struct ct_event *event);

/*
 * Appends an effect in a form that allows comparing two runs: its bytes, with
 * pointers cleared, then its rows.
 */
void ct_effect_dump(const struct ct_effect *effect, GByteArray *out);

#endif
