/* A small fake network for up to a dozen nodes on one manual clock: datagrams with loss,
 * duplication, delay and reordering, ordered streams, partitions, pauses and stopped nodes. It
 * knows nothing of what the nodes say to each other. */
#ifndef FIXTURE_NETWORK_H
#define FIXTURE_NETWORK_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/string.h>
#include <glib.h>

#define FX_NODES_MAX 12

/* Time between two ticks of a node. */
#define FX_TICK_INTERVAL (100 * FB_MILLISECOND)

typedef enum
{
  FX_DATAGRAM, /* may be lost, doubled and overtaken */
  FX_STREAM    /* in order and whole, unless a partition or a stop cuts it */
} fx_channel_t;

typedef struct
{
  double loss_probability;
  double duplicate_probability;
  fb_time_t delay_min;
  fb_time_t delay_max; /* a wide range reorders datagrams */
} fx_faults_t;

typedef struct
{
  void (*receive) (size_t node, size_t from, fx_channel_t channel, fb_bytes_t bytes,
                   void *user);
  /* Every FX_TICK_INTERVAL while the node runs. */
  void (*tick) (size_t node, void *user);
  /* After each of the calls above. */
  void (*check) (size_t node, void *user);
  void *user;
} fx_hooks_t;

typedef struct fx_network fx_network_t;

/* Creates a network of COUNT stopped nodes, fault-free with a delay of 1 to 5 ms. */
fx_network_t *fx_create_network (size_t count, uint32_t seed, const fx_hooks_t *hooks);
void fx_destroy_network (fx_network_t *network);

/* Returns the clock that all nodes share. */
fb_clock_t *fx_get_clock (fx_network_t *network);
void fx_set_faults (fx_network_t *network, const fx_faults_t *faults);

/* Sends BYTES, which are copied; nothing arrives at a stopped node. */
void fx_send (fx_network_t *network, size_t from, size_t to, fx_channel_t channel,
              fb_bytes_t bytes);

/* Nodes reach each other only within one group; all start in group 0. */
void fx_set_group (fx_network_t *network, size_t node, unsigned group);
void fx_start_node (fx_network_t *network, size_t node);

/* Stops a node and drops what it sent and what waits for it. */
void fx_stop_node (fx_network_t *network, size_t node);

/* Pauses a node: what arrives waits, up to the size of a socket buffer. */
void fx_pause_node (fx_network_t *network, size_t node);

/* Ends a pause: the node ticks first and receives what waited after that, as an event loop
 * does. */
void fx_resume_node (fx_network_t *network, size_t node);

/* Lets DURATION ns pass. */
void fx_run (fx_network_t *network, fb_time_t duration);

#endif
