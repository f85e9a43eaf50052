#include "load-body.h"

#include "error.h"
#include "json-text.h"

int
ct_load_body_parse(const char *text, size_t n, struct ct_load_report *report)
{
    struct ct_json json;
    JsonObject *object;
    int64_t running;
    int64_t waiting;
    int err = ct_json_parse(&json, text, n);

    if (err < 0) {
        goto out;
    }
    object = ct_json_object(&json);
    if (object == NULL) {
        err = CT_ERR_FIELD_TYPE;
        goto out;
    }
    err = ct_json_get_int(object, "running", 0, UINT32_MAX, &running);
    if (err == CT_OK) {
        err = ct_json_get_int(object, "waiting", 0, UINT32_MAX, &waiting);
    }
    if (err == CT_OK) {
        err = ct_json_get_int(object, "age_ms", 0, INT32_MAX, &report->age_ms);
    }
    if (err == CT_OK) {
        report->running = (uint32_t)running;
        report->waiting = (uint32_t)waiting;
    }
out:
    ct_json_free(&json);
    return err;
}
