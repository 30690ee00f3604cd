/* foxtailrun explain: where a node sends a request, and why. */
#include "admin-client.h"
#include "command.h"
#include <argtable2.h>
#include <stdio.h>

#define REQUEST_TIMEOUT_MS 2000

static const char *
get_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "-";
}

static long long
get_number (json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
get_flag (json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key)) ? "yes" : "no";
}

static void
print_route (json_t *route, FILE *out)
{
  const char *methods = get_text (route, "methods");

  fprintf (out, "route:    %s (path %s, methods %s)\n", get_text (route, "name"),
           get_text (route, "path"), *methods ? methods : "all");
  fprintf (out, "rank:     %s (order %lld)\n", get_text (route, "rank"),
           get_number (route, "order"));
  fprintf (out, "service:  %s\n", get_text (route, "service"));
  fprintf (out, "timeout:  %lld ms with all attempts, retries: %lld, ticket needed: %s\n",
           get_number (route, "timeout_ms"), get_number (route, "retries"),
           get_flag (route, "ticket"));
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
      g_snprintf (order, sizeof order, "%lld", get_number (item, "order"));
    fprintf (out, "%-6s %-24s %-10s %-16s %-8s %-9lld %-8lld %s\n", order,
             get_text (item, "id"), get_text (item, "state"), get_text (item, "zone"),
             get_text (item, "distance"), get_number (item, "in_flight"),
             get_number (item, "load"), get_text (item, "use"));
  }
}

static void
print_explanation (json_t *response, FILE *out)
{
  json_t *route = json_object_get (response, "route");

  fprintf (out, "request:  %s %s\n", get_text (response, "method"),
           get_text (response, "path"));
  fprintf (out, "node:     %s in %s, ready: %s, draining: %s, version %lld\n",
           get_text (response, "node"), get_text (response, "zone"),
           get_flag (response, "ready"), get_flag (response, "draining"),
           get_number (response, "version"));
  if (json_is_object (route))
    {
      print_route (route, out);
      print_instances (json_object_get (response, "instances"), out);
    }
  fprintf (out, "result:   %s\n", get_text (response, "result"));
}

/* Prints the explanation of the node at ADDRESS; returns the exit status. */
static int
explain_request (const fx_socket_address_t *address, const char *method, const char *path,
                 bool json, const cmd_io_t *io)
{
  fx_admin_client_t *client = fx_create_admin_client (FB_LITERAL (""), REQUEST_TIMEOUT_MS);
  char *escaped_method = g_uri_escape_string (method, NULL, FALSE);
  char *escaped_path = g_uri_escape_string (path, "/", FALSE);
  char *query = g_strdup_printf ("/explain?method=%s&path=%s", escaped_method, escaped_path);
  json_t *response = NULL;
  uint32_t status = 0;
  int exit_status = CMD_EXIT_REQUEST_FAILED;

  if (fx_send_request (client, address, "GET", query, &status, &response) != FB_OK)
    fprintf (io->err, "foxtailrun: node %s:%u does not answer\n", address->address.data,
             address->port);
  else if (status != 200 || !response)
    fprintf (io->err, "foxtailrun: the node refused the request: %s\n",
             get_text (response, "error"));
  else
    {
      exit_status = CMD_EXIT_OK;
      if (json)
        cmd_print_json (json_incref (response), io->out);
      else
        print_explanation (response, io->out);
    }
  json_decref (response);
  g_free (query);
  g_free (escaped_path);
  g_free (escaped_method);
  fx_destroy_admin_client (client);
  return exit_status;
}

static int
run_explain (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_str *method = arg_str1 (NULL, NULL, "METHOD", "method of the request");
  struct arg_str *path = arg_str1 (NULL, NULL, "PATH", "path of the request");
  void *table[]
      = { CMD_STANDARD_OPTIONS, node, json, method, path, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  fx_socket_address_t address;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_socket_address (node->sval[0], &address) != FB_OK)
    fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
  else if (path->sval[0][0] != '/')
    fprintf (io->err,
             "foxtailrun: PATH: found \"%s\", allowed: a path that starts with \"/\"\n",
             path->sval[0]);
  else
    status = explain_request (&address, method->sval[0], path->sval[0], json->count > 0, io);
done:
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_explain
    = { "explain", "show where a node would send a request, and why", run_explain };
