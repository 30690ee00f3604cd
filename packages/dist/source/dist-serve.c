/* Responds to requests of other nodes within bounded rates. */
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

  /* Applying a received frame may have removed its base from the history. */
  if (find_encoding (node, base) != NULL
      || (!fd_is_zero_digest (base) && !fd_find_document (node, base, &document)))
    {
      g_free (frame);
      return;
    }
  FB_INVARIANT (node->encoding_count <= FD_HISTORY_MAX);
  node->encodings[node->encoding_count++] = (fd_encoding_t){ *base, frame, length };
}

/* Returns the document in force encoded against BASE, from the cache if possible. */
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
consume_response_token (fd_node_t *node, fd_bucket_t *bucket)
{
  if (fd_consume_token (bucket, fb_read_clock (node->clock)))
    return true;
  fb_add_counter (node->counters.responses_dropped, 1);
  return false;
}

void
fd_handle_summary_request (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t response = fd_make_message (node, FW_SUMMARY, message->request_id);

  if (!consume_response_token (node, &node->response_bucket))
    return;
  response.ready = fd_is_ready (node);
  node->hooks.send (to, &response, node->hooks.user);
}

/* Sets the payload of RESPONSE, unless nothing is to be sent or the rate of full documents
 * is used up. */
static void
set_payload (fd_node_t *node, const fb_digest_t *requester_digest, fw_control_t *response)
{
  fb_time_t now = fb_read_clock (node->clock);
  const fd_encoding_t *encoding;
  fb_bytes_t document;
  fb_digest_t base = *requester_digest;

  if (node->snapshot == NULL
      || fb_compare_digests (requester_digest, &node->version.digest) == 0)
    return;
  if (!fd_find_document (node, requester_digest, &document))
    base = (fb_digest_t){ { 0 } };
  if (fd_is_zero_digest (&base) && !fd_has_token (&node->full_document_bucket, now))
    return;
  encoding = encode_document (node, &base);
  if (fd_is_zero_digest (&base) || encoding->length > FD_SMALL_DELTA_MAX)
    {
      if (!fd_consume_token (&node->full_document_bucket, now))
        return;
      fb_add_counter (node->counters.served_full, 1);
    }
  else
    fb_add_counter (node->counters.served_delta, 1);
  response->base_digest = base;
  response->payload = (fb_bytes_t){ encoding->frame, encoding->length };
}

/* A response without payload makes the requester try another announcer at once. */
void
fd_handle_fetch (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t response = fd_make_message (node, FW_DOCUMENT, message->request_id);

  if (!consume_response_token (node, &node->response_bucket))
    return;
  set_payload (node, &message->base_digest, &response);
  node->hooks.send (to, &response, node->hooks.user);
}

typedef struct
{
  size_t visited_count;
  size_t first;
  size_t count;
  fw_member_t members[FW_MEMBERS_PER_PAGE_MAX];
} page_t;

static bool
add_to_page (const fw_member_t *member, void *user)
{
  page_t *page = user;

  if (page->visited_count >= page->first && page->count < FW_MEMBERS_PER_PAGE_MAX)
    page->members[page->count++] = *member;
  page->visited_count++;
  return true;
}

void
fd_handle_members_request (fd_node_t *node, const fw_member_t *to, const fw_control_t *message)
{
  fw_control_t response = fd_make_message (node, FW_MEMBERS, message->request_id);
  page_t *page;

  if (!consume_response_token (node, &node->page_bucket))
    return;
  page = g_new0 (page_t, 1);
  page->first = (size_t)message->page * FW_MEMBERS_PER_PAGE_MAX;
  fm_visit_members (node->members, add_to_page, page);
  response.page = message->page;
  response.page_count = (uint32_t)((page->visited_count + FW_MEMBERS_PER_PAGE_MAX - 1)
                                   / FW_MEMBERS_PER_PAGE_MAX);
  response.members = page->members;
  response.member_count = page->count;
  node->hooks.send (to, &response, node->hooks.user);
  g_free (page);
}
