/* Parses and merges the nodes' responses to GET /burn. */
#include "report-burn.h"
#include <string.h>

static void
destroy_row (void *data)
{
  burn_row_t *row = data;

  g_array_unref (row->zones);
  g_array_unref (row->nodes);
  g_free (row);
}

burn_report_t *
burn_create_report (void)
{
  burn_report_t *report = g_new0 (burn_report_t, 1);

  report->rows = g_ptr_array_new_with_free_func (destroy_row);
  report->nodes = g_array_new (FALSE, FALSE, sizeof (burn_node_t));
  report->rows_by_objective = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return report;
}

void
burn_destroy_report (burn_report_t *report)
{
  if (!report)
    return;
  g_hash_table_destroy (report->rows_by_objective);
  g_ptr_array_unref (report->rows);
  g_array_unref (report->nodes);
  g_free (report);
}

/* Stores count KEY in *VALUE; false when missing or negative. */
static bool
parse_count (json_t *object, const char *key, uint64_t *value)
{
  json_t *item = json_object_get (object, key);

  if (!json_is_integer (item) || json_integer_value (item) < 0)
    return false;
  *value = (uint64_t)json_integer_value (item);
  return true;
}

static bool
parse_window (json_t *object, fs_counts_t *counts)
{
  uint64_t reach_ms;

  for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
    if (!parse_count (object, fs_describe_cause ((fs_cause_t)cause), &counts->calls[cause]))
      return false;
  if (!parse_count (object, "reach_ms", &reach_ms) || reach_ms > INT64_MAX / FB_MILLISECOND)
    return false;
  counts->reach_min = (fb_time_t)reach_ms * FB_MILLISECOND;
  counts->reach_max = counts->reach_min;
  return true;
}

static bool
parse_windows (json_t *list, fs_objective_counts_t *objective_counts)
{
  bool found[FS_WINDOW_COUNT] = { false };
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *name = json_string_value (json_object_get (item, "window"));

    for (int window = 0; name && window < FS_WINDOW_COUNT; window++)
      if (strcmp (name, fs_describe_window ((fs_window_t)window)) == 0)
        found[window] = parse_window (item, &objective_counts->windows[window]);
  }
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    if (!found[window])
      return false;
  return true;
}

static bool
parse_objective (json_t *item, fs_objective_counts_t *objective_counts)
{
  fs_objective_t *objective = &objective_counts->objective;
  json_t *ratio = json_object_get (item, "ratio");
  uint64_t target_ms;

  if (!fb_set_name (&objective->service,
                    fb_wrap_text (json_string_value (json_object_get (item, "service"))))
      || !fb_set_name (&objective->rank,
                       fb_wrap_text (json_string_value (json_object_get (item, "rank"))))
      || objective->service.len == 0 || objective->rank.len == 0
      || !parse_count (item, "target_ms", &target_ms) || target_ms > UINT32_MAX
      || !json_is_number (ratio) || json_number_value (ratio) < 0
      || json_number_value (ratio) > 1)
    return false;
  objective->target_ms = (uint32_t)target_ms;
  objective->ratio = json_number_value (ratio);
  return parse_windows (json_object_get (item, "windows"), objective_counts);
}

/* Returns RESPONSE as a new array of fs_objective_counts_t, NULL when any is malformed. */
static GArray *
parse_response (json_t *response)
{
  json_t *list = json_object_get (response, "objectives");
  GArray *objectives = g_array_new (FALSE, TRUE, sizeof (fs_objective_counts_t));
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    fs_objective_counts_t objective_counts = { 0 };

    if (!parse_objective (item, &objective_counts))
      {
        g_array_unref (objectives);
        return NULL;
      }
    g_array_append_val (objectives, objective_counts);
  }
  if (json_is_array (list))
    return objectives;
  g_array_unref (objectives);
  return NULL;
}

/* Adds COUNTS to group NAME, created when missing. */
static void
add_to_group (GArray *groups, const fb_name_t *name, const fs_counts_t *counts)
{
  burn_group_t new_group = { .name = *name };
  burn_group_t *group = NULL;

  for (guint i = 0; i < groups->len && !group; i++)
    if (fb_equal_name (&g_array_index (groups, burn_group_t, i).name, name))
      group = &g_array_index (groups, burn_group_t, i);
  if (!group)
    {
      g_array_append_val (groups, new_group);
      group = &g_array_index (groups, burn_group_t, groups->len - 1);
    }
  group->calls += fs_count_calls (counts);
  group->bad += fs_count_bad (counts);
}

