#include "transport-socket.h"
#include <glib.h>
#include <zmq.h>

/* Messages read in one go before other handles of the loop get their turn. */
#define READ_BATCH 64

struct ft_socket
{
  uv_poll_t poll;
  uv_idle_t again;
  void *handle;
  ft_frames_fn_t receive;
  void *user;
  bool reading;
  bool closed;
  int open_handles;
};

/* Reads one message into PARTS; returns the number of frames, 0 when there is none. */
static size_t
read_message (ft_socket_t *socket, zmq_msg_t parts[FT_FRAMES_MAX], ft_frames_t *frames)
{
  size_t count = 0;
  int more = 1;

  frames->count = 0;
  while (more)
    {
      zmq_msg_t part;
      zmq_msg_init (&part);
      if (zmq_msg_recv (&part, socket->handle, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&part);
          return count;
        }
      more = zmq_msg_more (&part);
      if (count < FT_FRAMES_MAX)
        {
          parts[count] = part;
          frames->frame[count]
              = (fb_bytes_t){ zmq_msg_data (&parts[count]), zmq_msg_size (&parts[count]) };
          frames->count = count + 1;
        }
      else
        zmq_msg_close (&part);
      count++;
    }
  return count;
}

static void
read_socket (ft_socket_t *socket)
{
  int batch = 0;

  if (socket->reading)
    return;
  socket->reading = true;
  while (!socket->closed && batch < READ_BATCH)
    {
      zmq_msg_t parts[FT_FRAMES_MAX];
      ft_frames_t frames;
      size_t count = read_message (socket, parts, &frames);

      if (count == 0)
        break;
      /* A message with too many frames is not one of the protocol's. */
      if (count > FT_FRAMES_MAX)
        frames.count = 0;
      socket->receive (&frames, socket->user);
      for (size_t i = 0; i < count && i < FT_FRAMES_MAX; i++)
        zmq_msg_close (&parts[i]);
      batch++;
    }
  socket->reading = false;
  if (!socket->closed && batch < READ_BATCH)
    uv_idle_stop (&socket->again);
}

static void
read_again (uv_idle_t *handle)
{
  read_socket (handle->data);
}

/* ZeroMQ's descriptor is edge-triggered: after each event and each write the socket must be
 * read until empty, or a message stays unseen. */
static void
schedule_read (ft_socket_t *socket)
{
  if (!socket->closed)
    uv_idle_start (&socket->again, read_again);
}

static void
receive_poll (uv_poll_t *handle, int status, int events)
{
  ft_socket_t *socket = handle->data;

  schedule_read (socket);
  read_socket (socket);
}

static void
free_socket (uv_handle_t *handle)
{
  ft_socket_t *socket = handle->data;

  if (--socket->open_handles == 0)
    g_free (socket);
}

ft_socket_t *
ft_create_socket (fk_kernel_t *kernel, void *handle, ft_frames_fn_t receive, void *user)
{
  ft_socket_t *socket = g_new0 (ft_socket_t, 1);
  int descriptor = -1;
  size_t size = sizeof descriptor;

  socket->handle = handle;
  socket->receive = receive;
  socket->user = user;
  socket->open_handles = 2;
  zmq_getsockopt (handle, ZMQ_FD, &descriptor, &size);
  uv_poll_init (fk_get_loop (kernel), &socket->poll, descriptor);
  uv_idle_init (fk_get_loop (kernel), &socket->again);
  socket->poll.data = socket;
  socket->again.data = socket;
  uv_poll_start (&socket->poll, UV_READABLE, receive_poll);
  schedule_read (socket);
  return socket;
}

void
ft_destroy_socket (ft_socket_t *socket)
{
  if (!socket || socket->closed)
    return;
  socket->closed = true;
  uv_poll_stop (&socket->poll);
  uv_close ((uv_handle_t *)&socket->poll, free_socket);
  uv_close ((uv_handle_t *)&socket->again, free_socket);
  zmq_close (socket->handle);
  socket->handle = NULL;
}

bool
ft_write_socket (ft_socket_t *socket, fb_bytes_t frame, bool more)
{
  bool written = zmq_send (socket->handle, frame.data, frame.len,
                           ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0))
                 >= 0;

  schedule_read (socket);
  return written;
}
