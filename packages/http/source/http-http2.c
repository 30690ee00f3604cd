/* HTTP/2 connections of callers, by h2o. */
#include "http-server-state.h"
#include "http-transfer.h"
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Time between two looks at how far responses were taken. Each look is a system call. */
#define SEND_CHECK_MS 200

/* Bytes of frames that a request needs besides its head and body, at most. */
#define FRAMES_MAX 4096

/* Bytes of a response for which a caller sends a frame that opens its windows. */
#define WINDOW_BYTES 512

/* Streams of a connection that may be open; h2o's default of 100 would let few connections hold
 * the whole budget between two looks. */
#define STREAMS_MAX 32

struct fh_http2
{
  fh_server_t *server;
  GHashTable *streams;   /* fh_stream_t by descriptor */
  uv_timer_t send_timer; /* active while there are streams */
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
};

/* Allocated in the request's pool; its disposal shows that h2o has freed the request. */
typedef struct
{
  fh_request_t *request; /* NULL once it is answered */
  h2o_req_t *req;
  fh_stream_t *stream; /* NULL while it changes from HTTP/1 */
  size_t bytes;        /* that STREAM holds for the request and its response */
} guard_t;

typedef struct
{
  h2o_handler_t super;
  fh_server_t *server;
} handler_t;

static void
hold_bytes (guard_t *guard, size_t bytes)
{
  if (!guard->stream)
    return;
  guard->stream->handled_bytes += bytes - guard->bytes;
  guard->bytes = bytes;
}

static void
dispose_guard (void *data)
{
  guard_t *guard = data;

  hold_bytes (guard, 0);

  if (!guard->request)
    return;
  guard->request->transport = NULL;
  fh_notify_cancelled (guard->request);
}

/* Copies HEADER to the response, unless h2o generates that header. */
static void
add_header (h2o_req_t *req, const fh_header_t *header)
{
  h2o_iovec_t name;
  h2o_iovec_t value;

  if (fh_is_hop_header (header->name) || fb_equal_str (header->name, FB_LITERAL ("server"))
      || fb_equal_str (header->name, FB_LITERAL ("date")))
    return;
  name = h2o_strdup (&req->pool, header->name.data, header->name.len);
  value = h2o_strdup (&req->pool, header->value.data, header->value.len);
  h2o_add_header_by_str (&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
                         value.base, value.len);
}

/* A body without a length may be incomplete; with HTTP/2 such a response is an error. */
static void
send_reply (h2o_req_t *req, const fh_reply_t *reply)
{
  if (!reply->has_length)
    {
      h2o_send_error_502 (req, "Bad Gateway", "the response has no length\n", 0);
      return;
    }
  req->res.status = (int)reply->status;
  req->res.reason = "";
  req->res.content_length = reply->body.len;
  for (size_t i = 0; i < reply->header_count; i++)
    add_header (req, &reply->headers[i]);
  h2o_send_inline (req, (const char *)reply->body.data, reply->body.len);
}

static void
finish_request (fh_request_t *request, const fh_reply_t *reply)
{
  guard_t *guard = request->transport;

  request->server->request_count--;
  if (guard)
    {
      guard->request = NULL;
      hold_bytes (guard, guard->req->entity.len + reply->body.len);
      if (guard->stream)
        guard->stream->credited += reply->body.len / WINDOW_BYTES;
      send_reply (guard->req, reply);
    }
  fh_destroy_request (request);
}

/* Appends TEXT to the memory of MESSAGE, which has room for it, at *USED. */
static fb_str_t
copy_text (fh_message_t *message, size_t *used, const char *text, size_t len)
{
  char *copy = message->head + *used;

  memcpy (copy, text, len);
  *used += len;
  return (fb_str_t){ copy, len };
}

static void
copy_message (fh_message_t *message, const h2o_req_t *req)
{
  size_t size = req->method.len + req->path.len + req->authority.len;
  size_t used = 0;

  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  message->head = g_malloc (size + 1);
  message->method = copy_text (message, &used, req->method.base, req->method.len);
  message->path = copy_text (message, &used, req->path.base, req->path.len);
  message->host = copy_text (message, &used, req->authority.base, req->authority.len);
  message->headers = g_new0 (fh_header_t, req->headers.size);
  message->header_count = req->headers.size;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      message->headers[i].name
          = copy_text (message, &used, header->name->base, header->name->len);
      message->headers[i].value
          = copy_text (message, &used, header->value.base, header->value.len);
    }
  message->body = g_byte_array_new ();
  g_byte_array_append (message->body, (const guint8 *)req->entity.base, (guint)req->entity.len);
}

