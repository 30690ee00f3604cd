#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/control.h>
#include <glib.h>
#include <string.h>

#define CONTROL_FORMAT 1

/* Largest number of pages of one member list. */
#define MEMBER_PAGES_MAX 4096

/* Largest payload in bytes: an incompressible document with the overhead of its zstd frame. */
#define PAYLOAD_MAX (FW_DOCUMENT_MAX + 64 * 1024)

uint8_t *
fw_encode_control (const fw_control_t *message, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint8_t *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 13);
  msgpack_pack_uint64 (&packer, CONTROL_FORMAT);
  msgpack_pack_uint64 (&packer, (uint64_t)message->kind);
  msgpack_pack_uint64 (&packer, message->request_id);
  fw_pack_name (&packer, &message->sender);
  fw_pack_version (&packer, &message->version);
  if (message->ready)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  fw_pack_bin (&packer, message->base_digest.bytes, FB_DIGEST_LEN);
  msgpack_pack_uint64 (&packer, message->page);
  msgpack_pack_uint64 (&packer, message->page_count);
  fw_pack_bin (&packer, message->payload.data, message->payload.len);
  msgpack_pack_array (&packer, message->member_count);
  for (size_t i = 0; i < message->member_count; i++)
    fw_pack_member (&packer, &message->members[i]);
  copy = g_memdup2 (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

/* The payload points into the encoded bytes, not into memory of the unpacker, so that it stays
 * valid after the unpacked object is destroyed. */
static bool
read_control (const msgpack_object *object, fw_control_t *message)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t members;

  if (fw_read_u64 (&reader, CONTROL_FORMAT) != CONTROL_FORMAT)
    return false;
  message->kind = (fw_control_kind_t)fw_read_u64 (&reader, FW_MEMBERS);
  message->request_id = fw_read_u64 (&reader, UINT64_MAX);
  fw_read_name (&reader, &message->sender);
  fw_read_version (&reader, &message->version);
  message->ready = fw_read_bool (&reader);
  fw_read_digest (&reader, &message->base_digest);
  message->page = (uint32_t)fw_read_u64 (&reader, MEMBER_PAGES_MAX);
  message->page_count = (uint32_t)fw_read_u64 (&reader, MEMBER_PAGES_MAX);
  message->payload = fw_read_bin (&reader, PAYLOAD_MAX);
  members = fw_start_reader (fw_read_array (&reader, FW_MEMBERS_PER_PAGE_MAX));
  if (!fw_finish_reader (&reader) || message->kind < FW_SUMMARY_REQUEST)
    return false;
  message->member_count = members.count;
  message->members = g_new0 (fw_member_t, members.count);
  for (size_t i = 0; i < members.count; i++)
    fw_read_member (&members, &message->members[i]);
  return fw_finish_reader (&members);
}

fb_status_t
fw_decode_control (fb_bytes_t bytes, fw_control_t *message)
{
  msgpack_unpacked unpacked;
  bool valid;

  memset (message, 0, sizeof *message);
  valid = fw_unpack (bytes, &unpacked) && read_control (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    fw_clear_control (message);
  return valid ? FB_OK : FB_INVALID;
}

void
fw_clear_control (fw_control_t *message)
{
  g_free (message->members);
  message->members = NULL;
  message->member_count = 0;
}
