#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/datagram.h>
#include <string.h>

/* First element of each datagram; datagrams of another format are rejected. */
#define DATAGRAM_FORMAT 1

/* Bytes reserved for the array header of the updates. */
#define UPDATES_HEADER_LEN 3

static void
pack_header (msgpack_packer *packer, const fw_datagram_t *datagram)
{
  msgpack_pack_array (packer, 10);
  msgpack_pack_uint64 (packer, DATAGRAM_FORMAT);
  msgpack_pack_uint64 (packer, (uint64_t)datagram->kind);
  msgpack_pack_uint64 (packer, datagram->sequence);
  fw_pack_member (packer, &datagram->sender);
  fw_pack_version (packer, &datagram->version);
  msgpack_pack_uint64 (packer, datagram->members_digest);
  fw_pack_name (packer, &datagram->target);
}

/* Packs updates into BODY while it is at most LIMIT bytes long; returns their number. */
static size_t
pack_updates (msgpack_sbuffer *body, const fw_datagram_t *datagram, size_t limit)
{
  msgpack_packer packer;
  size_t packed_count = 0;

  msgpack_packer_init (&packer, body, msgpack_sbuffer_write);
  while (packed_count < datagram->update_count && packed_count < FW_UPDATES_MAX)
    {
      size_t before = body->size;
      fw_pack_member (&packer, &datagram->updates[packed_count]);
      if (body->size > limit)
        {
          body->size = before;
          break;
        }
      packed_count++;
    }
  return packed_count;
}

fb_status_t
fw_encode_datagram (const fw_datagram_t *datagram, uint8_t buffer[FW_DATAGRAM_MAX],
                    size_t *length, size_t *packed_count)
{
  fb_status_t status = FB_TOO_LARGE;
  msgpack_sbuffer header;
  msgpack_sbuffer body;
  msgpack_packer packer;
  size_t limit;

  msgpack_sbuffer_init (&header);
  msgpack_sbuffer_init (&body);
  msgpack_packer_init (&packer, &header, msgpack_sbuffer_write);
  pack_header (&packer, datagram);
  if (header.size + UPDATES_HEADER_LEN > FW_DATAGRAM_MAX)
    goto done;
  limit = FW_DATAGRAM_MAX - header.size - UPDATES_HEADER_LEN;
  *packed_count = pack_updates (&body, datagram, limit);
  msgpack_pack_array (&packer, *packed_count);
  memcpy (buffer, header.data, header.size);
  if (body.size > 0)
    memcpy (buffer + header.size, body.data, body.size);
  *length = header.size + body.size;
  status = FB_OK;
done:
  msgpack_sbuffer_destroy (&header);
  msgpack_sbuffer_destroy (&body);
  return status;
}

static bool
read_datagram (const msgpack_object *object, fw_datagram_t *datagram)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t updates;

  if (fw_read_u64 (&reader, DATAGRAM_FORMAT) != DATAGRAM_FORMAT)
    return false;
  datagram->kind = (fw_datagram_kind_t)fw_read_u64 (&reader, FW_GOSSIP);
  datagram->sequence = fw_read_u64 (&reader, UINT64_MAX);
  fw_read_member (&reader, &datagram->sender);
  fw_read_version (&reader, &datagram->version);
  datagram->members_digest = fw_read_u64 (&reader, UINT64_MAX);
  fw_read_name (&reader, &datagram->target);
  updates = fw_start_reader (fw_read_array (&reader, FW_UPDATES_MAX));
  if (!fw_finish_reader (&reader) || datagram->kind < FW_PING)
    return false;
  datagram->update_count = updates.count;
  for (size_t i = 0; i < datagram->update_count; i++)
    fw_read_member (&updates, &datagram->updates[i]);
  return fw_finish_reader (&updates);
}

fb_status_t
fw_decode_datagram (fb_bytes_t bytes, fw_datagram_t *datagram)
{
  msgpack_unpacked unpacked;
  bool valid;

  if (bytes.len > FW_DATAGRAM_MAX)
    return FB_INVALID;
  valid = fw_unpack (bytes, &unpacked) && read_datagram (&unpacked.data, datagram);
  msgpack_unpacked_destroy (&unpacked);
  return valid ? FB_OK : FB_INVALID;
}
