/* Compares picking policies, with and without throttle and retries, and ways of the slow start.
 */
#include "sim-service.h"
#include <string.h>

static const sim_deployment_t deployments[] = {
  { "storefront", 5, 9 },
  { "counter", 6, 6 },
  { "ledger", 4, 6 },
};

static const sim_scenario_t scenarios[] = {
  { .name = "steady", .scale = 1 },
  { .name = "slow", .scale = 0.6, .slowness = 5 },
  { .name = "failing", .scale = 0.6, .failure = 0.9 },
  { .name = "slow-and-failing", .scale = 0.6, .slowness = 5, .failure = 0.9 },
  { .name = "flood-least", .scale = 1, .flood = { 0, 0, 0, 10 } },
  { .name = "flood-urgent", .scale = 1, .flood = { 10, 0, 0, 0 } },
};

static const struct
{
  const char *name;
  fr_pick_policy_t policy;
} policies[] = {
  { "two", FR_PICK_TWO_CHOICES },
  { "least", FR_PICK_LEAST_IN_FLIGHT },
  { "round-robin", FR_PICK_ROUND_ROBIN },
};

static void
print_result (const char *name, const sim_result_t *result)
{
  double worth = 0;
  uint64_t offered = 0;

  g_print ("  %-20s", name);
  for (int i = 0; i < SIM_RANKS; i++)
    {
      const sim_rank_result_t *rank = &result->ranks[i];

      offered += rank->offered;
      worth += SIM_RANK_TABLE[i].worth * (double)rank->in_target / result->seconds;
      g_print (" | %6.1f %6.1f %7.1f",
               100 * (double)rank->answered / (double)MAX (rank->offered, 1),
               sim_get_quantile (rank, 0.5), sim_get_quantile (rank, 0.99));
    }
  g_print (" | %8.0f %6.2f\n", worth, (double)result->attempts / (double)MAX (offered, 1));
}

static void
run_scenario (const sim_deployment_t *deployment, const sim_scenario_t *scenario)
{
  g_print ("%s (%u x %u slots), %s\n  %-20s", deployment->name, deployment->instances,
           deployment->slots, scenario->name, "policy");
  for (int i = 0; i < SIM_RANKS; i++)
    g_print (" | %-6s %6s %7s", SIM_RANK_TABLE[i].name, "p50", "p99");
  g_print (" | %8s %6s\n", "worth", "sent");
  for (size_t i = 0; i < G_N_ELEMENTS (policies) * 2; i++)
    {
      const sim_policy_t policy = { FR_POLICY_SHARES, policies[i / 2].policy, i % 2 == 1 };
      char name[32];
      sim_result_t result = sim_run_service (deployment, scenario, &policy, 1);

      g_snprintf (name, sizeof name, "%s%s", policies[i / 2].name, i % 2 == 1 ? "+retry" : "");
      print_result (name, &result);
      sim_clear_result (&result);
    }
}

/* Load patterns of instances that return, at 30 x 8 slots. Cold instances take twice as long,
 * and longer when they run more than 2 calls. */
#define COLD .cold_time = 3 * FB_SECOND, .cold_slowness = 2, .cold_slots = 2

static const sim_deployment_t fleet = { "fleet", 30, 8 };

static const sim_scenario_t returns[] = {
  { .name = "one-of-30", .scale = 1.25, .returning = 1, COLD },
  { .name = "a-third", .scale = 0.85, .returning = 10, COLD },
  { .name = "all", .scale = 1, .returning = 30, COLD },
  { .name = "half-speed", .scale = 1, .returning = 1, .slowness = 2 },
  { .name = "cold-only-slow",
    .scale = 1,
    .returning = 1,
    .cold_time = 3 * FB_SECOND,
    .cold_slowness = 2,
    .cold_slots = 8 },
  { .name = "flapping", .scale = 1, .returning = 1, .flap_time = 1400 * FB_MILLISECOND, COLD },
  { .name = "long-beside-short",
    .scale = 1,
    .returning = 1,
    .time_scale = { 5, 3, 250.0 / 30, 250.0 / 40 },
    COLD },
  { .name = "warm", .scale = 1, .returning = 1 },
};

static const fr_pace_law_t laws[]
    = { FR_PACE_AIMD, FR_PACE_GRADIENT, FR_PACE_SHARE, FR_PACE_TIMED };

