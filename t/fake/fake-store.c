/*
 * Fake of the platform's store and of its interface for usage and orders, with
 * their published wire formats. POST /fake/put?topic=T&key=K writes an entry
 * as operators and upstreams do; an empty body removes it. POST
 * /fake/trim?topic=T trims the history of the topic.
 */
#include "fake-http.h"

#include <string.h>

#define PARTITIONS_PER_TOPIC 2
#define LENGTH_BYTES 4
#define READ_HEAD_BYTES 16
#define BYTES_PER_KB 1024
/* Size limit of a read response unless the call sets maxSize. */
#define DEFAULT_MAX_KB 1024

struct topic {
    /* GBytes, indexed by offset. */
    GPtrArray *records;
    /* Key -> offset of its newest record. */
    GHashTable *newest_offsets;
    /* Records before this offset have been trimmed. */
    guint first_offset;
};

struct member {
    char *name;
    ct_ms expires_ms;
};

struct waiter {
    struct ct_handle request;
    struct topic *topic;
    guint from;
    struct ev_timer timer;
    struct store *store;
};

struct store {
    struct fake_server server;
    GHashTable *topics;
    /* struct member */
    GPtrArray *members;
    GPtrArray *group_topics;
    int64_t generation;
    GPtrArray *waiters;
    int64_t down;
    int64_t fencing_token;
};

static const char *
query_argument(const struct fake_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

static struct topic *
get_topic(struct store *store, const char *name)
{
    struct topic *topic = g_hash_table_lookup(store->topics, name);

    if (topic == NULL) {
        topic = g_new0(struct topic, 1);
        topic->records =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
        topic->newest_offsets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(store->topics, g_strdup(name), topic);
    }
    return topic;
}

static void
append_big_endian(GString *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        g_string_append_c(out, (char)(value >> (8 * i)));
    }
}

/* Replies with the records that fit into maxSize KB, at least one. */
static void
reply_records(struct fake_request *request, const struct topic *topic,
              guint from)
{
    gsize max = (gsize)fake_query_int(request, "maxSize", DEFAULT_MAX_KB) *
                BYTES_PER_KB;

    fake_reply_text(request, MHD_HTTP_OK, "", 0);
    append_big_endian(request->out, topic->records->len, READ_HEAD_BYTES / 2);
    append_big_endian(request->out, topic->first_offset, READ_HEAD_BYTES / 2);
    for (guint i = from; i < topic->records->len; i++) {
        gsize n;
        const char *data =
            g_bytes_get_data(g_ptr_array_index(topic->records, i), &n);

        if (i > from && request->out->len + n > max) {
            break;
        }
        append_big_endian(request->out, n, LENGTH_BYTES);
        g_string_append_len(request->out, data, (gssize)n);
    }
}

/* Replies to a waiting read after its removal from store->waiters. */
static void
finish_read(struct waiter *waiter)
{
    struct store *store = waiter->store;
    struct fake_request *request =
        fake_find_request(&store->server, waiter->request);

    ev_timer_stop(store->server.loop, &waiter->timer);
    if (request != NULL) {
        reply_records(request, waiter->topic, waiter->from);
    }
    g_free(waiter);
}

static void
on_read_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    struct waiter *waiter = timer->data;

    (void)loop;
    (void)events;
    g_ptr_array_remove(waiter->store->waiters, waiter);
    finish_read(waiter);
}

static void
wake_readers(struct store *store, const struct topic *topic)
{
    for (guint i = store->waiters->len; i-- > 0;) {
        struct waiter *waiter = g_ptr_array_index(store->waiters, i);

        if (waiter->topic == topic) {
            g_ptr_array_remove_index(store->waiters, i);
            finish_read(waiter);
        }
    }
}

static void
handle_read(struct store *store, struct fake_request *request)
{
    struct topic *topic = get_topic(store, query_argument(request, "topic"));
    guint from = (guint)fake_query_int(request, "from", 0);
    int64_t wait_ms = fake_query_int(request, "waitMs", 0);
    struct waiter *waiter;

    if (from < topic->first_offset) {
        JsonObject *reply = json_object_new();

        json_object_set_int_member(reply, "firstOffset", topic->first_offset);
        fake_reply(request, MHD_HTTP_GONE, reply, 0);
        return;
    }
    if (from < topic->records->len || wait_ms == 0) {
        reply_records(request, topic, from);
        return;
    }
    waiter = g_new0(struct waiter, 1);
    waiter->store = store;
    waiter->request = request->handle;
    waiter->topic = topic;
    waiter->from = from;
    ev_timer_init(&waiter->timer, on_read_timeout, (double)wait_ms / 1e3, 0);
    waiter->timer.data = waiter;
    ev_timer_start(store->server.loop, &waiter->timer);
    g_ptr_array_add(store->waiters, waiter);
}