static void
merge_objective_counts (burn_report_t *report, const burn_node_t *node,
                        const fs_objective_counts_t *objective_counts)
{
  const fs_objective_t *objective = &objective_counts->objective;
  const fs_counts_t *counts = &objective_counts->windows[FS_WINDOW_LONGEST];
  char *key = g_strdup_printf ("%s/%s %u %.17g", objective->service.data, objective->rank.data,
                               objective->target_ms, objective->ratio);
  burn_row_t *row = g_hash_table_lookup (report->rows_by_objective, key);
  burn_group_t group = { node->id, fs_count_calls (counts), fs_count_bad (counts) };

  if (row)
    {
      fs_merge_objective_counts (&row->objective_counts, objective_counts);
      g_free (key);
    }
  else
    {
      row = g_new0 (burn_row_t, 1);
      row->objective_counts = *objective_counts;
      row->zones = g_array_new (FALSE, FALSE, sizeof (burn_group_t));
      row->nodes = g_array_new (FALSE, FALSE, sizeof (burn_group_t));
      g_ptr_array_add (report->rows, row);
      g_hash_table_insert (report->rows_by_objective, key, row);
    }
  if (group.calls == 0)
    return;
  add_to_group (row->zones, &node->zone, counts);
  g_array_append_val (row->nodes, group);
}

fb_status_t
burn_add_response (burn_report_t *report, const burn_node_t *node, json_t *response)
{
  burn_node_t added = *node;
  GArray *objectives = parse_response (response);

  added.answered = objectives != NULL;
  g_array_append_val (report->nodes, added);
  if (!objectives)
    return response ? FB_INVALID : FB_OK;
  for (guint i = 0; i < objectives->len; i++)
    merge_objective_counts (report, &added,
                            &g_array_index (objectives, fs_objective_counts_t, i));
  g_array_unref (objectives);
  return FB_OK;
}

static int
compare_groups (const void *a, const void *b)
{
  const burn_group_t *left = a;
  const burn_group_t *right = b;

  if (left->bad != right->bad)
    return left->bad > right->bad ? -1 : 1;
  return fb_compare_names (&left->name, &right->name);
}

static int
compare_nodes (const void *a, const void *b)
{
  return fb_compare_names (&((const burn_node_t *)a)->id, &((const burn_node_t *)b)->id);
}

static int
compare_objectives (const fs_objective_t *a, const fs_objective_t *b)
{
  int order = fb_compare_names (&a->service, &b->service);

  if (order == 0)
    order = fb_compare_names (&a->rank, &b->rank);
  if (order == 0 && a->target_ms != b->target_ms)
    order = a->target_ms < b->target_ms ? -1 : 1;
  if (order == 0 && a->ratio != b->ratio)
    order = a->ratio < b->ratio ? -1 : 1;
  return order;
}

static int
compare_rows (const void *a, const void *b)
{
  const fs_objective_counts_t *left = &(*(burn_row_t *const *)a)->objective_counts;
  const fs_objective_counts_t *right = &(*(burn_row_t *const *)b)->objective_counts;
  fs_alert_t left_alert = fs_evaluate_alert (left);
  fs_alert_t right_alert = fs_evaluate_alert (right);
  double left_budget = fs_compute_budget_left (left);
  double right_budget = fs_compute_budget_left (right);

  if (left_alert != right_alert)
    return left_alert > right_alert ? -1 : 1;
  if (left_budget != right_budget)
    return left_budget < right_budget ? -1 : 1;
  return compare_objectives (&left->objective, &right->objective);
}

void
burn_sort_report (burn_report_t *report)
{
  for (guint i = 0; i < report->rows->len; i++)
    {
      burn_row_t *row = report->rows->pdata[i];

      g_array_sort (row->zones, compare_groups);
      g_array_sort (row->nodes, compare_groups);
    }
  g_array_sort (report->nodes, compare_nodes);
  g_ptr_array_sort (report->rows, compare_rows);
}

size_t
burn_count_responses (const burn_report_t *report)
{
  size_t count = 0;

  for (guint i = 0; i < report->nodes->len; i++)
    count += g_array_index (report->nodes, burn_node_t, i).answered;
  return count;
}