static const struct
{
  const char *name;
  const fr_pace_law_t *law; /* NULL for the fixed ramp */
} paces[] = {
  { "fixed", NULL },        { "timed", &laws[3] }, { "aimd", &laws[0] },
  { "gradient", &laws[1] }, { "share", &laws[2] },
};

/* Time of which the calls are compared with the steady share. */
#define SHARE_BINS 10

/* Bins at the end that show the steady share. */
#define STEADY_BINS 50

/* Returns the time in s until the returned instances answer 95 % of what they do in the end; -1
 * if they don't before the last bins. */
static double
get_time_to_share (const sim_result_t *result)
{
  double steady = 0;

  for (int i = SIM_BINS - STEADY_BINS; i < SIM_BINS; i++)
    steady += (double)result->answered_by_bin[i] / STEADY_BINS;
  for (int i = 0; i + SHARE_BINS <= SIM_BINS - STEADY_BINS; i++)
    {
      double mean = 0;

      for (int j = i; j < i + SHARE_BINS; j++)
        mean += (double)result->answered_by_bin[j] / SHARE_BINS;
      if (mean >= 0.95 * steady)
        return (double)i * SIM_BIN_TIME / FB_SECOND;
    }
  return -1;
}

static void
run_return (const sim_scenario_t *scenario, const char *only, uint32_t seed)
{
  g_print ("%s\n", scenario->name);
  for (size_t i = 0; i < G_N_ELEMENTS (paces); i++)
    {
      const sim_policy_t policy = { FR_POLICY_SHARES, FR_PICK_LOCALITY, true, paces[i].law };
      sim_result_t result;
      uint64_t offered = 0;
      uint64_t in_target = 0;
      uint64_t first = 0;

      if (only != NULL && strcmp (only, paces[i].name) != 0)
        continue;
      result = sim_run_service (&fleet, scenario, &policy, seed);
      for (int j = 0; j < SIM_RANKS; j++)
        {
          offered += result.ranks[j].offered;
          in_target += result.ranks[j].in_target;
        }
      for (int j = 0; j < SHARE_BINS; j++)
        first += result.answered_by_bin[j];
      g_print ("  %-10s | %6.1f %6.1f | %5zu | %7" G_GUINT64_FORMAT
               " %7.3f | %7" G_GUINT64_FORMAT " %6.3f\n",
               paces[i].name, get_time_to_share (&result), result.par_time, result.queue_max,
               result.late, 100 * (1 - (double)in_target / (double)MAX (offered, 1)), first,
               (double)result.attempts / (double)MAX (offered, 1));
      sim_clear_result (&result);
    }
}

static void
run_returns (const char *only, const char *only_pace, uint32_t seed)
{
  g_print (
      "fleet (30 x 8 slots), instances that return. Per way of the slow start: s until 95 %% of "
      "the steady share, s until the pace is at par (0: never or no pace); most calls waiting "
      "at one; calls late or lost there, %% of all calls late or lost; calls answered there in "
      "the first s, attempts per call.\n");
  for (size_t i = 0; i < G_N_ELEMENTS (returns); i++)
    if (only == NULL || strcmp (only, returns[i].name) == 0)
      run_return (&returns[i], only_pace, seed);
}

/* Arguments: [DEPLOYMENT [SCENARIO [SLOW-START [SEED]]]], to run only these; with an empty
 * SLOW-START, all. SEED applies to the fleet. */
int
main (int argc, char **argv)
{
  g_print (
      "Per rank: %% of the calls offered that were answered in time, median ms, 99th "
      "percentile ms.\nThen: worth/s within the targets, attempts sent per call offered.\n");
  for (size_t d = 0; d < G_N_ELEMENTS (deployments); d++)
    for (size_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
      if ((argc <= 1 || strcmp (argv[1], deployments[d].name) == 0)
          && (argc <= 2 || strcmp (argv[2], scenarios[s].name) == 0))
        run_scenario (&deployments[d], &scenarios[s]);
  if (argc <= 1 || strcmp (argv[1], fleet.name) == 0)
    run_returns (argc > 2 ? argv[2] : NULL, argc > 3 && argv[3][0] != '\0' ? argv[3] : NULL,
                 argc > 4 ? (uint32_t)g_ascii_strtoull (argv[4], NULL, 10) : 1);
  return 0;
}
