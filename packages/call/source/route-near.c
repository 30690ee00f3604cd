/* The nearest instance, unless one further away saves more time than the detour is worth. */
#include "route-state.h"
#include <math.h>

/* Part of the latency target that an instance of another zone must save, and of another region.
 * Bytes between zones are paid for, and a zone that sends its calls away when it need not takes
 * the slots of the others. */
#define DETOUR_ZONE 0.5
#define DETOUR_REGION 0.7

/* A reported wait fades over this time, so that an instance that was full is tried again. */
#define WAIT_MEMORY (500 * FB_MILLISECOND)

/* Part of the service time that a full instance without a queue counts as slower than an idle
 * one: the next call may have to wait. */
#define FULL_PART 0.5

/* Part of the service time that each call of this node in flight counts. */
#define FLIGHT_PART 0.05

void
fr_report_wait (fr_picker_t *picker, const fb_name_t *name, uint32_t rank, fb_time_t service,
                fb_time_t wait)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);
  traffic_t *traffic;

  if (instance == NULL)
    return;
  traffic = &instance->ranks[MIN (rank, FC_RANKS_MAX - 1)];
  traffic->wait = wait;
  traffic->wait_time = fb_read_clock (picker->clock);
  if (service > 0)
    fr_sample_service (instance, MIN (rank, FC_RANKS_MAX - 1), service);
}

/* Returns the time in ns in which INSTANCE is expected to answer a call of RANK. */
static double
estimate_time (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const traffic_t *traffic = &instance->ranks[rank];
  double usual = instance->service->services[rank];
  double service = exp (traffic->service > 0 ? traffic->service : usual);
  double time = service / fr_get_warmth (instance, now);
  fb_time_t age = now - traffic->wait_time;

  if (age < WAIT_MEMORY)
    time += (double)traffic->wait * (1 - (double)age / (double)WAIT_MEMORY);
  if (now - instance->load_time < WAIT_MEMORY)
    time += service * FULL_PART * MIN (instance->load, 1000) / 1000;
  return time + service * FLIGHT_PART * instance->in_flight;
}

static double
get_detour (const fr_picker_t *picker, const instance_t *instance, fb_time_t target)
{
  switch (fr_get_nearness (picker, instance))
    {
    case NEAR_ZONE:
      return 0;
    case NEAR_REGION:
      return DETOUR_ZONE * (double)target;
    default:
      return DETOUR_REGION * (double)target;
    }
}

/* Returns the better of two instances drawn at random within REACH, so that nodes that see the
 * same reports do not all choose the same one; NULL when there is none. */
static instance_t *
pick_within (fr_picker_t *picker, const candidates_t *candidates, bool own_zone, uint32_t rank,
             fb_time_t now)
{
  candidates_t reached = { .count = 0 };
  instance_t *first;
  instance_t *second;
  size_t draw;

  for (size_t i = 0; i < candidates->count; i++)
    if ((fr_get_nearness (picker, candidates->instances[i]) == NEAR_ZONE) == own_zone)
      reached.instances[reached.count++] = candidates->instances[i];
  if (reached.count == 0)
    return NULL;
  draw = (size_t)g_rand_int_range (picker->random, 0, (gint32)reached.count);
  first = reached.instances[draw];
  if (reached.count == 1)
    return first;
  draw = (draw + (size_t)g_rand_int_range (picker->random, 1, (gint32)reached.count))
         % reached.count;
  second = reached.instances[draw];
  return estimate_time (second, rank, now) < estimate_time (first, rank, now) ? second : first;
}

instance_t *
fr_pick_near (fr_picker_t *picker, const candidates_t *candidates, uint32_t rank,
              fb_time_t target, fb_time_t now)
{
  instance_t *near = pick_within (picker, candidates, true, rank, now);
  instance_t *far = pick_within (picker, candidates, false, rank, now);

  if (near == NULL || far == NULL)
    return near == NULL ? far : near;
  return estimate_time (far, rank, now) + get_detour (picker, far, target)
                 < estimate_time (near, rank, now)
             ? far
             : near;
}
