/* Drain and administration of real nodes. */
#include "fixture-fleet.h"
#include <signal.h>
#include <stdlib.h>

#define NODES 6

/* A node with a storefront backend server. */
#define DRAINED_NODE 2

/* Calls in flight during a drain. */
#define OPEN_CALLS 24

/* Rounds of the drain under load; replaced by the environment variable ROUNDS. */
#define DEFAULT_ROUNDS 2

typedef struct
{
  fleet_t *fleet;
  fleet_pending_call_t *open[OPEN_CALLS];
  size_t started_count;
} open_calls_t;

static size_t
count_rounds (void)
{
  const char *text = g_getenv ("ROUNDS");

  return text ? (size_t)strtoul (text, NULL, 10) : DEFAULT_ROUNDS;
}

/* Finishes the call in SLOT, checks its response and starts a new one. Entry nodes alternate;
 * the drained node is one only with USE_DRAINED_NODE, before its drain. */
static void
replace_call (open_calls_t *calls, size_t slot, bool use_drained_node)
{
  static const size_t entry_nodes[] = { 1, 3, 4, 5, 6, DRAINED_NODE };
  size_t entry_node = entry_nodes[calls->started_count % (use_drained_node ? 6 : 5)];

  if (calls->open[slot])
    {
      fleet_response_t response = fleet_finish_call (calls->fleet, calls->open[slot]);
      g_assert_cmpint (response.result, ==, FH_ANSWERED);
      g_assert_cmpstr (response.outcome, ==, "answered");
      g_assert_cmpuint (response.status, ==, 200);
      fleet_clear_response (&response);
    }
  calls->open[slot]
      = fleet_begin_call (calls->fleet, entry_node, "GET", "/prices?sleep=30", NULL);
  calls->started_count++;
}

static void
finish_calls (open_calls_t *calls)
{
  for (size_t slot = 0; slot < OPEN_CALLS; slot++)
    {
      fleet_response_t response = fleet_finish_call (calls->fleet, calls->open[slot]);
      g_assert_cmpstr (response.outcome, ==, "answered");
      fleet_clear_response (&response);
    }
}

/* Guards against requests that fail by a drain, at the drained node as entry node or
 * instance. */
static void
test_drain_under_load (void)
{
  fleet_t *fleet = fleet_start (NODES);

  for (size_t round = 0; round < count_rounds (); round++)
    {
      open_calls_t calls = { .fleet = fleet };

      for (size_t i = 0; i < 4 * OPEN_CALLS; i++)
        replace_call (&calls, i % OPEN_CALLS, true);
      fleet_signal (fleet, DRAINED_NODE, SIGTERM);
      for (size_t i = 0; i < 16 * OPEN_CALLS; i++)
        replace_call (&calls, i % OPEN_CALLS, false);
      finish_calls (&calls);
      g_assert_cmpint (fleet_wait_exit (fleet, DRAINED_NODE), ==, 0);
      fleet_restart (fleet, DRAINED_NODE);
      fleet_wait_version (fleet, DRAINED_NODE, 1);
      for (size_t number = 1; number <= NODES; number++)
        fleet_wait_state (fleet, number, DRAINED_NODE, "alive");
    }
  fleet_stop (fleet);
}

/* Guards against a drain that exits before a long call in flight completes. */
static void
test_drain_waits (void)
{
  fleet_t *fleet = fleet_start (NODES);
  fleet_pending_call_t *call
      = fleet_begin_call (fleet, DRAINED_NODE, "GET", "/prices?sleep=3800", NULL);
  fleet_response_t response;

  fleet_wait_run (fleet, "/prices?sleep=3800");
  fleet_signal (fleet, DRAINED_NODE, SIGTERM);
  response = fleet_finish_call (fleet, call);
  g_assert_cmpstr (response.outcome, ==, "answered");
  fleet_clear_response (&response);
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED_NODE), ==, 0);
  fleet_stop (fleet);
}

/* Guards against a missing drain when the host list marks the host as leaving. */
static void
test_host_list (void)
{
  fleet_t *fleet = fleet_start (NODES);

  fleet_publish_hosts (fleet, DRAINED_NODE);
  for (size_t number = 1; number <= NODES; number++)
    {
      if (number != DRAINED_NODE)
        fleet_wait_state (fleet, number, DRAINED_NODE, "leaving");
    }
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED_NODE), ==, 0);
  fleet_stop (fleet);
}

/* Guards against state changes without the key, and wrong responses to invalid requests. */
static void
test_admin (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *key;
    uint32_t status;
    const char *substring; /* of the body */
  } cases[] = {
    { "GET", "/health", NULL, 200, "ok" },
    { "GET", "/ready", NULL, 200, "\"ready\":true" },
    { "GET", "/version", NULL, 200, "\"number\":1" },
    { "GET", "/members", NULL, 200, "node-6" },
    { "GET", "/routes", NULL, 200, "/prices" },
    { "GET", "/metrics", NULL, 200, "foxtailrun_source_calls " },
    { "GET", "/nothing", NULL, 404, "unknown path" },
    { "GET", "/drain", FLEET_ADMIN_KEY, 405, "method" },
    { "POST", "/drain", NULL, 401, "key" },
    { "POST", "/drain", "", 401, "key" },
    { "POST", "/drain", "fleet-test-kez", 401, "key" },
    { "POST", "/drain", "fleet-test-key-and-more", 401, "key" },
    { "GET", "/ready", NULL, 200, "\"draining\":false" },
    { "POST", "/drain", FLEET_ADMIN_KEY, 202, "true" },
    { "GET", "/ready", NULL, 503, "\"draining\":true" },
  };
  fleet_t *fleet = fleet_start (NODES);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fleet_response_t response = fleet_request_admin (fleet, DRAINED_NODE, cases[i].method,
                                                       cases[i].path, cases[i].key);
      g_test_message ("%s %s: %u %s", cases[i].method, cases[i].path, response.status,
                      response.body);
      g_assert_cmpuint (response.status, ==, cases[i].status);
      g_assert_nonnull (strstr (response.body, cases[i].substring));
      fleet_clear_response (&response);
    }
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED_NODE), ==, 0);
  fleet_stop (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/process/drain/under-load", test_drain_under_load);
  g_test_add_func ("/process/drain/waits", test_drain_waits);
  g_test_add_func ("/process/drain/host-list", test_host_list);
  g_test_add_func ("/process/admin", test_admin);
  return g_test_run ();
}
