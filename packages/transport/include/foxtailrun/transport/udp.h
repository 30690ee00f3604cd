/* Datagrams over UDP on the kernel's loop. */
#ifndef FOXTAILRUN_TRANSPORT_UDP_H
#define FOXTAILRUN_TRANSPORT_UDP_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

typedef struct ft_udp ft_udp_t;

/* Receives one datagram, borrowed. */
typedef void (*ft_datagram_fn_t) (fb_bytes_t datagram, void *user);

/* Binds ADDRESS and PORT; returns NULL with the error logged when it cannot. */
ft_udp_t *ft_create_udp (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                         ft_datagram_fn_t receive, void *user);

/* Closes the socket and frees it; NULL is allowed. */
void ft_destroy_udp (ft_udp_t *udp);

/* Sends one datagram if the socket can take it now; a full buffer drops it, as the network may.
 */
void ft_send_datagram (ft_udp_t *udp, const fb_name_t *address, uint16_t port,
                       fb_bytes_t datagram);

#endif
