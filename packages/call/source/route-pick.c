/* Picker: maintains the instances of each service and picks one for each attempt. */
#include "route-state.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/invariant.h>

static void
destroy_service (void *data)
{
  service_t *service = data;

  g_free (service->name);
  g_ptr_array_free (service->instances, TRUE);
  g_ptr_array_free (service->subset, TRUE);
  g_free (service);
}

fr_picker_t *
fr_create_picker (fr_pick_policy_t policy, const fb_name_t *self, const fb_name_t *zone,
                  uint32_t seed, const fb_clock_t *clock)
{
  fr_picker_t *picker = g_new0 (fr_picker_t, 1);

  picker->policy = policy;
  picker->self = *self;
  picker->zone = *zone;
  picker->clock = clock;
  picker->random = g_rand_new_with_seed (seed);
  picker->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  picker->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_service);
  picker->evacuated_zones
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, g_free, NULL);
  return picker;
}

void
fr_destroy_picker (fr_picker_t *picker)
{
  if (picker == NULL)
    return;
  g_hash_table_destroy (picker->instances);
  g_hash_table_destroy (picker->services);
  g_hash_table_destroy (picker->evacuated_zones);
  g_rand_free (picker->random);
  g_free (picker);
}

service_t *
fr_find_service (const fr_picker_t *picker, fb_str_t name)
{
  service_t *service = NULL;
  fb_name_t key;

  if (fb_set_name (&key, name))
    service = g_hash_table_lookup (picker->services, key.data);
  if (service != NULL)
    fr_refresh_subset (picker, service);
  return service;
}

static service_t *
find_or_add_service (fr_picker_t *picker, const fb_name_t *name)
{
  service_t *service = g_hash_table_lookup (picker->services, name->data);

  if (service != NULL)
    return service;
  service = g_new0 (service_t, 1);
  service->name = g_strdup (name->data);
  service->instances = g_ptr_array_new ();
  service->subset = g_ptr_array_new ();
  g_hash_table_insert (picker->services, service->name, service);
  return service;
}

/* Removes INSTANCE from its service; the entry remains while calls are in flight on it. */
static void
remove_instance (fr_picker_t *picker, instance_t *instance)
{
  if (!instance->removed)
    {
      instance->removed = true;
      instance->in_subset = false;
      g_ptr_array_remove (instance->service->instances, instance);
      instance->service->subset_stale = true;
    }
  if (instance->in_flight == 0)
    g_hash_table_remove (picker->instances, instance->member.id.data);
}

/* Adds MEMBER as a new instance; INSTANCE is its removed entry with calls in flight, or NULL.
 */
static void
add_instance (fr_picker_t *picker, const fw_member_t *member, instance_t *instance)
{
  if (instance == NULL)
    {
      instance = g_new0 (instance_t, 1);
      /* The key in the table is the id in the entry, so the id is set before the insertion. */
      instance->member = *member;
      g_hash_table_insert (picker->instances, instance->member.id.data, instance);
    }
  instance->member = *member;
  instance->service = find_or_add_service (picker, &member->service);
  instance->rendezvous_weight
      = fb_get_rendezvous_weight (fb_get_name (&picker->self), fb_get_name (&member->id));
  instance->removed = false;
  for (int i = 0; i < FC_RANKS_MAX; i++)
    instance->rank_stats[i] = (rank_stats_t){ .in_flight = instance->rank_stats[i].in_flight };
  instance->load = 0;
  instance->consecutive_failures = 0;
  instance->ejections = 0;
  instance->consecutive_unreachable = 0;
  instance->ejected_until = 0;
  instance->slow_start_begin = fb_read_clock (picker->clock);
  instance->tried = false;
  instance->pace_permille = 0;
  g_ptr_array_add (instance->service->instances, instance);
  instance->service->subset_stale = true;
}

static void
mark_subsets_stale (fr_picker_t *picker)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, picker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((service_t *)value)->subset_stale = true;
}

static void
set_own_region (fr_picker_t *picker, const fw_member_t *member)
{
  if (fb_equal_name (&picker->region, &member->region))
    return;
  picker->region = member->region;
  mark_subsets_stale (picker);
}

static void
restart_slow_start (fr_picker_t *picker, const fb_name_t *zone)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, picker->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      instance_t *instance = value;

      if (fb_equal_name (&instance->member.zone, zone))
        instance->slow_start_begin = fb_read_clock (picker->clock);
    }
}

