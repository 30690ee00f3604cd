/* What one more call on an instance is expected to cost. */
#include "route-state.h"
#include <math.h>

/* Largest step, in the logarithm, that one more sample moves a latency by. A median moves by
 * the same step whatever the sample, so that a few long calls do not divert the others. */
#define LATENCY_STEP 0.05

/* A failed attempt counts as so many times the average latency. */
#define FAILURE_PENALTY 2.0

/* Range of the latencies taken as a sample. */
#define LATENCY_MIN FB_MICROSECOND
#define LATENCY_MAX (10 * FB_SECOND)

/* Without samples an average returns to that of the service within this time constant, so that
 * an instance that was slow once is tried again. */
#define LATENCY_MEMORY (5 * FB_SECOND)

/* A reported load counts for this long. */
#define LOAD_MEMORY FB_SECOND

/* Largest load that counts: beyond that it is the length of the least urgent queue. */
#define LOAD_MAX 2000

/* Weight of an idle instance relative to one with every slot in use, which has 1. */
#define LOAD_BASE 0.5

/* Part that an instance gets at the begin of its slow start. */
#define WARMTH_MIN 0.1

/* Moves the median MEDIAN of logarithms one step towards SAMPLE; 0 stands for no sample yet. */
static double
move_median (double median, double sample)
{
  if (median == 0)
    return sample;
  return median + CLAMP (sample - median, -LATENCY_STEP, LATENCY_STEP);
}

void
fr_sample_latency (instance_t *instance, uint32_t rank, fb_time_t latency, bool failed,
                   fb_time_t now)
{
  double sample = log ((double)CLAMP (latency, LATENCY_MIN, LATENCY_MAX));
  traffic_t *traffic = &instance->ranks[rank];
  double *usual = &instance->service->latencies[rank];

  /* A failure is quick; without the penalty it would attract calls. */
  if (failed && traffic->latency > 0)
    sample = MIN (MAX (sample, traffic->latency + log (FAILURE_PENALTY)),
                  log ((double)LATENCY_MAX));
  traffic->latency = move_median (traffic->latency, sample);
  traffic->latency_time = now;
  *usual = move_median (*usual, sample);
}

void
fr_sample_service (instance_t *instance, uint32_t rank, fb_time_t service)
{
  double sample = log ((double)CLAMP (service, LATENCY_MIN, LATENCY_MAX));

  instance->ranks[rank].service = move_median (instance->ranks[rank].service, sample);
  instance->service->services[rank] = move_median (instance->service->services[rank], sample);
}

bool
fr_is_full (const instance_t *instance, fb_time_t now)
{
  return instance->load >= 1000 && now - instance->load_time < LOAD_MEMORY;
}

double
fr_get_warmth (const instance_t *instance, fb_time_t now)
{
  double part = (double)(now - instance->joined) / (double)SLOW_START;

  return CLAMP (part, WARMTH_MIN, 1.0);
}

double
fr_score_instance (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const traffic_t *traffic = &instance->ranks[rank];
  double latency = instance->service->latencies[rank];
  double load = LOAD_BASE;
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= rank; i++)
    ahead += instance->ranks[i].in_flight;
  if (traffic->latency > 0)
    latency += (traffic->latency - latency)
               * exp (-(double)(now - traffic->latency_time) / (double)LATENCY_MEMORY);
  if (now - instance->load_time < LOAD_MEMORY)
    load += MIN (instance->load, LOAD_MAX) * (1 - LOAD_BASE) / 1000;
  return (ahead + 1) * exp (latency) * load;
}
