#include <foxtailrun/http/message.h>
#include <glib.h>
#include <string.h>

fb_str_t
fh_find_header (const fh_header_t *headers, size_t count, fb_str_t name)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fb_equal_str (headers[i].name, name))
        return headers[i].value;
    }
  return (fb_str_t){ NULL, 0 };
}

bool
fh_is_token (fb_str_t text)
{
  static const char others[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isalnum (text.data[i]) && !memchr (others, text.data[i], sizeof others - 1))
      return false;
  return text.len > 0;
}

bool
fh_is_value_byte (uint8_t byte)
{
  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool
fh_is_hop_header (fb_str_t name)
{
  static const fb_str_t names[] = {
    FB_LITERAL ("connection"),
    FB_LITERAL ("keep-alive"),
    FB_LITERAL ("proxy-connection"),
    FB_LITERAL ("te"),
    FB_LITERAL ("transfer-encoding"),
    FB_LITERAL ("upgrade"),
    FB_LITERAL ("trailer"),
    FB_LITERAL ("content-length"),
    FB_LITERAL ("host"),
    FB_LITERAL ("expect"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (fb_equal_str (name, names[i]))
        return true;
    }
  return false;
}
