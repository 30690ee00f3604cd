/* ZeroMQ messages between nodes: one ROUTER for what comes in, one DEALER for each peer spoken
 * to. */
#ifndef FOXTAILRUN_TRANSPORT_BUS_H
#define FOXTAILRUN_TRANSPORT_BUS_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

/* A peer that is silent for this long is disconnected; heartbeats are sent three times as
 * often. */
#define FT_HEARTBEAT_TIMEOUT_MS 1500

/* How long a message waits for a connection before it is dropped. */
#define FT_CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Receives a message of two frames from a peer; both are borrowed. */
typedef void (*ft_message_fn_t) (fb_bytes_t header, fb_bytes_t body, void *user);

typedef struct ft_bus ft_bus_t;

/* Binds a ROUTER to ADDRESS and PORT. Bytes of frames are counted as bus_sent_bytes and
 * bus_received_bytes under the label NAME. NULL with the error logged when it cannot. */
ft_bus_t *ft_create_bus (fk_kernel_t *kernel, const char *name, const fb_name_t *address,
                         uint16_t port, ft_message_fn_t received, void *user);

/* Closes all sockets; NULL is allowed. */
void ft_destroy_bus (ft_bus_t *bus);

/* Sends HEADER and BODY to a peer, connecting first when needed. What cannot be sent within
 * FT_CONNECT_TIMEOUT is dropped. */
void ft_send (ft_bus_t *bus, const fb_name_t *address, uint16_t port, fb_bytes_t header,
              fb_bytes_t body);

#endif
