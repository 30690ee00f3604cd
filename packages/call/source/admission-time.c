/* Service times by rank, by which admission plans new calls. */
#include "admission-state.h"
#include <math.h>

/* Upper estimate of a call's service time relative to the average; covers the usual spread. */
#define SERVICE_TIME_MARGIN 1.25

/* Fraction of the calls that end within the long service time. Under overload every accepted
 * call waits about as long as admission allows, so that about as many are in time. */
#define LONG_TIME_QUANTILE 0.85

/* Change of the logarithm of the long service time by one sample. */
#define LOG_TIME_STEP 0.1

/* First estimate of the long service time relative to the first sample. */
#define FIRST_MARGIN 1.35

void
fr_sample_call_time (rank_t *rank, fb_time_t service_time, bool goes_first)
{
  double time = (double)MAX (service_time, FB_MICROSECOND);
  double *log_long = &rank->log_long_service_times[goes_first];

  rank->service_time_ns
      = rank->service_time_ns > 0
            ? rank->service_time_ns
                  + ((double)service_time - rank->service_time_ns) * SERVICE_TIME_GAIN
            : (double)service_time;
  if (*log_long == 0)
    *log_long = log (time * FIRST_MARGIN);
  else if (log (time) > *log_long)
    *log_long += LOG_TIME_STEP * LONG_TIME_QUANTILE;
  else
    *log_long -= LOG_TIME_STEP * (1 - LONG_TIME_QUANTILE);
}

double
fr_get_planned_time (const rank_t *rank, bool goes_first)
{
  double log_long = rank->log_long_service_times[goes_first];

  return rank->options.plans_for_spread && log_long > 0
             ? exp (log_long)
             : rank->service_time_ns * SERVICE_TIME_MARGIN;
}
