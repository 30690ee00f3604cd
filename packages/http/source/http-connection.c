/* HTTP/1 connection of a caller: reads requests, hands them to the server's handler, several at
 * once where the server allows it, and sends the responses in the order of the requests. */
#include "http-server-state.h"
#include <string.h>

/* Time in which a caller may close a connection after its last response. Closing first, with
 * bytes of the caller unread, would reset the connection and may destroy that response. */
#define LINGER_MS 1000

#define CONTINUE_TEXT "HTTP/1.1 100 Continue\r\n\r\n"

struct fh_connection
{
  fh_server_t *server;
  fh_stream_t *stream; /* NULL once closed or handed over */
  fh_request_reader_t *reader;
  fh_pipeline_t pipeline;
  GByteArray *input; /* received but not parsed, while the pipeline is full */
  size_t unsent_bytes;
  bool running;       /* advance_connection is running */
  bool paused;        /* not read because of a limit */
  bool read_ended;    /* no further request is accepted */
  bool continue_sent; /* for the request being read */
  bool is_lingering;
  uv_shutdown_t shutdown;
  uint64_t waiting_since; /* in ms, while in one of the server's queues */
  GQueue *queue;          /* of the server, NULL when in none */
  GList link;             /* in connections of the server */
  GList queue_link;       /* in QUEUE */
};

/* A write that the operating system has not taken in full. */
typedef struct
{
  uv_write_t write;
  fh_connection_t *connection;
  GString *bytes;
} write_t;

static void advance_connection (fh_connection_t *connection, fb_bytes_t bytes);

static uint64_t
read_loop_time (const fh_server_t *server)
{
  return uv_now (fk_get_loop (server->kernel));
}

static void
start_expiry (fh_server_t *server, uint64_t delay_ms)
{
  if (!uv_is_active ((uv_handle_t *)&server->expiry)
      || uv_timer_get_due_in (&server->expiry) > delay_ms)
    uv_timer_start (&server->expiry, fh_expire_connections, delay_ms, 0);
}

static void
leave_queue (fh_connection_t *connection)
{
  if (connection->queue)
    g_queue_unlink (connection->queue, &connection->queue_link);
  connection->queue = NULL;
}

static void
enter_queue (fh_connection_t *connection, GQueue *queue, uint64_t timeout_ms)
{
  leave_queue (connection);
  connection->queue = queue;
  connection->waiting_since = read_loop_time (connection->server);
  g_queue_push_tail_link (queue, &connection->queue_link);
  start_expiry (connection->server, timeout_ms);
}

void
fh_destroy_connection (fh_connection_t *connection)
{
  fh_slot_t *slot;

  while ((slot = fh_take_slot (&connection->pipeline)))
    fh_destroy_request (slot->data);
  fh_destroy_request_reader (connection->reader);
  g_byte_array_free (connection->input, TRUE);
  g_free (connection->stream);
  g_free (connection);
}

static void
free_closed_connection (uv_handle_t *handle)
{
  fh_stream_t *stream = (fh_stream_t *)handle;

  if (stream->connection)
    fh_destroy_connection (stream->connection);
  else
    g_free (stream);
}

/* Cancels the requests that are being handled and frees the others. */
static void
drop_requests (fh_connection_t *connection)
{
  fh_slot_t *slot;

  while ((slot = fh_take_slot (&connection->pipeline)))
    {
      fh_request_t *request = slot->data;

      if (slot->state == FH_SLOT_OPEN)
        {
          request->transport = NULL;
          fh_notify_cancelled (request);
        }
      else
        fh_destroy_request (request);
    }
}

/* Removes CONNECTION from the server. */
static void
detach_connection (fh_connection_t *connection)
{
  leave_queue (connection);
  g_queue_unlink (&connection->server->connections, &connection->link);
  drop_requests (connection);
}

static void
close_connection (fh_connection_t *connection)
{
  if (uv_is_closing ((uv_handle_t *)connection->stream))
    return;
  uv_close ((uv_handle_t *)connection->stream, free_closed_connection);
  detach_connection (connection);
}

static bool
is_closing (const fh_connection_t *connection)
{
  return !connection->stream || uv_is_closing ((uv_handle_t *)connection->stream);
}

static void
complete_write (uv_write_t *request, int status)
{
  write_t *write = (write_t *)request;
  fh_connection_t *connection = write->connection;

  connection->unsent_bytes -= write->bytes->len;
  g_string_free (write->bytes, TRUE);
  g_free (write);
  if (is_closing (connection))
    return;
  if (status != 0)
    close_connection (connection);
  else
    advance_connection (connection, (fb_bytes_t){ NULL, 0 });
}

