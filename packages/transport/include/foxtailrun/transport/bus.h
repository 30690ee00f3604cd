/* ZeroMQ messages between nodes: one ROUTER to receive and one DEALER for each peer to
 * send. */
#ifndef FOXTAILRUN_TRANSPORT_BUS_H
#define FOXTAILRUN_TRANSPORT_BUS_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

/* A peer silent for this long is disconnected. Heartbeats are sent every third of it. */
#define FT_HEARTBEAT_TIMEOUT_MS 1500

/* A message that waits longer for a connection is dropped. */
#define FT_CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Handles a message of two frames from a peer; HEADER and BODY are borrowed. */
typedef void (*ft_message_fn_t) (fb_bytes_t header, fb_bytes_t body, void *user);

typedef struct ft_bus ft_bus_t;

/* Binds a ROUTER to ADDRESS and PORT. Bytes of frames are counted as bus_sent_bytes and
 * bus_received_bytes, label bus=NAME. On failure, logs the error and returns NULL. */
ft_bus_t *ft_create_bus (fk_kernel_t *kernel, const char *name, const fb_name_t *address,
                         uint16_t port, ft_message_fn_t callback, void *user);

/* Closes all sockets and frees the bus; NULL is allowed. */
void ft_destroy_bus (ft_bus_t *bus);

/* Sends a copy of HEADER and BODY, connecting first if needed; dropped if not sent within
 * FT_CONNECT_TIMEOUT. */
void ft_send (ft_bus_t *bus, const fb_name_t *address, uint16_t port, fb_bytes_t header,
              fb_bytes_t body);

#endif
