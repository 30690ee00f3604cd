/* HTTP/2 connections of callers, by h2o. */
#include "http-server-state.h"
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <string.h>

struct fh_http2
{
  fh_server_t *server;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
};

/* Allocated in the request's pool; its disposal shows that h2o has freed the request. */
typedef struct
{
  fh_request_t *request; /* NULL once it is answered */
  h2o_req_t *req;
} guard_t;

typedef struct
{
  h2o_handler_t super;
  fh_server_t *server;
} handler_t;

static void
dispose_guard (void *data)
{
  guard_t *guard = data;

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
  *guard = (guard_t){ request, req };
  copy_message (&request->message, req);
  fh_handle_request (request);
  return 0;
}

static fh_http2_t *
create_http2 (fh_server_t *server)
{
  fh_http2_t *http2 = g_new0 (fh_http2_t, 1);
  h2o_hostconf_t *host;
  handler_t *handler;

  http2->server = server;
  h2o_config_init (&http2->config);
  http2->config.max_request_entity_size = server->body_max;
  http2->config.http1.req_timeout = server->idle_timeout_ms;
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
  socket = h2o_uv_socket_create ((uv_stream_t *)stream, (uv_close_cb)g_free);
  memcpy (h2o_buffer_reserve (&socket->input, bytes.len).base, bytes.data, bytes.len);
  socket->input->size += bytes.len;
  gettimeofday (&connected_at, NULL);
  if (upgrade)
    h2o_http1_accept (&server->http2->accept, socket, connected_at);
  else
    h2o_http2_accept (&server->http2->accept, socket, connected_at);
}

void
fh_shut_down_http2 (fh_http2_t *http2)
{
  h2o_context_request_shutdown (&http2->context);
}

void
fh_destroy_http2 (fh_http2_t *http2)
{
  g_free (http2);
}
