#ifndef CT_RECORDER_H
#define CT_RECORDER_H

#include <glib.h>

#include "reducer.h"

/*
 * A reducer that writes each event to a file before it hands it on. The file
 * holds the events as they are in memory, so only the same build on the same
 * kind of machine reads it; it opens with the sizes that this depends on and
 * with what the host knew about itself.
 */

/*
 * Takes over the inner reducer. Errors: CT_ERR_IO where the file cannot be
 * made; the inner reducer is then left alone.
 */
int ct_recorder_new(const char *path, const struct ct_self *self,
                    struct ct_reducer *inner, struct ct_reducer **out);

struct ct_recording;

/* Errors: CT_ERR_IO, CT_ERR_VERSION for a file of another build. */
int ct_recording_open(const char *path, struct ct_recording **out);
void ct_recording_close(struct ct_recording *recording);
const struct ct_self *ct_recording_self(const struct ct_recording *recording);
/*
 * Reads the next event; its rows stay valid until the next call. Returns 1,
 * 0 at the end, or CT_ERR_DECODE where the file was cut off.
 */
int ct_recording_next(struct ct_recording *recording, struct ct_event *event);

/*
 * Appends an effect in a form that two runs can be compared by: its bytes
 * without addresses, then its rows.
 */
void ct_effect_dump(const struct ct_effect *effect, GByteArray *out);

#endif
