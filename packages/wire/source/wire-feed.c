#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <string.h>

#define FEED_FORMAT 1
#define FEED_FIELDS 11

/* With the known position of the document. Requests omit it, so that relays of earlier builds
 * accept them during a rolling replacement. */
#define FEED_FIELDS_WITH_KNOWN_POSITION (FEED_FIELDS + 1)

/* With the known position, the eras of all three positions and the document's number. Builds
 * without eras refuse such a message: they would take revisions of two eras for one sequence.
 */
#define FEED_FIELDS_WITH_ERAS (FEED_FIELDS_WITH_KNOWN_POSITION + 4)

/* With all of these and the set of evacuated zones. Builds without evacuation refuse such a
 * message and read the store: their relay's set would be lost. */
#define FEED_FIELDS_WITH_EVACUATIONS (FEED_FIELDS_WITH_ERAS + 1)

/* Elements before the zones: era and revision of the position up to which the set is known. */
#define EVACUATIONS_HEADER_FIELDS 2

/* Elements of one endpoint: the member and its slots or, if the member's id stands for a longer
 * one, an array of both. Builds that don't know the array refuse such a message and read the
 * store. */
#define ENDPOINT_FIELDS 2
#define LONG_ID_FIELDS 2

static bool
has_eras (const fw_feed_message_t *message)
{
  return message->position.era > 0 || message->document_position.era > 0
         || message->document_known_position.era > 0;
}

static size_t
count_fields (const fw_feed_message_t *message)
{
  if (message->has_evacuations)
    return FEED_FIELDS_WITH_EVACUATIONS;
  if (has_eras (message))
    return FEED_FIELDS_WITH_ERAS;
  return message->document_known_position.revision > 0 ? FEED_FIELDS_WITH_KNOWN_POSITION
                                                       : FEED_FIELDS;
}

static void
pack_evacuations (msgpack_packer *packer, const fw_feed_message_t *message)
{
  msgpack_pack_array (packer, EVACUATIONS_HEADER_FIELDS + message->evacuation_count);
  msgpack_pack_uint64 (packer, message->evacuations_position.era);
  msgpack_pack_uint64 (packer, message->evacuations_position.revision);
  for (size_t i = 0; i < message->evacuation_count; i++)
    fw_pack_name (packer, &message->evacuated_zones[i]);
}

static void
pack_endpoint (msgpack_packer *packer, const fw_endpoint_t *endpoint)
{
  fw_pack_member (packer, &endpoint->member);
  if (endpoint->full_id.len > 0)
    msgpack_pack_array (packer, LONG_ID_FIELDS);
  msgpack_pack_uint64 (packer, endpoint->slots);
  if (endpoint->full_id.len > 0)
    fw_pack_str (packer, (fb_str_t){ endpoint->full_id.data, endpoint->full_id.len });
}

