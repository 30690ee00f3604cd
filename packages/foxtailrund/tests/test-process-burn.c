/* Service-level burn counted and reported by a real process. */
#include "fixture-fleet.h"

#define NODES 4
#define ENTRY_NODE 1

/* Every response meets the first target; a sleeping stock check always misses its own. */
#define STOREFRONT_OBJECTIVE                                                                   \
  "[[objective]]\nservice = \"storefront\"\nrank = \"urgent\"\ntarget_ms = 3600000\n"          \
  "ratio = 0.5\n"
#define INVENTORY_OBJECTIVE                                                                    \
  "[[objective]]\nservice = \"inventory\"\nrank = \"background\"\ntarget_ms = 1\nratio = 0.5\n"

/* Returns the entry node's objectives with counts of the longest window, such as "storefront
 * good 1 refused 0 late 0 failed 0 unknown 0\n"; free with g_free. */
static char *
format_burn_counts (fleet_t *fleet)
{
  static const char *const causes[] = { "good", "refused", "late", "failed", "unknown" };
  fleet_response_t response = fleet_request_admin (fleet, ENTRY_NODE, "GET", "/burn", NULL);
  json_t *object = json_loads (response.body, 0, NULL);
  GString *text = g_string_new ("");
  json_t *item;
  size_t i;

  g_assert_cmpuint (response.status, ==, 200);
  json_array_foreach (json_object_get (object, "objectives"), i, item)
  {
    json_t *window = json_array_get (json_object_get (item, "windows"), 3);

    g_string_append (text, json_string_value (json_object_get (item, "service")));
    for (size_t cause = 0; cause < G_N_ELEMENTS (causes); cause++)
      g_string_append_printf (
          text, " %s %d", causes[cause],
          (int)json_integer_value (json_object_get (window, causes[cause])));
    g_string_append_c (text, '\n');
  }
  json_decref (object);
  fleet_clear_response (&response);
  return g_string_free (text, FALSE);
}

/* Guards against calls not counted or under the wrong cause, ticket requests counted as
 * refusals, and objectives that ignore a new configuration. */
static void
test_counts (void)
{
  static const struct
  {
    uint64_t version; /* to publish first, 0 for none */
    const char *objectives;
    const char *method;
    const char *path;
    const char *burn;
  } steps[] = {
    { 0, NULL, "GET", "/prices", "" },
    { 2, STOREFRONT_OBJECTIVE INVENTORY_OBJECTIVE, "GET", "/prices",
      "storefront good 1 refused 0 late 0 failed 0 unknown 0\n"
      "inventory good 0 refused 0 late 0 failed 0 unknown 0\n" },
    { 0, NULL, "GET", "/stock?sleep=50",
      "storefront good 1 refused 0 late 0 failed 0 unknown 0\n"
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n" },
    { 0, NULL, "POST", "/pay",
      "storefront good 2 refused 0 late 0 failed 0 unknown 0\n"
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n" },
    { 0, NULL, "GET", "/nowhere",
      "storefront good 2 refused 0 late 0 failed 0 unknown 0\n"
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n" },
    { 0, NULL, "POST", "/pay?shed=1",
      "storefront good 2 refused 0 late 0 failed 1 unknown 0\n"
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n" },
    { 3, INVENTORY_OBJECTIVE, "GET", "/prices",
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n" },
    { 4, INVENTORY_OBJECTIVE STOREFRONT_OBJECTIVE, "GET", "/prices",
      "inventory good 0 refused 0 late 1 failed 0 unknown 0\n"
      "storefront good 1 refused 0 late 0 failed 0 unknown 0\n" },
  };
  fleet_t *fleet = fleet_start (NODES);

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      fleet_response_t response;
      char *burn;

      if (steps[i].version > 0)
        {
          fleet_publish (fleet, steps[i].version, steps[i].objectives);
          fleet_wait_version (fleet, ENTRY_NODE, steps[i].version);
        }
      response = fleet_call (fleet, ENTRY_NODE, steps[i].method, steps[i].path, NULL);
      if (response.status == 428)
        {
          fleet_response_t repeated
              = fleet_call (fleet, ENTRY_NODE, steps[i].method, steps[i].path, response.ticket);

          fleet_clear_response (&response);
          response = repeated;
        }
      g_test_message ("%s: %u %s", steps[i].path, response.status, response.outcome);
      fleet_clear_response (&response);
      burn = format_burn_counts (fleet);
      g_assert_cmpstr (burn, ==, steps[i].burn);
      g_free (burn);
    }
  fleet_stop (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/process/burn/counts", test_counts);
  return g_test_run ();
}
