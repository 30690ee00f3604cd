/* Adaptive throttle: refuses calls locally in proportion to the refusals of admission. */
#include "retry-window.h"
#include <foxtailrun/call/retry.h>

/* Calls admitted per accepted call. Above 1, to notice a recovery at once; with 2 a flood
 * costs a node as many refusals as accepted calls. */
#define ADMITTED_PER_ACCEPTED 2.0

/* Ended calls in a window from which the throttle refuses calls and a customer is counted
 * separately.
 */
#define SAMPLE_CALLS_MIN 20

/* Longest time without an admitted call while calls are offered. */
#define PROBE_INTERVAL (100 * FB_MILLISECOND)

/* While there are this many windows, all calls are counted in the shared ones. */
#define WINDOWS_MAX 10000

struct fr_throttle
{
  const fb_clock_t *clock;
  GRand *random;
  fr_windows_t windows; /* by rank and service, and by customer unless shared */
};

fr_throttle_t *
fr_create_throttle (uint32_t seed, const fb_clock_t *clock)
{
  fr_throttle_t *throttle = g_new0 (fr_throttle_t, 1);

  throttle->clock = clock;
  throttle->random = g_rand_new_with_seed (seed);
  fr_init_windows (&throttle->windows);
  return throttle;
}

void
fr_destroy_throttle (fr_throttle_t *throttle)
{
  if (throttle == NULL)
    return;
  fr_clear_windows (&throttle->windows);
  g_rand_free (throttle->random);
  g_free (throttle);
}

/* Returns the window of CUSTOMER, or the shared window when CUSTOMER is NULL. */
static fr_window_t *
find_or_add_window (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                    const fb_str_t *customer)
{
  fb_time_t now = fb_read_clock (throttle->clock);
  fr_window_t *window;
  char *key;

  if (customer != NULL && fr_count_windows (&throttle->windows) < WINDOWS_MAX)
    key = g_strdup_printf ("%u %zu %.*s %.*s", rank, service.len, (int)service.len,
                           service.data, (int)customer->len, customer->data);
  else
    key = g_strdup_printf ("%u %.*s", rank, (int)service.len, service.data);
  window = fr_find_or_add_window (&throttle->windows, key, now);
  g_free (key);
  fr_advance_window (window, now);
  return window;
}

static fr_window_t *
find_throttling_window (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                        fb_str_t customer)
{
  fr_window_t *own = find_or_add_window (throttle, service, rank, &customer);

  return own->counted_separately ? own : find_or_add_window (throttle, service, rank, NULL);
}

/* Counts one call of CUSTOMER that ended. Customers with few calls count in their own and
 * the shared window; at SAMPLE_CALLS_MIN their calls are subtracted from the shared one. */
static void
count_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, fb_str_t customer,
            bool accepted)
{
  fb_time_t now = fb_read_clock (throttle->clock);
  fr_window_t *own = find_or_add_window (throttle, service, rank, &customer);
  fr_window_t *shared;

  fr_add_to_window (own, now, 1, accepted);
  if (own->counted_separately)
    return;
  shared = find_or_add_window (throttle, service, rank, NULL);
  if (shared == own)
    return;
  fr_add_to_window (shared, now, 1, accepted);
  if (own->sum.calls < SAMPLE_CALLS_MIN)
    return;
  own->counted_separately = true;
  fr_subtract_window (shared, own);
}

bool
fr_admit_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, fb_str_t customer)
{
  fr_window_t *window = find_throttling_window (throttle, service, rank, customer);
  fb_time_t now = fb_read_clock (throttle->clock);
  const fr_window_count_t *sum = &window->sum;
  double excess = (double)sum->calls - ADMITTED_PER_ACCEPTED * (double)sum->granted;

  if (sum->calls < SAMPLE_CALLS_MIN || now - window->last_admitted_at >= PROBE_INTERVAL
      || g_rand_double (throttle->random) >= excess / (double)(sum->calls + 1))
    {
      window->last_admitted_at = now;
      return true;
    }
  /* Calls in flight count only at their end, or a slow service would seem to refuse calls. */
  count_call (throttle, service, rank, customer, false);
  return false;
}

void
fr_report_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, fb_str_t customer,
                    bool accepted)
{
  count_call (throttle, service, rank, customer, accepted);
}

bool
fr_admit_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank)
{
  return fr_admit_customer (throttle, service, rank, FB_LITERAL (""));
}

void
fr_report_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, bool accepted)
{
  fr_report_customer (throttle, service, rank, FB_LITERAL (""), accepted);
}
