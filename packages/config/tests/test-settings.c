/* Check of a node's settings, and reading a file. */
#include "fixture-check.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define NODE "[node]\nid = \"n1\"\nzone = \"z1\"\nregion = \"r1\"\n"
#define LISTEN "[listen]\naddress = \"10.0.0.1\"\n"

#define NAME_TEXT "a name of 1 to 47 letters, digits, '.', '_' or '-'"
#define ADDRESS_TEXT "a numeric IP address that other nodes reach, not 0.0.0.0 or ::"
#define PORT_TEXT "an integer from 1 to 65535"
#define SEEDS_TEXT "an array of at most 32 different \"IP:PORT\" or \"[IPv6]:PORT\""

typedef struct
{
  const char *name;
  const char *document;
  const char *messages;
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
  { "empty", "",
    "f: listen.address: found no value, allowed: " ADDRESS_TEXT "\n"
    "f: node.id: found no value, allowed: " NAME_TEXT "\n"
    "f: node.region: found no value, allowed: " NAME_TEXT "\n"
    "f: node.zone: found no value, allowed: " NAME_TEXT "\n" },
  { "unknown", NODE "name = \"x\"\n" LISTEN "[other]\n",
    "f:5: node.name: found an unknown key, allowed: one of id, zone, region, service\n"
    "f:8: other: found an unknown key, allowed: one of node, listen, memory, drain, hedge, backend, platform, seeds, admin, log\n" },
  { "section-kind", NODE LISTEN "[[log]]\n",
    "f:7: log: found an array of tables, allowed: one [log] table\n" },
  { "section-value", "node = 1\n" LISTEN,
    "f: node.id: found no value, allowed: " NAME_TEXT "\n"
    "f: node.region: found no value, allowed: " NAME_TEXT "\n"
    "f: node.zone: found no value, allowed: " NAME_TEXT "\n"
    "f:1: node: found 1, allowed: one [node] table\n" },
  { "types",
    "[node]\nid = 1\nzone = true\nregion = []\nservice = \"a b\"\n"
    "[listen]\naddress = 1\ncaller_port = \"80\"\n",
    "f:2: node.id: found 1, allowed: " NAME_TEXT "\n"
    "f:3: node.zone: found true, allowed: " NAME_TEXT "\n"
    "f:4: node.region: found an array, allowed: " NAME_TEXT "\n"
    "f:5: node.service: found \"a b\", allowed: " NAME_TEXT "\n"
    "f:7: listen.address: found 1, allowed: " ADDRESS_TEXT "\n"
    "f:8: listen.caller_port: found \"80\", allowed: " PORT_TEXT "\n" },
  { "address", NODE "[listen]\naddress = \"localhost\"\n",
    "f:6: listen.address: found \"localhost\", allowed: " ADDRESS_TEXT "\n" },
  { "address-any", NODE "[listen]\naddress = \"0.0.0.0\"\n",
    "f:6: listen.address: found \"0.0.0.0\", allowed: " ADDRESS_TEXT "\n" },
  { "address-any-v6", NODE "[listen]\naddress = \"::\"\n",
    "f:6: listen.address: found \"::\", allowed: " ADDRESS_TEXT "\n" },
  { "ports", NODE LISTEN "caller_port = 0\ncall_port = 65536\nadmin_port = -1\n",
    "f:7: listen.caller_port: found 0, allowed: " PORT_TEXT "\n"
    "f:8: listen.call_port: found 65536, allowed: " PORT_TEXT "\n"
    "f:9: listen.admin_port: found -1, allowed: " PORT_TEXT "\n" },
  { "pipeline", NODE LISTEN "pipeline_requests = 0\npipeline_bytes = 1024\n",
    "f:7: listen.pipeline_requests: found 0, allowed: an integer from 1 to 1024\n"
    "f:8: listen.pipeline_bytes: found 1024, allowed: an integer from 16384 to 67108864\n" },
  { "memory",
    NODE LISTEN "[memory]\nbudget_bytes = 1024\ndescriptors = 63\nprogress_bytes = 0\n",
    "f:8: memory.budget_bytes: found 1024, allowed: an integer from 8388608 to 1099511627776\n"
    "f:9: memory.descriptors: found 63, allowed: 0, or 64 and more\n"
    "f:10: memory.progress_bytes: found 0, allowed: an integer from 1 to 65536\n" },
  { "same-port", NODE LISTEN "caller_port = 7402\nadmin_port = 7402\n",
    "f:5: listen.control_port: found 7402, as in listen.caller_port, allowed: a different port for each listener\n"
    "f:8: listen.admin_port: found 7402, as in listen.caller_port, allowed: a different port for each listener\n" },
  { "backend-missing", NODE "service = \"shop\"\n" LISTEN,
    "f: backend.port: found no value, allowed: " PORT_TEXT "\n" },
  { "backend-port", NODE "service = \"shop\"\n" LISTEN "[backend]\naddress = \"10.0.0.300\"\n",
    "f:8: backend.port: found no value, allowed: " PORT_TEXT "\n"
    "f:9: backend.address: found \"10.0.0.300\", allowed: a numeric IP address\n" },
  { "backend-burst",
    NODE "service = \"shop\"\n" LISTEN "[backend]\nport = 80\nlimit_burst_ms = 2000\n",
    "f:10: backend.limit_burst_ms: found 2000, allowed: an integer from 0 to 1000\n" },
  { "backend-warmup",
    NODE "service = \"shop\"\n" LISTEN
         "[backend]\nport = 80\nwarmup_overage = 0\nwarmup_tolerance = -1.5\n",
    "f:10: backend.warmup_overage: found 0, allowed: a number from 0.1 to 100\n"
    "f:11: backend.warmup_tolerance: found -1.5, allowed: a number from 0 to 1000000\n" },
  { "hedge-share", NODE LISTEN "[hedge]\nbudget_share = 1.5\n",
    "f:8: hedge.budget_share: found 1.5, allowed: a number from 0 to 1\n" },
  { "backend-pace", NODE "service = \"shop\"\n" LISTEN "[backend]\nport = 80\npace = 1\n",
    "f:10: backend.pace: found 1, allowed: true or false\n" },
  { "backend-without-service", NODE LISTEN "[backend]\nport = 80\n",
    "f:7: backend: found a table, allowed: [backend] only with node.service\n" },
  { "platform-port", NODE LISTEN "[platform]\n",
    "f:7: platform.port: found no value, allowed: " PORT_TEXT "\n" },
  { "seeds",
    NODE LISTEN
    "[seeds]\nnodes = [\"10.0.0.2\", \"10.0.0.2:0\", \"10.0.0.2:65536\", \"host:1\", "
    "\"::1:1\", \"[::1]\", \"10.0.0.2:1\",\n\"10.0.0.2:1\", 7]\n",
    "f:8: seeds.nodes: found \"10.0.0.2\", allowed: " SEEDS_TEXT "\n"
    "f:8: seeds.nodes: found \"10.0.0.2:0\", allowed: " SEEDS_TEXT "\n"
    "f:8: seeds.nodes: found \"10.0.0.2:65536\", allowed: " SEEDS_TEXT "\n"
    "f:8: seeds.nodes: found \"::1:1\", allowed: " SEEDS_TEXT "\n"
    "f:8: seeds.nodes: found \"[::1]\", allowed: " SEEDS_TEXT "\n"
    "f:8: seeds.nodes: found \"host:1\", allowed: " SEEDS_TEXT "\n"
    "f:9: seeds.nodes: found \"10.0.0.2:1\", allowed: " SEEDS_TEXT "\n"
    "f:9: seeds.nodes: found 7, allowed: " SEEDS_TEXT "\n" },
  { "seeds-again", NODE LISTEN "[seeds]\nnodes = [\"10.0.0.2:1\",\n\"10.0.0.2:1\"]\n",
    "f:9: seeds.nodes: found \"10.0.0.2:1\", allowed: " SEEDS_TEXT "\n" },
  { "admin", NODE LISTEN "[admin]\nkey = \"short\"\n",
    "f:8: admin.key: found \"short\", allowed: a key of 8 to 47 printable ASCII characters without spaces\n" },
  { "admin-space", NODE LISTEN "[admin]\nkey = \"long enough\"\n",
    "f:8: admin.key: found \"long enough\", allowed: a key of 8 to 47 printable ASCII characters without spaces\n" },
  { "log", NODE LISTEN "[log]\nlevel = \"loud\"\nformat = \"xml\"\n",
    "f:8: log.level: found \"loud\", allowed: one of debug, info, warning, error\n"
    "f:9: log.format: found \"xml\", allowed: one of logfmt, json\n" },
  { "syntax", NODE "[",
    "f:5: syntax: found '[', allowed: valid TOML (an invalid key appeared)\n" },
};