/* Appends the records of a body, each preceded by its length. */
static void
append_records(struct topic *topic, const GString *body)
{
    const guchar *next = (const guchar *)body->str;
    const guchar *end = next + body->len;

    while (end - next >= LENGTH_BYTES) {
        gsize n = 0;

        for (int i = 0; i < LENGTH_BYTES; i++) {
            n = n << 8 | next[i];
        }
        next += LENGTH_BYTES;
        n = MIN(n, (gsize)(end - next));
        g_ptr_array_add(topic->records, g_bytes_new(next, n));
        next += n;
    }
}

static void
handle_append(struct store *store, struct fake_request *request)
{
    struct topic *topic = get_topic(store, query_argument(request, "topic"));
    int64_t expected_offset = fake_query_int(request, "at", -1);
    JsonObject *reply = json_object_new();

    json_object_set_int_member(reply, "offset", topic->records->len);
    if (expected_offset >= 0 && expected_offset != topic->records->len) {
        json_object_set_int_member(reply, "endOffset", topic->records->len);
        fake_reply(request, MHD_HTTP_PRECONDITION_FAILED, reply, 0);
        return;
    }
    append_records(topic, request->body);
    json_object_set_int_member(reply, "endOffset", topic->records->len);
    fake_reply(request, MHD_HTTP_OK, reply, 0);
    wake_readers(store, topic);
}

static void
handle_put(struct store *store, struct fake_request *request)
{
    const char *name = query_argument(request, "topic");
    const char *key = query_argument(request, "key");
    struct topic *topic = get_topic(store, name);
    GString *record = g_string_new(NULL);

    g_string_append_c(record, (char)strlen(key));
    g_string_append(record, key);
    g_string_append_len(record, request->body->str,
                        (gssize)request->body->len);
    if (request->body->len > 0) {
        g_hash_table_replace(topic->newest_offsets, g_strdup(key),
                             GUINT_TO_POINTER(topic->records->len));
    }
    else {
        g_hash_table_remove(topic->newest_offsets, key);
    }
    g_ptr_array_add(topic->records, g_string_free_to_bytes(record));
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
    wake_readers(store, topic);
}

/* Trims the history of a topic to the newest record of each key. */
static void
handle_trim(struct store *store, struct fake_request *request)
{
    struct topic *topic = get_topic(store, query_argument(request, "topic"));

    topic->first_offset = topic->records->len;
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_newest(struct store *store, struct fake_request *request)
{
    struct topic *topic = get_topic(store, query_argument(request, "topic"));
    JsonObject *reply = json_object_new();
    JsonArray *items = json_array_new();
    gpointer key;
    gpointer offset;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, topic->newest_offsets);
    while (g_hash_table_iter_next(&iter, &key, &offset)) {
        JsonObject *item = json_object_new();
        size_t skip = strlen(key) + 1;
        gsize n;
        const guchar *data = g_bytes_get_data(
            g_ptr_array_index(topic->records, GPOINTER_TO_UINT(offset)), &n);
        char *value = g_base64_encode(data + skip, n - skip);

        json_object_set_string_member(item, "key", key);
        json_object_set_string_member(item, "value", value);
        json_object_set_int_member(item, "offset", GPOINTER_TO_UINT(offset));
        json_array_add_object_element(items, item);
        g_free(value);
    }
    json_object_set_array_member(reply, "items", items);
    json_object_set_boolean_member(reply, "hasMore", FALSE);
    json_object_set_int_member(reply, "endOffset", topic->records->len);
    fake_reply(request, MHD_HTTP_OK, reply, 0);
}

/* Removes members whose time to live has expired. */
static void
expire_members(struct store *store)
{
    guint i = 0;

    while (i < store->members->len) {
        struct member *member = g_ptr_array_index(store->members, i);

        if (member->expires_ms < fake_now_ms()) {
            g_ptr_array_remove_index(store->members, i);
            store->generation++;
        }
        else {
            i++;
        }
    }
}

static guint
find_member(struct store *store, const char *name)
{
    guint i = 0;

    while (
        i < store->members->len &&
        strcmp(((struct member *)g_ptr_array_index(store->members, i))->name,
               name) != 0) {
        i++;
    }
    return i;
}

/*
 * Rows of topic, partition, member and offset; with only_member, just the rows
 * of that member, without its name.
 */
