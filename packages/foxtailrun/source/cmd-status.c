/* foxtailrun status, nodes, routes and drain: requests to the administration of nodes. */
#include "admin-client.h"
#include "command.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000

/* Arguments of these subcommands. */
typedef struct
{
  const cmd_io_t *io;
  fx_socket_address_t node;
  bool json;
  char *key;
} arguments_t;

/* Runs one subcommand on a node; returns the exit status. */
typedef int (*node_command_fn_t) (fx_admin_client_t *client, const arguments_t *arguments);

static int
report_no_response (const arguments_t *arguments)
{
  fprintf (arguments->io->err, "foxtailrun: node %s:%u does not answer\n",
           arguments->node.address.data, arguments->node.port);
  return CMD_EXIT_REQUEST_FAILED;
}

static json_t *
pack_node_status (const fx_node_status_t *member)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:I,s:s,s:b,s:b,s:s?,s:s,s:I,s:s}", "id",
                    member->id.data, "zone", member->zone.data, "service", member->service.data,
                    "state", member->state.data, "reached", member->reached, "number",
                    (json_int_t)member->version_number, "digest", member->digest, "reader",
                    member->reader, "ready", member->ready, "refused", member->refused_document,
                    "warmup", member->warmup.data, "warmup_left_ms",
                    (json_int_t)member->warmup_left_ms, "evacuated_zones",
                    member->evacuated_zones ? member->evacuated_zones : "");
}

static void
print_node_statuses (const GArray *members, FILE *out)
{
  fprintf (out, "%-24s %-16s %-10s %-8s %-14s %-6s %-6s %s\n", "node", "zone", "state",
           "version", "digest", "ready", "reads", "refused");
  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
      fprintf (out, "%-24s %-16s %-10s %-8" G_GUINT64_FORMAT " %-14.12s %-6s %-6s %s\n",
               member->id.data, member->zone.data,
               member->reached ? member->state.data : "silent", member->version_number,
               member->digest, member->ready ? "yes" : "no", member->reader ? "yes" : "no",
               member->refused_document ? member->refused_document : "-");
      if (member->evacuated_zones && member->evacuated_zones[0])
        fprintf (out, "%-24s evacuated zones: %s\n", "", member->evacuated_zones);
    }
}

/* Prints a line for each node whose backend server is cold. */
static void
print_cold_backends (const GArray *members, FILE *out)
{
  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);

      if (strcmp (member->warmup.data, "cold") == 0)
        fprintf (out, "%s: backend server is cold for %" G_GUINT64_FORMAT " ms more\n",
                 member->id.data, member->warmup_left_ms);
      else if (strcmp (member->warmup.data, "assumed") == 0)
        fprintf (out, "%s: backend server is assumed to be cold\n", member->id.data);
    }
}

static int
run_status (fx_admin_client_t *client, const arguments_t *arguments)
{
  GArray *members = fx_query_versions (client, &arguments->node);
  json_t *list;

  if (!members)
    return report_no_response (arguments);
  if (arguments->json)
    {
      list = json_array ();
      for (guint i = 0; i < members->len; i++)
        json_array_append_new (
            list, pack_node_status (&g_array_index (members, fx_node_status_t, i)));
      cmd_print_json (list, arguments->io->out);
    }
  else
    {
      print_node_statuses (members, arguments->io->out);
      print_cold_backends (members, arguments->io->out);
    }
  g_array_unref (members);
  return CMD_EXIT_OK;
}

/* Prints the list KEY of the response to GET PATH as a table. */
static int
print_list (fx_admin_client_t *client, const arguments_t *arguments, const char *path,
            const char *key, const char *const *columns, size_t count)
{
  json_t *response = NULL;
  json_t *item;
  uint32_t status;
  size_t i;

  if (fx_send_request (client, &arguments->node, "GET", path, &status, &response) != FB_OK
      || !response)
    return report_no_response (arguments);
  if (arguments->json)
    {
      cmd_print_json (response, arguments->io->out);
      return CMD_EXIT_OK;
    }
  for (size_t column = 0; column < count; column++)
    fprintf (arguments->io->out, "%-16s%s", columns[column], column + 1 < count ? " " : "\n");
  json_array_foreach (json_object_get (response, key), i, item)
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
  json_decref (response);
  return CMD_EXIT_OK;
}

static int
run_nodes (fx_admin_client_t *client, const arguments_t *arguments)
{
  static const char *const columns[]
      = { "id", "state", "zone", "region", "service", "address", "admin_port" };

  return print_list (client, arguments, "/members", "members", columns, G_N_ELEMENTS (columns));
}

static int
run_routes (fx_admin_client_t *client, const arguments_t *arguments)
{
  static const char *const columns[]
      = { "name",       "path",       "methods", "service",  "rank",
          "timeout_ms", "repeatable", "retries", "instances" };

  return print_list (client, arguments, "/routes", "routes", columns, G_N_ELEMENTS (columns));
}

static int
run_drain (fx_admin_client_t *client, const arguments_t *arguments)
{
  json_t *response = NULL;
  uint32_t status = 0;

  if (fx_send_request (client, &arguments->node, "POST", "/drain", &status, &response) != FB_OK)
    return report_no_response (arguments);
  json_decref (response);
  if (status == 202)
    {
      fprintf (arguments->io->out, "draining\n");
      return CMD_EXIT_OK;
    }
  fprintf (arguments->io->err, "foxtailrun: %s\n",
           status == 401 ? "the node refuses the key" : "the node refuses to drain");
  return CMD_EXIT_REQUEST_FAILED;
}

/* Reads the key from the first line of PATH; an argument would show in the process list. */
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
             node_command_fn_t run)
{
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *key
      = arg_file0 (NULL, "key-file", "FILE", "file with the administration key");
  void *table[] = { CMD_STANDARD_OPTIONS, node, json, key, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  arguments_t arguments = { .io = io };
  fx_admin_client_t *client = NULL;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_socket_address (node->sval[0], &arguments.node) != FB_OK)
    {
      fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
      goto done;
    }
  arguments.json = json->count > 0;
  if (key->count > 0 && !(arguments.key = read_key (key->filename[0], io)))
    goto done;
  client = fx_create_admin_client (fb_wrap_text (arguments.key), REQUEST_TIMEOUT_MS);
  status = run (client, &arguments);
done:
  fx_destroy_admin_client (client);
  g_free (arguments.key);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

static int
run_status_command (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_status);
}

const cmd_command_t cmd_status
    = { "status", "show the version in force on each node", run_status_command };

static int
run_nodes_command (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_nodes);
}

const cmd_command_t cmd_nodes
    = { "nodes", "list the members that a node knows", run_nodes_command };

static int
run_routes_command (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_routes);
}

const cmd_command_t cmd_routes = { "routes", "list the routes of a node", run_routes_command };

static int
run_drain_command (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  return run_on_node (command, argc, argv, io, run_drain);
}

const cmd_command_t cmd_drain = { "drain", "stop a node gracefully", run_drain_command };
