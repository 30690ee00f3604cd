/* foxtailrun report: reports on the whole fleet. */
#include "command.h"
#include "fleet.h"
#include "report-burn.h"
#include <argtable2.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000

/* Receives one node's answer to GET /burn, or NULL. */
static void
receive_burn (const fx_report_t *member, json_t *answer, void *user)
{
  burn_node_t node = { .id = member->id, .zone = member->zone, .state = member->state };

  burn_add_answer (user, &node, answer);
}

/* Asks all nodes that TARGET knows; NULL when TARGET does not answer. */
static burn_report_t *
collect_burn (const fx_target_t *target)
{
  fx_fleet_t *fleet = fx_create_fleet (fb_wrap_text (NULL), REQUEST_TIMEOUT_MS);
  GArray *members = fx_list_members (fleet, target);
  burn_report_t *report = NULL;

  if (members)
    {
      report = burn_create_report ();
      fx_ask_members (fleet, members, "/burn", receive_burn, report);
      burn_sort_report (report);
      g_array_unref (members);
    }
  fx_destroy_fleet (fleet);
  return report;
}

static int
write_page (const burn_report_t *report, const char *file, const cmd_io_t *io)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *taken = g_date_time_format (now, "%Y-%m-%d %H:%M UTC");
  char *page = burn_format_page (report, taken);
  bool written = g_file_set_contents (file, page, -1, NULL);

  if (!written)
    fprintf (io->err, "foxtailrun: cannot write %s\n", file);
  g_free (page);
  g_free (taken);
  g_date_time_unref (now);
  return written ? CMD_EXIT_OK : CMD_EXIT_OUTPUT;
}

static int
report_burn (const fx_target_t *target, bool json, const char *file, const cmd_io_t *io)
{
  burn_report_t *report = collect_burn (target);
  int status = CMD_EXIT_OK;

  if (!report)
    {
      fprintf (io->err, "foxtailrun: node %s:%u does not answer\n", target->address.data,
               target->port);
      return CMD_EXIT_SILENT;
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
start_report (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_str *kind = arg_str1 (NULL, NULL, "burn", "kind of report");
  struct arg_str *node = arg_str1 (NULL, "node", "IP:PORT", "administration address of a node");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *html = arg_file0 (NULL, "html", "FILE", "write an HTML page to FILE");
  void *table[] = { CMD_STANDARD_OPTIONS, kind, node, json, html, arg_end (CMD_ERRORS_MAX) };
  fx_target_t target;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (strcmp (kind->sval[0], "burn") != 0)
    fprintf (io->err, "foxtailrun: report: found \"%s\", allowed: burn\n", kind->sval[0]);
  else if (json->count > 0 && html->count > 0)
    fprintf (io->err, "foxtailrun: report: --json and --html exclude each other\n");
  else if (fx_parse_target (node->sval[0], &target) != FB_OK)
    fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
  else
    status = report_burn (&target, json->count > 0, html->count > 0 ? html->filename[0] : NULL,
                          io);
done:
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_report
    = { "report", "report how fast the objectives' budgets burn", start_report };
