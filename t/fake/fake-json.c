/* Access to JSON members, and the log of a fake. */
#include "fake-http.h"

#include <stdio.h>

int64_t
fake_json_int(JsonObject *object, const char *name, int64_t default_value)
{
    JsonNode *node = object ? json_object_get_member(object, name) : NULL;

    if (!node || !JSON_NODE_HOLDS_VALUE(node)) {
        return default_value;
    }
    if (json_node_get_value_type(node) == G_TYPE_BOOLEAN) {
        return json_node_get_boolean(node);
    }
    return json_node_get_int(node);
}

const char *
fake_json_text(JsonObject *object, const char *name)
{
    JsonNode *node = object ? json_object_get_member(object, name) : NULL;

    if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return "";
    }
    return json_node_get_string(node);
}

char *
fake_json_to_text(JsonObject *object)
{
    JsonNode *node = json_node_init_object(json_node_alloc(), object);
    char *text = json_to_string(node, FALSE);

    json_node_free(node);
    return text;
}

JsonObject *
fake_new_entry(const char *what)
{
    JsonObject *entry = json_object_new();

    json_object_set_string_member(entry, "what", what);
    json_object_set_int_member(entry, "at_ms", fake_now_ms());
    return entry;
}

void
fake_log_entry(struct fake_server *server, JsonObject *entry)
{
    if (server->log) {
        char *text = fake_json_to_text(entry);

        fprintf(server->log, "%s\n", text);
        fflush(server->log);
        g_free(text);
    }
    json_array_add_object_element(server->seen, entry);
}
