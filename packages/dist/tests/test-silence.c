/* Feeds whose connections go silent, while the store is sound. */
#include "fixture-feed.h"

/* Time after which nodes whose connections went silent must know of changes again. */
#define STABLE_AFTER (3 * FB_SECOND)

/* Time after a restart of the store in which all instances register again. */
#define RELIST_TIME (1500 * FB_MILLISECOND)

#define NO_SILENCE (-1)

static void
check_state (const fleet_t *fleet, size_t nodes, size_t endpoint, fw_member_state_t state)
{
  for (size_t i = 0; i < nodes; i++)
    {
      g_test_message ("node %zu", i);
      g_assert_cmpint (feed_get_state (fleet, i, endpoint), ==, state);
    }
}

/* Removes endpoint 1 REMOVED_MS after the connections went silent for the first time, and
 * silences them again after SECOND_MS. */
static void
run_silence (size_t nodes, bool with_relays, bool updates, int phase_ms, int removed_ms,
             int second_ms)
{
  fleet_t *fleet = feed_create_fleet (nodes, (uint32_t)(removed_ms + phase_ms));
  int last_silence_ms = MAX (second_ms, 0);
  int end_ms = MAX (last_silence_ms + (int)(STABLE_AFTER / FB_MILLISECOND),
                    removed_ms + (int)(FEED_CHANGE_DEADLINE / FB_MILLISECOND));

  if (!updates)
    feed_stop_endpoint_updates (fleet);
  feed_advance (fleet, 8 * FB_SECOND + phase_ms * FB_MILLISECOND);
  for (int ms = MIN (removed_ms, 0); ms < end_ms; ms += 5)
    {
      if (ms == 0 || ms == second_ms)
        feed_silence_connections (fleet, with_relays);
      if (ms == removed_ms)
        feed_set_endpoint (fleet, 1, FW_DEAD);
      feed_advance (fleet, 5 * FB_MILLISECOND);
    }
  g_test_message ("%zu nodes, relays %d, updates %d, phase %d, removed at %d, silent at %d",
                  nodes, with_relays, updates, phase_ms, removed_ms, second_ms);
  check_state (fleet, nodes, 1, FW_DEAD);
  feed_destroy_fleet (fleet);
}

/* Guards against a removal that is withheld, or noticed late, because connections to a sound
 * store go silent: before or after the removal, once or twice. */
static void
test_removal (void)
{
  static const struct
  {
    size_t nodes; /* 3: each reads the store; 36: one of a zone does, the others follow it */
    bool with_relays;
    bool updates;
  } cases[] = {
    { 3, false, true }, { 3, false, false }, { 36, false, true },
    { 36, true, true }, { 36, true, false },
  };
  static const int second_ms[] = { NO_SILENCE, 1700, 2350, 2900 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int phase = 0; phase<1000; phase += cases[i].nodes> 3 ? 330 : 110)
      for (size_t j = 0; j < G_N_ELEMENTS (second_ms); j++)
        for (int removed = -200; removed <= 3000; removed += 400)
          run_silence (cases[i].nodes, cases[i].with_relays, cases[i].updates, phase, removed,
                       second_ms[j]);
}

/* Guards against the same with a second silence at any moment, such as while the read after the
 * first one is under way. */
static void
test_second_silence (void)
{
  for (int second = 5; second <= 3000; second += 5)
    {
      run_silence (3, false, true, 0, 200, second);
      run_silence (3, false, false, 500, 200, second);
    }
}

/* Guards against all endpoints lost at once, with those that the store loses in a restart that
 * takes one read; instances register again after it. */
static void
test_restart (void)
{
  for (int phase_ms = 0; phase_ms < 1000; phase_ms += 100)
    {
      fleet_t *fleet = feed_create_fleet (FEED_ZONES, (uint32_t)phase_ms);

      g_test_message ("phase %d", phase_ms);
      feed_advance (fleet, 4 * FB_SECOND + phase_ms * FB_MILLISECOND);
      feed_set_store_silent (fleet, true);
      for (size_t i = 0; i < FEED_ZONES; i++)
        feed_set_endpoint (fleet, i, FW_DEAD);
      feed_advance (fleet, FB_SECOND);
      feed_set_store_silent (fleet, false);
      for (fb_time_t time = 0; time < RELIST_TIME; time += 5 * FB_MILLISECOND)
        {
          feed_advance (fleet, 5 * FB_MILLISECOND);
          for (size_t i = 0; i < FEED_ZONES; i++)
            check_state (fleet, FEED_ZONES, i, FW_ALIVE);
        }
      for (size_t i = 0; i < FEED_ZONES; i++)
        feed_set_endpoint (fleet, i, FW_ALIVE);
      feed_advance (fleet, 4 * FB_SECOND);
      for (size_t i = 0; i < FEED_ZONES; i++)
        check_state (fleet, FEED_ZONES, i, FW_ALIVE);
      feed_destroy_fleet (fleet);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/dist/silence/removal", test_removal);
  g_test_add_func ("/dist/silence/second", test_second_silence);
  g_test_add_func ("/dist/silence/restart", test_restart);
  return g_test_run ();
}
