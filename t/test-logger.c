/* Tests of logger.h: each event is written as one line of JSON. */
#include <glib.h>
#include <unistd.h>

#include "logger.h"

static void
test_line(void)
{
    struct ct_effect effect = {.type = CT_EFFECT_LOG_EVENT};
    struct ct_effect other = {.type = CT_EFFECT_DRAINED};
    struct ct_executor *logger;

    if (g_test_subprocess()) {
        ct_logger_install(STDERR_FILENO);
        logger = ct_logger_new();
        g_assert_false(logger->ops->run(logger, &other));
        effect.u.log.event = CT_LOG_REFUSED;
        CT_TEXT_SET(effect.u.log.request_id, "id-1");
        CT_TEXT_SET(effect.u.log.reason, "over\"load\n");
        effect.u.log.number = -3;
        effect.u.log.prompt_part = 0x91bd3f06;
        g_assert_true(logger->ops->run(logger, &effect));
        g_debug("not shown");
        g_message("shown");
        logger->ops->free(logger);
        return;
    }
    g_test_trap_subprocess(NULL, 0, 0);
    g_test_trap_assert_passed();
    g_test_trap_assert_stderr(
        "{\"wall_ms\":*,\"priority\":\"6\",\"message\":\"request refused\","
        "\"event\":\"1201\",\"name\":\"REFUSED\",\"request_id\":\"id-1\","
        "\"reason\":\"over\\\"load\\u000a\",\"number\":\"-3\","
        "\"prompt_part\":\"91bd3f06\"}\n"
        "{\"wall_ms\":*\"message\":\"shown\",*}\n");
    g_test_trap_assert_stderr_unmatched("*not shown*");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/logger/line", test_line);
    return g_test_run();
}
