/* A ZeroMQ socket on the kernel's loop. */
#ifndef FOXTAILRUN_TRANSPORT_SOCKET_H
#define FOXTAILRUN_TRANSPORT_SOCKET_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

#define FT_FRAMES_MAX 3

/* The frames of one message; count is 0 if more than FT_FRAMES_MAX. */
typedef struct
{
  size_t count;
  fb_bytes_t frame[FT_FRAMES_MAX];
} ft_frames_t;

typedef void (*ft_frames_fn_t) (ft_frames_t *frames, void *user);

typedef struct ft_socket ft_socket_t;

/* Takes ownership of HANDLE and passes each message to CALLBACK, which is called only from the
 * loop, never from within a function of this module. */
ft_socket_t *ft_create_socket (fk_kernel_t *kernel, void *handle, ft_frames_fn_t callback,
                               void *user);

/* Closes and frees the socket; may be called from its callback. NULL is allowed. */
void ft_destroy_socket (ft_socket_t *socket);

/* Writes one frame without waiting; MORE if others of the message follow. Returns false if
 * ZeroMQ does not accept it. */
bool ft_write_socket (ft_socket_t *socket, fb_bytes_t frame, bool more);

#endif
