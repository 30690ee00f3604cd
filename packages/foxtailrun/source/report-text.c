/* The burn report as a table and as JSON. */
#include "report-burn.h"
#include <math.h>

/* Lowest budget, in percent, printed as a number; longer ones would break the columns. */
#define BUDGET_PERCENT_MIN (-9999)

char *
burn_format_budget (const fs_objective_counts_t *objective_counts)
{
  double percent = fs_compute_budget_left (objective_counts) * 100;

  if (fabs (percent) < 0.05)
    percent = 0; /* never "-0.0" */
  return percent < BUDGET_PERCENT_MIN ? g_strdup_printf ("< %d %%", BUDGET_PERCENT_MIN)
                                      : g_strdup_printf ("%.1f %%", percent);
}

char *
burn_format_rate (const fs_objective_counts_t *objective_counts, fs_window_t window)
{
  const fs_counts_t *counts = &objective_counts->windows[window];

  if (fs_count_calls (counts) == 0)
    return g_strdup ("-");
  return g_strdup_printf ("%.2f",
                          fs_compute_burn_rate (counts, objective_counts->objective.ratio));
}

static void
append_duration (GString *text, fb_time_t duration)
{
  int64_t seconds = duration / FB_SECOND;

  if (seconds >= 3600)
    g_string_append_printf (text, "%dh", (int)(seconds / 3600));
  if (seconds >= 60)
    g_string_append_printf (text, "%dm", (int)(seconds / 60 % 60));
  g_string_append_printf (text, "%ds", (int)(seconds % 60));
}

char *
burn_format_reach (const fs_counts_t *counts)
{
  GString *text = g_string_new ("");

  append_duration (text, counts->reach_min);
  if (counts->reach_max / FB_SECOND != counts->reach_min / FB_SECOND)
    {
      g_string_append (text, " to ");
      append_duration (text, counts->reach_max);
    }
  return g_string_free (text, FALSE);
}

static void
print_causes (const fs_counts_t *counts, FILE *out)
{
  const char *separator = "";

  for (int cause = FS_GOOD + 1; cause < FS_CAUSE_COUNT; cause++)
    {
      if (counts->calls[cause] == 0)
        continue;
      fprintf (out, "%s%s %" G_GUINT64_FORMAT, separator, fs_describe_cause ((fs_cause_t)cause),
               counts->calls[cause]);
      separator = ", ";
    }
  if (*separator)
    fprintf (out, " of %" G_GUINT64_FORMAT "\n", fs_count_calls (counts));
  else
    fprintf (out, "-\n");
}

static void
print_groups (const char *title, const GArray *groups, FILE *out)
{
  const char *separator = "";

  for (guint i = 0; i < groups->len && i < BURN_GROUPS_SHOWN_MAX; i++)
    {
      const burn_group_t *group = &g_array_index (groups, burn_group_t, i);

      if (group->bad == 0)
        break;
      fprintf (out, "%s%s %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT,
               *separator ? separator : title, group->name.data, group->bad, group->calls);
      separator = ", ";
    }
  if (*separator)
    fputc ('\n', out);
}

static void
print_row (const burn_row_t *row, FILE *out)
{
  const fs_objective_counts_t *objective_counts = &row->objective_counts;
  const fs_counts_t *longest = &objective_counts->windows[FS_WINDOW_LONGEST];
  char *name = g_strdup_printf ("%s/%s", objective_counts->objective.service.data,
                                objective_counts->objective.rank.data);
  char *budget = burn_format_budget (objective_counts);
  char *reach = burn_format_reach (longest);

  fprintf (out, "%-28s %8u %-8.6g", name, objective_counts->objective.target_ms,
           objective_counts->objective.ratio);
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    {
      char *rate = burn_format_rate (objective_counts, (fs_window_t)window);
      const char *marker = objective_counts->windows[window].reach_min
                                   < fs_get_window_length ((fs_window_t)window)
                               ? "*"
                               : " ";

      fprintf (out, " %8s%s", rate, marker);
      g_free (rate);
    }
  fprintf (out, " %-7s %9s  ", fs_describe_alert (fs_evaluate_alert (objective_counts)),
           budget);
  print_causes (longest, out);
  if (longest->reach_min < fs_get_window_length (FS_WINDOW_LONGEST))
    fprintf (out, "  * counts go back %s\n", reach);
  print_groups ("  bad calls by zone: ", row->zones, out);
  print_groups ("  bad calls by node: ", row->nodes, out);
  g_free (reach);
  g_free (budget);
  g_free (name);
}

