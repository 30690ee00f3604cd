#include <foxtailrun/transport/udp.h>
#include <glib.h>

/* Larger than any valid datagram, to detect and reject oversized ones. */
#define RECEIVE_BUFFER_BYTES 2048

struct ft_udp
{
  uv_udp_t handle;
  fk_kernel_t *kernel;
  ft_datagram_fn_t callback;
  void *user;
  fb_counter_t *sent_bytes;
  fb_counter_t *received_bytes;
  fb_counter_t *dropped_datagrams;
  char buffer[RECEIVE_BUFFER_BYTES];
};

static void
allocate_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  ft_udp_t *udp = handle->data;

  *buffer = uv_buf_init (udp->buffer, sizeof udp->buffer);
}

static void
receive_datagram (uv_udp_t *handle, ssize_t length, const uv_buf_t *buffer,
                  const struct sockaddr *from, unsigned flags)
{
  ft_udp_t *udp = handle->data;

  if (length <= 0 || !from)
    return;
  fb_add_counter (udp->received_bytes, (uint64_t)length);
  udp->callback ((fb_bytes_t){ (const uint8_t *)buffer->base, (size_t)length }, udp->user);
}

static void
free_udp (uv_handle_t *handle)
{
  g_free (handle->data);
}

static bool
parse_address (const fb_name_t *address, uint16_t port, struct sockaddr_storage *result)
{
  return uv_ip4_addr (address->data, port, (struct sockaddr_in *)result) == 0
         || uv_ip6_addr (address->data, port, (struct sockaddr_in6 *)result) == 0;
}

ft_udp_t *
ft_create_udp (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
               ft_datagram_fn_t callback, void *user)
{
  struct sockaddr_storage bind_address;
  ft_udp_t *udp = g_new0 (ft_udp_t, 1);
  fb_counters_t *counters = fk_get_counters (kernel);
  int error = UV_EINVAL;

  udp->kernel = kernel;
  udp->callback = callback;
  udp->user = user;
  udp->sent_bytes = fb_find_counter (counters, "gossip_sent_bytes", "");
  udp->received_bytes = fb_find_counter (counters, "gossip_received_bytes", "");
  udp->dropped_datagrams = fb_find_counter (counters, "gossip_dropped_datagrams", "");
  uv_udp_init (fk_get_loop (kernel), &udp->handle);
  udp->handle.data = udp;
  if (parse_address (address, port, &bind_address))
    error = uv_udp_bind (&udp->handle, (struct sockaddr *)&bind_address, 0);
  if (error == 0)
    error = uv_udp_recv_start (&udp->handle, allocate_buffer, receive_datagram);
  if (error == 0)
    return udp;
  FB_LOG (fk_get_log (kernel), FB_LOG_ERROR, "transport", "cannot bind UDP socket",
          FB_TEXT ("address", address->data), FB_NUMBER ("port", port),
          FB_TEXT ("error", uv_strerror (error)));
  ft_destroy_udp (udp);
  return NULL;
}

void
ft_destroy_udp (ft_udp_t *udp)
{
  if (udp)
    uv_close ((uv_handle_t *)&udp->handle, free_udp);
}

void
ft_send_datagram (ft_udp_t *udp, const fb_name_t *address, uint16_t port, fb_bytes_t datagram)
{
  struct sockaddr_storage destination;
  uv_buf_t buffer = uv_buf_init ((char *)datagram.data, (unsigned)datagram.len);

  if (!parse_address (address, port, &destination)
      || uv_udp_try_send (&udp->handle, &buffer, 1, (struct sockaddr *)&destination) < 0)
    fb_add_counter (udp->dropped_datagrams, 1);
  else
    fb_add_counter (udp->sent_bytes, datagram.len);
}
