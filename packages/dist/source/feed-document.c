/* Configuration documents that a feed stores, and deltas between them. */
#include "feed-state.h"
#include <foxtailrun/config/delta.h>
#include <foxtailrun/config/snapshot.h>

/* Of all documents that a feed keeps. A node without the base of a relay's delta reads the
 * store instead. */
#define DOCUMENTS_BYTES_MAX ((size_t)4 * 1024 * 1024)

static fb_bytes_t
view_bytes (GBytes *bytes)
{
  gsize len = 0;
  const uint8_t *data = bytes ? g_bytes_get_data (bytes, &len) : NULL;

  return (fb_bytes_t){ data, len };
}

static void
clear_document (fd_document_t *document)
{
  g_clear_pointer (&document->text, g_bytes_unref);
  g_clear_pointer (&document->delta, g_bytes_unref);
}

/* Records that a document of POSITION is not added. The newest one is read again by each full
 * read and is not worth a line. */
static void
record_ignored_document (fd_feed_t *feed, fb_position_t position, fb_bytes_t text)
{
  fb_digest_t digest = fb_compute_digest (text);

  if (fb_compare_digests (&digest, &feed->documents[0].digest) == 0)
    return;
  fb_add_counter (feed->ignored_documents, 1);
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE,
          "document ignored: not newer than the one held", FB_NUMBER ("era", position.era),
          FB_NUMBER ("position", position.revision),
          FB_NUMBER ("held_era", feed->documents[0].position.era),
          FB_NUMBER ("held_position", feed->documents[0].position.revision),
          FB_NUMBER ("bytes", text.len));
}

bool
fd_is_newer_document (fb_position_t position, uint64_t number, fb_position_t other_position,
                      uint64_t other_number)
{
  if (position.era != other_position.era && number != other_number)
    return number > other_number;
  return fb_compare_positions (position, other_position) > 0;
}

/* Drops the oldest documents while all take more than DOCUMENTS_BYTES_MAX. */
static void
drop_large_documents (fd_feed_t *feed)
{
  size_t bytes = view_bytes (feed->documents[0].text).len;

  for (size_t i = 1; i < FD_DOCUMENTS_MAX; i++)
    {
      bytes += view_bytes (feed->documents[i].text).len;
      if (bytes > DOCUMENTS_BYTES_MAX)
        clear_document (&feed->documents[i]);
    }
}

bool
fd_add_document (fd_feed_t *feed, fb_position_t position, uint64_t number, fb_bytes_t text)
{
  const fd_document_t *newest = &feed->documents[0];

  if (!fd_is_newer_document (position, number, newest->position, newest->number))
    {
      record_ignored_document (feed, position, text);
      return false;
    }
  clear_document (&feed->documents[FD_DOCUMENTS_MAX - 1]);
  for (size_t i = FD_DOCUMENTS_MAX - 1; i > 0; i--)
    {
      feed->documents[i] = feed->documents[i - 1];
      g_clear_pointer (&feed->documents[i].delta, g_bytes_unref);
    }
  feed->documents[0] = (fd_document_t){ .position = position,
                                        .number = number,
                                        .digest = fb_compute_digest (text),
                                        .text = g_bytes_new (text.data, text.len) };
  drop_large_documents (feed);
  return true;
}

/* Returns the frame from DOCUMENT to the newest one, of that in full if it is the newest
 * itself; empty if it is too large to send. */
static fb_bytes_t
get_delta (fd_feed_t *feed, fd_document_t *document)
{
  fb_bytes_t base = view_bytes (document == &feed->documents[0] ? NULL : document->text);
  size_t len;
  uint8_t *frame;

  if (!document->delta)
    {
      frame = fc_encode_delta (base, view_bytes (feed->documents[0].text), &len);
      document->delta = g_bytes_new_take (frame, len);
    }
  if (g_bytes_get_size (document->delta) <= FW_DELTA_MAX)
    return view_bytes (document->delta);
  return (fb_bytes_t){ NULL, 0 };
}

fb_bytes_t
fd_find_delta (fd_feed_t *feed, fb_position_t position)
{
  for (size_t i = 1; i < FD_DOCUMENTS_MAX; i++)
    {
      fd_document_t *document = &feed->documents[i];

      if (document->text && fb_compare_positions (document->position, position) == 0)
        return get_delta (feed, document);
    }
  if (feed->documents[0].position.era < feed->position.era)
    return get_delta (feed, &feed->documents[0]);
  return (fb_bytes_t){ NULL, 0 };
}

bool
fd_apply_delta (fd_feed_t *feed, const fw_feed_message_t *update)
{
  uint8_t *text = NULL;
  size_t len = 0;
  fb_digest_t found;
  bool same;

  if (fc_decode_delta (view_bytes (feed->documents[0].text), update->delta, FC_TRANSLATION_MAX,
                       &text, &len)
      != FB_OK)
    return false;
  found = fb_compute_digest ((fb_bytes_t){ text, len });
  same = fb_compare_digests (&found, &update->digest) == 0;
  if (same)
    fd_add_document (feed, update->document_position, update->document_number,
                     (fb_bytes_t){ text, len });
  g_free (text);
  return same;
}

void
fd_refuse_document (fd_feed_t *feed)
{
  feed->documents[0].number = 0;
}

void
fd_clear_feed_documents (fd_feed_t *feed)
{
  for (size_t i = 0; i < FD_DOCUMENTS_MAX; i++)
    clear_document (&feed->documents[i]);
}

fb_bytes_t
fd_get_document (const fd_feed_t *feed, fb_position_t *position)
{
  *position = feed->documents[0].position;
  return view_bytes (feed->documents[0].text);
}
