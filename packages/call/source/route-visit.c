/* Instances of a service in the picker's order of preference, for diagnostics. */
#include "route-state.h"

static void
describe_instance (const fr_picker_t *picker, const instance_t *instance, uint32_t rank,
                   fb_time_t now, fr_instance_view_t *preference)
{
  static const char *const distances[DISTANCE_COUNT] = { "zone", "region", "other" };

  *preference = (fr_instance_view_t){
    .member = &instance->member,
    .distance = distances[fr_get_distance (picker, instance)],
    .in_subset = instance->in_subset,
    .ejected = fr_is_ejected (instance, now),
    .evacuated = fr_is_evacuated (picker, instance),
    .in_flight = instance->in_flight,
    .load = instance->load,
    .score = fr_score_instance (instance, rank, now),
  };
}

static int
compare_preferences (const void *a, const void *b)
{
  const fr_instance_view_t *left = a;
  const fr_instance_view_t *right = b;

  if (left->candidate != right->candidate)
    return left->candidate ? -1 : 1;
  if (left->in_subset != right->in_subset)
    return left->in_subset ? -1 : 1;
  if (left->score != right->score)
    return left->score < right->score ? -1 : 1;
  return fb_compare_names (&left->member->id, &right->member->id);
}

void
fr_visit_instances (const fr_picker_t *picker, fb_str_t name, uint32_t rank,
                    fr_instance_visitor_t visit, void *user)
{
  service_t *service = fr_find_service (picker, name);
  fb_time_t now = fb_read_clock (picker->clock);
  candidates_t candidates;
  GArray *list;

  if (service == NULL)
    return;
  fr_find_candidates (picker, service, NULL, 0, &candidates);
  list = g_array_new (FALSE, TRUE, sizeof (fr_instance_view_t));
  for (size_t i = 0; i < service->instances->len; i++)
    {
      const instance_t *instance = g_ptr_array_index (service->instances, i);
      fr_instance_view_t preference;

      describe_instance (picker, instance, MIN (rank, FC_RANKS_MAX - 1), now, &preference);
      for (size_t j = 0; j < candidates.count; j++)
        preference.candidate = preference.candidate || candidates.instances[j] == instance;
      g_array_append_val (list, preference);
    }
  g_array_sort (list, compare_preferences);
  for (guint i = 0; i < list->len; i++)
    visit (&g_array_index (list, fr_instance_view_t, i), user);
  g_array_unref (list);
}
