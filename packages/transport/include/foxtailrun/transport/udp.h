/* UDP datagrams on the kernel's loop. */
#ifndef FOXTAILRUN_TRANSPORT_UDP_H
#define FOXTAILRUN_TRANSPORT_UDP_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

typedef struct ft_udp ft_udp_t;

/* Handles one received datagram, which is borrowed. */
typedef void (*ft_datagram_fn_t) (fb_bytes_t datagram, void *user);

/* Binds a socket to ADDRESS and PORT. On failure, logs the error and returns NULL. */
ft_udp_t *ft_create_udp (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                         ft_datagram_fn_t callback, void *user);

/* Closes the socket and frees it; NULL is allowed. */
void ft_destroy_udp (ft_udp_t *udp);

/* Sends one datagram without waiting; a full send buffer drops it, as the network may. */
void ft_send_datagram (ft_udp_t *udp, const fb_name_t *address, uint16_t port,
                       fb_bytes_t datagram);

#endif
