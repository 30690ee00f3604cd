/* Splits the text of a document at its [[...]] headers. */
#include "section.h"
#include <foxtailrun/base/digest.h>
#include <string.h>

static const char *const section_names[FC_SECTION_KINDS]
    = { "rank", "service", "route", "customer", "objective" };

const char *
fc_get_section_name (uint32_t kind)
{
  return section_names[kind];
}

static bool
is_header_of (fb_str_t line, const char *name)
{
  size_t length = strlen (name);
  size_t at = length + 4;

  if (line.len < at || memcmp (line.data, "[[", 2) != 0
      || memcmp (line.data + 2, name, length) != 0
      || memcmp (line.data + 2 + length, "]]", 2) != 0)
    return false;
  while (at < line.len && (line.data[at] == ' ' || line.data[at] == '\t'))
    at++;
  return at == line.len || line.data[at] == '#';
}

static bool
find_kind (fb_str_t section, uint32_t *kind)
{
  const char *end = memchr (section.data, '\n', section.len);
  fb_str_t line = { section.data, end ? (size_t)(end - section.data) : section.len };

  for (*kind = 0; *kind < FC_SECTION_KINDS; (*kind)++)
    if (is_header_of (line, section_names[*kind]))
      return true;
  return false;
}

GArray *
fc_split_sections (fb_str_t text, const fc_headers_t *headers)
{
  size_t count = headers->items->len;
  GArray *sections;

  if (!headers->divisible)
    return NULL;
  sections = g_array_sized_new (FALSE, FALSE, sizeof (fc_section_t), (guint)count);
  for (guint i = 0; i < count; i++)
    {
      const fc_header_t *header = &g_array_index (headers->items, fc_header_t, i);
      size_t end = i + 1 < count ? g_array_index (headers->items, fc_header_t, i + 1).offset
                                 : text.len;
      fc_section_t section = { .offset = header->offset, .line = header->line };
      fb_str_t body = { text.data + header->offset, end - header->offset };

      if (!find_kind (body, &section.kind))
        {
          g_array_unref (sections);
          return NULL;
        }
      section.length = (uint32_t)body.len;
      section.hash = fb_hash_str (body, 0);
      g_array_append_val (sections, section);
    }
  return sections;
}
