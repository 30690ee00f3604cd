/* foxtailrun apply: checks and publishes a document and waits until it is in force. */
#include "admin-client.h"
#include "command.h"
#include <argtable2.h>
#include <foxtailrun/config/snapshot.h>
#include <stdio.h>
#include <string.h>

#define POLL_INTERVAL_MS 200

#define DEFAULT_TIMEOUT_S 30
#define REQUEST_TIMEOUT_MS 2000

typedef struct
{
  const cmd_io_t *io;
  const char *file;
  const char *folder;
  fx_socket_address_t node;
  uint32_t timeout_s;
  size_t nodes_min; /* 0 for the members that NODE lists */
} apply_t;

/* Replaces FOLDER/config.toml by DOCUMENT atomically. */
static bool
publish_document (const apply_t *apply, fb_bytes_t document)
{
  char *path = g_build_filename (apply->folder, "config.toml", NULL);
  GError *error = NULL;
  bool is_written
      = g_file_set_contents_full (path, (const char *)document.data, (gssize)document.len,
                                  G_FILE_SET_CONTENTS_CONSISTENT, 0644, &error);

  if (!is_written)
    fprintf (apply->io->err, "foxtailrun: cannot publish to %s: %s\n", path, error->message);
  g_clear_error (&error);
  g_free (path);
  return is_written;
}

static size_t
count_serving (const GArray *members)
{
  size_t count = 0;

  for (guint i = 0; i < members->len; i++)
    count += fx_is_serving (&g_array_index (members, fx_node_status_t, i)) ? 1 : 0;
  return count;
}

static uint64_t
find_highest_version (const GArray *members)
{
  uint64_t highest = 0;

  for (guint i = 0; i < members->len; i++)
    highest = MAX (highest, g_array_index (members, fx_node_status_t, i).version_number);
  return highest;
}

/* Whether the document with DIGEST is in force at MEMBER and MEMBER accepts calls. */
static bool
has_document_in_force (const fx_node_status_t *member, const char *digest)
{
  return member->reached && member->ready && strcmp (member->digest, digest) == 0;
}

/* Counts the serving nodes with DIGEST in force. */
static size_t
count_updated (const GArray *members, const char *digest)
{
  size_t count = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
      count += fx_is_serving (member) && has_document_in_force (member, digest) ? 1 : 0;
    }
  return count;
}

/* Prints "ZONE UPDATED/SERVING" for each zone. */
static void
print_progress (const GArray *members, const char *digest, FILE *out)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names;

  for (guint i = 0; i < members->len; i++)
    g_hash_table_add (zones, g_array_index (members, fx_node_status_t, i).zone.data);
  names = g_list_sort (g_hash_table_get_keys (zones), (GCompareFunc)strcmp);
  for (GList *zone = names; zone; zone = zone->next)
    {
      size_t updated = 0;
      size_t serving = 0;
      for (guint i = 0; i < members->len; i++)
        {
          const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
          if (!fx_is_serving (member) || strcmp (member->zone.data, zone->data) != 0)
            continue;
          serving++;
          updated += has_document_in_force (member, digest) ? 1 : 0;
        }
      fprintf (out, "%s%s %zu/%zu", zone == names ? "" : ", ", (const char *)zone->data,
               updated, serving);
    }
  fprintf (out, "\n");
  g_list_free (names);
  g_hash_table_destroy (zones);
}

/* The first refusal of the document with DIGEST, owned by MEMBERS, or NULL. */
static const char *
find_refusal (const GArray *members, const char *digest)
{
  char prefix[14];

  g_snprintf (prefix, sizeof prefix, "-%.12s", digest);
  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
      if (member->refused_document && strstr (member->refused_document, prefix))
        return member->refused_document;
    }
  return NULL;
}

static void
print_nodes_not_updated (const GArray *members, const char *digest, FILE *out)
{
  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
      if (!fx_is_serving (member) || has_document_in_force (member, digest))
        continue;
      if (member->reached)
        fprintf (out, "missing: %s holds version %" G_GUINT64_FORMAT "%s\n", member->id.data,
                 member->version_number, member->ready ? "" : " and is not ready");
      else
        fprintf (out, "missing: %s does not answer\n", member->id.data);
    }
}

/* Waits until version NUMBER with DIGEST is in force on all serving nodes; returns the exit
 * status. */
