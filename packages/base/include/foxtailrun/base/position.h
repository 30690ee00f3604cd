/* Positions in the change log of a store. */
#ifndef FOXTAILRUN_BASE_POSITION_H
#define FOXTAILRUN_BASE_POSITION_H

#include <stdint.h>

/* A store that is restored from a copy gives revisions out again, in a higher era: revisions of
 * two eras say nothing about each other. */
typedef struct
{
  uint64_t era;      /* 0 when the store names none */
  uint64_t revision; /* 0 for none */
} fb_position_t;

/* Orders positions by era, then revision: below, at or above 0. */
int fb_compare_positions (fb_position_t a, fb_position_t b);

/* Returns the higher, or the lower, of two positions. */
fb_position_t fb_get_later_position (fb_position_t a, fb_position_t b);
fb_position_t fb_get_earlier_position (fb_position_t a, fb_position_t b);

#endif
