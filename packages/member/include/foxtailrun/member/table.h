/* Membership and failure detection by SWIM, with suspicion, incarnations and local health. */
#ifndef FOXTAILRUN_MEMBER_TABLE_H
#define FOXTAILRUN_MEMBER_TABLE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/version.h>
#include <foxtailrun/wire/datagram.h>

/* Periods and limits of the protocol; the defaults are those of the design page. */
typedef struct
{
  fb_time_t probe_period;         /* between two probes */
  fb_time_t ack_timeout;          /* after which indirect pings are sent */
  fb_time_t suspect_timeout;      /* from suspicion to death */
  fb_time_t gossip_period;        /* between rounds of queued updates */
  fb_time_t dead_retention;       /* time that a dead member stays in the table */
  uint32_t indirect_probes;       /* members requested to ping a silent member */
  uint32_t gossip_fanout;         /* receivers of the updates in each round */
  uint32_t health_multiplier_max; /* largest multiplier of the timeouts */
} fm_options_t;

typedef struct
{
  /* Sends one datagram; DATAGRAM is borrowed. */
  void (*send) (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user);
  /* A member or this node was added or changed; PREVIOUS is NULL for a new one. Must not
   * change the table, except by fm_set_version. May be NULL. */
  void (*changed) (const fw_member_t *member, const fw_member_t *previous, void *user);
  /* SENDER has VERSION in force; called last for each datagram received. May be NULL. */
  void (*summary_received) (const fw_member_t *sender, const fb_version_t *version, void *user);
  /* The list has differed from PEER's for longer than updates spread: request PEER's and
   * pass its pages to fm_merge_members. Called at most every 10 s; must not change the table.
   * May be NULL. */
  void (*diverged) (const fw_member_t *peer, void *user);
  /* The host list requires this host to leave: drain, then call fm_announce_leaving. Must not
   * change the table. May be NULL. */
  void (*leave_requested) (void *user);
  void *user;
} fm_hooks_t;

typedef struct fm_table fm_table_t;

fm_options_t fm_get_default_options (void);

/* Creates a table for SELF (state FW_ALIVE); CLOCK and COUNTERS are borrowed, HOOKS and
 * OPTIONS copied, NULL OPTIONS mean defaults. SEED starts the random numbers. Destroy with
 * fm_destroy_table. */
fm_table_t *fm_create_table (const fw_member_t *self, const fm_options_t *options,
                             uint32_t seed, const fb_clock_t *clock, fb_counters_t *counters,
                             const fm_hooks_t *hooks);

/* Frees the table; NULL is allowed. */
void fm_destroy_table (fm_table_t *table);

/* Handles a received datagram; returns FB_INVALID and counts it when malformed. */
fb_status_t fm_handle_datagram (fm_table_t *table, fb_bytes_t bytes);

/* Runs due probes, gossip and deadlines; call at least every gossip period. */
void fm_tick (fm_table_t *table);

/* Pings an address that may belong to an unknown member. */
void fm_probe_address (fm_table_t *table, const fb_name_t *address, uint16_t port);

/* Merges COUNT member descriptions from a peer's list or the host list. The host list has
 * no incarnations: incarnation 0 is not merged, but its address is pinged when the id is
 * unknown. */
void fm_merge_members (fm_table_t *table, const fw_member_t *members, size_t count);

/* Sets the version that outgoing datagrams carry. */
void fm_set_version (fm_table_t *table, const fb_version_t *version);

/* Sends the version at once to 4 members: two in this zone, one in another zone, one in
 * another region. */
void fm_announce_version (fm_table_t *table);

/* Marks this node as leaving and sends the update at once. */
void fm_announce_leaving (fm_table_t *table);

/* Marks member ID as leaving because the host list requires it: it gets no new work, and
 * the update is queued for gossip. The member learns it by its leave_requested hook. Ignores
 * an unknown or dead member. */
void fm_mark_leaving (fm_table_t *table, const fb_name_t *id);

/* Raises and spreads this node's incarnation, after the process was paused. */
void fm_raise_incarnation (fm_table_t *table);

/* Returns this node's own description; owned by the table. */
const fw_member_t *fm_get_self (const fm_table_t *table);

/* Returns the member called ID, or NULL; owned by the table and valid until the next call that
 * takes a non-const table. */
const fw_member_t *fm_find_member (const fm_table_t *table, const fb_name_t *id);

/* Returns the number of members in STATE, this node included. */
size_t fm_count_members (const fm_table_t *table, fw_member_state_t state);

/* Returns a digest of ids, incarnations and states of all members not dead. */
uint64_t fm_digest_members (const fm_table_t *table);

/* Receives one member; returns false to stop the visit. */
typedef bool (*fm_visit_fn_t) (const fw_member_t *member, void *user);

/* Visits all members ordered by id, including this node and dead members. */
void fm_visit_members (const fm_table_t *table, fm_visit_fn_t visit, void *user);

/* Visits the members of SERVICE that are alive or suspect, this node included. */
void fm_visit_service (const fm_table_t *table, fb_str_t service, fm_visit_fn_t visit,
                       void *user);

#endif
