#include "command.h"
#include <foxtailrun/config/settings.h>
#include <glib.h>
#include <stdio.h>

bool
fx_parse_arguments (int argc, char **argv, void **table, size_t count, struct arg_end *end,
                    const char *name, int *code)
{
  int errors = arg_parse (argc, argv, table);
  const struct arg_lit *help = table[0];

  if (help->count > 0)
    {
      printf ("Usage: foxtailrun %s", name);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      *code = EXIT_SUCCESS;
      return false;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "foxtailrun");
      fprintf (stderr, "Try \"foxtailrun %s --help\".\n", name);
      *code = FX_EXIT_BAD_INPUT;
      return false;
    }
  return true;
}

fc_snapshot_t *
fx_load_document (const char *path)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = NULL;
  uint8_t *data = NULL;
  size_t length = 0;

  if (fc_read_file (path, FX_FILE_MAX, &data, &length, problems) == FB_OK)
    snapshot = fc_check_document ((fb_bytes_t){ data, length }, problems);
  for (size_t i = 0; i < fc_count_problems (problems); i++)
    {
      char *text = fc_format_problem (fc_get_problem (problems, i), path);
      fprintf (stderr, "%s\n", text);
      g_free (text);
    }
  g_free (data);
  fc_destroy_problems (problems);
  return snapshot;
}
