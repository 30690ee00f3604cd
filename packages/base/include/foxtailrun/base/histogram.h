/* Histograms of durations with fixed buckets, stored as counters. */
#ifndef FOXTAILRUN_BASE_HISTOGRAM_H
#define FOXTAILRUN_BASE_HISTOGRAM_H

#include "clock.h"
#include "counter.h"

typedef struct fb_histogram fb_histogram_t;

/* Creates a histogram in COUNTERS, which must outlive it: NAME_bucket with LABELS and an upper
 * bound in us for each bucket, NAME_sum and NAME_count. */
fb_histogram_t *fb_create_histogram (fb_counters_t *counters, const char *name,
                                     const char *labels);

/* Frees HISTOGRAM; its counters stay. NULL is allowed. */
void fb_destroy_histogram (fb_histogram_t *histogram);

/* Adds one DURATION in ns; a negative one counts as 0. */
void fb_observe_time (fb_histogram_t *histogram, fb_time_t duration);

#endif
