#ifndef SOAK_FAULT_H
#define SOAK_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Starts and ends random faults, several at a time, from a table of kinds. The
 * struct of each soak program has struct fault_world as its first member.
 */

struct fault;

struct fault_world;

struct fault_world_ops {
    /* Called before a disruptive fault starts and after it has ended. */
    void (*on_disruption)(struct fault_world *world, const struct fault *fault,
                          bool begins);
};

struct fault_world {
    const struct fault_world_ops *ops;
    /* Number of violations reported so far. */
    gint violations;
};

/* Prints and counts a violation. */
void fault_violation(struct fault_world *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

struct fault_kind {
    void (*start)(struct fault_world *world, const struct fault *fault);
    void (*end)(struct fault_world *world, const struct fault *fault);
    /* Type of the target: an index into the plan's table of targets. */
    int target;
    const char *name;
    /* JSON that sets a fake server's fault, and JSON that resets it. */
    const char *set_json;
    const char *reset_json;
    /* Callers may lose a connection or get no data. */
    bool disrupts_callers;
};

struct fault {
    const struct fault_kind *kind;
    /* Number of the target among those of its type. */
    int target;
    int64_t end_ms;
};

struct fault_plan {
    const struct fault_kind *kinds;
    int n_kinds;
    /* Number of targets of each type. */
    const int *targets;
    /* Limit of faults that are active at the same time. */
    int active_max;
};

struct faults;

struct faults *faults_new(struct fault_world *world,
                          const struct fault_plan *plan, uint32_t seed);
/* Starts and ends due faults. Call it on the thread that starts processes. */
void faults_step(struct faults *faults);
/* Ends all faults, prints the number of each kind and frees the object. */
void faults_free(struct faults *faults);
/* Whether a fault of this target is active. */
bool faults_is_target_active(const struct faults *faults, int target, int i);

#endif
