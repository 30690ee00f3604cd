/* Documents and helpers shared by the tests of this package. */
#include "fixture-check.h"
#include <glib.h>
#include <string.h>

const char fixture_document[]
    = "version = 7 # seventh\n"
      "[[rank]]\nname = \"late\"\norder = 5\nshare = 0.25\nworth = 2\ntarget_ms = 5_000\n"
      "[[rank]]\nname = \"fast\"\norder = 0\nshare = 0.75\n"
      "[[service]]\nname = \"shop\"\nslots = 9\nconnections = 120\n"
      "depends_on = [\n  \"stock\", # read\n  \"price.list\",\n]\n"
      "[[service]]\nname = \"stock\"\nslots = 1\nconnections = 1\n"
      "[[service]]\nname = \"price.list\"\nslots = 2\nconnections = 2\ndepends_on = "
      "['stock']\n"
      "[[route]]\nname = \"buy\"\npath = \"/buy\"\nmethods = [\"POST\", \"PUT\"]\n"
      "service = \"shop\"\nrank = \"fast\"\ntimeout_ms = 250\nretries = 0\n"
      "[[route]]\nname = \"stock\"\npath = \"/st\\u006fck\"\nservice = \"stock\"\n"
      "rank = \"late\"\nrepeatable = true\nhedge = true\n"
      "[[customer]]\nname = \"kilo\"\nweight = 2.5\n"
      "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = 80\nratio = 0.99\n";

fb_bytes_t
wrap_bytes (const char *text)
{
  return (fb_bytes_t){ (const uint8_t *)text, strlen (text) };
}

char *
join_problems (const fc_problems_t *problems)
{
  GString *text = g_string_new ("");

  for (size_t i = 0; i < fc_count_problems (problems); i++)
    {
      char *line = fc_format_problem (fc_get_problem (problems, i), "f");

      g_string_append_printf (text, "%s\n", line);
      g_free (line);
    }
  return g_string_free (text, FALSE);
}

fc_snapshot_t *
check_text (const char *text, char **messages)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = fc_check_document (wrap_bytes (text), problems);

  g_assert_cmpint (snapshot != NULL, ==, fc_count_problems (problems) == 0);
  *messages = join_problems (problems);
  fc_destroy_problems (problems);
  return snapshot;
}

fc_snapshot_t *
check_valid (const char *text)
{
  char *messages;
  fc_snapshot_t *snapshot = check_text (text, &messages);

  g_assert_cmpstr (messages, ==, "");
  g_free (messages);
  return snapshot;
}

void
assert_valid_references (const fc_snapshot_t *snapshot)
{
  for (size_t i = 0; i < fc_count_services (snapshot); i++)
    for (size_t j = 0; j < fc_get_service (snapshot, i)->depends_count; j++)
      g_assert_nonnull (fc_get_service (snapshot, fc_get_service (snapshot, i)->depends_on[j]));
  for (size_t i = 0; i < fc_count_routes (snapshot); i++)
    {
      g_assert_nonnull (fc_get_service (snapshot, fc_get_route (snapshot, i)->service));
      g_assert_nonnull (fc_get_rank (snapshot, fc_get_route (snapshot, i)->rank));
    }
  for (size_t i = 0; i < fc_count_objectives (snapshot); i++)
    {
      g_assert_nonnull (fc_get_service (snapshot, fc_get_objective (snapshot, i)->service));
      g_assert_nonnull (fc_get_rank (snapshot, fc_get_objective (snapshot, i)->rank));
    }
}
