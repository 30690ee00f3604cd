/* Incremental parser of HTTP/1 requests. */
#ifndef FOXTAILRUN_HTTP_REQUEST_H
#define FOXTAILRUN_HTTP_REQUEST_H

#include <foxtailrun/http/message.h>
#include <glib.h>

/* A complete request; owns the memory that it views. */
typedef struct
{
  fb_str_t method;
  fb_str_t path;
  fb_str_t host;
  size_t header_count;
  fh_header_t *headers;
  GByteArray *body; /* NULL without a body */
  char *head;       /* text that METHOD, PATH, HOST and HEADERS view */
  bool is_head;     /* the response has no body */
  bool keep_alive;
} fh_message_t;

typedef enum
{
  FH_REQUEST_INCOMPLETE,
  FH_REQUEST_COMPLETE, /* see fh_take_message */
  FH_REQUEST_HTTP2,    /* the bytes so far begin an HTTP/2 connection, see fh_get_head */
  FH_REQUEST_UPGRADE,  /* the request asks for an upgrade to HTTP/2, see fh_get_head */
  FH_REQUEST_REJECTED  /* nothing behind it can be read, see fh_get_reject_status */
} fh_request_result_t;

typedef struct fh_request_reader fh_request_reader_t;

/* Creates a reader that accepts bodies of at most BODY_MAX bytes. */
fh_request_reader_t *fh_create_request_reader (size_t body_max);

/* Frees the reader; NULL is allowed. */
void fh_destroy_request_reader (fh_request_reader_t *reader);

/* Parses BYTES up to the end of the request at most and sets *CONSUMED. */
fh_request_result_t fh_parse_request (fh_request_reader_t *reader, fb_bytes_t bytes,
                                      size_t *consumed);

/* Moves the complete request to MESSAGE, freed by fh_clear_message, and prepares for the
 * next one. */
void fh_take_message (fh_request_reader_t *reader, fh_message_t *message);

void fh_clear_message (fh_message_t *message);

/* Returns the status that describes why the request was rejected. */
uint32_t fh_get_reject_status (const fh_request_reader_t *reader);

/* Returns whether nothing of the next request was parsed. */
bool fh_is_between_requests (const fh_request_reader_t *reader);

/* Returns whether the sender waits for an interim response before it sends the body. */
bool fh_expects_continue (const fh_request_reader_t *reader);

/* Returns the raw bytes of the head; borrowed until the next call with READER. */
fb_bytes_t fh_get_head (const fh_request_reader_t *reader);

/* Return the bytes held for the request being parsed: all, of its head and of its body. */
size_t fh_get_reader_size (const fh_request_reader_t *reader);
size_t fh_get_head_size (const fh_request_reader_t *reader);
size_t fh_get_body_size (const fh_request_reader_t *reader);

/* Returns whether the head of the request being parsed is complete. */
bool fh_has_head (const fh_request_reader_t *reader);

/* Frees what was parsed of an incomplete request; nothing more may be parsed. */
void fh_discard_request (fh_request_reader_t *reader);

#endif
