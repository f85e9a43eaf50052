/*
 * Tests of response-store.h: a response has one writer at a time, and when its
 * bytes are freed.
 */
#include <glib.h>

#include "response-store.h"
#include "error.h"

static const struct ct_handle request = {4, 1};
static const struct ct_handle first_attempt = {1, 1};
static const struct ct_handle second_attempt = {2, 1};

static void
free_response(struct ct_response_store *store)
{
    struct ct_effect effect = {.type = CT_EFFECT_FREE_RESPONSE};
    struct ct_executor *executor = ct_response_store_executor(store);

    effect.u.request = request;
    g_assert_true(executor->ops->run(executor, &effect));
}

static void
free_store(struct ct_response_store *store)
{
    struct ct_executor *executor = ct_response_store_executor(store);

    executor->ops->free(executor);
}

static void
test_one_writer(void)
{
    struct ct_response_store *store = ct_response_store_new();
    struct ct_handle reader;
    char out[16] = "";

    g_assert_cmpint(
        ct_response_store_begin_write(store, request, first_attempt, 0), ==,
        CT_ERR_NOT_FOUND);
    ct_response_store_bind_body(store, request, 9);
    g_assert_cmpint(
        ct_response_store_begin_write(store, request, first_attempt, 0), ==,
        CT_OK);
    g_assert_cmpint(
        ct_response_store_append(store, request, first_attempt, "abcd", 4), ==,
        CT_OK);
    g_assert_cmpint(
        ct_response_store_begin_write(store, request, second_attempt, 4), ==,
        CT_ERR_EXISTS);
    g_assert_cmpint(
        ct_response_store_append(store, request, second_attempt, "X", 1), ==,
        CT_ERR_EXISTS);
    ct_response_store_end_write(store, request, second_attempt);
    g_assert_cmpint(
        ct_response_store_append(store, request, first_attempt, "ef", 2), ==,
        CT_OK);
    /*
     * The second attempt continues from the part of the first attempt's output
     * that was forwarded.
     */
    ct_response_store_end_write(store, request, first_attempt);
    g_assert_cmpint(
        ct_response_store_begin_write(store, request, second_attempt, 7), ==,
        CT_ERR_INVALID);
    g_assert_cmpint(
        ct_response_store_begin_write(store, request, second_attempt, 3), ==,
        CT_OK);
    g_assert_cmpint(
        ct_response_store_append(store, request, first_attempt, "X", 1), ==,
        CT_ERR_EXISTS);
    g_assert_cmpint(
        ct_response_store_append(store, request, second_attempt, "DE", 2), ==,
        CT_OK);
    reader = ct_response_store_open_reader(store, request);
    g_assert_cmpuint(ct_response_store_read(store, reader, 1, out, 16), ==, 4);
    g_assert_cmpstr(out, ==, "bcDE");
    g_assert_cmpuint(ct_response_store_read(store, reader, 5, out, 16), ==, 0);
    ct_response_store_close_reader(store, reader);
    free_store(store);
}

static void
test_body_outlives_caller(void)
{
    struct ct_response_store *store = ct_response_store_new();
    struct ct_stored_call *body = g_rc_box_new0(struct ct_stored_call);

    body->bytes = g_bytes_new_static("body", 4);
    ct_response_store_put_body(store, 9, body);
    g_assert_true(ct_response_store_bind_body(store, request, 9) == body);
    ct_response_store_drop_body(store, 9);
    g_assert_true(ct_response_store_bind_body(store, request, 9) == body);
    free_response(store);
    g_assert_cmpuint(ct_response_store_count(store), ==, 0);
    g_assert_null(ct_response_store_bind_body(store, request, 9));
    free_response(store);
    free_store(store);
}

static void
test_reader_outlives_response(void)
{
    struct ct_response_store *store = ct_response_store_new();
    struct ct_handle reader;
    char out[4];

    ct_response_store_bind_body(store, request, 9);
    ct_response_store_begin_write(store, request, first_attempt, 0);
    ct_response_store_append(store, request, first_attempt, "abcd", 4);
    reader = ct_response_store_open_reader(store, request);
    free_response(store);
    g_assert_cmpint(
        ct_response_store_append(store, request, first_attempt, "e", 1), ==,
        CT_ERR_EXISTS);
    g_assert_cmpuint(ct_response_store_read(store, reader, 0, out, 4), ==, 4);
    ct_response_store_close_reader(store, reader);
    g_assert_cmpuint(ct_response_store_count(store), ==, 0);
    g_assert_cmpuint(ct_response_store_read(store, reader, 0, out, 4), ==, 0);
    g_assert_true(
        ct_handle_is_none(ct_response_store_open_reader(store, request)));
    free_store(store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-store/one-writer", test_one_writer);
    g_test_add_func("/response-store/body-outlives-caller",
                    test_body_outlives_caller);
    g_test_add_func("/response-store/reader-outlives-response",
                    test_reader_outlives_response);
    return g_test_run();
}
