#include "http-chunks.h"
#include <foxtailrun/http/message.h>

/* Maximum bytes between the data of two chunks. */
#define SIZE_LINE_MAX (16 * 1024)

void
fh_begin_chunks (fh_chunks_t *chunks)
{
  *chunks = (fh_chunks_t){ .state = FH_CHUNK_START };
}

/* Returns the state after BYTE, outside of data; LEFT is the size that was read so far. */
static fh_chunk_state_t
advance_state (fh_chunk_state_t state, uint8_t byte, size_t left)
{
  switch (state)
    {
    case FH_CHUNK_START:
      return g_ascii_isxdigit (byte) ? FH_CHUNK_SIZE : FH_CHUNK_INVALID;
    case FH_CHUNK_SIZE:
      if (byte == '\r')
        return FH_CHUNK_SIZE_CR;
      if (g_ascii_isxdigit (byte))
        return left <= SIZE_MAX >> 4 ? FH_CHUNK_SIZE : FH_CHUNK_INVALID;
      return byte == ';' || byte == ' ' || byte == '\t' ? FH_CHUNK_EXTENSION : FH_CHUNK_INVALID;
    case FH_CHUNK_EXTENSION:
      if (byte == '\r')
        return FH_CHUNK_SIZE_CR;
      return fh_is_value_byte (byte) ? FH_CHUNK_EXTENSION : FH_CHUNK_INVALID;
    case FH_CHUNK_SIZE_CR:
      if (byte != '\n')
        return FH_CHUNK_INVALID;
      return left > 0 ? FH_CHUNK_DATA : FH_CHUNK_LAST;
    case FH_CHUNK_DATA_END:
      return byte == '\r' ? FH_CHUNK_DATA_CR : FH_CHUNK_INVALID;
    case FH_CHUNK_DATA_CR:
      return byte == '\n' ? FH_CHUNK_START : FH_CHUNK_INVALID;
    case FH_CHUNK_DATA:
    case FH_CHUNK_LAST:
    case FH_CHUNK_INVALID:
      break;
    }
  return FH_CHUNK_INVALID;
}

size_t
fh_decode_chunks (fh_chunks_t *chunks, fb_bytes_t bytes, GByteArray *body, size_t body_max)
{
  const uint8_t *at = bytes.data;
  const uint8_t *end = at + bytes.len;
  fh_chunk_state_t state = chunks->state;
  size_t left = chunks->left;
  size_t line_len = chunks->line_len;

  while (at < end && state < FH_CHUNK_LAST)
    if (state == FH_CHUNK_DATA)
      {
        size_t length = left < (size_t)(end - at) ? left : (size_t)(end - at);

        if (length > body_max - body->len)
          break;
        g_byte_array_append (body, at, (guint)length);
        at += length;
        left -= length;
        line_len = 0;
        state = left > 0 ? FH_CHUNK_DATA : FH_CHUNK_DATA_END;
      }
    else
      {
        uint8_t byte = *at++;

        state = advance_state (state, byte, left);
        if (state == FH_CHUNK_SIZE)
          left = left << 4 | (size_t)g_ascii_xdigit_value ((char)byte);
        if (++line_len > SIZE_LINE_MAX)
          state = FH_CHUNK_INVALID;
      }
  *chunks = (fh_chunks_t){ state, left, line_len };
  return (size_t)(at - bytes.data);
}
