/* Incremental parser of HTTP/1 responses. */
#ifndef FOXTAILRUN_HTTP_RESPONSE_H
#define FOXTAILRUN_HTTP_RESPONSE_H

#include <foxtailrun/http/client.h>

typedef enum
{
  FH_READ_INCOMPLETE,
  FH_READ_COMPLETE,
  FH_READ_INVALID,  /* the bytes are not a valid response */
  FH_READ_TOO_LARGE /* the headers or the body exceed a limit */
} fh_read_result_t;

typedef struct fh_reader fh_reader_t;

/* Creates a reader that accepts bodies of at most BODY_MAX bytes. */
fh_reader_t *fh_create_reader (size_t body_max);

/* Frees the reader; NULL is allowed. */
void fh_destroy_reader (fh_reader_t *reader);

/* Prepares for the next response; IS_HEAD if it answers a HEAD request. */
void fh_reset_reader (fh_reader_t *reader, bool is_head);

/* Parses BYTES. With FH_READ_COMPLETE, sets *CONSUMED to the response's bytes. Skips
 * informational (1xx) responses. */
fh_read_result_t fh_parse_bytes (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed);

/* Handles EOF: FH_READ_COMPLETE if the body is close-delimited. */
fh_read_result_t fh_parse_end (fh_reader_t *reader);

/* Returns the bytes held for the response being read. */
size_t fh_get_reader_bytes (const fh_reader_t *reader);

/* Returns whether bytes were received since the last reset. */
bool fh_has_received_bytes (const fh_reader_t *reader);

/* Returns whether the header section is complete. */
bool fh_has_headers (const fh_reader_t *reader);

/* Returns whether the server keeps the connection open after this response. */
bool fh_should_keep_alive (const fh_reader_t *reader);

/* Sets status, headers, body and close_delimited of RESPONSE; views are valid until the
 * next reset. */
void fh_view_response (fh_reader_t *reader, fh_response_t *response);

#endif
