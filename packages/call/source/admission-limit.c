/* The adaptive concurrency limit, a baseline: additive increase, multiplicative decrease. */
#include "admission-state.h"

/* Latency over the fastest one that counts as congestion. */
#define CONGESTION_RATIO 2.0

/* Factor of the limit at congestion. */
#define LIMIT_DECREASE 0.95

/* Largest limit, per slot. */
#define LIMIT_PER_SLOT 8.0

/* Rise of the fastest latency with each sample, so that a lasting change is followed. */
#define FASTEST_RISE 1.001

void
fr_adapt_limit (fr_admission_t *admission, fb_time_t latency)
{
  double sample = (double)latency;

  if (admission->fastest == 0 || sample < admission->fastest)
    admission->fastest = sample;
  else
    admission->fastest *= FASTEST_RISE;
  if (sample > admission->fastest * CONGESTION_RATIO)
    admission->limit *= LIMIT_DECREASE;
  else
    admission->limit += 1 / admission->limit;
  admission->limit = CLAMP (admission->limit, 1, admission->slots * LIMIT_PER_SLOT);
}
