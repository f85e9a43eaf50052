/* Tests of response-store.h: who may write, and when bytes are freed. */
#include <glib.h>

#include "response-store.h"
#include "error.h"

static const struct ct_handle request = {4, 1};
static const struct ct_handle first = {1, 1};
static const struct ct_handle second = {2, 1};

static void
drop(struct ct_response_store *answers)
{
    struct ct_effect effect = {.type = CT_EFFECT_FREE_RESPONSE};
    struct ct_executor *executor = ct_response_store_executor(answers);

    effect.u.request = request;
    g_assert_true(executor->ops->run(executor, &effect));
}

static void
stop(struct ct_response_store *answers)
{
    struct ct_executor *executor = ct_response_store_executor(answers);

    executor->ops->free(executor);
}

static void
test_one_writer(void)
{
    struct ct_response_store *answers = ct_response_store_new();
    struct ct_handle reader;
    char out[16] = "";

    g_assert_cmpint(ct_response_store_begin_write(answers, request, first, 0),
                    ==, CT_ERR_NOT_FOUND);
    ct_response_store_bind_body(answers, request, 9);
    g_assert_cmpint(ct_response_store_begin_write(answers, request, first, 0),
                    ==, CT_OK);
    g_assert_cmpint(
        ct_response_store_append(answers, request, first, "abcd", 4), ==,
        CT_OK);
    g_assert_cmpint(ct_response_store_begin_write(answers, request, second, 4),
                    ==, CT_ERR_EXISTS);
    g_assert_cmpint(ct_response_store_append(answers, request, second, "X", 1),
                    ==, CT_ERR_EXISTS);
    ct_response_store_end_write(answers, request, second);
    g_assert_cmpint(ct_response_store_append(answers, request, first, "ef", 2),
                    ==, CT_OK);
    /* The second one goes on from what was passed on of the first. */
    ct_response_store_end_write(answers, request, first);
    g_assert_cmpint(ct_response_store_begin_write(answers, request, second, 7),
                    ==, CT_ERR_INVALID);
    g_assert_cmpint(ct_response_store_begin_write(answers, request, second, 3),
                    ==, CT_OK);
    g_assert_cmpint(ct_response_store_append(answers, request, first, "X", 1),
                    ==, CT_ERR_EXISTS);
    g_assert_cmpint(
        ct_response_store_append(answers, request, second, "DE", 2), ==,
        CT_OK);
    reader = ct_response_store_open_reader(answers, request);
    g_assert_cmpuint(ct_response_store_read(answers, reader, 1, out, 16), ==,
                     4);
    g_assert_cmpstr(out, ==, "bcDE");
    g_assert_cmpuint(ct_response_store_read(answers, reader, 5, out, 16), ==,
                     0);
    ct_response_store_close_reader(answers, reader);
    stop(answers);
}

static void
test_body_outlives_caller(void)
{
    struct ct_response_store *answers = ct_response_store_new();
    struct ct_stored_call *body = g_rc_box_new0(struct ct_stored_call);

    body->bytes = g_bytes_new_static("body", 4);
    ct_response_store_put_body(answers, 9, body);
    g_assert_true(ct_response_store_bind_body(answers, request, 9) == body);
    ct_response_store_drop_body(answers, 9);
    g_assert_true(ct_response_store_bind_body(answers, request, 9) == body);
    drop(answers);
    g_assert_cmpuint(ct_response_store_count(answers), ==, 0);
    g_assert_null(ct_response_store_bind_body(answers, request, 9));
    drop(answers);
    stop(answers);
}

static void
test_reader_outlives_drop(void)
{
    struct ct_response_store *answers = ct_response_store_new();
    struct ct_handle reader;
    char out[4];

    ct_response_store_bind_body(answers, request, 9);
    ct_response_store_begin_write(answers, request, first, 0);
    ct_response_store_append(answers, request, first, "abcd", 4);
    reader = ct_response_store_open_reader(answers, request);
    drop(answers);
    g_assert_cmpint(ct_response_store_append(answers, request, first, "e", 1),
                    ==, CT_ERR_EXISTS);
    g_assert_cmpuint(ct_response_store_read(answers, reader, 0, out, 4), ==,
                     4);
    ct_response_store_close_reader(answers, reader);
    g_assert_cmpuint(ct_response_store_count(answers), ==, 0);
    g_assert_cmpuint(ct_response_store_read(answers, reader, 0, out, 4), ==,
                     0);
    g_assert_true(
        ct_handle_is_none(ct_response_store_open_reader(answers, request)));
    stop(answers);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-store/one-writer", test_one_writer);
    g_test_add_func("/response-store/body-outlives-caller",
                    test_body_outlives_caller);
    g_test_add_func("/response-store/reader-outlives-drop",
                    test_reader_outlives_drop);
    return g_test_run();
}
