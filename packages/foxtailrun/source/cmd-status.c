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
  const cmd_io_t *io;
  fx_target_t node;
  bool json;
  char *key;
} arguments_t;

/* Runs one subcommand on a node; returns the exit code. */
typedef int (*run_fn_t) (fx_fleet_t *fleet, const arguments_t *arguments);

static int
report_silence (const arguments_t *arguments)
{
  fprintf (arguments->io->err, "foxtailrun: node %s:%u does not answer\n",
           arguments->node.address.data, arguments->node.port);
  return CMD_EXIT_SILENT;
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
print_reports (const GArray *reports, FILE *out)
{
  fprintf (out, "%-24s %-16s %-10s %-8s %-14s %-6s %-6s %s\n", "node", "zone", "state",
           "version", "digest", "ready", "reads", "refused");
  for (guint i = 0; i < reports->len; i++)
    {
      const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      fprintf (out, "%-24s %-16s %-10s %-8" G_GUINT64_FORMAT " %-14.12s %-6s %-6s %s\n",
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
      cmd_print_json (list, arguments->io->out);
    }
  else
    print_reports (reports, arguments->io->out);
  g_array_unref (reports);
  return CMD_EXIT_OK;
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
      cmd_print_json (answer, arguments->io->out);
      return CMD_EXIT_OK;
    }
  for (size_t column = 0; column < count; column++)
    fprintf (arguments->io->out, "%-16s%s", columns[column], column + 1 < count ? " " : "\n");
  json_array_foreach (json_object_get (answer, key), i, item)
  {
    for (size_t column = 0; column < count; column++)
      {
        json_t *value = json_object_get (item, columns[column]);
        char *text = json_is_string (value) ? strdup (json_string_value (value))
                                            : json_dumps (value, JSON_ENCODE_ANY);
        fprintf (arguments->io->out, "%-16s%s", text ? text : "-",
                 column + 1 < count ? " " : "\n");
        free (text);
      }
  }
  json_decref (answer);
  return CMD_EXIT_OK;
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
      fprintf (arguments->io->out, "draining\n");
      return CMD_EXIT_OK;
    }
  fprintf (arguments->io->err, "foxtailrun: %s\n",
           status == 401 ? "the node refuses the key" : "the node refuses to drain");
  return CMD_EXIT_SILENT;
}

/* Reads the key from the first line of PATH, so that it does not show in the list of processes.
 */
static char *
read_key (const char *path, const cmd_io_t *io)
{
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (io->err, "foxtailrun: cannot read key file %s\n", path);
      return NULL;
    }
  text[strcspn (text, "\r\n")] = '\0';
  return text;
}

static int
run_on_node (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io,
             run_fn_t run)
{
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *key
      = arg_file0 (NULL, "key-file", "FILE", "file with the administration key");
  void *table[] = { CMD_STANDARD_OPTIONS, node, json, key, arg_end (CMD_ERRORS_MAX) };
  arguments_t arguments = { .io = io };
  fx_fleet_t *fleet = NULL;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_target (node->sval[0], &arguments.node) != FB_OK)
    {
      fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
      goto done;
    }
  arguments.json = json->count > 0;
  if (key->count > 0 && !(arguments.key = read_key (key->filename[0], io)))
    goto done;
  fleet = fx_create_fleet (fb_wrap_text (arguments.key), REQUEST_TIMEOUT_MS);
  status = run (fleet, &arguments);
done:
  fx_destroy_fleet (fleet);
  g_free (arguments.key);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

static int
start_status (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_status);
}

const cmd_command_t cmd_status
    = { "status", "show the version in force on each node", start_status };

static int
start_nodes (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_nodes);
}

const cmd_command_t cmd_nodes = { "nodes", "list the members that a node knows", start_nodes };

static int
start_routes (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_routes);
}

const cmd_command_t cmd_routes = { "routes", "list the routes of a node", start_routes };

static int
start_drain (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_drain);
}

const cmd_command_t cmd_drain = { "drain", "stop a node gracefully", start_drain };
