/* Burn rates, alerts and remaining budgets, computed from counts. */
#include <foxtailrun/report/burn.h>
#include <glib.h>

#define MINUTE (60 * FB_SECOND)

static const struct
{
  const char *name;
  fb_time_t length;
} windows[FS_WINDOW_COUNT] = {
  [FS_WINDOW_5M] = { "5m", 5 * MINUTE },
  [FS_WINDOW_30M] = { "30m", 30 * MINUTE },
  [FS_WINDOW_1H] = { "1h", 60 * MINUTE },
  [FS_WINDOW_6H] = { "6h", 360 * MINUTE },
};

/* Conditions of the alerts, most urgent first. The shorter window ends an alert soon after its
 * cause has ended. */
static const struct
{
  fs_window_t shorter;
  fs_window_t longer;
  double rate;
  fs_alert_t alert;
} alert_rules[] = {
  { FS_WINDOW_5M, FS_WINDOW_1H, FS_PAGE_BURN_RATE, FS_ALERT_PAGE },
  { FS_WINDOW_30M, FS_WINDOW_6H, FS_TICKET_BURN_RATE, FS_ALERT_TICKET },
};

fb_time_t
fs_get_window_length (fs_window_t window)
{
  return windows[window].length;
}

const char *
fs_describe_window (fs_window_t window)
{
  return windows[window].name;
}

const char *
fs_describe_cause (fs_cause_t cause)
{
  static const char *const names[FS_CAUSE_COUNT]
      = { "good", "refused", "late", "failed", "unknown" };

  return names[cause];
}

const char *
fs_describe_alert (fs_alert_t alert)
{
  static const char *const names[] = { "-", "ticket", "page" };

  return names[alert];
}

uint64_t
fs_count_bad (const fs_counts_t *counts)
{
  return fs_count_calls (counts) - counts->calls[FS_GOOD];
}

uint64_t
fs_count_calls (const fs_counts_t *counts)
{
  uint64_t sum = 0;

  for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
    sum += counts->calls[cause];
  return sum;
}

double
fs_compute_burn_rate (const fs_counts_t *counts, double ratio)
{
  uint64_t bad = fs_count_bad (counts);

  if (bad == 0)
    return 0;
  if (ratio >= 1)
    return FS_BURN_RATE_MAX;
  return MIN ((double)bad / (double)fs_count_calls (counts) / (1 - ratio), FS_BURN_RATE_MAX);
}

/* Tolerates the rounding of 1 - ratio, so that a rate at the threshold raises the alert. */
static bool
reaches_burn_rate (const fs_objective_counts_t *counts, fs_window_t window, double rate)
{
  return fs_compute_burn_rate (&counts->windows[window], counts->objective.ratio)
         >= rate * (1 - 1e-9);
}

fs_alert_t
fs_evaluate_alert (const fs_objective_counts_t *counts)
{
  for (size_t i = 0; i < G_N_ELEMENTS (alert_rules); i++)
    if (reaches_burn_rate (counts, alert_rules[i].shorter, alert_rules[i].rate)
        && reaches_burn_rate (counts, alert_rules[i].longer, alert_rules[i].rate))
      return alert_rules[i].alert;
  return FS_ALERT_NONE;
}

double
fs_compute_budget_left (const fs_objective_counts_t *counts)
{
  return 1
         - fs_compute_burn_rate (&counts->windows[FS_WINDOW_LONGEST], counts->objective.ratio);
}

bool
fs_equal_objective (const fs_objective_t *a, const fs_objective_t *b)
{
  return fb_equal_name (&a->service, &b->service) && fb_equal_name (&a->rank, &b->rank)
         && a->target_ms == b->target_ms && a->ratio == b->ratio;
}

void
fs_merge_objective_counts (fs_objective_counts_t *into, const fs_objective_counts_t *from)
{
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    {
      fs_counts_t *sum = &into->windows[window];
      const fs_counts_t *added = &from->windows[window];

      for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
        sum->calls[cause] += added->calls[cause];
      sum->reach_min = MIN (sum->reach_min, added->reach_min);
      sum->reach_max = MAX (sum->reach_max, added->reach_max);
    }
}
