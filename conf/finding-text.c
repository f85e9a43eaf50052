#include "finding-text.h"

#include <inttypes.h>

#include "diag.h"

static const char *
item_name(enum ct_config_kind item)
{
    switch (item) {
    case CT_CONFIG_POOL:
        return "service";
    case CT_CONFIG_PREFIX_ROUTE:
        return "route";
    case CT_CONFIG_ORGANISATION:
        return "organisation";
    case CT_CONFIG_KEY:
        return "key";
    case CT_CONFIG_ORDER_ZONE:
        return "zone of a service";
    default:
        return "limits";
    }
}

/* Returns what hosts do if the item or a part of it cannot be read. */
static const char *
left_out_result(const struct ct_finding *finding)
{
    switch (finding->item) {
    case CT_CONFIG_POOL:
        return finding->whole ? "hosts do not know the service"
                              : "hosts use the service without it";
    case CT_CONFIG_PREFIX_ROUTE:
        return "the route's calls are refused";
    case CT_CONFIG_ORGANISATION:
        return finding->whole ? "calls with its keys are refused"
                              : "hosts use the organisation without it";
    case CT_CONFIG_KEY:
        return "calls with the key are refused";
    case CT_CONFIG_ORDER_ZONE:
        return "nothing is ordered in the zone";
    default:
        return "the limits in force stay";
    }
}

static void
explain_left_out(const struct ct_finding *finding, GString *out)
{
    g_string_append(out, item_name(finding->item));
    if (finding->detail[0]) {
        g_string_append_printf(out, ": %s", finding->detail);
    }
    g_string_append_printf(out, ": %s; %s", ct_diag_err_text(finding->reason),
                           left_out_result(finding));
}

static void
explain_duplicate(const struct ct_finding *finding, GString *out)
{
    const char *result = "the last one counts";

    if (finding->item == CT_CONFIG_PREFIX_ROUTE) {
        result = "hosts log the second one under a number";
    }
    else if (finding->item == CT_CONFIG_ORGANISATION) {
        result = "the keys of both are valid, the last priority counts";
    }
    g_string_append_printf(out, "%s occurs twice; %s",
                           item_name(finding->item), result);
}

static void
explain_removed(const struct ct_finding *finding, GString *out)
{
    switch (finding->item) {
    case CT_CONFIG_PREFIX_ROUTE:
        if (finding->other.text[0]) {
            g_string_append_printf(
                out, "route removed; its calls take the route %s",
                finding->other.text);
        }
        else {
            g_string_append(out, "route removed; its callers are refused");
        }
        break;
    case CT_CONFIG_KEY:
        g_string_append_printf(
            out, "key of %s removed; callers that use it are refused",
            finding->other.text);
        break;
    case CT_CONFIG_ORGANISATION:
        g_string_append(out,
                        "organisation removed; callers with a key that it "
                        "alone has are refused");
        break;
    default:
        g_string_append_printf(out,
                               "%s removed; its upstreams get no calls and "
                               "none are ordered",
                               item_name(finding->item));
        break;
    }
}

static void
explain_difference(const struct ct_finding *finding, GString *out)
{
    switch (finding->kind) {
    case CT_FINDING_OLD_VERSION:
        g_string_append_printf(out,
                               "version %" PRId64
                               " is not greater than %" PRId64
                               " in force; hosts ignore the configuration",
                               finding->value, finding->limit);
        break;
    case CT_FINDING_ADDED:
        g_string_append(out, item_name(finding->item));
        if (finding->other.text[0]) {
            g_string_append_printf(out, " of %s", finding->other.text);
        }
        g_string_append(out, " added");
        break;
    case CT_FINDING_CHANGED:
        if (finding->item == CT_CONFIG_KEY) {
            g_string_append_printf(out, "key now belongs to %s",
                                   finding->other.text);
        }
        else {
            g_string_append_printf(out, "%s changed: %s",
                                   item_name(finding->item), finding->detail);
        }
        break;
    case CT_FINDING_REMOVED:
        explain_removed(finding, out);
        break;
    case CT_FINDING_KEYS_DROPPED:
        g_string_append(out, "no list of organisations any more; every caller "
                             "is served without a key");
        break;
    default:
        g_string_append(out, "keys are required from now on; callers without "
                             "one are refused");
        break;
    }
}

