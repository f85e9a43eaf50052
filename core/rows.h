#ifndef CT_ROWS_H
#define CT_ROWS_H

#include <stdint.h>

/*
 * An array of flat rows that belongs to an event, effect or record. The array
 * of an event is valid only during the call that applies the event; the array
 * of an effect is owned by the effect list.
 */
struct ct_rows {
    const void *data;
    uint32_t n;
    uint32_t row_size;
};

#define CT_ROWS(array, count)                                                 \
    ((struct ct_rows){(array), (count), sizeof(*(array))})

#define CT_NO_ROWS ((struct ct_rows){0, 0, 0})

#endif
