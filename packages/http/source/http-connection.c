/* HTTP/1 connection of a caller: reads requests, hands them to the server's handler, several at
 * once where the server allows it, and sends the responses in the order of the requests. */
#include "http-connection-state.h"
#include <string.h>

#define CONTINUE_TEXT "HTTP/1.1 100 Continue\r\n\r\n"

/* A write that the operating system has not taken in full. */
typedef struct
{
  uv_write_t write;
  fh_connection_t *connection;
  size_t length;
  size_t held;     /* bytes of the responses, also of the parts that are sent */
  GQueue requests; /* fh_request_t whose responses are written */
} write_t;

static void advance_connection (fh_connection_t *connection, fb_bytes_t bytes);

void
fh_destroy_connection (fh_connection_t *connection)
{
  fh_slot_t *slot;

  fb_remove_holder (&connection->holder);
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

  fh_count_closed_stream (stream->server);
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
  fh_leave_queue (connection);
  g_queue_unlink (&connection->server->connections, &connection->link);
  drop_requests (connection);
}

void
fh_close_connection (fh_connection_t *connection)
{
  if (uv_is_closing ((uv_handle_t *)connection->stream))
    return;
  uv_close ((uv_handle_t *)connection->stream, free_closed_connection);
  detach_connection (connection);
}

bool
fh_is_connection_closing (const fh_connection_t *connection)
{
  return !connection->stream || uv_is_closing ((uv_handle_t *)connection->stream);
}

static void
free_write (write_t *write)
{
  write->connection->unsent_bytes -= write->length;
  write->connection->unsent_held -= write->held;
  g_queue_clear_full (&write->requests, (GDestroyNotify)fh_destroy_request);
  g_free (write);
}

static void
complete_write (uv_write_t *request, int status)
{
  write_t *write = (write_t *)request;
  fh_connection_t *connection = write->connection;

  free_write (write);
  if (fh_is_connection_closing (connection))
    return;
  if (status != 0)
    fh_close_connection (connection);
  else
    advance_connection (connection, (fb_bytes_t){ NULL, 0 });
}

