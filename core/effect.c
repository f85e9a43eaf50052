#include "effect.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

#define FIRST_CAP 16

static struct ct_effect scratch;

void
ct_effects_init(struct ct_effects *list)
{
    memset(list, 0, sizeof(*list));
}

void
ct_effects_clear(struct ct_effects *list)
{
    uint32_t i;

    for (i = 0; i < list->n; i++) {
        if (!list->items[i].rows_borrowed) {
            free((void *)list->items[i].rows.data);
        }
    }
    list->n = 0;
    list->err = CT_OK;
}

void
ct_effects_free(struct ct_effects *list)
{
    ct_effects_clear(list);
    free(list->items);
    memset(list, 0, sizeof(*list));
}

static int
grow_items(struct ct_effects *list)
{
    uint32_t cap = list->cap ? list->cap * 2 : FIRST_CAP;
    struct ct_effect *items;

    items = realloc(list->items, cap * sizeof(*items));
    if (!items) {
        return CT_ERR_NO_MEMORY;
    }
    list->items = items;
    list->cap = cap;
    return CT_OK;
}

struct ct_effect *
ct_effects_add(struct ct_effects *list, enum ct_effect_type type)
{
    struct ct_effect *effect = &scratch;

    if (list->n < list->cap || grow_items(list) == CT_OK) {
        effect = &list->items[list->n++];
    }
    else {
        list->err = CT_ERR_NO_MEMORY;
    }
    memset(effect, 0, sizeof(*effect));
    effect->type = type;
    return effect;
}

int
ct_effect_set_rows(struct ct_effects *list, struct ct_effect *effect,
                   struct ct_rows rows)
{
    size_t bytes = (size_t)rows.n * rows.row_size;
    void *data;

    if (bytes == 0 || effect == &scratch) {
        return CT_OK;
    }
    data = malloc(bytes);
    if (!data) {
        list->err = CT_ERR_NO_MEMORY;
        return CT_ERR_NO_MEMORY;
    }
    memcpy(data, rows.data, bytes);
    effect->rows = (struct ct_rows){data, rows.n, rows.row_size};
    return CT_OK;
}

const char *
ct_effect_name(enum ct_effect_type type)
{
    static const char *const names[] = {
        [CT_EFFECT_SCHEDULE_TICK] = "wake",
        [CT_EFFECT_WRITE_HEAD] = "write-head",
        [CT_EFFECT_WRITE_DATA] = "write-data",
        [CT_EFFECT_WRITE_END] = "write-end",
        [CT_EFFECT_REFUSE_REQUEST] = "refuse",
        [CT_EFFECT_REPLY_ADDRESSES] = "reply-addresses",
        [CT_EFFECT_REPLY_EXPLAIN] = "reply-explain",
        [CT_EFFECT_REDIRECT] = "redirect",
        [CT_EFFECT_REPLY_WITHDRAWAL] = "reply-withdrawn",
        [CT_EFFECT_START_ATTEMPT] = "start-attempt",
        [CT_EFFECT_CANCEL_ATTEMPT] = "cancel-attempt",
        [CT_EFFECT_FREE_RESPONSE] = "drop-answer",
        [CT_EFFECT_READ_LOG] = "read-log",
        [CT_EFFECT_APPEND_LOG] = "append",
        [CT_EFFECT_ORDER_UPSTREAM] = "order",
        [CT_EFFECT_REPORT_USAGE] = "report",
        [CT_EFFECT_SEND_PEER_MESSAGE] = "peer-send",
        [CT_EFFECT_SET_PEERS] = "peers",
        [CT_EFFECT_RELAY_START_ATTEMPT] = "relay-start",
        [CT_EFFECT_RELAY_CANCEL_ATTEMPT] = "relay-cancel",
        [CT_EFFECT_RELAY_FORWARD_RESPONSE] = "relay-forward",
        [CT_EFFECT_RELAY_ABORT_RESPONSE] = "relay-break",
        [CT_EFFECT_RELAY_DISCONNECT_CALLER] = "relay-disconnect",
        [CT_EFFECT_RELAY_READ_BODY] = "relay-read-body",
        [CT_EFFECT_SET_CALLER_LIMITS] = "caller-limits",
        [CT_EFFECT_STORE_READ] = "store-read",
        [CT_EFFECT_STORE_APPEND] = "store-append",
        [CT_EFFECT_STORE_APPEND_PARTS] = "store-append-parts",
        [CT_EFFECT_STORE_JOIN] = "store-join",
        [CT_EFFECT_STORE_LEAVE] = "store-leave",
        [CT_EFFECT_STORE_READ_MEMBERS] = "store-members",
        [CT_EFFECT_DUTY_REPORT_USAGE] = "duty-usage",
        [CT_EFFECT_DUTY_ORDER_UPSTREAMS] = "duty-order",
        [CT_EFFECT_DRAINED] = "drained",
        [CT_EFFECT_LOG_EVENT] = "log-event",
    };

    if (type < CT_EFFECT_SCHEDULE_TICK || type > CT_EFFECT_LOG_EVENT) {
        return "unknown";
    }
    return names[type];
}
