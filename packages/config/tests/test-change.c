/* Check of a changed document based on an earlier snapshot. */
#include "checker.h"
#include "fixture-check.h"
#include <string.h>

#define CHANGES 4000

static const char base_text[]
    = "# head\nversion = 7\n"
      "[[rank]]\nname = \"late\"\norder = 5\nshare = 0.25\nworth = 2\n"
      "[[rank]] # urgent\nname = \"fast\"\norder = 0\nshare = 0.1\n"
      "[[service]]\nname = \"shop\"\nslots = 9\nconnections = 120\n"
      "depends_on = [\n  \"stock\", # [[service]]\n  \"price\",\n]\n"
      "[[service]]\nname = \"stock\"\nslots = 1\nconnections = 1\n"
      "[[route]]\nname = \"buy\"\npath = \"/buy\"\nmethods = [\"POST\", \"PUT\"]\n"
      "service = \"shop\"\nrank = \"fast\"\ntimeout_ms = 250\nretries = 0\n\n"
      "[[service]]\nname = \"price\"\nslots = 2\nconnections = 2\ndepends_on = ['stock']\n"
      "health = \"/h?a\"\nwarmup_ms = 3000\nwarmup_rate = 13.5\n"
      "[[route]]\nname = \"read\"\npath = \"/buy\"\nmethods = [\"GET\"]\n"
      "service = \"price\"\nrank = \"late\"\n"
      "[[route]]\nname = \"stock\"\npath = \"/st\\u006fck\"\nservice = \"stock\"\n"
      "rank = \"late\"\nrepeatable = true\nhedge = true\n"
      "[[route]]\nname = \"all\"\npath = \"/\"\nmethods = []\nservice = \"shop\"\n"
      "rank = \"late\"\n"
      "[[customer]]\nname = \"kilo\"\nweight = 2.5\n[[customer]]\nname = \"roue\"\n"
      "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = 80\nratio = 0.99\n";

/* Text inserted at the start of a line. */
static const char *const insertions[]
    = { "[[route]]\nname = \"new\"\npath = \"/new\"\nservice = \"shop\"\nrank = \"fast\"\n",
        "[[customer]]\nname = \"extra\"\nweight = 1e1\n",
        "[[customer]]\nname = \"kilo\"\n",
        "[[objective]]\nservice = \"stock\"\nrank = \"late\"\ntarget_ms = 1\nratio = 1\n",
        "[[rank]]\nname = \"mid\"\norder = 3\nshare = 0.7\n",
        "[[service]]\nname = \"leaf\"\nslots = 1\nconnections = 1\ndepends_on = [\"shop\"]\n",
        "# comment\n",
        "\n",
        "\"\"\"\n",
        "x = '''\n",
        "x = [\n",
        "]\n",
        "[rank]\n",
        "[[route.x]]\n",
        " [[customer]]\nname = \"in\"\n",
        "customer.name = 1\n",
        "timeout_ms = 7\n",
        "weight = 3\n",
        "depends_on = [\"price\"]\n",
        "warmup_rate = 2\n",
        "health = \"/a\"\n",
        "rank = [{ name = \"x\" }]\n",
        "\r\n" };

/* Text inserted anywhere, or whose first byte replaces one. */
static const char *const pieces[] = { "[", "]", "\"", "'", "#", "\n", "\r", "\\", ",",
                                      "=", "0", "1",  "9", "a", ".",  " ",  "{" };

static size_t
pick (GRand *random, size_t bound)
{
  return (size_t)g_rand_int_range (random, 0, (gint32)bound);
}

static size_t
pick_line (const GString *text, GRand *random)
{
  size_t at = pick (random, text->len + 1);

  while (at > 0 && text->str[at - 1] != '\n')
    at--;
  return at;
}

static size_t
find_line_end (const GString *text, size_t at)
{
  const char *end = strchr (text->str + at, '\n');

  return end ? (size_t)(end + 1 - text->str) : text->len;
}

/* Returns the start of the next table after AT, or the end of TEXT. */
static size_t
find_table_end (const GString *text, size_t at)
{
  const char *end = at < text->len ? strstr (text->str + at + 1, "\n[[") : NULL;

  return end ? (size_t)(end + 1 - text->str) : text->len;
}

static void
move_range (GString *text, size_t start, size_t end, GRand *random)
{
  char *range = g_strndup (text->str + start, end - start);

  g_string_erase (text, (gssize)start, (gssize)(end - start));
  g_string_insert (text, (gssize)find_table_end (text, pick_line (text, random)), range);
  g_free (range);
}

