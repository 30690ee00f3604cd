/* The results of a run as a table and as JSON. */
#include "load.h"

static const char *const outcome_keys[LOAD_OUTCOME_COUNT]
    = { "answered", "not_run", "unknown", "failed", "transport_errors", "not_started" };

typedef struct
{
  double median_ms;
  double p99_ms;
  double longest_ms;
  double goodput; /* answered calls/s */
} kind_stats_t;

static int
compare_times (const void *a, const void *b)
{
  fb_time_t left = *(const fb_time_t *)a;
  fb_time_t right = *(const fb_time_t *)b;

  return left < right ? -1 : left > right;
}

fb_time_t
load_find_percentile (const GArray *latencies, double fraction)
{
  guint index;

  if (latencies->len == 0)
    return 0;
  /* Nearest rank: the smallest with at least FRACTION of the values. */
  index = (guint)(fraction * latencies->len);
  if (index < fraction * latencies->len)
    index++;
  return g_array_index (latencies, fb_time_t, MAX (index, 1) - 1);
}

static kind_stats_t
compute_stats (const load_plan_t *plan, load_kind_t *kind)
{
  double seconds = MAX ((double)plan->elapsed / FB_SECOND, plan->duration_s);

  g_array_sort (kind->latencies, compare_times);
  return (kind_stats_t){
    .median_ms = (double)load_find_percentile (kind->latencies, 0.5) / FB_MILLISECOND,
    .p99_ms = (double)load_find_percentile (kind->latencies, 0.99) / FB_MILLISECOND,
    .longest_ms = (double)load_find_percentile (kind->latencies, 1) / FB_MILLISECOND,
    .goodput = (double)kind->outcomes[LOAD_ANSWERED] / seconds,
  };
}

void
load_print_report (load_plan_t *plan, FILE *out)
{
  uint64_t not_started = 0;

  fprintf (out, "%-28s %8s %8s %8s %8s %8s %9s %9s %8s %8s %8s %9s\n", "call", "offered",
           "answered", "not run", "unknown", "failed", "transport", "unstarted", "p50 ms",
           "p99 ms", "max ms", "goodput/s");
  for (size_t i = 0; i < plan->kind_count; i++)
    {
      load_kind_t *kind = &plan->kinds[i];
      kind_stats_t stats = compute_stats (plan, kind);
      char *name = g_strdup_printf ("%s %s%s%s", kind->method, kind->path,
                                    kind->customer.len > 0 ? " " : "", kind->customer.data);

      fprintf (out, "%-28s %8" G_GUINT64_FORMAT, name, kind->offered);
      for (int outcome = 0; outcome < LOAD_OUTCOME_COUNT; outcome++)
        fprintf (out, " %*" G_GUINT64_FORMAT, outcome >= LOAD_TRANSPORT_ERROR ? 9 : 8,
                 kind->outcomes[outcome]);
      fprintf (out, " %8.1f %8.1f %8.1f %9.1f\n", stats.median_ms, stats.p99_ms,
               stats.longest_ms, stats.goodput);
      not_started += kind->outcomes[LOAD_NOT_STARTED];
      g_free (name);
    }
  fprintf (out,
           "%u calls/s for %u s, seed %u, over after %.1f s, at most %u in flight (bound %u)\n",
           plan->rate, plan->duration_s, plan->seed, (double)plan->elapsed / FB_SECOND,
           plan->in_flight_peak, plan->in_flight_max);
  if (not_started > 0)
    fprintf (out,
             "%" G_GUINT64_FORMAT " calls were not started because %u were in flight; the "
             "latencies are of the others\n",
             not_started, plan->in_flight_max);
}

static json_t *
pack_kind (const load_plan_t *plan, load_kind_t *kind)
{
  kind_stats_t stats = compute_stats (plan, kind);
  json_t *object = json_pack (
      "{s:s,s:s,s:s,s:i,s:b,s:I,s:I}", "method", kind->method, "path", kind->path, "customer",
      kind->customer.data, "weight", (int)kind->weight, "ticket", kind->ticket, "offered",
      (json_int_t)kind->offered, "ticket_repeats", (json_int_t)kind->ticket_repeats);

  for (int outcome = 0; outcome < LOAD_OUTCOME_COUNT; outcome++)
    json_object_set_new (object, outcome_keys[outcome],
                         json_integer ((json_int_t)kind->outcomes[outcome]));
  json_object_set_new (object, "median_ms", json_real (stats.median_ms));
  json_object_set_new (object, "p99_ms", json_real (stats.p99_ms));
  json_object_set_new (object, "longest_ms", json_real (stats.longest_ms));
  json_object_set_new (object, "goodput", json_real (stats.goodput));
  return object;
}

json_t *
load_pack_report (load_plan_t *plan)
{
  json_t *calls = json_array ();

  for (size_t i = 0; i < plan->kind_count; i++)
    json_array_append_new (calls, pack_kind (plan, &plan->kinds[i]));
  return json_pack ("{s:i,s:i,s:i,s:f,s:i,s:i,s:o}", "rate", (int)plan->rate, "duration_s",
                    (int)plan->duration_s, "seed", (int)plan->seed, "elapsed_s",
                    (double)plan->elapsed / FB_SECOND, "in_flight_bound",
                    (int)plan->in_flight_max, "in_flight_top", (int)plan->in_flight_peak,
                    "calls", calls);
}
