/* Locality policy: an instance of the same zone, unless another saves more time than its detour
 * cost. */
#include "route-state.h"
#include <foxtailrun/call/pace.h>
#include <math.h>

/* Fraction of the latency target that an instance of another zone, or of another region,
 * must save. Traffic between zones is paid for, and unneeded detours occupy slots that the
 * other zones need. */
#define ZONE_DETOUR_FRACTION 0.5
#define REGION_DETOUR_FRACTION 0.7

/* Reported waits lose their weight linearly, and loads expire, over this time, so that an
 * instance that was full is picked again. */
#define REPORT_FADE_TIME (500 * FB_MILLISECOND)

/* Fraction of the service time added when all slots are in use: the next call may wait. */
#define LOAD_PENALTY_FRACTION 0.5

/* Instances drawn at random. With relative service times of 0.7, 0.7 and 1.6, two draws
 * send 1/9 of the calls to the slow third, three 1/27. */
#define DRAW_COUNT 3

/* Fraction of the service time added per call of this node in flight. */
#define IN_FLIGHT_PENALTY_FRACTION 0.05

/* A new instance is tried by each node of its zone within this time, at a moment that differs
 * between the nodes. */
#define TRIAL_SPREAD (800 * FB_MILLISECOND)

void
fr_try_new_instances (fr_picker_t *picker)
{
  picker->tries_new_instances = true;
}

void
fr_report_pace (fr_picker_t *picker, const fb_name_t *name, uint32_t permille)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);

  if (instance == NULL)
    return;
  instance->pace_permille = MIN (permille, FR_PACE_PAR);
  instance->pace_reported_at = fb_read_clock (picker->clock);
}

fb_time_t
fr_get_expected_service_time (const fr_picker_t *picker, fb_str_t service_name, uint32_t rank)
{
  fb_name_t key;
  const service_t *service = fb_set_name (&key, service_name)
                                 ? g_hash_table_lookup (picker->services, key.data)
                                 : NULL;
  double log_time
      = service == NULL ? 0 : service->log_service_times[MIN (rank, FC_RANKS_MAX - 1)];

  return log_time > 0 ? (fb_time_t)exp (log_time) : 0;
}

void
fr_report_times (fr_picker_t *picker, const fb_name_t *name, uint32_t rank,
                 fb_time_t service_time, fb_time_t expected_wait)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);
  rank_stats_t *stats;

  if (instance == NULL)
    return;
  stats = &instance->rank_stats[MIN (rank, FC_RANKS_MAX - 1)];
  stats->expected_wait = expected_wait;
  stats->wait_reported_at = fb_read_clock (picker->clock);
  if (service_time > 0)
    fr_sample_service_time (instance, MIN (rank, FC_RANKS_MAX - 1), service_time);
}

/* Returns the expected response time in ns of INSTANCE for a call of RANK. */
static double
estimate_time (const instance_t *instance, uint32_t rank, fb_time_t now)
{
  const rank_stats_t *stats = &instance->rank_stats[rank];
  double default_log_service_time = instance->service->log_service_times[rank];
  double service_time
      = exp (stats->log_service_time > 0 ? stats->log_service_time : default_log_service_time);
  /* A reported pace decides how often the instance is drawn instead: a longer time would leave
   * it without calls while others are idle. */
  double time = fr_has_pace (instance, now)
                    ? service_time
                    : service_time / fr_get_slow_start_weight (instance, now);
  fb_time_t age = now - stats->wait_reported_at;

  if (age < REPORT_FADE_TIME)
    time += (double)stats->expected_wait * (1 - (double)age / (double)REPORT_FADE_TIME);
  if (now - instance->load_reported_at < REPORT_FADE_TIME)
    time += service_time * LOAD_PENALTY_FRACTION * MIN (instance->load, 1000) / 1000;
  return time + service_time * IN_FLIGHT_PENALTY_FRACTION * instance->in_flight;
}

static double
get_detour_cost (const fr_picker_t *picker, const instance_t *instance,
                 fb_time_t latency_target)
{
  switch (fr_get_distance (picker, instance))
    {
    case DISTANCE_SAME_ZONE:
      return 0;
    case DISTANCE_SAME_REGION:
      return ZONE_DETOUR_FRACTION * (double)latency_target;
    default:
      return REGION_DETOUR_FRACTION * (double)latency_target;
    }
}

