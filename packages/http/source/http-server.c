#include <foxtailrun/http/server.h>
#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <sys/socket.h>

/* Default time to receive a complete request; slower callers are disconnected. */
#define REQUEST_TIMEOUT_MS 10000

#define LISTEN_BACKLOG 1024

/* Interval of the check for disconnected callers. h2o does not detect them: it does not read
 * from an HTTP/1 connection while a request on it is unanswered. */
#define DISCONNECT_CHECK_INTERVAL_MS 50

#define CANCELLATIONS_PER_CHECK_MAX 32

struct fh_server
{
  fk_kernel_t *kernel;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  bool listening;
  bool keep_alive_disabled; /* close connections after their next response, so that the process
                               can stop */
  fh_handler_fn_t handler;
  void *user;
  GQueue requests; /* fh_request_t not yet answered */
  uv_timer_t disconnect_check;
  size_t connection_count;
  fb_counter_t *closed_before_read; /* requests whose caller had disconnected */
};

/* Allocated in the request's pool; its disposal shows that h2o has freed the request. */
typedef struct
{
  fh_request_t *request; /* NULL once it is answered */
} request_guard_t;

struct fh_request
{
  fh_server_t *server;
  h2o_req_t *req; /* NULL once the connection is closed */
  request_guard_t *guard;
  GList link; /* in requests of the server */
  fh_cancelled_fn_t cancelled;
  void *cancel_user;
  size_t header_count;
  fh_header_t headers[FH_HEADERS_MAX];
};

typedef struct
{
  h2o_handler_t super;
  fh_server_t *server;
} handler_t;

/* Notifies REQUEST's owner, at most once, that the caller disconnected. */
static void
notify_cancelled (fh_request_t *request)
{
  fh_cancelled_fn_t cancelled = request->cancelled;

  request->cancelled = NULL;
  if (cancelled)
    cancelled (request, request->cancel_user);
}

static void
dispose_guard (void *data)
{
  request_guard_t *guard = data;
  fh_request_t *request = guard->request;

  if (!request)
    return;
  request->req = NULL;
  request->header_count = 0;
  notify_cancelled (request);
}

