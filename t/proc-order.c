/*
 * Only one host at a time orders upstreams: a lease holder that was stopped
 * past the end of its term, and then continues, sends no more orders. Checked
 * by the calls that the platform received.
 */
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>

#include "lib-state.h"

#define ROLE_ORDERS 0

static struct deployment d;

/* Publishes a configuration whose engine pool has at least n upstreams. */
static void
publish_min_upstreams(int n)
{
    static const char kind[] = "\"kind\":\"engine\"";
    char *name = g_strdup_printf("want-%d", n);
    char *files = deployment_write_files(&d, name, 1);
    char *path = g_build_filename(files, "service.json", NULL);
    GString *text = g_string_new(NULL);
    char *before = NULL;
    char *bounds = g_strdup_printf(
        "%s,\"min_upstreams\":%d,\"max_upstreams\":12", kind, n);

    g_assert_true(g_file_get_contents(path, &before, NULL, NULL));
    g_string_assign(text, before);
    g_assert_cmpuint(g_string_replace(text, kind, bounds, 0), ==, 1);
    g_assert_true(g_file_set_contents(path, text->str, -1, NULL));
    g_assert_cmpint(DEPLOYMENT_COMMAND(&d, NULL, "publish", files), ==, 0);
    g_free(bounds);
    g_free(before);
    g_string_free(text, TRUE);
    g_free(path);
    g_free(files);
    g_free(name);
}

static int
count_orders(void)
{
    return HTTP_COUNT_SEEN(d.platform.port, "\"order\",\"at_ms\"");
}

/* The terms of the orders never decrease. */
static void
check_order_terms(void)
{
    char *text = http_get(d.platform.port, "/fake/seen");
    JsonNode *root = json_from_string(text, NULL);
    JsonArray *rows =
        json_object_get_array_member(json_node_get_object(root), "seen");
    int64_t newest_term = 0;

    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        int64_t term;

        if (strcmp(json_object_get_string_member(row, "what"), "order") != 0) {
            continue;
        }
        term = json_object_get_int_member(row, "term");
        g_test_message("order of term %" G_GINT64_FORMAT, term);
        g_assert_cmpint(term, >=, newest_term);
        newest_term = term;
    }
    json_node_free(root);
    g_free(text);
}

static void
test_holder_stopped(void)
{
    int holder;
    int orders;

    AWAIT(state_lease_holder(&d, ROLE_ORDERS, -1) >= 0, AWAIT_TIMEOUT_MS);
    holder = state_lease_holder(&d, ROLE_ORDERS, -1);
    publish_min_upstreams(3);
    AWAIT(count_orders() > 0, AWAIT_TIMEOUT_MS);
    /* The holder is stopped while it has an order to repeat. */
    deployment_set_platform(&d, "{\"lose_answers\":1000}");
    orders = count_orders();
    publish_min_upstreams(5);
    AWAIT(count_orders() > orders, AWAIT_TIMEOUT_MS);
    process_signal(&d.hosts[holder].process, SIGSTOP);
    deployment_set_platform(&d, "{\"lose_answers\":0}");
    AWAIT(state_lease_holder(&d, ROLE_ORDERS, holder) >= 0, AWAIT_TIMEOUT_MS);
    orders = count_orders();
    publish_min_upstreams(7);
    AWAIT(count_orders() > orders, AWAIT_TIMEOUT_MS);
    orders = count_orders();
    process_signal(&d.hosts[holder].process, SIGCONT);
    AWAIT(state_count_leases(&d, holder, "LEASE_LOST", ROLE_ORDERS) > 0,
          AWAIT_TIMEOUT_MS);
    publish_min_upstreams(9);
    AWAIT(count_orders() > orders, AWAIT_TIMEOUT_MS);
    check_order_terms();
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 2, 1);
    g_test_add_func("/order/holder-stopped", test_holder_stopped);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
