/* Payments in real processes: kills, pauses and repeats at each step of an at-most-once
 * call. */
#include "fixture-fleet.h"
#include <signal.h>

/* Four storefront nodes and four inventory nodes; two of the latter are the entry nodes. */
#define NODES 8
#define ENTRY_NODE 7
#define OTHER_ENTRY_NODE 8

/* A payment of 1.5 s at the backend server. */
#define SLOW_PAYMENT "/pay?sleep=1500&id=%s"

typedef struct
{
  fleet_t *fleet;
  char *path;
  char *ticket;
  size_t ticket_node;
} payment_t;

static payment_t
request_ticket (fleet_t *fleet, const char *id)
{
  payment_t payment = { .fleet = fleet, .path = g_strdup_printf (SLOW_PAYMENT, id) };
  fleet_response_t response = fleet_call (fleet, ENTRY_NODE, "POST", payment.path, NULL);

  g_assert_cmpuint (response.status, ==, 428);
  g_assert_cmpstr (response.outcome, ==, "not-run");
  payment.ticket = g_strdup (response.ticket);
  payment.ticket_node = fleet_parse_ticket_node (response.ticket);
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 0);
  return payment;
}

static fleet_response_t
repeat_payment (payment_t *payment, size_t entry)
{
  return fleet_call (payment->fleet, entry, "POST", payment->path, payment->ticket);
}

static void
assert_outcome (fleet_response_t *response, const char *outcome)
{
  g_assert_cmpint (response->result, ==, FH_ANSWERED);
  g_assert_cmpstr (response->outcome, ==, outcome);
}

static void
clear_payment (payment_t *payment)
{
  g_free (payment->path);
  g_free (payment->ticket);
}

/* Guards against a second run by a repeat through another entry node. */
static void
check_repeats (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "repeat");
  fleet_pending_call_t *first
      = fleet_begin_call (fleet, ENTRY_NODE, "POST", payment.path, payment.ticket);
  fleet_pending_call_t *second
      = fleet_begin_call (fleet, OTHER_ENTRY_NODE, "POST", payment.path, payment.ticket);
  fleet_response_t responses[3]
      = { fleet_finish_call (fleet, first), fleet_finish_call (fleet, second), { 0 } };

  responses[2] = repeat_payment (&payment, OTHER_ENTRY_NODE);
  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      assert_outcome (&responses[i], "answered");
      g_assert_cmpstr (responses[i].body, ==, responses[0].body);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    fleet_clear_response (&responses[i]);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against "not run", and a second run, when the node running a payment is killed. */
static void
check_kill_while_running (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "kill");
  fleet_pending_call_t *call
      = fleet_begin_call (fleet, ENTRY_NODE, "POST", payment.path, payment.ticket);
  fleet_response_t response;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, payment.ticket_node, SIGKILL);
  response = fleet_finish_call (fleet, call);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  g_assert_cmpint (fleet_wait_exit (fleet, payment.ticket_node), ==, 128 + SIGKILL);
  response = repeat_payment (&payment, OTHER_ENTRY_NODE);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  fleet_restart (fleet, payment.ticket_node);
  fleet_wait_version (fleet, payment.ticket_node, 1);
  fleet_wait_state (fleet, OTHER_ENTRY_NODE, payment.ticket_node, "alive");
  response = repeat_payment (&payment, OTHER_ENTRY_NODE);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against running a killed process's ticket after its restart, and "not run" for it. */
static void
check_kill_before_use (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "early");
  fleet_response_t response;

  fleet_signal (fleet, payment.ticket_node, SIGKILL);
  fleet_wait_exit (fleet, payment.ticket_node);
  fleet_restart (fleet, payment.ticket_node);
  fleet_wait_version (fleet, payment.ticket_node, 1);
  fleet_wait_state (fleet, ENTRY_NODE, payment.ticket_node, "alive");
  response = repeat_payment (&payment, ENTRY_NODE);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 0);
  clear_payment (&payment);
}

/* Guards against a second run, and a lost response, when the node running a payment is paused
 * past the deadline. */
