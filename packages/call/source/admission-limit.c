/* The adaptive concurrency limit, a baseline: additive increase, multiplicative decrease. */
#include "admission-state.h"

/* Latency in slot times of the same call that counts as congestion: it waited as long as it
 * ran. */
#define CONGESTION_RATIO 2

/* Factor of the limit at congestion. */
#define LIMIT_DECREASE_FACTOR 0.95

/* Largest limit, per slot. */
#define LIMIT_PER_SLOT_MAX 8.0

void
fr_update_concurrency_limit (fr_admission_t *admission, fb_time_t latency, fb_time_t used)
{
  if (latency > CONGESTION_RATIO * used)
    admission->concurrency_limit *= LIMIT_DECREASE_FACTOR;
  else
    admission->concurrency_limit += 1 / admission->concurrency_limit;
  admission->concurrency_limit
      = CLAMP (admission->concurrency_limit, 1, admission->slots * LIMIT_PER_SLOT_MAX);
}
