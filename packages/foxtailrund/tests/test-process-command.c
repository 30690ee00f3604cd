/* The operators' command against real nodes: exit status and output. */
#include "fixture-fleet.h"
#include <string.h>
#include <sys/wait.h>

#define NODES 6

#define DRAINED_NODE 3

#define ARGUMENTS_MAX 24

typedef struct
{
  int exit_status;
  char *out;
  char *err;
} output_t;

/* Runs foxtailrun with the words of ARGUMENTS after replacing "@A1" by the administration
 * address of node 1, "@E1" by its caller address, "@P" by the published folder, "@F" by FILE,
 * and "_" in other words by a space. */
static output_t
run_command (fleet_t *fleet, const char *arguments, const char *file)
{
  char **words = g_strsplit (arguments, " ", -1);
  char *argv[ARGUMENTS_MAX + 2] = { FOXTAILRUN_PATH };
  size_t count = g_strv_length (words);
  output_t output;
  int status;
  GError *error = NULL;

  g_assert_cmpuint (count, <=, ARGUMENTS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      const char *word = words[i];
      size_t number = strlen (word) > 2 ? (size_t)g_ascii_strtoull (word + 2, NULL, 10) : 0;

      if (g_str_has_prefix (word, "@A"))
        argv[i + 1] = fleet_format_admin_address (fleet, number);
      else if (g_str_has_prefix (word, "@E"))
        argv[i + 1] = fleet_format_caller_address (fleet, number);
      else if (strcmp (word, "@P") == 0)
        argv[i + 1] = g_strdup (fleet_get_publish_folder (fleet));
      else if (strcmp (word, "@F") == 0)
        argv[i + 1] = g_strdup (file);
      else
        argv[i + 1] = g_strdelimit (g_strdup (word), "_", ' ');
    }
  g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output.out, &output.err,
                &status, &error);
  g_assert_no_error (error);
  g_assert_true (WIFEXITED (status));
  output.exit_status = WEXITSTATUS (status);
  g_test_message ("%s: %d\n%s%s", arguments, output.exit_status, output.out, output.err);
  for (size_t i = 0; i < count; i++)
    g_free (argv[i + 1]);
  g_strfreev (words);
  return output;
}

static void
clear_output (output_t *output)
{
  g_free (output->out);
  g_free (output->err);
}

/* One run of the command; SUBSTRINGS must occur in its output or errors. */
typedef struct
{
  const char *arguments;
  int exit_status;
  const char *substrings[6];
} command_case_t;

static void
check_cases (fleet_t *fleet, const command_case_t *cases, size_t count, const char *file)
{
  for (size_t i = 0; i < count; i++)
    {
      output_t output = run_command (fleet, cases[i].arguments, file);
      char *text = g_strconcat (output.out, output.err, NULL);

      g_assert_cmpint (output.exit_status, ==, cases[i].exit_status);
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].substrings) && cases[i].substrings[j]; j++)
        if (!strstr (text, cases[i].substrings[j]))
          g_error ("%s: \"%s\" is missing in:\n%s", cases[i].arguments, cases[i].substrings[j],
                   text);
      g_free (text);
      clear_output (&output);
    }
}

/* Guards against apply reporting success before the version is in force, or publishing a
 * document that nodes refuse. */
