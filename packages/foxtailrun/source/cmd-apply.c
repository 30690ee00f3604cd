/* foxtailrun apply: checks a document, hands it to the platform and waits until it is in force.
 */
#include "command.h"
#include "fleet.h"
#include <argtable2.h>
#include <foxtailrun/config/snapshot.h>
#include <stdio.h>
#include <string.h>

/* Time between two questions to the nodes that do not hold the version yet. */
#define POLL_MS 200

#define DEFAULT_TIMEOUT_S 30
#define REQUEST_TIMEOUT_MS 2000

typedef struct
{
  const cmd_io_t *io;
  const char *file;
  const char *folder;
  fx_target_t node;
  uint32_t timeout_s;
  size_t expected; /* least number of nodes; 0 for those that the asked node knows */
} apply_t;

/* Replaces FOLDER/config.toml by DOCUMENT in one step. */
static bool
publish_document (const apply_t *apply, fb_bytes_t document)
{
  char *path = g_build_filename (apply->folder, "config.toml", NULL);
  GError *error = NULL;
  bool good = g_file_set_contents_full (path, (const char *)document.data, (gssize)document.len,
                                        G_FILE_SET_CONTENTS_CONSISTENT, 0644, &error);

  if (!good)
    fprintf (apply->io->err, "foxtailrun: cannot publish to %s: %s\n", path, error->message);
  g_clear_error (&error);
  g_free (path);
  return good;
}

static size_t
count_serving (const GArray *reports)
{
  size_t count = 0;

  for (guint i = 0; i < reports->len; i++)
    count += fx_is_serving (&g_array_index (reports, fx_report_t, i)) ? 1 : 0;
  return count;
}

static uint64_t
find_highest_number (const GArray *reports)
{
  uint64_t highest = 0;

  for (guint i = 0; i < reports->len; i++)
    highest = MAX (highest, g_array_index (reports, fx_report_t, i).number);
  return highest;
}

/* Returns whether a node has the document in force and takes calls by it. */
static bool
holds_document (const fx_report_t *report, const char *digest)
{
  return report->reached && report->ready && strcmp (report->digest, digest) == 0;
}

/* Counts the serving nodes that hold DIGEST. */
static size_t
count_holders (const GArray *reports, const char *digest)
{
  size_t count = 0;

  for (guint i = 0; i < reports->len; i++)
    {
      const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      count += fx_is_serving (report) && holds_document (report, digest) ? 1 : 0;
    }
  return count;
}

/* Prints "zone HELD/ALL" for each zone. */
static void
print_progress (const GArray *reports, const char *digest, FILE *out)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names;

  for (guint i = 0; i < reports->len; i++)
    g_hash_table_add (zones, g_array_index (reports, fx_report_t, i).zone.data);
  names = g_list_sort (g_hash_table_get_keys (zones), (GCompareFunc)strcmp);
  for (GList *zone = names; zone; zone = zone->next)
    {
      size_t held = 0;
      size_t all = 0;
      for (guint i = 0; i < reports->len; i++)
        {
          const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
          if (!fx_is_serving (report) || strcmp (report->zone.data, zone->data) != 0)
            continue;
          all++;
          held += holds_document (report, digest) ? 1 : 0;
        }
      fprintf (out, "%s%s %zu/%zu", zone == names ? "" : ", ", (const char *)zone->data, held,
               all);
    }
  fprintf (out, "\n");
  g_list_free (names);
  g_hash_table_destroy (zones);
}

/* Returns the refusal of the document by a node, or NULL. */
static const char *
find_refusal (const GArray *reports, const char *digest)
{
  char prefix[14];

  g_snprintf (prefix, sizeof prefix, "-%.12s", digest);
  for (guint i = 0; i < reports->len; i++)
    {
      const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      if (report->refused && strstr (report->refused, prefix))
        return report->refused;
    }
  return NULL;
}

static void
print_missing (const GArray *reports, const char *digest, FILE *out)
{
  for (guint i = 0; i < reports->len; i++)
    {
      const fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      if (!fx_is_serving (report) || holds_document (report, digest))
        continue;
      if (report->reached)
        fprintf (out, "missing: %s holds version %" G_GUINT64_FORMAT "%s\n", report->id.data,
                 report->number, report->ready ? "" : " and is not ready");
      else
        fprintf (out, "missing: %s does not answer\n", report->id.data);
    }
}

