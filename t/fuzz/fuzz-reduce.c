/*
 * Sequences of events into the reducers of several hosts, with what must
 * always hold asserted; see lib-world.h. The input is the list of choices.
 */
#include <string.h>

#include "lib-world.h"

/* Input bytes for one step, about what a step's choices take. */
#define BYTES_A_STEP 4

struct input {
    struct t_world_choices choices;
    const uint8_t *bytes;
    size_t n;
};

static guint32
next_byte(struct t_world_choices *choices, guint32 n)
{
    struct input *input = (struct input *)choices;
    guint32 value = 0;
    size_t take = n > 256 ? sizeof(value) : 1;

    if (input->n < take) {
        return 0;
    }
    memcpy(&value, input->bytes, take);
    input->bytes += take;
    input->n -= take;
    return value % n;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct input input = {
        .choices = {.next = next_byte},
        .bytes = bytes,
        .n = n,
    };
    struct t_world_stats stats = {0};

    t_world_run(&input.choices, (uint32_t)(n / BYTES_A_STEP), &stats);
    return 0;
}
