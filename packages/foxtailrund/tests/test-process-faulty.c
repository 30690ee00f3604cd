/* Faulty backend servers on the product's own interface: responses that do not name their
 * request, and bytes without end. */
#include "fixture-fleet.h"

/* Two storefront nodes and two inventory nodes. */
#define NODES 4
#define STOREFRONT_NODES 2

#define CALLS 16
#define PAYMENTS 6

/* A call with a timeout of 4 s that its backend server answers at once with such bytes. */
#define END_MAX_MS 2000

static void
call_storefront (fleet_t *fleet, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      gint64 started = g_get_monotonic_time ();
      fleet_response_t response = fleet_call (fleet, 1 + i % NODES, "GET", "/prices?a", NULL);

      g_test_message ("prices: %u %s %s", response.status, response.outcome, response.body);
      g_assert_cmpint (response.result, ==, FH_ANSWERED);
      if (response.status == 200)
        g_assert_true (g_str_has_prefix (response.body, "name="));
      g_assert_cmpint (g_get_monotonic_time () - started, <, END_MAX_MS * 1000);
      fleet_clear_response (&response);
    }
}

/* A payment that may have run is never told to have been refused or, with other bytes, made. */
static void
pay (fleet_t *fleet, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char *path = g_strdup_printf ("/pay?id=%" G_GINT64_FORMAT, g_get_monotonic_time ());
      fleet_response_t ticket = fleet_call (fleet, 3, "POST", path, NULL);
      fleet_response_t response;

      g_assert_cmpuint (ticket.status, ==, 428);
      response = fleet_call (fleet, 3, "POST", path, ticket.ticket);
      g_test_message ("pay: %u %s %s", response.status, response.outcome, response.body);
      if (response.status == 200)
        g_assert_true (g_str_has_prefix (response.body, "name="));
      else
        g_assert_cmpstr (response.outcome, ==, "unknown");
      g_assert_cmpuint (fleet_count_runs (fleet, path), ==, 1);
      fleet_clear_response (&ticket);
      fleet_clear_response (&response);
      g_free (path);
    }
}

/* Guards against a response that does not name its request and is passed on, from a server that
 * repeats the id of others. */
static void
check_spoilt (fleet_t *fleet)
{
  static const char *const kinds[] = { "no-id", "two-ids" };

  call_storefront (fleet, CALLS);
  pay (fleet, PAYMENTS);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_test_message ("%s", kinds[i]);
      for (size_t number = 1; number <= STOREFRONT_NODES; number++)
        fleet_spoil_responses (fleet, number, kinds[i], 3);
      call_storefront (fleet, CALLS);
      pay (fleet, PAYMENTS);
    }
}

/* Guards against a node that ends, or serves nothing else, because of bytes without end. */
static void
check_endless (fleet_t *fleet)
{
  static const char *const kinds[] = { "header", "length", "chunks", "others", "bytes" };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_test_message ("%s", kinds[i]);
      for (size_t number = 1; number <= STOREFRONT_NODES; number++)
        fleet_start_endless (fleet, number, kinds[i]);
      fleet_run_loop (fleet, 100);
      call_storefront (fleet, CALLS);
      for (size_t number = 1; number <= NODES; number++)
        {
          fleet_response_t response = fleet_call (fleet, number, "GET", "/stock?a", NULL);

          g_assert_cmpuint (response.status, ==, 200);
          g_assert_cmpuint (fleet_get_version (fleet, number), ==, 1);
          fleet_clear_response (&response);
        }
    }
}

int
main (int argc, char **argv)
{
  static const fleet_case_t cases[] = { { "/process/faulty/spoilt", check_spoilt },
                                        { "/process/faulty/endless", check_endless } };

  return fleet_run_cases (argc, argv, cases, G_N_ELEMENTS (cases), NODES);
}