void
burn_print_report (const burn_report_t *report, FILE *out)
{
  fprintf (out, "%zu of %u nodes answered\n", burn_count_responses (report),
           report->nodes->len);
  for (guint i = 0; i < report->nodes->len; i++)
    {
      const burn_node_t *node = &g_array_index (report->nodes, burn_node_t, i);

      if (!node->answered)
        fprintf (out, "  no answer: %s in %s, %s\n", node->id.data, node->zone.data,
                 node->state.data);
    }
  if (report->rows->len == 0)
    {
      fprintf (out, "no objectives\n");
      return;
    }
  fprintf (out, "\n%-28s %8s %-8s", "objective", "ms", "ratio");
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    fprintf (out, " %8s ", fs_describe_window ((fs_window_t)window));
  fprintf (out, " %-7s %9s  %s\n", "alert", "budget", "bad calls in 6h");
  for (guint i = 0; i < report->rows->len; i++)
    print_row (report->rows->pdata[i], out);
}

static json_t *
pack_groups (const GArray *groups)
{
  json_t *list = json_array ();

  for (guint i = 0; i < groups->len; i++)
    {
      const burn_group_t *group = &g_array_index (groups, burn_group_t, i);

      json_array_append_new (list, json_pack ("{s:s,s:I,s:I}", "name", group->name.data,
                                              "calls", (json_int_t)group->calls, "bad",
                                              (json_int_t)group->bad));
    }
  return list;
}

static json_t *
pack_windows (const fs_objective_counts_t *objective_counts)
{
  json_t *list = json_array ();

  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    {
      const fs_counts_t *counts = &objective_counts->windows[window];
      json_t *object
          = json_pack ("{s:s,s:I,s:I,s:f}", "window", fs_describe_window ((fs_window_t)window),
                       "reach_min_ms", (json_int_t)(counts->reach_min / FB_MILLISECOND),
                       "reach_max_ms", (json_int_t)(counts->reach_max / FB_MILLISECOND), "rate",
                       fs_compute_burn_rate (counts, objective_counts->objective.ratio));

      for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
        json_object_set_new (object, fs_describe_cause ((fs_cause_t)cause),
                             json_integer ((json_int_t)counts->calls[cause]));
      json_array_append_new (list, object);
    }
  return list;
}

json_t *
burn_pack_report (const burn_report_t *report)
{
  json_t *nodes = json_array ();
  json_t *objectives = json_array ();

  for (guint i = 0; i < report->nodes->len; i++)
    {
      const burn_node_t *node = &g_array_index (report->nodes, burn_node_t, i);

      json_array_append_new (nodes, json_pack ("{s:s,s:s,s:s,s:b}", "id", node->id.data, "zone",
                                               node->zone.data, "state", node->state.data,
                                               "answered", (int)node->answered));
    }
  for (guint i = 0; i < report->rows->len; i++)
    {
      const burn_row_t *row = report->rows->pdata[i];
      const fs_objective_t *objective = &row->objective_counts.objective;

      json_array_append_new (
          objectives,
          json_pack ("{s:s,s:s,s:I,s:f,s:s,s:f,s:o,s:o,s:o}", "service",
                     objective->service.data, "rank", objective->rank.data, "target_ms",
                     (json_int_t)objective->target_ms, "ratio", objective->ratio, "alert",
                     fs_describe_alert (fs_evaluate_alert (&row->objective_counts)), "budget",
                     fs_compute_budget_left (&row->objective_counts), "windows",
                     pack_windows (&row->objective_counts), "zones", pack_groups (row->zones),
                     "nodes", pack_groups (row->nodes)));
    }
  return json_pack ("{s:o,s:o}", "nodes", nodes, "objectives", objectives);
}
