#ifndef CT_WAIT_H
#define CT_WAIT_H

#include "clock.h"

/*
 * Blocks the calling thread for ms milliseconds in a libev loop of its own.
 * For programs without a struct ct_loop, such as the command-line tool.
 */
void ct_wait_ms(ct_ms ms);

#endif
