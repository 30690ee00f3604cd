#include <foxtailrun/base/string.h>
#include <glib.h>
#include <string.h>

fb_str_t
fb_wrap_text (const char *text)
{
  return (fb_str_t){ text ? text : "", text ? strlen (text) : 0 };
}

bool
fb_equal_str (fb_str_t a, fb_str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
fb_has_prefix (fb_str_t str, fb_str_t prefix)
{
  return str.len >= prefix.len && fb_equal_str ((fb_str_t){ str.data, prefix.len }, prefix);
}

char *
fb_copy_text (fb_str_t str)
{
  return g_strndup (str.data ? str.data : "", str.len);
}

bool
fb_set_name (fb_name_t *name, fb_str_t str)
{
  memset (name, 0, sizeof *name);
  if (str.len > FB_NAME_MAX)
    return false;
  if (str.len > 0)
    memcpy (name->data, str.data, str.len);
  name->len = (uint8_t)str.len;
  return true;
}

fb_name_t
fb_make_name (const char *text)
{
  fb_name_t name;
  fb_str_t str = fb_wrap_text (text);

  if (str.len > FB_NAME_MAX)
    str.len = FB_NAME_MAX;
  fb_set_name (&name, str);
  return name;
}

fb_str_t
fb_get_name (const fb_name_t *name)
{
  return (fb_str_t){ name->data, name->len };
}

bool
fb_equal_name (const fb_name_t *a, const fb_name_t *b)
{
  return fb_equal_str (fb_get_name (a), fb_get_name (b));
}

int
fb_compare_names (const fb_name_t *a, const fb_name_t *b)
{
  size_t common_len = a->len < b->len ? a->len : b->len;
  int order = memcmp (a->data, b->data, common_len);

  return order != 0 ? order : (int)a->len - (int)b->len;
}

bool
fb_parse_u64 (fb_str_t str, uint64_t *value)
{
  uint64_t result = 0;

  if (str.len == 0)
    return false;
  for (size_t i = 0; i < str.len; i++)
    {
      if (str.data[i] < '0' || str.data[i] > '9')
        return false;
      if (__builtin_mul_overflow (result, 10, &result)
          || __builtin_add_overflow (result, (uint64_t)(str.data[i] - '0'), &result))
        return false;
    }
  *value = result;
  return true;
}
