/* Adaptive throttle: refuses locally in proportion to what admission refuses. */
#include "retry-window.h"
#include <foxtailrun/call/retry.h>

/* Calls let through for each accepted one. Above 1, so that a service that recovers is seen at
 * once; 2 lets a flood cost a node as many refusals as accepted calls. */
#define OFFERED_PER_ACCEPTED 2.0

/* Ended calls in the window before the throttle acts. */
#define OFFERED_MIN 20

/* Longest time without a call let through while calls are offered. */
#define PROBE_PERIOD (100 * FB_MILLISECOND)

struct fr_throttle
{
  const fb_clock_t *clock;
  GRand *random;
  GHashTable *windows; /* "rank service" -> fr_window_t of calls ended and calls accepted */
};

fr_throttle_t *
fr_create_throttle (uint32_t seed, const fb_clock_t *clock)
{
  fr_throttle_t *throttle = g_new0 (fr_throttle_t, 1);

  throttle->clock = clock;
  throttle->random = g_rand_new_with_seed (seed);
  throttle->windows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return throttle;
}

void
fr_destroy_throttle (fr_throttle_t *throttle)
{
  if (throttle == NULL)
    return;
  g_hash_table_destroy (throttle->windows);
  g_rand_free (throttle->random);
  g_free (throttle);
}

static fr_window_t *
find_window (fr_throttle_t *throttle, fb_str_t service, uint32_t rank)
{
  char *key = g_strdup_printf ("%u %.*s", rank, (int)service.len, service.data);
  fr_window_t *window = fr_find_window (throttle->windows, key);

  g_free (key);
  return window;
}

bool
fr_admit_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank)
{
  fr_window_t *window = find_window (throttle, service, rank);
  fb_time_t now = fb_read_clock (throttle->clock);
  const fr_window_count_t *sum = fr_move_window (window, now);
  double excess = (double)sum->offered - OFFERED_PER_ACCEPTED * (double)sum->taken;

  if (sum->offered < OFFERED_MIN || now - window->last_passed >= PROBE_PERIOD
      || g_rand_double (throttle->random) >= excess / (double)(sum->offered + 1))
    {
      window->last_passed = now;
      return true;
    }
  /* Calls in flight are not counted before they end, or a slow service would look refusing. */
  fr_add_window (window, now, 1, 0);
  return false;
}

void
fr_report_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, bool accepted)
{
  fr_add_window (find_window (throttle, service, rank), fb_read_clock (throttle->clock), 1,
                 accepted ? 1 : 0);
}