void
fr_set_zone_evacuated (fr_picker_t *picker, const fb_name_t *zone, bool evacuated)
{
  bool changed
      = evacuated ? g_hash_table_add (picker->evacuated_zones, g_memdup2 (zone, sizeof *zone))
                  : g_hash_table_remove (picker->evacuated_zones, zone);

  if (!changed)
    return;
  mark_subsets_stale (picker);
  if (!evacuated)
    restart_slow_start (picker, zone);
}

void
fr_update_instance (fr_picker_t *picker, const fw_member_t *member)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, member->id.data);
  bool available
      = (member->state == FW_ALIVE || member->state == FW_SUSPECT) && member->service.len > 0;
  bool location_changed;

  if (fb_equal_name (&member->id, &picker->self))
    set_own_region (picker, member);
  if (!available)
    {
      if (instance != NULL)
        remove_instance (picker, instance);
      return;
    }
  if (instance == NULL || instance->removed)
    {
      add_instance (picker, member, instance);
      return;
    }
  if (!fb_equal_name (&instance->member.service, &member->service))
    {
      instance->in_flight++; /* keeps the entry while its service changes */
      remove_instance (picker, instance);
      instance->in_flight--;
      add_instance (picker, member, instance);
      return;
    }
  location_changed = !fb_equal_name (&instance->member.zone, &member->zone)
                     || !fb_equal_name (&instance->member.region, &member->region);
  instance->member = *member;
  if (location_changed)
    instance->service->subset_stale = true;
}

static bool
is_excluded (const instance_t *instance, const fb_name_t *excluded, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (fb_equal_name (&instance->member.id, &excluded[i]))
      return true;
  return false;
}

/* Collects the subset's instances up to MAX_DISTANCE with STATE and EJECTED; returns whether
 * all of them are full. */
static bool
collect_candidates (const fr_picker_t *picker, const service_t *service,
                    distance_t max_distance, fw_member_state_t state, bool ejected,
                    const fb_name_t *excluded, size_t excluded_count, candidates_t *candidates)
{
  fb_time_t now = fb_read_clock (picker->clock);
  bool full = true;

  candidates->count = 0;
  for (size_t i = 0; i < service->subset->len; i++)
    {
      instance_t *instance = g_ptr_array_index (service->subset, i);

      if (fr_get_distance (picker, instance) > max_distance || instance->member.state != state
          || fr_is_ejected (instance, now) != ejected
          || is_excluded (instance, excluded, excluded_count))
        continue;
      FB_INVARIANT (candidates->count < SUBSET_SIZE_MAX);
      candidates->instances[candidates->count++] = instance;
      full = full && fr_is_full (instance, now);
    }
  return full;
}

void
fr_find_candidates (const fr_picker_t *picker, const service_t *service,
                    const fb_name_t *excluded, size_t excluded_count, candidates_t *candidates)
{
  for (int distance = 0; distance < DISTANCE_COUNT; distance++)
    {
      bool full = collect_candidates (picker, service, (distance_t)distance, FW_ALIVE, false,
                                      excluded, excluded_count, candidates);

      if (candidates->count >= 2 && !full)
        return;
    }
  if (candidates->count == 0)
    collect_candidates (picker, service, DISTANCE_OTHER, FW_ALIVE, true, excluded,
                        excluded_count, candidates);
  if (candidates->count == 0)
    collect_candidates (picker, service, DISTANCE_OTHER, FW_SUSPECT, false, excluded,
                        excluded_count, candidates);
  if (candidates->count == 0)
    collect_candidates (picker, service, DISTANCE_OTHER, FW_SUSPECT, true, excluded,
                        excluded_count, candidates);
}

/* Draws one candidate other than EXCEPT, which may be NULL, weighted by slow start; returns
 * NULL when there is none. */
static instance_t *
draw_candidate (fr_picker_t *picker, const candidates_t *candidates, const instance_t *except,
                fb_time_t now)
{
  instance_t *last = NULL;
  double total = 0;
  double point;

  for (size_t i = 0; i < candidates->count; i++)
    if (candidates->instances[i] != except)
      total += fr_get_slow_start_weight (candidates->instances[i], now);
  point = g_rand_double (picker->random) * total;
  for (size_t i = 0; i < candidates->count; i++)
    {
      if (candidates->instances[i] == except)
        continue;
      last = candidates->instances[i];
      point -= fr_get_slow_start_weight (last, now);
      if (point < 0)
        break;
    }
  return last;
}

