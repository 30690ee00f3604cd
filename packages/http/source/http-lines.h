/* Strict check of the line endings that frame HTTP/1 messages. http_parser is built without
 * its strict mode and accepts bare CR and LF; a proxy in front of a node may not, and the two
 * would then disagree on where a request ends. */
#ifndef FOXTAILRUN_HTTP_LINES_H
#define FOXTAILRUN_HTTP_LINES_H

#include <foxtailrun/base/string.h>

typedef enum
{
  FH_LINE_FIRST,     /* before the first line; empty lines are skipped */
  FH_LINE_FIRST_CR,  /* after a CR before the first line */
  FH_LINE_START,     /* at the start of a further line */
  FH_LINE_TEXT,      /* within a line */
  FH_LINE_CR,        /* after the CR that ends a line */
  FH_LINE_EMPTY_CR,  /* after a CR at the start of a line */
  FH_LINE_SECTION,   /* after an empty line */
  FH_LINE_CHUNK_END, /* after the data of a chunk, before its CR */
  FH_LINE_INVALID
} fh_line_state_t;

/* Checks BYTES up to and including the empty line that ends a section, and advances *STATE.
 * Returns the number of bytes checked; *STATE is then FH_LINE_SECTION at the end of the
 * section, FH_LINE_INVALID after a bare CR or LF, a NUL or a folded line. */
size_t fh_check_lines (fh_line_state_t *state, fb_bytes_t bytes);

#endif