static JsonArray *
build_assignments(struct store *store, const char *only_member)
{
    JsonArray *rows = json_array_new();

    for (guint i = 0; store->members->len > 0 &&
                      i < store->group_topics->len * PARTITIONS_PER_TOPIC;
         i++) {
        struct member *member =
            g_ptr_array_index(store->members, i % store->members->len);
        JsonArray *row = json_array_new();

        if (only_member != NULL && strcmp(member->name, only_member) != 0) {
            json_array_unref(row);
            continue;
        }
        json_array_add_string_element(
            row,
            g_ptr_array_index(store->group_topics, i / PARTITIONS_PER_TOPIC));
        json_array_add_int_element(row, i % PARTITIONS_PER_TOPIC);
        if (only_member == NULL) {
            json_array_add_string_element(row, member->name);
        }
        json_array_add_int_element(row, 0);
        json_array_add_array_element(rows, row);
    }
    return rows;
}

static void
handle_join(struct store *store, struct fake_request *request)
{
    const char *name = fake_json_text(request->json, "member");
    JsonArray *topics = json_object_get_array_member(request->json, "topics");
    JsonObject *reply = json_object_new();
    guint i;

    expire_members(store);
    i = find_member(store, name);
    if (i == store->members->len) {
        struct member *member = g_new0(struct member, 1);

        member->name = g_strdup(name);
        g_ptr_array_add(store->members, member);
        store->generation++;
    }
    for (guint t = store->group_topics->len; t < json_array_get_length(topics);
         t++) {
        g_ptr_array_add(store->group_topics,
                        g_strdup(json_array_get_string_element(topics, t)));
    }
    ((struct member *)g_ptr_array_index(store->members, i))->expires_ms =
        fake_now_ms() + fake_json_int(request->json, "ttlMs", 0);
    json_object_set_int_member(reply, "generation", store->generation);
    json_object_set_array_member(reply, "parts",
                                 build_assignments(store, name));
    fake_reply(request, MHD_HTTP_OK, reply, 0);
}

static void
handle_leave(struct store *store, struct fake_request *request)
{
    guint i = find_member(store, fake_json_text(request->json, "member"));

    if (i < store->members->len) {
        g_ptr_array_remove_index(store->members, i);
        store->generation++;
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_owners(struct store *store, struct fake_request *request)
{
    JsonObject *reply = json_object_new();

    expire_members(store);
    json_object_set_array_member(reply, "parts",
                                 build_assignments(store, NULL));
    fake_reply(request, MHD_HTTP_OK, reply, 0);
}

/* Handles usage reports and orders: logs them, rejects old fencing tokens. */
static void
handle_duty(struct store *store, struct fake_request *request)
{
    const char *fencing_token = fake_request_header(request, "Fencing-Token");
    int64_t token =
        fencing_token ? g_ascii_strtoll(fencing_token, NULL, 10) : -1;
    JsonObject *entry = fake_new_entry(request->path);

    json_object_set_string_member(entry, "body", request->body->str);
    json_object_set_int_member(entry, "fence", token);
    json_object_set_boolean_member(entry, "accepted",
                                   token >= store->fencing_token);
    fake_log_entry(&store->server, entry);
    if (token < store->fencing_token) {
        fake_reply(request, MHD_HTTP_CONFLICT, NULL, 0);
        return;
    }
    store->fencing_token = token;
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    static const struct {
        const char *path;
        void (*handle)(struct store *store, struct fake_request *request);
    } routes[] = {
        {"/v1/log-read", handle_read},     {"/v1/log-append", handle_append},
        {"/v1/log-newest", handle_newest}, {"/v1/log-join", handle_join},
        {"/v1/log-leave", handle_leave},   {"/v1/log-owners", handle_owners},
        {"/usage", handle_duty},           {"/scale", handle_duty},
        {"/fake/put", handle_put},         {"/fake/trim", handle_trim},
    };
    struct store *store = (struct store *)server;

    if (store->down && !g_str_has_prefix(request->path, "/fake/")) {
        fake_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "down");
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(request->path, routes[i].path) == 0) {
            routes[i].handle(store, request);
            return;
        }
    }
    fake_reply_error(request, MHD_HTTP_NOT_FOUND, "no such call");
}

static void
free_member(gpointer data)
{
    g_free(((struct member *)data)->name);
    g_free(data);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle_request};
    static struct store store;
    const struct fake_setting settings[] = {{"down", &store.down},
                                            {NULL, NULL}};

    store.server.ops = &ops;
    store.server.settings = settings;
    store.topics = g_hash_table_new(g_str_hash, g_str_equal);
    store.members = g_ptr_array_new_with_free_func(free_member);
    store.group_topics = g_ptr_array_new();
    store.waiters = g_ptr_array_new();
    return fake_main(&store.server, argc, (const char **)argv, NULL);
}