static fh_stream_t *
find_stream (const fh_server_t *server, const h2o_req_t *req)
{
  h2o_socket_t *socket = req->conn->callbacks->get_socket (req->conn);

  return g_hash_table_lookup (server->http2->streams,
                              GINT_TO_POINTER (h2o_socket_get_fd (socket)));
}

static int
handle_request (h2o_handler_t *super, h2o_req_t *req)
{
  fh_server_t *server = ((handler_t *)super)->server;
  fh_request_t *request;
  guard_t *guard;

  if (req->headers.size > FH_HEADERS_MAX)
    {
      h2o_send_error_generic (req, 431, "Request Header Fields Too Large", "too many headers\n",
                              0);
      return 0;
    }
  guard = h2o_mem_alloc_shared (&req->pool, sizeof *guard, dispose_guard);
  request = fh_create_request (server, finish_request, guard);
  *guard = (guard_t){ request, req, find_stream (server, req), 0 };
  copy_message (&request->message, req);
  /* Its body is held by h2o and by REQUEST. */
  hold_bytes (guard, 2 * req->entity.len);
  if (guard->stream)
    guard->stream->credited += req->entity.len + FRAMES_MAX;
  fh_handle_request (request);
  return 0;
}

/* Tells the account what STREAM holds. h2o does not tell what it has buffered: bytes received
 * count until a complete request accounts for them. */
static void
update_holder (fh_stream_t *stream)
{
  stream->credited = MIN (stream->credited, stream->received);
  fb_hold (&stream->holder, FB_HELD_HTTP2,
           (size_t)(stream->received - stream->credited) + stream->handled_bytes);
}

/* Allocates by h2o, but no more than the account allows. */
static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  const fh_stream_t *stream = (const fh_stream_t *)handle;
  size_t length = fb_get_read_size (stream->holder.account);

  stream->allocate (handle, size, buffer);
  buffer->len = MIN (buffer->len, length);
}

/* Passes what was read to h2o, which may close the connection. */
static void
receive_bytes (uv_stream_t *handle, ssize_t length, const uv_buf_t *buffer)
{
  fh_stream_t *stream = (fh_stream_t *)handle;

  stream->receive (handle, length, buffer);
  if (length <= 0 || uv_is_closing ((uv_handle_t *)handle))
    return;
  stream->received += (uint64_t)length;
  fb_count_progress (&stream->holder, (size_t)length,
                     fb_read_clock (fk_get_clock (stream->server->kernel)));
  update_holder (stream);
  fb_check_pause (&stream->holder);
}

/* Puts this file's callbacks before those of h2o, which sets its own when it starts to read. */
static void
wrap_callbacks (fh_stream_t *stream)
{
  uv_stream_t *handle = (uv_stream_t *)stream;

  if (uv_is_closing ((uv_handle_t *)handle) || !handle->read_cb
      || handle->read_cb == receive_bytes)
    return;
  stream->receive = handle->read_cb;
  stream->allocate = handle->alloc_cb;
  handle->read_cb = receive_bytes;
  handle->alloc_cb = allocate_buffer;
}

static void
check_sending (uv_timer_t *timer)
{
  fh_http2_t *http2 = timer->data;
  fb_time_t now = fb_read_clock (fk_get_clock (http2->server->kernel));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, http2->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fh_stream_t *stream = value;
      uint64_t acknowledged = stream->acknowledged;

      wrap_callbacks (stream);
      update_holder (stream);
      if (stream->handled_bytes <= FB_HELD_SMALL)
        continue;
      fh_read_acknowledged (stream->descriptor, &acknowledged);
      fb_count_progress (&stream->holder, (size_t)(acknowledged - stream->acknowledged), now);
      stream->acknowledged = acknowledged;
    }
}

static fh_stream_t *
get_stream (const fb_holder_t *holder)
{
  return (fh_stream_t *)(void *)((char *)holder - offsetof (fh_stream_t, holder));
}

static void
set_paused (fb_holder_t *holder, bool paused)
{
  fh_stream_t *stream = get_stream (holder);
  uv_stream_t *handle = (uv_stream_t *)stream;

  if (uv_is_closing ((uv_handle_t *)handle) || !stream->can_pause)
    return;
  if (paused)
    uv_read_stop (handle);
  else
    uv_read_start (handle, allocate_buffer, receive_bytes);
}

static bool
has_input (const fb_holder_t *holder)
{
  int length = 0;

  return ioctl (get_stream (holder)->descriptor, FIONREAD, &length) == 0 && length > 0;
}