static instance_t *
pick_two_choices (fr_picker_t *picker, const candidates_t *candidates, uint32_t rank,
                  fb_time_t now)
{
  instance_t *first = draw_candidate (picker, candidates, NULL, now);
  instance_t *second = draw_candidate (picker, candidates, first, now);

  if (second == NULL)
    return first;
  return fr_score_instance (second, rank, now) < fr_score_instance (first, rank, now) ? second
                                                                                      : first;
}

/* Picks by FR_PICK_ROUND_ROBIN or FR_PICK_LEAST_IN_FLIGHT; for other policies picks the
 * instance with the highest rendezvous weight for KEY. */
static instance_t *
pick_without_scores (const fr_picker_t *picker, service_t *service,
                     const candidates_t *candidates, fb_str_t key)
{
  instance_t *best = candidates->instances[0];

  if (picker->policy == FR_PICK_ROUND_ROBIN)
    return candidates->instances[service->round_robin_next++ % candidates->count];
  for (size_t i = 1; i < candidates->count; i++)
    {
      instance_t *other = candidates->instances[i];

      if (picker->policy == FR_PICK_LEAST_IN_FLIGHT
              ? other->in_flight < best->in_flight
              : fb_get_rendezvous_weight (key, fb_get_name (&other->member.id))
                    > fb_get_rendezvous_weight (key, fb_get_name (&best->member.id)))
        best = other;
    }
  return best;
}

static uint32_t
clamp_rank (uint32_t rank)
{
  return MIN (rank, FC_RANKS_MAX - 1);
}

static void
count_in_flight (instance_t *instance, uint32_t rank)
{
  instance->tried = true;
  instance->in_flight++;
  instance->rank_stats[clamp_rank (rank)].in_flight++;
}

static void
collect_locality_candidates (const fr_picker_t *picker, const service_t *service,
                             const fb_name_t *excluded, size_t excluded_count,
                             candidates_t *candidates)
{
  collect_candidates (picker, service, DISTANCE_OTHER, FW_ALIVE, false, excluded,
                      excluded_count, candidates);
  if (candidates->count == 0)
    fr_find_candidates (picker, service, excluded, excluded_count, candidates);
}

bool
fr_pick_for_latency_target (fr_picker_t *picker, fb_str_t service_name, uint32_t rank,
                            fb_time_t latency_target, const fb_name_t *excluded,
                            size_t excluded_count, fb_name_t *picked)
{
  service_t *service = fr_find_service (picker, service_name);
  candidates_t candidates;
  instance_t *instance;

  if (picker->policy != FR_PICK_LOCALITY)
    return fr_pick_for_rank (picker, service_name, rank, FB_LITERAL (""), excluded,
                             excluded_count, picked);
  if (service == NULL)
    return false;
  collect_locality_candidates (picker, service, excluded, excluded_count, &candidates);
  if (candidates.count == 0)
    return false;
  instance = fr_pick_by_locality (picker, &candidates, clamp_rank (rank), latency_target,
                                  excluded_count > 0, fb_read_clock (picker->clock));
  if (instance == NULL)
    return false;
  count_in_flight (instance, rank);
  *picked = instance->member.id;
  return true;
}

bool
fr_pick_below_load (fr_picker_t *picker, fb_str_t service_name, uint32_t rank,
                    fb_time_t latency_target, uint32_t load_limit, const fb_name_t *excluded,
                    size_t excluded_count, fb_name_t *picked)
{
  service_t *service = fr_find_service (picker, service_name);
  candidates_t candidates;
  size_t count = 0;
  instance_t *instance;

  if (service == NULL)
    return false;
  collect_candidates (picker, service, DISTANCE_OTHER, FW_ALIVE, false, excluded,
                      excluded_count, &candidates);
  for (size_t i = 0; i < candidates.count; i++)
    if (candidates.instances[i]->load < load_limit)
      candidates.instances[count++] = candidates.instances[i];
  candidates.count = count;
  if (count == 0)
    return false;
  instance = fr_pick_by_locality (picker, &candidates, clamp_rank (rank), latency_target,
                                  excluded_count > 0, fb_read_clock (picker->clock));
  if (instance == NULL)
    return false;
  count_in_flight (instance, rank);
  *picked = instance->member.id;
  return true;
}

