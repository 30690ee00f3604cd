/* HTTP client on the kernel's loop: whole requests to one server, with reuse of connections. */
#ifndef FOXTAILRUN_HTTP_CLIENT_H
#define FOXTAILRUN_HTTP_CLIENT_H

#include "message.h"
#include <foxtailrun/kernel/kernel.h>

/* How an exchange ended. */
typedef enum
{
  FH_ANSWERED,  /* a whole response */
  FH_NOT_SENT,  /* no connection; nothing reached the server */
  FH_TRUNCATED, /* the response broke off, or its length cannot be known */
  FH_NO_ANSWER, /* the request was sent, and the connection ended without a response */
  FH_TOO_LARGE  /* the response is over the limit */
} fh_result_t;

typedef struct
{
  fb_str_t method;
  fb_str_t path;
  size_t header_count;
  const fh_header_t
      *headers; /* connection headers, host and length are left out and made anew */
  fb_bytes_t body;
  fb_str_t host; /* host header; the server's address and port when empty */
  fh_header_t
      echoed_header; /* header that the server repeats in its response; a response with another
               value belongs to another request and is dropped. No name: not checked */
  bool new_connection; /* use a new connection, so that a stale one cannot leave the outcome
                          open */
  bool repeatable; /* send again when the server closes a kept connection without a response */
  bool allows_close_delimited; /* take a body without a length as whole when the connection ends
                                  in order */
} fh_client_request_t;

/* A response; borrowed during the callback. */
typedef struct
{
  fh_result_t result;
  uint32_t status; /* 0 unless FH_ANSWERED */
  size_t header_count;
  const fh_header_t *headers;
  fb_bytes_t body;
  bool close_delimited; /* the body ended with the connection, which a server that breaks off
                    may do too */
  const char *error;    /* what went wrong, static */
} fh_response_t;

typedef struct fh_client fh_client_t;
typedef struct fh_exchange fh_exchange_t;

typedef void (*fh_done_fn_t) (const fh_response_t *response, void *user);

/* Creates a client for one server that keeps at most IDLE_MAX idle connections and takes
 * responses of at most BODY_MAX bytes; IO_TIMEOUT in ns bounds connecting and each wait for
 * data. */
fh_client_t *fh_create_client (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                               size_t idle_max, size_t body_max, fb_time_t io_timeout);

/* Bounds the time in which a connection must be established; at first as IO_TIMEOUT. */
void fh_set_connect_timeout (fh_client_t *client, fb_time_t timeout);

/* Closes the connections that no exchange uses. */
void fh_close_idle (fh_client_t *client);

/* Cancels all exchanges and frees the client; NULL is allowed. */
void fh_destroy_client (fh_client_t *client);

/* Sends a request, copying all parts. DONE is called once, later, from the loop, unless the
 * exchange is cancelled first. */
fh_exchange_t *fh_send_request (fh_client_t *client, const fh_client_request_t *outgoing,
                                fh_done_fn_t done, void *user);

/* Closes the connection of an exchange without calling DONE; returns whether the request may
 * have been sent. */
bool fh_cancel_exchange (fh_exchange_t *exchange);

#endif
