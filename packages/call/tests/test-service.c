/* Random simulations of the whole call path with lost, duplicated and delayed messages,
 * restarts, pauses, drains, failing, slow and shedding backend servers, and callers that repeat
 * requests. */
#include "fixture-service.h"
#include <glib.h>
#include <stdlib.h>

#define SEEDS_DEFAULT 200

/* Guards against a ticket that runs twice, a call that runs although "not run" was reported,
 * the answer to another request, more running calls than slots, and calls that never end.
 * SEEDS=N runs the seeds 1 to N, SEED=N only that one. */
static void
test_simulations (void)
{
  static const char *const names[TOTAL_COUNT]
      = { "answered",  "not run",       "unknown", "runs", "replayed", "joined",
          "no record", "other process", "refused", "late", "retried",  "restarted" };
  const char *count = g_getenv ("SEEDS");
  const char *single_seed = g_getenv ("SEED");
  uint32_t first = single_seed != NULL ? (uint32_t)atoi (single_seed) : 1;
  uint32_t last
      = single_seed != NULL ? first : (uint32_t)(count != NULL ? atoi (count) : SEEDS_DEFAULT);
  uint64_t totals[TOTAL_COUNT] = { 0 };

  for (uint32_t seed = first; seed <= last; seed++)
    {
      /* The last such line before a failure names its seed. */
      g_printerr ("# SEED=%u\n", seed);
      run_simulation (seed, totals);
    }
  if (last - first + 1 >= SEEDS_DEFAULT)
    g_assert_cmpuint (totals[TOTAL_ANSWERED], >, totals[TOTAL_UNKNOWN]);
  for (int i = 0; i < TOTAL_COUNT; i++)
    {
      g_test_message ("%s: %" G_GUINT64_FORMAT, names[i], totals[i]);
      /* The default seeds must cover each of these cases. */
      if (last - first + 1 >= SEEDS_DEFAULT)
        g_assert_cmpuint (totals[i], >, 0);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/service/simulations", test_simulations);
  return g_test_run ();
}
