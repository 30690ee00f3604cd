#include "http-client-state.h"
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Bytes held for all incomplete responses of a client, in largest bodies. Servers that send
 * bodies without end reach the limit of each response at about the same time. */
#define BUFFERED_BODIES_MAX 2

/* Responses to other requests that an exchange drops. A server in trouble may send them without
 * end. */
#define OTHER_RESPONSES_MAX 16

typedef struct
{
  uv_write_t write;
  connection_t *connection;
  GString *bytes;
} write_t;

static void start_exchange (fh_exchange_t *exchange, bool new_connection);
static void fail_connection (connection_t *connection, fh_result_t result, const char *error);
static void allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer);
static void receive_bytes (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);

static void
free_connection (uv_handle_t *handle)
{
  connection_t *connection = handle->data;

  if (--connection->open_handles > 0)
    return;
  fh_destroy_reader (connection->reader);
  g_free (connection);
}

static fb_time_t
read_time (const connection_t *connection)
{
  return fb_read_clock (fk_get_clock (connection->client->kernel));
}

/* Sets the bytes that CONNECTION holds for an incomplete response. */
static void
set_buffered_bytes (connection_t *connection, size_t bytes)
{
  connection->client->buffered_bytes += bytes - connection->buffered_bytes;
  connection->buffered_bytes = bytes;
  fb_hold (&connection->holder, FB_HELD_ANSWER, bytes);
}

static connection_t *
get_connection (const fb_holder_t *holder)
{
  return (connection_t *)(void *)((char *)holder - offsetof (connection_t, holder));
}

static void
set_paused (fb_holder_t *holder, bool paused)
{
  connection_t *connection = get_connection (holder);

  if (connection->closing || !uv_is_readable ((uv_stream_t *)&connection->stream))
    return;
  if (paused)
    uv_read_stop ((uv_stream_t *)&connection->stream);
  else
    uv_read_start ((uv_stream_t *)&connection->stream, allocate_buffer, receive_bytes);
}

static bool
has_input (const fb_holder_t *holder)
{
  uv_os_fd_t descriptor;
  int length = 0;

  return uv_fileno ((const uv_handle_t *)&get_connection (holder)->stream, &descriptor) == 0
         && ioctl (descriptor, FIONREAD, &length) == 0 && length > 0;
}

static void
close_holder (fb_holder_t *holder)
{
  connection_t *connection = get_connection (holder);

  connection->reused = false; /* the request must not be sent again at once */
  fail_connection (connection, FH_TOO_LARGE, "the memory budget is short");
}

static void
close_connection (connection_t *connection)
{
  if (connection->closing)
    return;
  connection->closing = true;
  set_buffered_bytes (connection, 0);
  fb_remove_holder (&connection->holder);
  if (connection->link.data)
    {
      g_queue_unlink (&connection->client->idle_connections, &connection->link);
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
  g_string_free (exchange->request_text, TRUE);
  g_free (exchange->echoed_header_text);
  g_free (exchange);
}

static void
finish_exchange (fh_exchange_t *exchange, const fh_response_t *response)
{
  exchange->done (response, exchange->user);
  free_exchange (exchange);
}

/* Closes CONNECTION and fails its exchange, if any. A repeatable request on a reused
 * connection is sent again instead if the server closed it without a response. */
static void
fail_connection (connection_t *connection, fh_result_t result, const char *error)
{
  fh_exchange_t *exchange = connection->exchange;
  fh_response_t response = { .result = result, .error = error };
  bool stale = connection->reused && !connection->out_of_sync
               && !fh_has_received_bytes (connection->reader);

  close_connection (connection);
  if (!exchange)
    return;
  /* The server closed the idle connection while the request was being sent. */
  if (stale && result == FH_NO_ANSWER && exchange->repeatable)
    {
      exchange->resent = true;
      start_exchange (exchange, true);
      return;
    }
  /* The server may have run what was sent on the first connection. */
  if (exchange->resent && result == FH_NOT_SENT)
    response.result = FH_NO_ANSWER;
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
      /* After a timeout the server may still run the request: do not resend. */
      connection->reused = false;
      fail_connection (connection, FH_NO_ANSWER, "no response within the limit");
    }
}

