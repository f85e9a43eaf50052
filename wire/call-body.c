#include "call-body.h"

#include <string.h>

#include "error.h"
#include "json-text.h"

#define BYTES_PER_TOKEN 4
#define MAX_TOKENS_MAX 10000000

struct prompt {
    char prefix[CT_PREFIX_BYTES];
    size_t prefix_bytes;
    size_t bytes;
};

static void
add_text(struct prompt *prompt, const char *text)
{
    size_t n = strlen(text);
    size_t room = sizeof(prompt->prefix) - prompt->prefix_bytes;
    size_t n_copied = n < room ? n : room;

    memcpy(prompt->prefix + prompt->prefix_bytes, text, n_copied);
    prompt->prefix_bytes += n_copied;
    prompt->bytes += n;
}

/* Adds the content of a list of parts; parts without a text are skipped. */
static int
add_parts(struct prompt *prompt, JsonArray *parts)
{
    for (guint i = 0; i < json_array_get_length(parts); i++) {
        JsonObject *part = ct_json_element_object(parts, i);
        const char *text;

        if (!part) {
            return CT_ERR_FIELD_TYPE;
        }
        text = ct_json_get_string(part, "text");
        if (text) {
            add_text(prompt, text);
        }
    }
    return CT_OK;
}

/* Content may be missing or null, as in messages with tool calls. */
static int
add_content(struct prompt *prompt, JsonNode *content)
{
    if (!content || JSON_NODE_HOLDS_NULL(content)) {
        return CT_OK;
    }
    if (JSON_NODE_HOLDS_ARRAY(content)) {
        return add_parts(prompt, json_node_get_array(content));
    }
    if (!JSON_NODE_HOLDS_VALUE(content) ||
        json_node_get_value_type(content) != G_TYPE_STRING) {
        return CT_ERR_FIELD_TYPE;
    }
    add_text(prompt, json_node_get_string(content));
    return CT_OK;
}

static int
add_message(struct prompt *prompt, JsonObject *message)
{
    if (!message) {
        return CT_ERR_FIELD_TYPE;
    }
    if (!ct_json_get_string(message, "role")) {
        return CT_ERR_FIELD_MISSING;
    }
    return add_content(prompt, json_object_get_member(message, "content"));
}

static int
read_messages(JsonObject *body, struct ct_call *call)
{
    JsonArray *messages = ct_json_get_array(body, "messages");
    struct prompt prompt = {.bytes = 0};
    int err;

    if (!messages || json_array_get_length(messages) == 0) {
        return CT_ERR_FIELD_MISSING;
    }
    for (guint i = 0; i < json_array_get_length(messages); i++) {
        err = add_message(&prompt, ct_json_element_object(messages, i));
        if (err < 0) {
            return err;
        }
    }
    call->prompt_tokens = (uint32_t)(prompt.bytes / BYTES_PER_TOKEN) + 1;
    call->prefix_hash = ct_hash_bytes(CT_HASH_SEED, prompt.prefix,
                                      (uint32_t)prompt.prefix_bytes);
    return CT_OK;
}

static int
read_model(JsonObject *body, struct ct_call *call)
{
    const char *model = ct_json_get_string(body, "model");

    if (!model) {
        return CT_ERR_FIELD_MISSING;
    }
    for (const char *p = model; *p; p++) {
        if (*p <= ' ' || *p > '~') {
            return CT_ERR_FIELD_RANGE;
        }
    }
    return CT_TEXT_SET(call->model, model) < 0 ? CT_ERR_FIELD_RANGE : CT_OK;
}

static int
accept_missing(int err)
{
    return err == CT_ERR_FIELD_MISSING ? CT_OK : err;
}

static int
read_body(JsonObject *body, struct ct_call *call)
{
    int64_t max_tokens = 0;
    int err;

    if (!body) {
        return CT_ERR_FIELD_TYPE;
    }
    err = read_model(body, call);
    if (err < 0) {
        return err;
    }
    err = accept_missing(ct_json_get_bool(body, "stream", &call->stream));
    if (err < 0) {
        return err;
    }
    err = ct_json_get_int(body, "max_tokens", 1, MAX_TOKENS_MAX, &max_tokens);
    if (err == CT_ERR_FIELD_MISSING) {
        err = accept_missing(ct_json_get_int(body, "max_completion_tokens", 1,
                                             MAX_TOKENS_MAX, &max_tokens));
    }
    if (err < 0) {
        return err;
    }
    call->max_tokens = (uint32_t)max_tokens;
    return read_messages(body, call);
}

int
ct_call_body_parse(const char *body, size_t n, struct ct_call *call)
{
    struct ct_json json;
    int err;

    ct_call_body_set_plain(n, call);
    call->kind = CT_CALL_CHAT;
    err = ct_json_parse(&json, body, n);
    if (err == CT_OK) {
        err = read_body(ct_json_object(&json), call);
    }
    ct_json_free(&json);
    return err;
}

void
ct_call_body_set_plain(size_t n, struct ct_call *call)
{
    call->kind = CT_CALL_PLAIN;
    memset(&call->model, 0, sizeof(call->model));
    call->stream = false;
    call->max_tokens = 0;
    call->prompt_tokens = 0;
    call->prefix_hash = 0;
    call->body_bytes = (uint32_t)n;
}
