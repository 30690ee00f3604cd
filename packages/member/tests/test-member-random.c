/* Randomised runs of up to 12 tables under faults; SEEDS=N runs N seeds, FIRST_SEED=K starts
 * at K. */
#include "fixture-fleet.h"
#include <stdlib.h>

#define SEEDS_DEFAULT 32

/* Longest time from the last fault to convergence: 30 s until the host list is read again, at
 * most two rounds of 11 pings at 1 s until a stale entry is probed, a suspicion of 4 s times
 * the health multiplier 4, 15 s to detect and fetch a list that still differs (5 s and 10 s),
 * and 5 s to spread. */
#define CONVERGENCE_TIME_MAX ((30 + 2 * 11 + 4 * 4 + 15 + 5) * FB_SECOND)

/* A leaving node receives no new work after 3 s (guarantee G7). */
#define LEAVE_SPREAD_TIME_MAX (3 * FB_SECOND)

/* In a healthy fleet: at most two rounds of 11 pings at 1 s, 1 s for the failed probe, 4 s of
 * suspicion, 1 s to spread, and another 4 s for a table that missed the suspicion. */
#define DEATH_DETECTION_TIME_MAX ((2 * 11 + 1 + 4 + 1 + 4) * FB_SECOND)

/* Times over all seeds. */
static fb_time_t longest_convergence;
static fb_time_t longest_leave_spread;
static fb_time_t longest_death_detection;
static fb_time_t total_death_detection;

/* Runs until the fleet has converged; returns the time that it took. */
static fb_time_t
run_until_converged (fleet_t *fleet, const char *phase)
{
  char reason[128];
  fb_time_t waited = 0;

  while (!fleet_is_converged (fleet, reason, sizeof reason))
    {
      if (waited > CONVERGENCE_TIME_MAX)
        fleet_fail (fleet, "%s: %s after %ld s", phase, reason, (long)(waited / FB_SECOND));
      fx_run (fleet->network, FX_TICK_INTERVAL);
      waited += FX_TICK_INTERVAL;
    }
  return waited;
}

static fb_time_t
run_until_state_known (fleet_t *fleet, size_t node, fw_member_state_t state, fb_time_t limit)
{
  fb_time_t waited = 0;

  while (fleet_find_stale_viewer (fleet, node, state) >= 0)
    {
      if (waited >= limit)
        fleet_fail (fleet, "node-%02d does not list node-%02zu as %s after %ld ms",
                    fleet_find_stale_viewer (fleet, node, state), node,
                    fw_describe_state (state), (long)(waited / FB_MILLISECOND));
      fx_run (fleet->network, FX_TICK_INTERVAL);
      waited += FX_TICK_INTERVAL;
    }
  return waited;
}

static void
set_random_faults (fleet_t *fleet, GRand *random)
{
  fx_faults_t faults = { .delay_min = FB_MILLISECOND };

  faults.loss_probability = g_rand_double_range (random, 0, 0.4);
  faults.duplicate_probability = g_rand_double_range (random, 0, 0.2);
  faults.delay_max
      = g_rand_int_range (random, 2, g_rand_boolean (random) ? 50 : 1500) * FB_MILLISECOND;
  fx_set_faults (fleet->network, &faults);
}

static void
partition_nodes (fleet_t *fleet, GRand *random, size_t count, unsigned groups)
{
  for (size_t i = 0; i < count; i++)
    fx_set_group (fleet->network, i, (unsigned)g_rand_int_range (random, 0, (gint32)groups));
}

static void
inject_node_fault (fleet_t *fleet, GRand *random, size_t node)
{
  bool moved = g_rand_int_range (random, 0, 4) == 0;

  switch (fleet->nodes[node].state)
    {
    case FLEET_DOWN:
      fleet_start (fleet, node, moved);
      break;
    case FLEET_PAUSED:
      fleet_resume (fleet, node);
      break;
    case FLEET_UP:
      switch (g_rand_int_range (random, 0, 6))
        {
        case 0:
          fleet_kill (fleet, node);
          break;
        case 1:
          fleet_kill (fleet, node);
          fleet_start (fleet, node, moved);
          break;
        case 2:
        case 3:
          fleet_pause (fleet, node);
          break;
        case 4:
          fleet_leave (fleet, node);
          break;
        default:
          fm_raise_incarnation (fleet->nodes[node].table);
          break;
        }
      break;
    }
}

