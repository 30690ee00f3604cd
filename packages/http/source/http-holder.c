/* An HTTP/1 connection's share of the process's account of memory. */
#include "http-connection-state.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>

static fh_connection_t *
get_connection (const fb_holder_t *holder)
{
  return (fh_connection_t *)(void *)((char *)holder - offsetof (fh_connection_t, holder));
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[64 * 1024];
  const fh_connection_t *connection = ((fh_stream_t *)handle)->connection;
  size_t length = fb_get_read_size (fk_get_account (connection->server->kernel));

  *buffer = uv_buf_init (bytes, (unsigned)MIN (length, sizeof bytes));
}

void
fh_update_reading (fh_connection_t *connection)
{
  bool read = connection->is_lingering || (!connection->paused && !connection->holder.paused);

  if (read == connection->is_reading || fh_is_connection_closing (connection))
    return;
  connection->is_reading = read;
  if (read)
    uv_read_start ((uv_stream_t *)connection->stream, allocate_buffer, fh_receive_bytes);
  else
    uv_read_stop ((uv_stream_t *)connection->stream);
}

static void
set_paused (fb_holder_t *holder, bool paused)
{
  fh_update_reading (get_connection (holder));
}

static bool
has_input (const fb_holder_t *holder)
{
  const fh_connection_t *connection = get_connection (holder);
  uv_os_fd_t descriptor;
  int length = 0;

  if (fh_is_connection_closing (connection)
      || uv_fileno ((const uv_handle_t *)connection->stream, &descriptor) != 0)
    return false;
  return ioctl (descriptor, FIONREAD, &length) == 0 && length > 0;
}

/* Refuses an incomplete request while nothing of it is passed on; other connections are closed
 * without a promise. */
static void
close_holder (fb_holder_t *holder)
{
  fh_connection_t *connection = get_connection (holder);

  if (connection->phase == FH_PHASE_BODY || connection->phase == FH_PHASE_HEAD)
    fh_reject_incomplete (connection, 503);
  else
    fh_close_connection (connection);
}

uint64_t
fh_get_client_number (const fh_server_t *server, const fh_stream_t *stream)
{
  struct sockaddr_storage peer;
  struct sockaddr_storage own;
  int peer_length = sizeof peer;
  int own_length = sizeof own;
  const struct sockaddr_in *peer4 = (const struct sockaddr_in *)&peer;
  const struct sockaddr_in6 *peer6 = (const struct sockaddr_in6 *)&peer;
  uint64_t number;

  if (uv_tcp_getpeername (&stream->handle, (struct sockaddr *)&peer, &peer_length) != 0
      || uv_tcp_getsockname (&stream->handle, (struct sockaddr *)&own, &own_length) != 0
      || peer.ss_family != own.ss_family)
    return 0;
  if (peer.ss_family == AF_INET)
    {
      uint32_t address = ntohl (peer4->sin_addr.s_addr);

      return address == ntohl (((const struct sockaddr_in *)&own)->sin_addr.s_addr)
                     || address == INADDR_LOOPBACK
                 ? 0
                 : address;
    }
  if (memcmp (&peer6->sin6_addr, &((const struct sockaddr_in6 *)&own)->sin6_addr,
              sizeof peer6->sin6_addr)
          == 0
      || IN6_IS_ADDR_LOOPBACK (&peer6->sin6_addr))
    return 0;
  /* One customer's network has 64 bits, so that its hosts can change their addresses. */
  memcpy (&number, &peer6->sin6_addr, sizeof number);
  return number;
}

void
fh_add_connection_holder (fh_connection_t *connection)
{
  static const fb_holder_class_t class = { set_paused, has_input, close_holder };
  const fh_server_t *server = connection->server;

  fb_add_holder (fk_get_account (server->kernel), &connection->holder, &class,
                 fh_get_client_number (server, connection->stream),
                 fb_read_clock (fk_get_clock (server->kernel)));
}

void
fh_update_holder (fh_connection_t *connection)
{
  fb_holder_t *holder = &connection->holder;
  const fh_pipeline_t *pipeline = &connection->pipeline;
  size_t requests
      = (pipeline->bytes - pipeline->done_bytes) * connection->server->request_copies;
  size_t responses = pipeline->done_bytes + connection->unsent_held;

  if (connection->server->is_admin)
    fb_hold (holder, FB_HELD_ADMIN,
             requests + responses + connection->input->len
                 + fh_get_reader_size (connection->reader));
  else
    {
      fb_hold (holder, FB_HELD_HEAD,
               connection->input->len + fh_get_head_size (connection->reader));
      fb_hold (holder, FB_HELD_BODY, requests + fh_get_body_size (connection->reader));
      fb_hold (holder, FB_HELD_RESPONSE, responses);
    }
  fb_check_pause (holder);
  fh_update_reading (connection);
}
