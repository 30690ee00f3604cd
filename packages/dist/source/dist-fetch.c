/* Fetches versions above the one in force from the peers that announce them. */
#include "dist-state.h"
#include <foxtailrun/config/delta.h>

static fd_announcer_t *
find_announcer (fd_node_t *node, const fb_name_t *id)
{
  for (size_t i = 0; i < node->announcer_count; i++)
    {
      if (fb_equal_name (&node->announcers[i].id, id))
        return &node->announcers[i];
    }
  return NULL;
}

static void
remove_announcer (fd_node_t *node, size_t index)
{
  node->announcers[index] = node->announcers[--node->announcer_count];
}

void
fd_remove_stale_announcers (fd_node_t *node)
{
  for (size_t i = node->announcer_count; i > 0; i--)
    {
      const fd_announcer_t *announcer = &node->announcers[i - 1];

      if (fb_compare_versions (&announcer->version, &node->version) <= 0
          || fd_is_refused (node, &announcer->version))
        remove_announcer (node, i - 1);
    }
}

/* Returns whether a fetch from A precedes one from B: the higher version first, then fewer
 * attempts. */
static bool
has_priority (const fd_announcer_t *a, const fd_announcer_t *b)
{
  int order = fb_compare_versions (&a->version, &b->version);

  return order != 0 ? order > 0 : a->attempts < b->attempts;
}

/* Returns the next announcer to fetch from, or NULL; removes those dead or out of attempts. */
static fd_announcer_t *
choose_announcer (fd_node_t *node, fb_time_t now)
{
  fd_announcer_t *best = NULL;

  for (size_t i = node->announcer_count; i > 0; i--)
    {
      const fd_announcer_t *announcer = &node->announcers[i - 1];
      const fw_member_t *member = fm_find_member (node->members, &announcer->id);
      bool is_due
          = announcer->attempts == 0 || now - announcer->last_fetch_at >= FD_FETCH_TIMEOUT;

      if (member == NULL || member->state == FW_DEAD
          || (announcer->attempts >= FD_FETCH_ATTEMPTS_MAX && is_due))
        remove_announcer (node, i - 1);
    }
  for (size_t i = 0; i < node->announcer_count; i++)
    {
      fd_announcer_t *announcer = &node->announcers[i];

      if (announcer->attempts > 0 && now - announcer->last_fetch_at < FD_FETCH_TIMEOUT)
        continue;
      if (best == NULL || has_priority (announcer, best))
        best = announcer;
    }
  return best;
}

static void
start_fetch (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  fd_announcer_t *announcer;
  fw_control_t message;

  if (node->fetch.outstanding)
    return;
  announcer = choose_announcer (node, now);
  if (announcer == NULL)
    return;
  announcer->attempts++;
  announcer->last_fetch_at = now;
  message = fd_make_message (node, FW_FETCH, fd_next_request_id (node));
  if (!node->fetch.full_only)
    message.base_digest = node->version.digest;
  node->fetch.outstanding = true;
  node->fetch.request_id = message.request_id;
  node->fetch.peer = announcer->id;
  node->fetch.deadline = now + FD_FETCH_TIMEOUT;
  fb_add_counter (node->counters.fetches, 1);
  node->hooks.send (fm_find_member (node->members, &announcer->id), &message, node->hooks.user);
}

void
fd_record_announcer (fd_node_t *node, const fb_name_t *id, const fb_version_t *version)
{
  fd_announcer_t *announcer = find_announcer (node, id);

  if (announcer == NULL)
    {
      size_t slot = node->announcer_count;

      if (slot < FD_ANNOUNCERS_MAX)
        node->announcer_count++;
      else
        {
          slot = 0;
          for (size_t i = 1; i < node->announcer_count; i++)
            {
              if (has_priority (&node->announcers[slot], &node->announcers[i]))
                slot = i;
            }
          if (fb_compare_versions (version, &node->announcers[slot].version) <= 0)
            return;
        }
      announcer = &node->announcers[slot];
      *announcer = (fd_announcer_t){ .id = *id };
    }
  announcer->version = *version;
  start_fetch (node);
}

static fd_document_outcome_t
apply_payload (fd_node_t *node, const fw_control_t *message)
{
  fb_bytes_t base = { NULL, 0 };
  uint8_t *document = NULL;
  size_t length = 0;
  fd_document_outcome_t outcome;

  if (!fd_is_zero_digest (&message->base_digest)
      && !fd_find_document (node, &message->base_digest, &base))
    return FD_DOCUMENT_CORRUPT;
  if (fc_decode_delta (base, message->payload, FC_DOCUMENT_MAX, &document, &length) != FB_OK)
    return FD_DOCUMENT_CORRUPT;
  outcome = fd_apply_document (node, &message->version, (fb_bytes_t){ document, length });
  if (outcome == FD_DOCUMENT_APPLIED)
    fd_cache_encoding (node, &message->base_digest,
                       g_memdup2 (message->payload.data, message->payload.len),
                       message->payload.len);
  g_free (document);
  return outcome;
}

/* Also accepts a document whose fetch timed out: on a slow path all may be late. */
void
fd_handle_document (fd_node_t *node, const fw_control_t *message)
{
  if (node->fetch.outstanding && message->request_id == node->fetch.request_id
      && fb_equal_name (&message->sender, &node->fetch.peer))
    node->fetch.outstanding = false;
  if (message->payload.len > 0 && message->version.number > 0
      && fb_compare_versions (&message->version, &node->version) > 0
      && !fd_is_refused (node, &message->version))
    {
      fd_document_outcome_t outcome = apply_payload (node, message);

      if (outcome == FD_DOCUMENT_CORRUPT)
        {
          fb_add_counter (node->counters.invalid_messages, 1);
          node->fetch.full_only = true;
        }
      fd_remove_stale_announcers (node);
    }
  start_fetch (node);
}

void
fd_tick_fetch (fd_node_t *node)
{
  if (node->fetch.outstanding && fb_read_clock (node->clock) >= node->fetch.deadline)
    {
      node->fetch.outstanding = false;
      fb_add_counter (node->counters.fetch_timeouts, 1);
    }
  start_fetch (node);
}
