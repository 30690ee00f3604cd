#include "wire-scan.h"

/* Deepest nesting of arrays in any message of the protocol. */
#define DEPTH_MAX 4

typedef struct
{
  const uint8_t *at;
  const uint8_t *end;
} cursor_t;

/* Reads a big-endian number of WIDTH bytes. */
static bool
read_number (cursor_t *cursor, size_t width, uint64_t *value)
{
  if ((size_t)(cursor->end - cursor->at) < width)
    return false;
  *value = 0;
  for (size_t i = 0; i < width; i++)
    *value = *value << 8 | *cursor->at++;
  return true;
}

static bool
skip_bytes (cursor_t *cursor, uint64_t count)
{
  if ((uint64_t)(cursor->end - cursor->at) < count)
    return false;
  cursor->at += count;
  return true;
}

/* Skips a string or binary value whose length takes WIDTH bytes. */
static bool
skip_sized (cursor_t *cursor, size_t width)
{
  uint64_t length;

  return read_number (cursor, width, &length) && skip_bytes (cursor, length);
}

/* Reads the number of elements when TYPE starts an array; each element takes at least one byte.
 */
static bool
read_array_header (cursor_t *cursor, uint8_t type, uint64_t *count)
{
  if ((type & 0xf0) == 0x90)
    *count = type & 0x0f;
  else if (!read_number (cursor, type == 0xdc ? 2 : 4, count))
    return false;
  return *count <= (uint64_t)(cursor->end - cursor->at);
}

static bool
is_array (uint8_t type)
{
  return (type & 0xf0) == 0x90 || type == 0xdc || type == 0xdd;
}

/* Skips a value that is no array; maps, floats and extensions are not part of the protocol. */
static bool
skip_scalar (cursor_t *cursor, uint8_t type)
{
  if (type < 0x80 || type >= 0xe0)
    return true;
  if ((type & 0xe0) == 0xa0)
    return skip_bytes (cursor, type & 0x1f);
  switch (type)
    {
    case 0xc0: /* nil */
    case 0xc2: /* false */
    case 0xc3: /* true */
      return true;
    case 0xc4: /* bin 8 */
    case 0xd9: /* str 8 */
      return skip_sized (cursor, 1);
    case 0xc5: /* bin 16 */
    case 0xda: /* str 16 */
      return skip_sized (cursor, 2);
    case 0xc6: /* bin 32 */
    case 0xdb: /* str 32 */
      return skip_sized (cursor, 4);
    case 0xcc: /* uint 8 */
    case 0xd0: /* int 8 */
      return skip_bytes (cursor, 1);
    case 0xcd: /* uint 16 */
    case 0xd1: /* int 16 */
      return skip_bytes (cursor, 2);
    case 0xce: /* uint 32 */
    case 0xd2: /* int 32 */
      return skip_bytes (cursor, 4);
    case 0xcf: /* uint 64 */
    case 0xd3: /* int 64 */
      return skip_bytes (cursor, 8);
    default:
      return false;
    }
}

bool
fw_scan_message (fb_bytes_t bytes)
{
  cursor_t cursor = { bytes.data, bytes.data + bytes.len };
  uint64_t open[DEPTH_MAX + 1] = { 1 };
  size_t depth = 0;

  for (;;)
    {
      uint64_t type;

      while (open[depth] == 0)
        {
          if (depth == 0)
            return cursor.at == cursor.end;
          depth--;
        }
      open[depth]--;
      if (!read_number (&cursor, 1, &type))
        return false;
      if (!is_array ((uint8_t)type))
        {
          if (!skip_scalar (&cursor, (uint8_t)type))
            return false;
          continue;
        }
      if (depth == DEPTH_MAX || !read_array_header (&cursor, (uint8_t)type, &open[++depth]))
        return false;
    }
}
