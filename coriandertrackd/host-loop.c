#include "host-loop.h"

#include <glib.h>
#include <inttypes.h>
#include <sys/resource.h>

#include "error.h"
#include "recorder.h"

static uint64_t
random_number(void)
{
    return (uint64_t)g_random_int() << 32 | g_random_int();
}

void
ct_host_self(struct ct_self *self, const struct ct_name *host,
             const struct ct_name *zone)
{
    self->host = *host;
    self->zone = *zone;
    self->seed = random_number();
    g_snprintf(self->writer.text, sizeof(self->writer.text),
               "%.28s-%016" PRIx64, host->text, random_number());
}

int
ct_host_loop(const struct ct_self *self, const char *record,
             struct ct_state **state, struct ct_loop **loop)
{
    struct ct_reducer *reducer;
    int err = CT_OK;

    *state = ct_state_new(self);
    if (*state == NULL) {
        return CT_ERR_NO_MEMORY;
    }
    reducer = ct_state_reducer_new(*state);
    if (record != NULL) {
        err = ct_recorder_new(record, self, reducer, &reducer);
    }
    if (err < 0) {
        reducer->ops->free(reducer);
        return err;
    }
    *loop = ct_loop_new(reducer, ct_system_clock());
    return *loop != NULL ? CT_OK : CT_ERR_NO_MEMORY;
}

void
ct_host_raise_file_limit(void)
{
    struct rlimit files;

    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
}
