#include "transport-socket.h"
#include <glib.h>
#include <zmq.h>

/* Maximum number of messages read before other handles of the loop are served. */
#define READ_BATCH 64

struct ft_socket
{
  uv_poll_t poll;
  uv_idle_t continue_handle;
  void *handle;
  ft_frames_fn_t callback;
  void *user;
  bool reading;
  bool closed;
  int open_handles;
};

/* Reads one message. FRAMES refers to the data of ZMQ_FRAMES, closed by the caller. Returns
 * the number of frames, which may exceed FT_FRAMES_MAX, or 0 without a message. */
static size_t
read_message (ft_socket_t *socket, zmq_msg_t zmq_frames[FT_FRAMES_MAX], ft_frames_t *frames)
{
  size_t count = 0;
  int more = 1;

  frames->count = 0;
  while (more)
    {
      zmq_msg_t zmq_frame;
      zmq_msg_init (&zmq_frame);
      if (zmq_msg_recv (&zmq_frame, socket->handle, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&zmq_frame);
          return count;
        }
      more = zmq_msg_more (&zmq_frame);
      if (count < FT_FRAMES_MAX)
        {
          zmq_frames[count] = zmq_frame;
          frames->frame[count] = (fb_bytes_t){ zmq_msg_data (&zmq_frames[count]),
                                               zmq_msg_size (&zmq_frames[count]) };
          frames->count = count + 1;
        }
      else
        zmq_msg_close (&zmq_frame);
      count++;
    }
  return count;
}

static void
read_socket (ft_socket_t *socket)
{
  int message_count = 0;

  if (socket->reading)
    return;
  socket->reading = true;
  while (!socket->closed && message_count < READ_BATCH)
    {
      zmq_msg_t zmq_frames[FT_FRAMES_MAX];
      ft_frames_t frames;
      size_t count = read_message (socket, zmq_frames, &frames);

      if (count == 0)
        break;
      /* Valid messages have at most FT_FRAMES_MAX frames. */
      if (count > FT_FRAMES_MAX)
        frames.count = 0;
      socket->callback (&frames, socket->user);
      for (size_t i = 0; i < count && i < FT_FRAMES_MAX; i++)
        zmq_msg_close (&zmq_frames[i]);
      message_count++;
    }
  socket->reading = false;
  if (!socket->closed && message_count < READ_BATCH)
    uv_idle_stop (&socket->continue_handle);
}

static void
continue_reading (uv_idle_t *handle)
{
  read_socket (handle->data);
}

/* ZeroMQ's descriptor is edge-triggered: read until empty after each event and write,
 * otherwise a message could stay unread. */
static void
schedule_read (ft_socket_t *socket)
{
  if (!socket->closed)
    uv_idle_start (&socket->continue_handle, continue_reading);
}

static void
handle_poll (uv_poll_t *handle, int status, int events)
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
ft_create_socket (fk_kernel_t *kernel, void *handle, ft_frames_fn_t callback, void *user)
{
  ft_socket_t *socket = g_new0 (ft_socket_t, 1);
  int descriptor = -1;
  size_t size = sizeof descriptor;

  socket->handle = handle;
  socket->callback = callback;
  socket->user = user;
  socket->open_handles = 2;
  zmq_getsockopt (handle, ZMQ_FD, &descriptor, &size);
  uv_poll_init (fk_get_loop (kernel), &socket->poll, descriptor);
  uv_idle_init (fk_get_loop (kernel), &socket->continue_handle);
  socket->poll.data = socket;
  socket->continue_handle.data = socket;
  uv_poll_start (&socket->poll, UV_READABLE, handle_poll);
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
  uv_close ((uv_handle_t *)&socket->continue_handle, free_socket);
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
