/* Compares admission policies: goodput, latency, slot time and worth by rank. */
#include "sim-service.h"
#include <string.h>

static const sim_deployment_t deployments[] = {
  { "storefront", 5, 9 },
  { "counter", 6, 6 },
  { "ledger", 4, 6 },
};

static const sim_scenario_t scenarios[] = {
  { .name = "steady", .scale = 1 },
  { .name = "flood-least", .scale = 1, .flood = { 0, 0, 0, 10 } },
  { .name = "flood-urgent", .scale = 1, .flood = { 10, 0, 0, 0 } },
  { .name = "flood-urgent, others over share", .scale = 1, .flood = { 10, 0.15, 0.175, 0.05 } },
  { .name = "slow-and-failing", .scale = 0.6, .slowness = 5, .failure = 0.9 },
  { .name = "customer-flood", .scale = 1, .customer_flood = 2 },
};

static const struct
{
  const char *name;
  sim_policy_t policy;
} policies[] = {
  { "fifo", { FR_POLICY_FIFO, FR_PICK_TWO_CHOICES, false } },
  { "strict", { FR_POLICY_STRICT, FR_PICK_TWO_CHOICES, false } },
  { "fair", { FR_POLICY_FAIR, FR_PICK_TWO_CHOICES, false } },
  { "adaptive", { FR_POLICY_ADAPTIVE, FR_PICK_TWO_CHOICES, false } },
  { "shares", { FR_POLICY_SHARES, FR_PICK_TWO_CHOICES, false } },
  { "shares+throttle", { FR_POLICY_SHARES, FR_PICK_TWO_CHOICES, true } },
};

/* STEADY_ANSWERED: urgent calls answered in the policy's steady run; 0 omits the
 * comparison. */
static void
print_result (const char *policy, const sim_result_t *result, const double steady_answered)
{
  double worth = 0;
  double utilization = 0;

  g_print ("  %-16s", policy);
  for (int i = 0; i < SIM_RANKS; i++)
    {
      const sim_rank_t *options = &SIM_RANK_TABLE[i];
      const sim_rank_result_t *rank = &result->ranks[i];
      double share = rank->slot_time / result->capacity;

      utilization += share;
      worth += options->worth * (double)rank->in_target / result->seconds;
      g_print (" | %7.0f %6.1f %7.1f %5.1f", (double)rank->answered / result->seconds,
               sim_get_quantile (rank, 0.5), sim_get_quantile (rank, 0.99), share * 100);
    }
  g_print (" | %5.1f %8.0f", utilization * 100, worth);
  if (steady_answered > 0)
    g_print (" %6.1f", 100 * (double)result->ranks[0].answered / steady_answered);
  else
    g_print ("      -");
  g_print (" %6.1f %8.0f\n",
           100 * (double)result->others_answered / (double)MAX (result->others_offered, 1),
           (double)result->attempts / result->seconds);
}

/* Arguments: [DEPLOYMENT [SCENARIO]], to run only these and the steady scenario. */
int
main (int argc, char **argv)
{
  g_print ("Per rank: answers/s in time, median ms, 99th percentile ms, %% of slot time that "
           "served them.\nThen: %% of slot time that served any, worth/s within the targets, "
           "urgent answers in %% of the steady run,\nand the %% of stock calls of customers "
           "other than the first that were answered; attempts sent/s.\n");
  for (size_t d = 0; d < G_N_ELEMENTS (deployments); d++)
    {
      if (argc > 1 && strcmp (argv[1], deployments[d].name) != 0)
        continue;
      double steady[G_N_ELEMENTS (policies)] = { 0 };

      for (size_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
        {
          if (argc > 2 && s > 0 && strcmp (argv[2], scenarios[s].name) != 0)
            continue;
          g_print ("%s (%u x %u slots), %s\n", deployments[d].name, deployments[d].instances,
                   deployments[d].slots, scenarios[s].name);
          g_print ("  %-16s", "policy");
          for (int i = 0; i < SIM_RANKS; i++)
            g_print (" | %-7s %6s %7s %5s", SIM_RANK_TABLE[i].name, "p50", "p99", "slots");
          g_print (" | %5s %8s %6s %6s %8s\n", "used", "worth", "urgent", "others", "sent");
          for (size_t p = 0; p < G_N_ELEMENTS (policies); p++)
            {
              sim_result_t result
                  = sim_run_service (&deployments[d], &scenarios[s], &policies[p].policy, 1);

              if (s == 0)
                steady[p] = (double)result.ranks[0].answered;
              print_result (policies[p].name, &result, scenarios[s].scale == 1 ? steady[p] : 0);
              sim_clear_result (&result);
            }
        }
    }
  return 0;
}
