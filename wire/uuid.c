#include "uuid.h"

#include <glib.h>
#include <string.h>

#include "error.h"

#define UUID_CHARS 36
#define VERSION_INDEX 14
#define VARIANT_INDEX 19

void
ct_uuid7_format(ct_ms wall_ms, const uint8_t random[CT_UUID7_RANDOM_BYTES],
                struct ct_request_id *id)
{
    uint64_t tail = 0;
    unsigned a = (random[0] & 0x0fu) << 8 | random[1];
    unsigned b = 0x8000u | (random[2] & 0x3fu) << 8 | random[3];

    for (int i = 4; i < CT_UUID7_RANDOM_BYTES; i++) {
        tail = tail << 8 | random[i];
    }
    memset(id, 0, sizeof(*id));
    g_snprintf(id->text, sizeof(id->text),
               "%08x-%04x-7%03x-%04x-%012" G_GINT64_MODIFIER "x",
               (unsigned)((uint64_t)wall_ms >> 16) & 0xffffffffu,
               (unsigned)(wall_ms & 0xffff), a, b, tail);
}

int
ct_uuid7_parse(const char *text, ct_ms *wall_ms)
{
    ct_ms ms = 0;
    int digits = 0;

    if (strlen(text) != UUID_CHARS || text[VERSION_INDEX] != '7' ||
        strchr("89abAB", text[VARIANT_INDEX]) == NULL) {
        return CT_ERR_INVALID;
    }
    for (int i = 0; i < UUID_CHARS; i++) {
        if (i == 8 || i == 13 || i == 18 || i == 23) {
            if (text[i] != '-') {
                return CT_ERR_INVALID;
            }
            continue;
        }
        if (!g_ascii_isxdigit(text[i])) {
            return CT_ERR_INVALID;
        }
        if (digits++ < 12) {
            ms = ms << 4 | g_ascii_xdigit_value(text[i]);
        }
    }
    *wall_ms = ms;
    return CT_OK;
}
