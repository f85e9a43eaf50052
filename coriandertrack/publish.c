/* The command publish. */
#include <stdio.h>

#include "command.h"
#include "error.h"
#include "log-view.h"
#include "service-dirs.h"

static enum ct_exit
report_lost(int64_t offset)
{
    printf("lost to offset %" G_GINT64_FORMAT "\n", offset);
    return CT_EXIT_LOST;
}

static enum ct_exit
report_append_error(int err)
{
    if (err == CT_ERR_TIMEOUT) {
        fprintf(stderr, "coriandertrack: sent, but not found in the log yet; "
                        "it may still come into force\n");
        return CT_EXIT_UNKNOWN;
    }
    fprintf(stderr, "coriandertrack: nothing was published: %s\n",
            ct_err_name(err));
    return err == CT_ERR_LOG_UNAVAILABLE ? CT_EXIT_UNAVAILABLE
                                         : CT_EXIT_REFUSED;
}

/* Appends the configuration and reports the result of its replay. */
static enum ct_exit
append_config(struct ct_log_view *view, int64_t base_offset,
              const struct ct_service_files *files)
{
    struct ct_record record = {.type = CT_RECORD_CONFIG};
    int err;

    record.base_offset = base_offset;
    record.rows = (struct ct_rows){files->rows->data, files->rows->len,
                                   sizeof(struct ct_config_row)};
    err = ct_log_view_append(view, &record);
    if (err < 0) {
        return report_append_error(err);
    }
    if (view->config_offset_after == view->appended_offset) {
        printf("in force at offset %" G_GINT64_FORMAT "\n",
               view->appended_offset);
        return CT_EXIT_OK;
    }
    if (view->config_offset_after == base_offset) {
        fprintf(stderr, "coriandertrack: rejected by every host\n");
        return CT_EXIT_REFUSED;
    }
    return report_lost(view->config_offset_after);
}

static enum ct_exit
run_publish(const struct ct_arguments *arguments)
{
    struct ct_service_files files;
    struct ct_log_view view;
    enum ct_exit code = CT_EXIT_REFUSED;
    int64_t base_offset;
    int err;

    if (ct_service_dirs_load(arguments, &files) < 0) {
        ct_service_files_free(&files);
        return CT_EXIT_REFUSED;
    }
    err = ct_log_view_open(&view, arguments);
    if (err < 0) {
        code = report_append_error(err);
        goto out;
    }
    base_offset = view.state->config.offset;
    if ((arguments->given & CT_OPTION_BASE) &&
        arguments->base_offset != base_offset) {
        code = report_lost(base_offset);
        goto out;
    }
    code = append_config(&view, base_offset, &files);
out:
    ct_log_view_close(&view);
    ct_service_files_free(&files);
    return code;
}

static const struct ct_command_ops publish_ops = {run_publish};

const struct ct_command ct_command_publish = {
    .ops = &publish_ops,
    .name = "publish",
    .synopsis = "DIR... --platform=URL [--base=N] [--timeout=MS]",
    .summary = "put service files in force as the configuration",
    .text =
        "    Checks the files as the command check does and appends them\n"
        "    to the log as one record that names the configuration it is\n"
        "    based on: the one in force now, or that of --base. Then reads\n"
        "    the record back and prints \"in force at offset N\", or\n"
        "    \"lost to offset N\" if another operator's came first. If the\n"
        "    response is lost, the record is searched for in the log.\n",
    .options = CT_OPTION_PLATFORM | CT_OPTION_BASE | CT_OPTION_TIMEOUT,
    .required_options = CT_OPTION_PLATFORM,
    .min_words = 1,
    .max_words = INT32_MAX,
};
