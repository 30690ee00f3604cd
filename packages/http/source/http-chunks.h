/* Strict check of the lines that frame the chunks of a body (RFC 9112, section 7.1).
 * http_parser, built without its strict mode, accepts any bytes in place of CRLF there and
 * drops them. */
#ifndef FOXTAILRUN_HTTP_CHUNKS_H
#define FOXTAILRUN_HTTP_CHUNKS_H

#include "http-lines.h"

typedef struct
{
  fh_line_state_t line;
  const char *unchecked; /* first byte of the input that may belong to these lines */
  bool invalid;
} fh_chunk_lines_t;

/* Prepares for the first chunk of a body. */
void fh_begin_chunks (fh_chunk_lines_t *lines);

/* Prepares for input from DATA on, which http_parser is about to parse. */
void fh_begin_chunk_input (fh_chunk_lines_t *lines, const char *data);

/* Checks the input before the LEN bytes at DATA, which http_parser has reported as data of a
 * chunk. */
void fh_skip_chunk_data (fh_chunk_lines_t *lines, const char *data, size_t len);

/* Checks the input before END, up to which it was parsed. Returns whether the lines are valid
 * so far. */
bool fh_check_chunk_lines (fh_chunk_lines_t *lines, const char *end);

#endif
