/* Random worlds: the whole call path against lost, repeated and late messages, restarts,
 * pauses, drains, failing, cold and shedding servers, and callers that repeat their requests.
 */
#include "fixture-service.h"
#include <glib.h>
#include <stdlib.h>

#define SEEDS_DEFAULT 200

/* Guards against a ticket that runs twice, a "not run" that is untrue, an answer to another
 * request, over-used slots, and calls that never end. SEEDS=N runs N worlds, SEED=N only that
 * one. */
static void
test_worlds (void)
{
  static const char *const names[TOTAL_COUNT]
      = { "answered",   "not run", "unknown", "runs", "replayed", "waited",
          "unrecorded", "foreign", "closed",  "late", "retried",  "restarted" };
  const char *count = g_getenv ("SEEDS");
  const char *only = g_getenv ("SEED");
  uint32_t first = only != NULL ? (uint32_t)atoi (only) : 1;
  uint32_t last
      = only != NULL ? first : (uint32_t)(count != NULL ? atoi (count) : SEEDS_DEFAULT);
  uint64_t totals[TOTAL_COUNT] = { 0 };

  for (uint32_t seed = first; seed <= last; seed++)
    {
      /* The last line before a failure names the seed. */
      g_printerr ("# SEED=%u\n", seed);
      run_world (seed, totals);
    }
  if (last - first + 1 >= SEEDS_DEFAULT)
    g_assert_cmpuint (totals[TOTAL_ANSWERED], >, totals[TOTAL_UNKNOWN]);
  for (int i = 0; i < TOTAL_COUNT; i++)
    {
      g_test_message ("%s: %" G_GUINT64_FORMAT, names[i], totals[i]);
      /* The worlds are only worth something when each of these happened. */
      if (last - first + 1 >= SEEDS_DEFAULT)
        g_assert_cmpuint (totals[i], >, 0);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/service/worlds", test_worlds);
  return g_test_run ();
}
