/* Route lookup. */
#include "fixture-check.h"
#include <glib.h>
#include <string.h>

#define ROUTE_TARGET "service = \"shop\"\nrank = \"fast\"\n"

static const char lookup_document[]
    = "version = 1\n" RANK SERVICE "[[route]]\nname = \"root\"\npath = \"/\"\nmethods = "
      "[\"GET\"]\n" ROUTE_TARGET "[[route]]\nname = \"a\"\npath = \"/a\"\n" ROUTE_TARGET
      "[[route]]\nname = \"a-b-get\"\npath = \"/a/b\"\nmethods = [\"GET\", \"HEAD\"]\n" ROUTE_TARGET
      "[[route]]\nname = \"a-b-post\"\npath = \"/a/b\"\nmethods = [\"POST\"]\n" ROUTE_TARGET
      "[[route]]\nname = \"deep\"\npath = \"/x/y/z\"\n" ROUTE_TARGET;

/* Guards against matching part of a segment, precedence of a shorter prefix, an ignored
 * method, and a matched query. */
static void
test_lookup (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *name; /* NULL: no route */
  } cases[] = {
    { "GET", "/", "root" },
    { "POST", "/", NULL },
    { "GET", "/ab", "root" },
    { "POST", "/ab", NULL },
    { "GET", "/a", "a" },
    { "POST", "/a/", "a" },
    { "GET", "/a/b", "a-b-get" },
    { "HEAD", "/a/b/c/d", "a-b-get" },
    { "POST", "/a/b/", "a-b-post" },
    { "PUT", "/a/b", "a" },
    { "PURGE", "/a/b", "a" },
    { "PURGE", "/", NULL },
    { "get", "/a/b", "a" },
    { "GET", "/a/bc", "a" },
    { "GET", "/a//b", "a" },
    { "GET", "/a?x=/b", "a" },
    { "GET", "/a/b?x", "a-b-get" },
    { "GET", "/?a/b", "root" },
    { "GET", "/x/y", "root" },
    { "POST", "/x/y", NULL },
    { "POST", "/x/y/z/1", "deep" },
    { "GET", "a/b", NULL },
    { "GET", "", NULL },
    { "GET", "?", NULL },
    { "GET", "*", NULL },
  };
  fc_snapshot_t *snapshot = check_valid (lookup_document);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const fc_route_t *route
          = fc_find_route (snapshot, FB_LITERAL (""), fb_wrap_text (cases[i].method),
                           fb_wrap_text (cases[i].path));

      g_assert_cmpstr (route ? route->name.data : NULL, ==, cases[i].name);
    }
  fc_release_snapshot (snapshot);
}

/* Guards against matching another host's route, "below" matching the prefix alone, and a
 * route without a host not matching when the host has only routes of other paths. */
static void
test_lookup_host (void)
{
  static const char document[]
      = "version = 1\n" RANK SERVICE "[[route]]\nname = \"any\"\npath = \"/any\"\n" ROUTE_TARGET
        "[[route]]\nname = \"one\"\nhost = \"one.example\"\npath = \"/a\"\nbelow = true\n" ROUTE_TARGET
        "[[route]]\nname = \"deep\"\nhost = \"one.example\"\npath = \"/a/b\"\nbelow = true\n" ROUTE_TARGET
        "[[route]]\nname = \"two\"\nhost = \"two.example\"\npath = \"/a\"\n" ROUTE_TARGET
        "[[route]]\nname = \"two-below\"\nhost = \"two.example\"\npath = \"/a\"\nbelow = true\n" ROUTE_TARGET;
  static const struct
  {
    const char *host;
    const char *path;
    const char *name;
  } cases[] = {
    { "one.example", "/a/x", "one" },  { "one.example", "/a/", "one" },
    { "one.example", "/a", NULL },     { "one.example", "/a?x=/", NULL },
    { "one.example", "/a/b", "one" },  { "one.example", "/a/b/", "deep" },
    { "one.example", "/a//b", "one" }, { "one.example", "/any/x", "any" },
    { "two.example", "/a", "two" },    { "two.example", "/a/", "two-below" },
    { "other", "/a/x", NULL },         { "", "/any", "any" },
  };
  fc_snapshot_t *snapshot = check_valid (document);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const fc_route_t *route
          = fc_find_route (snapshot, fb_wrap_text (cases[i].host), FB_LITERAL ("GET"),
                           fb_wrap_text (cases[i].path));

      g_assert_cmpstr (route ? route->name.data : NULL, ==, cases[i].name);
    }
  fc_release_snapshot (snapshot);
}

