/* Graceful shutdown and administration of real nodes. */
#include "fixture-fleet.h"
#include <signal.h>
#include <stdlib.h>

#define NODES 6

/* Node that is drained; it has a storefront backend server. */
#define DRAINED 2

/* Calls kept open during a drain. */
#define OPEN_CALLS 24

/* Rounds of the drain under load, more by the environment. */
#define ROUNDS 2

typedef struct
{
  fleet_t *fleet;
  fleet_pending_t *open[OPEN_CALLS];
  size_t calls;
} load_t;

static size_t
count_rounds (void)
{
  const char *text = g_getenv ("ROUNDS");

  return text ? (size_t)strtoul (text, NULL, 10) : ROUNDS;
}

/* Replaces one open call by a new one after checking that its answer is whole. Callers' nodes
 * go round all nodes but the drained one, to which callers connect only before its drain. */
static void
turn_call (load_t *load, size_t slot, bool everywhere)
{
  static const size_t entries[] = { 1, 3, 4, 5, 6, DRAINED };
  size_t entry = entries[load->calls % (everywhere ? 6 : 5)];

  if (load->open[slot])
    {
      fleet_answer_t answer = fleet_finish_call (load->fleet, load->open[slot]);
      g_assert_cmpint (answer.result, ==, FH_ANSWERED);
      g_assert_cmpstr (answer.outcome, ==, "answered");
      g_assert_cmpuint (answer.status, ==, 200);
      fleet_clear_answer (&answer);
    }
  load->open[slot] = fleet_begin_call (load->fleet, entry, "GET", "/prices?sleep=30", NULL);
  load->calls++;
}

static void
finish_calls (load_t *load)
{
  for (size_t slot = 0; slot < OPEN_CALLS; slot++)
    {
      fleet_answer_t answer = fleet_finish_call (load->fleet, load->open[slot]);
      g_assert_cmpstr (answer.outcome, ==, "answered");
      fleet_clear_answer (&answer);
    }
}

/* Guards against requests that a planned stop cuts, on either side of the stopped node. */
static void
test_drain_under_load (void)
{
  fleet_t *fleet = fleet_start (NODES);

  for (size_t round = 0; round < count_rounds (); round++)
    {
      load_t load = { .fleet = fleet };

      for (size_t i = 0; i < 4 * OPEN_CALLS; i++)
        turn_call (&load, i % OPEN_CALLS, true);
      fleet_signal (fleet, DRAINED, SIGTERM);
      for (size_t i = 0; i < 16 * OPEN_CALLS; i++)
        turn_call (&load, i % OPEN_CALLS, false);
      finish_calls (&load);
      g_assert_cmpint (fleet_wait_exit (fleet, DRAINED), ==, 0);
      fleet_restart (fleet, DRAINED);
      fleet_wait_version (fleet, DRAINED, 1);
      for (size_t number = 1; number <= NODES; number++)
        fleet_wait_state (fleet, number, DRAINED, "alive");
    }
  fleet_stop (fleet);
}

/* Guards against a drain that waits for nothing: a long call in flight must end whole before
 * the exit. */
static void
test_drain_waits (void)
{
  fleet_t *fleet = fleet_start (NODES);
  fleet_pending_t *pending
      = fleet_begin_call (fleet, DRAINED, "GET", "/prices?sleep=3800", NULL);
  fleet_answer_t answer;

  fleet_wait_run (fleet, "/prices?sleep=3800");
  fleet_signal (fleet, DRAINED, SIGTERM);
  answer = fleet_finish_call (fleet, pending);
  g_assert_cmpstr (answer.outcome, ==, "answered");
  fleet_clear_answer (&answer);
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED), ==, 0);
  fleet_stop (fleet);
}

/* Guards against a leaving mark in the host list that is not acted on. */
static void
test_host_list (void)
{
  fleet_t *fleet = fleet_start (NODES);

  fleet_publish_hosts (fleet, DRAINED);
  for (size_t number = 1; number <= NODES; number++)
    {
      if (number != DRAINED)
        fleet_wait_state (fleet, number, DRAINED, "leaving");
    }
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED), ==, 0);
  fleet_stop (fleet);
}

/* Guards against an administration that changes something without the key, or breaks on odd
 * requests. */
static void
test_admin (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *key;
    uint32_t status;
    const char *part; /* of the body */
  } cases[] = {
    { "GET", "/health", NULL, 200, "ok" },
    { "GET", "/ready", NULL, 200, "\"ready\":true" },
    { "GET", "/version", NULL, 200, "\"number\":1" },
    { "GET", "/members", NULL, 200, "node-6" },
    { "GET", "/routes", NULL, 200, "/prices" },
    { "GET", "/metrics", NULL, 200, "foxtailrun_source_calls " },
    { "GET", "/nothing", NULL, 404, "unknown path" },
    { "GET", "/drain", FLEET_KEY, 405, "method" },
    { "POST", "/drain", NULL, 401, "key" },
    { "POST", "/drain", "", 401, "key" },
    { "POST", "/drain", "fleet-test-kez", 401, "key" },
    { "POST", "/drain", "fleet-test-key-and-more", 401, "key" },
    { "GET", "/ready", NULL, 200, "\"draining\":false" },
    { "POST", "/drain", FLEET_KEY, 202, "true" },
    { "GET", "/ready", NULL, 503, "\"draining\":true" },
  };
  fleet_t *fleet = fleet_start (NODES);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fleet_answer_t answer
          = fleet_ask_admin (fleet, DRAINED, cases[i].method, cases[i].path, cases[i].key);
      g_test_message ("%s %s: %u %s", cases[i].method, cases[i].path, answer.status,
                      answer.body);
      g_assert_cmpuint (answer.status, ==, cases[i].status);
      g_assert_nonnull (strstr (answer.body, cases[i].part));
      fleet_clear_answer (&answer);
    }
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED), ==, 0);
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
