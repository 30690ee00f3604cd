/* HTTP client: exchanges over connections that are kept for reuse. */
#include "http-response.h"
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Idle connections are closed after this time in ms, before usual servers close them. */
#define IDLE_TIMEOUT_MS 4000

/* Part of the idle time that a server announces after which a connection is not reused. */
#define KEEP_ALIVE_PART 0.8

/* Probes that find a connection which went silent: after this idle time in s, that many, so far
 * apart in s. A silent server is noticed within 3 s. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2

/* Time in ms after which written bytes that nobody acknowledges end the connection. */
#define USER_TIMEOUT_MS 3000

typedef struct connection connection_t;

struct fh_client
{
  fk_kernel_t *kernel;
  struct sockaddr_storage to;
  fb_name_t address;
  uint16_t port;
  size_t idle_max;
  size_t body_max;
  uint64_t io_ms;
  uint64_t connect_ms;
  GQueue idle;      /* connection_t, the last used first */
  GQueue exchanges; /* fh_exchange_t not ended */
};

struct connection
{
  uv_tcp_t stream;
  uv_timer_t timer;
  uv_connect_t connect;
  fh_client_t *client;
  fh_exchange_t *exchange; /* NULL while idle */
  fh_reader_t *reader;
  size_t writes;    /* not yet handed to the operating system */
  uint64_t idle_ms; /* how long the server keeps it idle */
  bool reused;
  bool tainted; /* an answer of another request came; the stream cannot be trusted further */
  bool closing;
  int open_handles;
  GList link; /* in the client's idle connections */
};

struct fh_exchange
{
  fh_client_t *client;
  connection_t *connection;
  fh_done_fn_t done;
  void *user;
  GString *request;
  fh_header_t echo; /* views of ECHO_TEXT */
  char *echo_text;
  bool is_head;
  bool repeatable;
  bool until_close;
  bool sent;
  GList link; /* in the client's exchanges */
};

typedef struct
{
  uv_write_t write;
  connection_t *connection;
  GString *bytes;
} write_t;

static void start_exchange (fh_exchange_t *exchange, bool fresh);

static void
free_connection (uv_handle_t *handle)
{
  connection_t *connection = handle->data;

  if (--connection->open_handles > 0)
    return;
  fh_destroy_reader (connection->reader);
  g_free (connection);
}

static void
close_connection (connection_t *connection)
{
  if (connection->closing)
    return;
  connection->closing = true;
  if (connection->link.data)
    {
      g_queue_unlink (&connection->client->idle, &connection->link);
      connection->link.data = NULL;
    }
  if (connection->exchange)
    connection->exchange->connection = NULL;
  connection->exchange = NULL;
  uv_close ((uv_handle_t *)&connection->stream, free_connection);
  uv_close ((uv_handle_t *)&connection->timer, free_connection);
}

static void
free_exchange (fh_exchange_t *exchange)
{
  g_queue_unlink (&exchange->client->exchanges, &exchange->link);
  g_string_free (exchange->request, TRUE);
  g_free (exchange->echo_text);
  g_free (exchange);
}

static void
finish_exchange (fh_exchange_t *exchange, const fh_response_t *response)
{
  exchange->done (response, exchange->user);
  free_exchange (exchange);
}

/* Ends the exchange on CONNECTION, if any, and closes the connection. */
static void
fail_connection (connection_t *connection, fh_result_t result, const char *error)
{
  fh_exchange_t *exchange = connection->exchange;
  fh_response_t response = { .result = result, .error = error };
  bool unused = connection->reused && !fh_has_begun (connection->reader);

  close_connection (connection);
  if (!exchange)
    return;
  /* The server closed an idle connection as the request was on its way. */
  if (unused && result == FH_NO_ANSWER && exchange->repeatable)
    start_exchange (exchange, true);
  else
    finish_exchange (exchange, &response);
}

static void
expire_connection (uv_timer_t *timer)
{
  connection_t *connection = timer->data;

  if (!connection->exchange || !connection->exchange->sent)
    fail_connection (connection, FH_NOT_SENT, "no connection within the limit");
  else if (fh_has_headers (connection->reader))
    fail_connection (connection, FH_TRUNCATED, "response went silent");
  else
    {
      /* A silent server is no reason to send the request once more. */
      connection->reused = false;
      fail_connection (connection, FH_NO_ANSWER, "no response within the limit");
    }
}

