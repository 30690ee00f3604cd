#include "wire-unpack.h"

/* Deepest nesting of arrays; a datagram contains the array of updates, which are arrays. */
#define DEPTH_MAX 4

typedef struct
{
  const uint8_t *data;
  size_t remaining;
} cursor_t;

/* Reads a big-endian number of WIDTH bytes. */
static bool
read_number (cursor_t *cursor, size_t width, uint64_t *value)
{
  if (cursor->remaining < width)
    return false;
  *value = 0;
  for (size_t i = 0; i < width; i++)
    *value = *value << 8 | cursor->data[i];
  cursor->data += width;
  cursor->remaining -= width;
  return true;
}

static bool
skip_bytes (cursor_t *cursor, uint64_t count)
{
  if (count > cursor->remaining)
    return false;
  cursor->data += count;
  cursor->remaining -= count;
  return true;
}

/* Skips a string or byte range whose length field has WIDTH bytes. */
static bool
skip_sized (cursor_t *cursor, size_t width)
{
  uint64_t count;

  return read_number (cursor, width, &count) && skip_bytes (cursor, count);
}

/* Skips one element, or only the header of an array. Stores the number of array elements that
 * follow, else 0, in ELEMENTS. */
static bool
skip_element (cursor_t *cursor, uint64_t *elements)
{
  uint64_t tag;

  *elements = 0;
  if (!read_number (cursor, 1, &tag))
    return false;
  if (tag <= 0x7f || tag >= 0xe0) /* small integers */
    return true;
  if (tag >= 0xa0 && tag <= 0xbf) /* short strings */
    return skip_bytes (cursor, tag & 0x1f);
  if (tag >= 0x90 && tag <= 0x9f) /* short arrays */
    {
      *elements = tag & 0x0f;
      return true;
    }
  switch (tag)
    {
    case 0xc0: /* nil, false, true */
    case 0xc2:
    case 0xc3:
      return true;
    case 0xc4: /* byte ranges */
    case 0xc5:
    case 0xc6:
      return skip_sized (cursor, (size_t)1 << (tag - 0xc4));
    case 0xca: /* floating-point numbers */
      return skip_bytes (cursor, 4);
    case 0xcb:
      return skip_bytes (cursor, 8);
    case 0xcc: /* unsigned integers */
    case 0xcd:
    case 0xce:
    case 0xcf:
      return skip_bytes (cursor, (uint64_t)1 << (tag - 0xcc));
    case 0xd0: /* signed integers */
    case 0xd1:
    case 0xd2:
    case 0xd3:
      return skip_bytes (cursor, (uint64_t)1 << (tag - 0xd0));
    case 0xd9: /* strings */
    case 0xda:
    case 0xdb:
      return skip_sized (cursor, (size_t)1 << (tag - 0xd9));
    case 0xdc: /* arrays */
      return read_number (cursor, 2, elements);
    case 0xdd:
      return read_number (cursor, 4, elements);
    default: /* maps, extension types and the unused tag */
      return false;
    }
}

/* Returns whether BYTES are one object whose arrays have the number of elements declared.
 * msgpack allocates an array from its header alone, so that a header of a few bytes could cause
 * an allocation of gigabytes. */
static bool
is_well_formed (fb_bytes_t bytes)
{
  cursor_t cursor = { bytes.data, bytes.len };
  uint64_t pending[DEPTH_MAX]; /* elements left to skip in each open array */
  uint64_t elements;
  size_t depth = 0;

  do
    {
      if (!skip_element (&cursor, &elements) || elements > cursor.remaining)
        return false;
      if (elements > 0)
        {
          if (depth == DEPTH_MAX)
            return false;
          pending[depth++] = elements;
          continue;
        }
      while (depth > 0 && --pending[depth - 1] == 0)
        depth--;
    }
  while (depth > 0);
  return cursor.remaining == 0;
}

bool
fw_unpack (fb_bytes_t bytes, msgpack_unpacked *unpacked)
{
  size_t offset = 0;

  msgpack_unpacked_init (unpacked);
  return is_well_formed (bytes)
         && msgpack_unpack_next (unpacked, (const char *)bytes.data, bytes.len, &offset)
                == MSGPACK_UNPACK_SUCCESS
         && offset == bytes.len;
}
