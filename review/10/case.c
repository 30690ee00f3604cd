/* The operator changes the configuration: a route is moved, and one with a long name is added.
 */
#include "../rig-2/rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 4
#define APPLY_MS 2000 /* ConfigApplyMs */
#define ROUNDS 30
#define ROUND_MS 150
#define SHORT_NAME "r-market"
#define LONG_NAME "r-stock-view-gh-south-a-canary-for-the-harvest-market-2026"

static bool
work (rig_instance_t *instance, int fd, const rig_request_t *request)
{
  rig_sleep (20);
  return rig_answer (fd, 200, instance, request, instance->service, strlen (instance->service),
                     true);
}

/* Sends a request and returns whether it was handled as only the first version allows: refused
 * with 404, or run by "shop". */
static bool
is_handled_by_old (int node, const char *path, int *served)
{
  char id[32];
  rig_answer_t answer;
  bool old;

  rig_make_id (id);
  rig_call (node, "GET", path, id, 1000, NULL, 0, 2000, &answer);
  old = answer.status == 404
        || (answer.status == 200 && answer.body_len == 4
            && memcmp (answer.body, "shop", 4) == 0);
  *served += answer.status == 200;
  rig_record ("client: GET %s at node %d id %s: status %d, run by %.*s%s", path, node + 1, id,
              answer.status, answer.status == 200 ? (int)answer.body_len : 4,
              answer.status == 200 ? (const char *)answer.body : "none",
              old ? ", as only the older version allows" : "");
  free (answer.body);
  return old;
}

int
main (int argc, char **argv)
{
  static const char *const services[] = { "shop", "ledger" };
  rig_config_t config;
  int served = 0;
  int old = 0;
  int64_t acknowledged_at;

  rig_open (argc > 1 ? argv[1] : "record.txt", NODES);
  rig_start_store ();
  rig_config_begin (&config, 7);
  rig_config_route (&config, "r-stock", "/stock/", "shop", true, 1000, 200, 2);
  rig_put ("op/config", rig_config_end (&config, services, 2));
  for (int i = 0; i < NODES; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "i-%d", i + 1);
      rig_start_instance (i, id, i < 2 ? "shop" : "ledger", 9, work);
    }
  for (int i = 0; i < NODES; i++)
    rig_start_node (i);
  for (int i = 0; i < NODES; i++)
    if (!rig_wait_ready (i, 10000))
      rig_finish (2);
  rig_sleep (4000); /* StabilityMs */
  for (int i = 0; i < NODES; i++)
    is_handled_by_old (i, "/stock/list", &served);
  if (served < NODES)
    rig_finish (2);
  rig_config_begin (&config, 12);
  rig_config_route (&config, "r-stock", "/stock/", "ledger", true, 1000, 200, 2);
  rig_config_route (&config, rig_has_trouble () ? LONG_NAME : SHORT_NAME, "/market/", "ledger",
                    true, 1000, 200, 2);
  acknowledged_at = rig_put ("op/config", rig_config_end (&config, services, 2));
  rig_sleep (acknowledged_at + APPLY_MS + 100 - rig_now ());
  served = 0;
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < NODES; i++)
        {
          old += is_handled_by_old (i, "/stock/list", &served);
          old += is_handled_by_old (i, "/market/list", &served);
        }
      rig_sleep (ROUND_MS);
    }
  rig_record (
      "%d requests sent later than %d ms after the acknowledgement: %d served, %d handled "
      "as only the older version allows; the last %lld ms after it",
      2 * NODES * ROUNDS, APPLY_MS, served, old, (long long)(rig_now () - acknowledged_at));
  if (!rig_has_trouble () && served < 2 * NODES * ROUNDS)
    rig_finish (old > 0 ? 1 : 2);
  rig_finish (old > 0);
}
