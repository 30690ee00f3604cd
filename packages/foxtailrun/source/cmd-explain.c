/* foxtailrun explain: where a node would send a request, and why. */
#include "command.h"
#include "fleet.h"
#include <argtable2.h>
#include <stdio.h>

#define REQUEST_TIMEOUT_MS 2000

static const char *
read_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "-";
}

static long long
read_number (json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
read_flag (json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key)) ? "yes" : "no";
}

static void
print_route (json_t *route, FILE *out)
{
  const char *methods = read_text (route, "methods");

  fprintf (out, "route:    %s (path %s, methods %s)\n", read_text (route, "name"),
           read_text (route, "path"), *methods ? methods : "all");
  fprintf (out, "rank:     %s (order %lld)\n", read_text (route, "rank"),
           read_number (route, "order"));
  fprintf (out, "service:  %s\n", read_text (route, "service"));
  fprintf (out, "timeout:  %lld ms with all attempts, retries: %lld, ticket needed: %s\n",
           read_number (route, "timeout_ms"), read_number (route, "retries"),
           read_flag (route, "ticket"));
}

static void
print_instances (json_t *instances, FILE *out)
{
  json_t *item;
  size_t i;

  fprintf (out, "%-6s %-24s %-10s %-16s %-8s %-9s %-8s %s\n", "order", "instance", "state",
           "zone", "distance", "in flight", "load", "use");
  json_array_foreach (instances, i, item)
  {
    char order[24] = "-";

    if (json_is_integer (json_object_get (item, "order")))
      g_snprintf (order, sizeof order, "%lld", read_number (item, "order"));
    fprintf (out, "%-6s %-24s %-10s %-16s %-8s %-9lld %-8lld %s\n", order,
             read_text (item, "id"), read_text (item, "state"), read_text (item, "zone"),
             read_text (item, "distance"), read_number (item, "in_flight"),
             read_number (item, "load"), read_text (item, "use"));
  }
}

static void
print_explanation (json_t *answer, FILE *out)
{
  json_t *route = json_object_get (answer, "route");

  fprintf (out, "request:  %s %s\n", read_text (answer, "method"), read_text (answer, "path"));
  fprintf (out, "node:     %s in %s, ready: %s, draining: %s, version %lld\n",
           read_text (answer, "node"), read_text (answer, "zone"), read_flag (answer, "ready"),
           read_flag (answer, "draining"), read_number (answer, "version"));
  if (json_is_object (route))
    {
      print_route (route, out);
      print_instances (json_object_get (answer, "instances"), out);
    }
  fprintf (out, "result:   %s\n", read_text (answer, "result"));
}

/* Asks TARGET and writes its answer. */
static int
explain_request (const fx_target_t *target, const char *method, const char *path, bool json,
                 const cmd_io_t *io)
{
  fx_fleet_t *fleet = fx_create_fleet (FB_LITERAL (""), REQUEST_TIMEOUT_MS);
  char *escaped_method = g_uri_escape_string (method, NULL, FALSE);
  char *escaped_path = g_uri_escape_string (path, "/", FALSE);
  char *query = g_strdup_printf ("/explain?method=%s&path=%s", escaped_method, escaped_path);
  json_t *answer = NULL;
  uint32_t status = 0;
  int code = CMD_EXIT_SILENT;

  if (fx_request (fleet, target, "GET", query, &status, &answer) != FB_OK)
    fprintf (io->err, "foxtailrun: node %s:%u does not answer\n", target->address.data,
             target->port);
  else if (status != 200 || !answer)
    fprintf (io->err, "foxtailrun: the node refuses to explain: %s\n",
             read_text (answer, "error"));
  else
    {
      code = CMD_EXIT_OK;
      if (json)
        cmd_print_json (json_incref (answer), io->out);
      else
        print_explanation (answer, io->out);
    }
  json_decref (answer);
  g_free (query);
  g_free (escaped_path);
  g_free (escaped_method);
  fx_destroy_fleet (fleet);
  return code;
}

static int
run_explain (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_str *method = arg_str1 (NULL, NULL, "METHOD", "method of the request");
  struct arg_str *path = arg_str1 (NULL, NULL, "PATH", "path of the request");
  void *table[] = { CMD_STANDARD_OPTIONS, node, json, method, path, arg_end (CMD_ERRORS_MAX) };
  fx_target_t target;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_target (node->sval[0], &target) != FB_OK)
    fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
  else if (path->sval[0][0] != '/')
    fprintf (io->err,
             "foxtailrun: PATH: found \"%s\", allowed: a path that starts with \"/\"\n",
             path->sval[0]);
  else
    status = explain_request (&target, method->sval[0], path->sval[0], json->count > 0, io);
done:
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_explain
    = { "explain", "show where a node would send a request, and why", run_explain };
