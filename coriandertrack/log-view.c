#include "log-view.h"

#include <sys/random.h>

#include "error.h"
#include "http-call.h"
#include "loop.h"
#include "platform-body.h"
#include "wait.h"

#define READ_ENTRIES_MAX 512
/*
 * Time that the platform waits for new entries before it responds to a read;
 * also the delay before a failed read is repeated.
 */
#define READ_WAIT_MS 500
#define STATUS_OK 200
#define STATUS_GONE 410

static ct_ms
now_ms(void)
{
    return ct_clock_steady_ms(ct_system_clock());
}

static int
apply_event(struct ct_log_view *view, struct ct_event *event)
{
    int err;

    event->now_ms = now_ms();
    event->wall_ms = ct_clock_wall_ms(ct_system_clock());
    ct_effects_clear(&view->effects);
    err = ct_reduce(view->state, event, &view->effects);
    for (uint32_t i = 0; i < view->effects.n; i++) {
        if (view->effects.items[i].type == CT_EFFECT_READ_LOG) {
            view->next_offset = view->effects.items[i].u.offset;
        }
    }
    return err;
}

static bool
is_appended_record(const struct ct_log_view *view,
                   const struct ct_record *record)
{
    return view->sequence > 0 && record->sequence == view->sequence &&
           ct_name_eq(&record->writer, &view->state->self.writer);
}

static int
apply_entry(struct ct_log_view *view, const struct ct_log_page_entry *entry)
{
    struct ct_event event = {.type = CT_EVENT_LOG_ENTRY};
    int err;

    view->next_offset = entry->offset + 1;
    event.u.entry.offset = entry->offset;
    event.u.entry.record = entry->decoded.record;
    err = apply_event(view, &event);
    if (is_appended_record(view, &entry->decoded.record) &&
        view->appended_offset == 0) {
        view->appended_offset = entry->offset;
        view->config_offset_after = view->state->config.offset;
    }
    return err;
}

static int
apply_page(struct ct_log_view *view, const struct ct_log_page *page)
{
    struct ct_event event = {.type = CT_EVENT_LOG_HEAD};
    int64_t expected;
    int err;

    event.u.head.head = page->head;
    event.u.head.first = page->first;
    expected = view->next_offset;
    err = apply_event(view, &event);
    for (guint i = 0; err == CT_OK && i < page->entries->len; i++) {
        /* The reducer may have set another offset to read from. */
        if (view->next_offset != expected) {
            break;
        }
        err = apply_entry(
            view, &g_array_index(page->entries, struct ct_log_page_entry, i));
        expected =
            g_array_index(page->entries, struct ct_log_page_entry, i).offset +
            1;
    }
    return err;
}

/* Reads and applies one page that starts at next_offset. */
static int
read_page(struct ct_log_view *view, ct_ms wait_ms)
{
    struct ct_http_response response;
    struct ct_log_page page;
    char path[128];
    int err;

    g_snprintf(path, sizeof(path),
               "/log/read?from=%" G_GINT64_FORMAT "&max=%d&wait_ms=%d",
               view->next_offset, READ_ENTRIES_MAX, (int)wait_ms);
    err = ct_http_call(view->platform, path, NULL, view->timeout_ms + wait_ms,
                       &response);
    if (err == CT_OK && response.status != STATUS_OK &&
        response.status != STATUS_GONE) {
        err = CT_ERR_IO;
    }
    if (err == CT_OK) {
        err = ct_log_page_parse(response.body->str, response.body->len, &page);
        if (err == CT_OK) {
            err = apply_page(view, &page);
        }
        ct_log_page_free(&page);
    }
    ct_http_response_free(&response);
    return err < 0 ? CT_ERR_LOG_UNAVAILABLE : CT_OK;
}

static int
read_to_head(struct ct_log_view *view)
{
    ct_ms deadline_ms = now_ms() + view->timeout_ms;
    int err;

    do {
        err = read_page(view, 0);
        if (err < 0) {
            return err;
        }
    } while (!view->state->log.ready && now_ms() < deadline_ms);
    return view->state->log.ready ? CT_OK : CT_ERR_LOG_UNAVAILABLE;
}

/* Each process has its own writer name: sequence numbers are never reused. */
static int
set_writer(struct ct_host_identity *self)
{
    char text[CT_NAME_MAX];
    uint64_t number;

    if (getrandom(&number, sizeof(number), 0) != sizeof(number)) {
        return CT_ERR_IO;
    }
    g_snprintf(text, sizeof(text), "operator/%016" G_GINT64_MODIFIER "x",
               number);
    return CT_TEXT_SET(self->writer, text);
}

int
ct_log_view_open(struct ct_log_view *view,
                 const struct ct_arguments *arguments)
{
    struct ct_host_identity self = {.seed = 0};
    int err;

    *view = (struct ct_log_view){
        .platform = arguments->platform,
        .timeout_ms = arguments->timeout_ms,
        .next_offset = 1,
    };
    ct_effects_init(&view->effects);
    err = set_writer(&self);
    if (err < 0) {
        return err;
    }
    view->state = ct_state_new(&self);
    return view->state ? read_to_head(view) : CT_ERR_NO_MEMORY;
}

void
ct_log_view_close(struct ct_log_view *view)
{
    ct_state_free(view->state);
    ct_effects_free(&view->effects);
}

/* Reads the log until the appended record is applied, or until a timeout. */
static int
find_appended_record(struct ct_log_view *view)
{
    ct_ms deadline_ms = now_ms() + view->timeout_ms;

    while (view->appended_offset == 0 && now_ms() < deadline_ms) {
        if (read_page(view, READ_WAIT_MS) < 0) {
            /* The log may become available before the timeout expires. */
            ct_wait_ms(READ_WAIT_MS);
        }
    }
    return view->appended_offset > 0 ? CT_OK : CT_ERR_TIMEOUT;
}

int
ct_log_view_append(struct ct_log_view *view, struct ct_record *record)
{
    struct ct_http_response response;
    GString *body = g_string_new(NULL);
    int err;

    record->writer = view->state->self.writer;
    record->sequence = ++view->sequence;
    record->wall_ms = ct_clock_wall_ms(ct_system_clock());
    view->appended_offset = 0;
    err = ct_append_body(record, body);
    if (err < 0) {
        goto out;
    }
    err = ct_http_call(view->platform, "/log/append", body, view->timeout_ms,
                       &response);
    /* An error status does not show whether the append took effect. */
    err = err < 0 && !response.sent ? CT_ERR_LOG_UNAVAILABLE
                                    : find_appended_record(view);
    ct_http_response_free(&response);
out:
    g_string_free(body, TRUE);
    return err;
}
