#include "recorder.h"

#include <stdio.h>
#include <string.h>

#include "error.h"

#define MAGIC "ct-events 1"
#define ROWS_MAX_BYTES (64u * 1024 * 1024)

struct header {
    char magic[16];
    uint32_t event_size;
    uint32_t pointer_size;
    struct ct_host_identity self;
};

struct recorder {
    struct ct_reducer reducer;
    struct ct_reducer *inner;
    FILE *file;
};

struct ct_recording {
    FILE *file;
    struct ct_host_identity self;
    void *rows;
};

static void
set_header(struct header *header, const struct ct_host_identity *self)
{
    memset(header, 0, sizeof(*header));
    memcpy(header->magic, MAGIC, sizeof(MAGIC));
    header->event_size = sizeof(struct ct_event);
    header->pointer_size = sizeof(void *);
    header->self = *self;
}

/* If the file cannot be written, recording stops and the host continues. */
static void
write_event(struct recorder *recorder, const struct ct_event *event)
{
    struct ct_event copy = *event;
    struct ct_rows rows = *ct_event_rows(&copy);
    size_t row_bytes = (size_t)rows.n * rows.row_size;

    if (recorder->file == NULL) {
        return;
    }
    ct_event_rows(&copy)->data = NULL;
    if (fwrite(&copy, sizeof(copy), 1, recorder->file) != 1 ||
        (row_bytes > 0 &&
         fwrite(rows.data, row_bytes, 1, recorder->file) != 1)) {
        g_warning("recording stopped: cannot write the file");
        fclose(recorder->file);
        recorder->file = NULL;
    }
}

static int
record_and_reduce(struct ct_reducer *reducer, const struct ct_event *event,
                  struct ct_effects *effects)
{
    struct recorder *recorder = (struct recorder *)reducer;

    write_event(recorder, event);
    return recorder->inner->ops->reduce(recorder->inner, event, effects);
}

static void
free_recorder(struct ct_reducer *reducer)
{
    struct recorder *recorder = (struct recorder *)reducer;

    if (recorder->file != NULL) {
        fclose(recorder->file);
    }
    recorder->inner->ops->free(recorder->inner);
    g_free(recorder);
}

int
ct_recorder_new(const char *path, const struct ct_host_identity *self,
                struct ct_reducer *inner, struct ct_reducer **out)
{
    static const struct ct_reducer_ops ops = {
        .reduce = record_and_reduce,
        .free = free_recorder,
    };
    struct recorder *recorder;
    struct header header;
    FILE *file = fopen(path, "wbe");

    if (file == NULL) {
        return CT_ERR_IO;
    }
    set_header(&header, self);
    if (fwrite(&header, sizeof(header), 1, file) != 1) {
        fclose(file);
        return CT_ERR_IO;
    }
    recorder = g_new0(struct recorder, 1);
    recorder->reducer.ops = &ops;
    recorder->inner = inner;
    recorder->file = file;
    *out = &recorder->reducer;
    return CT_OK;
}

int
ct_recording_open(const char *path, struct ct_recording **out)
{
    struct header header;
    struct header expected;
    FILE *file = fopen(path, "rbe");

    if (file == NULL) {
        return CT_ERR_IO;
    }
    if (fread(&header, sizeof(header), 1, file) != 1) {
        fclose(file);
        return CT_ERR_IO;
    }
    set_header(&expected, &header.self);
    if (memcmp(header.magic, expected.magic, sizeof(header.magic)) != 0 ||
        header.event_size != expected.event_size ||
        header.pointer_size != expected.pointer_size) {
        fclose(file);
        return CT_ERR_VERSION;
    }
    *out = g_new0(struct ct_recording, 1);
    (*out)->file = file;
    (*out)->self = header.self;
    return CT_OK;
}

void
ct_recording_close(struct ct_recording *recording)
{
    fclose(recording->file);
    g_free(recording->rows);
    g_free(recording);
}

const struct ct_host_identity *
ct_recording_self(const struct ct_recording *recording)
{
    return &recording->self;
}

int
ct_recording_next(struct ct_recording *recording, struct ct_event *event)
{
    struct ct_rows *rows;
    size_t n = fread(event, 1, sizeof(*event), recording->file);
    uint64_t row_bytes;

    if (n != sizeof(*event)) {
        return n == 0 ? 0 : CT_ERR_DECODE;
    }
    rows = ct_event_rows(event);
    row_bytes = (uint64_t)rows->n * rows->row_size;
    g_clear_pointer(&recording->rows, g_free);
    rows->data = NULL;
    if (row_bytes == 0) {
        return 1;
    }
    if (row_bytes > ROWS_MAX_BYTES) {
        return CT_ERR_DECODE;
    }
    recording->rows = g_malloc(row_bytes);
    rows->data = recording->rows;
    if (fread(recording->rows, row_bytes, 1, recording->file) != 1) {
        return CT_ERR_DECODE;
    }
    return 1;
}

void
ct_effect_dump(const struct ct_effect *effect, GByteArray *out)
{
    struct ct_effect copy = *effect;
    size_t row_bytes = (size_t)copy.rows.n * copy.rows.row_size;

    copy.rows.data = NULL;
    switch (copy.type) {
    case CT_EFFECT_APPEND_LOG:
        copy.u.log_append.record.rows.data = NULL;
        break;
    case CT_EFFECT_SEND_PEER_MESSAGE:
        copy.u.peer.message.rows.data = NULL;
        break;
    default:
        break;
    }
    g_byte_array_append(out, (const guint8 *)&copy, sizeof(copy));
    if (row_bytes > 0) {
        g_byte_array_append(out, effect->rows.data, (guint)row_bytes);
    }
}
