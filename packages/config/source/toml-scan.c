/* Limits on TOML text that bound the parser's time, memory and stack. */
#include "toml-tree.h"
#include <glib.h>
#include <string.h>

/* The parser recurses at each level; the schema has 3. */
#define NESTING_LEVELS_MAX ((size_t)16)

typedef enum
{
  OUTSIDE, /* of strings and comments */
  COMMENT,
  BASIC,        /* "..." */
  LITERAL,      /* '...' */
  BASIC_LINES,  /* """...""" */
  LITERAL_LINES /* '''...''' */
} scan_state_t;

typedef struct
{
  fb_str_t text;
  const fc_limits_t *limits;
  size_t offset;
  scan_state_t state;
  uint32_t line;
  size_t line_start; /* offset */
  size_t depth;      /* open brackets and braces */
  size_t dots;       /* since the last "=", "," or line break */
  size_t values;
  fc_headers_t *headers; /* may be NULL */
} scan_t;

static bool
is_triple (const scan_t *scan, char quote)
{
  return scan->offset + 2 < scan->text.len && scan->text.data[scan->offset + 1] == quote
         && scan->text.data[scan->offset + 2] == quote;
}

static void
scan_quote (scan_t *scan, char c)
{
  bool triple = is_triple (scan, c);

  if (triple)
    scan->offset += 2;
  if (triple && scan->headers)
    scan->headers->divisible = false;
  if (c == '"')
    scan->state = triple ? BASIC_LINES : BASIC;
  else
    scan->state = triple ? LITERAL_LINES : LITERAL;
}

/* Records a table header if the current bracket starts one. */
static void
record_header (scan_t *scan)
{
  fc_header_t header = { (uint32_t)scan->offset, scan->line };

  if (!scan->headers || scan->depth > 0)
    return;
  for (size_t i = scan->line_start; i < scan->offset; i++)
    if (scan->text.data[i] != ' ' && scan->text.data[i] != '\t')
      return;
  if (scan->offset == scan->line_start)
    g_array_append_val (scan->headers->items, header);
  else
    scan->headers->divisible = false;
}

static void
scan_outside (scan_t *scan, char c)
{
  switch (c)
    {
    case '"':
    case '\'':
      scan_quote (scan, c);
      break;
    case '#':
      scan->state = COMMENT;
      break;
    case '[':
      record_header (scan);
      scan->depth++;
      break;
    case '{':
      scan->depth++;
      break;
    case ']':
    case '}':
      if (scan->depth > 0)
        scan->depth--;
      break;
    case '.':
      scan->dots++;
      break;
    case '=':
    case ',':
      scan->values++;
      scan->dots = 0;
      break;
    case '\n':
      scan->dots = 0;
      break;
    default:
      break;
    }
}

static void
scan_string_or_comment (scan_t *scan, char c)
{
  char quote = scan->state == LITERAL || scan->state == LITERAL_LINES ? '\'' : '"';

  if (scan->state == COMMENT)
    {
      if (c == '\n')
        scan->state = OUTSIDE;
      return;
    }
  if (c == '\\' && quote == '"')
    {
      /* A line break is not skipped, as the caller counts lines. */
      if (scan->offset + 1 < scan->text.len && scan->text.data[scan->offset + 1] != '\n')
        scan->offset++;
      return;
    }
  if (scan->state == BASIC || scan->state == LITERAL)
    {
      if (c == quote || c == '\n')
        scan->state = OUTSIDE;
      return;
    }
  if (c == quote && is_triple (scan, quote))
    {
      scan->offset += 2;
      /* The string can end with one or two quotes of its own, skipped here. */
      for (int i = 0; i < 2 && scan->offset + 1 < scan->text.len; i++)
        if (scan->text.data[scan->offset + 1] == quote)
          scan->offset++;
      scan->state = OUTSIDE;
    }
}

static bool
check_encoding (fb_str_t text, fc_problems_t *problems)
{
  const char *end = text.data;
  uint32_t line = 1;
  char *found;

  if (text.len == 0 || g_utf8_validate (text.data, (gssize)text.len, &end))
    return true;
  for (const char *p = text.data; p < end; p++)
    line += *p == '\n';
  found = g_strdup_printf ("byte 0x%02x", (unsigned char)*end);
  fc_add_problem (problems, line, "syntax", found, "UTF-8 text without NUL bytes");
  g_free (found);
  return false;
}

/* Adds a problem; FOUND and ALLOWED are formats with LIMIT. */
static void
report_excess (const scan_t *scan, fc_problems_t *problems, const char *found,
               const char *allowed, size_t limit)
{
  char found_text[64];
  char allowed_text[64];

  g_snprintf (found_text, sizeof found_text, found, limit);
  g_snprintf (allowed_text, sizeof allowed_text, allowed, limit);
  fc_add_problem (problems, scan->line, "syntax", found_text, allowed_text);
}

static bool
is_within_limits (const scan_t *scan, fc_problems_t *problems)
{
  if (scan->depth > NESTING_LEVELS_MAX || scan->dots > NESTING_LEVELS_MAX)
    report_excess (scan, problems, "more than %zu levels",
                   "at most %zu levels of tables and arrays", NESTING_LEVELS_MAX);
  else if (scan->offset - scan->line_start >= scan->limits->line_bytes)
    report_excess (scan, problems, "a line of more than %zu bytes",
                   "lines of at most %zu bytes", scan->limits->line_bytes);
  else if (scan->values > scan->limits->values)
    report_excess (scan, problems, "more than %zu values", "at most %zu values",
                   scan->limits->values);
  else
    return true;
  return false;
}

bool
fc_scan_toml (fb_str_t text, fc_problems_t *problems)
{
  return fc_scan_headers (text, fc_get_document_limits (), problems, NULL);
}

bool
fc_scan_headers (fb_str_t text, const fc_limits_t *limits, fc_problems_t *problems,
                 fc_headers_t *headers)
{
  scan_t scan = { .text = text, .limits = limits, .line = 1, .headers = headers };

  if (headers)
    headers->divisible = text.len == 0 || !memchr (text.data, '\r', text.len);
  if (!check_encoding (text, problems))
    return false;
  for (; scan.offset < text.len; scan.offset++)
    {
      char c = text.data[scan.offset];

      if (scan.state == OUTSIDE)
        scan_outside (&scan, c);
      else
        scan_string_or_comment (&scan, c);
      /* Not C: the offset can have passed quotes or an escape. */
      if (text.data[scan.offset] == '\n')
        {
          scan.line++;
          scan.line_start = scan.offset + 1;
          scan.dots = 0;
        }
      else if (!is_within_limits (&scan, problems))
        return false;
    }
  return true;
}