static void
start_timer (connection_t *connection, uint64_t ms)
{
  uv_timer_start (&connection->timer, expire_connection, ms, 0);
}

/* Returns the idle time in ms that the server announces in "Keep-Alive: timeout=SECONDS". */
static uint64_t
read_idle_time (const fh_response_t *response)
{
  fb_str_t value
      = fh_find_header (response->headers, response->header_count, FB_LITERAL ("keep-alive"));
  char *text = g_ascii_strdown (value.data ? value.data : "", (gssize)value.len);
  const char *found = strstr (text, "timeout=");
  uint64_t ms = IDLE_TIMEOUT_MS;

  if (found)
    ms = MIN (ms, (uint64_t)((double)g_ascii_strtoull (found + 8, NULL, 10) * 1000
                             * KEEP_ALIVE_PART));
  g_free (text);
  return ms;
}

static void
keep_connection (connection_t *connection)
{
  fh_client_t *client = connection->client;

  connection->exchange = NULL;
  if (client->idle.length >= client->idle_max || connection->idle_ms == 0)
    {
      close_connection (connection);
      return;
    }
  connection->link.data = connection;
  g_queue_push_head_link (&client->idle, &connection->link);
  fh_reset_reader (connection->reader, false);
  start_timer (connection, connection->idle_ms);
}

/* Returns whether RESPONSE answers the request of EXCHANGE. Without the header that the server
 * repeats, only the first response on a connection can be told. */
static bool
is_own_answer (const fh_exchange_t *exchange, const fh_response_t *response)
{
  const connection_t *connection = exchange->connection;
  fb_str_t value;

  if (exchange->echo.name.len == 0)
    return true;
  value = fh_find_header (response->headers, response->header_count, exchange->echo.name);
  if (!value.data)
    return !connection->reused && !connection->tainted;
  return fb_equal_str (value, exchange->echo.value);
}

static void
end_response (connection_t *connection, bool reusable)
{
  fh_exchange_t *exchange = connection->exchange;
  fh_response_t response = { .result = FH_ANSWERED };

  fh_view_response (connection->reader, &response);
  connection->idle_ms = read_idle_time (&response);
  reusable = reusable && connection->writes == 0 && !connection->tainted
             && fh_is_kept (connection->reader);
  /* The callback reads the response out of the reader, so that the connection goes on after it.
   */
  connection->exchange = NULL;
  exchange->connection = NULL;
  finish_exchange (exchange, &response);
  if (reusable)
    keep_connection (connection);
  else
    close_connection (connection);
}

static void
take_bytes (connection_t *connection, fb_bytes_t bytes)
{
  while (bytes.len > 0 && !connection->closing)
    {
      fh_response_t response = { 0 };
      size_t used;
      fh_read_t state = fh_feed_reader (connection->reader, bytes, &used);

      if (state == FH_READ_MORE)
        return;
      if (state == FH_READ_LARGE)
        fail_connection (connection, FH_TOO_LARGE, "response over a limit");
      else if (state == FH_READ_BAD)
        {
          connection->reused = false;
          fail_connection (connection,
                           fh_has_headers (connection->reader) ? FH_TRUNCATED : FH_NO_ANSWER,
                           "bytes are no response");
        }
      if (state != FH_READ_DONE)
        return;
      bytes = (fb_bytes_t){ bytes.data + used, bytes.len - used };
      fh_view_response (connection->reader, &response);
      if (is_own_answer (connection->exchange, &response))
        {
          end_response (connection, bytes.len == 0);
          return;
        }
      connection->tainted = true;
      fh_reset_reader (connection->reader, connection->exchange->is_head);
    }
}

static void
end_stream (connection_t *connection, ssize_t error)
{
  fh_exchange_t *exchange = connection->exchange;

  if (exchange && error == UV_EOF && exchange->until_close
      && fh_end_reader (connection->reader) == FH_READ_DONE)
    {
      end_response (connection, false);
      return;
    }
  fail_connection (connection,
                   fh_has_headers (connection->reader) ? FH_TRUNCATED : FH_NO_ANSWER,
                   "connection ended before the response");
}

