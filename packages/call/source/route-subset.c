/* Choice of the subset of a service that one node sends calls to. */
#include "route-state.h"

distance_t
fr_get_distance (const fr_picker_t *picker, const instance_t *instance)
{
  if (fb_equal_name (&instance->member.zone, &picker->zone))
    return DISTANCE_SAME_ZONE;
  if (picker->region.len == 0 || fb_equal_name (&instance->member.region, &picker->region))
    return DISTANCE_SAME_REGION;
  return DISTANCE_OTHER;
}

bool
fr_is_evacuated (const fr_picker_t *picker, const instance_t *instance)
{
  return g_hash_table_contains (picker->evacuated_zones, &instance->member.zone);
}

static int
compare_weights (const void *a, const void *b)
{
  const instance_t *left = *(instance_t *const *)a;
  const instance_t *right = *(instance_t *const *)b;

  if (left->rendezvous_weight != right->rendezvous_weight)
    return left->rendezvous_weight > right->rendezvous_weight ? -1 : 1;
  return fb_compare_names (&left->member.id, &right->member.id);
}

static void
add_at_distance (const fr_picker_t *picker, service_t *service, distance_t distance,
                 size_t count)
{
  for (size_t i = 0; i < service->instances->len && count > 0; i++)
    {
      instance_t *instance = g_ptr_array_index (service->instances, i);

      if (instance->in_subset || fr_get_distance (picker, instance) != distance
          || fr_is_evacuated (picker, instance))
        continue;
      instance->in_subset = true;
      g_ptr_array_add (service->subset, instance);
      count--;
    }
}

void
fr_refresh_subset (const fr_picker_t *picker, service_t *service)
{
  static const size_t quotas[DISTANCE_COUNT]
      = { SUBSET_ZONE_QUOTA, SUBSET_REGION_QUOTA,
          SUBSET_SIZE_MAX - SUBSET_ZONE_QUOTA - SUBSET_REGION_QUOTA };

  if (!service->subset_stale)
    return;
  service->subset_stale = false;
  g_ptr_array_set_size (service->subset, 0);
  for (size_t i = 0; i < service->instances->len; i++)
    ((instance_t *)g_ptr_array_index (service->instances, i))->in_subset = false;
  g_ptr_array_sort (service->instances, compare_weights);
  /* Each distance has a quota, so that calls can spill over when the zone is full or down;
   * unused places go to the nearest instances. */
  for (int distance = 0; distance < DISTANCE_COUNT; distance++)
    add_at_distance (picker, service, (distance_t)distance, quotas[distance]);
  for (int distance = 0; distance < DISTANCE_COUNT; distance++)
    add_at_distance (picker, service, (distance_t)distance,
                     SUBSET_SIZE_MAX - service->subset->len);
}
