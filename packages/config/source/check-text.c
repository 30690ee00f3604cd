/* Validation of strings: names, paths, addresses, keys. */
#include "check-text.h"
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/* The limits on a path keep the route index small. */
#define PATH_MAX_BYTES 255
#define PATH_SEGMENTS_MAX 32

#define HOST_MAX_BYTES 255

#define KEY_MIN_BYTES 8

bool
fc_is_name (fb_str_t text)
{
  if (text.len == 0 || text.len > FB_NAME_MAX)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isalnum (text.data[i]) && text.data[i] != '.' && text.data[i] != '_'
        && text.data[i] != '-')
      return false;
  return true;
}

bool
fc_is_address (fb_str_t text)
{
  unsigned char bytes[sizeof (struct in6_addr)];
  fb_name_t name;

  if (!fb_set_name (&name, text) || memchr (text.data, '\0', text.len))
    return false;
  return inet_pton (AF_INET, name.data, bytes) == 1
         || inet_pton (AF_INET6, name.data, bytes) == 1;
}

static bool
is_admin_key (fb_str_t text)
{
  if (text.len < KEY_MIN_BYTES || text.len > FB_NAME_MAX)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isgraph (text.data[i]))
      return false;
  return true;
}

static bool
is_path (fb_str_t text)
{
  size_t segments = 0;

  if (text.len == 0 || text.len > PATH_MAX_BYTES || text.data[0] != '/')
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];

      if (!g_ascii_isgraph (c) || c == '?' || c == '#')
        return false;
      if (c != '/')
        continue;
      segments++;
      /* Only "/" itself has an empty segment. */
      if (text.len > 1 && (i + 1 == text.len || text.data[i + 1] == '/'))
        return false;
    }
  return segments <= PATH_SEGMENTS_MAX;
}

static bool
is_request_path (fb_str_t text, size_t max_bytes)
{
  if (text.len == 0 || text.len > max_bytes || text.data[0] != '/')
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isgraph (text.data[i]) || text.data[i] == '"' || text.data[i] == '\\'
        || text.data[i] == '#')
      return false;
  return true;
}

static bool
is_host (fb_str_t text)
{
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isgraph (text.data[i]) || text.data[i] == '/')
      return false;
  return text.len <= HOST_MAX_BYTES;
}

static bool
is_choice (fb_str_t text, const char *allowed)
{
  char **choices = g_strsplit (allowed, ", ", -1);
  bool found = false;

  for (size_t i = 0; choices[i]; i++)
    found = found || fb_equal_str (text, fb_wrap_text (choices[i]));
  g_strfreev (choices);
  return found;
}

bool
fc_is_valid_text (const fc_field_t *field, fb_str_t text)
{
  switch (field->type)
    {
    case FC_TYPE_NAME:
    case FC_TYPE_REFERENCE:
      return fc_is_name (text);
    case FC_TYPE_PATH:
      return is_path (text);
    case FC_TYPE_REQUEST_PATH:
      return is_request_path (text, PATH_MAX_BYTES);
    case FC_TYPE_ANY_REQUEST_PATH:
      return is_request_path (text, SIZE_MAX);
    case FC_TYPE_ANY_PATH:
      return text.len > 0 && text.data[0] == '/';
    case FC_TYPE_TEXT:
      return text.len > 0;
    case FC_TYPE_HOST:
      return is_host (text);
    case FC_TYPE_ADDRESS:
      return fc_is_address (text);
    case FC_TYPE_CHOICE:
      return is_choice (text, field->allowed);
    case FC_TYPE_ADMIN_KEY:
      return is_admin_key (text);
    default:
      return false;
    }
}
