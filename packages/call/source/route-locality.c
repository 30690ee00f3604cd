/* The nearest instance, unless one further away saves more time than the detour is worth. */
#include "route-state.h"
#include <math.h>

/* Part of the latency target that an instance of another zone must save, and of another region.
 * Bytes between zones are paid for, and a zone that sends its calls away when it need not takes
 * the slots of the others. */
#define ZONE_DETOUR_FRACTION 0.5
#define REGION_DETOUR_FRACTION 0.7

/* A reported wait fades over this time, so that an instance that was full is tried again. */
#define REPORT_FADE_TIME (500 * FB_MILLISECOND)

/* Part of the service time that a full instance without a queue counts as slower than an idle
 * one: the next call may have to wait. */
#define LOAD_PENALTY_FRACTION 0.5

/* Instances drawn at random to choose the best of. With speeds of 0.7, 0.7 and 1.6 two draws
 * leave a ninth of the calls to the slow third, three a twenty-seventh. */
#define DRAW_COUNT 3

/* Part of the service time that each call of this node in flight counts. */
#define IN_FLIGHT_PENALTY_FRACTION 0.05

void
fr_report_times (fr_picker_t *picker, const fb_name_t *name, uint32_t rank, fb_time_t service,
                 fb_time_t wait)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);
  rank_stats_t *traffic;

  if (instance == NULL)
    return;
  traffic = &instance->rank_stats[MIN (rank, FC_RANKS_MAX - 1)];
  traffic->expected_wait = wait;
  traffic->wait_reported_at = fb_read_clock (picker->clock);
  if (service > 0)
    fr_sample_service_time (instance, MIN (rank, FC_RANKS_MAX - 1), service);
}

/* Returns the time in ns in which INSTANCE is expected to answer a call of RANK. */
static double
estimate_time (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const rank_stats_t *traffic = &instance->rank_stats[rank];
  double usual = instance->service->log_service_times[rank];
  double service = exp (traffic->log_service_time > 0 ? traffic->log_service_time : usual);
  double time = service / fr_get_slow_start_weight (instance, now);
  fb_time_t age = now - traffic->wait_reported_at;

  if (age < REPORT_FADE_TIME)
    time += (double)traffic->expected_wait * (1 - (double)age / (double)REPORT_FADE_TIME);
  if (now - instance->load_reported_at < REPORT_FADE_TIME)
    time += service * LOAD_PENALTY_FRACTION * MIN (instance->load, 1000) / 1000;
  return time + service * IN_FLIGHT_PENALTY_FRACTION * instance->in_flight;
}

static double
get_detour_cost (const fr_picker_t *picker, const instance_t *instance, fb_time_t target)
{
  switch (fr_get_distance (picker, instance))
    {
    case DISTANCE_SAME_ZONE:
      return 0;
    case DISTANCE_SAME_REGION:
      return ZONE_DETOUR_FRACTION * (double)target;
    default:
      return REGION_DETOUR_FRACTION * (double)target;
    }
}

/* Returns the best of a few instances drawn at random in the own zone or outside of it, so that
 * nodes that see the same reports do not all choose the same one; NULL when there is none. */
static instance_t *
pick_best_drawn (fr_picker_t *picker, const candidates_t *candidates, bool own_zone,
                 uint32_t rank, fb_time_t now)
{
  candidates_t reached = { .count = 0 };
  instance_t *best = NULL;
  double best_time = 0;

  for (size_t i = 0; i < candidates->count; i++)
    if ((fr_get_distance (picker, candidates->instances[i]) == DISTANCE_SAME_ZONE) == own_zone)
      reached.instances[reached.count++] = candidates->instances[i];
  for (size_t drawn = 0; drawn < DRAW_COUNT && drawn < reached.count; drawn++)
    {
      size_t at
          = (size_t)g_rand_int_range (picker->random, (gint32)drawn, (gint32)reached.count);
      instance_t *instance = reached.instances[at];
      double time = estimate_time (instance, rank, now);

      /* What was drawn goes to the front, so that it is not drawn again. */
      reached.instances[at] = reached.instances[drawn];
      if (best == NULL || time < best_time)
        {
          best = instance;
          best_time = time;
        }
    }
  return best;
}

instance_t *
fr_pick_by_locality (fr_picker_t *picker, const candidates_t *candidates, uint32_t rank,
                     fb_time_t target, bool tried, fb_time_t now)
{
  instance_t *near = pick_best_drawn (picker, candidates, true, rank, now);
  instance_t *far = pick_best_drawn (picker, candidates, false, rank, now);
  double time;

  if (far == NULL || (near == NULL && !tried))
    return far == NULL ? near : far;
  time = estimate_time (far, rank, now);
  /* A detour that would end late is paid for in vain: most such calls are refused there. */
  if (target > 0 && time > (double)target)
    return near;
  if (near == NULL)
    return far;
  return time + get_detour_cost (picker, far, target) < estimate_time (near, rank, now) ? far
                                                                                        : near;
}
