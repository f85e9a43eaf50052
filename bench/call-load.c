#include "call-load.h"

#include <curl/curl.h>
#include <unistd.h>

/* Processes that generate the load of call_load_run_processes(). */
#define GENERATORS 4
#define CALL_TIMEOUT_MS 60000L
#define POLL_MS 1000
#define US_PER_S 1e6

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

void
call_result_sort(struct call_result *result)
{
    g_array_sort(result->first_byte_us, compare_doubles);
}

double
call_result_percentile(const struct call_result *result, double p)
{
    guint n = result->first_byte_us->len;

    g_assert_cmpuint(n, >, 0);
    return g_array_index(result->first_byte_us, double, (guint)((n - 1) * p));
}

struct call {
    CURL *easy;
    struct curl_slist *headers;
    gint64 start_us;
    /* Arrival of the first data of the body; 0 before it. */
    gint64 first_us;
};

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    struct call *call = arg;

    (void)data;
    if (call->first_us == 0) {
        call->first_us = g_get_monotonic_time();
    }
    return size * n;
}

static void
start_call(CURLM *multi, const struct call_load *load)
{
    static unsigned long next_id;
    struct call *call = g_new0(struct call, 1);
    char *url =
        g_strdup_printf("http://127.0.0.1:%u/v1/chat/completions", load->port);
    char *auth = g_strdup_printf("Authorization: Bearer %s", load->key);
    char *id = g_strdup_printf("X-Request-Id: bench-%d-%lu", (int)getpid(),
                               next_id++);

    call->headers = curl_slist_append(NULL, auth);
    call->headers = curl_slist_append(call->headers, id);
    call->easy = curl_easy_init();
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, load->body);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    call->start_us = g_get_monotonic_time();
    curl_multi_add_handle(multi, call->easy);
    g_free(url);
    g_free(auth);
    g_free(id);
}

static void
end_call(CURLM *multi, const CURLMsg *message, struct call_result *result)
{
    CURLcode code = message->data.result;
    struct call *call;
    double us;
    long status = 0;

    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (code == CURLE_OK && status == 200 && call->first_us != 0) {
        us = (double)(call->first_us - call->start_us);
        g_array_append_val(result->first_byte_us, us);
    }
    else {
        result->failed++;
    }
    curl_multi_remove_handle(multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    g_free(call);
}

void
call_load_run(const struct call_load *load, struct call_result *result)
{
    CURLM *multi = curl_multi_init();
    int started = 0;
    int running = 0;

    result->first_byte_us = g_array_new(FALSE, FALSE, sizeof(double));
    result->failed = 0;
    while (started < load->calls || running > 0) {
        CURLMsg *message;
        int left;

        while (running < load->concurrency && started < load->calls) {
            start_call(multi, load);
            started++;
            running++;
        }
        curl_multi_perform(multi, &left);
        while ((message = curl_multi_info_read(multi, &left)) != NULL) {
            end_call(multi, message, result);
            running--;
        }
        if (running == load->concurrency || started == load->calls) {
            curl_multi_poll(multi, NULL, 0, running > 0 ? POLL_MS : 0, NULL);
        }
    }
    call_result_sort(result);
    curl_multi_cleanup(multi);
}

double
call_load_run_processes(const struct call_load *load, int *failed)
{
    gint64 start_us = g_get_monotonic_time();
    struct call_load share = *load;
    int pipes[2];

    share.calls = load->calls / GENERATORS;
    share.concurrency = load->concurrency / GENERATORS;
    g_assert_no_errno(pipe(pipes));
    for (int i = 0; i < GENERATORS; i++) {
        if (fork() == 0) {
            struct call_result result;

            call_load_run(&share, &result);
            _exit(write(pipes[1], &result.failed, sizeof(int)) != sizeof(int));
        }
    }
    *failed = 0;
    for (int i = 0; i < GENERATORS; i++) {
        int part;

        g_assert_cmpint(read(pipes[0], &part, sizeof(part)), ==, sizeof(part));
        *failed += part;
    }
    close(pipes[0]);
    close(pipes[1]);
    return (double)(g_get_monotonic_time() - start_us) / US_PER_S;
}
