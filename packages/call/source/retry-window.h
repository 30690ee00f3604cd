/* Two counts over a sliding window of FR_WINDOW_LENGTH, kept per key. */
#ifndef FOXTAILRUN_CALL_RETRY_WINDOW_H
#define FOXTAILRUN_CALL_RETRY_WINDOW_H

#include <foxtailrun/base/clock.h>
#include <glib.h>
#include <stdbool.h>

#define FR_WINDOW_LENGTH (10 * FB_SECOND)
#define FR_WINDOW_BUCKETS 10

typedef struct
{
  uint64_t calls;
  uint64_t granted;
} fr_window_count_t;

typedef struct
{
  fr_window_count_t buckets[FR_WINDOW_BUCKETS];
  fr_window_count_t sum;
  int64_t bucket_number;      /* number of the present part since the clock's zero */
  fb_time_t last_admitted_at; /* throttle: when a call was last let through */
  bool counted_separately; /* throttle: counted apart from the small customers until it is empty
                            */
} fr_window_t;

/* Windows by key. */
typedef struct
{
  GHashTable *table; /* text -> fr_window_t */
  fb_time_t last_sweep_at;
} fr_windows_t;

/* Prepares WINDOWS; free with fr_clear_windows. */
void fr_init_windows (fr_windows_t *windows);

/* Frees all windows. */
void fr_clear_windows (fr_windows_t *windows);

/* Drops the parts that are over and returns the sum of the rest. */
const fr_window_count_t *fr_advance_window (fr_window_t *window, fb_time_t now);

/* Adds to the present part. */
void fr_add_to_window (fr_window_t *window, fb_time_t now, uint64_t offered, uint64_t taken);

/* Takes what PART counts out of WHOLE, where it was counted too; both were moved to the same
 * time. */
void fr_subtract_window (fr_window_t *whole, const fr_window_t *part);

/* Returns the window of KEY, created when missing; empty ones are freed from time to time. The
 * result is valid until the next call. */
fr_window_t *fr_find_window (fr_windows_t *windows, const char *key, fb_time_t now);

/* Returns the number of windows held. */
size_t fr_count_windows (const fr_windows_t *windows);

#endif
