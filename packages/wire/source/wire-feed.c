#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <string.h>

#define NEWS_FORMAT 1
#define NEWS_FIELDS 11

/* Elements of one endpoint: the member and its slots. */
#define ENDPOINT_FIELDS 2

uint8_t *
fw_encode_feed (const fw_feed_message_t *news, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint8_t *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, NEWS_FIELDS);
  msgpack_pack_uint64 (&packer, NEWS_FORMAT);
  msgpack_pack_uint64 (&packer, (uint64_t)news->kind);
  msgpack_pack_uint64 (&packer, news->feed_id);
  msgpack_pack_uint64 (&packer, news->sequence);
  msgpack_pack_uint64 (&packer, news->position);
  msgpack_pack_uint64 (&packer, news->document_position);
  fw_pack_bin (&packer, news->digest.bytes, FB_DIGEST_LEN);
  fw_pack_bin (&packer, news->delta.data, news->delta.len);
  msgpack_pack_uint64 (&packer, news->age_us);
  msgpack_pack_uint64 (&packer, news->request_wait_us);
  msgpack_pack_array (&packer, 1 + ENDPOINT_FIELDS * news->endpoint_count);
  msgpack_pack_uint64 (&packer, news->complete);
  for (size_t i = 0; i < news->endpoint_count; i++)
    {
      fw_pack_member (&packer, &news->endpoints[i].member);
      msgpack_pack_uint64 (&packer, news->endpoints[i].slots);
    }
  copy = g_memdup2 (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

static bool
read_endpoints (fw_reader_t *list, fw_feed_message_t *news)
{
  if (list->count % ENDPOINT_FIELDS != 1)
    return false;
  news->complete = fw_read_u64 (list, 1) == 1;
  news->endpoint_count = list->count / ENDPOINT_FIELDS;
  news->endpoints = g_new0 (fw_endpoint_t, news->endpoint_count);
  for (size_t i = 0; i < news->endpoint_count; i++)
    {
      fw_read_member (list, &news->endpoints[i].member);
      news->endpoints[i].slots = (uint32_t)fw_read_u64 (list, UINT32_MAX);
    }
  return fw_finish_reader (list);
}

static bool
read_news (const msgpack_object *object, fw_feed_message_t *news)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t list;

  if (fw_read_u64 (&reader, NEWS_FORMAT) != NEWS_FORMAT)
    return false;
  news->kind = (fw_feed_message_kind_t)fw_read_u64 (&reader, FW_FEED_UNAVAILABLE);
  news->feed_id = fw_read_u64 (&reader, UINT64_MAX);
  news->sequence = fw_read_u64 (&reader, UINT64_MAX);
  news->position = fw_read_u64 (&reader, UINT64_MAX);
  news->document_position = fw_read_u64 (&reader, UINT64_MAX);
  fw_read_digest (&reader, &news->digest);
  news->delta = fw_read_bin (&reader, FW_DELTA_MAX);
  news->age_us = fw_read_u64 (&reader, INT64_MAX / 1000);
  news->request_wait_us = fw_read_u64 (&reader, INT64_MAX / 1000);
  list = fw_start_reader (
      fw_read_array (&reader, 1 + ENDPOINT_FIELDS * (size_t)FW_ENDPOINTS_MAX));
  return fw_finish_reader (&reader) && news->kind >= FW_FEED_REQUEST
         && read_endpoints (&list, news);
}

fb_status_t
fw_decode_feed (fb_bytes_t bytes, fw_feed_message_t *news)
{
  msgpack_unpacked unpacked;
  bool good;

  memset (news, 0, sizeof *news);
  good = fw_unpack (bytes, &unpacked) && read_news (&unpacked.data, news);
  msgpack_unpacked_destroy (&unpacked);
  if (!good)
    fw_clear_feed (news);
  return good ? FB_OK : FB_INVALID;
}

void
fw_clear_feed (fw_feed_message_t *news)
{
  g_free (news->endpoints);
  news->endpoints = NULL;
  news->endpoint_count = 0;
}
