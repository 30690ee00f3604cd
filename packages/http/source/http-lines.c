#include "http-lines.h"

/* Returns the state after BYTE at the start of a line or within one. */
static fh_line_state_t
advance_in_text (uint8_t byte)
{
  if (byte == '\r')
    return FH_LINE_CR;
  return byte == '\n' || byte == '\0' ? FH_LINE_INVALID : FH_LINE_TEXT;
}

static fh_line_state_t
advance_line (fh_line_state_t state, uint8_t byte)
{
  switch (state)
    {
    case FH_LINE_FIRST:
      return byte == '\r' ? FH_LINE_FIRST_CR : advance_in_text (byte);
    case FH_LINE_FIRST_CR:
      return byte == '\n' ? FH_LINE_FIRST : FH_LINE_INVALID;
    case FH_LINE_START:
      if (byte == ' ' || byte == '\t')
        return FH_LINE_INVALID;
      return byte == '\r' ? FH_LINE_EMPTY_CR : advance_in_text (byte);
    case FH_LINE_TEXT:
      return advance_in_text (byte);
    case FH_LINE_CR:
      return byte == '\n' ? FH_LINE_START : FH_LINE_INVALID;
    case FH_LINE_EMPTY_CR:
      return byte == '\n' ? FH_LINE_SECTION : FH_LINE_INVALID;
    case FH_LINE_CHUNK_END:
      return byte == '\r' ? FH_LINE_CR : FH_LINE_INVALID;
    case FH_LINE_SECTION:
    case FH_LINE_INVALID:
      break;
    }
  return FH_LINE_INVALID;
}

size_t
fh_check_lines (fh_line_state_t *state, fb_bytes_t bytes)
{
  size_t checked = 0;

  while (checked < bytes.len && *state != FH_LINE_SECTION && *state != FH_LINE_INVALID)
    *state = advance_line (*state, bytes.data[checked++]);
  return checked;
}