bool
fr_pick_for_rank (fr_picker_t *picker, fb_str_t service_name, uint32_t rank, fb_str_t key,
                  const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked)
{
  service_t *service = fr_find_service (picker, service_name);
  candidates_t candidates;
  instance_t *instance;

  if (service == NULL)
    return false;
  fr_find_candidates (picker, service, excluded, excluded_count, &candidates);
  if (candidates.count == 0)
    return false;
  if (picker->policy == FR_PICK_TWO_CHOICES)
    instance = pick_two_choices (picker, &candidates, clamp_rank (rank),
                                 fb_read_clock (picker->clock));
  else
    instance = pick_without_scores (picker, service, &candidates, key);
  count_in_flight (instance, rank);
  *picked = instance->member.id;
  return true;
}

bool
fr_pick_backend (fr_picker_t *picker, fb_str_t service, fb_str_t key, const fb_name_t *excluded,
                 size_t excluded_count, fb_name_t *picked)
{
  return fr_pick_for_rank (picker, service, 0, key, excluded, excluded_count, picked);
}

void
fr_begin_attempt_for_rank (fr_picker_t *picker, const fb_name_t *name, uint32_t rank)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);

  if (instance != NULL)
    count_in_flight (instance, rank);
}

void
fr_begin_attempt (fr_picker_t *picker, const fb_name_t *name)
{
  fr_begin_attempt_for_rank (picker, name, 0);
}

void
fr_report_result_for_rank (fr_picker_t *picker, const fb_name_t *name, uint32_t rank,
                           fr_result_t result, fb_time_t latency, uint32_t load)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);
  fb_time_t now = fb_read_clock (picker->clock);
  rank_stats_t *stats;

  if (instance == NULL)
    return;
  stats = &instance->rank_stats[clamp_rank (rank)];
  /* A call that began before the instance was added is not counted in flight. */
  if (stats->in_flight > 0)
    {
      stats->in_flight--;
      instance->in_flight--;
    }
  if (result == FR_RESULT_ANSWERED || result == FR_RESULT_FAILED)
    {
      fr_refresh_subset (picker, instance->service);
      fr_sample_latency (instance, clamp_rank (rank), latency, result == FR_RESULT_FAILED, now);
      fr_record_attempt (instance, result == FR_RESULT_FAILED, now);
    }
  if (result == FR_RESULT_CANCELLED && latency > stats->expected_wait)
    fr_sample_service_time_min (instance, clamp_rank (rank), latency - stats->expected_wait);
  if (result == FR_RESULT_UNREACHABLE)
    fr_eject_unreachable (instance, now);
  if (result == FR_RESULT_ANSWERED || result == FR_RESULT_REFUSED)
    {
      instance->load = load;
      instance->load_reported_at = now;
    }
  if (instance->removed && instance->in_flight == 0)
    g_hash_table_remove (picker->instances, instance->member.id.data);
}

void
fr_report_result (fr_picker_t *picker, const fb_name_t *name, fr_result_t result,
                  fb_time_t latency, uint32_t load)
{
  fr_report_result_for_rank (picker, name, 0, result, latency, load);
}

void
fr_report_rate_limit (fr_picker_t *picker, const fb_name_t *name, uint64_t incarnation,
                      uint64_t limit_milli)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);

  if (instance == NULL)
    return;
  instance->rate_limit_milli = limit_milli;
  instance->limited_incarnation = incarnation;
}

uint64_t
fr_get_reported_rate_limit (const fr_picker_t *picker, const fb_name_t *name,
                            uint64_t incarnation)
{
  const instance_t *instance = g_hash_table_lookup (picker->instances, name->data);

  return instance != NULL && instance->limited_incarnation == incarnation
             ? instance->rate_limit_milli
             : 0;
}

void
fr_eject_until (fr_picker_t *picker, const fb_name_t *name, fb_time_t until)
{
  instance_t *instance = g_hash_table_lookup (picker->instances, name->data);

  if (instance != NULL)
    instance->ejected_until = MAX (instance->ejected_until, until);
}

size_t
fr_count_available_instances (const fr_picker_t *picker, fb_str_t service_name)
{
  const service_t *service = fr_find_service (picker, service_name);

  if (service == NULL)
    return 0;
  return service->subset->len
         - fr_count_subset_ejected (service, fb_read_clock (picker->clock));
}

size_t
fr_count_ejected (const fr_picker_t *picker, fb_str_t service_name)
{
  const service_t *service = fr_find_service (picker, service_name);

  return service == NULL ? 0 : fr_count_subset_ejected (service, fb_read_clock (picker->clock));
}