/* Queues the bytes of BUFFERS behind the first SENT ones. */
static void
queue_write (fh_connection_t *connection, const uv_buf_t *buffers, size_t count, size_t sent)
{
  write_t *write = g_new0 (write_t, 1);
  uv_buf_t rest;

  write->connection = connection;
  write->bytes = g_string_new (NULL);
  for (size_t i = 0; i < count; i++)
    g_string_append_len (write->bytes, buffers[i].base, (gssize)buffers[i].len);
  g_string_erase (write->bytes, 0, (gssize)sent);
  rest = uv_buf_init (write->bytes->str, (unsigned)write->bytes->len);
  connection->unsent_bytes += write->bytes->len;
  if (uv_write (&write->write, (uv_stream_t *)connection->stream, &rest, 1, complete_write)
      == 0)
    return;
  connection->unsent_bytes -= write->bytes->len;
  g_string_free (write->bytes, TRUE);
  g_free (write);
  close_connection (connection);
}

static void
write_buffers (fh_connection_t *connection, uv_buf_t *buffers, size_t count)
{
  size_t total = 0;
  int sent = uv_try_write ((uv_stream_t *)connection->stream, buffers, (unsigned)count);

  for (size_t i = 0; i < count; i++)
    total += buffers[i].len;
  if (sent < 0)
    sent = 0; /* a lasting error is reported by the queued write */
  if ((size_t)sent < total)
    queue_write (connection, buffers, count, (size_t)sent);
}

static void
finish_request (fh_request_t *request, const fh_reply_t *reply)
{
  fh_connection_t *connection = request->transport;

  request->server->request_count--;
  if (!connection)
    {
      fh_destroy_request (request);
      return;
    }
  request->cancelled = NULL;
  fh_format_response (request, reply);
  fh_finish_slot (&connection->pipeline, &request->slot, request->response->len,
                  !request->message.keep_alive || !reply->has_length);
  advance_connection (connection, (fb_bytes_t){ NULL, 0 });
}

static void
add_request (fh_connection_t *connection)
{
  fh_request_t *request = fh_create_request (connection->server, finish_request, connection);
  size_t bytes = fh_get_reader_size (connection->reader);

  fh_take_message (connection->reader, &request->message);
  connection->continue_sent = false;
  connection->read_ended = !request->message.keep_alive;
  if (!fh_is_pipeline_empty (&connection->pipeline))
    fb_add_counter (connection->server->pipelined, 1);
  fh_add_slot (&connection->pipeline, &request->slot, bytes, request);
}

/* Answers bytes that cannot be read as a request, once the requests before them are. */
static void
add_rejection (fh_connection_t *connection)
{
  fh_request_t *request = fh_create_request (connection->server, finish_request, connection);
  fh_reply_t reply
      = { .status = fh_get_reject_status (connection->reader), .has_length = true };

  fb_add_counter (connection->server->rejected, 1);
  connection->read_ended = true;
  fh_add_slot (&connection->pipeline, &request->slot, 0, request);
  fh_format_response (request, &reply);
  fh_finish_slot (&connection->pipeline, &request->slot, request->response->len, true);
}

static void
hand_over (fh_connection_t *connection, fb_bytes_t rest, bool upgrade)
{
  fh_server_t *server = connection->server;
  fh_stream_t *stream = connection->stream;
  fb_bytes_t head = fh_get_head (connection->reader);
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, head.data, (guint)head.len);
  g_byte_array_append (bytes, rest.data, (guint)rest.len);
  uv_read_stop ((uv_stream_t *)stream);
  detach_connection (connection);
  connection->stream = NULL;
  stream->connection = NULL;
  fh_start_http2 (server, stream, (fb_bytes_t){ bytes->data, bytes->len }, upgrade);
  g_byte_array_free (bytes, TRUE);
}

static bool
is_full (const fh_connection_t *connection)
{
  const fh_pipeline_limits_t *limits = &connection->server->limits;

  return fh_is_pipeline_full (&connection->pipeline, limits)
         || connection->unsent_bytes >= limits->bytes_max;
}

