#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/call.h>
#include <glib.h>
#include <string.h>

#define CALL_FORMAT 5
#define CALL_FIELDS 30

/* Final HTTP status codes (RFC 9110, section 15): an answer with another one would reach the
 * caller as such. */
#define STATUS_MIN 200
#define STATUS_MAX 599

/* With the crash and the quarantine; only messages that have one of them, as earlier builds
 * refuse them during a rolling replacement. */
#define CALL_FIELDS_WITH_CRASH (CALL_FIELDS + 2)

/* With the pace fields as well; only messages that have one of them, for the same reason. The
 * fields of the crash may then be 0. */
#define CALL_FIELDS_WITH_PACE (CALL_FIELDS_WITH_CRASH + 2)

static bool
has_crash (const fw_call_t *message)
{
  return message->crash_id > 0 || message->quarantine_us > 0;
}

static bool
has_pace (const fw_call_t *message)
{
  return message->expected_service_us > 0 || message->pace_permille > 0;
}

static size_t
count_fields (const fw_call_t *message)
{
  if (has_pace (message))
    return CALL_FIELDS_WITH_PACE;
  return has_crash (message) ? CALL_FIELDS_WITH_CRASH : CALL_FIELDS;
}

uint8_t *
fw_encode_call (const fw_call_t *message, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint8_t *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count_fields (message));
  msgpack_pack_uint64 (&packer, CALL_FORMAT);
  msgpack_pack_uint64 (&packer, (uint64_t)message->kind);
  msgpack_pack_uint64 (&packer, message->id);
  msgpack_pack_uint64 (&packer, message->remaining_us);
  fw_pack_str (&packer, message->service);
  fw_pack_str (&packer, message->rank);
  fw_pack_str (&packer, message->customer);
  fw_pack_str (&packer, message->method);
  fw_pack_str (&packer, message->host);
  fw_pack_str (&packer, message->path);
  msgpack_pack_uint64 (&packer, message->at_most_once);
  msgpack_pack_uint64 (&packer, message->target_left_us);
  msgpack_pack_uint64 (&packer, message->goes_first);
  msgpack_pack_uint64 (&packer, message->earlier_attempt_arrived);
  fw_pack_str (&packer, message->ticket);
  fw_pack_str (&packer, message->request_id);
  msgpack_pack_uint64 (&packer, (uint64_t)message->outcome);
  msgpack_pack_uint64 (&packer, message->status);
  msgpack_pack_uint64 (&packer, message->close_delimited);
  fw_pack_str (&packer, message->reason);
  msgpack_pack_uint64 (&packer, message->retry_elsewhere);
  msgpack_pack_uint64 (&packer, message->reached_backend);
  msgpack_pack_uint64 (&packer, message->load);
  msgpack_pack_uint64 (&packer, message->service_us);
  msgpack_pack_uint64 (&packer, message->wait_us);
  msgpack_pack_uint64 (&packer, message->leaving);
  fw_pack_str (&packer, message->instance);
  msgpack_pack_uint64 (&packer, message->incarnation);
  msgpack_pack_uint64 (&packer, message->rate_limit_milli);
  msgpack_pack_array (&packer, 2 * message->header_count);
  for (size_t i = 0; i < message->header_count; i++)
    {
      fw_pack_str (&packer, message->headers[i].name);
      fw_pack_str (&packer, message->headers[i].value);
    }
  if (has_crash (message) || has_pace (message))
    {
      msgpack_pack_uint64 (&packer, message->crash_id);
      msgpack_pack_uint64 (&packer, message->quarantine_us);
    }
  if (has_pace (message))
    {
      msgpack_pack_uint64 (&packer, message->expected_service_us);
      msgpack_pack_uint64 (&packer, message->pace_permille);
    }
  copy = g_memdup2 (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

/* Reads the fields after the headers, if any. */
static bool
read_optional_fields (fw_reader_t *reader, fw_call_t *message)
{
  if (reader->count == CALL_FIELDS)
    return true;
  message->crash_id = fw_read_u64 (reader, UINT64_MAX);
  message->quarantine_us = fw_read_u64 (reader, INT64_MAX / 1000);
  if (reader->count <= CALL_FIELDS_WITH_CRASH)
    return has_crash (message);
  message->expected_service_us = fw_read_u64 (reader, INT64_MAX / 1000);
  message->pace_permille = (uint32_t)fw_read_u64 (reader, FW_PACE_MAX);
  return has_pace (message);
}

/* Only answers have a status. */
static bool
has_valid_status (const fw_call_t *message)
{
  return message->kind == FW_CALL
         || (message->status >= STATUS_MIN && message->status <= STATUS_MAX);
}

static bool
read_call (const msgpack_object *object, fw_call_t *message)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t headers;

  if (fw_read_u64 (&reader, CALL_FORMAT) != CALL_FORMAT)
    return false;
  message->kind = (fw_call_kind_t)fw_read_u64 (&reader, FW_ANSWER);
  message->id = fw_read_u64 (&reader, UINT64_MAX);
  message->remaining_us = fw_read_u64 (&reader, UINT64_MAX);
  message->service = fw_read_str (&reader, FB_NAME_MAX);
  message->rank = fw_read_str (&reader, FB_NAME_MAX);
  message->customer = fw_read_str (&reader, FB_NAME_MAX);
  message->method = fw_read_str (&reader, FB_NAME_MAX);
  message->host = fw_read_str (&reader, FW_TEXT_MAX);
  message->path = fw_read_str (&reader, FW_TEXT_MAX);
  message->at_most_once = fw_read_u64 (&reader, 1) == 1;
  message->target_left_us = fw_read_u64 (&reader, UINT64_MAX);
  message->goes_first = fw_read_u64 (&reader, 1) == 1;
  message->earlier_attempt_arrived = fw_read_u64 (&reader, 1) == 1;
  message->ticket = fw_read_str (&reader, FW_TEXT_MAX);
  message->request_id = fw_read_str (&reader, FW_TEXT_MAX);
  message->outcome = (fw_outcome_t)fw_read_u64 (&reader, FW_FAILED);
  message->status = (uint32_t)fw_read_u64 (&reader, 999);
  message->close_delimited = fw_read_u64 (&reader, 1) == 1;
  message->reason = fw_read_str (&reader, FW_TEXT_MAX);
  message->retry_elsewhere = fw_read_u64 (&reader, 1) == 1;
  message->reached_backend = fw_read_u64 (&reader, 1) == 1;
  message->load = (uint32_t)fw_read_u64 (&reader, UINT32_MAX);
  message->service_us = fw_read_u64 (&reader, UINT64_MAX);
  message->wait_us = fw_read_u64 (&reader, UINT64_MAX);
  message->leaving = fw_read_u64 (&reader, 1) == 1;
  message->instance = fw_read_str (&reader, FB_NAME_MAX);
  message->incarnation = fw_read_u64 (&reader, UINT64_MAX);
  message->rate_limit_milli = fw_read_u64 (&reader, UINT64_MAX);
  headers = fw_start_reader (fw_read_array (&reader, 2 * FW_HEADERS_MAX));
  if (!read_optional_fields (&reader, message) || !fw_finish_reader (&reader)
      || message->kind < FW_CALL || !has_valid_status (message) || headers.count % 2 != 0)
    return false;
  message->header_count = headers.count / 2;
  for (size_t i = 0; i < message->header_count; i++)
    {
      message->headers[i].name = fw_read_str (&headers, FW_TEXT_MAX);
      message->headers[i].value = fw_read_str (&headers, FW_TEXT_MAX);
    }
  return fw_finish_reader (&headers);
}

