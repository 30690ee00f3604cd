/* Strict decoder of bodies in chunks (RFC 9112, section 7.1). http_parser, built without its
 * strict mode, accepts any bytes in place of the CRLF behind a chunk and drops them. */
#ifndef FOXTAILRUN_HTTP_CHUNKS_H
#define FOXTAILRUN_HTTP_CHUNKS_H

#include <foxtailrun/base/string.h>
#include <glib.h>

typedef enum
{
  FH_CHUNK_START, /* before the first digit of a size */
  FH_CHUNK_SIZE,
  FH_CHUNK_EXTENSION,
  FH_CHUNK_SIZE_CR, /* after the CR behind size and extension */
  FH_CHUNK_DATA,
  FH_CHUNK_DATA_END, /* before the CR behind the data */
  FH_CHUNK_DATA_CR,
  /* Nothing is decoded in these. */
  FH_CHUNK_LAST, /* after the size line of the last chunk; the trailers follow */
  FH_CHUNK_INVALID
} fh_chunk_state_t;

typedef struct
{
  fh_chunk_state_t state;
  size_t left;     /* bytes of data */
  size_t line_len; /* of the size line */
} fh_chunks_t;

void fh_begin_chunks (fh_chunks_t *chunks);

/* Decodes BYTES up to and including the size line of the last chunk, and appends the data to
 * BODY while it holds at most BODY_MAX bytes. Returns the number of bytes decoded. The state is
 * then FH_CHUNK_LAST behind that line, FH_CHUNK_INVALID after a byte that is not allowed or a
 * size line that is too long, FH_CHUNK_DATA if the data exceeds BODY_MAX. */
size_t fh_decode_chunks (fh_chunks_t *chunks, fb_bytes_t bytes, GByteArray *body,
                         size_t body_max);

#endif