/* Waits until all nodes hold the document of NUMBER and DIGEST. */
static int
wait_for_fleet (fx_fleet_t *fleet, const apply_t *apply, uint64_t number, const char *digest)
{
  gint64 begin = g_get_monotonic_time ();
  gint64 limit = begin + (gint64)apply->timeout_s * G_USEC_PER_SEC;
  size_t shown = SIZE_MAX;
  int code = CMD_EXIT_SPREADING;

  for (;;)
    {
      GArray *reports = fx_survey_fleet (fleet, &apply->node);
      size_t held = reports ? count_holders (reports, digest) : 0;
      size_t all = reports ? count_serving (reports) : 0;
      const char *refusal = reports ? find_refusal (reports, digest) : NULL;
      bool complete = reports && held == all && all >= MAX (apply->expected, 1);
      bool late = g_get_monotonic_time () >= limit;

      if (reports && held != shown)
        print_progress (reports, digest, apply->io->out);
      shown = held;
      if (complete)
        {
          fprintf (apply->io->out,
                   "version %" G_GUINT64_FORMAT " is in force on %zu nodes after %.1f s\n",
                   number, held, (double)(g_get_monotonic_time () - begin) / G_USEC_PER_SEC);
          code = CMD_EXIT_OK;
        }
      else if (refusal)
        {
          fprintf (apply->io->out, "refused: %s\n", refusal);
          code = CMD_EXIT_REFUSED;
        }
      else if (late && reports)
        {
          fprintf (apply->io->out, "still spreading after %u s: %zu of %zu nodes\n",
                   apply->timeout_s, held, all);
          print_missing (reports, digest, apply->io->out);
        }
      else if (late)
        fprintf (apply->io->out, "node %s:%u does not answer\n", apply->node.address.data,
                 apply->node.port);
      if (reports)
        g_array_unref (reports);
      if (complete || refusal || late)
        return code;
      g_usleep (POLL_MS * 1000);
    }
}

/* Returns the highest number in force, 0 when the node does not answer. */
static uint64_t
read_number_in_force (fx_fleet_t *fleet, const fx_target_t *node)
{
  GArray *reports = fx_survey_fleet (fleet, node);
  uint64_t number = 0;

  if (reports)
    {
      number = find_highest_number (reports);
      g_array_unref (reports);
    }
  return number;
}

static int
apply_document (const apply_t *apply, fc_snapshot_t *snapshot)
{
  fx_fleet_t *fleet = fx_create_fleet (FB_LITERAL (""), REQUEST_TIMEOUT_MS);
  uint64_t number = fc_get_version_number (snapshot);
  uint64_t in_force = read_number_in_force (fleet, &apply->node);
  fb_digest_t digest = fb_compute_digest (fc_get_document (snapshot));
  char text[FB_DIGEST_HEX_LEN + 1];
  int code = CMD_EXIT_PROBLEMS;

  fb_format_digest (&digest, text);
  if (number <= in_force)
    fprintf (apply->io->err,
             "%s: version: found %" G_GUINT64_FORMAT ", allowed: above %" G_GUINT64_FORMAT
             ", which is in force\n",
             apply->file, number, in_force);
  else if (!publish_document (apply, fc_get_document (snapshot)))
    code = CMD_EXIT_OUTPUT;
  else
    code = wait_for_fleet (fleet, apply, number, text);
  fx_destroy_fleet (fleet);
  return code;
}

static int
run_apply (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the document to apply");
  struct arg_str *folder
      = arg_str1 (NULL, "publish", "FOLDER", "folder that the platform publishes from");
  struct arg_str *node
      = arg_str1 (NULL, "node", "IP:PORT", "administration address of any node");
  struct arg_int *timeout = arg_int0 (NULL, "timeout", "SECONDS", "how long to wait (30)");
  struct arg_int *expect
      = arg_int0 (NULL, "expect", "NODES", "least number of nodes to wait for");
  void *table[]
      = { CMD_STANDARD_OPTIONS, file, folder, node, timeout, expect, arg_end (CMD_ERRORS_MAX) };
  apply_t apply = { .io = io, .timeout_s = DEFAULT_TIMEOUT_S };
  fc_snapshot_t *snapshot = NULL;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_target (node->sval[0], &apply.node) != FB_OK)
    {
      fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
      goto done;
    }
  apply.file = file->filename[0];
  apply.folder = folder->sval[0];
  if (timeout->count > 0)
    apply.timeout_s = (uint32_t)MAX (timeout->ival[0], 0);
  if (expect->count > 0)
    apply.expected = (size_t)MAX (expect->ival[0], 0);
  snapshot = cmd_load_document (apply.file, io);
  status = snapshot ? apply_document (&apply, snapshot) : CMD_EXIT_PROBLEMS;
done:
  fc_release_snapshot (snapshot);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_apply
    = { "apply", "check a document, publish it and wait until it is in force", run_apply };
