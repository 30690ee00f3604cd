/* Shared by subcommands: arguments, problems and documents. */
#include "command.h"
#include <argtable2.h>
#include <foxtailrun/config/settings.h>
#include <glib.h>

bool
cmd_parse_arguments (const cmd_command_t *command, int argc, char **argv, void **table,
                     size_t count, const cmd_io_t *io, int *status)
{
  const struct arg_lit *help = table[0];
  const struct arg_lit *version = table[1];
  struct arg_end *end = table[count - 1];
  int errors = arg_parse (argc, argv, table);
  char *name;

  *status = CMD_EXIT_OK;
  if (help->count > 0)
    {
      fprintf (io->out, "Usage: foxtailrun %s", command->name);
      arg_print_syntax (io->out, table, "\n");
      fprintf (io->out, "\n%s\n\n", command->summary);
      arg_print_glossary (io->out, table, "  %-20s %s\n");
      return false;
    }
  if (version->count > 0)
    {
      fprintf (io->out, "foxtailrun %s\n", FOXTAILRUN_VERSION);
      return false;
    }
  if (errors == 0)
    return true;
  name = g_strdup_printf ("foxtailrun %s", command->name);
  arg_print_errors (io->err, end, name);
  fprintf (io->err, "%s: see foxtailrun %s --help\n", name, command->name);
  g_free (name);
  *status = CMD_EXIT_USAGE;
  return false;
}

void
cmd_print_problems (const fc_problems_t *problems, const char *file, FILE *out)
{
  size_t count = fc_count_problems (problems);

  for (size_t i = 0; i < count; i++)
    {
      char *line = fc_format_problem (fc_get_problem (problems, i), file);

      fprintf (out, "%s\n", line);
      g_free (line);
    }
  fprintf (out, "%s: %zu problem%s\n", file, count, count == 1 ? "" : "s");
}

json_t *
cmd_pack_problems (const fc_problems_t *problems)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < fc_count_problems (problems); i++)
    {
      const fc_problem_t *problem = fc_get_problem (problems, i);

      json_array_append_new (array, json_pack ("{s:i, s:s, s:s, s:s}", "line",
                                               (int)problem->line, "key", problem->key, "found",
                                               problem->found, "allowed", problem->allowed));
    }
  return array;
}

void
cmd_print_json (json_t *value, FILE *out)
{
  json_dumpf (value, out, JSON_INDENT (2));
  fputc ('\n', out);
  json_decref (value);
}

fc_snapshot_t *
cmd_load_document (const char *file, const cmd_io_t *io)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = NULL;
  uint8_t *data;
  size_t length;

  if (fc_read_file (file, FC_DOCUMENT_MAX, &data, &length, problems) == FB_OK)
    snapshot = fc_check_document ((fb_bytes_t){ data, length }, problems);
  if (!snapshot)
    cmd_print_problems (problems, file, io->err);
  g_free (data);
  fc_destroy_problems (problems);
  return snapshot;
}
