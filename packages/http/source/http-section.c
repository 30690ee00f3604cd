#include "http-section.h"
#include <foxtailrun/http/message.h>
#include <glib.h>
#include <string.h>

/* A status line up to its reason phrase, which may be empty; '0' stands for any digit. */
#define STATUS_LINE "HTTP/0.0 000 "

static bool
is_name_byte (uint8_t byte)
{
  const char text = (char)byte;

  return fh_is_token ((fb_str_t){ &text, 1 });
}

/* Returns the state after BYTE in a value. */
static fh_section_state_t
advance_in_value (uint8_t byte)
{
  if (byte == '\r')
    return FH_SECTION_CR;
  return fh_is_value_byte (byte) ? FH_SECTION_VALUE : FH_SECTION_INVALID;
}

static fh_section_state_t
advance_in_status_line (fh_section_t *section, uint8_t byte)
{
  char expected = STATUS_LINE[section->position++];

  if (expected == '0' ? !g_ascii_isdigit (byte) : byte != (uint8_t)expected)
    return FH_SECTION_INVALID;
  return section->position < strlen (STATUS_LINE) ? FH_SECTION_STATUS_LINE : FH_SECTION_VALUE;
}

static fh_section_state_t
advance_section (fh_section_t *section, uint8_t byte)
{
  switch (section->state)
    {
    case FH_SECTION_STATUS_LINE:
      return advance_in_status_line (section, byte);
    case FH_SECTION_LINE_START:
      if (byte == '\r')
        return FH_SECTION_EMPTY_CR;
      return is_name_byte (byte) ? FH_SECTION_NAME : FH_SECTION_INVALID;
    case FH_SECTION_NAME:
      if (byte == ':')
        return FH_SECTION_VALUE;
      return is_name_byte (byte) ? FH_SECTION_NAME : FH_SECTION_INVALID;
    case FH_SECTION_VALUE:
      return advance_in_value (byte);
    case FH_SECTION_CR:
      return byte == '\n' ? FH_SECTION_LINE_START : FH_SECTION_INVALID;
    case FH_SECTION_EMPTY_CR:
      return byte == '\n' ? FH_SECTION_END : FH_SECTION_INVALID;
    case FH_SECTION_END:
    case FH_SECTION_INVALID:
      break;
    }
  return FH_SECTION_INVALID;
}

void
fh_begin_head (fh_section_t *section)
{
  *section = (fh_section_t){ .state = FH_SECTION_STATUS_LINE };
}

void
fh_begin_trailers (fh_section_t *section)
{
  *section = (fh_section_t){ .state = FH_SECTION_LINE_START };
}

size_t
fh_check_section (fh_section_t *section, fb_bytes_t bytes)
{
  size_t checked = 0;

  while (checked < bytes.len && section->state != FH_SECTION_END
         && section->state != FH_SECTION_INVALID)
    section->state = advance_section (section, bytes.data[checked++]);
  return checked;
}
