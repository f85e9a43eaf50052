/* Tests of call-body.h: parsing and validation of request bodies. */
#include <glib.h>
#include <string.h>

#include "call-body.h"
#include "error.h"

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hall B?\"}]"

struct body_case {
    const char *body;
    int result;
    bool stream;
    uint32_t max_tokens;
    uint32_t prompt_tokens;
    const char *model;
};

static const struct body_case cases[] = {
    {"{\"model\":\"draft\"," MESSAGES "}", CT_OK, false, 0, 2, "draft"},
    {"{\"model\":\"draft\",\"stream\":true,\"max_tokens\":9," MESSAGES "}",
     CT_OK, true, 9, 2, "draft"},
    {"{\"model\":\"d\",\"max_completion_tokens\":7,\"messages\":[{\"role\":"
     "\"user\",\"content\":[{\"type\":\"text\",\"text\":\"0123456789\"},"
     "{\"type\":\"image_url\"}]}]}",
     CT_OK, false, 7, 3, "d"},
    {" {\"model\":\"d\",\"unknown\":[{}]," MESSAGES "}\n", CT_OK, false, 0, 2,
     "d"},
    {"{\"model\":\"d\",\"stream\":null,\"max_tokens\":null,\"messages\":[{"
     "\"role\":\"assistant\",\"content\":null},{\"role\":\"tool\"}]}",
     CT_OK, false, 0, 1, "d"},
    {"{\"model\":\"d\",\"messages\":[{\"role\":\"user\",\"content\":5}]}",
     CT_ERR_FIELD_TYPE},
    {"", CT_ERR_JSON_SYNTAX},
    {"{", CT_ERR_JSON_SYNTAX},
    {"null", CT_ERR_JSON_SYNTAX},
    {"[]", CT_ERR_FIELD_TYPE},
    {"{}", CT_ERR_FIELD_MISSING},
    {"{\"model\":\"d\"," MESSAGES "} {}", CT_ERR_JSON_SYNTAX},
    {"{\"model\":\"d\"," MESSAGES ",}", CT_ERR_JSON_SYNTAX},
    {"{/* */\"model\":\"d\"," MESSAGES "}", CT_ERR_JSON_SYNTAX},
    {"{\"model\":\"d\xff\"," MESSAGES "}", CT_ERR_JSON_SYNTAX},
    {"{\"model\":\"d\",\"model\":\"e\"," MESSAGES "}", CT_ERR_FIELD_DOUBLED},
    {"{\"model\":7," MESSAGES "}", CT_ERR_FIELD_MISSING},
    {"{\"model\":\"a\\nb\"," MESSAGES "}", CT_ERR_FIELD_RANGE},
    {"{\"model\":\"d\",\"stream\":1," MESSAGES "}", CT_ERR_FIELD_TYPE},
    {"{\"model\":\"d\",\"max_tokens\":0," MESSAGES "}", CT_ERR_FIELD_RANGE},
    {"{\"model\":\"d\",\"max_tokens\":\"9\"," MESSAGES "}", CT_ERR_FIELD_TYPE},
    {"{\"model\":\"d\"}", CT_ERR_FIELD_MISSING},
    {"{\"model\":\"d\",\"messages\":[]}", CT_ERR_FIELD_MISSING},
    {"{\"model\":\"d\",\"messages\":[3]}", CT_ERR_FIELD_TYPE},
    {"{\"model\":\"d\",\"messages\":[{\"content\":\"x\"}]}",
     CT_ERR_FIELD_MISSING},
};

/* A model's name that no configuration can contain. */
static void
test_long_model(void)
{
    g_autofree char *name = g_strnfill(CT_NAME_MAX, 'm');
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"%s\"," MESSAGES "}", name);
    struct ct_call call = {.caller = 5};

    g_assert_cmpint(ct_call_body_parse(body, strlen(body), &call), ==,
                    CT_ERR_FIELD_RANGE);
}

static void
test_chat(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct body_case *c = &cases[i];
        struct ct_call call = {.caller = 5};

        g_test_message("case %zu", i);
        g_assert_cmpint(ct_call_body_parse(c->body, strlen(c->body), &call),
                        ==, c->result);
        if (c->result != CT_OK) {
            continue;
        }
        g_assert_cmpint(call.kind, ==, CT_CALL_CHAT);
        g_assert_cmpuint(call.caller, ==, 5);
        g_assert_cmpstr(call.model.text, ==, c->model);
        g_assert_cmpint(call.stream, ==, c->stream);
        g_assert_cmpuint(call.max_tokens, ==, c->max_tokens);
        g_assert_cmpuint(call.prompt_tokens, ==, c->prompt_tokens);
        g_assert_cmpuint(call.body_bytes, ==, strlen(c->body));
    }
}

static uint64_t
prefix_hash(int prefix, const char *rest)
{
    g_autofree char *text = g_strnfill((gsize)prefix, 'a');
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"d\",\"messages\":[{\"role\":\"system\",\"content\":"
        "\"%s\"},{\"role\":\"user\",\"content\":\"%s\"}]}",
        text, rest);
    struct ct_call call = {0};

    g_assert_cmpint(ct_call_body_parse(body, strlen(body), &call), ==, CT_OK);
    return call.prefix_hash;
}

static void
test_prefix(void)
{
    g_assert_cmpuint(prefix_hash(CT_PREFIX_BYTES, "b"), ==,
                     prefix_hash(CT_PREFIX_BYTES, "c"));
    g_assert_cmpuint(prefix_hash(CT_PREFIX_BYTES - 1, "b"), !=,
                     prefix_hash(CT_PREFIX_BYTES - 1, "c"));
}

static void
test_plain(void)
{
    struct ct_call call = {.kind = CT_CALL_CHAT, .stream = true};

    ct_call_body_set_plain(12, &call);
    g_assert_cmpint(call.kind, ==, CT_CALL_PLAIN);
    g_assert_false(call.stream);
    g_assert_cmpuint(call.body_bytes, ==, 12);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call-body/long-model", test_long_model);
    g_test_add_func("/call-body/chat", test_chat);
    g_test_add_func("/call-body/prefix", test_prefix);
    g_test_add_func("/call-body/plain", test_plain);
    return g_test_run();
}
