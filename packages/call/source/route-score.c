/* What one more call on an instance is expected to cost. */
#include "route-state.h"
#include <math.h>

/* Weight of a sample above and below the average: a slowdown is believed at once. */
#define LATENCY_GAIN_UP 0.3
#define LATENCY_GAIN_DOWN 0.1

/* A failed attempt counts as so many times the average latency. */
#define FAILURE_PENALTY 2.0

/* Longest latency taken as a sample. */
#define LATENCY_MAX (10 * FB_SECOND)

/* Without samples an average returns to that of the service within this time constant, so that
 * an instance that was slow once is tried again. */
#define LATENCY_MEMORY (5 * FB_SECOND)

/* A reported load counts for this long. */
#define LOAD_MEMORY FB_SECOND

/* Weight of an idle instance relative to one with every slot in use, which has 1. */
#define LOAD_BASE 0.5

/* Part that an instance gets at the begin of its slow start. */
#define WARMTH_MIN 0.1

void
fr_sample_latency (instance_t *instance, fb_time_t latency, bool failed, fb_time_t now)
{
  double sample = (double)CLAMP (latency, 1, LATENCY_MAX);

  if (failed && instance->latency > 0)
    sample = MIN (MAX (sample, instance->latency * FAILURE_PENALTY), (double)LATENCY_MAX);
  if (instance->latency == 0)
    instance->latency = sample;
  else
    instance->latency += (sample - instance->latency)
                         * (sample > instance->latency ? LATENCY_GAIN_UP : LATENCY_GAIN_DOWN);
  instance->latency_time = now;
  instance->service->latency
      = instance->service->latency == 0
            ? sample
            : instance->service->latency
                  + (sample - instance->service->latency) * LATENCY_GAIN_DOWN;
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
fr_score_instance (const instance_t *instance, fb_time_t now)
{
  double usual = MAX (instance->service->latency, 1);
  double latency = usual;
  double load = LOAD_BASE;

  if (instance->latency > 0)
    latency = usual
              + (instance->latency - usual)
                    * exp (-(double)(now - instance->latency_time) / (double)LATENCY_MEMORY);
  if (now - instance->load_time < LOAD_MEMORY)
    load += instance->load * (1 - LOAD_BASE) / 1000;
  return (instance->in_flight + 1) * latency * load;
}
