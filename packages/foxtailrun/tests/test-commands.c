/* The subcommands of foxtailrun, run in this process. */
#include "command.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define VALID_DOCUMENT                                                                         \
  "version = 3\n[[rank]]\nname = \"fast\"\norder = 0\n[[service]]\nname = \"shop\"\n"          \
  "slots = 9\nconnections = 120\n[[route]]\nname = \"buy\"\npath = \"/buy\"\n"                 \
  "service = \"shop\"\nrank = \"fast\"\n"

#define VALID_SETTINGS                                                                         \
  "[node]\nid = \"n1\"\nzone = \"z1\"\nregion = \"r1\"\n[listen]\naddress = \"10.0.0.1\"\n"

typedef struct
{
  int status;
  char *out;
  char *err;
} result_t;

/* Runs foxtailrun with the words of ARGUMENTS. */
static result_t
run_command (const char *arguments)
{
  char *line = g_strdup_printf ("foxtailrun %s", arguments);
  char **argv = g_strsplit (g_strchomp (line), " ", -1);
  size_t out_size;
  size_t err_size;
  result_t result;
  cmd_io_t io
      = { open_memstream (&result.out, &out_size), open_memstream (&result.err, &err_size) };

  result.status = cmd_run ((int)g_strv_length (argv), argv, &io);
  fclose (io.out);
  fclose (io.err);
  g_strfreev (argv);
  g_free (line);
  return result;
}

static void
clear_result (result_t *result)
{
  free (result->out);
  free (result->err);
}

/* Two requests whose ids have a common prefix, and a call by one of them. */
#define NODE_LOG                                                                               \
  "service=request msg=answered id=a12 status=200 reason=\"\" version=7 instance=i-2\n"        \
  "service=served msg=not-run id=a1.b2 reason=queue-full\n"                                    \
  "service=request msg=unknown id=a1 status=504 reason=\"deadline passed\" version=7 "         \
  "instance=i-1\n"