static void
run_faults (fleet_t *fleet, GRand *random, size_t count)
{
  gint32 steps = g_rand_int_range (random, 5, 30);

  for (gint32 i = 0; i < steps; i++)
    {
      gint32 action = g_rand_int_range (random, 0, 10);
      if (action == 0)
        partition_nodes (fleet, random, count, 2);
      else if (action <= 2)
        partition_nodes (fleet, random, count, 1);
      else if (action <= 4)
        set_random_faults (fleet, random);
      else
        inject_node_fault (fleet, random, (size_t)g_rand_int_range (random, 0, (gint32)count));
      /* Some waits are longer than the retention of dead members. */
      fx_run (fleet->network,
              g_rand_int_range (random, 10, i % 8 == 7 ? 70000 : 5000) * FB_MILLISECOND);
    }
}

static void
stop_faults (fleet_t *fleet, GRand *random, size_t count)
{
  fx_faults_t faults = { .delay_min = FB_MILLISECOND, .delay_max = 20 * FB_MILLISECOND };

  fx_set_faults (fleet->network, &faults);
  partition_nodes (fleet, random, count, 1);
  for (size_t i = 0; i < count; i++)
    {
      if (fleet->nodes[i].state == FLEET_PAUSED)
        fleet_resume (fleet, i);
      if (fleet->nodes[i].state == FLEET_DOWN && g_rand_boolean (random))
        fleet_start (fleet, i, false);
    }
}

/* Checks without loss and pauses that a leaving and a killed node become known in time, and
 * no other is declared dead. */
static void
run_healthy (fleet_t *fleet, GRand *random, size_t count)
{
  size_t leaver = (size_t)g_rand_int_range (random, 0, (gint32)count);
  size_t victim = (leaver + 1) % count;
  fb_time_t waited;

  for (size_t i = 0; i < count; i++)
    if (fleet->nodes[i].state == FLEET_UP && fleet->nodes[i].leaving)
      fleet_kill (fleet, i);
  for (size_t i = 0; i < count; i++)
    if (fleet->nodes[i].state == FLEET_DOWN)
      fleet_start (fleet, i, false);
  run_until_converged (fleet, "restart");
  fx_run (fleet->network, 10 * FB_SECOND);
  fleet->forbid_false_deaths = true;
  fx_run (fleet->network, 20 * FB_SECOND);
  fleet_leave (fleet, leaver);
  waited = run_until_state_known (fleet, leaver, FW_LEAVING, LEAVE_SPREAD_TIME_MAX);
  longest_leave_spread = MAX (longest_leave_spread, waited);
  fx_run (fleet->network, g_rand_int_range (random, 0, 2000) * FB_MILLISECOND);
  fleet_kill (fleet, victim);
  waited = run_until_state_known (fleet, victim, FW_DEAD, DEATH_DETECTION_TIME_MAX);
  longest_death_detection = MAX (longest_death_detection, waited);
  total_death_detection += waited;
  run_until_converged (fleet, "kill");
  fx_run (fleet->network, 20 * FB_SECOND);
  g_assert_cmpint (run_until_converged (fleet, "idle"), ==, 0);
}

static void
run_seed (uint32_t seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  size_t count = (size_t)g_rand_int_range (random, 3, FX_NODES_MAX + 1);
  fleet_t *fleet = fleet_create (count, seed);
  fb_time_t waited;

  for (size_t i = 0; i < count; i++)
    fleet_start (fleet, i, false);
  run_until_converged (fleet, "join");
  run_faults (fleet, random, count);
  stop_faults (fleet, random, count);
  waited = run_until_converged (fleet, "faults");
  longest_convergence = MAX (longest_convergence, waited);
  run_healthy (fleet, random, count);
  fleet_destroy (fleet);
  g_rand_free (random);
}

/* Guards against tables that revert, remove or offer members wrongly under random faults, and
 * against fleets that do not converge once the faults stop. */
static void
test_random (void)
{
  const char *seeds_text = g_getenv ("SEEDS");
  const char *first_text = g_getenv ("FIRST_SEED");
  uint32_t seeds = seeds_text ? (uint32_t)strtoul (seeds_text, NULL, 10) : SEEDS_DEFAULT;
  uint32_t first = first_text ? (uint32_t)strtoul (first_text, NULL, 10) : 1;

  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      g_test_message ("seed %u", seed);
      run_seed (seed);
    }
  g_test_message ("%u seeds; longest convergence %ld ms, leave spread %ld ms, death "
                  "detection %ld ms (mean %ld ms)",
                  seeds, (long)(longest_convergence / FB_MILLISECOND),
                  (long)(longest_leave_spread / FB_MILLISECOND),
                  (long)(longest_death_detection / FB_MILLISECOND),
                  (long)(total_death_detection / FB_MILLISECOND / MAX (seeds, 1)));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/random", test_random);
  return g_test_run ();
}
