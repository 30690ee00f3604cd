/* Two counts over a sliding window of FR_WINDOW, kept per key. */
#ifndef FOXTAILRUN_CALL_RETRY_WINDOW_H
#define FOXTAILRUN_CALL_RETRY_WINDOW_H

#include <foxtailrun/base/clock.h>
#include <glib.h>

#define FR_WINDOW (10 * FB_SECOND)
#define FR_WINDOW_PARTS 10

typedef struct
{
  uint64_t offered;
  uint64_t taken;
} fr_window_count_t;

typedef struct
{
  fr_window_count_t parts[FR_WINDOW_PARTS];
  fr_window_count_t sum;
  int64_t part;          /* number of the present part since the clock's zero */
  fb_time_t last_passed; /* FR_THROTTLE: when a call was last let through */
} fr_window_t;

/* Drops the parts that are over and returns the sum of the rest. */
const fr_window_count_t *fr_move_window (fr_window_t *window, fb_time_t now);

/* Adds to the present part. */
void fr_add_window (fr_window_t *window, fb_time_t now, uint64_t offered, uint64_t taken);

/* Returns the window of KEY, created when missing. */
fr_window_t *fr_find_window (GHashTable *windows, const char *key);

#endif