static void
start_timer (connection_t *connection, uint64_t timeout_ms)
{
  uv_timer_start (&connection->timer, expire_connection, timeout_ms, 0);
}

/* Makes CONNECTION available for reuse, or closes it if enough are idle. */
static void
release_connection (connection_t *connection)
{
  fh_client_t *client = connection->client;

  connection->exchange = NULL;
  set_buffered_bytes (connection, 0);
  fb_hold (&connection->holder, FB_HELD_CALL, 0);
  if (client->idle_connections.length >= client->idle_max || connection->idle_timeout_ms == 0)
    {
      close_connection (connection);
      return;
    }
  connection->link.data = connection;
  g_queue_push_head_link (&client->idle_connections, &connection->link);
  fh_reset_reader (connection->reader, false);
  start_timer (connection, connection->idle_timeout_ms);
}

static void
complete_response (connection_t *connection, bool reusable)
{
  fh_exchange_t *exchange = connection->exchange;
  fh_response_t response = { .result = FH_ANSWERED };

  fh_view_response (connection->reader, &response);
  connection->idle_timeout_ms = fh_parse_idle_timeout (&response);
  reusable = reusable && connection->pending_writes == 0 && !connection->out_of_sync
             && fh_has_echo (exchange, &response) && fh_should_keep_alive (connection->reader);
  /* The response views the reader's memory: reset only after the callback. */
  connection->exchange = NULL;
  exchange->connection = NULL;
  finish_exchange (exchange, &response);
  if (reusable)
    release_connection (connection);
  else
    close_connection (connection);
}

/* The bytes may stand in place of the response, which then never comes: waiting would last
 * until the deadline. */
static void
fail_unidentified (connection_t *connection)
{
  connection->reused = false;
  fail_connection (connection, FH_NO_ANSWER, "response does not name its request");
}

/* Fails CONNECTION if the client holds too many bytes with it. */
static void
check_buffered_bytes (connection_t *connection)
{
  const fh_client_t *client = connection->client;

  set_buffered_bytes (connection, fh_get_reader_bytes (connection->reader));
  if (client->buffered_bytes > client->body_max * BUFFERED_BODIES_MAX)
    fail_connection (connection, FH_TOO_LARGE, "incomplete responses over a limit");
  else
    fb_check_pause (&connection->holder);
}

static void
parse_bytes (connection_t *connection, fb_bytes_t bytes)
{
  while (bytes.len > 0 && !connection->closing)
    {
      fh_response_t response = { 0 };
      size_t consumed;
      fh_read_result_t result = fh_parse_bytes (connection->reader, bytes, &consumed);

      if (result == FH_READ_INCOMPLETE)
        {
          check_buffered_bytes (connection);
          return;
        }
      if (result == FH_READ_TOO_LARGE)
        fail_connection (connection, FH_TOO_LARGE, "response over a limit");
      else if (result == FH_READ_INVALID)
        {
          connection->reused = false;
          fail_connection (connection,
                           fh_has_headers (connection->reader) ? FH_TRUNCATED : FH_NO_ANSWER,
                           "bytes are no response");
        }
      if (result != FH_READ_COMPLETE)
        return;
      bytes = (fb_bytes_t){ bytes.data + consumed, bytes.len - consumed };
      fh_view_response (connection->reader, &response);
      fh_record_echo (connection->exchange, &response);
      switch (fh_find_response_target (connection->exchange, &response))
        {
        case ANSWERS_REQUEST:
          complete_response (connection, bytes.len == 0);
          return;
        case ANSWERS_NO_REQUEST:
          fail_unidentified (connection);
          return;
        case ANSWERS_OTHER_REQUEST:
          break;
        }
      connection->out_of_sync = true;
      if (++connection->other_responses > OTHER_RESPONSES_MAX)
        {
          connection->reused = false;
          fail_connection (connection, FH_NO_ANSWER, "too many responses to other requests");
          return;
        }
      fh_reset_reader (connection->reader, connection->exchange->is_head);
    }
}

