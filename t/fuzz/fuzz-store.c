/*
 * Bodies and entries of the platform's store are decoded, or rejected without
 * leaving rows behind. The first byte of the input selects the decoder.
 */
#include <glib.h>
#include <string.h>

#include "part-record-body.h"
#include "store-body.h"
#include "store-entry.h"

#define BODY_DECODERS 5
#define DECODERS 9

static void
on_record(void *arg, int64_t offset, const char *data, size_t n)
{
    char key[CT_STORE_KEY_MAX];
    const char *value;
    size_t value_bytes;

    (void)offset;
    (void)arg;
    if (ct_store_body_split_key(data, n, key, &value, &value_bytes) == 0) {
        g_assert_nonnull(memchr(key, '\0', sizeof(key)));
        g_assert_cmpuint(value_bytes, <=, n);
    }
}

static void
on_item(void *arg, const char *key, const char *value, size_t n)
{
    (void)arg;
    (void)value;
    (void)n;
    g_assert_cmpuint(strlen(key), <, CT_STORE_KEY_MAX);
}

static void
decode_body(uint8_t kind, const GByteArray *body)
{
    struct ct_store_records records;
    struct ct_store_page page;
    struct ct_store_join_done joined;
    GArray *members;
    int64_t first;

    switch (kind) {
    case 0:
        if (ct_store_body_records(body, 7, on_record, NULL, &records) == 0) {
            g_assert_cmpint(records.next, >=, 7);
        }
        return;
    case 1:
        ct_store_body_first_offset(body, &first);
        return;
    case 2:
        ct_store_body_page(body, &page, on_item, NULL);
        return;
    case 3:
        ct_store_body_joined(body, &joined);
        return;
    default:
        members = g_array_new(FALSE, TRUE, sizeof(struct ct_member));
        ct_store_body_members(body, members);
        g_array_free(members, TRUE);
        return;
    }
}

static void
decode_entry(uint8_t kind, const char *text, size_t n)
{
    struct ct_event event = {0};

    if (kind == 0) {
        if (ct_store_body_config(text, n, &event) == 0) {
            ct_store_body_clear(&event);
        }
        return;
    }
    if (kind == 1) {
        if (ct_store_body_upstream("i-1", text, n, &event) == 0) {
            ct_store_body_clear(&event);
        }
        return;
    }
    if (ct_part_record_parse(kind == 2 ? "crashed" : "part-1", text, n,
                             &event.u.part_record) == 0) {
        g_assert_cmpuint(event.u.part_record.parts.n, <=, CT_PROMPT_PARTS_MAX);
    }
}

/* A wrong use of GLib or json-glib is a failure. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    (void)argc;
    (void)argv;
    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    GByteArray *body;

    if (n < 1) {
        return 0;
    }
    if (bytes[0] % DECODERS >= BODY_DECODERS) {
        decode_entry(bytes[0] % DECODERS - BODY_DECODERS,
                     (const char *)bytes + 1, n - 1);
        return 0;
    }
    body = g_byte_array_new();
    g_byte_array_append(body, bytes + 1, (guint)(n - 1));
    decode_body(bytes[0] % DECODERS, body);
    g_byte_array_free(body, TRUE);
    return 0;
}