uint8_t *
fw_encode_feed (const fw_feed_message_t *message, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t field_count = count_fields (message);
  uint8_t *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, field_count);
  msgpack_pack_uint64 (&packer, FEED_FORMAT);
  msgpack_pack_uint64 (&packer, (uint64_t)message->kind);
  msgpack_pack_uint64 (&packer, message->feed_id);
  msgpack_pack_uint64 (&packer, message->sequence);
  msgpack_pack_uint64 (&packer, message->position.revision);
  msgpack_pack_uint64 (&packer, message->document_position.revision);
  fw_pack_bin (&packer, message->digest.bytes, FB_DIGEST_LEN);
  fw_pack_bin (&packer, message->delta.data, message->delta.len);
  msgpack_pack_uint64 (&packer, message->age_us);
  msgpack_pack_uint64 (&packer, message->request_wait_us);
  msgpack_pack_array (&packer, 1 + ENDPOINT_FIELDS * message->endpoint_count);
  msgpack_pack_uint64 (&packer, message->complete);
  for (size_t i = 0; i < message->endpoint_count; i++)
    pack_endpoint (&packer, &message->endpoints[i]);
  if (field_count >= FEED_FIELDS_WITH_KNOWN_POSITION)
    msgpack_pack_uint64 (&packer, message->document_known_position.revision);
  if (field_count >= FEED_FIELDS_WITH_ERAS)
    {
      msgpack_pack_uint64 (&packer, message->position.era);
      msgpack_pack_uint64 (&packer, message->document_position.era);
      msgpack_pack_uint64 (&packer, message->document_known_position.era);
      msgpack_pack_uint64 (&packer, message->document_number);
    }
  if (field_count >= FEED_FIELDS_WITH_EVACUATIONS)
    pack_evacuations (&packer, message);
  copy = g_memdup2 (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

static void
read_endpoint (fw_reader_t *list, fw_endpoint_t *endpoint)
{
  fw_reader_t fields;

  fw_read_member (list, &endpoint->member);
  if (!fw_is_array (list))
    {
      endpoint->slots = (uint32_t)fw_read_u64 (list, UINT32_MAX);
      return;
    }
  fields = fw_start_reader (fw_read_array (list, LONG_ID_FIELDS));
  endpoint->slots = (uint32_t)fw_read_u64 (&fields, UINT32_MAX);
  fw_set_instance_id (&endpoint->full_id, fw_read_str (&fields, FW_INSTANCE_ID_MAX));
  if (!fw_finish_reader (&fields) || endpoint->full_id.len == 0)
    list->failed = true;
}

static bool
read_endpoints (fw_reader_t *list, fw_feed_message_t *message)
{
  if (list->count % ENDPOINT_FIELDS != 1)
    return false;
  message->complete = fw_read_u64 (list, 1) == 1;
  message->endpoint_count = list->count / ENDPOINT_FIELDS;
  message->endpoints = g_new0 (fw_endpoint_t, message->endpoint_count);
  for (size_t i = 0; i < message->endpoint_count; i++)
    read_endpoint (list, &message->endpoints[i]);
  return fw_finish_reader (list);
}

static bool
read_evacuations (const msgpack_object *object, fw_feed_message_t *message)
{
  fw_reader_t list = fw_start_reader (object);

  if (message->kind != FW_FEED_UPDATE)
    return false;
  message->has_evacuations = true;
  message->evacuations_position.era = fw_read_u64 (&list, UINT64_MAX);
  message->evacuations_position.revision = fw_read_u64 (&list, UINT64_MAX);
  if (list.failed)
    return false;
  message->evacuation_count = list.count - EVACUATIONS_HEADER_FIELDS;
  message->evacuated_zones = g_new0 (fb_name_t, message->evacuation_count);
  for (size_t i = 0; i < message->evacuation_count; i++)
    fw_read_name (&list, &message->evacuated_zones[i]);
  return fw_finish_reader (&list);
}

/* Reads the fields after the endpoints. */
static bool
read_optional_fields (fw_reader_t *reader, fw_feed_message_t *message)
{
  message->document_known_position = message->document_position;
  if (reader->count >= FEED_FIELDS_WITH_KNOWN_POSITION)
    message->document_known_position.revision = fw_read_u64 (reader, UINT64_MAX);
  if (reader->count < FEED_FIELDS_WITH_ERAS)
    return reader->count == FEED_FIELDS || message->document_known_position.revision > 0;
  message->position.era = fw_read_u64 (reader, UINT64_MAX);
  message->document_position.era = fw_read_u64 (reader, UINT64_MAX);
  message->document_known_position.era = fw_read_u64 (reader, UINT64_MAX);
  message->document_number = fw_read_u64 (reader, UINT64_MAX);
  if (reader->count < FEED_FIELDS_WITH_EVACUATIONS)
    return has_eras (message);
  return read_evacuations (
      fw_read_array (reader, EVACUATIONS_HEADER_FIELDS + (size_t)FW_EVACUATIONS_MAX), message);
}

static bool
read_feed (const msgpack_object *object, fw_feed_message_t *message)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t list;

  if (fw_read_u64 (&reader, FEED_FORMAT) != FEED_FORMAT)
    return false;
  message->kind = (fw_feed_message_kind_t)fw_read_u64 (&reader, FW_FEED_UNAVAILABLE);
  message->feed_id = fw_read_u64 (&reader, UINT64_MAX);
  message->sequence = fw_read_u64 (&reader, UINT64_MAX);
  message->position.revision = fw_read_u64 (&reader, UINT64_MAX);
  message->document_position.revision = fw_read_u64 (&reader, UINT64_MAX);
  fw_read_digest (&reader, &message->digest);
  message->delta = fw_read_bin (&reader, FW_DELTA_MAX);
  message->age_us = fw_read_u64 (&reader, INT64_MAX / 1000);
  message->request_wait_us = fw_read_u64 (&reader, INT64_MAX / 1000);
  list = fw_start_reader (
      fw_read_array (&reader, 1 + ENDPOINT_FIELDS * (size_t)FW_ENDPOINTS_MAX));
  if (!read_optional_fields (&reader, message))
    return false;
  return fw_finish_reader (&reader) && message->kind >= FW_FEED_REQUEST
         && read_endpoints (&list, message);
}

fb_status_t
fw_decode_feed (fb_bytes_t bytes, fw_feed_message_t *message)
{
  msgpack_unpacked unpacked;
  bool valid;

  memset (message, 0, sizeof *message);
  valid = fw_unpack (bytes, &unpacked) && read_feed (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    fw_clear_feed (message);
  return valid ? FB_OK : FB_INVALID;
}

void
fw_clear_feed (fw_feed_message_t *message)
{
  g_free (message->endpoints);
  message->endpoints = NULL;
  message->endpoint_count = 0;
  g_free (message->evacuated_zones);
  message->evacuated_zones = NULL;
  message->evacuation_count = 0;
}
