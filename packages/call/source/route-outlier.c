/* Ejection of instances that fail several times in a row. */
#include "route-state.h"

/* Failures in a row that eject an instance. */
#define EJECT_FAILURES 5

/* Length of the first ejection; each further one is that much longer, up to the maximum. */
#define EJECT_TIME_STEP (5 * FB_SECOND)
#define EJECT_TIME_MAX (60 * FB_SECOND)

/* Largest part of the subset that may be ejected: one in so many. */
#define EJECT_SUBSET_DIVISOR 3

/* Time for which an unreachable instance is left aside at first; doubled each time up to the
 * maximum, which a restarted node waits for at worst. */
#define UNREACHABLE_EJECT_TIME (200 * FB_MILLISECOND)
#define UNREACHABLE_DOUBLINGS_MAX 3

void
fr_eject_unreachable (instance_t *instance, fb_time_t now)
{
  instance->ejected_until = now
                            + (UNREACHABLE_EJECT_TIME << MIN (instance->consecutive_unreachable,
                                                              UNREACHABLE_DOUBLINGS_MAX));
  instance->consecutive_unreachable++;
}

bool
fr_is_ejected (const instance_t *instance, fb_time_t now)
{
  return instance->ejected_until > now;
}

size_t
fr_count_subset_ejected (const service_t *service, fb_time_t now)
{
  size_t count = 0;

  for (size_t i = 0; i < service->subset->len; i++)
    if (fr_is_ejected (g_ptr_array_index (service->subset, i), now))
      count++;
  return count;
}

void
fr_record_attempt (instance_t *instance, bool failed, fb_time_t now)
{
  const service_t *service = instance->service;

  if (!failed)
    {
      instance->consecutive_failures = 0;
      instance->consecutive_unreachable = 0;
      instance->ejections = 0;
      return;
    }
  instance->consecutive_failures++;
  if (instance->consecutive_failures < EJECT_FAILURES || instance->removed
      || !instance->in_subset || fr_is_ejected (instance, now))
    return;
  /* With less than EJECT_SUBSET_DIVISOR instances nothing is ejected, so the last one always
   * stays. */
  if (fr_count_subset_ejected (service, now) + 1 > service->subset->len / EJECT_SUBSET_DIVISOR)
    return;
  instance->ejections++;
  instance->ejected_until
      = now + MIN ((fb_time_t)instance->ejections * EJECT_TIME_STEP, EJECT_TIME_MAX);
  /* It returns through a slow start, and one failure ejects it again. */
  instance->slow_start_begin = instance->ejected_until;
  instance->consecutive_failures = EJECT_FAILURES - 1;
}
