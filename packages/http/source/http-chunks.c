#include "http-chunks.h"

void
fh_begin_chunks (fh_chunk_lines_t *lines)
{
  *lines = (fh_chunk_lines_t){ .line = FH_LINE_START };
}

void
fh_begin_chunk_input (fh_chunk_lines_t *lines, const char *data)
{
  lines->unchecked = data;
}

bool
fh_check_chunk_lines (fh_chunk_lines_t *lines, const char *end)
{
  fb_bytes_t bytes = { (const uint8_t *)lines->unchecked, (size_t)(end - lines->unchecked) };

  if (fh_check_lines (&lines->line, bytes) < bytes.len || lines->line == FH_LINE_INVALID)
    lines->invalid = true;
  return !lines->invalid;
}

void
fh_skip_chunk_data (fh_chunk_lines_t *lines, const char *data, size_t len)
{
  bool continues_chunk = lines->unchecked == data && lines->line == FH_LINE_CHUNK_END;

  fh_check_chunk_lines (lines, data);
  if (!continues_chunk && lines->line != FH_LINE_START)
    lines->invalid = true;
  lines->line = FH_LINE_CHUNK_END;
  lines->unchecked = data + len;
}