static void
change_text (GString *text, GRand *random)
{
  size_t at = pick_line (text, random);
  size_t table = find_table_end (text, at);

  switch (pick (random, 6))
    {
    case 0:
      g_string_insert (text, (gssize)at, insertions[pick (random, G_N_ELEMENTS (insertions))]);
      break;
    case 1:
      g_string_insert (text, (gssize)table,
                       insertions[pick (random, G_N_ELEMENTS (insertions))]);
      break;
    case 2:
      g_string_erase (text, (gssize)at, (gssize)(find_line_end (text, at) - at));
      break;
    case 3:
      move_range (text, table, find_table_end (text, table), random);
      break;
    case 4:
      g_string_insert (text, (gssize)pick (random, text->len + 1),
                       pieces[pick (random, G_N_ELEMENTS (pieces))]);
      break;
    default:
      at = pick (random, text->len);
      if (g_ascii_isdigit (text->str[at]))
        text->str[at] = (char)('0' + pick (random, 10));
      else
        text->str[at] = pieces[pick (random, G_N_ELEMENTS (pieces))][0];
      break;
    }
  if (text->len == 0)
    g_string_assign (text, "version = 1\n");
}

/* Returns the public functions' results for SNAPSHOT as text; free with g_free. */
static char *
describe_snapshot (const fc_snapshot_t *snapshot)
{
  static const char *const methods[] = { "GET", "POST", "PUT", "DELETE", "TRACE" };
  static const char *const paths[]
      = { "/", "/buy", "/buy/x?y", "/stock", "/stock/1", "/new/a", "/none", "" };
  GString *text = g_string_new ("");
  uint32_t index = 0;

  g_string_append_printf (text, "%lu\n", (unsigned long)fc_get_version_number (snapshot));
  g_string_append_len (text, (const char *)fc_get_document (snapshot).data,
                       (gssize)fc_get_document (snapshot).len);
  for (size_t i = 0; i < fc_count_ranks (snapshot); i++)
    {
      const fc_rank_t *rank = fc_get_rank (snapshot, i);

      fc_find_rank (snapshot, fb_get_name (&rank->name), &index);
      g_string_append_printf (text, "rank %s %u %u %a %a %u\n", rank->name.data, rank->order,
                              rank->target_ms, rank->worth, rank->share, index);
    }
  for (size_t i = 0; i < fc_count_services (snapshot); i++)
    {
      const fc_service_t *service = fc_get_service (snapshot, i);

      fc_find_service (snapshot, fb_get_name (&service->name), &index);
      g_string_append_printf (text, "service %s %u %u %u %.*s %u %a:", service->name.data,
                              service->slots, service->connections, index,
                              (int)service->health.len, service->health.data,
                              service->warmup_ms, service->warmup_rate);
      for (size_t j = 0; j < service->depends_count; j++)
        g_string_append_printf (text, " %u", service->depends_on[j]);
    }
  for (size_t i = 0; i < fc_count_routes (snapshot); i++)
    {
      const fc_route_t *route = fc_get_route (snapshot, i);

      g_string_append_printf (text, "route %s %.*s %.*s %u %u %u %u %d %d\n", route->name.data,
                              (int)route->path.len, route->path.data, (int)route->methods.len,
                              route->methods.data, route->service, route->rank,
                              route->timeout_ms, route->retries, route->repeatable,
                              route->hedge);
    }
  for (size_t i = 0; i < fc_count_customers (snapshot); i++)
    g_string_append_printf (
        text, "customer %s %a %a\n", fc_get_customer (snapshot, i)->name.data,
        fc_get_customer (snapshot, i)->weight,
        fc_get_customer_weight (snapshot, fb_get_name (&fc_get_customer (snapshot, i)->name)));
  for (size_t i = 0; i < fc_count_objectives (snapshot); i++)
    {
      const fc_objective_t *objective = fc_get_objective (snapshot, i);

      g_string_append_printf (text, "objective %u %u %u %a\n", objective->service,
                              objective->rank, objective->target_ms, objective->ratio);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (methods) * G_N_ELEMENTS (paths); i++)
    {
      const fc_route_t *route = fc_find_route (
          snapshot, FB_LITERAL (""), fb_wrap_text (methods[i % G_N_ELEMENTS (methods)]),
          fb_wrap_text (paths[i / G_N_ELEMENTS (methods)]));

      g_string_append_printf (text, "%s\n", route ? route->name.data : "none");
    }
  return g_string_free (text, FALSE);
}

/* Returns whether the check of TEXT reuses sections of BASE. */
static bool
is_checked_by_sections (const fc_snapshot_t *base, const char *text)
{
  fc_headers_t headers = { .items = g_array_new (FALSE, FALSE, sizeof (fc_header_t)) };
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = NULL;
  GArray *sections = NULL;

  if (fc_scan_headers (fb_wrap_text (text), fc_get_document_limits (), problems, &headers))
    sections = fc_split_sections (fb_wrap_text (text), &headers);
  snapshot = fc_check_changed_sections (base, wrap_bytes (text), fc_get_document_limits (),
                                        sections);
  if (sections)
    g_array_unref (sections);
  fc_release_snapshot (snapshot);
  fc_destroy_problems (problems);
  g_array_unref (headers.items);
  return snapshot != NULL;
}

/* Asserts that the check of TEXT based on BASE equals the full check. Releases BASE;
 * returns the new snapshot, NULL when TEXT is invalid. */
