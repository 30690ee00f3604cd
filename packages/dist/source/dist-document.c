/* Checks documents and applies valid ones; records earlier and refused documents. */
#include "dist-state.h"
#include <foxtailrun/base/invariant.h>
#include <string.h>

static bool
is_same_digest (const fb_digest_t *a, const fb_digest_t *b)
{
  return fb_compare_digests (a, b) == 0;
}

bool
fd_is_refused (const fd_node_t *node, const fb_version_t *version)
{
  for (size_t i = 0; i < node->refusal_count; i++)
    {
      const fd_refusal_t *refusal = &node->refusals[i];

      if (is_same_digest (&refusal->digest, &version->digest)
          && (refusal->number == 0 || refusal->number == version->number))
        return true;
    }
  return false;
}

static void
record_refusal (fd_node_t *node, const fb_digest_t *digest, uint64_t number)
{
  node->refusals[node->next_refusal] = (fd_refusal_t){ *digest, number };
  node->next_refusal = (node->next_refusal + 1) % FD_REFUSALS_MAX;
  if (node->refusal_count < FD_REFUSALS_MAX)
    node->refusal_count++;
}

static void
refuse_document (fd_node_t *node, const fb_version_t *version, const fc_problems_t *problems)
{
  char text[FB_VERSION_TEXT_MAX];

  record_refusal (node, &version->digest, 0);
  fb_add_counter (node->counters.refused, 1);
  fb_format_version (version, text, sizeof text);
  FB_LOG (node->log, FB_LOG_WARNING, "dist", "document refused", FB_TEXT ("version", text),
          FB_NUMBER ("problems", fc_count_problems (problems)));
  node->hooks.document_refused (version, problems, node->hooks.user);
}

/* Refuses a document with another number than the peer claimed. It may be valid, so only
 * the pair of digest and number is recorded. */
static void
refuse_claimed_number (fd_node_t *node, const fb_version_t *version)
{
  char text[FB_VERSION_TEXT_MAX];

  record_refusal (node, &version->digest, version->number);
  fb_add_counter (node->counters.claim_mismatches, 1);
  fb_format_version (version, text, sizeof text);
  FB_LOG (node->log, FB_LOG_WARNING, "dist", "document carries another number than claimed",
          FB_TEXT ("version", text));
}

static void
push_history (fd_node_t *node)
{
  fb_bytes_t document;

  if (node->snapshot == NULL)
    return;
  /* Earlier documents are kept for other nodes. */
  if (node->standalone)
    {
      fc_release_snapshot (node->snapshot);
      return;
    }
  document = fc_get_document (node->snapshot);
  if (node->history_count == FD_HISTORY_MAX)
    g_free (node->history[--node->history_count].data);
  memmove (&node->history[1], &node->history[0],
           node->history_count * sizeof (fd_history_entry_t));
  node->history[0]
      = (fd_history_entry_t){ node->version.digest, g_memdup2 (document.data, document.len),
                              document.len };
  node->history_count++;
  fc_release_snapshot (node->snapshot);
}

/* Publishes the version to the membership: at once to a few members, then with each datagram.
 */
static void
announce_version (fd_node_t *node)
{
  fb_set_counter (node->counters.version, node->version.number);
  fd_remove_stale_announcers (node);
  fm_set_version (node->members, &node->version);
  fm_announce_version (node->members);
}

/* The only place that changes the document in force. Takes ownership of SNAPSHOT. */
static void
apply_snapshot (fd_node_t *node, fc_snapshot_t *snapshot, const fb_version_t *version)
{
  char text[FB_VERSION_TEXT_MAX];

  FB_INVARIANT (fb_compare_versions (version, &node->version) > 0);
  FB_INVARIANT (fc_get_version_number (snapshot) == version->number);
  push_history (node);
  fd_clear_encodings (node);
  node->snapshot = snapshot;
  node->version = *version;
  node->fetch.full_only = false;
  fb_add_counter (node->counters.applied, 1);
  fb_format_version (version, text, sizeof text);
  FB_LOG (node->log, FB_LOG_INFO, "dist", "version in force", FB_TEXT ("version", text));
  node->hooks.apply (snapshot, &node->version, node->hooks.user);
  announce_version (node);
}

fd_document_outcome_t
fd_raise_revision (fd_node_t *node, const fb_version_t *version)
{
  FB_INVARIANT (is_same_digest (&version->digest, &node->version.digest));
  if (version->number != node->version.number)
    {
      fb_add_counter (node->counters.claim_mismatches, 1);
      return FD_DOCUMENT_REFUSED;
    }
  if (version->revision <= node->version.revision)
    return FD_DOCUMENT_UNCHANGED;
  node->version.revision = version->revision;
  fb_add_counter (node->counters.revisions_raised, 1);
  announce_version (node);
  return FD_DOCUMENT_REVISION_RAISED;
}

/* Checks a document neither in force nor refused before; applies it if valid and newer. */
static fd_document_outcome_t
check_document (fd_node_t *node, fb_version_t *version, fb_bytes_t document)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = fc_check_change (node->snapshot, document, node->limits, problems);
  fd_document_outcome_t outcome = FD_DOCUMENT_REFUSED;

  if (snapshot == NULL)
    {
      refuse_document (node, version, problems);
      goto done;
    }
  if (version->number == 0)
    version->number = fc_get_version_number (snapshot);
  if (version->number != fc_get_version_number (snapshot))
    {
      refuse_claimed_number (node, version);
      goto done;
    }
  outcome = FD_DOCUMENT_STALE;
  if (fb_compare_versions (version, &node->version) <= 0)
    goto done;
  apply_snapshot (node, snapshot, version);
  snapshot = NULL;
  outcome = FD_DOCUMENT_APPLIED;

done:
  fc_release_snapshot (snapshot);
  fc_destroy_problems (problems);
  return outcome;
}

fd_document_outcome_t
fd_apply_document (fd_node_t *node, const fb_version_t *version, fb_bytes_t document)
{
  fb_digest_t digest = fb_compute_digest (document);
  fb_version_t actual = *version;
  bool is_claimed = version->number != 0;

  if (is_claimed && !is_same_digest (&digest, &version->digest))
    {
      fb_add_counter (node->counters.digest_mismatches, 1);
      return FD_DOCUMENT_CORRUPT;
    }
  actual.digest = digest;
  if (node->snapshot != NULL && is_same_digest (&digest, &node->version.digest))
    {
      if (!is_claimed)
        actual.number = node->version.number;
      return fd_raise_revision (node, &actual);
    }
  if (fd_is_refused (node, &actual))
    return FD_DOCUMENT_REFUSED;
  if (is_claimed && fb_compare_versions (&actual, &node->version) <= 0)
    return FD_DOCUMENT_STALE;
  return check_document (node, &actual, document);
}

bool
fd_find_document (const fd_node_t *node, const fb_digest_t *digest, fb_bytes_t *document)
{
  if (node->snapshot != NULL && is_same_digest (digest, &node->version.digest))
    {
      *document = fc_get_document (node->snapshot);
      return true;
    }
  for (size_t i = 0; i < node->history_count; i++)
    {
      if (!is_same_digest (digest, &node->history[i].digest))
        continue;
      *document = (fb_bytes_t){ node->history[i].data, node->history[i].length };
      return true;
    }
  return false;
}

void
fd_clear_documents (fd_node_t *node)
{
  fc_release_snapshot (node->snapshot);
  for (size_t i = 0; i < node->history_count; i++)
    g_free (node->history[i].data);
  node->history_count = 0;
}
