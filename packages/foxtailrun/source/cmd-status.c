/* foxtailrun status, nodes, routes and drain: what the nodes say about themselves. */
#include "command.h"
#include "fleet.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000

/* Arguments that these subcommands share. */
typedef struct
{
  fx_target_t node;
  bool json;
  char *key;
} arguments_t;

/* Runs one subcommand on a node; returns the exit code. */
typedef int (*run_fn_t) (fx_fleet_t *fleet, const arguments_t *arguments);

static int
report_silence (const arguments_t *arguments)
{
  fprintf (stderr, "foxtailrun: node %s:%u does not answer\n", arguments->node.address.data,
           arguments->node.port);
  return EXIT_FAILURE;
}

static json_t *
describe_report (const fx_report_t *report)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:I,s:s,s:b,s:b,s:s?}", "id", report->id.data, "zone",
                    report->zone.data, "service", report->service.data, "state",
                    report->state.data, "reached", report->reached, "number",
                    (json_int_t)report->number, "digest", report->digest, "reader",
                    report->reader, "ready", report->ready, "refused", report->refused);
}

static void
print_json (json_t *object)
{
  char *text = json_dumps (object, JSON_INDENT (2));

  printf ("%s\n", text);
  free (text);
  json_decref (object);
}

static void
print_reports (const GArray *reports)
{
  printf ("%-24s %-16s %-10s %-8s %-14s %-6s %-6s %s\n", "node", "zone", "state", "version",
          "digest", "ready", "reads", "refused");
  for (guint i = 0; i < reports->len; i++)
    {
      const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      printf ("%-24s %-16s %-10s %-8" G_GUINT64_FORMAT " %-14.12s %-6s %-6s %s\n",
              report->id.data, report->zone.data,
              report->reached ? report->state.data : "silent", report->number, report->digest,
              report->ready ? "yes" : "no", report->reader ? "yes" : "no",
              report->refused ? report->refused : "-");
    }
}

static int
run_status (fx_fleet_t *fleet, const arguments_t *arguments)
{
  GArray *reports = fx_survey_fleet (fleet, &arguments->node);
  json_t *list;

  if (!reports)
    return report_silence (arguments);
  if (arguments->json)
    {
      list = json_array ();
      for (guint i = 0; i < reports->len; i++)
        json_array_append_new (list,
                               describe_report (&g_array_index (reports, fx_report_t, i)));
      print_json (list);
    }
  else
    print_reports (reports);
  g_array_unref (reports);
  return EXIT_SUCCESS;
}

/* Prints the list under KEY of the answer to PATH as a table of COLUMNS. */
static int
print_list (fx_fleet_t *fleet, const arguments_t *arguments, const char *path, const char *key,
            const char *const *columns, size_t count)
{
  json_t *answer = NULL;
  json_t *item;
  uint32_t status;
  size_t i;

  if (fx_request (fleet, &arguments->node, "GET", path, &status, &answer) != FB_OK || !answer)
    return report_silence (arguments);
  if (arguments->json)
    {
      print_json (answer);
      return EXIT_SUCCESS;
    }
  for (size_t column = 0; column < count; column++)
    printf ("%-16s%s", columns[column], column + 1 < count ? " " : "\n");
  json_array_foreach (json_object_get (answer, key), i, item)
  {
    for (size_t column = 0; column < count; column++)
      {
        json_t *value = json_object_get (item, columns[column]);
        char *text = json_is_string (value) ? strdup (json_string_value (value))
                                            : json_dumps (value, JSON_ENCODE_ANY);
        printf ("%-16s%s", text ? text : "-", column + 1 < count ? " " : "\n");
        free (text);
      }
  }
  json_decref (answer);
  return EXIT_SUCCESS;
}

static int
run_nodes (fx_fleet_t *fleet, const arguments_t *arguments)
{
  static const char *const columns[]
      = { "id", "state", "zone", "region", "service", "address", "admin_port" };

  return print_list (fleet, arguments, "/members", "members", columns, G_N_ELEMENTS (columns));
}

static int
run_routes (fx_fleet_t *fleet, const arguments_t *arguments)
{
  static const char *const columns[]
      = { "name",       "path",       "methods", "service",  "rank",
          "timeout_ms", "repeatable", "retries", "instances" };

  return print_list (fleet, arguments, "/routes", "routes", columns, G_N_ELEMENTS (columns));
}

static int
run_drain (fx_fleet_t *fleet, const arguments_t *arguments)
{
  json_t *answer = NULL;
  uint32_t status = 0;

  if (fx_request (fleet, &arguments->node, "POST", "/drain", &status, &answer) != FB_OK)
    return report_silence (arguments);
  json_decref (answer);
  if (status == 202)
    {
      printf ("draining\n");
      return EXIT_SUCCESS;
    }
  fprintf (stderr, "foxtailrun: %s\n",
           status == 401 ? "the node refuses the key" : "the node refuses to drain");
  return EXIT_FAILURE;
}

/* Reads the key from the first line of PATH, so that it does not show in the list of processes.
 */
static char *
read_key (const char *path)
{
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (stderr, "foxtailrun: cannot read key file %s\n", path);
      return NULL;
    }
  text[strcspn (text, "\r\n")] = '\0';
  return text;
}

static int
run_on_node (int argc, char **argv, const char *name, run_fn_t run)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *key
      = arg_file0 (NULL, "key-file", "FILE", "file with the administration key");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, node, json, key, end };
  arguments_t arguments = { 0 };
  fx_fleet_t *fleet = NULL;
  int code = FX_EXIT_BAD_INPUT;

  if (!fx_parse_arguments (argc, argv, table, G_N_ELEMENTS (table), end, name, &code))
    goto done;
  if (fx_parse_target (node->sval[0], &arguments.node) != FB_OK)
    {
      fprintf (stderr, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
      goto done;
    }
  arguments.json = json->count > 0;
  if (key->count > 0 && !(arguments.key = read_key (key->filename[0])))
    goto done;
  fleet = fx_create_fleet (fb_wrap_text (arguments.key), REQUEST_TIMEOUT_MS);
  code = run (fleet, &arguments);
done:
  fx_destroy_fleet (fleet);
  g_free (arguments.key);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

int
fx_run_status (int argc, char **argv)
{
  return run_on_node (argc, argv, "status", run_status);
}

int
fx_run_nodes (int argc, char **argv)
{
  return run_on_node (argc, argv, "nodes", run_nodes);
}

int
fx_run_routes (int argc, char **argv)
{
  return run_on_node (argc, argv, "routes", run_routes);
}

int
fx_run_drain (int argc, char **argv)
{
  return run_on_node (argc, argv, "drain", run_drain);
}