static void
test_apply (void)
{
  static const struct
  {
    const char *name;
    uint64_t version;
    const char *extra;
    command_case_t command;
    uint64_t in_force;
  } cases[] = {
    { "good",
      2,
      "",
      { "apply @F --publish @P --node @A1 --expect 6",
        0,
        { "version 2 is in force on 6 nodes" } },
      2 },
    { "bad",
      3,
      "[[route]]\nname = \"lost\"\npath = \"/lost\"\nservice = \"no\"\nrank = \"urgent\"\n",
      { "apply @F --publish @P --node @A1",
        2,
        { "route[3].service: found \"no\", allowed: the name of a service", "1 problem" } },
      2 },
    { "old",
      1,
      "",
      { "apply @F --publish @P --node @A2",
        2,
        { "version: found 1, allowed: above 2, which is in force" } },
      2 },
    { "same",
      2,
      "# again\n",
      { "apply @F --publish @P --node @A2", 2, { "version: found 2, allowed: above 2" } },
      2 },
    { "no-folder",
      3,
      "",
      { "apply @F --publish /nonexistent --node @A1", 3, { "cannot publish" } },
      2 },
    { "too-many-expected",
      3,
      "",
      { "apply @F --publish @P --node @A1 --expect 7 --timeout 1",
        6,
        { "still spreading after 1 s" } },
      3 },
  };
  fleet_t *fleet = fleet_start (NODES);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *file = fleet_write_document (fleet, "next.toml", cases[i].version, cases[i].extra);

      g_test_message ("%s", cases[i].name);
      check_cases (fleet, &cases[i].command, 1, file);
      for (size_t number = 1; number <= NODES; number++)
        fleet_wait_version (fleet, number, cases[i].in_force);
      g_free (file);
    }
  fleet_stop (fleet);
}

/* Guards against explanations and lists that differ from the nodes, and success when a node
 * does not answer. */
static void
test_queries (void)
{
  static const command_case_t cases[] = {
    { "status --node @A1", 0, { "node-1", "node-6", "alive", "zone-a", "zone-b", "yes" } },
    { "status --node @A1 --json", 0, { "\"number\": 1", "\"ready\": true" } },
    { "status --node @A90", 4, { "does not answer" } },
    { "nodes --node @A1", 0, { "node-1", "node-6", "storefront", "inventory", "region-1" } },
    { "nodes --node @A90", 4, { "does not answer" } },
    { "routes --node @A1", 0, { "prices", "/prices", "urgent", "4000", "background" } },
    { "routes --node @A90", 4, { "does not answer" } },
    { "explain --node @A1 GET /prices/7?x=1",
      0,
      { "ready: yes", "route:    prices", "rank:     urgent (order 0)", "retries: 2",
        "ticket needed: no", "result:   one of the candidates" } },
    { "explain --node @A1 POST /pay", 0, { "route:    pay", "ticket needed: yes" } },
    { "explain --node @A1 GET /stock",
      0,
      { "service:  inventory", "node-4", "node-5", "node-6", "candidate" } },
    { "explain --node @A1 GET /pri", 0, { "404 not run: no route" } },
    { "explain --node @A1 --json GET /a&b=%c",
      0,
      { "\"path\": \"/a&b=%c\"", "\"route\": null" } },
    { "explain --node @A90 GET /stock", 4, { "does not answer" } },
  };
  static const struct
  {
    const char *method;
    const char *path;
    uint32_t status;
  } queries[] = {
    { "GET", "/explain?method=GET&path=/stock", 200 },
    { "GET", "/explain", 400 },
    { "GET", "/explain?", 400 },
    { "GET", "/explain?method=GET", 400 },
    { "GET", "/explain?path=/a", 400 },
    { "GET", "/explain?method=GET&path=a", 400 },
    { "GET", "/explain?method=GET&path=/%ff", 400 },
    { "GET", "/explain?method=GET&path=/%zz", 400 },
    { "GET", "/explained?method=GET&path=/a", 404 },
    { "POST", "/explain?method=GET&path=/stock", 405 },
  };
  fleet_t *fleet = fleet_start (NODES);

  check_cases (fleet, cases, G_N_ELEMENTS (cases), NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (queries); i++)
    {
      fleet_response_t response
          = fleet_request_admin (fleet, 1, queries[i].method, queries[i].path, NULL);

      g_test_message ("%s %s", queries[i].method, queries[i].path);
      g_assert_cmpuint (response.status, ==, queries[i].status);
      fleet_clear_response (&response);
    }
  fleet_stop (fleet);
}

