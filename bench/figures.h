#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "world.h"

/* What a run has shown, over the requests that arrived after the warm-up. */

#define FIGURES_MAX (CLASSES_MAX + 10)

struct figure {
    gchar name[64];
    gdouble value;
    /* A smaller value is the better one. */
    gboolean less_is_better;
};

struct figures {
    struct figure items[FIGURES_MAX];
    guint n;
};

void figures_take(struct figures *figures, const struct world *world);

#endif
