#include "wire-read.h"
#include <string.h>

static const msgpack_object *
read_item (fw_reader_t *reader, msgpack_object_type type)
{
  const msgpack_object *item;

  if (reader->failed || reader->next >= reader->count)
    {
      reader->failed = true;
      return NULL;
    }
  item = &reader->items[reader->next++];
  if (item->type != type)
    {
      reader->failed = true;
      return NULL;
    }
  return item;
}

fw_reader_t
fw_start_reader (const msgpack_object *object)
{
  if (!object || object->type != MSGPACK_OBJECT_ARRAY)
    return (fw_reader_t){ .failed = true };
  return (fw_reader_t){ .items = object->via.array.ptr, .count = object->via.array.size };
}

bool
fw_finish_reader (const fw_reader_t *reader)
{
  return !reader->failed && reader->next == reader->count;
}

uint64_t
fw_read_u64 (fw_reader_t *reader, uint64_t max)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (!item)
    return 0;
  if (item->via.u64 > max)
    {
      reader->failed = true;
      return 0;
    }
  return item->via.u64;
}

bool
fw_read_bool (fw_reader_t *reader)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_BOOLEAN);

  return item && item->via.boolean;
}

fb_str_t
fw_read_str (fw_reader_t *reader, size_t max)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_STR);

  if (!item || item->via.str.size > max)
    {
      reader->failed = true;
      return (fb_str_t){ "", 0 };
    }
  /* msgpack gives an empty string a null pointer, which memchr does not allow. */
  if (item->via.str.size == 0)
    return (fb_str_t){ "", 0 };
  return (fb_str_t){ item->via.str.ptr, item->via.str.size };
}

fb_bytes_t
fw_read_bin (fw_reader_t *reader, size_t max)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_BIN);

  if (!item || item->via.bin.size > max)
    {
      reader->failed = true;
      return (fb_bytes_t){ NULL, 0 };
    }
  return (fb_bytes_t){ (const uint8_t *)item->via.bin.ptr, item->via.bin.size };
}

void
fw_read_name (fw_reader_t *reader, fb_name_t *name)
{
  fb_str_t str = fw_read_str (reader, FB_NAME_MAX);

  if (memchr (str.data, '\0', str.len))
    {
      reader->failed = true;
      str.len = 0;
    }
  fb_set_name (name, str);
}

void
fw_read_digest (fw_reader_t *reader, fb_digest_t *digest)
{
  fb_bytes_t bytes = fw_read_bin (reader, FB_DIGEST_LEN);

  memset (digest, 0, sizeof *digest);
  if (bytes.len != FB_DIGEST_LEN)
    reader->failed = true;
  else
    memcpy (digest->bytes, bytes.data, FB_DIGEST_LEN);
}

void
fw_read_version (fw_reader_t *reader, fb_version_t *version)
{
  version->number = fw_read_u64 (reader, UINT64_MAX);
  version->revision = fw_read_u64 (reader, UINT64_MAX);
  fw_read_digest (reader, &version->digest);
}

bool
fw_is_array (const fw_reader_t *reader)
{
  return !reader->failed && reader->next < reader->count
         && reader->items[reader->next].type == MSGPACK_OBJECT_ARRAY;
}

const msgpack_object *
fw_read_array (fw_reader_t *reader, size_t max)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_ARRAY);

  if (item && item->via.array.size > max)
    {
      reader->failed = true;
      return NULL;
    }
  return item;
}

void
fw_read_member (fw_reader_t *reader, fw_member_t *member)
{
  fw_reader_t fields = fw_start_reader (fw_read_array (reader, SIZE_MAX));

  memset (member, 0, sizeof *member);
  fw_read_name (&fields, &member->id);
  member->incarnation = fw_read_u64 (&fields, UINT64_MAX);
  member->state = (fw_member_state_t)fw_read_u64 (&fields, FW_DEAD);
  fw_read_name (&fields, &member->address);
  member->control_port = (uint16_t)fw_read_u64 (&fields, UINT16_MAX);
  member->call_port = (uint16_t)fw_read_u64 (&fields, UINT16_MAX);
  member->admin_port = (uint16_t)fw_read_u64 (&fields, UINT16_MAX);
  fw_read_name (&fields, &member->zone);
  fw_read_name (&fields, &member->region);
  fw_read_name (&fields, &member->service);
  if (!fw_finish_reader (&fields) || member->id.len == 0)
    reader->failed = true;
}