/* Drops what the system has received and resets the connection; h2o then reads an error and
 * closes it. */
static void
close_holder (fb_holder_t *holder)
{
  const fh_stream_t *stream = get_stream (holder);
  static const struct sockaddr none = { .sa_family = AF_UNSPEC };

  (void)connect (stream->descriptor, &none, sizeof none);
  set_paused (holder, false);
}

static void
free_stream (uv_handle_t *handle)
{
  fh_stream_t *stream = (fh_stream_t *)handle;
  fh_http2_t *http2 = stream->server->http2;
  void *key = GINT_TO_POINTER (stream->descriptor);

  fb_remove_holder (&stream->holder);
  /* A new connection may have the same descriptor already. */
  if (g_hash_table_lookup (http2->streams, key) == stream)
    g_hash_table_remove (http2->streams, key);
  if (g_hash_table_size (http2->streams) == 0
      && !uv_is_closing ((uv_handle_t *)&http2->send_timer))
    uv_timer_stop (&http2->send_timer);
  fh_count_closed_stream (stream->server);
  g_free (stream);
}

static void
add_stream (fh_http2_t *http2, fh_stream_t *stream)
{
  static const fb_holder_class_t class = { set_paused, has_input, close_holder };
  fk_kernel_t *kernel = http2->server->kernel;
  fb_time_t now = fb_read_clock (fk_get_clock (kernel));
  uv_os_fd_t descriptor = -1;

  uv_fileno ((const uv_handle_t *)&stream->handle, &descriptor);
  stream->descriptor = descriptor;
  fb_add_holder (fk_get_account (kernel), &stream->holder, &class,
                 fh_get_client_number (http2->server, stream), now);
  fb_set_peer_turn (&stream->holder, true, now);
  g_hash_table_insert (http2->streams, GINT_TO_POINTER (descriptor), stream);
  if (!uv_is_active ((uv_handle_t *)&http2->send_timer))
    uv_timer_start (&http2->send_timer, check_sending, SEND_CHECK_MS, SEND_CHECK_MS);
}

static fh_http2_t *
create_http2 (fh_server_t *server)
{
  fh_http2_t *http2 = g_new0 (fh_http2_t, 1);
  h2o_hostconf_t *host;
  handler_t *handler;

  http2->server = server;
  http2->streams = g_hash_table_new (NULL, NULL);
  uv_timer_init (fk_get_loop (server->kernel), &http2->send_timer);
  http2->send_timer.data = http2;
  uv_unref ((uv_handle_t *)&http2->send_timer);
  h2o_config_init (&http2->config);
  http2->config.max_request_entity_size = server->body_max;
  http2->config.http1.req_timeout = server->idle_timeout_ms;
  http2->config.http2.max_concurrent_requests_per_connection = STREAMS_MAX;
  http2->config.server_name = h2o_iovec_init (H2O_STRLIT ("foxtailrun"));
  host = h2o_config_register_host (&http2->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   65535);
  handler = (handler_t *)h2o_create_handler (h2o_config_register_path (host, "/", 0),
                                             sizeof *handler);
  handler->super.on_req = handle_request;
  handler->server = server;
  h2o_context_init (&http2->context, fk_get_loop (server->kernel), &http2->config);
  http2->accept.ctx = &http2->context;
  http2->accept.hosts = http2->config.hosts;
  return http2;
}

void
fh_start_http2 (fh_server_t *server, fh_stream_t *stream, fb_bytes_t bytes, bool upgrade)
{
  struct timeval connected_at;
  h2o_socket_t *socket;

  if (!server->http2)
    server->http2 = create_http2 (server);
  add_stream (server->http2, stream);
  socket = h2o_uv_socket_create ((uv_stream_t *)stream, free_stream);
  memcpy (h2o_buffer_reserve (&socket->input, bytes.len).base, bytes.data, bytes.len);
  socket->input->size += bytes.len;
  gettimeofday (&connected_at, NULL);
  if (upgrade)
    h2o_http1_accept (&server->http2->accept, socket, connected_at);
  else
    h2o_http2_accept (&server->http2->accept, socket, connected_at);
  stream->received = bytes.len;
  /* h2o itself stops and starts to read a connection that begins with HTTP/1. */
  stream->can_pause = !upgrade;
  wrap_callbacks (stream);
}

void
fh_shut_down_http2 (fh_http2_t *http2)
{
  h2o_context_request_shutdown (&http2->context);
}

void
fh_destroy_http2 (fh_http2_t *http2)
{
  if (!http2)
    return;
  g_hash_table_destroy (http2->streams);
  g_free (http2);
}
