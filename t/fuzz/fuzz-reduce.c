/*
 * Feeds sequences of events to the reducers of several hosts and asserts the
 * invariants; see lib-world.h. The input is the list of choices.
 */
#include <string.h>

#include "lib-world.h"

/* Input bytes per step, about as many as the choices of a step consume. */
#define BYTES_PER_STEP 4

struct input {
    struct t_world_choices choices;
    const uint8_t *bytes;
    size_t n;
};

static guint32
next_choice(struct t_world_choices *choices, guint32 n)
{
    struct input *input = (struct input *)choices;
    guint32 value = 0;
    size_t width = n > 256 ? sizeof(value) : 1;

    if (input->n < width) {
        return 0;
    }
    memcpy(&value, input->bytes, width);
    input->bytes += width;
    input->n -= width;
    return value % n;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct input input = {
        .choices = {.next = next_choice},
        .bytes = bytes,
        .n = n,
    };
    struct t_world_stats stats = {0};

    t_world_run(&input.choices, (uint32_t)(n / BYTES_PER_STEP), &stats);
    return 0;
}
