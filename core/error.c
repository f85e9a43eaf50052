#include "error.h"

const char *
ct_err_name(int err)
{
    switch (err) {
#define X(name, value)                                                        \
    case value:                                                               \
        return #name;
        CT_ERRORS(X)
#undef X
    default:
        return "UNKNOWN";
    }
}
