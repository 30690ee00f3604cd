/* Reads HTTP/1 responses out of the bytes of a connection. */
#ifndef FOXTAILRUN_HTTP_RESPONSE_H
#define FOXTAILRUN_HTTP_RESPONSE_H

#include <foxtailrun/http/client.h>

typedef enum
{
  FH_READ_MORE, /* the response goes on */
  FH_READ_DONE, /* the response is whole */
  FH_READ_BAD,  /* the bytes are no response */
  FH_READ_LARGE /* over a limit */
} fh_read_t;

typedef struct fh_reader fh_reader_t;

/* Creates a reader for bodies of at most BODY_MAX bytes. */
fh_reader_t *fh_create_reader (size_t body_max);

/* Frees the reader; NULL is allowed. */
void fh_destroy_reader (fh_reader_t *reader);

/* Starts with the next response; IS_HEAD when it answers a HEAD request. */
void fh_reset_reader (fh_reader_t *reader, bool is_head);

/* Takes BYTES; with FH_READ_DONE, *USED of them belong to the response. Informational responses
 * are passed over. */
fh_read_t fh_feed_reader (fh_reader_t *reader, fb_bytes_t bytes, size_t *used);

/* Takes the orderly end of the connection: FH_READ_DONE when the response ends by it. */
fh_read_t fh_end_reader (fh_reader_t *reader);

/* Returns whether any byte of a response has come since the reset. */
bool fh_has_begun (const fh_reader_t *reader);

/* Returns whether the header section is whole. */
bool fh_has_headers (const fh_reader_t *reader);

/* Returns whether the server keeps the connection open after this response. */
bool fh_is_kept (const fh_reader_t *reader);

/* Fills status, headers and body of RESPONSE with views that are valid until the reset. */
void fh_view_response (fh_reader_t *reader, fh_response_t *response);

#endif
