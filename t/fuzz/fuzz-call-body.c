/* Any body is parsed as a chat completion with a model, or rejected. */
#include <glib.h>
#include <string.h>

#include "call-body.h"
#include "error.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_call call = {.caller = 1};
    int err = ct_call_body_parse((const char *)bytes, n, &call);

    if (err == CT_OK) {
        g_assert_cmpint(call.kind, ==, CT_CALL_CHAT);
        g_assert_nonnull(memchr(call.model.text, '\0', CT_NAME_MAX));
        g_assert_cmpuint(call.prompt_tokens, >, 0);
    }
    g_assert_cmpuint(call.caller, ==, 1);
    return 0;
}