static void
handle_stream_end (connection_t *connection, ssize_t error)
{
  fh_exchange_t *exchange = connection->exchange;
  fh_response_t response = { 0 };

  if (exchange && exchange->allows_close_delimited && fh_has_orderly_end (connection, error)
      && fh_parse_end (connection->reader) == FH_READ_COMPLETE)
    {
      fh_view_response (connection->reader, &response);
      fh_record_echo (exchange, &response);
      switch (fh_find_response_target (exchange, &response))
        {
        case ANSWERS_REQUEST:
          complete_response (connection, false);
          return;
        case ANSWERS_NO_REQUEST:
          fail_unidentified (connection);
          return;
        case ANSWERS_OTHER_REQUEST:
          connection->out_of_sync = true;
          fail_connection (connection, FH_NO_ANSWER,
                           "connection ended with a response to another request");
          return;
        }
    }
  fail_connection (connection,
                   fh_has_headers (connection->reader) ? FH_TRUNCATED : FH_NO_ANSWER,
                   "connection ended before the response");
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[64 * 1024];
  const connection_t *connection = handle->data;
  size_t length = fb_get_read_size (fk_get_account (connection->client->kernel));

  *buffer = uv_buf_init (bytes, (unsigned)MIN (length, sizeof bytes));
}

static void
receive_bytes (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  connection_t *connection = stream->data;

  if (length == 0 || connection->closing)
    return;
  if (length > 0)
    connection->received_bytes += (uint64_t)length;
  if (length < 0)
    handle_stream_end (connection, length);
  else if (!connection->exchange)
    /* Unexpected bytes on an idle connection belong to no request. */
    close_connection (connection);
  else
    {
      start_timer (connection, connection->exchange->io_timeout_ms);
      if (connection->holder.total > FB_HELD_SMALL)
        {
          fb_time_t now = read_time (connection);

          fb_set_peer_turn (&connection->holder, true, now);
          fb_count_progress (&connection->holder, (size_t)length, now);
        }
      parse_bytes (connection, (fb_bytes_t){ (const uint8_t *)buffer->base, (size_t)length });
    }
}

static void
complete_write (uv_write_t *request, int status)
{
  write_t *write = (write_t *)request;

  write->connection->pending_writes--;
  g_string_free (write->bytes, TRUE);
  g_free (write);
}

/* Write errors are ignored: they also end the stream, and a response sent before can still
 * be read. */
static void
write_request (connection_t *connection)
{
  fh_exchange_t *exchange = connection->exchange;
  const GString *text = exchange->request_text;
  uv_buf_t buffer = uv_buf_init (text->str, (unsigned)text->len);
  int sent = uv_try_write ((uv_stream_t *)&connection->stream, &buffer, 1);
  size_t rest = text->len - (size_t)MAX (sent, 0);
  write_t *write;

  exchange->sent = true;
  start_timer (connection, exchange->io_timeout_ms);
  fb_set_peer_turn (&connection->holder, false, 0);
  fb_hold (&connection->holder, FB_HELD_CALL, text->len + rest);
  if (rest == 0)
    return;
  write = g_new0 (write_t, 1);
  write->connection = connection;
  write->bytes = g_string_new_len (text->str + text->len - rest, (gssize)rest);
  buffer = uv_buf_init (write->bytes->str, (unsigned)rest);
  connection->pending_writes++;
  if (uv_write (&write->write, (uv_stream_t *)&connection->stream, &buffer, 1, complete_write)
      != 0)
    complete_write (&write->write, UV_EIO);
}

static void
complete_connect (uv_connect_t *request, int status)
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
  fh_detect_dead_peer (connection);
  if (!connection->holder.paused)
    uv_read_start ((uv_stream_t *)&connection->stream, allocate_buffer, receive_bytes);
  write_request (connection);
}