/* Guards against accepting invalid settings, and a problem without line, key, found value
 * or allowed values. */
static void
test_invalid (gconstpointer data)
{
  const invalid_case_t *test_case = data;
  fc_problems_t *problems = fc_create_problems ();
  fc_settings_t settings;
  char *messages;

  g_assert_cmpint (fc_check_settings (wrap_bytes (test_case->document), &settings, problems),
                   ==, FB_INVALID);
  messages = join_problems (problems);
  g_assert_cmpstr (messages, ==, test_case->messages);
  g_free (messages);
  fc_destroy_problems (problems);
}

static fc_settings_t
check_settings (const char *text)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_settings_t settings;
  fb_status_t status = fc_check_settings (wrap_bytes (text), &settings, problems);
  char *messages = join_problems (problems);

  g_assert_cmpstr (messages, ==, "");
  g_assert_cmpint (status, ==, FB_OK);
  g_free (messages);
  fc_destroy_problems (problems);
  return settings;
}

/* Guards against wrong defaults. */
static void
test_defaults (void)
{
  fc_settings_t settings = check_settings (NODE LISTEN);

  g_assert_cmpstr (settings.id.data, ==, "n1");
  g_assert_cmpstr (settings.zone.data, ==, "z1");
  g_assert_cmpstr (settings.region.data, ==, "r1");
  g_assert_cmpuint (settings.service.len, ==, 0);
  g_assert_cmpuint (settings.caller_port, ==, 7400);
  g_assert_cmpuint (settings.call_port, ==, 7401);
  g_assert_cmpuint (settings.control_port, ==, 7402);
  g_assert_cmpuint (settings.admin_port, ==, 7403);
  g_assert_cmpuint (settings.backend.port, ==, 0);
  g_assert_cmpint (settings.limit_burst, ==, 500 * FB_MILLISECOND);
  g_assert_cmpfloat (settings.warmup_overage, ==, 1);
  g_assert_cmpfloat (settings.warmup_tolerance, ==, 0);
  g_assert_cmpfloat (settings.hedge_share, ==, 0);
  g_assert_false (settings.pace);
  g_assert_cmpuint (settings.memory_budget, ==, 67108864);
  g_assert_cmpuint (settings.descriptors, ==, 0);
  g_assert_cmpint (settings.header_timeout, ==, 10 * FB_SECOND);
  g_assert_cmpint (settings.body_window, ==, 10 * FB_SECOND);
  g_assert_cmpint (settings.response_window, ==, 30 * FB_SECOND);
  g_assert_cmpuint (settings.progress_bytes, ==, 1024);
  g_assert_cmpuint (settings.platform.port, ==, 0);
  g_assert_cmpuint (settings.seed_count, ==, 0);
  g_assert_cmpuint (settings.admin_key.len, ==, 0);
  g_assert_cmpint (settings.log_level, ==, FB_LOG_INFO);
  g_assert_cmpint (settings.log_format, ==, FB_LOG_LOGFMT);
}

