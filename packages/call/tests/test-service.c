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
  const char *count = g_getenv ("SEEDS");
  const char *only = g_getenv ("SEED");
  uint32_t first = only != NULL ? (uint32_t)atoi (only) : 1;
  uint32_t last
      = only != NULL ? first : (uint32_t)(count != NULL ? atoi (count) : SEEDS_DEFAULT);
  world_totals_t totals = { 0 };

  for (uint32_t seed = first; seed <= last; seed++)
    {
      /* The last line before a failure names the seed. */
      g_printerr ("# SEED=%u\n", seed);
      run_world (seed, &totals);
    }
  g_test_message ("answered %" G_GUINT64_FORMAT ", not run %" G_GUINT64_FORMAT
                  ", unknown %" G_GUINT64_FORMAT ", runs %" G_GUINT64_FORMAT
                  ", replayed %" G_GUINT64_FORMAT ", waited %" G_GUINT64_FORMAT
                  ", unrecorded %" G_GUINT64_FORMAT ", foreign %" G_GUINT64_FORMAT
                  ", closed %" G_GUINT64_FORMAT ", late %" G_GUINT64_FORMAT
                  ", retried %" G_GUINT64_FORMAT ", restarted %" G_GUINT64_FORMAT,
                  totals.answered, totals.not_run, totals.unknown, totals.runs, totals.replayed,
                  totals.waited, totals.unrecorded, totals.foreign, totals.closed, totals.late,
                  totals.retried, totals.restarted);
  if (last - first + 1 < SEEDS_DEFAULT)
    return;
  /* The worlds are only worth something when each of these happened. */
  g_assert_cmpuint (totals.answered, >, totals.unknown);
  g_assert_cmpuint (totals.not_run, >, 0);
  g_assert_cmpuint (totals.replayed, >, 0);
  g_assert_cmpuint (totals.waited, >, 0);
  g_assert_cmpuint (totals.unrecorded, >, 0);
  g_assert_cmpuint (totals.foreign, >, 0);
  g_assert_cmpuint (totals.closed, >, 0);
  g_assert_cmpuint (totals.late, >, 0);
  g_assert_cmpuint (totals.retried, >, 0);
  g_assert_cmpuint (totals.restarted, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/service/worlds", test_worlds);
  return g_test_run ();
}
