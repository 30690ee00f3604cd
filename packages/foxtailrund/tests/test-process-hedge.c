/* Hedged requests between real processes: which instance answers, which runs are cancelled, and
 * how the hedges are counted. */
#include "fixture-fleet.h"
#include <signal.h>
#include <string.h>

/* Nodes 1 and 2 serve the storefront. The entry node is in the zone of node 1, which gets all
 * first attempts; a detour costs half of the target. */
#define NODES 4
#define ENTRY_NODE 3
#define FIRST 1
#define OTHER 2

#define WARM_UP_CALLS 100
#define WARM_UP_BATCH 4

#define ROUTE(name, fields)                                                                    \
  "[[route]]\nname = \"" name "\"\npath = \"/" name "\"\nservice = \"storefront\"\n"           \
  "rank = \"urgent\"\ntarget_ms = 3000\n" fields

static const char routes[]
    = ROUTE ("hedged", "timeout_ms = 4000\nrepeatable = true\nhedge = true\n")
        ROUTE ("short", "timeout_ms = 800\nrepeatable = true\nhedge = true\n")
            ROUTE ("once", "timeout_ms = 4000\nticket = false\nhedge = true\n")
                ROUTE ("single", "timeout_ms = 4000\nrepeatable = true\nretries = 0\n"
                                 "hedge = true\n")
                    ROUTE ("plain", "timeout_ms = 4000\nrepeatable = true\n");

typedef struct
{
  const char *path;
  uint32_t status;
  size_t answered_by; /* node; 0 when none */
  uint64_t runs[2];   /* at FIRST and OTHER */
  uint64_t cancelled[2];
  const char *counted; /* end of the hedge; NULL without a hedge */
} hedge_case_t;

/* Returns the number of hedges that the entry node counted with END. */
static uint64_t
read_hedges (fleet_t *fleet, const char *end)
{
  fleet_response_t response = fleet_request_admin (fleet, ENTRY_NODE, "GET", "/metrics", NULL);
  char *key = g_strdup_printf ("entry_hedges{end=\"%s\"} ", end);
  const char *at = strstr (response.body, key);
  uint64_t count;

  g_assert_nonnull (at);
  count = g_ascii_strtoull (at + strlen (key), NULL, 10);
  g_free (key);
  fleet_clear_response (&response);
  return count;
}

/* Waits until PATH ran at node NUMBER as often as RUNS, and CANCELLED of these were cancelled.
 */
static void
wait_counts (fleet_t *fleet, size_t number, const char *path, uint64_t runs, uint64_t cancelled)
{
  for (int i = 0; i < 200 && fleet_count_cancelled_at (fleet, number, path) < cancelled; i++)
    fleet_run_loop (fleet, 20);
  g_assert_cmpuint (fleet_count_runs_at (fleet, number, path), ==, runs);
  g_assert_cmpuint (fleet_count_cancelled_at (fleet, number, path), ==, cancelled);
}

static void
publish_routes (fleet_t *fleet)
{
  fleet_publish (fleet, 2, routes);
  for (size_t number = 1; number <= NODES; number++)
    fleet_wait_version (fleet, number, 2);
}

/* Lets node ENTRY record enough durations of about 40 ms, and adds to its retry budget. */
static void
warm_up (fleet_t *fleet, size_t entry)
{
  for (size_t i = 0; i < WARM_UP_CALLS / WARM_UP_BATCH; i++)
    {
      fleet_pending_call_t *calls[WARM_UP_BATCH];

      for (size_t j = 0; j < WARM_UP_BATCH; j++)
        calls[j] = fleet_begin_call (fleet, entry, "GET", "/hedged?sleep=40", NULL);
      for (size_t j = 0; j < WARM_UP_BATCH; j++)
        {
          fleet_response_t response = fleet_finish_call (fleet, calls[j]);

          g_assert_cmpuint (response.status, ==, 200);
          fleet_clear_response (&response);
        }
    }
}

static void
check_case (fleet_t *fleet, const hedge_case_t *hedge_case)
{
  uint64_t before = hedge_case->counted ? read_hedges (fleet, hedge_case->counted) : 0;
  fleet_response_t response = fleet_call (fleet, ENTRY_NODE, "GET", hedge_case->path, NULL);
  char *name = g_strdup_printf ("name=backend-%zu ", hedge_case->answered_by);

  g_test_message ("%s: %u %s %s", hedge_case->path, response.status, response.outcome,
                  response.body);
  g_assert_cmpuint (response.status, ==, hedge_case->status);
  if (hedge_case->answered_by > 0)
    g_assert_true (g_str_has_prefix (response.body, name));
  if (hedge_case->status == 504)
    g_assert_cmpstr (response.outcome, ==, "unknown");
  wait_counts (fleet, FIRST, hedge_case->path, hedge_case->runs[0], hedge_case->cancelled[0]);
  if (hedge_case->counted == NULL || strcmp (hedge_case->counted, "refused") != 0)
    wait_counts (fleet, OTHER, hedge_case->path, hedge_case->runs[1], hedge_case->cancelled[1]);
  if (hedge_case->counted)
    g_assert_cmpuint (read_hedges (fleet, hedge_case->counted), ==, before + 1);
  g_free (name);
  fleet_clear_response (&response);
}