static void
explain_limit(const struct ct_finding *finding, GString *out)
{
    int64_t value = finding->value;
    int64_t limit = finding->limit;

    switch (finding->kind) {
    case CT_FINDING_TARGET_ABOVE_TIMEOUT:
        g_string_append_printf(out,
                               "target of %" PRId64
                               " ms is above the time limit of %" PRId64
                               " ms; no call that ends can miss it",
                               value, limit);
        break;
    case CT_FINDING_GAP_ABOVE_TIMEOUT:
        g_string_append_printf(out,
                               "target for the gap of %" PRId64
                               " ms is above the time limit of %" PRId64
                               " ms; it has no effect",
                               value, limit);
        break;
    case CT_FINDING_NO_ATTEMPTS:
        g_string_append(out, "0 attempts; hosts make one all the same");
        break;
    case CT_FINDING_RESUME_NO_STREAM:
        g_string_append(out,
                        "marked to be resumed but no stream; the mark has "
                        "no effect");
        break;
    case CT_FINDING_UNSAFE_ATTEMPTS:
        g_string_append_printf(out,
                               "%" PRId64
                               " attempts on an unsafe route; after "
                               "a failure that may have run the call, hosts "
                               "make no other",
                               value);
        break;
    case CT_FINDING_SCALING_BOUNDS:
        g_string_append_printf(out,
                               "lower bound %" PRId64
                               " of scaling is above the upper bound %" PRId64,
                               value, limit);
        break;
    case CT_FINDING_HEAD_LIMIT:
        g_string_append_printf(out,
                               "limit of %" PRId64
                               " bytes for a head is above the %" PRId64
                               " that a host can hold",
                               value, limit);
        break;
    default:
        g_string_append_printf(out,
                               "time limit of a head of %" PRId64
                               " ms is above the idle limit of %" PRId64 " ms",
                               value, limit);
        break;
    }
}

void
ct_finding_explain(const struct ct_finding *finding, GString *out)
{
    const char *other = finding->other.text;

    switch (finding->kind) {
    case CT_FINDING_LEFT_OUT:
        explain_left_out(finding, out);
        break;
    case CT_FINDING_UNKNOWN_SERVICE:
        g_string_append_printf(out,
                               "service %s does not exist; the route's calls "
                               "are refused",
                               other);
        break;
    case CT_FINDING_DUPLICATE_NAME:
        explain_duplicate(finding, out);
        break;
    case CT_FINDING_SHARED_KEY:
        g_string_append_printf(out,
                               "has a key that %s has too; only the last "
                               "organisation of the file holds it",
                               other);
        break;
    case CT_FINDING_REPEATED_KEY:
        g_string_append(out, "has the same key twice");
        break;
    case CT_FINDING_HIDDEN_ROUTE:
        g_string_append_printf(out,
                               "same host and prefix as route %s; only one of "
                               "the two gets calls",
                               other);
        break;
    case CT_FINDING_PREFIX_FORM:
        g_string_append(out, "prefix does not begin and end with a slash; no "
                             "call matches it");
        break;
    case CT_FINDING_ZERO_WEIGHT:
        g_string_append_printf(out, "service %s has weight 0 and gets no call",
                               other);
        break;
    case CT_FINDING_NO_WEIGHT:
        g_string_append(out, "no service of the route has a weight above 0; "
                             "its calls are refused");
        break;
    case CT_FINDING_UNUSED_SERVICE:
        g_string_append(out, "no route uses the service");
        break;
    case CT_FINDING_NO_KEYS:
        g_string_append(out, "organisation without a key; nobody can call as "
                             "it");
        break;
    case CT_FINDING_OLD_VERSION:
    case CT_FINDING_ADDED:
    case CT_FINDING_CHANGED:
    case CT_FINDING_REMOVED:
    case CT_FINDING_KEYS_DROPPED:
    case CT_FINDING_KEYS_DEMANDED:
        explain_difference(finding, out);
        break;
    default:
        explain_limit(finding, out);
        break;
    }
}