/* Changes to a new folder with the files below. */
static void
enter_folder (void)
{
  static const struct
  {
    const char *name;
    const char *content;
  } files[] = {
    { "good.toml", VALID_DOCUMENT },
    { "bad.toml", "version = 3\ncolour = 1\n" },
    { "settings.toml", VALID_SETTINGS },
    { "node.log", NODE_LOG },
  };
  char *folder = g_dir_make_tmp (NULL, NULL);

  g_assert_cmpint (g_chdir (folder), ==, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    g_assert_true (g_file_set_contents (files[i].name, files[i].content, -1, NULL));
  g_free (folder);
}

static void
leave_folder (void)
{
  static const char *const names[]
      = { "good.toml", "bad.toml", "settings.toml", "node.log", "before.toml", "after.toml" };
  char *folder = g_get_current_dir ();

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    g_unlink (names[i]);
  g_assert_cmpint (g_chdir ("/"), ==, 0);
  g_assert_cmpint (g_rmdir (folder), ==, 0);
  g_free (folder);
}

#define SEE_HELP(name) "foxtailrun " name ": see foxtailrun " name " --help\n"

typedef struct
{
  const char *arguments;
  int status;
  const char *out; /* complete, or a prefix when it ends in "*" */
  const char *err;
} output_case_t;

static const output_case_t output_cases[] = {
  { "", 1, "", "Usage: foxtailrun COMMAND [ARGUMENTS]\n*" },
  { "--help", 0, "Usage: foxtailrun COMMAND [ARGUMENTS]\n*", "" },
  { "--version", 0, "foxtailrun 0.1.0\n", "" },
  { "check --version", 0, "foxtailrun 0.1.0\n", "" },
  { "schema --version", 0, "foxtailrun 0.1.0\n", "" },
  { "diff --version", 0, "foxtailrun 0.1.0\n", "" },
  { "check --help", 0,
    "Usage: foxtailrun check [--help] [--version] [--json] [--settings] FILE\n*", "" },
  { "schema --help", 0,
    "Usage: foxtailrun schema [--help] [--version] [--json] [--markdown] [--settings]\n*", "" },
  { "diff --help", 0, "Usage: foxtailrun diff [--help] [--version] [--json] A B\n*", "" },
  { "steal", 1, "", "foxtailrun: unknown command \"steal\"; see foxtailrun --help\n" },
  { "load --entry 127.0.0.1:1 --rate 10001 --duration 1 --call x", 1, "",
    "foxtailrun: --rate: found 10001, allowed: an integer from 1 to 10000\n" },
  { "load --entry 127.0.0.1:1 --rate 0 --duration 1 --call x", 1, "",
    "foxtailrun: --rate: found 0, allowed: an integer from 1 to 10000\n" },
  { "load --entry 127.0.0.1:1 --rate 1 --duration 601 --call x", 1, "",
    "foxtailrun: --duration: found 601, allowed: an integer from 1 to 600\n" },
  { "load --entry 127.0.0.1:1 --rate 1 --duration 1 --in-flight 901 --call x", 1, "",
    "foxtailrun: --in-flight: found 901, allowed: an integer from 1 to 900\n" },
  { "load --entry nowhere --rate 1 --duration 1 --call x", 1, "",
    "foxtailrun: --entry: found \"nowhere\", allowed: IP:PORT\n" },
  { "load --entry 127.0.0.1:1 --rate 1 --duration 1 --call x", 1, "",
    "foxtailrun: --call: found \"x\", allowed: METHOD PATH, the method in capitals\n" },
  { "load --rate 1 --duration 1 --call x", 1, "",
    "foxtailrun load: missing option --entry=IP:PORT\n" SEE_HELP ("load") },
  { "explain --node nowhere GET /a", 1, "",
    "foxtailrun: --node: found \"nowhere\", allowed: IP:PORT\n" },
  { "explain --node 127.0.0.1:1 GET a", 1, "",
    "foxtailrun: PATH: found \"a\", allowed: a path that starts with \"/\"\n" },
  { "check", 1, "", "foxtailrun check: missing option FILE\n" SEE_HELP ("check") },
  { "check good.toml bad.toml", 1, "",
    "foxtailrun check: excess option bad.toml\n" SEE_HELP ("check") },
  { "schema --yaml", 1, "",
    "foxtailrun schema: invalid option \"--yaml\"\n" SEE_HELP ("schema") },
  { "diff good.toml", 1, "", "foxtailrun diff: missing option B\n" SEE_HELP ("diff") },
  { "check good.toml", 0,
    "good.toml: good document, version 3, digest 90aa1e52c68c, ranks 1, services 1, routes 1, "
    "customers 0, objectives 0\n",
    "" },
  { "check bad.toml", 2,
    "bad.toml:2: colour: found an unknown key, allowed: one of version, idle_ms, rank, service, route, "
    "customer, objective\nbad.toml: 1 problem\n",
    "" },
  { "check none.toml", 2,
    "none.toml: file: found No such file or directory, allowed: a readable file\n"
    "none.toml: 1 problem\n",
    "" },
  { "check --settings settings.toml", 0, "settings.toml: good settings of node n1 in zone z1\n",
    "" },
  { "check --settings good.toml", 2, "good.toml: listen.address: found no value*", "" },
  { "check settings.toml", 2, "settings.toml: version: found no value*", "" },
  { "check --json bad.toml", 2,
    "{\n  \"file\": \"bad.toml\",\n  \"good\": false,\n  \"problems\": [\n    {\n"
    "      \"line\": 2,\n      \"key\": \"colour\",\n      \"found\": \"an unknown key\",\n"
    "      \"allowed\": \"one of version, idle_ms, rank, service, route, customer, objective\"\n"
    "    }\n  ]\n}\n",
    "" },
  { "check --json good.toml", 0,
    "{\n  \"file\": \"good.toml\",\n  \"good\": true,\n  \"problems\": [],\n  \"version\": 3,\n"
    "  \"digest\": \"90aa1e52c68c*",
    "" },
  { "diff good.toml good.toml", 0, "changes: 0, risky: 0\n", "" },
  { "diff good.toml bad.toml", 2, "", "bad.toml:2: colour: found an unknown key*" },
  { "diff --json none.toml good.toml", 2, "", "none.toml: file: found No such file*" },
  { "diff --json good.toml good.toml", 0, "[]\n", "" },
  { "schema", 0,
    "top level\n  version       version number of the document, increased with each publication\n"
    "                integer, required: an integer from 1 to 9007199254740991\n"
    "  idle_ms       time for which a caller's connection may stay idle\n"
    "                integer in ms, default 10000: an integer from 100 to 3600000\n\n[[rank]]\n*",
    "" },
  { "trace a1 node.log", 0,
    "node.log: service=served msg=not-run id=a1.b2 reason=queue-full\n"
    "node.log: service=request msg=unknown id=a1 status=504 reason=\"deadline passed\" version=7 "
    "instance=i-1\n"
    "cause: unknown with status 504, deadline passed; last instance i-1, version 7\n",
    "" },
  { "trace --json a1.b2 node.log", 0,
    "{\n  \"file\": \"node.log\",\n  \"line\": \"service=served msg=not-run id=a1.b2 "
    "reason=queue-full\"\n}\n*",
    "" },
  { "trace a none.log", 2, "", "foxtailrun trace: none.log: No such*" },
  { "trace a node.log", 2, "cause: unknown, no line of the entry*", "" },
  { "schema --json --settings", 0,
    "[\n  {\n    \"section\": \"node\",\n    \"key\": \"id\",\n    \"type\": \"string\",\n*",
    "" },
};

/* Guards against wrong exit statuses or streams, and commands without help. */
static void
test_output (void)
{
  enter_folder ();
  for (size_t i = 0; i < G_N_ELEMENTS (output_cases); i++)
    {
      result_t result = run_command (output_cases[i].arguments);
      const char *expected[] = { output_cases[i].out, output_cases[i].err };
      char *actual[] = { result.out, result.err };

      for (int j = 0; j < 2; j++)
        {
          size_t length = strlen (expected[j]);

          if (length > 0 && expected[j][length - 1] == '*')
            actual[j][MIN (strlen (actual[j]), length - 1)] = '\0';
          else
            length++;
          char *text = g_strndup (expected[j], length - 1);
          g_assert_cmpstr (actual[j], ==, text);
          g_free (text);
        }
      g_assert_cmpint (result.status, ==, output_cases[i].status);
      clear_result (&result);
    }
  leave_folder ();
}

#define FAST_RANK "[[rank]]\nname = \"fast\"\norder = 0\nshare = 0.5\n"
#define SHOP_SERVICE "[[service]]\nname = \"shop\"\nslots = 9\nconnections = 120\n"
#define STOCK_SERVICE "[[service]]\nname = \"stock\"\nslots = 4\nconnections = 9\n"
#define BOTH_SERVICE "[[service]]\nname = \"both\"\nslots = 1\nconnections = 1\n"
#define BUY_ROUTE                                                                              \
  "[[route]]\nname = \"buy\"\npath = \"/buy\"\nservice = \"shop\"\nrank = \"fast\"\n"

typedef struct
{
  const char *before;
  const char *after;
  const char *out;
} diff_case_t;

static const diff_case_t diff_cases[] = {
  { FAST_RANK, FAST_RANK "# comment\n", "" },
  { FAST_RANK SHOP_SERVICE STOCK_SERVICE, FAST_RANK STOCK_SERVICE SHOP_SERVICE, "" },
  { "", FAST_RANK, "rank fast: added, order 0, target_ms 1000, worth 1, share 0.5\n" },
  { FAST_RANK, "",
    "rank fast: removed, order 0, target_ms 1000, worth 1, share 0.5\n"
    "  risk: its guaranteed share of slot time is gone\n" },
  { "[[rank]]\nname = \"x\"\norder = 0\n", "",
    "rank x: removed, order 0, target_ms 1000, worth 1, share 0\n" },
  { FAST_RANK, "[[rank]]\nname = \"fast\"\norder = 2\nshare = 0.6\nworth = 1.5\n",
    "rank fast: order 0 -> 2\nrank fast: worth 1 -> 1.5\nrank fast: share 0.5 -> 0.6\n" },
  { FAST_RANK, "[[rank]]\nname = \"fast\"\norder = 0\nshare = 0.4\ntarget_ms = 7\n",
    "rank fast: target_ms 1000 -> 7\nrank fast: share 0.5 -> 0.4\n"
    "  risk: the rank is guaranteed less slot time during a flood\n" },
  { SHOP_SERVICE, SHOP_SERVICE "depends_on = [\"stock\"]\n" STOCK_SERVICE,
    "service shop: depends_on [] -> [stock]\n"
    "service stock: added, slots 4, connections 9, depends_on []\n" },
  { SHOP_SERVICE STOCK_SERVICE BOTH_SERVICE "depends_on = [\"shop\", \"stock\"]\n",
    SHOP_SERVICE STOCK_SERVICE BOTH_SERVICE "depends_on = [\"stock\", \"shop\"]\n", "" },
  { SHOP_SERVICE STOCK_SERVICE, STOCK_SERVICE,
    "service shop: removed, slots 9, connections 120, depends_on []\n"
    "  risk: its instances receive no more calls\n" },
  { SHOP_SERVICE, "[[service]]\nname = \"shop\"\nslots = 10\nconnections = 9\n",
    "service shop: slots 9 -> 10\nservice shop: connections 120 -> 9\n" },
  { SHOP_SERVICE, "[[service]]\nname = \"shop\"\nslots = 8\nconnections = 120\n",
    "service shop: slots 9 -> 8\n  risk: each instance runs fewer calls at once\n" },
  { FAST_RANK SHOP_SERVICE, FAST_RANK SHOP_SERVICE BUY_ROUTE,
    "route buy: added, path /buy, methods all, service shop, rank fast, timeout_ms 1000, "
    "repeatable false, retries 1\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE, FAST_RANK SHOP_SERVICE,
    "route buy: removed, path /buy, methods all, service shop, rank fast, timeout_ms 1000, "
    "repeatable false, retries 1\n  risk: requests for its path no longer match it\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE,
    FAST_RANK SHOP_SERVICE BUY_ROUTE "repeatable = true\ntimeout_ms = 5\nretries = 0\n",
    "route buy: timeout_ms 1000 -> 5\nroute buy: repeatable false -> true\n"
    "  risk: a call may run more than once\nroute buy: retries 1 -> 0\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE, FAST_RANK SHOP_SERVICE BUY_ROUTE "hedge = true\n",
    "route buy: hedge false -> true\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE "repeatable = true\n", FAST_RANK SHOP_SERVICE BUY_ROUTE,
    "route buy: repeatable true -> false\n  risk: callers must send a ticket\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE, FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"GET\"]\n",
    "route buy: methods all -> GET\n"
    "  risk: requests with a method that was removed no longer match this route\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"GET\", \"POST\"]\n",
    FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"POST\", \"GET\"]\n", "" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"GET\"]\n",
    FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"POST\", \"GET\"]\n",
    "route buy: methods GET -> GET,POST\n" },
  { FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"GET\", \"PUT\"]\n",
    FAST_RANK SHOP_SERVICE BUY_ROUTE "methods = [\"POST\", \"GET\"]\n",
    "route buy: methods GET,PUT -> GET,POST\n"
    "  risk: requests with a method that was removed no longer match this route\n" },
  { FAST_RANK SHOP_SERVICE STOCK_SERVICE BUY_ROUTE,
    FAST_RANK SHOP_SERVICE STOCK_SERVICE
    "[[route]]\nname = \"buy\"\npath = \"/b\"\nservice = \"stock\"\nrank = \"fast\"\n",
    "route buy: path /buy -> /b\n"
    "  risk: requests for the earlier path no longer match this route\n"
    "route buy: service shop -> stock\n"
    "  risk: tickets issued before were for instances of the earlier service\n" },
  { "[[customer]]\nname = \"c\"\n", "[[customer]]\nname = \"c\"\nweight = 2\n",
    "customer c: weight 1 -> 2\n" },
  { FAST_RANK SHOP_SERVICE,
    FAST_RANK SHOP_SERVICE
    "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = 9\nratio = 0.5\n",
    "objective shop/fast: added, target_ms 9, ratio 0.5\n" },
};

/* Guards against omitted changes, changes between equal documents, and missing risks. */
static void
test_diff (void)
{
  enter_folder ();
  for (size_t i = 0; i < G_N_ELEMENTS (diff_cases); i++)
    {
      char *before = g_strconcat ("version = 1\n", diff_cases[i].before, NULL);
      char *after = g_strconcat ("version = 2\n", diff_cases[i].after, NULL);
      result_t result;
      GString *expected = g_string_new ("document: version 1 -> 2\n");
      unsigned risks = 0;
      unsigned changes = 1;

      for (const char *line = diff_cases[i].out; *line; line = strchr (line, '\n') + 1)
        {
          if (g_str_has_prefix (line, "  risk"))
            risks++;
          else
            changes++;
        }
      g_string_append_printf (expected, "%schanges: %u, risky: %u\n", diff_cases[i].out,
                              changes, risks);
      g_assert_true (g_file_set_contents ("before.toml", before, -1, NULL));
      g_assert_true (g_file_set_contents ("after.toml", after, -1, NULL));
      result = run_command ("diff before.toml after.toml");
      g_assert_cmpstr (result.err, ==, "");
      g_assert_cmpstr (result.out, ==, expected->str);
      g_assert_cmpint (result.status, ==, 0);
      clear_result (&result);
      g_string_free (expected, TRUE);
      g_free (after);
      g_free (before);
    }
  leave_folder ();
}

/* Guards against a missing risk for a lower version, which nodes do not apply, and JSON that
 * differs from the text. */
static void
test_diff_json (void)
{
  result_t result;

  enter_folder ();
  g_assert_true (g_file_set_contents ("before.toml", "version = 4\n", -1, NULL));
  g_assert_true (g_file_set_contents ("after.toml", "version = 3\n" FAST_RANK, -1, NULL));
  result = run_command ("diff --json before.toml after.toml");
  g_assert_cmpstr (
      result.out, ==,
      "[\n  {\n    \"kind\": \"document\",\n    \"name\": \"\",\n    \"key\": \"version\",\n"
      "    \"before\": \"4\",\n    \"after\": \"3\",\n"
      "    \"risk\": \"nodes keep the document with the higher version\"\n  },\n"
      "  {\n    \"kind\": \"rank\",\n    \"name\": \"fast\",\n    \"key\": null,\n"
      "    \"before\": null,\n"
      "    \"after\": \"order 0, target_ms 1000, worth 1, share 0.5\",\n    \"risk\": null\n  }\n"
      "]\n");
  clear_result (&result);
  leave_folder ();
}

/* Guards against invalid examples, and documentation that differs from the program's
 * output. */
static void
test_pages (void)
{
  static const struct
  {
    const char *arguments;
    int status;
    bool on_page;
  } cases[] = {
    { "check examples/kwaebibirem.toml", 0, false },
    { "check examples/roue-bebe.toml", 0, false },
    { "check --settings examples/node.toml", 0, false },
    { "check examples/faulty.toml", 2, true },
    { "schema --markdown", 0, true },
    { "schema --markdown --settings", 0, true },
  };
  char *page;

  g_assert_cmpint (g_chdir (FOXTAILRUN_ROOT), ==, 0);
  g_assert_true (g_file_get_contents ("docs/configuration.md", &page, NULL, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      result_t result = run_command (cases[i].arguments);

      g_assert_cmpstr (result.err, ==, "");
      g_assert_cmpint (result.status, ==, cases[i].status);
      if (cases[i].on_page && !strstr (page, result.out))
        g_error ("docs/configuration.md lacks the output of foxtailrun %s", cases[i].arguments);
      clear_result (&result);
    }
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/foxtailrun/output", test_output);
  g_test_add_func ("/foxtailrun/diff", test_diff);
  g_test_add_func ("/foxtailrun/diff-json", test_diff_json);
  g_test_add_func ("/foxtailrun/pages", test_pages);
  return g_test_run ();
}
