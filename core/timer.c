#include "timer.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

#define FIRST_CAP 64

void
ct_timers_init(struct ct_timers *timers)
{
    memset(timers, 0, sizeof(*timers));
}

void
ct_timers_free(struct ct_timers *timers)
{
    free(timers->heap);
    memset(timers, 0, sizeof(*timers));
}

static bool
is_before(const struct ct_timer *a, const struct ct_timer *b)
{
    if (a->due_ms != b->due_ms) {
        return a->due_ms < b->due_ms;
    }
    return a->sequence < b->sequence;
}

static void
swap_timers(struct ct_timer *a, struct ct_timer *b)
{
    struct ct_timer tmp = *a;

    *a = *b;
    *b = tmp;
}

static int
grow_heap(struct ct_timers *timers)
{
    uint32_t cap = timers->cap ? timers->cap * 2 : FIRST_CAP;
    struct ct_timer *heap = realloc(timers->heap, cap * sizeof(*heap));

    if (!heap) {
        return CT_ERR_NO_MEMORY;
    }
    timers->heap = heap;
    timers->cap = cap;
    return CT_OK;
}

int
ct_timers_add(struct ct_timers *timers, ct_ms due_ms, enum ct_timer_kind kind,
              struct ct_handle handle)
{
    uint32_t i;
    int err;

    if (timers->n == timers->cap) {
        err = grow_heap(timers);
        if (err < 0) {
            return err;
        }
    }
    i = timers->n++;
    timers->heap[i] = (struct ct_timer){
        .due_ms = due_ms,
        .sequence = timers->next_sequence++,
        .kind = kind,
        .handle = handle,
    };
    while (i > 0 && is_before(&timers->heap[i], &timers->heap[(i - 1) / 2])) {
        swap_timers(&timers->heap[i], &timers->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
    return CT_OK;
}

ct_ms
ct_timers_next_ms(const struct ct_timers *timers)
{
    return timers->n ? timers->heap[0].due_ms : CT_MS_NEVER;
}

static void
sift_down(struct ct_timers *timers)
{
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= timers->n) {
            return;
        }
        if (child + 1 < timers->n &&
            is_before(&timers->heap[child + 1], &timers->heap[child])) {
            child++;
        }
        if (!is_before(&timers->heap[child], &timers->heap[i])) {
            return;
        }
        swap_timers(&timers->heap[child], &timers->heap[i]);
        i = child;
    }
}

int
ct_timers_pop(struct ct_timers *timers, ct_ms now_ms, struct ct_timer *timer)
{
    if (timers->n == 0 || timers->heap[0].due_ms > now_ms) {
        return 0;
    }
    *timer = timers->heap[0];
    timers->heap[0] = timers->heap[--timers->n];
    sift_down(timers);
    return 1;
}