/* Parses BYTES while there is room, and returns the number of bytes parsed. */
static size_t
parse_requests (fh_connection_t *connection, fb_bytes_t bytes)
{
  size_t parsed = 0;

  while (parsed < bytes.len && !connection->read_ended && !is_full (connection))
    {
      fb_bytes_t rest = { bytes.data + parsed, bytes.len - parsed };
      size_t consumed;
      fh_request_result_t result = fh_parse_request (connection->reader, rest, &consumed);

      parsed += consumed;
      rest = (fb_bytes_t){ bytes.data + parsed, bytes.len - parsed };
      if (result == FH_REQUEST_COMPLETE)
        add_request (connection);
      else if (result == FH_REQUEST_REJECTED)
        add_rejection (connection);
      else if (result != FH_REQUEST_INCOMPLETE)
        {
          hand_over (connection, rest, result == FH_REQUEST_UPGRADE);
          return bytes.len;
        }
    }
  return connection->read_ended ? bytes.len : parsed;
}

/* Returns whether a held request may be opened. While connections are being closed, only a
 * request with none before it is, so that its response can close the connection. */
static bool
may_open (const fh_connection_t *connection)
{
  return !is_closing (connection)
         && !(connection->server->keep_alive_disabled
              && fh_has_opened_slot (&connection->pipeline));
}

/* Hands over the requests that may be handled now; returns whether there were any. */
static bool
open_requests (fh_connection_t *connection)
{
  bool opened = false;
  fh_slot_t *slot;

  while (may_open (connection) && (slot = fh_open_slot (&connection->pipeline)))
    {
      uv_os_fd_t descriptor;

      /* After a stall the caller may have disconnected already. */
      if (uv_fileno ((uv_handle_t *)connection->stream, &descriptor) == 0
          && fh_is_caller_disconnected (descriptor))
        {
          fb_add_counter (connection->server->closed_before_read, 1);
          fh_finish_slot (&connection->pipeline, slot, 0, true);
          close_connection (connection);
          return true;
        }
      opened = true;
      fh_handle_request (slot->data);
    }
  return opened;
}

static void
begin_linger (fh_connection_t *connection)
{
  connection->is_lingering = true;
  connection->read_ended = true;
  g_byte_array_set_size (connection->input, 0);
  enter_queue (connection, &connection->server->lingering, LINGER_MS);
  if (uv_shutdown (&connection->shutdown, (uv_stream_t *)connection->stream, NULL) != 0)
    close_connection (connection);
}

/* Sends the responses whose turn it is; returns whether there were any. */
static bool
send_responses (fh_connection_t *connection)
{
  GArray *buffers = NULL;
  GQueue sent = G_QUEUE_INIT;
  bool closes = false;
  fh_slot_t *slot;

  while (!closes && (slot = fh_take_done_slot (&connection->pipeline)))
    {
      fh_request_t *request = slot->data;
      uv_buf_t parts[2];

      closes = slot->closes
               || (connection->server->keep_alive_disabled
                   && !fh_has_opened_slot (&connection->pipeline));
      fh_format_prefix (request, closes);
      parts[0] = uv_buf_init (request->prefix, (unsigned)strlen (request->prefix));
      parts[1] = uv_buf_init (request->response->str, (unsigned)request->response->len);
      if (!buffers)
        buffers = g_array_new (FALSE, FALSE, sizeof (uv_buf_t));
      g_array_append_vals (buffers, parts, 2);
      g_queue_push_tail (&sent, request);
    }
  if (!buffers)
    return false;
  write_buffers (connection, (uv_buf_t *)(void *)buffers->data, buffers->len);
  g_array_free (buffers, TRUE);
  g_queue_clear_full (&sent, (GDestroyNotify)fh_destroy_request);
  if (closes && !is_closing (connection))
    {
      drop_requests (connection);
      begin_linger (connection);
    }
  return true;
}

