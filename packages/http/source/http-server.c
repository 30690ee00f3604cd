/* HTTP server: listens, and gives requests and responses to the connections' protocols. */
#include "http-server-state.h"
#include <sys/socket.h>

/* Default time for which a connection may stay idle. */
#define IDLE_TIMEOUT_MS 10000

/* Default limits of the requests of one connection that are not answered yet. */
#define PIPELINE_REQUESTS_MAX 32
#define PIPELINE_BYTES_MAX (256 * 1024)

#define LISTEN_BACKLOG 1024

fh_request_t *
fh_create_request (fh_server_t *server, fh_respond_fn_t respond, void *transport)
{
  fh_request_t *request = g_new0 (fh_request_t, 1);

  request->server = server;
  request->arrived_at = fb_read_clock (fk_get_clock (server->kernel));
  request->respond = respond;
  request->transport = transport;
  return request;
}

void
fh_destroy_request (fh_request_t *request)
{
  fh_clear_message (&request->message);
  if (request->response)
    g_string_free (request->response, TRUE);
  g_free (request);
}

void
fh_handle_request (fh_request_t *request)
{
  request->server->request_count++;
  request->server->handler (request, request->server->user);
}

void
fh_notify_cancelled (fh_request_t *request)
{
  fh_cancelled_fn_t cancelled = request->cancelled;

  request->cancelled = NULL;
  if (cancelled)
    cancelled (request, request->cancel_user);
}

