/* Payments through real processes: kills, pauses and repeats at each step of a call that runs
 * at most once. */
#include "fixture-fleet.h"
#include <signal.h>

/* A fleet of four storefront nodes and four of inventory; callers use the latter as entry. */
#define NODES 8
#define ENTRY 7
#define OTHER_ENTRY 8

/* Time that the slow payment takes at the backend server. */
#define SLOW_PAYMENT "/pay?sleep=1500&id=%s"

typedef struct
{
  fleet_t *fleet;
  char *path;
  char *ticket;
  size_t owner;
} payment_t;

static payment_t
request_ticket (fleet_t *fleet, const char *id)
{
  payment_t payment = { .fleet = fleet, .path = g_strdup_printf (SLOW_PAYMENT, id) };
  fleet_answer_t answer = fleet_call (fleet, ENTRY, "POST", payment.path, NULL);

  g_assert_cmpuint (answer.status, ==, 428);
  g_assert_cmpstr (answer.outcome, ==, "not-run");
  payment.ticket = g_strdup (answer.ticket);
  payment.owner = fleet_find_owner (answer.ticket);
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 0);
  return payment;
}

static fleet_answer_t
repeat_payment (payment_t *payment, size_t entry)
{
  return fleet_call (payment->fleet, entry, "POST", payment->path, payment->ticket);
}

static void
assert_outcome (fleet_answer_t *answer, const char *outcome)
{
  g_assert_cmpint (answer->result, ==, FH_ANSWERED);
  g_assert_cmpstr (answer->outcome, ==, outcome);
}

static void
clear_payment (payment_t *payment)
{
  g_free (payment->path);
  g_free (payment->ticket);
}

/* Guards against a repeat through another entry node that runs the payment again. */
static void
check_repeats (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "repeat");
  fleet_pending_t *first
      = fleet_begin_call (fleet, ENTRY, "POST", payment.path, payment.ticket);
  fleet_pending_t *second
      = fleet_begin_call (fleet, OTHER_ENTRY, "POST", payment.path, payment.ticket);
  fleet_answer_t answers[3]
      = { fleet_finish_call (fleet, first), fleet_finish_call (fleet, second), { 0 } };

  answers[2] = repeat_payment (&payment, OTHER_ENTRY);
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      assert_outcome (&answers[i], "answered");
      g_assert_cmpstr (answers[i].body, ==, answers[0].body);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    fleet_clear_answer (&answers[i]);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against "not run" being told, or a second run, when the node that runs a payment is
 * killed. */
static void
check_kill_while_running (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "kill");
  fleet_pending_t *pending
      = fleet_begin_call (fleet, ENTRY, "POST", payment.path, payment.ticket);
  fleet_answer_t answer;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, payment.owner, SIGKILL);
  answer = fleet_finish_call (fleet, pending);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  g_assert_cmpint (fleet_wait_exit (fleet, payment.owner), ==, 128 + SIGKILL);
  answer = repeat_payment (&payment, OTHER_ENTRY);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  fleet_restart (fleet, payment.owner);
  fleet_wait_version (fleet, payment.owner, 1);
  fleet_wait_state (fleet, OTHER_ENTRY, payment.owner, "alive");
  answer = repeat_payment (&payment, OTHER_ENTRY);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against a ticket of a dead process that runs on its successor, or "not run" told for
 * it. */
static void
check_kill_before_use (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "early");
  fleet_answer_t answer;

  fleet_signal (fleet, payment.owner, SIGKILL);
  fleet_wait_exit (fleet, payment.owner);
  fleet_restart (fleet, payment.owner);
  fleet_wait_version (fleet, payment.owner, 1);
  fleet_wait_state (fleet, ENTRY, payment.owner, "alive");
  answer = repeat_payment (&payment, ENTRY);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 0);
  clear_payment (&payment);
}

/* Guards against a second run, or a lost answer, when the node that runs a payment is paused
 * past the deadline. */
static void
check_pause_while_running (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "pause");
  fleet_pending_t *pending
      = fleet_begin_call (fleet, ENTRY, "POST", payment.path, payment.ticket);
  fleet_answer_t answer;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, payment.owner, SIGSTOP);
  answer = fleet_finish_call (fleet, pending);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  fleet_signal (fleet, payment.owner, SIGCONT);
  fleet_wait_version (fleet, payment.owner, 1);
  fleet_wait_state (fleet, OTHER_ENTRY, payment.owner, "alive");
  answer = repeat_payment (&payment, OTHER_ENTRY);
  assert_outcome (&answer, "answered");
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  clear_payment (&payment);
}

/* Guards against "not run" told for a payment whose entry node is killed while it runs. */
static void
check_kill_entry (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "entry");
  fleet_pending_t *pending
      = fleet_begin_call (fleet, ENTRY, "POST", payment.path, payment.ticket);
  fleet_answer_t answer;

  fleet_wait_run (fleet, payment.path);
  fleet_signal (fleet, ENTRY, SIGKILL);
  answer = fleet_finish_call (fleet, pending);
  g_assert_cmpint (answer.result, !=, FH_ANSWERED);
  fleet_clear_answer (&answer);
  answer = repeat_payment (&payment, OTHER_ENTRY);
  assert_outcome (&answer, "answered");
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), ==, 1);
  fleet_wait_exit (fleet, ENTRY);
  fleet_restart (fleet, ENTRY);
  fleet_wait_version (fleet, ENTRY, 1);
  clear_payment (&payment);
}

/* Guards against a backend server that is down being told as run, and a refused ticket that
 * runs later. */
static void
check_backend_down (fleet_t *fleet)
{
  payment_t payment = request_ticket (fleet, "down");
  fleet_answer_t answer;

  fleet_signal_backend (fleet, payment.owner, SIGSTOP);
  answer = repeat_payment (&payment, ENTRY);
  assert_outcome (&answer, "unknown");
  fleet_clear_answer (&answer);
  fleet_signal_backend (fleet, payment.owner, SIGCONT);
  answer = repeat_payment (&payment, OTHER_ENTRY);
  g_assert_cmpstr (answer.outcome, !=, "not-run");
  fleet_clear_answer (&answer);
  g_assert_cmpuint (fleet_count_runs (fleet, payment.path), <=, 1);
  clear_payment (&payment);
}

/* Guards against requests that reach a run-once route under another name, and against "not run"
 * told for a ticket by a node that cannot know. */
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
      fleet_answer_t answer
          = fleet_call (fleet, ENTRY, cases[i].method, cases[i].path, cases[i].ticket);
      g_test_message ("%s %s: %u %s %s", cases[i].method, cases[i].path, answer.status,
                      answer.outcome, answer.body);
      g_assert_cmpuint (answer.status, ==, cases[i].status);
      g_assert_cmpstr (answer.outcome, ==, cases[i].outcome);
      fleet_clear_answer (&answer);
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