static fc_snapshot_t *
compare_checks (fc_snapshot_t *base, const char *text)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *changed
      = fc_check_change (base, wrap_bytes (text), fc_get_document_limits (), problems);
  char *found = join_problems (problems);
  char *expected;
  fc_snapshot_t *full = check_text (text, &expected);

  /* The new snapshot must not refer to memory of BASE. */
  fc_release_snapshot (base);
  g_assert_cmpstr (found, ==, expected);
  g_assert_cmpint (changed != NULL, ==, full != NULL);
  g_free (found);
  g_free (expected);
  if (full)
    {
      found = describe_snapshot (changed);
      expected = describe_snapshot (full);
      g_assert_cmpstr (found, ==, expected);
      g_free (found);
      g_free (expected);
    }
  fc_release_snapshot (full);
  fc_destroy_problems (problems);
  return changed;
}

/* Guards against a check based on an earlier snapshot that differs from the full check in
 * result, problems or snapshot, after one or more changes. */
static void
test_random_changes (void)
{
  GRand *random = g_rand_new_with_seed (23);
  GString *current = g_string_new (base_text);
  fc_snapshot_t *base = check_valid (base_text);
  size_t accepted = 0;
  size_t by_sections_count = 0;

  for (int i = 0; i < CHANGES; i++)
    {
      GString *text = g_string_new (current->str);
      fc_snapshot_t *changed;

      for (size_t j = 1 + pick (random, 2); j > 0; j--)
        change_text (text, random);
      by_sections_count += is_checked_by_sections (base, text->str);
      changed = compare_checks (fc_retain_snapshot (base), text->str);
      if (changed && pick (random, 10) > 0)
        {
          fc_release_snapshot (base);
          base = fc_retain_snapshot (changed);
          g_string_assign (current, text->str);
        }
      else if (pick (random, 10) == 0)
        {
          fc_release_snapshot (base);
          base = check_valid (base_text);
          g_string_assign (current, base_text);
        }
      accepted += changed != NULL;
      fc_release_snapshot (changed);
      g_string_free (text, TRUE);
    }
  g_test_message ("%zu accepted, %zu by sections", accepted, by_sections_count);
  /* The comparison needs enough valid and invalid texts and checks of both kinds. */
  g_assert_cmpuint (accepted, >, CHANGES / 10);
  g_assert_cmpuint (accepted, <, CHANGES * 9 / 10);
  g_assert_cmpuint (by_sections_count, >, CHANGES / 10);
  g_assert_cmpuint (by_sections_count, <=, accepted);
  fc_release_snapshot (base);
  g_string_free (current, TRUE);
  g_rand_free (random);
}

static char *
replace_text (const char *from, const char *to)
{
  const char *at = strstr (base_text, from);

  g_assert_nonnull (at);
  return g_strdup_printf ("%.*s%s%s", (int)(at - base_text), base_text, to, at + strlen (from));
}

/* Guards against reusing sections that mean something else when parsed separately, and
 * against a full check of every text. */
static void
test_method (void)
{
  static const struct
  {
    const char *from;
    const char *to;
    bool by_sections;
  } cases[] = {
    { "version = 7", "version = 8", true },
    { "order = 5", "order = 1", true },
    { "timeout_ms = 250", "timeout_ms = 251", true },
    { "[[customer]]\nname = \"roue\"\n", "", true },
    { "# head\n", "# head\r\n", false },
    { "[[customer]]", " [[customer]]", false },
    { "[[customer]]", "[[ customer ]]", false },
    { "[[customer]]", "[['customer']]", false },
    { "\"kilo\"", "\"\"\"kilo\"\"\"", false },
    { "\"kilo\"", "'''kilo'''", false },
    { "version = 7", "version = 7\nunknown = 1", false },
    { "version = 7", "version = 7\nrank = []", false },
    { "version = 7", "rank.x = 7", false },
    { "version = 7", "", false },
    { "weight = 2.5", "weight = 2.5\n[customer.x]", false },
    { "weight = 2.5", "weight = 2.5\nx.y = 1", false },
    { "weight = 2.5", "weight = 2.5 [[customer]]\nname = \"same-line\"", false },
    { "weight = 2.5", "weight = 2.5 [[rank]]\nname = \"r\"\norder = 9", false },
    { "[[customer]]", "[[customer]] name = 'x'", false },
    { "weight = 2.5", "weight = ", false },
    { "weight = 2.5", "weight = [", false },
    { "weight = 2.5", "weight = 0", false },
    { "service = \"stock\"", "service = \"absent\"", false },
    { "name = \"roue\"", "name = \"kilo\"", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fc_snapshot_t *base = check_valid (base_text);
      char *text = replace_text (cases[i].from, cases[i].to);

      g_test_message ("%s", cases[i].to);
      g_assert_cmpint (is_checked_by_sections (base, text), ==, cases[i].by_sections);
      g_assert_false (is_checked_by_sections (NULL, text));
      fc_release_snapshot (compare_checks (base, text));
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/change/random-changes", test_random_changes);
  g_test_add_func ("/config/change/method", test_method);
  return g_test_run ();
}
