#include "logger.h"

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "json-append.h"

/* Maximum number of fields of a message. */
#define FIELDS_MAX 19

static int log_fd = STDERR_FILENO;
static uint64_t dropped_lines;

struct entry {
    GLogField fields[FIELDS_MAX];
    gsize n;
    /* Buffers for numeric field values. */
    char numbers[FIELDS_MAX][24];
};

static void
add_field(struct entry *entry, const char *key, const char *value)
{
    if (value[0] != '\0') {
        entry->fields[entry->n++] = (GLogField){key, value, -1};
    }
}

/* Adds a numeric field unless its value is 0. */
static void
add_number(struct entry *entry, const char *key, int64_t value)
{
    char *text = entry->numbers[entry->n];

    if (value != 0) {
        g_snprintf(text, sizeof(entry->numbers[0]), "%" G_GINT64_FORMAT,
                   value);
        add_field(entry, key, text);
    }
}

/* Adds a field in hexadecimal unless its value is 0. */
static void
add_hex(struct entry *entry, const char *key, uint64_t value)
{
    char *text = entry->numbers[entry->n];

    if (value != 0) {
        g_snprintf(text, sizeof(entry->numbers[0]), "%" G_GINT64_MODIFIER "x",
                   value);
        add_field(entry, key, text);
    }
}

struct catalogue_row {
    enum ct_log_event event;
    const char *name;
    GLogLevelFlags level;
    const char *text;
};

#define LEVEL_INFO G_LOG_LEVEL_INFO
#define LEVEL_WARNING G_LOG_LEVEL_WARNING
/* GLib's error level aborts the process, so errors are logged as critical. */
#define LEVEL_ERROR G_LOG_LEVEL_CRITICAL

static const struct catalogue_row catalogue[] = {
#define X(name, number, level, text) {number, #name, LEVEL_##level, text},
    CT_LOG_EVENTS(X)
#undef X
};

static const struct catalogue_row *
find_catalogue_row(enum ct_log_event event)
{
    for (size_t i = 0; i < G_N_ELEMENTS(catalogue); i++) {
        if (catalogue[i].event == event) {
            return &catalogue[i];
        }
    }
    return NULL;
}

static const char *
get_priority(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
        return "3";
    case G_LOG_LEVEL_CRITICAL:
    case G_LOG_LEVEL_WARNING:
        return "4";
    case G_LOG_LEVEL_MESSAGE:
        return "5";
    case G_LOG_LEVEL_INFO:
        return "6";
    default:
        return "7";
    }
}

static void
log_event(const struct ct_log_effect *effect)
{
    const struct catalogue_row *row = find_catalogue_row(effect->event);
    struct entry entry = {.n = 0};
    char event[16];
    char number[24];

    if (row == NULL) {
        return;
    }
    g_snprintf(event, sizeof(event), "%d", (int)effect->event);
    g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, effect->number);
    add_field(&entry, "PRIORITY", get_priority(row->level));
    add_field(&entry, "MESSAGE", row->text);
    add_field(&entry, "EVENT", event);
    add_field(&entry, "NAME", row->name);
    add_field(&entry, "REQUEST_ID", effect->request_id.text);
    add_field(&entry, "SUBJECT", effect->name.text);
    add_field(&entry, "OTHER", effect->other.text);
    add_field(&entry, "REASON", effect->reason.text);
    add_field(&entry, "NUMBER", number);
    add_field(&entry, "UPSTREAM", effect->upstream.text);
    add_field(&entry, "OUTCOME", effect->outcome.text);
    add_hex(&entry, "PROMPT_PART", effect->prompt_part);
    add_number(&entry, "STATUS", effect->status);
    add_number(&entry, "ATTEMPTS", effect->attempts);
    add_number(&entry, "ELAPSED_MS", effect->elapsed_ms);
    add_number(&entry, "CONFIG_VERSION", effect->config_version);
    add_number(&entry, "KNOWLEDGE_AGE_MS", effect->config_age_ms);
    g_log_structured_array(row->level, entry.fields, entry.n);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    (void)executor;
    if (effect->type != CT_EFFECT_LOG_EVENT) {
        return false;
    }
    log_event(&effect->u.log);
    return true;
}

static void
free_logger(struct ct_executor *executor)
{
    g_free(executor);
}

struct ct_executor *
ct_logger_new(void)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_logger,
    };
    struct ct_executor *logger = g_new0(struct ct_executor, 1);

    logger->ops = &ops;
    return logger;
}

/*
 * Whether the field is written. Those with the position in the source code are
 * not, as the event number identifies it.
 */
static bool
is_logged_field(const char *key)
{
    return !g_str_has_prefix(key, "CODE_") &&
           strcmp(key, "GLIB_OLD_LOG_API") != 0;
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer arg)
{
    GString *line;

    (void)arg;
    if ((level & G_LOG_LEVEL_DEBUG) &&
        g_log_writer_default_would_drop(level, NULL)) {
        return G_LOG_WRITER_HANDLED;
    }
    line = g_string_new(NULL);
    g_string_printf(line, "{\"wall_ms\":%" G_GINT64_FORMAT,
                    g_get_real_time() / 1000);
    for (gsize i = 0; i < n; i++) {
        if (is_logged_field(fields[i].key)) {
            char *key = g_ascii_strdown(fields[i].key, -1);

            g_string_append_printf(line, ",\"%s\":", key);
            ct_json_append_string(line, fields[i].value, fields[i].length);
            g_free(key);
        }
    }
    g_string_append(line, "}\n");
    /* A single write, so that lines of several processes do not interleave. */
    if (write(log_fd, line->str, line->len) != (ssize_t)line->len) {
        dropped_lines++;
    }
    g_string_free(line, TRUE);
    return G_LOG_WRITER_HANDLED;
}

uint64_t
ct_logger_dropped_lines(void)
{
    return dropped_lines;
}

void
ct_logger_install(int fd)
{
    int flags = fcntl(fd, F_GETFL);

    log_fd = fd;
    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    g_log_set_writer_func(write_line, NULL, NULL);
}
