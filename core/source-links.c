#include "source-links.h"

#include <string.h>

#include "state.h"

/* Number of hosts in an availability zone for each source. */
#define HOSTS_PER_SOURCE 16
/*
 * Links that a source opens, which bounds its cost in groups with very many
 * small availability zones.
 */
#define LINKS_MAX 64

uint32_t
ct_sources_in_zone(uint32_t hosts)
{
    return hosts < CT_ZONE_HOSTS_MIN
               ? hosts
               : (hosts + HOSTS_PER_SOURCE - 1) / HOSTS_PER_SOURCE;
}

static gint
compare_host_names(gconstpointer a, gconstpointer b)
{
    const struct ct_member *const *first = a;
    const struct ct_member *const *second = b;

    return strcmp((*first)->host.text, (*second)->host.text);
}

GPtrArray *
ct_zone_members(const struct ct_state *state, const struct ct_name *zone,
                int *self)
{
    GPtrArray *members = g_ptr_array_new();
    const struct ct_group_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (row->missed_lists == 0 && ct_name_eq(&row->member.zone, zone)) {
            g_ptr_array_add(members, (gpointer)&row->member);
        }
    }
    g_ptr_array_sort(members, compare_host_names);
    *self = -1;
    for (guint i = 0; i < members->len; i++) {
        const struct ct_member *member = g_ptr_array_index(members, i);

        if (ct_name_eq(&member->host, &state->self.host)) {
            *self = (int)i;
        }
    }
    return members;
}

/* Whether the member is the first of its availability zone in the table. */
static bool
is_first_of_zone(const struct ct_state *state,
                 const struct ct_group_row *first)
{
    const struct ct_group_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL)) &&
           row != first) {
        if (ct_name_eq(&row->member.zone, &first->member.zone)) {
            return false;
        }
    }
    return true;
}

/* Adds the sources of a zone; returns whether this host is one of them. */
static bool
add_sources(const struct ct_state *state, const struct ct_name *zone,
            GArray *sources)
{
    int self;
    GPtrArray *members = ct_zone_members(state, zone, &self);
    uint32_t n = ct_sources_in_zone(members->len);

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_member *member = g_ptr_array_index(members, i);
        struct ct_host host;

        memset(&host, 0, sizeof(host));
        host.name = member->host;
        host.zone = member->zone;
        host.peer_address = member->peer_address;
        if ((int)i != self) {
            g_array_append_val(sources, host);
        }
    }
    g_ptr_array_free(members, TRUE);
    return self >= 0 && (uint32_t)self < n;
}

static gint
compare_sources(gconstpointer a, gconstpointer b)
{
    const struct ct_host *first = a;
    const struct ct_host *second = b;

    return strcmp(first->name.text, second->name.text);
}

GArray *
ct_source_links(const struct ct_state *state)
{
    GArray *sources = g_array_new(FALSE, FALSE, sizeof(struct ct_host));
    const struct ct_group_row *row;
    uint32_t cursor = 0;
    bool is_source = false;
    guint n = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (is_first_of_zone(state, row)) {
            is_source |= add_sources(state, &row->member.zone, sources);
        }
    }
    g_array_sort(sources, compare_sources);
    while (n < MIN(sources->len, LINKS_MAX) &&
           (!is_source ||
            strcmp(g_array_index(sources, struct ct_host, n).name.text,
                   state->self.host.text) < 0)) {
        n++;
    }
    g_array_set_size(sources, n);
    return sources;
}