/* Guards against a key that is stored in the wrong setting. */
static void
test_all_keys (void)
{
  fc_settings_t settings = check_settings (
      "[node]\nid = \"n\"\nzone = \"z\"\nregion = \"r\"\nservice = \"s\"\n"
      "[listen]\naddress = \"fd00::1\"\ncaller_port = 1\ncall_port = 2\ncontrol_port = 3\n"
      "admin_port = 4\n[backend]\naddress = \"10.0.0.9\"\nport = 5\n"
      "pace = true\nwarmup_overage = 1.5\nwarmup_tolerance = 8\n"
      "[platform]\naddress = \"10.0.0.8\"\nport = 6\n"
      "[memory]\nbudget_bytes = 8388608\ndescriptors = 64\nheader_timeout_ms = 101\n"
      "body_window_ms = 102\nresponse_window_ms = 103\nprogress_bytes = 104\n"
      "[seeds]\nnodes = [\"10.0.0.2:7\", \"[fd00::2]:8\"]\n"
      "[admin]\nkey = \"secret-key\"\n[log]\nlevel = \"debug\"\nformat = \"json\"\n");

  g_assert_cmpstr (settings.service.data, ==, "s");
  g_assert_cmpstr (settings.address.data, ==, "fd00::1");
  g_assert_cmpuint (settings.caller_port, ==, 1);
  g_assert_cmpuint (settings.call_port, ==, 2);
  g_assert_cmpuint (settings.control_port, ==, 3);
  g_assert_cmpuint (settings.admin_port, ==, 4);
  g_assert_cmpstr (settings.backend.address.data, ==, "10.0.0.9");
  g_assert_cmpuint (settings.backend.port, ==, 5);
  g_assert_cmpfloat (settings.warmup_overage, ==, 1.5);
  g_assert_cmpfloat (settings.warmup_tolerance, ==, 8);
  g_assert_true (settings.pace);
  g_assert_cmpuint (settings.memory_budget, ==, 8388608);
  g_assert_cmpuint (settings.descriptors, ==, 64);
  g_assert_cmpint (settings.header_timeout, ==, 101 * FB_MILLISECOND);
  g_assert_cmpint (settings.body_window, ==, 102 * FB_MILLISECOND);
  g_assert_cmpint (settings.response_window, ==, 103 * FB_MILLISECOND);
  g_assert_cmpuint (settings.progress_bytes, ==, 104);
  g_assert_cmpstr (settings.platform.address.data, ==, "10.0.0.8");
  g_assert_cmpuint (settings.platform.port, ==, 6);
  g_assert_cmpuint (settings.seed_count, ==, 2);
  g_assert_cmpstr (settings.seeds[0].address.data, ==, "10.0.0.2");
  g_assert_cmpuint (settings.seeds[0].port, ==, 7);
  g_assert_cmpstr (settings.seeds[1].address.data, ==, "fd00::2");
  g_assert_cmpuint (settings.seeds[1].port, ==, 8);
  g_assert_cmpstr (settings.admin_key.data, ==, "secret-key");
  g_assert_cmpint (settings.log_level, ==, FB_LOG_DEBUG);
  g_assert_cmpint (settings.log_format, ==, FB_LOG_JSON);
}

