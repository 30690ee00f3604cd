/* Check of configuration documents: problems and snapshots. */
#include "fixture-check.h"
#include <glib.h>
#include <string.h>

#define VERSION "version = 1\n"

#define VERSION_TEXT "an integer from 1 to 9007199254740991"
#define HEALTH_TEXT                                                                            \
  "a path of at most 255 printable ASCII characters that starts with \"/\", without spaces, "  \
  "quotes, backslashes or '#'"
#define TOP_KEYS "one of version, idle_ms, rank, service, route, customer, objective"
#define NAME_TEXT "a name of 1 to 47 letters, digits, '.', '_' or '-'"
#define PATH_TEXT                                                                              \
  "\"/\" or a path of at most 255 bytes and 32 segments, each preceded by \"/\", without "     \
  "spaces, '?' or '#'"
#define METHODS_TEXT                                                                           \
  "an array of GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, each at most once"

typedef struct
{
  const char *name;
  const char *document;
  const char *messages;
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
  { "empty", "", "f: version: found no value, allowed: " VERSION_TEXT "\n" },
  { "version-zero", "version = 0\n", "f:1: version: found 0, allowed: " VERSION_TEXT "\n" },
  { "version-large", "version = 9007199254740992\n",
    "f:1: version: found 9007199254740992, allowed: " VERSION_TEXT "\n" },
  { "version-beyond-64-bits", "version = 99999999999999999999\n",
    "f:1: version: found 99999999999999999999, allowed: " VERSION_TEXT "\n" },
  { "version-text", "version = \"1\"\n",
    "f:1: version: found \"1\", allowed: " VERSION_TEXT "\n" },
  { "version-table", "[version]\n",
    "f:1: version: found a table, allowed: " VERSION_TEXT "\n" },
  { "unknown-top", VERSION "colour = 1\n[[route_]]\n",
    "f:2: colour: found an unknown key, allowed: one of version, idle_ms, rank, service, route, customer, objective\n"
    "f:3: route_: found an unknown key, allowed: one of version, idle_ms, rank, service, route, customer, objective\n" },
  { "unknown-key", VERSION RANK "weight = 1\n",
    "f:5: rank[0].weight: found an unknown key, allowed: one of name, order, target_ms, worth, share\n" },
  { "unknown-unprintable-keys",
    VERSION "\"\\u001b[2J\" = 1\n"
            "\"1ééééééééééééééééééééééééééééééééé\" = 1\n\"a\\u0000b\" = 1\n",
    "f:2: ?[2J: found an unknown key, allowed: " TOP_KEYS "\n"
    "f:3: 1ééééééééééééééééééééééééééééé...: found an unknown key, allowed: " TOP_KEYS "\n"
    "f:4: a: found an unknown key, allowed: " TOP_KEYS "\n" },
  { "unknown-under-section", VERSION "[rank]\n",
    "f:2: rank: found a table, allowed: [[rank]] tables\n" },
  { "section-value", VERSION "rank = 3\nservice = [1]\nroute = [{}, 2]\n",
    "f:2: rank: found 3, allowed: [[rank]] tables\n"
    "f:3: service: found an array, allowed: [[service]] tables\n"
    "f:4: route: found an array of tables, allowed: [[route]] tables\n"
    "f:4: route[0].name: found no value, allowed: " NAME_TEXT "\n"
    "f:4: route[0].path: found no value, allowed: " PATH_TEXT "\n"
    "f:4: route[0].rank: found no value, allowed: the name of a rank\n"
    "f:4: route[0].service: found no value, allowed: the name of a service\n" },
  { "missing", VERSION "[[rank]]\n[[service]]\n[[route]]\n[[customer]]\n[[objective]]\n",
    "f:2: rank[0].name: found no value, allowed: " NAME_TEXT "\n"
    "f:2: rank[0].order: found no value, allowed: an integer from 0 to 99\n"
    "f:3: service[0].connections: found no value, allowed: an integer from 1 to 100000\n"
    "f:3: service[0].name: found no value, allowed: " NAME_TEXT "\n"
    "f:3: service[0].slots: found no value, allowed: an integer from 1 to 10000\n"
    "f:4: route[0].name: found no value, allowed: " NAME_TEXT "\n"
    "f:4: route[0].path: found no value, allowed: " PATH_TEXT "\n"
    "f:4: route[0].rank: found no value, allowed: the name of a rank\n"
    "f:4: route[0].service: found no value, allowed: the name of a service\n"
    "f:5: customer[0].name: found no value, allowed: " NAME_TEXT "\n"
    "f:6: objective[0].rank: found no value, allowed: the name of a rank\n"
    "f:6: objective[0].ratio: found no value, allowed: a number from 0 to 1\n"
    "f:6: objective[0].service: found no value, allowed: the name of a service\n"
    "f:6: objective[0].target_ms: found no value, allowed: an integer from 1 to 3600000\n" },
  { "types",
    VERSION RANK SERVICE
    "[[route]]\nname = 1\npath = true\nmethods = \"GET\"\nservice = 1.5\nrank = []\n"
    "timeout_ms = \"1\"\nrepeatable = 1\nretries = 1.0\nhedge = \"yes\"\n",
    "f:10: route[0].name: found 1, allowed: " NAME_TEXT "\n"
    "f:11: route[0].path: found true, allowed: " PATH_TEXT "\n"
    "f:12: route[0].methods: found \"GET\", allowed: " METHODS_TEXT "\n"
    "f:13: route[0].service: found 1.5, allowed: the name of a service\n"
    "f:14: route[0].rank: found an array, allowed: the name of a rank\n"
    "f:15: route[0].timeout_ms: found \"1\", allowed: an integer from 1 to 600000\n"
    "f:16: route[0].repeatable: found 1, allowed: true or false\n"
    "f:17: route[0].retries: found 1.0, allowed: an integer from 0 to 3\n"
    "f:18: route[0].hedge: found \"yes\", allowed: true or false\n" },
  { "ranges",
    VERSION "[[rank]]\nname = \"fast\"\norder = 100\ntarget_ms = 0\nworth = -1\n"
            "share = 1.5\n",
    "f:4: rank[0].order: found 100, allowed: an integer from 0 to 99\n"
    "f:5: rank[0].target_ms: found 0, allowed: an integer from 1 to 3600000\n"
    "f:6: rank[0].worth: found -1, allowed: a number from 0 to 1000000\n"
    "f:7: rank[0].share: found 1.5, allowed: a number from 0 to 1\n" },
  { "not-a-number", VERSION RANK "worth = nan\nshare = inf\n",
    "f:5: rank[0].worth: found nan, allowed: a number from 0 to 1000000\n"
    "f:6: rank[0].share: found inf, allowed: a number from 0 to 1\n" },
  { "time", VERSION RANK "target_ms = 2020-01-01\n",
    "f:5: rank[0].target_ms: found 2020-01-01, allowed: an integer from 1 to 3600000\n" },
  { "names",
    VERSION "[[rank]]\nname = \"\"\norder = 0\n[[rank]]\nname = \"a b\"\norder = 1\n"
            "[[rank]]\nname = \"123456789012345678901234567890123456789012345678\"\n"
            "order = 2\n",
    "f:3: rank[0].name: found \"\", allowed: " NAME_TEXT "\n"
    "f:6: rank[1].name: found \"a b\", allowed: " NAME_TEXT "\n"
    "f:9: rank[2].name: found \"123456789012345678901234567890123456789012345678\", allowed: " NAME_TEXT
    "\n" },
  { "long-value",
    VERSION "[[rank]]\norder = 0\nname = \"\"\"one\ntwo\"\"\"\n"
            "[[rank]]\norder = 1\nname = "
            "\"ééééééééééééééééééééééééééééééééééééééééééééé\"\n",
    "f:4: rank[0].name: found \"\"\"one..., allowed: " NAME_TEXT "\n"
    "f:8: rank[1].name: found \"ééééééééééééééééééééééééééééé..., allowed: " NAME_TEXT "\n" },
  { "duplicate-names",
    VERSION RANK
    "[[rank]]\nname = \"fast\"\norder = 1\n" SERVICE SERVICE ROUTE
    "[[route]]\nname = \"buy\"\npath = \"/b\"\nservice = \"shop\"\nrank = \"fast\"\n"
    "[[customer]]\nname = \"c\"\n[[customer]]\nname = \"c\"\n",
    "f:6: rank[1].name: found \"fast\", as in rank[0], allowed: a different name for each [[rank]]\n"
    "f:13: service[1].name: found \"shop\", as in service[0], allowed: a different name for each [[service]]\n"
    "f:22: route[1].name: found \"buy\", as in route[0], allowed: a different name for each [[route]]\n"
    "f:29: customer[1].name: found \"c\", as in customer[0], allowed: a different name for each [[customer]]\n" },
  { "duplicate-order", VERSION RANK "[[rank]]\nname = \"x\"\norder = 0\n",
    "f:7: rank[1].order: found 0, as in rank[0], allowed: a different order for each [[rank]]\n" },
  { "shares",
    VERSION RANK "share = 0.6\n[[rank]]\nname = \"x\"\norder = 1\nshare = 0.41\n"
                 "[[rank]]\nname = \"y\"\norder = 2\nshare = 0.5\n",
    "f:9: rank[1].share: found a sum of 1.01 up to this rank, allowed: a sum of at most 1 over all ranks\n" },
  { "dangling",
    VERSION RANK SERVICE
    "depends_on = [\"absent\"]\n"
    "[[route]]\nname = \"r\"\npath = \"/\"\nservice = \"absent\"\nrank = \"absent\"\n"
    "[[objective]]\nservice = \"absent\"\nrank = \"absent\"\ntarget_ms = 1\nratio = "
    "1\n",
    "f:9: service[0].depends_on: found \"absent\", allowed: the name of a service\n"
    "f:13: route[0].service: found \"absent\", allowed: the name of a service\n"
    "f:14: route[0].rank: found \"absent\", allowed: the name of a rank\n"
    "f:16: objective[0].service: found \"absent\", allowed: the name of a service\n"
    "f:17: objective[0].rank: found \"absent\", allowed: the name of a rank\n" },
  { "dependency-twice",
    VERSION SERVICE "depends_on = [\"b\", \"b\"]\n"
                    "[[service]]\nname = \"b\"\nslots = 1\nconnections = 1\n",
    "f:6: service[0].depends_on: found \"b\", allowed: each service at most once\n" },
  { "warmup-without-health", VERSION SERVICE "warmup_ms = 3000\nwarmup_rate = 13.5\n",
    "f:2: service[0].health: found no value with warmup_rate, allowed: " HEALTH_TEXT "\n" },
  { "warmup-values",
    VERSION SERVICE
    "health = \"h\"\nwarmup_ms = -1\nwarmup_rate = -0.5\n"
    "[[service]]\nname = \"b\"\nslots = 1\nconnections = 1\nhealth = \"/a b\"\n",
    "f:6: service[0].health: found \"h\", allowed: " HEALTH_TEXT "\n"
    "f:7: service[0].warmup_ms: found -1, allowed: an integer from 0 to 3600000\n"
    "f:8: service[0].warmup_rate: found -0.5, allowed: a number from 0 to 1000000\n"
    "f:13: service[1].health: found \"/a b\", allowed: " HEALTH_TEXT "\n" },
  { "self-cycle", VERSION SERVICE "depends_on = [\"shop\"]\n",
    "f:6: service[0].depends_on: found the cycle shop -> shop, allowed: dependencies without a cycle\n" },
  { "two-cycles",
    VERSION SERVICE "depends_on = [\"b\", \"c\"]\n"
                    "[[service]]\nname = \"b\"\nslots = 1\nconnections = 1\n"
                    "depends_on = [\"c\"]\n"
                    "[[service]]\nname = \"c\"\nslots = 1\nconnections = 1\n"
                    "depends_on = [\n\"shop\",\n\"b\"]\n",
    "f:16: service[2].depends_on: found the cycle b -> c -> b, allowed: dependencies without a cycle\n"
    "f:16: service[2].depends_on: found the cycle shop -> b -> c -> shop, allowed: dependencies without a cycle\n" },
  { "path-relative",
    VERSION RANK SERVICE
    "[[route]]\nname = \"r\"\npath = \"buy\"\nservice = \"shop\"\nrank = \"fast\"\n",
    "f:11: route[0].path: found \"buy\", allowed: " PATH_TEXT "\n" },
  { "path-form",
    VERSION RANK SERVICE
    "[[route]]\nname = \"a\"\npath = \"/a/\"\nservice = \"shop\"\nrank = \"fast\"\n"
    "[[route]]\nname = \"b\"\npath = \"/a//b\"\nservice = \"shop\"\nrank = \"fast\"\n"
    "[[route]]\nname = \"c\"\npath = \"/a?b\"\nservice = \"shop\"\nrank = \"fast\"\n"
    "[[route]]\nname = \"d\"\npath = \"/a b\"\nservice = \"shop\"\nrank = \"fast\"\n",
    "f:11: route[0].path: found \"/a/\", allowed: " PATH_TEXT "\n"
    "f:16: route[1].path: found \"/a//b\", allowed: " PATH_TEXT "\n"
    "f:21: route[2].path: found \"/a?b\", allowed: " PATH_TEXT "\n"
    "f:26: route[3].path: found \"/a b\", allowed: " PATH_TEXT "\n" },
  { "methods", VERSION RANK SERVICE ROUTE "methods = [\"get\", \"GET\", \"GET\"]\n",
    "f:14: route[0].methods: found \"GET\", allowed: " METHODS_TEXT "\n"
    "f:14: route[0].methods: found \"get\", allowed: " METHODS_TEXT "\n" },
  { "methods-type", VERSION RANK SERVICE ROUTE "methods = [\"GET\", 1]\n",
    "f:14: route[0].methods: found 1, allowed: " METHODS_TEXT "\n" },
  { "overlap",
    VERSION RANK SERVICE ROUTE
    "methods = [\"GET\", \"POST\"]\n"
    "[[route]]\nname = \"x\"\npath = \"/buy\"\nmethods = [\"PUT\", \"POST\"]\n"
    "service = \"shop\"\nrank = \"fast\"\n"
    "[[route]]\nname = \"y\"\npath = \"/buy\"\nservice = \"shop\"\n"
    "rank = \"fast\"\n",
    "f:17: route[1].path: found \"/buy\", which route[0] has for the same methods, allowed: one route for each path and method\n"
    "f:23: route[2].path: found \"/buy\", which route[0] has for the same methods, allowed: one route for each path and method\n" },
  { "objective-twice",
    VERSION RANK SERVICE
    "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = 1\nratio = 0.5\n"
    "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = 2\nratio = 0.5\n",
    "f:15: objective[1].service: found the service and rank of objective[0], allowed: one [[objective]] for each service and rank\n" },
  { "syntax", VERSION "[[rank]]\nname \"fast\"\n",
    "f:3: syntax: found 'name \"fast\"', allowed: valid TOML (missing key-value separator `=`)\n" },
  { "syntax-open-string", "version = \"1\nx = 1\n",
    "f:1: syntax: found 'version = \"1', allowed: valid TOML (the next token is not a valid string)\n" },
  { "syntax-duplicate-key", VERSION VERSION,
    "f:2: syntax: found 'version = 1', allowed: valid TOML (value (\"version\") already exists)\n" },
  { "syntax-end", "version =",
    "f:1: syntax: found 'version =', allowed: valid TOML (missing value after key-value separator '=')\n" },
  { "syntax-long-line", "# 1\nxy éééééééééééééééééééééééééééééééééééé\n",
    "f:2: syntax: found 'xy éééééééééééééééééééééééééééé', allowed: valid TOML (missing "
    "key-value separator `=`)\n" },
  { "syntax-header", "[[rank]\n",
    "f:1: syntax: found '[[rank]', allowed: valid TOML (an invalid key appeared)\n" },
  { "not-utf8", VERSION "# \xff\n",
    "f:2: syntax: found byte 0xff, allowed: UTF-8 text without NUL bytes\n" },
  { "extend-empty-array", VERSION "rank = []\n[rank.x]\n",
    "f: syntax: found an empty array that a table header extends, allowed: valid TOML\n" },
  { "extend-empty-array-element", VERSION "rank = []\n[[rank]]\n",
    "f:3: syntax: found '[[rank]]', allowed: valid TOML (array of table (\"rank\") collides with existing value)\n" },
};

