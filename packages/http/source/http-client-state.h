/* State of the HTTP client, shared by its files. */
#ifndef FOXTAILRUN_HTTP_CLIENT_STATE_H
#define FOXTAILRUN_HTTP_CLIENT_STATE_H

#include "http-response.h"
#include <glib.h>
#include <netinet/in.h>

typedef struct connection connection_t;

struct fh_client
{
  fk_kernel_t *kernel;
  struct sockaddr_storage server_address;
  fb_name_t address;
  uint16_t port;
  size_t idle_max;
  size_t body_max;
  uint64_t io_timeout_ms;
  uint64_t connect_timeout_ms;
  size_t buffered_bytes;   /* of incomplete responses */
  bool server_echoes;      /* the server has repeated the echoed header */
  unsigned unidentified;   /* responses without the echoed header since */
  GQueue idle_connections; /* connection_t, most recently used first */
  GQueue exchanges;        /* fh_exchange_t in progress */
};

struct connection
{
  uv_tcp_t stream;
  uv_timer_t timer;
  uv_connect_t connect_request;
  fh_client_t *client;
  fh_exchange_t *exchange; /* NULL while idle */
  fh_reader_t *reader;
  fb_holder_t holder;       /* share of the process's account */
  size_t buffered_bytes;    /* share of the client's */
  uint64_t received_bytes;  /* since the connection was established */
  size_t pending_writes;    /* writes not yet passed to the operating system */
  uint64_t idle_timeout_ms; /* close the connection when idle for longer */
  bool reused;
  bool out_of_sync; /* a response to another request arrived; do not reuse the connection */
  unsigned other_responses; /* dropped since */
  bool closing;
  int open_handles;
  GList link; /* in idle_connections of the client */
};

struct fh_exchange
{
  fh_client_t *client;
  connection_t *connection;
  fh_done_fn_t done;
  void *user;
  GString *request_text;
  fh_header_t echoed_header; /* views of echoed_header_text */
  char *echoed_header_text;
  uint64_t io_timeout_ms;
  bool is_head;
  bool requires_echo;
  bool repeatable;
  bool allows_close_delimited;
  bool sent;
  bool resent; /* sent before on a connection that then closed */
  GList link;  /* in exchanges of the client */
};

/* Which request a response answers, by the echoed header. */
typedef enum
{
  ANSWERS_REQUEST,       /* that of the exchange */
  ANSWERS_OTHER_REQUEST, /* another one, such as an earlier one of the connection */
  ANSWERS_NO_REQUEST     /* it names none, or several */
} response_target_t;

/* http-client-echo.c */

/* Returns whether the server repeats the header of EXCHANGE in RESPONSE. If not, the next
 * response on the connection could not be told from an earlier one. */
bool fh_has_echo (const fh_exchange_t *exchange, const fh_response_t *response);

response_target_t fh_find_response_target (const fh_exchange_t *exchange,
                                           const fh_response_t *response);

/* Records whether the server repeats the header of EXCHANGE. */
void fh_record_echo (const fh_exchange_t *exchange, const fh_response_t *response);

/* http-client-idle.c */

/* Returns the allowed idle time in ms, from RESPONSE's "Keep-Alive: timeout=SECONDS" and the
 * client's own. */
uint64_t fh_parse_idle_timeout (const fh_response_t *response);

/* http-client-socket.c */

/* Makes the OS close the connection when data stays unacknowledged. Errors are ignored:
 * without these options exchanges still time out. */
void fh_detect_dead_peer (const connection_t *connection);

/* Returns whether the server has ended the stream in order. ERROR does not tell: libuv reports
 * UV_EOF for a reset that arrives together with bytes, or after a write has failed with it. */
bool fh_has_orderly_end (const connection_t *connection, ssize_t error);

/* http-client-request.c */

/* Returns the text of REQUEST; free with g_string_free. */
GString *fh_format_request (const fh_client_t *client, const fh_client_request_t *request);

#endif
