#include "figures.h"

#include <string.h>

/* Price of a cheap upstream relative to a firm one. */
#define CHEAP_PRICE 0.4

struct sums {
    guint offered[CLASSES_MAX];
    guint attained[CLASSES_MAX];
    gdouble requested_tokens[ORGANISATIONS_MAX];
    gdouble good_tokens[ORGANISATIONS_MAX];
    gdouble good;
    gdouble good_cheap;
    gdouble generated;
};

/* Whether the caller got a complete response within all targets. */
static gboolean
attains_targets(const struct world *w, const struct request *r)
{
    const struct ct_class *klass = &w->load->classes[r->klass].conf;
    gint64 first_ms = (r->first_us - r->arrived_us) / 1000;
    gint64 total_ms = (r->last_us - r->arrived_us) / 1000;

    if (!r->complete || first_ms > klass->first_token_target_ms) {
        return FALSE;
    }
    if (klass->total_target_ms > 0 && total_ms > klass->total_target_ms) {
        return FALSE;
    }
    return klass->token_gap_target_ms == 0 || r->tokens < 2 ||
           total_ms - first_ms <=
               klass->token_gap_target_ms * ((gint64)r->tokens - 1);
}

static void
sum_requests(struct sums *sums, const struct world *w)
{
    memset(sums, 0, sizeof(*sums));
    for (guint i = 0; i < w->requests->len; i++) {
        const struct request *r =
            &g_array_index(w->requests, struct request, i);

        if (r->arrived_us < (gint64)WARM_UP_MS * 1000) {
            continue;
        }
        sums->offered[r->klass]++;
        sums->requested_tokens[r->organisation] += r->tokens;
        sums->generated += r->generated;
        if (!attains_targets(w, r)) {
            continue;
        }
        sums->attained[r->klass]++;
        sums->good_tokens[r->organisation] += r->tokens;
        sums->good += r->tokens;
        /* A retried request counts at most the tokens of its response. */
        sums->good_cheap += MIN(r->generated_cheap, r->tokens);
    }
}

static void
add_figure(struct figures *figures, const gchar *name, gdouble value,
           gboolean less_is_better)
{
    struct figure *figure = &figures->items[figures->n++];

    g_strlcpy(figure->name, name, sizeof(figure->name));
    figure->value = value;
    figure->less_is_better = less_is_better;
}

/*
 * The level at which the shares MIN(requested tokens, level * weight) of all
 * organisations add up to the capacity (max-min fairness by weight).
 */
static gdouble
fair_level(const struct world *w, const struct sums *sums, gdouble capacity)
{
    gdouble low = 0;
    gdouble high = capacity;

    for (guint round = 0; round < 60; round++) {
        gdouble level = (low + high) / 2;
        gdouble sum = 0;

        for (guint i = 0; i < w->load->n_organisations; i++) {
            sum += MIN(sums->requested_tokens[i],
                       level * w->load->organisations[i].weight);
        }
        if (sum < capacity) {
            low = level;
        }
        else {
            high = level;
        }
    }
    return low;
}

/* The smallest percentage of its fair share that an organisation got. */
static gdouble
worst_share_percent(const struct world *w, const struct sums *sums)
{
    gdouble level = fair_level(
        w, sums, w->load->capacity_tokens_per_s * MEASURED_MS / 1000);
    gdouble worst = 100;

    for (guint i = 0; i < w->load->n_organisations; i++) {
        gdouble fair = MIN(sums->requested_tokens[i],
                           level * w->load->organisations[i].weight);

        if (fair > 0) {
            worst = MIN(worst, 100 * sums->good_tokens[i] / fair);
        }
    }
    return worst;
}

static gdouble
price_per_s(const struct world *w)
{
    gdouble price = 0;

    for (guint i = 0; i < w->engines->len; i++) {
        const struct engine *engine =
            &g_array_index(w->engines, struct engine, i);

        if (!engine->plain) {
            price += engine->cheap ? CHEAP_PRICE : 1;
        }
    }
    return price;
}

void
figures_compute(struct figures *figures, const struct world *w)
{
    const gdouble seconds = MEASURED_MS / 1000.0;
    struct sums sums;
    guint inversions = 0;
    ct_ms longest_ms = 0;

    figures->n = 0;
    sum_requests(&sums, w);
    for (guint k = 0; k < w->load->n_classes; k++) {
        gchar name[64];

        g_snprintf(name, sizeof(name), "attained-%%/%s",
                   w->load->classes[k].conf.name.text);
        add_figure(figures, name,
                   100.0 * sums.attained[k] / MAX(1, sums.offered[k]), FALSE);
    }
    for (guint i = 0; i < TRACE_POOLS; i++) {
        const struct trace *t = &w->trace->traces[i];

        inversions += t->inversions;
        for (guint k = 0; k < TRACE_CLASSES; k++) {
            if (ct_name_eq(&t->classes[k].name,
                           &w->load->classes[w->load->low_class].conf.name)) {
                longest_ms = MAX(longest_ms, t->longest_wait_ms[k]);
            }
        }
    }
    add_figure(figures, "goodput-tokens/s", sums.good / seconds, FALSE);
    add_figure(figures, "wasted-%",
               100 * (sums.generated - sums.good) / MAX(1, sums.generated),
               TRUE);
    add_figure(figures, "worst-organisation-%", worst_share_percent(w, &sums),
               FALSE);
    add_figure(figures, "spend/1000-good-tokens",
               price_per_s(w) * seconds * 1000 / MAX(1, sums.good), TRUE);
    add_figure(figures, "good-on-cheap-%",
               100 * sums.good_cheap / MAX(1, sums.good), FALSE);
    add_figure(figures, "tier-inversions", inversions, TRUE);
    add_figure(figures, "longest-wait-lowest-ms", (gdouble)longest_ms, TRUE);
}
