/* foxtailrun diff: prints the changes between two documents and their risks. */
#include "command.h"
#include "diff.h"
#include <argtable2.h>

static guint
count_risks (const GPtrArray *changes)
{
  guint count = 0;

  for (guint i = 0; i < changes->len; i++)
    count += ((const diff_change_t *)changes->pdata[i])->risk != NULL;
  return count;
}

static void
print_change (const diff_change_t *change, FILE *out)
{
  fprintf (out, "%s%s%s: ", change->kind, change->name[0] ? " " : "", change->name);
  if (change->key)
    fprintf (out, "%s %s -> %s\n", change->key, change->before, change->after);
  else if (change->after)
    fprintf (out, "added, %s\n", change->after);
  else
    fprintf (out, "removed, %s\n", change->before);
  if (change->risk)
    fprintf (out, "  risk: %s\n", change->risk);
}

static void
print_text (const GPtrArray *changes, FILE *out)
{
  for (guint i = 0; i < changes->len; i++)
    print_change (changes->pdata[i], out);
  fprintf (out, "changes: %u, risky: %u\n", changes->len, count_risks (changes));
}

static json_t *
pack_text (const char *text)
{
  return text ? json_string (text) : json_null ();
}

static void
print_json (const GPtrArray *changes, FILE *out)
{
  json_t *array = json_array ();

  for (guint i = 0; i < changes->len; i++)
    {
      const diff_change_t *change = changes->pdata[i];

      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:o, s:o, s:o, s:o}", "kind", change->kind, "name",
                            change->name, "key", pack_text (change->key), "before",
                            pack_text (change->before), "after", pack_text (change->after),
                            "risk", pack_text (change->risk)));
    }
  cmd_print_json (array, out);
}

static int
run_diff (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print the changes as JSON");
  struct arg_file *before = arg_file1 (NULL, NULL, "A", "document in effect");
  struct arg_file *after = arg_file1 (NULL, NULL, "B", "new document");
  void *table[]
      = { CMD_STANDARD_OPTIONS, json, before, after, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  int status;

  if (cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    {
      fc_snapshot_t *old = cmd_load_document (before->filename[0], io);
      fc_snapshot_t *new = cmd_load_document (after->filename[0], io);

      status = old && new ? CMD_EXIT_OK : CMD_EXIT_PROBLEMS;
      if (old && new)
        {
          GPtrArray *changes = diff_documents (old, new);

          if (json->count > 0)
            print_json (changes, io->out);
          else
            print_text (changes, io->out);
          g_ptr_array_unref (changes);
        }
      fc_release_snapshot (new);
      fc_release_snapshot (old);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_diff
    = { "diff", "print the changes from document A to B, and their risks", run_diff };