static int
wait_for_nodes (fx_admin_client_t *client, const apply_t *apply, uint64_t number,
                const char *digest)
{
  gint64 started_at = g_get_monotonic_time ();
  gint64 deadline = started_at + (gint64)apply->timeout_s * G_USEC_PER_SEC;
  size_t printed = SIZE_MAX;
  int status = CMD_EXIT_TIMEOUT;

  for (;;)
    {
      GArray *members = fx_query_versions (client, &apply->node);
      size_t updated = members ? count_updated (members, digest) : 0;
      size_t serving = members ? count_serving (members) : 0;
      const char *refusal = members ? find_refusal (members, digest) : NULL;
      bool is_complete = members && updated == serving && serving >= MAX (apply->nodes_min, 1);
      bool timed_out = g_get_monotonic_time () >= deadline;

      if (members && updated != printed)
        print_progress (members, digest, apply->io->out);
      printed = updated;
      if (is_complete)
        {
          fprintf (apply->io->out,
                   "version %" G_GUINT64_FORMAT " is in force on %zu nodes after %.1f s\n",
                   number, updated,
                   (double)(g_get_monotonic_time () - started_at) / G_USEC_PER_SEC);
          status = CMD_EXIT_OK;
        }
      else if (refusal)
        {
          fprintf (apply->io->out, "refused: %s\n", refusal);
          status = CMD_EXIT_DOCUMENT_REFUSED;
        }
      else if (timed_out && members)
        {
          fprintf (apply->io->out, "still spreading after %u s: %zu of %zu nodes\n",
                   apply->timeout_s, updated, serving);
          print_nodes_not_updated (members, digest, apply->io->out);
        }
      else if (timed_out)
        fprintf (apply->io->out, "node %s:%u does not answer\n", apply->node.address.data,
                 apply->node.port);
      if (members)
        g_array_unref (members);
      if (is_complete || refusal || timed_out)
        return status;
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
}

/* The highest version number in force, 0 when NODE does not answer. */
static uint64_t
query_highest_version (fx_admin_client_t *client, const fx_socket_address_t *node)
{
  GArray *members = fx_query_versions (client, node);
  uint64_t number = 0;

  if (members)
    {
      number = find_highest_version (members);
      g_array_unref (members);
    }
  return number;
}

static int
apply_document (const apply_t *apply, fc_snapshot_t *snapshot)
{
  fx_admin_client_t *client = fx_create_admin_client (FB_LITERAL (""), REQUEST_TIMEOUT_MS);
  uint64_t number = fc_get_version_number (snapshot);
  uint64_t in_force = query_highest_version (client, &apply->node);
  fb_digest_t digest = fb_compute_digest (fc_get_document (snapshot));
  char digest_text[FB_DIGEST_HEX_LEN + 1];
  int status = CMD_EXIT_PROBLEMS;

  fb_format_digest (&digest, digest_text);
  if (number <= in_force)
    fprintf (apply->io->err,
             "%s: version: found %" G_GUINT64_FORMAT ", allowed: above %" G_GUINT64_FORMAT
             ", which is in force\n",
             apply->file, number, in_force);
  else if (!publish_document (apply, fc_get_document (snapshot)))
    status = CMD_EXIT_WRITE_FAILED;
  else
    status = wait_for_nodes (client, apply, number, digest_text);
  fx_destroy_admin_client (client);
  return status;
}

static int
run_apply (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the document to apply");
  struct arg_str *folder
      = arg_str1 (NULL, "publish", "FOLDER", "folder that the platform publishes from");
  struct arg_str *node
      = arg_str1 (NULL, "node", "IP:PORT", "administration address of any node");
  struct arg_int *timeout = arg_int0 (
      NULL, "timeout", "SECONDS", "maximum time to wait until the document is in force (30)");
  struct arg_int *expect
      = arg_int0 (NULL, "expect", "NODES", "minimum number of nodes to wait for");
  void *table[] = {
    CMD_STANDARD_OPTIONS, file, folder, node, timeout, expect, arg_end (CMD_ARGUMENT_ERRORS_MAX)
  };
  apply_t apply = { .io = io, .timeout_s = DEFAULT_TIMEOUT_S };
  fc_snapshot_t *snapshot = NULL;
  int status;

  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (fx_parse_socket_address (node->sval[0], &apply.node) != FB_OK)
    {
      fprintf (io->err, "foxtailrun: --node: found \"%s\", allowed: IP:PORT\n", node->sval[0]);
      goto done;
    }
  apply.file = file->filename[0];
  apply.folder = folder->sval[0];
  if (timeout->count > 0)
    apply.timeout_s = (uint32_t)MAX (timeout->ival[0], 0);
  if (expect->count > 0)
    apply.nodes_min = (size_t)MAX (expect->ival[0], 0);
  snapshot = cmd_load_document (apply.file, io);
  status = snapshot ? apply_document (&apply, snapshot) : CMD_EXIT_PROBLEMS;
done:
  fc_release_snapshot (snapshot);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_apply
    = { "apply", "check a document, publish it and wait until it is in force", run_apply };
