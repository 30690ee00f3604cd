/* Answers the questions of other nodes within bounded rates. */
#include "dist-state.h"
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/config/delta.h>

void
fd_clear_encodings (fd_node_t *node)
{
  for (size_t i = 0; i < node->encoding_count; i++)
    g_free (node->encodings[i].frame);
  node->encoding_count = 0;
}

static const fd_encoding_t *
find_encoding (const fd_node_t *node, const fb_digest_t *base)
{
  for (size_t i = 0; i < node->encoding_count; i++)
    {
      if (fb_compare_digests (&node->encodings[i].base, base) == 0)
        return &node->encodings[i];
    }
  return NULL;
}

void
fd_cache_encoding (fd_node_t *node, const fb_digest_t *base, uint8_t *frame, size_t length)
{
  fb_bytes_t document;

  /* The base of a received frame may have left the history when the frame was applied. */
  if (find_encoding (node, base) != NULL
      || (!fd_is_zero_digest (base) && !fd_find_document (node, base, &document)))
    {
      g_free (frame);
      return;
    }
  FB_INVARIANT (node->encoding_count <= FD_HISTORY_MAX);
  node->encodings[node->encoding_count++] = (fd_encoding_t){ *base, frame, length };
}

/* Returns the document in force encoded against BASE, from the cache if it is there. */
static const fd_encoding_t *
encode_document (fd_node_t *node, const fb_digest_t *base)
{
  const fd_encoding_t *encoding = find_encoding (node, base);
  fb_bytes_t prefix = { NULL, 0 };
  uint8_t *frame;
  size_t length;

  if (encoding != NULL)
    return encoding;
  if (!fd_is_zero_digest (base))
    fd_find_document (node, base, &prefix);
  frame = fc_encode_delta (prefix, fc_get_document (node->snapshot), &length);
  fd_cache_encoding (node, base, frame, length);
  return find_encoding (node, base);
}

static bool
take_answer (fd_node_t *node, fd_bucket_t *bucket)
{
  if (fd_take_token (bucket, fb_read_clock (node->clock)))
    return true;
  fb_add_counter (node->counters.answers_dropped, 1);
  return false;
}

void
fd_answer_summary (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t answer = fd_make_message (node, FW_SUMMARY, message->request_id);

  if (!take_answer (node, &node->answers))
    return;
  answer.ready = fd_is_ready (node);
  node->hooks.send (to, &answer, node->hooks.user);
}

/* Fills the payload of ANSWER unless there is nothing to send or too many whole documents went
 * out in the last second. */
static void
fill_document (fd_node_t *node, const fb_digest_t *held, fw_control_t *answer)
{
  fb_time_t now = fb_read_clock (node->clock);
  const fd_encoding_t *encoding;
  fb_bytes_t document;
  fb_digest_t base = *held;

  if (node->snapshot == NULL || fb_compare_digests (held, &node->version.digest) == 0)
    return;
  if (!fd_find_document (node, held, &document))
    base = (fb_digest_t){ { 0 } };
  if (fd_is_zero_digest (&base) && !fd_has_token (&node->wholes, now))
    return;
  encoding = encode_document (node, &base);
  if (fd_is_zero_digest (&base) || encoding->length > FD_SMALL_FRAME_MAX)
    {
      if (!fd_take_token (&node->wholes, now))
        return;
      fb_add_counter (node->counters.served_whole, 1);
    }
  else
    fb_add_counter (node->counters.served_delta, 1);
  answer->base_digest = base;
  answer->payload = (fb_bytes_t){ encoding->frame, encoding->length };
}

/* An answer without payload tells the asker at once to try another announcer. */
void
fd_answer_fetch (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t answer = fd_make_message (node, FW_DOCUMENT, message->request_id);

  if (!take_answer (node, &node->answers))
    return;
  fill_document (node, &message->base_digest, &answer);
  node->hooks.send (to, &answer, node->hooks.user);
}

typedef struct
{
  size_t index;
  size_t first;
  size_t count;
  fw_member_t members[FW_MEMBERS_PER_PAGE_MAX];
} page_t;

static bool
add_to_page (const fw_member_t *member, void *user)
{
  page_t *page = user;

  if (page->index >= page->first && page->count < FW_MEMBERS_PER_PAGE_MAX)
    page->members[page->count++] = *member;
  page->index++;
  return true;
}

void
fd_answer_members (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t answer = fd_make_message (node, FW_MEMBERS, message->request_id);
  page_t *page;

  if (!take_answer (node, &node->pages))
    return;
  page = g_new0 (page_t, 1);
  page->first = (size_t)message->page * FW_MEMBERS_PER_PAGE_MAX;
  fm_visit_members (node->members, add_to_page, page);
  answer.page = message->page;
  answer.page_count
      = (uint32_t)((page->index + FW_MEMBERS_PER_PAGE_MAX - 1) / FW_MEMBERS_PER_PAGE_MAX);
  answer.members = page->members;
  answer.member_count = page->count;
  node->hooks.send (to, &answer, node->hooks.user);
  g_free (page);
}
