/* foxtailrun report: reports on the whole fleet. */
#include "admin-client.h"
#include "command.h"
#include "report-burn.h"
#include <argtable2.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000

/* Receives a node's response to GET /burn, or NULL. */
static void
add_burn_response (const fx_node_status_t *member, json_t *response, void *user)
{
  burn_node_t node = { .id = member->id, .zone = member->zone, .state = member->state };

  burn_add_response (user, &node, response);
}

/* Queries all members listed by the node at ADDRESS; NULL when it does not answer. */
static burn_report_t *
collect_burn (const fx_socket_address_t *address)
{
  fx_admin_client_t *client = fx_create_admin_client (fb_wrap_text (NULL), REQUEST_TIMEOUT_MS);
  GArray *members = fx_list_members (client, address);
  burn_report_t *report = NULL;

  if (members)
    {
      report = burn_create_report ();
      fx_query_members (client, members, "/burn", add_burn_response, report);
      burn_sort_report (report);
      g_array_unref (members);
    }
  fx_destroy_admin_client (client);
  return report;
}

static int
write_page (const burn_report_t *report, const char *file, const cmd_io_t *io)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *created = g_date_time_format (now, "%Y-%m-%d %H:%M UTC");
  char *page = burn_format_page (report, created);
  bool written = g_file_set_contents (file, page, -1, NULL);

  if (!written)
    fprintf (io->err, "foxtailrun: cannot write %s\n", file);
  g_free (page);
  g_free (created);
  g_date_time_unref (now);
  return written ? CMD_EXIT_OK : CMD_EXIT_WRITE_FAILED;
}

static int
run_burn_report (const fx_socket_address_t *address, bool json, const char *file,
                 const cmd_io_t *io)
{
  burn_report_t *report = collect_burn (address);
  int status = CMD_EXIT_OK;

  if (!report)
    {
      fprintf (io->err, "foxtailrun: node %s:%u does not answer\n", address->address.data,
               address->port);
      return CMD_EXIT_REQUEST_FAILED;
    }
  if (file)
    status = write_page (report, file, io);
  else if (json)
    cmd_print_json (burn_pack_report (report), io->out);
  else
    burn_print_report (report, io->out);
  burn_destroy_report (report);
  return status;
}

static int
run_report (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_str *kind = arg_str1 (NULL, NULL, "burn", "kind of report");
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *html = arg_file0 (NULL, "html", "FILE", "write an HTML page to FILE");
  void *table[]
      = { CMD_STANDARD_OPTIONS, kind, node, json, html, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  fx_socket_address_t address;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (strcmp (kind->sval[0], "burn") != 0)
    fprintf (io->err, "foxtailrun: report: found \"%s\", allowed: burn\n", kind->sval[0]);
  else if (json->count > 0 && html->count > 0)
    fprintf (io->err, "foxtailrun: report: --json and --html exclude each other\n");
  else if (fx_parse_socket_address (node->sval[0], &address) != FB_OK)
    fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
  else
    status = run_burn_report (&address, json->count > 0,
                              html->count > 0 ? html->filename[0] : NULL, io);
done:
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_report
    = { "report", "report the burn rates of the objectives' error budgets", run_report };
