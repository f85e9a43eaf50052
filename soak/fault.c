#include "fault.h"

#include <stdarg.h>
#include <stdio.h>

#include "lib-process.h"

#define INTERVAL_MIN_MS 300
#define INTERVAL_MAX_MS 4000
#define DURATION_MIN_MS 500
#define DURATION_MAX_MS 12000

struct faults {
    struct fault_world *world;
    const struct fault_plan *plan;
    GRand *random;
    /* struct fault; at most the plan's active_max. */
    GArray *active;
    int64_t next_ms;
    /* Name of a fault kind -> number of faults. */
    GHashTable *counts;
};

void
fault_violation(struct fault_world *world, const char *format, ...)
{
    va_list list;
    char *text;

    va_start(list, format);
    text = g_strdup_vprintf(format, list);
    va_end(list);
    g_atomic_int_inc(&world->violations);
    printf("%" G_GINT64_FORMAT " VIOLATION: %s\n", process_now_ms(), text);
    fflush(stdout);
    g_free(text);
}

struct faults *
faults_new(struct fault_world *world, const struct fault_plan *plan,
           uint32_t seed)
{
    struct faults *faults = g_new0(struct faults, 1);

    faults->world = world;
    faults->plan = plan;
    faults->random = g_rand_new_with_seed(seed);
    faults->active = g_array_new(FALSE, FALSE, sizeof(struct fault));
    faults->counts = g_hash_table_new(g_str_hash, g_str_equal);
    return faults;
}

bool
faults_is_target_active(const struct faults *faults, int target, int i)
{
    for (guint k = 0; k < faults->active->len; k++) {
        const struct fault *fault =
            &g_array_index(faults->active, struct fault, k);

        if (fault->kind->target == target && fault->target == i) {
            return true;
        }
    }
    return false;
}

static void
start_fault(struct faults *faults, const struct fault *fault)
{
    const char *name = fault->kind->name;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(faults->counts, name));

    if (fault->kind->disrupts_callers) {
        faults->world->ops->on_disruption(faults->world, fault, true);
    }
    fault->kind->start(faults->world, fault);
    g_hash_table_insert(faults->counts, (gpointer)name,
                        GINT_TO_POINTER(count + 1));
    printf("%" G_GINT64_FORMAT " %s %d\n", process_now_ms(), name,
           fault->target);
    fflush(stdout);
}

static void
end_fault(struct faults *faults, guint k)
{
    struct fault fault = g_array_index(faults->active, struct fault, k);

    fault.kind->end(faults->world, &fault);
    if (fault.kind->disrupts_callers) {
        faults->world->ops->on_disruption(faults->world, &fault, false);
    }
    printf("%" G_GINT64_FORMAT " end of %s %d\n", process_now_ms(),
           fault.kind->name, fault.target);
    fflush(stdout);
    g_array_remove_index_fast(faults->active, k);
}

static void
start_random_fault(struct faults *faults, int64_t now_ms)
{
    const struct fault_plan *plan = faults->plan;
    GRand *random = faults->random;
    struct fault fault = {
        .kind = &plan->kinds[g_rand_int_range(random, 0, plan->n_kinds)],
        .end_ms = now_ms +
                  g_rand_int_range(random, DURATION_MIN_MS, DURATION_MAX_MS)};

    fault.target =
        g_rand_int_range(random, 0, plan->targets[fault.kind->target]);
    faults->next_ms =
        now_ms + g_rand_int_range(random, INTERVAL_MIN_MS, INTERVAL_MAX_MS);
    if (faults_is_target_active(faults, fault.kind->target, fault.target)) {
        return;
    }
    g_array_append_val(faults->active, fault);
    start_fault(faults, &fault);
}

void
faults_step(struct faults *faults)
{
    int64_t now_ms = process_now_ms();

    for (guint k = faults->active->len; k > 0; k--) {
        if (now_ms >=
            g_array_index(faults->active, struct fault, k - 1).end_ms) {
            end_fault(faults, k - 1);
        }
    }
    if (now_ms >= faults->next_ms &&
        faults->active->len < (guint)faults->plan->active_max) {
        start_random_fault(faults, now_ms);
    }
}

void
faults_free(struct faults *faults)
{
    GHashTableIter iter;
    gpointer name;
    gpointer count;

    while (faults->active->len > 0) {
        end_fault(faults, faults->active->len - 1);
    }
    g_hash_table_iter_init(&iter, faults->counts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        printf("fault %s: %d\n", (const char *)name, GPOINTER_TO_INT(count));
    }
    g_hash_table_destroy(faults->counts);
    g_array_free(faults->active, TRUE);
    g_rand_free(faults->random);
    g_free(faults);
}
