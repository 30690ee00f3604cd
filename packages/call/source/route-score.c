/* Score of an instance: the expected cost of another call. */
#include "route-state.h"
#include <foxtailrun/call/pace.h>
#include <math.h>

/* Largest change of a logarithmic latency by one sample. Independent of the sample's size,
 * so that a few long calls do not divert the others. */
#define LOG_LATENCY_STEP 0.05

/* A failed attempt counts as at least this multiple of the median latency. */
#define FAILURE_LATENCY_FACTOR 2.0

#define LATENCY_SAMPLE_MIN FB_MICROSECOND
#define LATENCY_SAMPLE_MAX (10 * FB_SECOND)

/* Time constant by which a median without samples decays to that of the service, so that an
 * instance that was slow is picked again. */
#define LATENCY_DECAY_TIME (5 * FB_SECOND)

#define LOAD_REPORT_LIFETIME FB_SECOND

/* Larger loads count as this: they are mostly the queue of the least urgent rank. */
#define LOAD_PERMILLE_MAX 2000

/* Cost factor of an idle instance; one with all slots in use has 1. */
#define IDLE_LOAD_FACTOR 0.5

#define SLOW_START_WEIGHT_MIN 0.1

/* Lifetime of a reported pace. An instance that got no call for so long has the time-based
 * weight again, so that it gets one and reports. */
#define PACE_REPORT_LIFETIME (3 * FB_SECOND)

/* Returns MEDIAN moved at most one step towards SAMPLE; 0 stands for no sample. */
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
  rank_stats_t *stats = &instance->rank_stats[rank];
  double *service_latency = &instance->service->log_latencies[rank];

  /* Failures are often fast; without the factor they would attract calls. */
  if (failed && stats->log_latency > 0)
    sample = MIN (MAX (sample, stats->log_latency + log (FAILURE_LATENCY_FACTOR)),
                  log ((double)LATENCY_SAMPLE_MAX));
  stats->log_latency = step_median (stats->log_latency, sample);
  stats->latency_sampled_at = now;
  *service_latency = step_median (*service_latency, sample);
}

void
fr_sample_service_time (instance_t *instance, uint32_t rank, fb_time_t service_time)
{
  double sample = log ((double)CLAMP (service_time, LATENCY_SAMPLE_MIN, LATENCY_SAMPLE_MAX));

  instance->rank_stats[rank].log_service_time
      = step_median (instance->rank_stats[rank].log_service_time, sample);
  instance->service->log_service_times[rank]
      = step_median (instance->service->log_service_times[rank], sample);
}

void
fr_sample_service_time_min (instance_t *instance, uint32_t rank, fb_time_t service_time)
{
  double median = instance->rank_stats[rank].log_service_time;

  if (median > 0 && log ((double)service_time) > median)
    fr_sample_service_time (instance, rank, service_time);
}

bool
fr_is_full (const instance_t *instance, fb_time_t now)
{
  return instance->load >= 1000 && now - instance->load_reported_at < LOAD_REPORT_LIFETIME;
}

bool
fr_has_pace (const instance_t *instance, fb_time_t now)
{
  return instance->pace_permille > 0 && now - instance->pace_reported_at < PACE_REPORT_LIFETIME;
}

double
fr_get_slow_start_weight (const instance_t *instance, fb_time_t now)
{
  double elapsed_fraction
      = (double)(now - instance->slow_start_begin) / (double)SLOW_START_DURATION;

  if (fr_has_pace (instance, now))
    return (double)instance->pace_permille / FR_PACE_PAR;
  /* Once at par, the slow start is over, also when no call brings another report. */
  if (instance->pace_permille == FR_PACE_PAR
      && instance->pace_reported_at >= instance->slow_start_begin)
    return 1;
  return CLAMP (elapsed_fraction, SLOW_START_WEIGHT_MIN, 1.0);
}

double
fr_score_instance (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const rank_stats_t *stats = &instance->rank_stats[rank];
  double latency = instance->service->log_latencies[rank];
  double load = IDLE_LOAD_FACTOR;
  uint32_t calls_ahead = 0;

  for (uint32_t i = 0; i <= rank; i++)
    calls_ahead += instance->rank_stats[i].in_flight;
  if (stats->log_latency > 0)
    latency += (stats->log_latency - latency)
               * exp (-(double)(now - stats->latency_sampled_at) / (double)LATENCY_DECAY_TIME);
  if (now - instance->load_reported_at < LOAD_REPORT_LIFETIME)
    load += MIN (instance->load, LOAD_PERMILLE_MAX) * (1 - IDLE_LOAD_FACTOR) / 1000;
  return (calls_ahead + 1) * exp (latency) * load;
}
