/* Simulated network of up to 12 nodes on a manual clock: lost, duplicated, delayed and
 * reordered datagrams, ordered streams, partitions, pauses and stopped nodes. Payloads are
 * opaque. */
#ifndef FIXTURE_NETWORK_H
#define FIXTURE_NETWORK_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/string.h>
#include <glib.h>

#define FX_NODES_MAX 12

#define FX_TICK_INTERVAL (100 * FB_MILLISECOND)

typedef enum
{
  FX_DATAGRAM, /* may be lost, duplicated and reordered */
  FX_STREAM    /* reliable and in order, unless a partition or a stop breaks it */
} fx_channel_t;

typedef struct
{
  double loss_probability;
  double duplicate_probability;
  fb_time_t delay_min;
  fb_time_t delay_max; /* a wide range of delays reorders datagrams */
} fx_faults_t;

typedef struct
{
  void (*receive) (size_t node, size_t from, fx_channel_t channel, fb_bytes_t bytes,
                   void *user);
  /* Called every FX_TICK_INTERVAL while the node runs. */
  void (*tick) (size_t node, void *user);
  /* Called after each of the calls above. */
  void (*check) (size_t node, void *user);
  void *user;
} fx_hooks_t;

typedef struct fx_network fx_network_t;

/* Creates a network of COUNT stopped nodes with a delay of 1 to 5 ms and no other faults;
 * destroy it with fx_destroy_network. */
fx_network_t *fx_create_network (size_t count, uint32_t seed, const fx_hooks_t *hooks);
void fx_destroy_network (fx_network_t *network);

/* Returns the clock shared by all nodes; owned by the network. */
fb_clock_t *fx_get_clock (fx_network_t *network);
void fx_set_faults (fx_network_t *network, const fx_faults_t *faults);

/* Sends BYTES, which are copied; a stopped node receives nothing. */
void fx_send (fx_network_t *network, size_t from, size_t to, fx_channel_t channel,
              fb_bytes_t bytes);

/* Moves NODE to GROUP, initially 0; only nodes of one group are connected. */
void fx_set_group (fx_network_t *network, size_t node, unsigned group);
void fx_start_node (fx_network_t *network, size_t node);

/* Stops a node; drops its stream messages in transit and all queued for it. */
void fx_stop_node (fx_network_t *network, size_t node);

/* Pauses a node: messages are queued up to a limit, as in a socket buffer. */
void fx_pause_node (fx_network_t *network, size_t node);

/* Ends a pause: as in an event loop, the node ticks before it gets queued messages. */
void fx_resume_node (fx_network_t *network, size_t node);

void fx_run (fx_network_t *network, fb_time_t duration);

#endif
