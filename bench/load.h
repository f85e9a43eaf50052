#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <glib.h>

#include "config-row.h"
#include "scenario.h"

/* A deployment of the examples and who asks it for what. */

#define CLASSES_MAX 8
#define ORGANISATIONS_MAX 16

struct load_class {
    struct ct_class conf;
    struct ct_route route;
    gboolean plain;
    /* Requests a second; output tokens: mean and spread of the logarithm. */
    gdouble per_s;
    gdouble mean_tokens;
    gdouble sigma;
    guint prompt_tokens;
    /* Numbers of organisations that may call, and their summed weight. */
    guint organisations[ORGANISATIONS_MAX];
    guint n_organisations;
};

struct load {
    /* struct ct_config_row */
    GArray *rows;
    struct load_class classes[CLASSES_MAX];
    guint n_classes;
    struct ct_organisation organisations[ORGANISATIONS_MAX];
    guint n_organisations;
    guint n_engines;
    /* Classes of the engines' pool that burst, and that a greedy one uses. */
    guint high;
    guint low;
    guint open;
    guint greedy;
    gdouble capacity_tokens_per_s;
};

/* Reads an example; exits with a message where that fails. */
void load_read(struct load *load, const char *dir);
void load_free(struct load *load);

/* Requests a second of the class at that time, and by whom. */
gdouble load_rate(const struct load *load, const struct scenario *scenario,
                  guint klass, ct_ms now_ms);
guint load_organisation(const struct load *load,
                        const struct scenario *scenario, guint klass,
                        ct_ms now_ms, GRand *random);
guint load_tokens(const struct load *load, guint klass, GRand *random);

#endif
