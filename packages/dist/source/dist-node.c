/* The distribution state of one node and its entry points. */
#include "dist-state.h"
#include <string.h>

bool
fd_is_zero_digest (const fb_digest_t *digest)
{
  static const fb_digest_t zero;

  return fb_compare_digests (digest, &zero) == 0;
}

uint64_t
fd_next_request_id (fd_node_t *node)
{
  return node->next_request_id++;
}

fw_control_t
fd_make_message (const fd_node_t *node, fw_control_kind_t kind, uint64_t request_id)
{
  fw_control_t message = { .kind = kind, .request_id = request_id, .version = node->version };

  message.sender = fm_get_self (node->members)->id;
  return message;
}

static void
find_counters (fd_counters_t *counters, fb_counters_t *table)
{
  counters->applied = fb_find_counter (table, "dist_applied", "");
  counters->revisions_raised = fb_find_counter (table, "dist_revision_raised", "");
  counters->refused = fb_find_counter (table, "dist_refused", "");
  counters->claim_mismatches = fb_find_counter (table, "dist_claim_mismatches", "");
  counters->digest_mismatches = fb_find_counter (table, "dist_digest_mismatches", "");
  counters->invalid_messages = fb_find_counter (table, "dist_bad_messages", "");
  counters->unknown_senders = fb_find_counter (table, "dist_unknown_senders", "");
  counters->source_reads = fb_find_counter (table, "dist_source_reads", "");
  counters->source_failures = fb_find_counter (table, "dist_source_failures", "");
  counters->source_stale = fb_find_counter (table, "dist_source_stale", "");
  counters->fetches = fb_find_counter (table, "dist_fetches", "");
  counters->fetch_timeouts = fb_find_counter (table, "dist_fetch_timeouts", "");
  counters->served_full = fb_find_counter (table, "dist_served", "kind=\"whole\"");
  counters->served_delta = fb_find_counter (table, "dist_served", "kind=\"delta\"");
  counters->responses_dropped = fb_find_counter (table, "dist_answers_dropped", "");
  counters->pauses = fb_find_counter (table, "dist_pauses", "");
  counters->joins = fb_find_counter (table, "dist_joins", "");
  counters->ready = fb_find_counter (table, "dist_ready", "");
  counters->version = fb_find_counter (table, "dist_version", "");
}

fd_node_t *
fd_create_node (fm_table_t *members, uint32_t seed, const fb_clock_t *clock,
                fb_counters_t *counters, fb_log_t *log, const fd_hooks_t *hooks)
{
  fd_node_t *node = g_new0 (fd_node_t, 1);
  fb_time_t now = fb_read_clock (clock);

  node->members = members;
  node->clock = clock;
  node->log = log;
  node->hooks = *hooks;
  node->limits = fc_get_document_limits ();
  node->random = g_rand_new_with_seed (seed);
  node->next_request_id = ((uint64_t)g_rand_int (node->random) << 32) + 1;
  find_counters (&node->counters, counters);
  node->response_bucket = fd_make_bucket (FD_RESPONSES_PER_S, FD_RESPONSES_PER_S, now);
  node->page_bucket = fd_make_bucket (FD_MEMBER_PAGES_PER_S, FD_MEMBER_PAGES_PER_S, now);
  node->full_document_bucket
      = fd_make_bucket (FD_FULL_DOCUMENTS_PER_S, FD_FULL_DOCUMENTS_PER_S, now);
  node->source.call_bucket = fd_make_bucket (FD_SOURCE_CALLS_PER_S, FD_SOURCE_CALL_BURST, now);
  node->source.reader_checked_at = now - FD_READER_CHECK_PERIOD;
  return node;
}

void
fd_set_standalone (fd_node_t *node)
{
  node->standalone = true;
}

void
fd_set_limits (fd_node_t *node, const fc_limits_t *limits)
{
  node->limits = limits;
}

void
fd_destroy_node (fd_node_t *node)
{
  if (node == NULL)
    return;
  fd_clear_encodings (node);
  fd_clear_documents (node);
  g_rand_free (node->random);
  g_free (node);
}

bool
fd_is_paused (const fd_node_t *node)
{
  return node->started
         && fb_read_clock (node->clock) - node->last_tick_at
                > FD_TICK_PERIOD + FD_PAUSE_THRESHOLD;
}

/* Called at each entry point: a message may come before the first tick after a pause. */
void
fd_check_pause (fd_node_t *node)
{
  if (!fd_is_paused (node))
    return;
  FB_LOG (
      node->log, FB_LOG_WARNING, "dist", "process was paused",
      FB_NUMBER ("ms", (fb_read_clock (node->clock) - node->last_tick_at) / FB_MILLISECOND));
  node->last_tick_at = fb_read_clock (node->clock);
  fb_add_counter (node->counters.pauses, 1);
  /* Peers may have applied a newer version during the pause, which a join finds out. A
   * standalone node gets it with the next response of the source. */
  if (node->standalone)
    return;
  fd_start_join (node);
  fm_raise_incarnation (node->members);
}

void
fd_handle_summary (fd_node_t *node, const fw_member_t *sender, const fb_version_t *version)
{
  /* SENDER may point into the member table, which may move when it changes. */
  fb_name_t id = sender->id;

  fd_check_pause (node);
  if (fb_compare_versions (version, &node->version) <= 0 || version->number == 0)
    return;
  if (node->snapshot != NULL
      && fb_compare_digests (&version->digest, &node->version.digest) == 0)
    fd_raise_revision (node, version);
  else if (!fd_is_refused (node, version))
    fd_record_announcer (node, &id, version);
}

void
fd_handle_message (fd_node_t *node, const fw_control_t *message)
{
  const fw_member_t *sender;

  fd_check_pause (node);
  sender = fm_find_member (node->members, &message->sender);
  /* A joining node's request may precede its first datagram; it sends it again. */
  if (sender == NULL)
    {
      fb_add_counter (node->counters.unknown_senders, 1);
      return;
    }
  switch (message->kind)
    {
    case FW_SUMMARY_REQUEST:
      fd_handle_summary_request (node, sender, message);
      break;
    case FW_SUMMARY:
      fd_handle_join_summary (node, message);
      fd_handle_summary (node, sender, &message->version);
      break;
    case FW_FETCH:
      fd_handle_fetch (node, sender, message);
      break;
    case FW_DOCUMENT:
      fd_handle_document (node, message);
      break;
    case FW_MEMBERS_REQUEST:
      fd_handle_members_request (node, sender, message);
      break;
    case FW_MEMBERS:
      fd_handle_join_members (node, message);
      break;
    default:
      fb_add_counter (node->counters.invalid_messages, 1);
    }
  fd_update_ready (node);
}

void
fd_tick (fd_node_t *node)
{
  if (node->started)
    fd_check_pause (node);
  else
    {
      node->started = true;
      fd_start_join (node);
    }
  node->last_tick_at = fb_read_clock (node->clock);
  fd_tick_join (node);
  fd_tick_source (node);
  fd_tick_fetch (node);
  fd_update_ready (node);
}

bool
fd_is_ready (const fd_node_t *node)
{
  return node->ready && (node->standalone || !fd_is_paused (node));
}

bool
fd_is_reader (const fd_node_t *node)
{
  return node->source.is_reader;
}

const fb_version_t *
fd_get_version (const fd_node_t *node)
{
  return &node->version;
}

fc_snapshot_t *
fd_get_snapshot (const fd_node_t *node)
{
  return node->snapshot;
}
