/* Strict check of the head and the trailer section of responses (RFC 9112, sections 4, 5 and
 * 7.1.2). http_parser is built without its strict mode: it accepts other forms of the status
 * line and blanks in names, joins folded lines, and takes a CR or LF at the start of a line for
 * the end of the section. */
#ifndef FOXTAILRUN_HTTP_SECTION_H
#define FOXTAILRUN_HTTP_SECTION_H

#include <foxtailrun/base/string.h>

typedef enum
{
  FH_SECTION_STATUS_LINE, /* before the reason phrase */
  FH_SECTION_LINE_START,  /* at the start of a field line */
  FH_SECTION_NAME,
  FH_SECTION_VALUE,    /* in a value or a reason phrase */
  FH_SECTION_CR,       /* after the CR that ends a line */
  FH_SECTION_EMPTY_CR, /* after a CR at the start of a line */
  FH_SECTION_END,      /* after the empty line */
  FH_SECTION_INVALID
} fh_section_state_t;

typedef struct
{
  fh_section_state_t state;
  size_t position; /* in the status line */
} fh_section_t;

void fh_begin_head (fh_section_t *section);
void fh_begin_trailers (fh_section_t *section);

/* Checks BYTES up to and including the empty line that ends the section. Returns the number of
 * bytes checked; the state is then FH_SECTION_END at the end of the section, FH_SECTION_INVALID
 * after a byte that is not allowed there. */
size_t fh_check_section (fh_section_t *section, fb_bytes_t bytes);

#endif
