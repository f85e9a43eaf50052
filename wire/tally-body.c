#include "tally-body.h"

#include "error.h"
#include "json-append.h"
#include "json-text.h"

void
ct_tally_body(const struct ct_tally *tally, struct ct_rows rows, GString *out)
{
    const struct ct_tally_row *row = rows.data;

    g_string_append_printf(
        out, "{\"window\":%" G_GINT64_FORMAT ",\"writer\":", tally->window);
    ct_json_append_string(out, tally->writer.text, -1);
    g_string_append_printf(out,
                           ",\"sequence\":%" G_GUINT64_FORMAT
                           ",\"closes\":%s,\"ends\":%s,\"requests\":{",
                           tally->sequence, tally->closes ? "true" : "false",
                           tally->ends ? "true" : "false");
    for (uint32_t i = 0; i < rows.n; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        ct_json_append_string(out, row[i].organisation.text, -1);
        g_string_append_printf(out, ":%" G_GUINT64_FORMAT, row[i].requests);
    }
    g_string_append(out, "}}");
}

static int
parse_rows(JsonObject *counts, GArray *rows)
{
    g_autoptr(GList) names = json_object_get_members(counts);

    for (GList *item = names; item; item = item->next) {
        struct ct_tally_row row = {.requests = 0};
        int64_t requests;
        int err =
            ct_json_get_int(counts, item->data, 0, G_MAXINT64, &requests);

        if (err == CT_OK) {
            err = CT_TEXT_SET(row.organisation, item->data);
        }
        if (err < 0) {
            return err;
        }
        row.requests = (uint64_t)requests;
        g_array_append_val(rows, row);
    }
    return CT_OK;
}

static int
parse_tally(JsonObject *object, struct ct_tally *tally, GArray *rows)
{
    const char *writer;
    int64_t sequence = 0;
    int err;

    if (object == NULL || !json_object_has_member(object, "requests")) {
        return CT_ERR_FIELD_MISSING;
    }
    if (!JSON_NODE_HOLDS_OBJECT(json_object_get_member(object, "requests"))) {
        return CT_ERR_FIELD_TYPE;
    }
    writer = ct_json_get_string(object, "writer");
    if (writer == NULL) {
        return CT_ERR_FIELD_MISSING;
    }
    err = ct_json_get_int(object, "window", 0, G_MAXINT64, &tally->window);
    if (err == CT_OK) {
        err = ct_json_get_int(object, "sequence", 0, G_MAXINT64, &sequence);
    }
    if (err == CT_OK) {
        err = ct_json_get_bool(object, "closes", &tally->closes);
    }
    if (err == CT_OK) {
        err = ct_json_get_bool(object, "ends", &tally->ends);
    }
    if (err == CT_OK) {
        err = CT_TEXT_SET(tally->writer, writer);
    }
    if (err < 0) {
        return err;
    }
    tally->sequence = (uint64_t)sequence;
    return parse_rows(json_object_get_object_member(object, "requests"), rows);
}

int
ct_tally_body_parse(const char *text, size_t n, struct ct_tally *tally,
                    GArray *rows)
{
    struct ct_json json;
    int err = ct_json_parse(&json, text, n);

    if (err == CT_OK) {
        err = parse_tally(ct_json_object(&json), tally, rows);
    }
    ct_json_free(&json);
    return err;
}
