#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "world.h"

/* Results of a run, over the requests that arrived after the warm-up. */

#define FIGURES_MAX (CLASSES_MAX + 10)

struct figure {
    gchar name[64];
    gdouble value;
    /* Whether a smaller value is better. */
    gboolean less_is_better;
};

struct figures {
    struct figure items[FIGURES_MAX];
    guint n;
};

void figures_compute(struct figures *figures, const struct world *world);

#endif
