#ifndef CT_WAIT_H
#define CT_WAIT_H

#include "clock.h"

/*
 * For programs that have no loop of their own, such as the command line:
 * waits for that many milliseconds in a libev loop of the calling thread.
 */
void ct_wait_ms(ct_ms ms);

#endif