/* Guards against reading beyond path or method. */
static void
test_lookup_length (void)
{
  fc_snapshot_t *snapshot = check_valid (lookup_document);
  const fc_route_t *route = fc_find_route (snapshot, FB_LITERAL (""), FB_LITERAL ("POST"),
                                           (fb_str_t){ "/x/y/z", 5 });

  g_assert_null (route);
  route = fc_find_route (snapshot, FB_LITERAL (""), (fb_str_t){ "GETTING", 3 },
                         (fb_str_t){ "/a/bb", 4 });
  g_assert_cmpstr (route->name.data, ==, "a-b-get");
  fc_release_snapshot (snapshot);
}

static bool
is_segment_prefix (fb_str_t prefix, fb_str_t path)
{
  if (prefix.len == 1)
    return true;
  return fb_has_prefix (path, prefix)
         && (path.len == prefix.len || path.data[prefix.len] == '/');
}

/* Reference implementation: compares PATH with each route. */
static const fc_route_t *
search_routes (const fc_snapshot_t *snapshot, const char *method, fb_str_t path)
{
  const fc_route_t *best = NULL;

  for (size_t i = 0; i < fc_count_routes (snapshot); i++)
    {
      const fc_route_t *route = fc_get_route (snapshot, i);
      char *methods = fb_copy_text (route->methods);
      bool allowed = route->methods.len == 0 || strstr (methods, method);

      g_free (methods);
      if (allowed && is_segment_prefix (route->path, path)
          && (!best || route->path.len > best->path.len))
        best = route;
    }
  return best;
}

static char *
make_path (GRand *random, int max_segments)
{
  GString *path = g_string_new ("");
  int segments = g_rand_int_range (random, 1, max_segments + 1);

  for (int i = 0; i < segments; i++)
    g_string_append_printf (path, "/%.*s", g_rand_int_range (random, 1, 3),
                            &"abcabacb"[g_rand_int_range (random, 0, 6)]);
  return g_string_free (path, FALSE);
}

/* Guards against results that differ from the reference implementation's. */
static void
test_random_tables (void)
{
  static const char *const methods[] = { "GET", "POST", "PUT" };
  GRand *random = g_rand_new_with_seed (11);
  GHashTable *paths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GString *text = g_string_new ("version = 1\n" RANK SERVICE);
  fc_snapshot_t *snapshot;
  int found = 0;

  for (int i = 0; i < 500; i++)
    {
      char *path = make_path (random, 5);
      const char *method = methods[g_rand_int_range (random, 0, 3)];

      if (!g_hash_table_add (paths, path))
        continue;
      g_string_append_printf (text, "[[route]]\nname=\"r%d\"\npath=\"%s\"\n" ROUTE_TARGET, i,
                              path);
      if (i % 2)
        g_string_append_printf (text, "methods = [\"%s\"]\n", method);
    }
  snapshot = check_valid (text->str);
  for (int i = 0; i < 5000; i++)
    {
      char *path = make_path (random, 7);
      const char *method = methods[g_rand_int_range (random, 0, 3)];
      const fc_route_t *expected = search_routes (snapshot, method, fb_wrap_text (path));

      found += expected != NULL;
      g_assert_true (
          fc_find_route (snapshot, FB_LITERAL (""), fb_wrap_text (method), fb_wrap_text (path))
          == expected);
      g_free (path);
    }
  /* The comparison needs enough paths with and without a route. */
  g_assert_cmpint (found, >, 1000);
  g_assert_cmpint (found, <, 4999);
  fc_release_snapshot (snapshot);
  g_string_free (text, TRUE);
  g_hash_table_unref (paths);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/route/lookup-host", test_lookup_host);
  g_test_add_func ("/config/route/lookup", test_lookup);
  g_test_add_func ("/config/route/lookup-length", test_lookup_length);
  g_test_add_func ("/config/route/random-tables", test_random_tables);
  return g_test_run ();
}