/* Guards against a slow instance that the caller waits for although another one answers, a
 * loser that is not cancelled, a failed or refused attempt that ends the call while the other
 * one may still answer, more runs than the route allows, and hedges of calls that must not have
 * any. */
static void
check_ends (fleet_t *fleet)
{
  static const hedge_case_t cases[] = {
    { "/hedged?a&backend-1=3000", 200, OTHER, { 1, 1 }, { 1, 0 }, "won" },
    { "/hedged?b&backend-1=400&backend-2=3000", 200, FIRST, { 1, 1 }, { 0, 1 }, "lost" },
    { "/hedged?c&backend-1=300fail&backend-2=500", 200, OTHER, { 1, 1 }, { 0, 0 }, "won" },
    { "/hedged?d&backend-1=500&backend-2=100fail", 200, FIRST, { 1, 1 }, { 0, 0 }, "lost" },
    { "/hedged?e&backend-1=400fail&backend-2=100fail", 500, FIRST, { 1, 1 }, { 0, 0 }, "lost" },
    { "/short?f&backend-1=2000&backend-2=2000", 504, 0, { 1, 1 }, { 1, 1 }, "lost" },
    { "/short?g&backend-1=2000&backend-2=100fail", 500, OTHER, { 1, 1 }, { 1, 0 }, "lost" },
    { "/once?h&backend-1=500", 200, FIRST, { 1, 0 }, { 0, 0 }, NULL },
    { "/single?i&backend-1=500", 200, FIRST, { 1, 0 }, { 0, 0 }, NULL },
    { "/plain?j&backend-1=500", 200, FIRST, { 1, 0 }, { 0, 0 }, NULL },
    { "/hedged?k&backend-1=500", 200, FIRST, { 1, 0 }, { 0, 0 }, "refused" }, /* OTHER has ended
                                                                               */
  };

  publish_routes (fleet);
  warm_up (fleet, ENTRY_NODE);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      if (i == G_N_ELEMENTS (cases) - 1)
        {
          fleet_signal_backend (fleet, OTHER, SIGKILL);
          fleet_run_loop (fleet, 100);
        }
      check_case (fleet, &cases[i]);
    }
}

/* Guards against attempts that run on after the caller has left. */
static void
check_caller_leaves (fleet_t *fleet)
{
  static const char path[] = "/hedged?l&backend-1=3000&backend-2=3000";
  fleet_pending_call_t *call;

  publish_routes (fleet);
  warm_up (fleet, ENTRY_NODE);
  call = fleet_begin_call (fleet, ENTRY_NODE, "GET", path, NULL);
  for (int i = 0; i < 200 && fleet_count_runs_at (fleet, OTHER, path) == 0; i++)
    fleet_run_loop (fleet, 10);
  fleet_abandon_call (call);
  wait_counts (fleet, FIRST, path, 1, 1);
  wait_counts (fleet, OTHER, path, 1, 1);
}

/* Guards against hedges of a call that a hedge's run makes: each level of a tree of calls would
 * add its own. */
static void
check_nested_call (fleet_t *fleet)
{
  static const char path[] = "/hedged?m&backend-1=2000&backend-2=2000";
  static const char nested_path[] = "/hedged?n&backend-1=600&backend-2=600";
  static const char control_path[] = "/hedged?o&backend-1=600&backend-2=600";
  fleet_pending_call_t *call;
  fleet_response_t response;

  publish_routes (fleet);
  warm_up (fleet, ENTRY_NODE);
  warm_up (fleet, OTHER);
  call = fleet_begin_call_with_id (fleet, ENTRY_NODE, "GET", path, "parent");
  for (int i = 0; i < 200 && fleet_count_runs_at (fleet, OTHER, path) == 0; i++)
    fleet_run_loop (fleet, 10);
  response = fleet_finish_call (
      fleet, fleet_begin_call_with_id (fleet, OTHER, "GET", nested_path, "parent.1"));
  g_assert_cmpuint (response.status, ==, 200);
  g_assert_cmpuint (fleet_count_runs (fleet, nested_path), ==, 1);
  fleet_clear_response (&response);
  response = fleet_finish_call (
      fleet, fleet_begin_call_with_id (fleet, OTHER, "GET", control_path, "other.1"));
  g_assert_cmpuint (response.status, ==, 200);
  g_assert_cmpuint (fleet_count_runs (fleet, control_path), ==, 2);
  fleet_clear_response (&response);
  response = fleet_finish_call (fleet, call);
  g_assert_cmpuint (response.status, ==, 200);
  fleet_clear_response (&response);
}

int
main (int argc, char **argv)
{
  static const fleet_case_t cases[] = { { "/process/hedge/ends", check_ends },
                                        { "/process/hedge/caller-leaves", check_caller_leaves },
                                        { "/process/hedge/nested-call", check_nested_call } };

  return fleet_run_cases (argc, argv, cases, G_N_ELEMENTS (cases), NODES);
}
