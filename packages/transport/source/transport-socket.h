/* One ZeroMQ socket on the kernel's loop. */
#ifndef FOXTAILRUN_TRANSPORT_SOCKET_H
#define FOXTAILRUN_TRANSPORT_SOCKET_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

#define FT_FRAMES_MAX 3

/* One whole message; frames beyond FT_FRAMES_MAX are counted and dropped. */
typedef struct
{
  size_t count;
  fb_bytes_t frame[FT_FRAMES_MAX];
} ft_frames_t;

typedef void (*ft_frames_fn_t) (ft_frames_t *frames, void *user);

typedef struct ft_socket ft_socket_t;

/* Watches HANDLE, which it takes over, and passes each message to RECEIVE from the loop, never
 * from inside another function of this module. */
ft_socket_t *ft_create_socket (fk_kernel_t *kernel, void *handle, ft_frames_fn_t receive,
                               void *user);

/* Closes the socket; safe inside its own RECEIVE. NULL is allowed. */
void ft_destroy_socket (ft_socket_t *socket);

/* Writes one frame without waiting; returns false when it is not accepted. */
bool ft_write_socket (ft_socket_t *socket, fb_bytes_t frame, bool more);

#endif
