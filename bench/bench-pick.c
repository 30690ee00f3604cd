/* Compares picking policies, with and without throttle and retries. */
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

/* Arguments: [DEPLOYMENT [SCENARIO]], to run only these. */
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
  return 0;
}