static void
provide_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[64 * 1024];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
receive_bytes (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  connection_t *connection = stream->data;

  if (length == 0 || connection->closing)
    return;
  if (length < 0)
    end_stream (connection, length);
  else if (!connection->exchange)
    /* Bytes on an idle connection belong to no request. */
    close_connection (connection);
  else
    {
      start_timer (connection, connection->client->io_ms);
      take_bytes (connection, (fb_bytes_t){ (const uint8_t *)buffer->base, (size_t)length });
    }
}

static void
end_write (uv_write_t *request, int status)
{
  write_t *write = (write_t *)request;

  write->connection->writes--;
  g_string_free (write->bytes, TRUE);
  g_free (write);
}

/* Hands the request to the connection. A failed write shows as the end of the stream, after
 * whatever the server has answered. */
static void
write_request (connection_t *connection)
{
  fh_exchange_t *exchange = connection->exchange;
  write_t *write = g_new0 (write_t, 1);
  uv_buf_t buffer;

  write->connection = connection;
  write->bytes = g_string_new_len (exchange->request->str, (gssize)exchange->request->len);
  buffer = uv_buf_init (write->bytes->str, (unsigned)write->bytes->len);
  exchange->sent = true;
  connection->writes++;
  start_timer (connection, connection->client->io_ms);
  if (uv_write (&write->write, (uv_stream_t *)&connection->stream, &buffer, 1, end_write) != 0)
    end_write (&write->write, UV_EIO);
}

static void
set_option (int descriptor, int level, int option, int value)
{
  setsockopt (descriptor, level, option, &value, sizeof value);
}

/* Has the operating system end the connection when the other end no longer acknowledges.
 * Without these options, which a system may lack, the time-outs of exchanges still hold. */