static void
open_connection (fh_exchange_t *exchange)
{
  static const fb_holder_class_t class = { set_paused, has_input, close_holder };
  fh_client_t *client = exchange->client;
  connection_t *connection = g_new0 (connection_t, 1);
  uv_loop_t *loop = fk_get_loop (client->kernel);

  connection->client = client;
  connection->exchange = exchange;
  connection->reader = fh_create_reader (client->body_max);
  fb_add_holder (fk_get_account (client->kernel), &connection->holder, &class, 0,
                 read_time (connection));
  fh_reset_reader (connection->reader, exchange->is_head);
  uv_tcp_init (loop, &connection->stream);
  uv_timer_init (loop, &connection->timer);
  connection->open_handles = 2;
  connection->stream.data = connection;
  connection->timer.data = connection;
  connection->connect_request.data = connection;
  exchange->connection = connection;
  /* The timer reports an immediate failure: the callback must not run within
   * fh_send_request. */
  if (uv_tcp_connect (&connection->connect_request, &connection->stream,
                      (const struct sockaddr *)&client->server_address, complete_connect)
      != 0)
    start_timer (connection, 0);
  else
    start_timer (connection, client->connect_timeout_ms);
}

static void
start_exchange (fh_exchange_t *exchange, bool new_connection)
{
  fh_client_t *client = exchange->client;
  GList *link = new_connection ? NULL : g_queue_pop_head_link (&client->idle_connections);
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
  client->io_timeout_ms = (uint64_t)(io_timeout / FB_MILLISECOND);
  client->connect_timeout_ms = client->io_timeout_ms;
  if (uv_ip4_addr (address->data, port, (struct sockaddr_in *)&client->server_address) != 0)
    uv_ip6_addr (address->data, port, (struct sockaddr_in6 *)&client->server_address);
  return client;
}

void
fh_set_connect_timeout (fh_client_t *client, fb_time_t timeout)
{
  client->connect_timeout_ms = (uint64_t)(timeout / FB_MILLISECOND);
}

void
fh_close_idle (fh_client_t *client)
{
  while (client->idle_connections.head)
    close_connection (client->idle_connections.head->data);
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
fh_send_request (fh_client_t *client, const fh_client_request_t *request, fh_done_fn_t done,
                 void *user)
{
  fh_exchange_t *exchange = g_new0 (fh_exchange_t, 1);
  const fh_header_t *echo = &request->echoed_header;

  exchange->client = client;
  exchange->done = done;
  exchange->user = user;
  exchange->request_text = fh_format_request (client, request);
  exchange->io_timeout_ms = request->io_timeout > 0
                                ? (uint64_t)(request->io_timeout / FB_MILLISECOND)
                                : client->io_timeout_ms;
  exchange->is_head = fb_equal_str (request->method, FB_LITERAL ("HEAD"));
  exchange->requires_echo = request->requires_echo;
  exchange->repeatable = request->repeatable;
  exchange->allows_close_delimited = request->allows_close_delimited;
  if (echo->name.len > 0)
    {
      exchange->echoed_header_text = g_malloc (echo->name.len + echo->value.len + 1);
      memcpy (exchange->echoed_header_text, echo->name.data, echo->name.len);
      if (echo->value.len > 0)
        memcpy (exchange->echoed_header_text + echo->name.len, echo->value.data,
                echo->value.len);
      exchange->echoed_header
          = (fh_header_t){ { exchange->echoed_header_text, echo->name.len },
                           { exchange->echoed_header_text + echo->name.len, echo->value.len } };
    }
  exchange->link.data = exchange;
  g_queue_push_tail_link (&client->exchanges, &exchange->link);
  start_exchange (exchange, request->new_connection);
  return exchange;
}

bool
fh_is_sent (const fh_exchange_t *exchange)
{
  return exchange->sent;
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