/* Returns whether INSTANCE, drawn at random, gets no call because of the pace that it reported.
 */
static bool
is_passed_over (fr_picker_t *picker, const instance_t *instance, fb_time_t now)
{
  return fr_has_pace (instance, now) && instance->pace_permille < FR_PACE_PAR
         && g_rand_double (picker->random) >= fr_get_slow_start_weight (instance, now);
}

/* Returns a new instance of the own zone, or of any if the own has none, that this node has
 * sent no call and whose trial is due; NULL when there is none. */
static instance_t *
find_due_trial (const fr_picker_t *picker, const candidates_t *candidates, fb_time_t now)
{
  instance_t *due = NULL;
  bool due_is_local = false;
  bool has_local = false;

  for (size_t i = 0; i < candidates->count; i++)
    {
      instance_t *instance = candidates->instances[i];
      bool local = fr_get_distance (picker, instance) == DISTANCE_SAME_ZONE;
      fb_time_t trial_at = instance->slow_start_begin
                           + (fb_time_t)(instance->rendezvous_weight % TRIAL_SPREAD);

      has_local = has_local || local;
      if (!instance->tried && now >= trial_at
          && now - instance->slow_start_begin < SLOW_START_DURATION
          && (due == NULL || (local && !due_is_local)))
        {
          due = instance;
          due_is_local = local;
        }
    }
  return has_local && !due_is_local ? NULL : due;
}

/* Returns the best of a few instances drawn at random from the same zone, or from all
 * others when OWN_ZONE is false; NULL when there is none. Random, so that nodes with the same
 * reports do not all choose the same instance. */
static instance_t *
pick_best_drawn (fr_picker_t *picker, const candidates_t *candidates, bool own_zone,
                 uint32_t rank, fb_time_t now)
{
  candidates_t eligible = { .count = 0 };
  instance_t *best = NULL;
  instance_t *passed_over = NULL;
  double best_time = 0;

  for (size_t i = 0; i < candidates->count; i++)
    if ((fr_get_distance (picker, candidates->instances[i]) == DISTANCE_SAME_ZONE) == own_zone)
      eligible.instances[eligible.count++] = candidates->instances[i];
  for (size_t drawn = 0; drawn < DRAW_COUNT && drawn < eligible.count; drawn++)
    {
      size_t index
          = (size_t)g_rand_int_range (picker->random, (gint32)drawn, (gint32)eligible.count);
      instance_t *instance = eligible.instances[index];
      double time = estimate_time (instance, rank, now);

      /* Moves the drawn instance out of the range of further draws. */
      eligible.instances[index] = eligible.instances[drawn];
      if (is_passed_over (picker, instance, now))
        {
          passed_over = instance;
          continue;
        }
      if (best == NULL || time < best_time)
        {
          best = instance;
          best_time = time;
        }
    }
  return best != NULL ? best : passed_over;
}

instance_t *
fr_pick_by_locality (fr_picker_t *picker, const candidates_t *candidates, uint32_t rank,
                     fb_time_t latency_target, bool is_retry, fb_time_t now)
{
  instance_t *trial = picker->tries_new_instances && !is_retry
                          ? find_due_trial (picker, candidates, now)
                          : NULL;
  instance_t *local;
  instance_t *remote;
  double time;

  if (trial != NULL)
    return trial;
  local = pick_best_drawn (picker, candidates, true, rank, now);
  remote = pick_best_drawn (picker, candidates, false, rank, now);

  if (remote == NULL || (local == NULL && !is_retry))
    return remote == NULL ? local : remote;
  time = estimate_time (remote, rank, now);
  /* A detour that would miss the target only costs traffic: most such calls are refused
   * there. */
  if (latency_target > 0 && time > (double)latency_target)
    return local;
  if (local == NULL)
    return remote;
  return time + get_detour_cost (picker, remote, latency_target)
                 < estimate_time (local, rank, now)
             ? remote
             : local;
}