/* Guards against a drain without the key, and a leaving node explained as a candidate. */
static void
test_drain (void)
{
  static const command_case_t refused[] = {
    { "drain --node @A3", 4, { "refuses the key" } },
    { "drain --node @A3 --key-file @F", 4, { "refuses the key" } },
    { "drain --node @A3 --key-file /nonexistent", 1, { "cannot read key file" } },
    { "drain --node @A90 --key-file @F", 4, { "does not answer" } },
    { "status --node @A3", 0, { "node-3" } },
  };
  static const command_case_t accepted[]
      = { { "drain --node @A3 --key-file @F", 0, { "draining" } } };
  static const command_case_t after_drain[]
      = { { "explain --node @A1 GET /prices", 0, { "gone" } } };
  fleet_t *fleet = fleet_start (NODES);
  char *file = fleet_write_document (fleet, "key", 1, "");

  g_assert_true (g_file_set_contents (file, "wrong-key\n", -1, NULL));
  check_cases (fleet, refused, G_N_ELEMENTS (refused), file);
  g_assert_true (g_file_set_contents (file, FLEET_ADMIN_KEY "\n", -1, NULL));
  check_cases (fleet, accepted, G_N_ELEMENTS (accepted), file);
  fleet_wait_state (fleet, 1, DRAINED_NODE, "leaving");
  check_cases (fleet, after_drain, G_N_ELEMENTS (after_drain), file);
  g_assert_cmpint (fleet_wait_exit (fleet, DRAINED_NODE), ==, 0);
  g_free (file);
  fleet_stop (fleet);
}

static json_int_t
get_count (json_t *call, const char *key)
{
  json_t *value = json_object_get (call, key);

  g_assert_true (json_is_integer (value));
  return json_integer_value (value);
}

/* Guards against a wrong number of calls, calls without outcome, and too many in flight. */
static void
test_load (void)
{
  static const char *const outcomes[]
      = { "answered", "not_run", "unknown", "failed", "transport_errors", "not_started" };
  static const struct
  {
    const char *arguments;
    json_int_t offered;
    json_int_t in_flight_max;      /* calls */
    const char *outcome;           /* of at least one call */
    json_int_t ticket_repeats_min; /* calls */
  } cases[] = {
    { "load --json --rate 50 --duration 1 --entry @E1 --entry @E4 --call GET_/prices", 50, 256,
      "answered", 0 },
    { "load --json --rate 50 --duration 1 --entry @E1 --call POST_/pay_ticket", 50, 256,
      "answered", 1 },
    { "load --json --rate 50 --duration 1 --entry @E1 --call POST_/pay", 50, 256, "not_run",
      0 },
    { "load --json --rate 50 --duration 1 --entry @E1 --call GET_/nothing", 50, 256, "not_run",
      0 },
    { "load --json --rate 50 --duration 1 --entry @E90 --call GET_/prices", 50, 256,
      "transport_errors", 0 },
    { "load --json --rate 100 --duration 1 --in-flight 2 --entry @E1 --call "
      "GET_/prices?sleep=1000",
      100, 2, "not_started", 0 },
  };
  fleet_t *fleet = fleet_start (NODES);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      output_t output = run_command (fleet, cases[i].arguments, NULL);
      json_t *report = json_loads (output.out, 0, NULL);
      json_t *call = json_array_get (json_object_get (report, "calls"), 0);
      json_int_t sum = 0;

      g_assert_cmpint (output.exit_status, ==, 0);
      for (size_t outcome = 0; outcome < G_N_ELEMENTS (outcomes); outcome++)
        sum += get_count (call, outcomes[outcome]);
      g_assert_cmpint (get_count (call, "offered"), ==, cases[i].offered);
      g_assert_cmpint (sum, ==, cases[i].offered);
      g_assert_cmpint (get_count (report, "in_flight_top"), <=, cases[i].in_flight_max);
      g_assert_cmpint (get_count (call, cases[i].outcome), >, 0);
      g_assert_cmpint (get_count (call, "ticket_repeats"), >=, cases[i].ticket_repeats_min);
      json_decref (report);
      clear_output (&output);
    }
  fleet_stop (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/process/command/apply", test_apply);
  g_test_add_func ("/process/command/reads", test_queries);
  g_test_add_func ("/process/command/drain", test_drain);
  g_test_add_func ("/process/command/load", test_load);
  return g_test_run ();
}
