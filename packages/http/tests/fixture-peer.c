#include "fixture-peer.h"
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define REQUEST_MAX 4096

struct peer
{
  fk_kernel_t *kernel;
  uv_tcp_t listener;
  uint16_t port;
  peer_answer_fn_t answer;
  void *user;
  size_t accepted;
  size_t open;
};

struct peer_connection
{
  uv_tcp_t stream;
  peer_t *peer;
  size_t requests;
};

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[REQUEST_MAX];

  *buffer = uv_buf_init (bytes, sizeof bytes - 1);
}

static void
free_connection (uv_handle_t *handle)
{
  peer_connection_t *connection = (peer_connection_t *)handle;

  connection->peer->open--;
  g_free (connection);
}

void
peer_close (peer_connection_t *connection)
{
  if (!uv_is_closing ((uv_handle_t *)&connection->stream))
    uv_close ((uv_handle_t *)&connection->stream, free_connection);
}

void
peer_reset (peer_connection_t *connection)
{
  if (!uv_is_closing ((uv_handle_t *)&connection->stream))
    uv_tcp_close_reset (&connection->stream, free_connection);
}

void
peer_shut_down (peer_connection_t *connection)
{
  uv_os_fd_t descriptor;

  g_assert_cmpint (uv_fileno ((uv_handle_t *)&connection->stream, &descriptor), ==, 0);
  shutdown (descriptor, SHUT_WR);
}

void
peer_stop_reading (peer_connection_t *connection)
{
  uv_read_stop ((uv_stream_t *)&connection->stream);
}

void
peer_write (peer_connection_t *connection, const char *bytes, size_t len)
{
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)len);

  if (len > 0)
    uv_try_write ((uv_stream_t *)&connection->stream, &buffer, 1);
}

static void
receive_request (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  peer_connection_t *connection = (peer_connection_t *)stream;

  if (length <= 0)
    {
      peer_close (connection);
      return;
    }
  buffer->base[length] = '\0';
  connection->peer->answer (connection, connection->requests++, buffer->base,
                            connection->peer->user);
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  peer_connection_t *connection = g_new0 (peer_connection_t, 1);

  connection->peer = listener->data;
  connection->peer->accepted++;
  connection->peer->open++;
  uv_tcp_init (listener->loop, &connection->stream);
  g_assert_cmpint (uv_accept (listener, (uv_stream_t *)&connection->stream), ==, 0);
  uv_read_start ((uv_stream_t *)&connection->stream, allocate_buffer, receive_request);
}

peer_t *
peer_start (fk_kernel_t *kernel, peer_answer_fn_t answer, void *user)
{
  peer_t *peer = g_new0 (peer_t, 1);
  struct sockaddr_in bound;
  int length = sizeof bound;

  peer->kernel = kernel;
  peer->answer = answer;
  peer->user = user;
  uv_ip4_addr ("127.0.0.1", 0, &bound);
  uv_tcp_init (fk_get_loop (kernel), &peer->listener);
  peer->listener.data = peer;
  uv_tcp_bind (&peer->listener, (struct sockaddr *)&bound, 0);
  uv_listen ((uv_stream_t *)&peer->listener, 8, accept_connection);
  uv_tcp_getsockname (&peer->listener, (struct sockaddr *)&bound, &length);
  peer->port = g_ntohs (bound.sin_port);
  return peer;
}

void
peer_close_listener (peer_t *peer)
{
  if (!uv_is_closing ((uv_handle_t *)&peer->listener))
    uv_close ((uv_handle_t *)&peer->listener, NULL);
}

void
peer_stop (peer_t *peer)
{
  uv_loop_t *loop = fk_get_loop (peer->kernel);

  peer_close_listener (peer);
  while (peer->open > 0)
    uv_run (loop, UV_RUN_ONCE);
  uv_run (loop, UV_RUN_NOWAIT);
  g_free (peer);
}

uint16_t
peer_get_port (const peer_t *peer)
{
  return peer->port;
}

size_t
peer_count_connections (const peer_t *peer)
{
  return peer->accepted;
}