static void
check_pause_while_running (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "pause");
  fleet_pending_call_t *call
      = fleet_begin_call (fleet, ENTRY_NODE, "POST", payment.path, payment.ticket);
  fleet_response_t response;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, payment.ticket_node, SIGSTOP);
  response = fleet_finish_call (fleet, call);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  fleet_signal (fleet, payment.ticket_node, SIGCONT);
  fleet_wait_version (fleet, payment.ticket_node, 1);
  fleet_wait_state (fleet, OTHER_ENTRY_NODE, payment.ticket_node, "alive");
  response = repeat_payment (&payment, OTHER_ENTRY_NODE);
  assert_outcome (&response, "answered");
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against "not run" for a payment whose entry node is killed during it. */
static void
check_kill_entry (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "entry");
  fleet_pending_call_t *call
      = fleet_begin_call (fleet, ENTRY_NODE, "POST", payment.path, payment.ticket);
  fleet_response_t response;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, ENTRY_NODE, SIGKILL);
  response = fleet_finish_call (fleet, call);
  g_assert_cmpint (response.result, !=, FH_ANSWERED);
  fleet_clear_response (&response);
  response = repeat_payment (&payment, OTHER_ENTRY_NODE);
  assert_outcome (&response, "answered");
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  fleet_wait_exit (fleet, ENTRY_NODE);
  fleet_restart (fleet, ENTRY_NODE);
  fleet_wait_version (fleet, ENTRY_NODE, 1);
  clear_payment (&payment);
}

/* Guards against a definite outcome while the backend is stopped, and a second run after it
 * continues. */
static void
check_backend_down (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "down");
  fleet_response_t response;

  fleet_signal_backend (fleet, payment.ticket_node, SIGSTOP);
  response = repeat_payment (&payment, ENTRY_NODE);
  assert_outcome (&response, "unknown");
  fleet_clear_response (&response);
  fleet_signal_backend (fleet, payment.ticket_node, SIGCONT);
  response = repeat_payment (&payment, OTHER_ENTRY_NODE);
  g_assert_cmpstr (response.outcome, !=, "not-run");
  fleet_clear_response (&response);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), <=, 1);
  clear_payment (&payment);
}

/* Guards against reaching an at-most-once route by an equivalent path, and "not run" for a
 * ticket from a node that cannot know. */
static void
check_requests (fleet_t *fleet)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *ticket;
    uint32_t status;
    const char *outcome;
  } cases[] = {
    { "GET", "/prices?x=/../a", NULL, 200, "answered" },
    { "GET", "/prices/", NULL, 200, "answered" },
    { "GET", "/prices/../pay", NULL, 400, "not-run" },
    { "GET", "/prices/./pay", NULL, 400, "not-run" },
    { "GET", "/prices//pay", NULL, 400, "not-run" },
    { "GET", "/prices/%2e%2E/pay", NULL, 400, "not-run" },
    { "GET", "/prices/..%2fpay", NULL, 400, "not-run" },
    { "GET", "/prices;/pay", NULL, 400, "not-run" },
    { "GET", "/nothing", NULL, 404, "not-run" },
    { "POST", "/pay", "nonsense", 422, "not-run" },
    { "POST", "/nothing", "ftr1-node-1-1-1-1", 404, "unknown" },
    { "POST", "/pay", "ftr1-node-1-1-1-1", 504, "unknown" },
    { "POST", "/pay", "ftr1-node-99-1-1-1", 504, "unknown" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fleet_response_t response
          = fleet_call (fleet, ENTRY_NODE, cases[i].method, cases[i].path, cases[i].ticket);
      g_test_message ("%s %s: %u %s %s", cases[i].method, cases[i].path, response.status,
                      response.outcome, response.body);
      g_assert_cmpuint (response.status, ==, cases[i].status);
      g_assert_cmpstr (response.outcome, ==, cases[i].outcome);
      fleet_clear_response (&response);
    }
}

int
main (int argc, char **argv)
{
  static const fleet_case_t cases[] = {
    { "/process/once/repeats", check_repeats },
    { "/process/once/kill-while-running", check_kill_while_running },
    { "/process/once/kill-before-use", check_kill_before_use },
    { "/process/once/pause-while-running", check_pause_while_running },
    { "/process/once/kill-entry", check_kill_entry },
    { "/process/once/backend-down", check_backend_down },
    { "/process/once/requests", check_requests },
  };

  return fleet_run_cases (argc, argv, cases, G_N_ELEMENTS (cases), NODES);
}