/* Guards against more seeds than FC_SEEDS_MAX, and against rejecting that many. */
static void
test_seed_count (void)
{
  for (int count = FC_SEEDS_MAX; count <= FC_SEEDS_MAX + 1; count++)
    {
      GString *text = g_string_new (NODE LISTEN "[seeds]\nnodes = [");
      fc_settings_t settings;

      for (int i = 0; i < count; i++)
        g_string_append_printf (text, "\"10.0.0.2:%d\",", i + 1);
      g_string_append (text, "]\n");
      g_assert_cmpint (fc_check_settings (wrap_bytes (text->str), &settings, NULL), ==,
                       count > FC_SEEDS_MAX ? FB_INVALID : FB_OK);
      g_assert_cmpuint (settings.seed_count, ==, FC_SEEDS_MAX);
      g_string_free (text, TRUE);
    }
}

/* Guards against truncating a file over the limit, and errors without a problem. */
static void
test_read_file (void)
{
  static const struct
  {
    const char *path; /* NULL: a file of 10 bytes */
    size_t max;
    fb_status_t status;
    const char *messages;
  } cases[] = {
    { NULL, 10, FB_OK, "" },
    { NULL, 9, FB_TOO_LARGE, "f: file: found more than 9 bytes, allowed: at most 9 bytes\n" },
    { "/nonexistent/file", 9, FB_NOT_FOUND,
      "f: file: found No such file or directory, allowed: a readable file\n" },
    { "/", 9, FB_IO, "f: file: found Is a directory, allowed: a readable file\n" },
  };
  char *name;
  int file = g_file_open_tmp (NULL, &name, NULL);

  g_close (file, NULL);
  g_assert_true (g_file_set_contents (name, "0123456789", 10, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fc_problems_t *problems = fc_create_problems ();
      uint8_t *data;
      size_t length;
      char *messages;

      g_assert_cmpint (fc_read_file (cases[i].path ? cases[i].path : name, cases[i].max, &data,
                                     &length, problems),
                       ==, cases[i].status);
      messages = join_problems (problems);
      g_assert_cmpstr (messages, ==, cases[i].messages);
      if (cases[i].status == FB_OK)
        g_assert_cmpmem (data, length, "0123456789", 10);
      else
        g_assert_null (data);
      g_free (messages);
      g_free (data);
      fc_destroy_problems (problems);
    }
  g_unlink (name);
  g_free (name);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      char *path = g_strdup_printf ("/config/settings/invalid/%s", invalid_cases[i].name);

      g_test_add_data_func (path, &invalid_cases[i], test_invalid);
      g_free (path);
    }
  g_test_add_func ("/config/settings/defaults", test_defaults);
  g_test_add_func ("/config/settings/all-keys", test_all_keys);
  g_test_add_func ("/config/settings/seed-count", test_seed_count);
  g_test_add_func ("/config/settings/read-file", test_read_file);
  return g_test_run ();
}
