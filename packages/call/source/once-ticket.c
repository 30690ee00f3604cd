/* Text format of tickets. */
#include <foxtailrun/call/once.h>
#include <string.h>

#define UINT64_HEX_DIGITS_MAX 16

/* Parses the field behind the last dash of TEXT as lower-case hexadecimal and removes it from
 * TEXT. */
static bool
parse_last_hex_field (fb_str_t *text, uint64_t *value)
{
  size_t start = text->len;

  while (start > 0 && text->data[start - 1] != '-')
    start--;
  if (start == 0 || start == text->len || text->len - start > UINT64_HEX_DIGITS_MAX)
    return false;
  *value = 0;
  for (size_t i = start; i < text->len; i++)
    {
      char c = text->data[i];
      unsigned digit;

      if (c >= '0' && c <= '9')
        digit = (unsigned)(c - '0');
      else if (c >= 'a' && c <= 'f')
        digit = (unsigned)(c - 'a') + 10;
      else
        return false;
      *value = *value << 4 | digit;
    }
  text->len = start - 1;
  return true;
}

fb_status_t
fr_parse_ticket (fb_str_t text, fr_ticket_t *ticket)
{
  const fb_str_t prefix = FB_LITERAL ("ftr1-");

  memset (ticket, 0, sizeof *ticket);
  if (text.len >= FR_TICKET_SIZE || !fb_has_prefix (text, prefix))
    return FB_INVALID;
  text.data += prefix.len;
  text.len -= prefix.len;
  if (!parse_last_hex_field (&text, &ticket->nonce)
      || !parse_last_hex_field (&text, &ticket->serial)
      || !parse_last_hex_field (&text, &ticket->start_id))
    return FB_INVALID;
  if (text.len == 0 || !fb_set_name (&ticket->node, text))
    return FB_INVALID;
  return FB_OK;
}
