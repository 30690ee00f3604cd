/* Retry budget per service, and the rule of which attempts may be retried. */
#include "retry-window.h"
#include <foxtailrun/call/retry.h>

/* Allowed regardless of traffic, so that services with few calls can retry; one per second. */
#define RETRIES_PER_WINDOW_MIN 10.0

/* Fraction of the budget that each rank leaves to the next more urgent one, and the smallest
 * fraction that a rank may use. */
#define RANK_RESERVE_FRACTION 0.25
#define RANK_USABLE_FRACTION_MIN 0.25

struct fr_retry_budget
{
  const fb_clock_t *clock;
  double ratio;
  double floor;
  fr_windows_t windows; /* by service; retries include hedges */
  fr_windows_t hedges;  /* by service; only granted hedges are counted */
};

fr_retry_budget_t *
fr_create_retry_budget (const fb_clock_t *clock)
{
  fr_retry_budget_t *budget = g_new0 (fr_retry_budget_t, 1);

  budget->clock = clock;
  budget->ratio = FR_RETRY_RATIO;
  budget->floor = RETRIES_PER_WINDOW_MIN;
  fr_init_windows (&budget->windows);
  fr_init_windows (&budget->hedges);
  return budget;
}

void
fr_destroy_retry_budget (fr_retry_budget_t *budget)
{
  if (budget == NULL)
    return;
  fr_clear_windows (&budget->windows);
  fr_clear_windows (&budget->hedges);
  g_free (budget);
}

void
fr_set_retry_allowance (fr_retry_budget_t *budget, double ratio, double floor)
{
  budget->ratio = ratio;
  budget->floor = floor;
}

static fr_window_t *
find_or_add_window (fr_retry_budget_t *budget, fr_windows_t *windows, fb_str_t service)
{
  char *key = fb_copy_text (service);
  fr_window_t *window = fr_find_or_add_window (windows, key, fb_read_clock (budget->clock));

  g_free (key);
  return window;
}

void
fr_deposit_retry (fr_retry_budget_t *budget, fb_str_t service)
{
  fr_add_to_window (find_or_add_window (budget, &budget->windows, service),
                    fb_read_clock (budget->clock), 1, 0);
}

/* Returns the retries allowed to calls of RANK by the calls in SUM. */
static double
get_allowance (const fr_retry_budget_t *budget, const fr_window_count_t *sum, uint32_t rank)
{
  return (budget->ratio * (double)sum->calls + budget->floor)
         * MAX (1 - RANK_RESERVE_FRACTION * rank, RANK_USABLE_FRACTION_MIN);
}

bool
fr_withdraw_retry (fr_retry_budget_t *budget, fb_str_t service, uint32_t rank)
{
  fr_window_t *window = find_or_add_window (budget, &budget->windows, service);
  fb_time_t now = fb_read_clock (budget->clock);
  const fr_window_count_t *sum = fr_advance_window (window, now);

  if ((double)(sum->granted + 1) > get_allowance (budget, sum, rank))
    return false;
  fr_add_to_window (window, now, 0, 1);
  return true;
}

bool
fr_withdraw_hedge (fr_retry_budget_t *budget, fb_str_t service, uint32_t rank, double share)
{
  fr_window_t *window = find_or_add_window (budget, &budget->windows, service);
  fr_window_t *hedges = find_or_add_window (budget, &budget->hedges, service);
  fb_time_t now = fb_read_clock (budget->clock);
  double allowed = get_allowance (budget, fr_advance_window (window, now), rank);

  if ((double)(fr_advance_window (hedges, now)->granted + 1) > allowed * share)
    return false;
  if (!fr_withdraw_retry (budget, service, rank))
    return false;
  fr_add_to_window (hedges, now, 0, 1);
  return true;
}

void
fr_charge_retry (fr_retry_budget_t *budget, fb_str_t service)
{
  fr_add_to_window (find_or_add_window (budget, &budget->windows, service),
                    fb_read_clock (budget->clock), 0, 1);
}

bool
fr_is_retry_safe (fw_outcome_t outcome, bool repeatable, bool has_ticket)
{
  /* By outcome and whether the route is repeatable. A ticket binds a call to one node: no
   * retry on another. */
  static const bool allowed[][2] = {
    [FW_ANSWERED] = { false, false },
    [FW_NOT_RUN] = { true, true },
    [FW_UNKNOWN] = { false, true },
    [FW_FAILED] = { false, true },
  };

  if (has_ticket || outcome < FW_ANSWERED || outcome > FW_FAILED)
    return false;
  return allowed[outcome][repeatable];
}
