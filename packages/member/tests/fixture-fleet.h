/* Membership tables on the simulated network, with each node's true state and invariants
 * checked after every step. */
#ifndef FIXTURE_FLEET_H
#define FIXTURE_FLEET_H

#include "fixture-network.h"
#include <foxtailrun/member/table.h>

typedef enum
{
  FLEET_DOWN,
  FLEET_UP,
  FLEET_PAUSED
} fleet_state_t;

typedef struct fleet fleet_t;

/* Last observed entry of one member in a table. */
typedef struct
{
  bool known;
  uint64_t incarnation;
  fw_member_state_t state;
  fb_time_t dead_since;
} observation_t;

typedef struct
{
  fleet_t *fleet;
  size_t index;
  fleet_state_t state;
  bool leaving;
  unsigned generation; /* of the address; incremented when the node moves */
  uint64_t first_incarnation;
  fm_table_t *table;
  fb_counters_t *counters;
  fb_time_t next_host_list_at;
  fb_time_t next_seed_ping_at;
  observation_t observations[FX_NODES_MAX];
} fleet_node_t;

struct fleet
{
  fx_network_t *network;
  GRand *random;
  uint32_t seed;
  size_t count;
  bool forbid_false_deaths; /* fail when a running process is declared dead */
  fleet_node_t nodes[FX_NODES_MAX];
};

/* Creates COUNT nodes that are down; SEED determines all random choices. Destroy with
 * fleet_destroy. */
fleet_t *fleet_create (size_t count, uint32_t seed);
void fleet_destroy (fleet_t *fleet);

/* Starts a process with a new incarnation at the same or, when MOVED, at another address. */
void fleet_start (fleet_t *fleet, size_t node, bool moved);
void fleet_kill (fleet_t *fleet, size_t node);
void fleet_pause (fleet_t *fleet, size_t node);
void fleet_resume (fleet_t *fleet, size_t node);
void fleet_leave (fleet_t *fleet, size_t node);

/* Returns whether all running tables list exactly the running members as alive or leaving,
 * with equal digests; otherwise describes a difference in REASON, of SIZE bytes. */
bool fleet_is_converged (fleet_t *fleet, char *reason, size_t size);

/* Returns the first running node whose table has NODE in a state below STATE, or -1. */
int fleet_find_stale_viewer (fleet_t *fleet, size_t node, fw_member_state_t state);

/* Reports the seed, the simulated time and MESSAGE, and aborts. */
void fleet_fail (fleet_t *fleet, const char *format, ...) G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

#endif