fb_status_t
fw_decode_call (fb_bytes_t header, fb_bytes_t body, fw_call_t *message)
{
  msgpack_unpacked unpacked;
  bool valid;

  memset (message, 0, sizeof *message);
  valid = fw_unpack (header, &unpacked) && read_call (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid
      || body.len > (message->kind == FW_ANSWER ? FW_ANSWER_BODY_MAX : FW_REQUEST_BODY_MAX))
    return FB_INVALID;
  message->body = body;
  return FB_OK;
}

GByteArray *
fw_pack_call (const fw_call_t *message)
{
  size_t length;
  uint8_t *header = fw_encode_call (message, &length);
  uint32_t header_len = (uint32_t)length;
  GByteArray *packed = g_byte_array_new ();

  g_byte_array_append (packed, (const guint8 *)&header_len, sizeof header_len);
  g_byte_array_append (packed, header, (guint)length);
  g_byte_array_append (packed, message->body.data, (guint)message->body.len);
  g_free (header);
  return packed;
}

fb_status_t
fw_unpack_call (fb_bytes_t packed, fw_call_t *message)
{
  uint32_t header_len;

  if (packed.len < sizeof header_len)
    return FB_INVALID;
  memcpy (&header_len, packed.data, sizeof header_len);
  if (header_len > packed.len - sizeof header_len)
    return FB_INVALID;
  return fw_decode_call ((fb_bytes_t){ packed.data + sizeof header_len, header_len },
                         (fb_bytes_t){ packed.data + sizeof header_len + header_len,
                                       packed.len - sizeof header_len - header_len },
                         message);
}

const char *
fw_describe_outcome (fw_outcome_t outcome)
{
  switch (outcome)
    {
    case FW_ANSWERED:
      return "answered";
    case FW_NOT_RUN:
      return "not-run";
    case FW_UNKNOWN:
      return "unknown";
    case FW_FAILED:
      return "failed";
    }
  return "none";
}
