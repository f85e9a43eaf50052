#include "config-finding.h"

struct kind_info {
    enum ct_finding_severity severity;
    const char *name;
};

static const struct kind_info kinds[] = {
#define X(kind, severity, name)                                               \
    [CT_FINDING_##kind] = {CT_SEVERITY_##severity, name},
    CT_FINDINGS(X)
#undef X
};

struct ct_finding *
ct_finding_add(GArray *findings, enum ct_finding_kind kind,
               enum ct_config_kind item, const char *name)
{
    struct ct_finding finding = {.kind = kind, .item = item};

    g_strlcpy(finding.name.text, name, sizeof(finding.name.text));
    g_array_append_val(findings, finding);
    return &g_array_index(findings, struct ct_finding, findings->len - 1);
}

enum ct_finding_severity
ct_finding_severity(enum ct_finding_kind kind)
{
    return kinds[kind].severity;
}

const char *
ct_finding_severity_name(enum ct_finding_kind kind)
{
    switch (kinds[kind].severity) {
    case CT_SEVERITY_ERROR:
        return "error";
    case CT_SEVERITY_WARNING:
        return "warning";
    default:
        return "info";
    }
}

const char *
ct_finding_kind_name(enum ct_finding_kind kind)
{
    return kinds[kind].name;
}

void
ct_finding_name_key(const struct ct_digest *digest, struct ct_name *name)
{
    for (guint i = 0; i < CT_FINDING_DIGEST_DIGITS / 2; i++) {
        g_snprintf(&name->text[i * 2], sizeof(name->text) - i * 2, "%02x",
                   digest->bytes[i]);
    }
}