/* Guards against accepting an invalid document, and a problem without line, key, found
 * value or allowed values. */
static void
test_invalid (gconstpointer data)
{
  const invalid_case_t *test_case = data;
  char *messages;

  g_assert_null (check_text (test_case->document, &messages));
  g_assert_cmpstr (messages, ==, test_case->messages);
  g_free (messages);
}

/* Guards against wrong values, defaults or rank order. */
static void
test_valid (void)
{
  fc_snapshot_t *snapshot = check_valid (fixture_document);
  const fc_rank_t *rank = fc_get_rank (snapshot, 0);
  const fc_route_t *route = fc_get_route (snapshot, 0);
  uint32_t index;

  g_assert_cmpuint (fc_get_version_number (snapshot), ==, 7);
  g_assert_cmpuint (fc_get_document (snapshot).len, ==, strlen (fixture_document));
  g_assert_cmpstr (rank->name.data, ==, "fast");
  g_assert_cmpuint (rank->target_ms, ==, 1000);
  g_assert_cmpfloat (rank->worth, ==, 1);
  g_assert_cmpfloat (rank->share, ==, 0.75);
  g_assert_cmpstr (fc_get_rank (snapshot, 1)->name.data, ==, "late");
  g_assert_cmpuint (fc_get_rank (snapshot, 1)->target_ms, ==, 5000);
  g_assert_cmpfloat (fc_get_rank (snapshot, 1)->worth, ==, 2);
  g_assert_cmpuint (fc_get_service (snapshot, 0)->depends_count, ==, 2);
  g_assert_cmpuint (fc_get_service (snapshot, 0)->depends_on[1], ==, 2);
  g_assert_nonnull (fc_find_service (snapshot, FB_LITERAL ("price.list"), &index));
  g_assert_cmpuint (index, ==, 2);
  g_assert_null (fc_find_service (snapshot, FB_LITERAL ("price"), &index));
  g_assert_true (fb_equal_str (route->methods, FB_LITERAL ("POST,PUT")));
  g_assert_cmpuint (route->rank, ==, 0);
  g_assert_cmpuint (route->timeout_ms, ==, 250);
  g_assert_cmpuint (route->retries, ==, 0);
  g_assert_false (route->repeatable);
  g_assert_false (route->hedge);
  route = fc_get_route (snapshot, 1);
  g_assert_true (fb_equal_str (route->path, FB_LITERAL ("/stock")));
  g_assert_cmpuint (route->methods.len, ==, 0);
  g_assert_cmpuint (route->timeout_ms, ==, 1000);
  g_assert_cmpuint (route->retries, ==, 1);
  g_assert_true (route->repeatable);
  g_assert_true (route->hedge);
  g_assert_cmpfloat (fc_get_customer_weight (snapshot, FB_LITERAL ("kilo")), ==, 2.5);
  g_assert_cmpfloat (fc_get_customer_weight (snapshot, FB_LITERAL ("other")), ==, 1);
  g_assert_cmpfloat (fc_get_objective (snapshot, 0)->ratio, ==, 0.99);
  g_assert_null (fc_get_rank (snapshot, 2));
  assert_valid_references (snapshot);
  g_assert_true (fc_retain_snapshot (snapshot) == snapshot);
  fc_release_snapshot (snapshot);
  g_assert_cmpuint (fc_get_version_number (snapshot), ==, 7);
  fc_release_snapshot (snapshot);
}

