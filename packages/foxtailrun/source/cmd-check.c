/* foxtailrun check: reports every problem in a document or settings file. */
#include "command.h"
#include <argtable2.h>
#include <foxtailrun/base/digest.h>
#include <foxtailrun/config/settings.h>
#include <glib.h>

typedef struct
{
  const char *file;
  bool settings;
  fc_problems_t *problems;
  fc_snapshot_t *snapshot;       /* of a valid document, else NULL */
  fc_settings_t parsed_settings; /* of valid settings */
} check_t;

static void
check_file (check_t *check)
{
  uint8_t *data;
  size_t length;

  if (fc_read_file (check->file, FC_DOCUMENT_MAX, &data, &length, check->problems) != FB_OK)
    return;
  if (check->settings)
    fc_check_settings ((fb_bytes_t){ data, length }, &check->parsed_settings, check->problems);
  else
    check->snapshot = fc_check_document ((fb_bytes_t){ data, length }, check->problems);
  g_free (data);
}

static void
format_digest (const fc_snapshot_t *snapshot, char text[FB_DIGEST_HEX_LEN + 1])
{
  fb_digest_t digest = fb_compute_digest (fc_get_document (snapshot));

  fb_format_digest (&digest, text);
}

static void
print_text (const check_t *check, FILE *out)
{
  char digest[FB_DIGEST_HEX_LEN + 1];

  if (fc_count_problems (check->problems) > 0)
    {
      cmd_print_problems (check->problems, check->file, out);
      return;
    }
  if (check->settings)
    {
      fprintf (out, "%s: good settings of node %s in zone %s\n", check->file,
               check->parsed_settings.id.data, check->parsed_settings.zone.data);
      return;
    }
  format_digest (check->snapshot, digest);
  fprintf (out,
           "%s: good document, version %" G_GUINT64_FORMAT ", digest %.12s, ranks %zu, "
           "services %zu, routes %zu, customers %zu, objectives %zu\n",
           check->file, fc_get_version_number (check->snapshot), digest,
           fc_count_ranks (check->snapshot), fc_count_services (check->snapshot),
           fc_count_routes (check->snapshot), fc_count_customers (check->snapshot),
           fc_count_objectives (check->snapshot));
}

static void
print_json (const check_t *check, FILE *out)
{
  char *file = g_filename_display_name (check->file);
  json_t *result = json_pack ("{s:s, s:b, s:o}", "file", file, "good",
                              fc_count_problems (check->problems) == 0, "problems",
                              cmd_pack_problems (check->problems));

  if (check->snapshot)
    {
      char digest[FB_DIGEST_HEX_LEN + 1];

      format_digest (check->snapshot, digest);
      json_object_set_new (result, "version",
                           json_integer ((json_int_t)fc_get_version_number (check->snapshot)));
      json_object_set_new (result, "digest", json_string (digest));
    }
  cmd_print_json (result, out);
  g_free (file);
}

static int
run_check (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print the result as JSON");
  struct arg_lit *settings = arg_lit0 (NULL, "settings", "FILE holds the settings of a node");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "configuration document");
  void *table[]
      = { CMD_STANDARD_OPTIONS, json, settings, file, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  int status;

  if (cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    {
      check_t check = { .file = file->filename[0],
                        .settings = settings->count > 0,
                        .problems = fc_create_problems () };

      check_file (&check);
      if (json->count > 0)
        print_json (&check, io->out);
      else
        print_text (&check, io->out);
      status = fc_count_problems (check.problems) > 0 ? CMD_EXIT_PROBLEMS : CMD_EXIT_OK;
      fc_release_snapshot (check.snapshot);
      fc_destroy_problems (check.problems);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_check = { "check", "report every problem in a file", run_check };
