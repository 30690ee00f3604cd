/* State of the HTTP server, shared by its files. */
#ifndef FOXTAILRUN_HTTP_SERVER_STATE_H
#define FOXTAILRUN_HTTP_SERVER_STATE_H

#include "http-pipeline.h"
#include "http-request.h"
#include <foxtailrun/http/server.h>
#include <time.h>

typedef struct fh_connection fh_connection_t;
typedef struct fh_http2 fh_http2_t;

/* A caller's TCP connection. The handle comes first, so that its pointer converts to the
 * stream; its data pointer belongs to the protocol in use. */
typedef struct
{
  uv_tcp_t handle;
  fh_server_t *server;
  fh_connection_t *connection; /* NULL with HTTP/2 */
  fb_holder_t holder;          /* HTTP/2 only, as are the fields below */
  int descriptor;
  uint64_t received;     /* bytes */
  uint64_t acknowledged; /* bytes that the peer has taken */
  uint64_t credited;     /* of RECEIVED: not held any more, or in HANDLED_BYTES */
  size_t handled_bytes;  /* held for complete requests and their responses */
  bool can_pause;
  uv_alloc_cb allocate; /* callbacks of h2o */
  uv_read_cb receive;
} fh_stream_t;

struct fh_server
{
  fk_kernel_t *kernel;
  size_t body_max;
  fh_pipeline_limits_t limits;
  uint64_t idle_timeout_ms;
  fh_timeouts_t timeouts;
  size_t connections_max; /* 0 for no limit */
  size_t stream_count;    /* connections whose descriptor is open */
  bool accept_pending;    /* a connection waits to be accepted */
  size_t request_copies;  /* of a request that is being handled */
  bool is_admin;
  uv_tcp_t listener;
  bool listening;
  bool keep_alive_disabled; /* close connections after their next response, so that the process
                               can stop */
  fh_handler_fn_t handler;
  fh_overlap_check_fn_t may_overlap;
  void *user;
  fh_http2_t *http2;    /* NULL before the first HTTP/2 connection */
  GQueue connections;   /* fh_connection_t */
  GQueue waiting;       /* fh_connection_t without a request, longest first */
  GQueue transfers;     /* fh_connection_t that send a request or receive a response */
  GQueue lingering;     /* fh_connection_t that only waits for the caller to close */
  uv_timer_t expiry;    /* of the next check of these queues */
  size_t request_count; /* not yet answered */
  time_t date_time;     /* that DATE tells */
  char date[32];        /* value of the header date */
  fb_counter_t *closed_before_read; /* requests whose caller had disconnected */
  fb_counter_t *pipelined;          /* requests behind an unanswered one of their connection */
  fb_counter_t *paused;             /* connections not read further because of a limit */
  fb_counter_t *rejected;           /* connections closed for bytes that are no request */
  fb_counter_t *refused;            /* requests refused for lack of memory */
  fb_counter_t *slow_heads;         /* connections closed for slow heads */
  fb_counter_t *slow_bodies;        /* connections closed for slow bodies */
  fb_counter_t *slow_readers;       /* connections closed for responses without progress */
  fb_counter_t *displaced;          /* idle connections closed for others */
};

typedef struct
{
  uint32_t status;
  const fh_header_t *headers;
  size_t header_count;
  fb_bytes_t body;
  bool has_length; /* otherwise the body ends with the connection */
} fh_reply_t;

/* Sends REPLY, borrowed, and frees REQUEST. */
typedef void (*fh_respond_fn_t) (fh_request_t *request, const fh_reply_t *reply);

struct fh_request
{
  fh_server_t *server;
  fh_message_t message;
  fb_time_t arrived_at;
  fh_respond_fn_t respond;
  void *transport; /* of RESPOND; NULL once the connection is closed */
  fh_cancelled_fn_t cancelled;
  void *cancel_user;
  fh_slot_t slot;    /* HTTP/1 only, as are the fields below */
  char prefix[192];  /* start of the response, see fh_format_prefix */
  GString *response; /* the rest; NULL until answered */
  uint32_t status;   /* of the response */
};

/* http-server.c */

/* Creates a request that arrived now and is answered by RESPOND. */
fh_request_t *fh_create_request (fh_server_t *server, fh_respond_fn_t respond, void *transport);

void fh_destroy_request (fh_request_t *request);

/* Passes REQUEST to the server's handler. */
void fh_handle_request (fh_request_t *request);

/* Notifies REQUEST's owner, at most once, that the caller disconnected. */
void fh_notify_cancelled (fh_request_t *request);

/* Returns whether the caller has closed its end of the connection with DESCRIPTOR. */
bool fh_is_caller_disconnected (int descriptor);

/* Accepts a connection that waits, if there is room for one. */
void fh_accept_pending (fh_server_t *server);

/* Counts a connection whose descriptor was closed, and accepts one that waits. */
void fh_count_closed_stream (fh_server_t *server);

/* http-reply.c */

/* Stores the response of REQUEST but for its prefix. */
void fh_format_response (fh_request_t *request, const fh_reply_t *reply);

/* Stores the prefix of the response: status line and the headers that depend on the time of
 * sending. CLOSES tells the caller that the connection ends after it. */
void fh_format_prefix (fh_request_t *request, bool closes);

/* http-holder.c */

/* Returns a number for the address of STREAM's peer, 0 if it is the host's own. */
uint64_t fh_get_client_number (const fh_server_t *server, const fh_stream_t *stream);

/* http-connection.c */

/* Starts to read requests from STREAM, which the connection owns from now on. */
void fh_start_connection (fh_server_t *server, fh_stream_t *stream);

/* Closes CONNECTION if it is idle. */
void fh_close_idle_connection (fh_connection_t *connection);

/* Frees CONNECTION, whose handle is closed. */
void fh_destroy_connection (fh_connection_t *connection);

/* http-expiry.c */

/* Closes a connection whose transfer makes no progress; returns whether there was one. */
bool fh_close_slow_connection (fh_server_t *server);

/* Closes the connections whose time limit has passed. */
void fh_expire_connections (uv_timer_t *timer);

/* http-http2.c */

/* Hands over STREAM, from which BYTES were read: with UPGRADE an HTTP/1 request that asks for
 * HTTP/2, otherwise the start of an HTTP/2 connection. */
void fh_start_http2 (fh_server_t *server, fh_stream_t *stream, fb_bytes_t bytes, bool upgrade);

/* Asks callers of HTTP/2 connections to send no more requests. */
void fh_shut_down_http2 (fh_http2_t *http2);

/* Frees HTTP2; NULL is allowed. */
void fh_destroy_http2 (fh_http2_t *http2);

#endif
