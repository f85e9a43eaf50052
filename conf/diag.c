#include "diag.h"

#include "error.h"

struct err_text {
    int err;
    const char *text;
};

static const struct err_text err_texts[] = {
    {CT_ERR_IO, "cannot be read"},
    {CT_ERR_NOT_FOUND, "holds no service file (*.json)"},
    {CT_ERR_TOO_LARGE, "too large"},
    {CT_ERR_JSON_SYNTAX, "not a single JSON object with optional comments"},
    {CT_ERR_FIELD_UNKNOWN, "unknown field"},
    {CT_ERR_FIELD_DOUBLED, "duplicate field"},
    {CT_ERR_FIELD_MISSING, "missing"},
    {CT_ERR_FIELD_TYPE, "wrong type"},
    {CT_ERR_FIELD_RANGE, "value not allowed"},
    {CT_ERR_REFERENCE_UNKNOWN, "refers to a name that is not declared"},
    {CT_ERR_EXISTS, "declared twice"},
};

void
ct_diags_init(struct ct_diags *diags)
{
    diags->items = g_array_new(FALSE, TRUE, sizeof(struct ct_diag));
}

void
ct_diags_free(struct ct_diags *diags)
{
    g_clear_pointer(&diags->items, g_array_unref);
}

int
ct_diags_add(struct ct_diags *diags, int err, const char *file, uint32_t line,
             const char *field, const char *value)
{
    struct ct_diag diag = {.line = line, .err = err};

    g_strlcpy(diag.file, file, sizeof(diag.file));
    g_strlcpy(diag.field, field ? field : "", sizeof(diag.field));
    g_strlcpy(diag.value, value ? value : "", sizeof(diag.value));
    g_array_append_val(diags->items, diag);
    return err;
}

guint
ct_diags_count(const struct ct_diags *diags)
{
    return diags->items->len;
}

const struct ct_diag *
ct_diags_get(const struct ct_diags *diags, guint i)
{
    return &g_array_index(diags->items, struct ct_diag, i);
}

const char *
ct_diag_err_text(int err)
{
    for (size_t i = 0; i < G_N_ELEMENTS(err_texts); i++) {
        if (err_texts[i].err == err) {
            return err_texts[i].text;
        }
    }
    return ct_err_name(err);
}

void
ct_diag_format(const struct ct_diag *diag, GString *out)
{
    g_string_append(out, diag->file);
    if (diag->line > 0) {
        g_string_append_printf(out, ":%u", diag->line);
    }
    if (diag->field[0]) {
        g_string_append_printf(out, ": %s", diag->field);
    }
    g_string_append_printf(out, ": %s", ct_diag_err_text(diag->err));
    if (diag->value[0]) {
        g_string_append_printf(out, " (%s)", diag->value);
    }
}
