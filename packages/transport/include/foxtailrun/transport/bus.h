/* ZeroMQ messages between nodes: one ROUTER for what comes in, one DEALER for each peer spoken
 * to. */
#ifndef FOXTAILRUN_TRANSPORT_BUS_H
#define FOXTAILRUN_TRANSPORT_BUS_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

/* A peer that is silent for this long is disconnected; heartbeats are sent three times as
 * often. */
#define FT_SILENCE_MS 1500

/* How long a message waits for a connection before it is reported as not sent. */
#define FT_CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Address of a requester inside this process, for answers. */
typedef struct
{
  uint8_t len;
  uint8_t data[255];
} ft_requester_t;

typedef struct
{
  /* A message of two frames came from a peer; both are borrowed. Answer with ft_answer. */
  void (*requested) (const ft_requester_t *from, fb_bytes_t header, fb_bytes_t body,
                     void *user);
  /* An answer came from the peer at ADDRESS and PORT; both frames are borrowed. */
  void (*answered) (const fb_name_t *address, uint16_t port, fb_bytes_t header, fb_bytes_t body,
                    void *user);
  /* A message with TAG was provably not sent to the peer. */
  void (*not_sent) (uint64_t tag, void *user);
  /* The connection to the peer was lost; what was sent on it may or may not have arrived. */
  void (*disconnected) (const fb_name_t *address, uint16_t port, void *user);
  void *user;
} ft_bus_hooks_t;

typedef struct ft_bus ft_bus_t;

/* Binds a ROUTER to ADDRESS and PORT; HOOKS is copied. Bytes of frames are counted as
 * bus_sent_bytes and bus_received_bytes under the label NAME. NULL with the error logged when
 * it cannot. */
ft_bus_t *ft_create_bus (fk_kernel_t *kernel, const char *name, const fb_name_t *address,
                         uint16_t port, const ft_bus_hooks_t *hooks);

/* Closes all sockets after at most 1 s for answers still to be written; NULL is allowed. */
void ft_destroy_bus (ft_bus_t *bus);

/* Sends HEADER and BODY to a peer, connecting first when needed. TAG comes back by not_sent. */
void ft_send (ft_bus_t *bus, const fb_name_t *address, uint16_t port, uint64_t tag,
              fb_bytes_t header, fb_bytes_t body);

/* Sends an answer; dropped when the requester's connection is gone. */
void ft_answer (ft_bus_t *bus, const ft_requester_t *to, fb_bytes_t header, fb_bytes_t body);

/* Closes the connection to a peer that is gone. */
void ft_disconnect (ft_bus_t *bus, const fb_name_t *address, uint16_t port);

#endif
