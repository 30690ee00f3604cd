/* Membership and failure detection by SWIM, with suspicion, incarnations and local health. */
#ifndef FOXTAILRUN_MEMBER_TABLE_H
#define FOXTAILRUN_MEMBER_TABLE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/version.h>
#include <foxtailrun/wire/datagram.h>

/* Periods and limits; fm_get_default_options gives the values of the design page. */
typedef struct
{
  fb_time_t probe_period;         /* between pings of one member */
  fb_time_t ack_timeout;          /* before indirect pings */
  fb_time_t suspect_timeout;      /* from suspicion to death */
  fb_time_t gossip_period;        /* between rounds of urgent updates */
  fb_time_t dead_retention;       /* how long a dead member is remembered */
  uint32_t indirect_probes;       /* members asked to ping on behalf */
  uint32_t gossip_fanout;         /* members an urgent update goes to in each round */
  uint32_t health_multiplier_max; /* largest multiplier of the timeouts */
} fm_options_t;

typedef struct
{
  /* Sends one datagram; DATAGRAM is borrowed. */
  void (*send) (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user);
  /* A member, or this node itself, appeared or changed; PREVIOUS is NULL for a new one. Must
   * not change the table, except by fm_set_version. May be NULL. */
  void (*changed) (const fw_member_t *member, const fw_member_t *previous, void *user);
  /* SENDER has VERSION in force; called last for each datagram received. May be NULL. */
  void (*summary_received) (const fw_member_t *sender, const fb_version_t *version, void *user);
  /* The member list differs from PEER's for longer than updates take to spread: PEER should be
   * asked for its list, whose pages go to fm_merge_members. Called at most every 10 s; must not
   * change the table. May be NULL. */
  void (*diverged) (const fw_member_t *peer, void *user);
  /* Another node has read in the host list that this host is to leave: the receiver should
   * drain, which ends in fm_announce_leaving. Must not change the table. May be NULL. */
  void (*leave_requested) (void *user);
  void *user;
} fm_hooks_t;

typedef struct fm_table fm_table_t;

/* Returns the default options. */
fm_options_t fm_get_default_options (void);

/* Creates a table for SELF (state FW_ALIVE); CLOCK and COUNTERS are borrowed, HOOKS is copied,
 * SEED starts the random numbers, NULL OPTIONS stand for the defaults. Destroy with
 * fm_destroy_table. */
fm_table_t *fm_create_table (const fw_member_t *self, const fm_options_t *options,
                             uint32_t seed, const fb_clock_t *clock, fb_counters_t *counters,
                             const fm_hooks_t *hooks);

/* Frees the table; NULL is allowed. */
void fm_destroy_table (fm_table_t *table);

/* Handles one received datagram; FB_INVALID when malformed, which is also counted. */
fb_status_t fm_handle_datagram (fm_table_t *table, fb_bytes_t bytes);

/* Runs whatever is due; call it at least every gossip period. */
void fm_tick (fm_table_t *table);

/* Pings an address that may belong to a member not yet known. */
void fm_probe_address (fm_table_t *table, const fb_name_t *address, uint16_t port);

/* Takes COUNT member descriptions from a peer's list or the host list. A description with
 * incarnation 0, as the host list gives, is only a hint: its address is pinged when the id is
 * unknown. */
void fm_merge_members (fm_table_t *table, const fw_member_t *members, size_t count);

/* Sets the version that outgoing datagrams carry. */
void fm_set_version (fm_table_t *table, const fb_version_t *version);

/* Sends the version at once to 4 members: two of the own zone, one of another zone, one of
 * another region. */
void fm_announce_version (fm_table_t *table);

/* Marks this node as leaving and spreads it as an urgent update. */
void fm_announce_leaving (fm_table_t *table);

/* Takes from the host list that member ID is to leave: it gets no new work from now on, all
 * members are told as an urgent update, and the member itself by its hook. Does nothing for an
 * unknown or dead member. */
void fm_mark_leaving (fm_table_t *table, const fb_name_t *id);

/* Raises the own incarnation and spreads it, after a pause. */
void fm_raise_incarnation (fm_table_t *table);

/* Returns this node's own description; owned by the table. */
const fw_member_t *fm_get_self (const fm_table_t *table);

/* Returns the member called ID, or NULL; owned by the table and valid until the next call that
 * takes a non-const table. */
const fw_member_t *fm_find_member (const fm_table_t *table, const fb_name_t *id);

/* Returns the number of members in STATE, this node included. */
size_t fm_count_members (const fm_table_t *table, fw_member_state_t state);

/* Returns a digest over the ids, incarnations and states of all members that are not dead. */
uint64_t fm_digest_members (const fm_table_t *table);

/* Receives one member; returns false to stop the visit. */
typedef bool (*fm_visit_fn_t) (const fw_member_t *member, void *user);

/* Visits all members ordered by id, this node and the dead included. */
void fm_visit_members (const fm_table_t *table, fm_visit_fn_t visit, void *user);

/* Visits the members of SERVICE that are alive or suspect, this node included. */
void fm_visit_service (const fm_table_t *table, fb_str_t service, fm_visit_fn_t visit,
                       void *user);

#endif