static void
probe_connection (connection_t *connection)
{
  uv_os_fd_t descriptor;

  if (uv_fileno ((const uv_handle_t *)&connection->stream, &descriptor) != 0)
    return;
  set_option (descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
  set_option (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

static void
end_connect (uv_connect_t *request, int status)
{
  connection_t *connection = request->data;

  if (connection->closing)
    return;
  if (status != 0)
    {
      fail_connection (connection, FH_NOT_SENT, "no connection");
      return;
    }
  uv_tcp_nodelay (&connection->stream, 1);
  probe_connection (connection);
  uv_read_start ((uv_stream_t *)&connection->stream, provide_buffer, receive_bytes);
  write_request (connection);
}

static void
open_connection (fh_exchange_t *exchange)
{
  fh_client_t *client = exchange->client;
  connection_t *connection = g_new0 (connection_t, 1);
  uv_loop_t *loop = fk_get_loop (client->kernel);

  connection->client = client;
  connection->exchange = exchange;
  connection->reader = fh_create_reader (client->body_max);
  fh_reset_reader (connection->reader, exchange->is_head);
  uv_tcp_init (loop, &connection->stream);
  uv_timer_init (loop, &connection->timer);
  connection->open_handles = 2;
  connection->stream.data = connection;
  connection->timer.data = connection;
  connection->connect.data = connection;
  exchange->connection = connection;
  /* A connection that cannot even be started ends by its timer, as an exchange must not end
   * within the call that starts it. */
  if (uv_tcp_connect (&connection->connect, &connection->stream,
                      (const struct sockaddr *)&client->to, end_connect)
      != 0)
    start_timer (connection, 0);
  else
    start_timer (connection, client->connect_ms);
}

static void
start_exchange (fh_exchange_t *exchange, bool fresh)
{
  fh_client_t *client = exchange->client;
  GList *link = fresh ? NULL : g_queue_pop_head_link (&client->idle);
  connection_t *connection;

  if (!link)
    {
      open_connection (exchange);
      return;
    }
  connection = link->data;
  link->data = NULL;
  connection->reused = true;
  connection->exchange = exchange;
  exchange->connection = connection;
  fh_reset_reader (connection->reader, exchange->is_head);
  write_request (connection);
}

static void
append_line (GString *text, fb_str_t name, fb_str_t value)
{
  g_string_append_len (text, name.data, (gssize)name.len);
  g_string_append (text, ": ");
  g_string_append_len (text, value.data, (gssize)value.len);
  g_string_append (text, "\r\n");
}

static GString *
format_request (const fh_client_t *client, const fh_client_request_t *outgoing)
{
  GString *text = g_string_sized_new (512 + outgoing->body.len);

  g_string_append_len (text, outgoing->method.data, (gssize)outgoing->method.len);
  g_string_append_c (text, ' ');
  g_string_append_len (text, outgoing->path.data, (gssize)outgoing->path.len);
  g_string_append (text, " HTTP/1.1\r\n");
  if (outgoing->host.len > 0)
    append_line (text, FB_LITERAL ("host"), outgoing->host);
  else
    g_string_append_printf (text, "host: %s:%u\r\n", client->address.data, client->port);
  g_string_append_printf (text, "content-length: %zu\r\n", outgoing->body.len);
  for (size_t i = 0; i < outgoing->header_count; i++)
    {
      if (!fh_is_hop_header (outgoing->headers[i].name))
        append_line (text, outgoing->headers[i].name, outgoing->headers[i].value);
    }
  g_string_append (text, "\r\n");
  g_string_append_len (text, (const char *)outgoing->body.data, (gssize)outgoing->body.len);
  return text;
}

fh_client_t *
fh_create_client (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port, size_t idle_max,
                  size_t body_max, fb_time_t io_timeout)
{
  fh_client_t *client = g_new0 (fh_client_t, 1);

  client->kernel = kernel;
  client->address = *address;
  client->port = port;
  client->idle_max = idle_max;
  client->body_max = body_max;
  client->io_ms = (uint64_t)(io_timeout / FB_MILLISECOND);
  client->connect_ms = client->io_ms;
  if (uv_ip4_addr (address->data, port, (struct sockaddr_in *)&client->to) != 0)
    uv_ip6_addr (address->data, port, (struct sockaddr_in6 *)&client->to);
  return client;
}

void
fh_set_connect_timeout (fh_client_t *client, fb_time_t timeout)
{
  client->connect_ms = (uint64_t)(timeout / FB_MILLISECOND);
}

void
fh_close_idle (fh_client_t *client)
{
  while (client->idle.head)
    close_connection (client->idle.head->data);
}

void
fh_destroy_client (fh_client_t *client)
{
  if (!client)
    return;
  for (GList *link = client->exchanges.head, *next; link; link = next)
    {
      next = link->next;
      fh_cancel_exchange (link->data);
    }
  fh_close_idle (client);
  g_free (client);
}

fh_exchange_t *
fh_send_request (fh_client_t *client, const fh_client_request_t *outgoing, fh_done_fn_t done,
                 void *user)
{
  fh_exchange_t *exchange = g_new0 (fh_exchange_t, 1);
  const fh_header_t *echo = &outgoing->echoed_header;

  exchange->client = client;
  exchange->done = done;
  exchange->user = user;
  exchange->request = format_request (client, outgoing);
  exchange->is_head = fb_equal_str (outgoing->method, FB_LITERAL ("HEAD"));
  exchange->repeatable = outgoing->repeatable;
  exchange->until_close = outgoing->allows_close_delimited;
  if (echo->name.len > 0)
    {
      exchange->echo_text = g_malloc (echo->name.len + echo->value.len + 1);
      memcpy (exchange->echo_text, echo->name.data, echo->name.len);
      if (echo->value.len > 0)
        memcpy (exchange->echo_text + echo->name.len, echo->value.data, echo->value.len);
      exchange->echo
          = (fh_header_t){ { exchange->echo_text, echo->name.len },
                           { exchange->echo_text + echo->name.len, echo->value.len } };
    }
  exchange->link.data = exchange;
  g_queue_push_tail_link (&client->exchanges, &exchange->link);
  start_exchange (exchange, outgoing->new_connection);
  return exchange;
}

bool
fh_cancel_exchange (fh_exchange_t *exchange)
{
  bool sent = exchange->sent;

  if (exchange->connection)
    close_connection (exchange->connection);
  free_exchange (exchange);
  return sent;
}
