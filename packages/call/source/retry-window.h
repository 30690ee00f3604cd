/* Sliding windows of FR_WINDOW_LENGTH by key, each with two counts. The retry budget counts
 * first attempts (calls) and retries (granted). The throttle counts ended calls, including
 * those it refused (calls), and those admission accepted (granted). */
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
  fr_window_count_t sum;      /* of the buckets */
  int64_t bucket_number;      /* of the current bucket, counted from clock time 0 */
  fb_time_t last_admitted_at; /* throttle: time of the last call that it admitted */
  bool counted_separately;    /* throttle: the customer's calls are not counted in the shared
                                 window; false again when this window has no calls */
} fr_window_t;

typedef struct
{
  GHashTable *table; /* key -> fr_window_t */
  fb_time_t last_sweep_at;
} fr_windows_t;

/* Initializes WINDOWS, to be freed by fr_clear_windows. */
void fr_init_windows (fr_windows_t *windows);

void fr_clear_windows (fr_windows_t *windows);

/* Removes buckets expired at NOW; returns the sum of the others, borrowed. */
const fr_window_count_t *fr_advance_window (fr_window_t *window, fb_time_t now);

void fr_add_to_window (fr_window_t *window, fb_time_t now, uint64_t calls, uint64_t granted);

/* Subtracts the counts of WINDOW from TOTAL, which includes them. Both must be advanced to
 * the same time. */
void fr_subtract_window (fr_window_t *total, const fr_window_t *window);

/* Returns the window of KEY, created when missing, valid until the next call. Also frees
 * empty windows, at most once per FR_WINDOW_LENGTH. */
fr_window_t *fr_find_or_add_window (fr_windows_t *windows, const char *key, fb_time_t now);

size_t fr_count_windows (const fr_windows_t *windows);

#endif
