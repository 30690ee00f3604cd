/* Adaptive throttle: refuses locally in proportion to what admission refuses. */
#include "retry-window.h"
#include <foxtailrun/call/retry.h>

/* Calls let through for each accepted one. Above 1, so that a service that recovers is seen at
 * once; 2 lets a flood cost a node as many refusals as accepted calls. */
#define ADMITTED_PER_ACCEPTED 2.0

/* Ended calls in the window before the throttle acts. */
#define SAMPLE_CALLS_MIN 20

/* Longest time without a call let through while calls are offered. */
#define PROBE_INTERVAL (100 * FB_MILLISECOND)

/* Most windows held; calls of further customers are counted with those of the small ones. */
#define WINDOWS_MAX 10000

struct fr_throttle
{
  const fb_clock_t *clock;
  GRand *random;
  fr_windows_t windows; /* by rank, service and customer, of calls ended and accepted */
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

/* Finds the window of all small customers, with CUSTOMER NULL, or of one. */
static fr_window_t *
find_window (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, const fb_str_t *customer)
{
  fb_time_t now = fb_read_clock (throttle->clock);
  fr_window_t *window;
  char *key;

  if (customer != NULL && fr_count_windows (&throttle->windows) < WINDOWS_MAX)
    key = g_strdup_printf ("%u %zu %.*s %.*s", rank, service.len, (int)service.len,
                           service.data, (int)customer->len, customer->data);
  else
    key = g_strdup_printf ("%u %.*s", rank, (int)service.len, service.data);
  window = fr_find_window (&throttle->windows, key, now);
  g_free (key);
  fr_advance_window (window, now);
  return window;
}

/* Finds the window that decides about a call of CUSTOMER. */
static fr_window_t *
find_throttling_window (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                        fb_str_t customer)
{
  fr_window_t *own = find_window (throttle, service, rank, &customer);

  return own->counted_separately ? own : find_window (throttle, service, rank, NULL);
}

/* Counts one call of CUSTOMER that ended. A small customer is counted twice, alone and with the
 * others; when it is small no longer, the others are rid of it. */
static void
count_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, fb_str_t customer,
            bool accepted)
{
  fb_time_t now = fb_read_clock (throttle->clock);
  fr_window_t *own = find_window (throttle, service, rank, &customer);
  fr_window_t *small;

  fr_add_to_window (own, now, 1, accepted);
  if (own->counted_separately)
    return;
  small = find_window (throttle, service, rank, NULL);
  if (small == own)
    return;
  fr_add_to_window (small, now, 1, accepted);
  if (own->sum.calls < SAMPLE_CALLS_MIN)
    return;
  own->counted_separately = true;
  fr_subtract_window (small, own);
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
  /* Calls in flight are not counted before they end, or a slow service would look refusing. */
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
fr_admit_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank)
{
  return fr_admit_customer (throttle, service, rank, FB_LITERAL (""));
}

void
fr_report_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, bool accepted)
{
  fr_report_customer (throttle, service, rank, FB_LITERAL (""), accepted);
}
