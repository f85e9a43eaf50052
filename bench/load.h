#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <glib.h>

#include "config-row.h"
#include "scenario.h"

/* The load of an example deployment: its classes and organisations. */

#define CLASSES_MAX 8
#define ORGANISATIONS_MAX 16

struct load_class {
    struct ct_class conf;
    struct ct_route route;
    gboolean plain;
    /* Requests per second. */
    gdouble per_s;
    /* Output tokens: mean, and standard deviation of the logarithm. */
    gdouble mean_tokens;
    gdouble sigma;
    guint prompt_tokens;
    /* Indices of the organisations that may call. */
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
    /*
     * Classes of the engines' pool: of the highest tier and of the lowest,
     * which the bursts use, and the one open to all organisations, which the
     * greedy organisation uses.
     */
    guint high_class;
    guint low_class;
    guint open_class;
    guint greedy_organisation;
    gdouble capacity_tokens_per_s;
};

/* Reads an example; exits with a message on failure. */
void load_read(struct load *load, const char *dir);
void load_free(struct load *load);

/* Requests per second of the class at that time, and a random caller. */
gdouble load_rate(const struct load *load, const struct scenario *scenario,
                  guint klass, ct_ms now_ms);
guint load_organisation(const struct load *load,
                        const struct scenario *scenario, guint klass,
                        ct_ms now_ms, GRand *random);
guint load_tokens(const struct load *load, guint klass, GRand *random);

#endif
