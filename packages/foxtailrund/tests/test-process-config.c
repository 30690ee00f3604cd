/* Configuration in real processes: outages, stale and invalid documents, pauses, restarts. */
#include "fixture-fleet.h"
#include <signal.h>

#define NODES 6

/* A route to an undefined service. */
#define DANGLING_ROUTE                                                                         \
  "[[route]]\nname = \"lost\"\npath = \"/lost\"\nservice = \"missing\"\nrank = \"urgent\"\n"   \
  "timeout_ms = 1000\n"

/* Distinguishes two documents with the same version number. */
#define EXTRA_ROUTE                                                                               \
  "[[route]]\nname = \"extra\"\npath = \"/extra\"\nservice = \"storefront\"\nrank = \"urgent\"\n" \
  "timeout_ms = 1000\n"

static void
wait_version_on_all (fleet_t *fleet, uint64_t version)
{
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_version (fleet, number, version);
}

static void
assert_version_on_all (fleet_t *fleet, uint64_t version)
{
  for (size_t number = 1; number <= NODES; number++)
    g_assert_cmpuint (fleet_get_version (fleet, number), ==, version);
}

static void
kill_and_restart (fleet_t *fleet, size_t number)
{
  fleet_signal (fleet, number, SIGKILL);
  g_assert_cmpint (fleet_wait_exit (fleet, number), ==, 128 + SIGKILL);
  fleet_restart (fleet, number);
}

/* Guards against failed starts, and starts with an older version, while the source is down. */
static void
check_outage (fleet_t *fleet)
{
  fleet_publish (fleet, 2, "");
  wait_version_on_all (fleet, 2);
  fleet_set_platform_outage (fleet, true);
  kill_and_restart (fleet, 3);
  fleet_wait_version (fleet, 3, 2);
  fleet_set_platform_outage (fleet, false);
  fleet_publish (fleet, 3, "");
  wait_version_on_all (fleet, 3);
}

/* Guards against an older document in force on running or starting nodes. */
static void
check_stale_source (fleet_t *fleet)
{
  fleet_publish (fleet, 3, "");
  wait_version_on_all (fleet, 3);
  fleet_publish (fleet, 2, "");
  kill_and_restart (fleet, 2);
  fleet_wait_version (fleet, 2, 3);
  assert_version_on_all (fleet, 3);
  fleet_publish (fleet, 4, "");
  wait_version_on_all (fleet, 4);
}

/* Whether any node reports a refused document that names the missing service. */
static bool
is_refused (fleet_t *fleet)
{
  bool refused = false;

  for (size_t number = 1; number <= NODES; number++)
    {
      fleet_response_t response = fleet_request_admin (fleet, number, "GET", "/version", NULL);
      refused |= strstr (response.body, "missing") != NULL;
      fleet_clear_response (&response);
    }
  return refused;
}

/* Guards against an invalid document applied, even partly, or blocking the next. */
static void
check_invalid_document (fleet_t *fleet)
{
  fleet_response_t response;
  gint64 deadline = g_get_monotonic_time () + (gint64)FLEET_WAIT_TIMEOUT_S * G_USEC_PER_SEC;

  fleet_publish (fleet, 2, DANGLING_ROUTE);
  while (!is_refused (fleet))
    {
      g_assert_cmpint (g_get_monotonic_time (), <, deadline);
      fleet_run_loop (fleet, 20);
    }
  assert_version_on_all (fleet, 1);
  response = fleet_call (fleet, 5, "GET", "/lost", NULL);
  g_assert_cmpuint (response.status, ==, 404);
  fleet_clear_response (&response);
  fleet_publish (fleet, 3, "");
  wait_version_on_all (fleet, 3);
}

/* Guards against different documents in force when two operators publish the same version. */
static void
check_same_version_number (fleet_t *fleet)
{
  gint64 deadline = g_get_monotonic_time () + (gint64)FLEET_WAIT_TIMEOUT_S * G_USEC_PER_SEC;

  fleet_publish (fleet, 2, "");
  wait_version_on_all (fleet, 2);
  fleet_publish (fleet, 2, EXTRA_ROUTE);
  for (size_t number = 1; number <= NODES;)
    {
      fleet_response_t response = fleet_request_admin (fleet, number, "GET", "/routes", NULL);
      bool is_in_force = strstr (response.body, "\"extra\"") != NULL;
      fleet_clear_response (&response);
      if (is_in_force)
        {
          number++;
          continue;
        }
      g_assert_cmpint (g_get_monotonic_time (), <, deadline);
      fleet_run_loop (fleet, 20);
    }
}

/* Guards against a node that stays at its old version after a pause. */
static void
check_pause (fleet_t *fleet)
{
  fleet_signal (fleet, 4, SIGSTOP);
  fleet_wait_state (fleet, 1, 4, "dead");
  fleet_publish (fleet, 2, "");
  for (size_t number = 1; number <= 3; number++)
    fleet_wait_version (fleet, number, 2);
  fleet_signal (fleet, 4, SIGCONT);
  wait_version_on_all (fleet, 2);
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_state (fleet, number, 4, "alive");
}

/* Guards against a failed recovery when all nodes restart at once. */
static void
check_restart_of_all_nodes (fleet_t *fleet)
{
  fleet_publish (fleet, 2, "");
  wait_version_on_all (fleet, 2);
  for (size_t number = 1; number <= NODES; number++)
    fleet_signal (fleet, number, SIGKILL);
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_exit (fleet, number);
  for (size_t number = 1; number <= NODES; number++)
    fleet_restart (fleet, number);
  wait_version_on_all (fleet, 2);
  fleet_publish (fleet, 3, "");
  wait_version_on_all (fleet, 3);
}

int
main (int argc, char **argv)
{
  static const fleet_case_t cases[] = {
    { "/process/config/outage", check_outage },
    { "/process/config/stale-source", check_stale_source },
    { "/process/config/bad-document", check_invalid_document },
    { "/process/config/one-number", check_same_version_number },
    { "/process/config/pause", check_pause },
    { "/process/config/herd", check_restart_of_all_nodes },
  };

  return fleet_run_cases (argc, argv, cases, G_N_ELEMENTS (cases), NODES);
}
