/* Ejection of failing and unreachable instances. */
#include "route-state.h"

/* Consecutive failures that eject an instance. */
#define EJECT_FAILURES 5

/* Duration of the first ejection; each further one is longer by as much, up to the maximum. */
#define EJECT_TIME_STEP (5 * FB_SECOND)
#define EJECT_TIME_MAX (60 * FB_SECOND)

/* At most one in so many instances of the subset is ejected for failures. */
#define EJECT_SUBSET_DIVISOR 3

/* First ejection time of an unreachable instance; doubled each time. Limiting the doublings
 * bounds the time until a restarted node gets calls. */
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
  /* With fewer than EJECT_SUBSET_DIVISOR instances none is ejected, so the last one always
   * stays. */
  if (fr_count_subset_ejected (service, now) + 1 > service->subset->len / EJECT_SUBSET_DIVISOR)
    return;
  instance->ejections++;
  instance->ejected_until
      = now + MIN ((fb_time_t)instance->ejections * EJECT_TIME_STEP, EJECT_TIME_MAX);
  /* The instance returns with a slow start, and one failure ejects it again. */
  instance->slow_start_begin = instance->ejected_until;
  instance->tried = false;
  instance->consecutive_failures = EJECT_FAILURES - 1;
}