static void
send_continue (fh_connection_t *connection)
{
  uv_buf_t text = uv_buf_init (CONTINUE_TEXT, strlen (CONTINUE_TEXT));

  if (connection->continue_sent || !fh_expects_continue (connection->reader)
      || !fh_is_pipeline_empty (&connection->pipeline))
    return;
  connection->continue_sent = true;
  write_buffers (connection, &text, 1);
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[64 * 1024];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
receive_bytes (uv_stream_t *handle, ssize_t length, const uv_buf_t *buffer)
{
  fh_connection_t *connection = ((fh_stream_t *)handle)->connection;

  if (length < 0)
    close_connection (connection);
  else if (length > 0 && !connection->is_lingering)
    advance_connection (connection,
                        (fb_bytes_t){ (const uint8_t *)buffer->base, (size_t)length });
}

/* Stops to read while a limit is reached, and starts again when there is room. */
static void
update_reading (fh_connection_t *connection)
{
  size_t held = connection->pipeline.bytes + connection->input->len + connection->unsent_bytes;
  bool pause = !connection->is_lingering && is_full (connection)
               && held >= connection->server->limits.bytes_max;

  if (pause == connection->paused)
    return;
  connection->paused = pause;
  if (pause)
    {
      fb_add_counter (connection->server->paused, 1);
      uv_read_stop ((uv_stream_t *)connection->stream);
    }
  else
    uv_read_start ((uv_stream_t *)connection->stream, allocate_buffer, receive_bytes);
}

static void
update_waiting (fh_connection_t *connection)
{
  bool is_waiting = fh_is_pipeline_empty (&connection->pipeline);

  if (connection->is_lingering || is_waiting == (connection->queue != NULL))
    return;
  if (is_waiting)
    enter_queue (connection, &connection->server->waiting, connection->server->idle_timeout_ms);
  else
    leave_queue (connection);
}

/* Parses, hands over and answers requests until nothing more can be done now. */
static void
run_connection (fh_connection_t *connection, fb_bytes_t bytes)
{
  size_t parsed = 0;
  bool progress = true;

  while (progress && !is_closing (connection))
    {
      size_t before = parsed;

      parsed += parse_requests (connection,
                                (fb_bytes_t){ bytes.data + parsed, bytes.len - parsed });
      if (is_closing (connection))
        return;
      progress = parsed > before;
      progress = open_requests (connection) || progress;
      progress = (!is_closing (connection) && send_responses (connection)) || progress;
    }
  if (is_closing (connection) || connection->is_lingering)
    return;
  if (bytes.data == connection->input->data)
    {
      if (parsed > 0)
        g_byte_array_remove_range (connection->input, 0, (guint)parsed);
    }
  else
    g_byte_array_append (connection->input, bytes.data + parsed, (guint)(bytes.len - parsed));
  send_continue (connection);
}

/* Processes BYTES, received behind those that wait in input, and what became possible. */
static void
advance_connection (fh_connection_t *connection, fb_bytes_t bytes)
{
  if (connection->running || is_closing (connection))
    return;
  connection->running = true;
  if (connection->input->len > 0)
    {
      g_byte_array_append (connection->input, bytes.data, (guint)bytes.len);
      bytes = (fb_bytes_t){ connection->input->data, connection->input->len };
    }
  run_connection (connection, bytes);
  connection->running = false;
  if (!connection->stream)
    {
      fh_destroy_connection (connection);
      return;
    }
  if (is_closing (connection))
    return;
  update_waiting (connection);
  update_reading (connection);
}

static bool
may_overlap (const fh_slot_t *slot, void *user)
{
  const fh_server_t *server = ((fh_connection_t *)user)->server;

  return server->may_overlap && server->may_overlap (slot->data, server->user);
}

void
fh_start_connection (fh_server_t *server, fh_stream_t *stream)
{
  fh_connection_t *connection = g_new0 (fh_connection_t, 1);

  connection->server = server;
  connection->stream = stream;
  connection->reader = fh_create_request_reader (server->body_max);
  connection->input = g_byte_array_new ();
  connection->link.data = connection;
  connection->queue_link.data = connection;
  fh_init_pipeline (&connection->pipeline, may_overlap, connection);
  stream->connection = connection;
  g_queue_push_tail_link (&server->connections, &connection->link);
  update_waiting (connection);
  uv_read_start ((uv_stream_t *)stream, allocate_buffer, receive_bytes);
}

void
fh_close_idle_connection (fh_connection_t *connection)
{
  if (fh_is_pipeline_empty (&connection->pipeline) && connection->unsent_bytes == 0
      && !connection->is_lingering && fh_is_between_requests (connection->reader))
    close_connection (connection);
}

/* Closes the connections that were in QUEUE for TIMEOUT_MS; returns the time in ms until the
 * next one is, or UINT64_MAX. */
static uint64_t
expire_queue (GQueue *queue, uint64_t timeout_ms, uint64_t now)
{
  while (queue->head)
    {
      fh_connection_t *connection = queue->head->data;
      uint64_t expires_at = connection->waiting_since + timeout_ms;

      if (expires_at > now)
        return expires_at - now;
      close_connection (connection);
    }
  return UINT64_MAX;
}

void
fh_expire_connections (uv_timer_t *timer)
{
  fh_server_t *server = timer->data;
  uint64_t now = read_loop_time (server);
  uint64_t next = MIN (expire_queue (&server->waiting, server->idle_timeout_ms, now),
                       expire_queue (&server->lingering, LINGER_MS, now));

  if (next != UINT64_MAX)
    start_expiry (server, next);
}