bool
fh_is_caller_disconnected (int descriptor)
{
  char byte;

  return recv (descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
accept_connection (fh_server_t *server)
{
  fh_stream_t *stream = g_new0 (fh_stream_t, 1);

  server->accept_pending = false;
  uv_tcp_init (server->listener.loop, &stream->handle);
  if (uv_accept ((uv_stream_t *)&server->listener, (uv_stream_t *)stream) != 0)
    {
      uv_close ((uv_handle_t *)stream, (uv_close_cb)g_free);
      return;
    }
  stream->server = server;
  server->stream_count++;
  uv_tcp_nodelay (&stream->handle, 1);
  fh_start_connection (server, stream);
}

/* Accepts a connection that waits if one more may be open; closes an idle one for it, or a slow
 * one. */
static void
make_room (fh_server_t *server)
{
  if (server->connections_max == 0 || server->stream_count < server->connections_max)
    {
      accept_connection (server);
      return;
    }
  server->accept_pending = true;
  if (server->waiting.head)
    fh_close_idle_connection (server->waiting.head->data);
  else if (!fh_close_slow_connection (server))
    return;
  fb_add_counter (server->displaced, 1);
}

void
fh_accept_pending (fh_server_t *server)
{
  if (server->accept_pending && server->listening)
    make_room (server);
}

static void
handle_incoming (uv_stream_t *listener, int status)
{
  if (status == 0)
    make_room (listener->data);
}

void
fh_count_closed_stream (fh_server_t *server)
{
  server->stream_count--;
  fh_accept_pending (server);
}

static int
start_listener (fh_server_t *server, const fb_name_t *address, uint16_t port)
{
  struct sockaddr_storage bind_address;
  int error = UV_EINVAL;

  uv_tcp_init (fk_get_loop (server->kernel), &server->listener);
  server->listener.data = server;
  server->listening = true;
  if (uv_ip4_addr (address->data, port, (struct sockaddr_in *)&bind_address) == 0
      || uv_ip6_addr (address->data, port, (struct sockaddr_in6 *)&bind_address) == 0)
    error = uv_tcp_bind (&server->listener, (struct sockaddr *)&bind_address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG, handle_incoming);
  return error;
}

static void
find_counters (fh_server_t *server)
{
  fb_counters_t *counters = fk_get_counters (server->kernel);

  server->closed_before_read = fb_find_counter (counters, "http_callers_gone", "");
  server->pipelined = fb_find_counter (counters, "http_pipelined_requests", "");
  server->paused = fb_find_counter (counters, "http_paused_connections", "");
  server->rejected = fb_find_counter (counters, "http_malformed_requests", "");
  server->refused = fb_find_counter (counters, "memory_refused_requests", "");
  server->slow_heads = fb_find_counter (counters, "http_closed", "cause=\"head\"");
  server->slow_bodies = fb_find_counter (counters, "http_closed", "cause=\"body\"");
  server->slow_readers = fb_find_counter (counters, "http_closed", "cause=\"response\"");
  server->displaced = fb_find_counter (counters, "http_closed", "cause=\"descriptors\"");
}

fh_server_t *
fh_create_server (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port, size_t body_max,
                  fh_handler_fn_t handler, void *user)
{
  fh_server_t *server = g_new0 (fh_server_t, 1);
  int error;

  server->kernel = kernel;
  server->body_max = body_max;
  server->limits = (fh_pipeline_limits_t){ PIPELINE_REQUESTS_MAX, PIPELINE_BYTES_MAX };
  server->idle_timeout_ms = IDLE_TIMEOUT_MS;
  server->timeouts = FH_TIMEOUTS_DEFAULT;
  server->request_copies = 1;
  server->handler = handler;
  server->user = user;
  find_counters (server);
  uv_timer_init (fk_get_loop (kernel), &server->expiry);
  server->expiry.data = server;
  error = start_listener (server, address, port);
  if (error == 0)
    return server;
  FB_LOG (fk_get_log (kernel), FB_LOG_ERROR, "http", "cannot listen",
          FB_TEXT ("address", address->data), FB_NUMBER ("port", port),
          FB_TEXT ("error", uv_strerror (error)));
  fh_stop_accepting (server);
  return NULL;
}

void
fh_set_pipeline (fh_server_t *server, size_t requests_max, size_t bytes_max,
                 fh_overlap_check_fn_t may_overlap)
{
  server->limits = (fh_pipeline_limits_t){ requests_max, bytes_max };
  server->may_overlap = may_overlap;
}

void
fh_disable_keep_alive (fh_server_t *server)
{
  server->keep_alive_disabled = true;
}

void
fh_stop_accepting (fh_server_t *server)
{
  server->keep_alive_disabled = true;
  if (!server->listening)
    return;
  server->listening = false;
  uv_close ((uv_handle_t *)&server->listener, NULL);
  for (GList *link = server->connections.head, *next; link; link = next)
    {
      next = link->next;
      fh_close_idle_connection (link->data);
    }
  if (server->http2)
    fh_shut_down_http2 (server->http2);
}

void
fh_set_idle_timeout (fh_server_t *server, fb_time_t timeout)
{
  server->idle_timeout_ms = (uint64_t)(timeout / FB_MILLISECOND);
}

void
fh_set_timeouts (fh_server_t *server, const fh_timeouts_t *timeouts)
{
  server->timeouts = *timeouts;
}

void
fh_set_connections_max (fh_server_t *server, size_t connections_max)
{
  server->connections_max = connections_max;
}

void
fh_set_request_copies (fh_server_t *server, size_t copies)
{
  server->request_copies = copies;
}

void
fh_set_admin (fh_server_t *server)
{
  server->is_admin = true;
}

size_t
fh_count_requests (const fh_server_t *server)
{
  return server->request_count;
}

void
fh_destroy_server (fh_server_t *server)
{
  if (!server)
    return;
  while (server->connections.head)
    fh_destroy_connection (g_queue_pop_head_link (&server->connections)->data);
  fh_destroy_http2 (server->http2);
  g_free (server);
}

fb_str_t
fh_get_method (const fh_request_t *request)
{
  return request->message.method;
}

fb_str_t
fh_get_path (const fh_request_t *request)
{
  return request->message.path;
}

fb_str_t
fh_get_host (const fh_request_t *request)
{
  return request->message.host;
}

fb_bytes_t
fh_get_body (const fh_request_t *request)
{
  const GByteArray *body = request->message.body;

  return body && body->len > 0 ? (fb_bytes_t){ body->data, body->len }
                               : (fb_bytes_t){ (const uint8_t *)"", 0 };
}

size_t
fh_get_headers (const fh_request_t *request, const fh_header_t **headers)
{
  *headers = request->message.headers;
  return request->message.header_count;
}

fb_time_t
fh_get_arrival_time (const fh_request_t *request)
{
  return request->arrived_at;
}

void
fh_set_cancelled_handler (fh_request_t *request, fh_cancelled_fn_t cancelled, void *user)
{
  request->cancelled = cancelled;
  request->cancel_user = user;
}

void
fh_respond (fh_request_t *request, uint32_t status, const fh_header_t *headers, size_t count,
            fb_bytes_t body)
{
  fh_reply_t reply = { status, headers, count, body, true };

  request->respond (request, &reply);
}

void
fh_respond_close_delimited (fh_request_t *request, uint32_t status, const fh_header_t *headers,
                            size_t count, fb_bytes_t body)
{
  fh_reply_t reply = { status, headers, count, body, false };

  request->respond (request, &reply);
}
