/* Adaptive concurrency limit of FR_POLICY_ADAPTIVE: additive increase, multiplicative decrease.
 */
#include "admission-state.h"

/* A call is congested when its latency exceeds this multiple of its service time: it waited
 * longer than it ran. */
#define CONGESTION_RATIO 2

#define LIMIT_DECREASE_FACTOR 0.95

#define LIMIT_PER_SLOT_MAX 8.0

void
fr_update_concurrency_limit (fr_admission_t *admission, fb_time_t latency,
                             fb_time_t service_time)
{
  if (latency > CONGESTION_RATIO * service_time)
    admission->concurrency_limit *= LIMIT_DECREASE_FACTOR;
  else
    admission->concurrency_limit += 1 / admission->concurrency_limit;
  admission->concurrency_limit
      = CLAMP (admission->concurrency_limit, 1, admission->slots * LIMIT_PER_SLOT_MAX);
}
