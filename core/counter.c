#include "counter.h"

const char *
ct_counter_text(enum ct_counter counter)
{
    static const char *const texts[CT_COUNTER_COUNT] = {
#define X(name, text) [CT_COUNTER_##name] = (text),
        CT_COUNTERS(X)
#undef X
    };

    return counter < CT_COUNTER_COUNT ? texts[counter] : "unknown";
}
