/* Configuration through real processes: outages, stale and bad documents, pauses and herds. */
#include "fixture-fleet.h"
#include <signal.h>

#define NODES 6

/* A route to a service that the document does not define. */
#define DANGLING_ROUTE                                                                         \
  "[[route]]\nname = \"lost\"\npath = \"/lost\"\nservice = \"missing\"\nrank = \"urgent\"\n"   \
  "timeout_ms = 1000\n"

/* A further route, which tells two documents under one number apart. */
#define EXTRA_ROUTE                                                                               \
  "[[route]]\nname = \"extra\"\npath = \"/extra\"\nservice = \"storefront\"\nrank = \"urgent\"\n" \
  "timeout_ms = 1000\n"

static void
wait_all (fleet_t *fleet, uint64_t version)
{
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_version (fleet, number, version);
}

static void
assert_all (fleet_t *fleet, uint64_t version)
{
  for (size_t number = 1; number <= NODES; number++)
    g_assert_cmpuint (fleet_read_version (fleet, number), ==, version);
}

static void
kill_and_restart (fleet_t *fleet, size_t number)
{
  fleet_signal (fleet, number, SIGKILL);
  g_assert_cmpint (fleet_wait_exit (fleet, number), ==, 128 + SIGKILL);
  fleet_restart (fleet, number);
}

/* Guards against a node that cannot start, or starts with less, while the source is down. */
static void
check_outage (fleet_t *fleet)
{
  fleet_publish (fleet, 2, "");
  wait_all (fleet, 2);
  fleet_set_outage (fleet, true);
  kill_and_restart (fleet, 3);
  fleet_wait_version (fleet, 3, 2);
  fleet_set_outage (fleet, false);
  fleet_publish (fleet, 3, "");
  wait_all (fleet, 3);
}

/* Guards against an older document from the source that comes into force, on running and on
 * starting nodes. */
static void
check_stale_source (fleet_t *fleet)
{
  fleet_publish (fleet, 3, "");
  wait_all (fleet, 3);
  fleet_publish (fleet, 2, "");
  kill_and_restart (fleet, 2);
  fleet_wait_version (fleet, 2, 3);
  assert_all (fleet, 3);
  fleet_publish (fleet, 4, "");
  wait_all (fleet, 4);
}

/* Returns whether some node reports a refused document. */
static bool
is_refused (fleet_t *fleet)
{
  bool refused = false;

  for (size_t number = 1; number <= NODES; number++)
    {
      fleet_answer_t answer = fleet_ask_admin (fleet, number, "GET", "/version", NULL);
      refused |= strstr (answer.body, "missing") != NULL;
      fleet_clear_answer (&answer);
    }
  return refused;
}

/* Guards against a bad document that is applied, in part or whole, or that blocks the next. */
static void
check_bad_document (fleet_t *fleet)
{
  fleet_answer_t answer;
  gint64 limit = g_get_monotonic_time () + (gint64)FLEET_WAIT_S * G_USEC_PER_SEC;

  fleet_publish (fleet, 2, DANGLING_ROUTE);
  while (!is_refused (fleet))
    {
      g_assert_cmpint (g_get_monotonic_time (), <, limit);
      fleet_pause (fleet, 20);
    }
  assert_all (fleet, 1);
  answer = fleet_call (fleet, 5, "GET", "/lost", NULL);
  g_assert_cmpuint (answer.status, ==, 404);
  fleet_clear_answer (&answer);
  fleet_publish (fleet, 3, "");
  wait_all (fleet, 3);
}

/* Guards against nodes that keep different documents when two operators publish one number. */
static void
check_one_number (fleet_t *fleet)
{
  gint64 limit = g_get_monotonic_time () + (gint64)FLEET_WAIT_S * G_USEC_PER_SEC;

  fleet_publish (fleet, 2, "");
  wait_all (fleet, 2);
  fleet_publish (fleet, 2, EXTRA_ROUTE);
  for (size_t number = 1; number <= NODES;)
    {
      fleet_answer_t answer = fleet_ask_admin (fleet, number, "GET", "/routes", NULL);
      bool held = strstr (answer.body, "\"extra\"") != NULL;
      fleet_clear_answer (&answer);
      if (held)
        {
          number++;
          continue;
        }
      g_assert_cmpint (g_get_monotonic_time (), <, limit);
      fleet_pause (fleet, 20);
    }
}

/* Guards against a paused node that goes on with the version it held. */
static void
check_pause (fleet_t *fleet)
{
  fleet_signal (fleet, 4, SIGSTOP);
  fleet_wait_state (fleet, 1, 4, "dead");
  fleet_publish (fleet, 2, "");
  for (size_t number = 1; number <= 3; number++)
    fleet_wait_version (fleet, number, 2);
  fleet_signal (fleet, 4, SIGCONT);
  wait_all (fleet, 2);
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_state (fleet, number, 4, "alive");
}

/* Guards against a fleet that does not come back when all of it restarts at once. */
static void
check_herd (fleet_t *fleet)
{
  fleet_publish (fleet, 2, "");
  wait_all (fleet, 2);
  for (size_t number = 1; number <= NODES; number++)
    fleet_signal (fleet, number, SIGKILL);
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_exit (fleet, number);
  for (size_t number = 1; number <= NODES; number++)
    fleet_restart (fleet, number);
  wait_all (fleet, 2);
  fleet_publish (fleet, 3, "");
  wait_all (fleet, 3);
}

int
main (int argc, char **argv)
{
  static const fleet_case_t cases[] = {
    { "/process/config/outage", check_outage },
    { "/process/config/stale-source", check_stale_source },
    { "/process/config/bad-document", check_bad_document },
    { "/process/config/one-number", check_one_number },
    { "/process/config/pause", check_pause },
    { "/process/config/herd", check_herd },
  };

  return fleet_run_cases (argc, argv, cases, G_N_ELEMENTS (cases), NODES);
}