static bool
is_caller_disconnected (h2o_req_t *req)
{
  char byte;
  int descriptor = h2o_socket_get_fd (req->conn->callbacks->get_socket (req->conn));

  return recv (descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static fh_request_t *
find_disconnected (fh_server_t *server)
{
  for (GList *link = server->requests.head; link; link = link->next)
    {
      fh_request_t *request = link->data;
      if (request->req && request->cancelled && is_caller_disconnected (request->req))
        return request;
    }
  return NULL;
}

/* The owner's callback may answer other requests, so each search starts at the head. */
static void
check_disconnected (uv_timer_t *timer)
{
  fh_server_t *server = timer->data;
  fh_request_t *request;

  for (int i = 0; i < CANCELLATIONS_PER_CHECK_MAX && (request = find_disconnected (server));
       i++)
    notify_cancelled (request);
  if (server->requests.length == 0)
    uv_timer_stop (timer);
}

static int
handle_request (h2o_handler_t *super, h2o_req_t *req)
{
  fh_server_t *server = ((handler_t *)super)->server;
  fh_request_t *request;
  request_guard_t *guard;

  if (req->headers.size > FH_HEADERS_MAX)
    {
      h2o_send_error_generic (req, 431, "Request Header Fields Too Large", "too many headers\n",
                              0);
      return 0;
    }
  /* After a stall the caller may have disconnected already. */
  if (is_caller_disconnected (req))
    {
      fb_add_counter (server->closed_before_read, 1);
      h2o_send_error_generic (req, 408, "Request Timeout", "the caller has left\n", 0);
      return 0;
    }
  request = g_new0 (fh_request_t, 1);
  request->server = server;
  request->req = req;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      request->headers[i] = (fh_header_t){ { header->name->base, header->name->len },
                                           { header->value.base, header->value.len } };
    }
  request->header_count = req->headers.size;
  guard = h2o_mem_alloc_shared (&req->pool, sizeof *guard, dispose_guard);
  guard->request = request;
  request->guard = guard;
  request->link.data = request;
  g_queue_push_tail_link (&server->requests, &request->link);
  if (!uv_is_active ((uv_handle_t *)&server->disconnect_check))
    uv_timer_start (&server->disconnect_check, check_disconnected, DISCONNECT_CHECK_INTERVAL_MS,
                    DISCONNECT_CHECK_INTERVAL_MS);
  server->handler (request, server->user);
  return 0;
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

static const char *
get_reason_phrase (uint32_t status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

/* The handle comes first, so that its pointer converts to the connection; h2o overwrites
 * its data pointer. */
typedef struct
{
  uv_tcp_t handle;
  fh_server_t *server;
} connection_t;

static void
free_connection (uv_handle_t *handle)
{
  connection_t *connection = (connection_t *)handle;

  connection->server->connection_count--;
  g_free (connection);
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  fh_server_t *server = listener->data;
  connection_t *connection;

  if (status != 0)
    return;
  connection = g_new0 (connection_t, 1);
  uv_tcp_init (listener->loop, &connection->handle);
  connection->server = server;
  server->connection_count++;
  if (uv_accept (listener, (uv_stream_t *)connection) != 0)
    {
      uv_close ((uv_handle_t *)connection, free_connection);
      return;
    }
  uv_tcp_nodelay (&connection->handle, 1);
  h2o_accept (&server->accept,
              h2o_uv_socket_create ((uv_stream_t *)connection, free_connection));
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
    error = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG, accept_connection);
  return error;
}

fh_server_t *
fh_create_server (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port, size_t body_max,
                  fh_handler_fn_t handler, void *user)
{
  fh_server_t *server = g_new0 (fh_server_t, 1);
  h2o_hostconf_t *host;
  handler_t *h2o_handler;
  int error;

  server->kernel = kernel;
  server->closed_before_read
      = fb_find_counter (fk_get_counters (kernel), "http_callers_gone", "");
  server->handler = handler;
  server->user = user;
  h2o_config_init (&server->config);
  server->config.max_request_entity_size = body_max;
  server->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("foxtailrun"));
  host = h2o_config_register_host (&server->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   65535);
  h2o_handler = (handler_t *)h2o_create_handler (h2o_config_register_path (host, "/", 0),
                                                 sizeof *h2o_handler);
  h2o_handler->super.on_req = handle_request;
  h2o_handler->server = server;
  h2o_context_init (&server->context, fk_get_loop (kernel), &server->config);
  server->accept.ctx = &server->context;
  server->accept.hosts = server->config.hosts;
  uv_timer_init (fk_get_loop (kernel), &server->disconnect_check);
  server->disconnect_check.data = server;
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
  h2o_context_request_shutdown (&server->context);
}

void
fh_set_idle_timeout (fh_server_t *server, fb_time_t timeout)
{
  server->context.http1.req_timeout.timeout = (uint64_t)(timeout / FB_MILLISECOND);
}

size_t
fh_count_requests (const fh_server_t *server)
{
  return server->requests.length;
}

void
fh_destroy_server (fh_server_t *server)
{
  g_free (server);
}

fb_str_t
fh_get_method (const fh_request_t *request)
{
  if (!request->req)
    return (fb_str_t){ "", 0 };
  return (fb_str_t){ request->req->method.base, request->req->method.len };
}

fb_str_t
fh_get_path (const fh_request_t *request)
{
  if (!request->req)
    return (fb_str_t){ "", 0 };
  return (fb_str_t){ request->req->path.base, request->req->path.len };
}

fb_str_t
fh_get_host (const fh_request_t *request)
{
  if (!request->req)
    return (fb_str_t){ "", 0 };
  return (fb_str_t){ request->req->authority.base, request->req->authority.len };
}

fb_bytes_t
fh_get_body (const fh_request_t *request)
{
  if (!request->req)
    return (fb_bytes_t){ NULL, 0 };
  return (fb_bytes_t){ (const uint8_t *)request->req->entity.base, request->req->entity.len };
}

size_t
fh_get_headers (const fh_request_t *request, const fh_header_t **headers)
{
  *headers = request->headers;
  return request->header_count;
}

void
fh_set_cancelled_handler (fh_request_t *request, fh_cancelled_fn_t cancelled, void *user)
{
  request->cancelled = cancelled;
  request->cancel_user = user;
}

/* HTTP/1.0 in h2o's encoding of versions; with a later version h2o sends a body without a
 * length in chunks. */
#define HTTP_VERSION_1_0 0x100

static void
send_response (fh_request_t *request, uint32_t status, const fh_header_t *headers, size_t count,
               fb_bytes_t body, bool has_length)
{
  h2o_req_t *req = request->req;

  g_queue_unlink (&request->server->requests, &request->link);
  if (req)
    {
      request->guard->request = NULL;
      req->res.status = (int)status;
      req->res.reason = get_reason_phrase (status);
      if (has_length)
        req->res.content_length = body.len;
      else
        req->version = HTTP_VERSION_1_0;
      for (size_t i = 0; i < count; i++)
        add_header (req, &headers[i]);
      if (request->server->keep_alive_disabled || !has_length)
        req->http1_is_persistent = 0;
      h2o_send_inline (req, (const char *)body.data, body.len);
    }
  g_free (request);
}

void
fh_respond (fh_request_t *request, uint32_t status, const fh_header_t *headers, size_t count,
            fb_bytes_t body)
{
  send_response (request, status, headers, count, body, true);
}

void
fh_respond_close_delimited (fh_request_t *request, uint32_t status, const fh_header_t *headers,
                            size_t count, fb_bytes_t body)
{
  send_response (request, status, headers, count, body, false);
}
