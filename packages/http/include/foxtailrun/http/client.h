/* HTTP/1.1 client for one server on the kernel's loop, with connection reuse. Messages are
 * buffered in memory, without streaming. */
#ifndef FOXTAILRUN_HTTP_CLIENT_H
#define FOXTAILRUN_HTTP_CLIENT_H

#include "message.h"
#include <foxtailrun/kernel/kernel.h>

typedef enum
{
  FH_ANSWERED,  /* a complete response was received */
  FH_NOT_SENT,  /* no connection was established; nothing reached the server */
  FH_TRUNCATED, /* the response is incomplete, or its length is unknown */
  FH_NO_ANSWER, /* the request was sent, but no valid response was received */
  FH_TOO_LARGE  /* the response exceeds a size limit */
} fh_result_t;

typedef struct
{
  fb_str_t method;
  fb_str_t path;
  size_t header_count;
  const fh_header_t *headers; /* hop-by-hop headers, host and content-length are skipped; the
                                 client writes its own */
  fb_bytes_t body;
  fb_str_t host; /* value of the host header; if empty, the server's address and port */
  /* Header that the server repeats; a response with another value belongs to another
   * request and is dropped, and a connection is reused only after a response with it. A
   * response without it ends the exchange with FH_NO_ANSWER, except for the first one on a
   * connection to a server that has never repeated it. Not checked if the name is empty. */
  fh_header_t echoed_header;
  bool requires_echo;   /* accept no response without the echoed header */
  fb_time_t io_timeout; /* limit in ns of each wait for data; 0 for the client's */
  bool new_connection;  /* do not reuse an idle connection; if the server closes it as the
                          request is sent, it is unknown whether the request was run */
  bool repeatable;      /* resend if the server closes a reused connection without a response */
  bool allows_close_delimited; /* accept a body without a length as complete when the server
                                  closes the connection without a reset */
} fh_client_request_t;

/* A response, borrowed for the duration of the callback. */
typedef struct
{
  fh_result_t result;
  uint32_t status; /* 0 unless FH_ANSWERED */
  size_t header_count;
  const fh_header_t *headers;
  fb_bytes_t body;
  bool close_delimited; /* the body ended with the connection; it may be truncated */
  const char *error;    /* static description; NULL with FH_ANSWERED */
} fh_response_t;

typedef struct fh_client fh_client_t;
typedef struct fh_exchange fh_exchange_t;

typedef void (*fh_done_fn_t) (const fh_response_t *response, void *user);

/* Creates a client for one server that keeps at most IDLE_MAX idle connections and accepts
 * bodies of at most BODY_MAX bytes. IO_TIMEOUT in ns limits connecting and each wait for data.
 */
fh_client_t *fh_create_client (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                               size_t idle_max, size_t body_max, fb_time_t io_timeout);

/* Sets the time limit in ns for establishing a connection; the default is IO_TIMEOUT. */
void fh_set_connect_timeout (fh_client_t *client, fb_time_t timeout);

/* Closes all idle connections. */
void fh_close_idle (fh_client_t *client);

/* Cancels all exchanges without callbacks and frees the client; NULL is allowed. */
void fh_destroy_client (fh_client_t *client);

/* Copies and sends REQUEST. DONE is called once from the loop, never within this call,
 * unless cancelled first; the exchange is freed after it. */
fh_exchange_t *fh_send_request (fh_client_t *client, const fh_client_request_t *request,
                                fh_done_fn_t done, void *user);

/* Returns whether the request may have been sent. */
bool fh_is_sent (const fh_exchange_t *exchange);

/* Closes EXCHANGE's connection and frees EXCHANGE without its callback. Returns whether the
 * request may have been sent. */
bool fh_cancel_exchange (fh_exchange_t *exchange);

#endif