/* Guards against a snapshot that refers to the passed document's memory. */
static void
test_copy (void)
{
  char *text = g_strdup (fixture_document);
  fc_snapshot_t *snapshot = check_valid (text);

  memset (text, 'x', strlen (text));
  g_free (text);
  g_assert_nonnull (
      fc_find_route (snapshot, FB_LITERAL (""), FB_LITERAL ("PUT"), FB_LITERAL ("/buy")));
  g_assert_cmpmem (fc_get_document (snapshot).data, fc_get_document (snapshot).len,
                   fixture_document, strlen (fixture_document));
  fc_release_snapshot (snapshot);
}

static char *
repeat (const char *prefix, const char *format, unsigned count)
{
  GString *text = g_string_new (prefix);

  for (unsigned i = 0; i < count; i++)
    {
      char **parts = g_strsplit (format, "%", -1);
      char *number = g_strdup_printf ("%u", i);
      char *item = g_strjoinv (number, parts);

      g_string_append (text, item);
      g_free (item);
      g_free (number);
      g_strfreev (parts);
    }
  return g_string_free (text, FALSE);
}

/* Guards against accepting documents over the limits, which would exhaust time, memory or
 * stack, and rejecting those at the limits. */
static void
test_limits (void)
{
  static const struct
  {
    const char *prefix;
    const char *item;
    unsigned count;
    const char *messages;
  } cases[] = {
    { VERSION, "[[rank]]\nname = \"r%\"\norder = %\n", 16, "" },
    { VERSION, "[[rank]]\nname = \"r%\"\norder = %\n", 17,
      "f:2: rank: found 17 tables, allowed: at most 16 tables\n" },
    /* The floating-point sum of these shares exceeds 1. */
    { VERSION RANK "share = 0.01\n[[rank]]\nname = \"a\"\norder = 2\nshare = 0.33\n"
                   "[[rank]]\nname = \"b\"\norder = 3\nshare = 0.56\n",
      "[[rank]]\nname = \"c\"\norder = 4\nshare = 0.1\n", 1, "" },
    { VERSION, "[[service]]\nname = \"s%\"\nslots = 1\nconnections = 1\n", 1000, "" },
    { VERSION, "[[service]]\nname = \"s%\"\nslots = 1\nconnections = 1\n", 1001,
      "f:2: service: found 1001 tables, allowed: at most 1000 tables\n" },
    { VERSION RANK SERVICE,
      "[[route]]\nname=\"r%\"\npath=\"/%\"\nservice=\"shop\"\nrank=\"fast\"\n", 8000, "" },
    { VERSION RANK SERVICE,
      "[[route]]\nname=\"r%\"\npath=\"/%\"\nservice=\"shop\"\nrank=\"fast\"\n", 8001,
      "f:9: route: found 8001 tables, allowed: at most 8000 tables\n" },
    { VERSION, "[[customer]]\nname=\"c%\"\n", 4001,
      "f:2: customer: found 4001 tables, allowed: at most 4000 tables\n" },
    { VERSION "x = ", "[", 100000,
      "f:2: syntax: found more than 16 levels, allowed: at most 16 levels of tables and arrays\n" },
    { VERSION "x = ", "{a=", 100000,
      "f:2: syntax: found more than 16 levels, allowed: at most 16 levels of tables and arrays\n" },
    { VERSION "x", ".x", 100000,
      "f:2: syntax: found more than 16 levels, allowed: at most 16 levels of tables and arrays\n" },
    { VERSION "x = [", "1,", 10000,
      "f:2: syntax: found a line of more than 16384 bytes, allowed: lines of at most 16384 bytes\n" },
    { VERSION "x = [", "1,\n", 100001,
      "f:100000: syntax: found more than 100000 values, allowed: at most 100000 values\n" },
    { VERSION, "# 3456789\n", 104857,
      "f: file: found 1048582 bytes, allowed: at most 1048576 bytes\n" },
    { VERSION, "# 3456789\n", 104856, "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *document = repeat (cases[i].prefix, cases[i].item, cases[i].count);
      char *messages;
      fc_snapshot_t *snapshot = check_text (document, &messages);

      g_assert_cmpstr (messages, ==, cases[i].messages);
      fc_release_snapshot (snapshot);
      g_free (messages);
      g_free (document);
    }
}

/* Guards against unbounded problems, and problems not sorted by line. */
static void
test_many_problems (void)
{
  char *document = repeat ("", "x% = 1\n", 3000);
  fc_problems_t *problems = fc_create_problems ();

  g_assert_null (fc_check_document (wrap_bytes (document), problems));
  g_assert_cmpuint (fc_count_problems (problems), ==, 1001);
  g_assert_cmpuint (fc_get_problem (problems, 0)->line, ==, 0);
  for (size_t i = 1; i < fc_count_problems (problems); i++)
    g_assert_cmpuint (fc_get_problem (problems, i - 1)->line, <=,
                      fc_get_problem (problems, i)->line);
  g_assert_null (fc_get_problem (problems, 1001));
  fc_destroy_problems (problems);
  g_free (document);
}

/* Guards against recursion along a dependency chain of 1,000 services. */
static void
test_long_cycle (void)
{
  char *document = repeat (
      VERSION,
      "[[service]]\nname = \"s%\"\nslots = 1\nconnections = 1\ndepends_on = [\"s%+\"]\n", 1000);
  char **parts = g_strsplit (document, "+", -1);
  GString *text = g_string_new ("");
  char *messages;

  for (size_t i = 0; parts[i]; i++)
    {
      /* Each service depends on the next; the last closes the cycle. */
      char *quote = parts[i + 1] ? strrchr (parts[i], '"') : NULL;

      if (quote)
        quote[1] = '\0';
      g_string_append (text, parts[i]);
      if (quote)
        g_string_append_printf (text, "s%zu", (i + 1) % 1000);
    }
  g_assert_null (check_text (text->str, &messages));
  g_assert_cmpstr (
      messages, ==,
      "f:5001: service[999].depends_on: found the cycle s0 -> s1 -> s2 -> s3 -> s4 -> "
      "s5 -> s6 -> s7 -> (992 more) -> s0, allowed: dependencies without a cycle\n");
  g_free (messages);
  g_string_free (text, TRUE);
  g_strfreev (parts);
  g_free (document);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      char *path = g_strdup_printf ("/config/document/invalid/%s", invalid_cases[i].name);

      g_test_add_data_func (path, &invalid_cases[i], test_invalid);
      g_free (path);
    }
  g_test_add_func ("/config/document/valid", test_valid);
  g_test_add_func ("/config/document/copy", test_copy);
  g_test_add_func ("/config/document/limits", test_limits);
  g_test_add_func ("/config/document/many-problems", test_many_problems);
  g_test_add_func ("/config/document/long-cycle", test_long_cycle);
  return g_test_run ();
}
