/* What one more call on an instance is expected to cost. */
#include "route-state.h"
#include <math.h>

/* Largest step, in the logarithm, that one more sample moves a latency by. A median moves by
 * the same step whatever the sample, so that a few long calls do not divert the others. */
#define LOG_LATENCY_STEP 0.05

/* A failed attempt counts as so many times the average latency. */
#define FAILURE_LATENCY_FACTOR 2.0

/* Range of the latencies taken as a sample. */
#define LATENCY_SAMPLE_MIN FB_MICROSECOND
#define LATENCY_SAMPLE_MAX (10 * FB_SECOND)

/* Without samples an average returns to that of the service within this time constant, so that
 * an instance that was slow once is tried again. */
#define LATENCY_DECAY_TIME (5 * FB_SECOND)

/* A reported load counts for this long. */
#define LOAD_REPORT_LIFETIME FB_SECOND

/* Largest load that counts: beyond that it is the length of the least urgent queue. */
#define LOAD_PERMILLE_MAX 2000

/* Weight of an idle instance relative to one with every slot in use, which has 1. */
#define IDLE_LOAD_FACTOR 0.5

/* Part that an instance gets at the begin of its slow start. */
#define SLOW_START_WEIGHT_MIN 0.1

/* Moves the median MEDIAN of logarithms one step towards SAMPLE; 0 stands for no sample yet. */
static double
step_median (double median, double sample)
{
  if (median == 0)
    return sample;
  return median + CLAMP (sample - median, -LOG_LATENCY_STEP, LOG_LATENCY_STEP);
}

void
fr_sample_latency (instance_t *instance, uint32_t rank, fb_time_t latency, bool failed,
                   fb_time_t now)
{
  double sample = log ((double)CLAMP (latency, LATENCY_SAMPLE_MIN, LATENCY_SAMPLE_MAX));
  rank_stats_t *traffic = &instance->rank_stats[rank];
  double *usual = &instance->service->log_latencies[rank];

  /* A failure is quick; without the penalty it would attract calls. */
  if (failed && traffic->log_latency > 0)
    sample = MIN (MAX (sample, traffic->log_latency + log (FAILURE_LATENCY_FACTOR)),
                  log ((double)LATENCY_SAMPLE_MAX));
  traffic->log_latency = step_median (traffic->log_latency, sample);
  traffic->latency_sampled_at = now;
  *usual = step_median (*usual, sample);
}

void
fr_sample_service_time (instance_t *instance, uint32_t rank, fb_time_t service)
{
  double sample = log ((double)CLAMP (service, LATENCY_SAMPLE_MIN, LATENCY_SAMPLE_MAX));

  instance->rank_stats[rank].log_service_time
      = step_median (instance->rank_stats[rank].log_service_time, sample);
  instance->service->log_service_times[rank]
      = step_median (instance->service->log_service_times[rank], sample);
}

bool
fr_is_full (const instance_t *instance, fb_time_t now)
{
  return instance->load >= 1000 && now - instance->load_reported_at < LOAD_REPORT_LIFETIME;
}

double
fr_get_slow_start_weight (const instance_t *instance, fb_time_t now)
{
  double part = (double)(now - instance->slow_start_begin) / (double)SLOW_START_DURATION;

  return CLAMP (part, SLOW_START_WEIGHT_MIN, 1.0);
}

double
fr_score_instance (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const rank_stats_t *traffic = &instance->rank_stats[rank];
  double latency = instance->service->log_latencies[rank];
  double load = IDLE_LOAD_FACTOR;
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= rank; i++)
    ahead += instance->rank_stats[i].in_flight;
  if (traffic->log_latency > 0)
    latency
        += (traffic->log_latency - latency)
           * exp (-(double)(now - traffic->latency_sampled_at) / (double)LATENCY_DECAY_TIME);
  if (now - instance->load_reported_at < LOAD_REPORT_LIFETIME)
    load += MIN (instance->load, LOAD_PERMILLE_MAX) * (1 - IDLE_LOAD_FACTOR) / 1000;
  return (ahead + 1) * exp (latency) * load;
}