/* Writes BUFFERS, parts of the responses of REQUESTS, which are moved. */
static void
write_buffers (fh_connection_t *connection, uv_buf_t *buffers, size_t count, GQueue *requests)
{
  uv_stream_t *stream = (uv_stream_t *)connection->stream;
  int result = uv_try_write (stream, buffers, (unsigned)count);
  size_t sent = result > 0 ? (size_t)result : 0; /* the queued write reports a lasting error */
  write_t *write;

  while (count > 0 && sent >= buffers->len)
    {
      sent -= buffers->len;
      buffers++;
      count--;
    }
  if (count == 0)
    {
      g_queue_clear_full (requests, (GDestroyNotify)fh_destroy_request);
      return;
    }
  *buffers = uv_buf_init (buffers->base + sent, (unsigned)(buffers->len - sent));
  write = g_new0 (write_t, 1);
  write->connection = connection;
  write->requests = *requests;
  g_queue_init (requests);
  for (size_t i = 0; i < count; i++)
    write->length += buffers[i].len;
  for (GList *link = write->requests.head; link; link = link->next)
    write->held += ((fh_request_t *)link->data)->response->len;
  connection->unsent_bytes += write->length;
  connection->unsent_held += write->held;
  connection->queued_bytes += write->length;
  if (uv_write (&write->write, stream, buffers, (unsigned)count, complete_write) == 0)
    return;
  free_write (write);
  fh_close_connection (connection);
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

/* Finishes REQUEST of CONNECTION, of which nothing is passed on, with STATUS. */
static void
refuse (fh_connection_t *connection, fh_request_t *request, uint32_t status, bool closes)
{
  static const fh_header_t retry_after = { FB_LITERAL ("retry-after"), FB_LITERAL ("1") };
  fh_reply_t reply = { .status = status,
                       .headers = &retry_after,
                       .header_count = status == 503 ? 1 : 0,
                       .has_length = true };

  fh_format_response (request, &reply);
  fh_clear_message (&request->message);
  fh_finish_slot (&connection->pipeline, &request->slot, request->response->len, closes);
}

static void
add_request (fh_connection_t *connection)
{
  fh_request_t *request = fh_create_request (connection->server, finish_request, connection);
  size_t bytes = fh_get_reader_size (connection->reader);

  fh_take_message (connection->reader, &request->message);
  connection->continue_sent = false;
  connection->read_ended = !request->message.keep_alive;
  if (connection->phase == FH_PHASE_HEAD || connection->phase == FH_PHASE_BODY)
    {
      /* The limits of the next request begin with its own bytes. */
      fh_leave_queue (connection);
      connection->phase = FH_PHASE_NONE;
    }
  if (!fh_is_pipeline_empty (&connection->pipeline))
    fb_add_counter (connection->server->pipelined, 1);
  fh_add_slot (&connection->pipeline, &request->slot, bytes, request);
  if (!fb_must_refuse (fk_get_account (connection->server->kernel), bytes))
    return;
  fb_add_counter (connection->server->refused, 1);
  FB_LOG (fk_get_log (connection->server->kernel), FB_LOG_WARNING, "http",
          "refused a request for lack of memory", FB_NUMBER ("bytes", bytes));
  refuse (connection, request, 503, connection->read_ended);
}

/* Answers bytes that cannot be read as a request, once the requests before them are. */
static void
add_rejection (fh_connection_t *connection, uint32_t status)
{
  fh_request_t *request = fh_create_request (connection->server, finish_request, connection);

  connection->read_ended = true;
  fh_discard_request (connection->reader);
  fh_add_slot (&connection->pipeline, &request->slot, 0, request);
  refuse (connection, request, status, true);
}

void
fh_reject_incomplete (fh_connection_t *connection, uint32_t status)
{
  g_byte_array_set_size (connection->input, 0);
  add_rejection (connection, status);
  advance_connection (connection, (fb_bytes_t){ NULL, 0 });
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
  fb_remove_holder (&connection->holder);
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
        {
          fb_add_counter (connection->server->rejected, 1);
          add_rejection (connection, fh_get_reject_status (connection->reader));
        }
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
  return !fh_is_connection_closing (connection)
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
          fh_close_connection (connection);
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
  fh_update_phase (connection);
  if (uv_shutdown (&connection->shutdown, (uv_stream_t *)connection->stream, NULL) != 0)
    fh_close_connection (connection);
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
  write_buffers (connection, (uv_buf_t *)(void *)buffers->data, buffers->len, &sent);
  g_array_free (buffers, TRUE);
  if (closes && !fh_is_connection_closing (connection))
    {
      drop_requests (connection);
      begin_linger (connection);
    }
  return true;
}

static void
send_continue (fh_connection_t *connection)
{
  static char text[] = CONTINUE_TEXT;
  uv_buf_t buffer = uv_buf_init (text, strlen (text));
  GQueue no_requests = G_QUEUE_INIT;

  if (connection->continue_sent || !fh_expects_continue (connection->reader)
      || !fh_is_pipeline_empty (&connection->pipeline))
    return;
  connection->continue_sent = true;
  write_buffers (connection, &buffer, 1, &no_requests);
}

void
fh_receive_bytes (uv_stream_t *handle, ssize_t length, const uv_buf_t *buffer)
{
  fh_connection_t *connection = ((fh_stream_t *)handle)->connection;

  if (length < 0)
    fh_close_connection (connection);
  else if (length > 0 && !connection->is_lingering)
    {
      connection->received_bytes += (uint64_t)length;
      advance_connection (connection,
                          (fb_bytes_t){ (const uint8_t *)buffer->base, (size_t)length });
    }
}

/* Stops to read while a limit of the pipeline is reached. */
static void
update_paused (fh_connection_t *connection)
{
  size_t held = connection->pipeline.bytes + connection->input->len + connection->unsent_bytes;
  bool pause = !connection->is_lingering && is_full (connection)
               && held >= connection->server->limits.bytes_max;

  if (pause && !connection->paused)
    fb_add_counter (connection->server->paused, 1);
  connection->paused = pause;
}

/* Parses, hands over and answers requests until nothing more can be done now. */
static void
run_connection (fh_connection_t *connection, fb_bytes_t bytes)
{
  size_t parsed = 0;
  bool progress = true;

  while (progress && !fh_is_connection_closing (connection))
    {
      size_t before = parsed;

      parsed += parse_requests (connection,
                                (fb_bytes_t){ bytes.data + parsed, bytes.len - parsed });
      if (fh_is_connection_closing (connection))
        return;
      progress = parsed > before;
      progress = open_requests (connection) || progress;
      progress
          = (!fh_is_connection_closing (connection) && send_responses (connection)) || progress;
    }
  if (fh_is_connection_closing (connection) || connection->is_lingering)
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
  if (connection->running || fh_is_connection_closing (connection))
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
  if (fh_is_connection_closing (connection))
    return;
  update_paused (connection);
  fh_update_phase (connection);
  fh_update_holder (connection);
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
  fh_add_connection_holder (connection);
  fh_update_phase (connection);
  fh_update_reading (connection);
}

void
fh_close_idle_connection (fh_connection_t *connection)
{
  if (fh_is_pipeline_empty (&connection->pipeline) && connection->unsent_bytes == 0
      && !connection->is_lingering && fh_is_between_requests (connection->reader))
    fh_close_connection (connection);
}
