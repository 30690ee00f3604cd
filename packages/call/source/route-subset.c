/* The part of a service that one node sends to. */
#include "route-state.h"

nearness_t
fr_get_nearness (const fr_picker_t *picker, const instance_t *instance)
{
  if (fb_equal_name (&instance->member.zone, &picker->zone))
    return NEAR_ZONE;
  if (picker->region.len == 0 || fb_equal_name (&instance->member.region, &picker->region))
    return NEAR_REGION;
  return NEAR_OTHER;
}

static int
compare_weights (const void *a, const void *b)
{
  const instance_t *left = *(instance_t *const *)a;
  const instance_t *right = *(instance_t *const *)b;

  if (left->weight != right->weight)
    return left->weight > right->weight ? -1 : 1;
  return fb_compare_names (&left->member.id, &right->member.id);
}

/* Adds up to COUNT instances that are NEAR and not yet in the subset. */
static void
add_near (const fr_picker_t *picker, service_t *service, nearness_t near, size_t count)
{
  for (size_t i = 0; i < service->instances->len && count > 0; i++)
    {
      instance_t *instance = g_ptr_array_index (service->instances, i);

      if (instance->member_of_subset || fr_get_nearness (picker, instance) != near)
        continue;
      instance->member_of_subset = true;
      g_ptr_array_add (service->subset, instance);
      count--;
    }
}

void
fr_refresh_subset (const fr_picker_t *picker, service_t *service)
{
  static const size_t quotas[NEAR_COUNT]
      = { SUBSET_ZONE, SUBSET_REGION, SUBSET_MAX - SUBSET_ZONE - SUBSET_REGION };

  if (!service->stale)
    return;
  service->stale = false;
  g_ptr_array_set_size (service->subset, 0);
  for (size_t i = 0; i < service->instances->len; i++)
    ((instance_t *)g_ptr_array_index (service->instances, i))->member_of_subset = false;
  g_ptr_array_sort (service->instances, compare_weights);
  /* Each distance keeps some places, so that calls can spill over when the zone is full or
   * gone; places left over go to the nearest. */
  for (int near = 0; near < NEAR_COUNT; near++)
    add_near (picker, service, (nearness_t)near, quotas[near]);
  for (int near = 0; near < NEAR_COUNT; near++)
    add_near (picker, service, (nearness_t)near, SUBSET_MAX - service->subset->len);
}
