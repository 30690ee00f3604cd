/* State of the membership table, shared by the files of this package. */
#ifndef FOXTAILRUN_MEMBER_INTERNAL_H
#define FOXTAILRUN_MEMBER_INTERNAL_H

#include <foxtailrun/member/table.h>
#include <glib.h>

/* Higher incarnations are refused, so that no update can raise a node's incarnation beyond
 * refutation. Start times in milliseconds stay far below. */
#define FM_INCARNATION_MAX ((uint64_t)1 << 53)

/* Limit of members, several times the target fleet; bounds the memory that invalid updates
 * can allocate. */
#define FM_MEMBERS_MAX 16384

/* Transmissions of one update beyond log2 of the number of members. */
#define FM_BASE_TRANSMISSIONS 3

/* Queues, one per transmission count: FM_BASE_TRANSMISSIONS plus log2 of FM_MEMBERS_MAX,
 * and one. */
#define FM_QUEUE_COUNT 18

/* Largest number of unanswered pings sent on behalf of other members. */
#define FM_RELAYS_MAX 64

/* Largest number of updates that are addressed to the receiver of one datagram. */
#define FM_PRIORITY_UPDATES_MAX 4

typedef struct fm_entry fm_entry_t;

/* The members of one service that are alive or suspect. */
typedef struct
{
  fb_name_t name;
  GPtrArray *entries;
} fm_service_t;

struct fm_entry
{
  fw_member_t member;
  uint64_t digest;        /* contribution to the members digest */
  fb_time_t deadline;     /* end of the suspicion or retention; 0 for none */
  fb_time_t changed_at;   /* last change queued for gossip; 0 for none */
  guint list_index;       /* position in PROBE_ORDER, or in DEAD for a dead member */
  guint timed_index;      /* position in TIMED while DEADLINE is not 0 */
  guint service_index;    /* position in SERVICE's entries */
  fm_service_t *service;  /* NULL while neither alive nor suspect */
  uint32_t transmissions; /* of the current update */
  uint64_t last_datagram; /* DATAGRAMS_BUILT of the last datagram with this entry */
  bool queued;
  GList queue_link;
  GList recent_link;
};

/* The outstanding probe; there is at most one. */
typedef struct
{
  bool active;
  bool indirect_sent;
  fb_name_t id;
  uint64_t incarnation; /* of the target when the probe started */
  uint64_t sequence;
  fb_time_t indirect_pings_at;
  fb_time_t deadline;
} fm_probe_t;

/* A ping sent on behalf of another member. */
typedef struct
{
  uint64_t sequence;           /* of the ping sent to the target; 0 when unused */
  uint64_t requester_sequence; /* of the request */
  fb_name_t target;
  fb_name_t address; /* of the requester */
  uint16_t port;
  fb_time_t expires_at;
} fm_relay_t;

typedef struct
{
  fb_counter_t *received, *received_bytes, *sent, *sent_bytes, *malformed, *refused;
  fb_counter_t *probes_failed, *suspicions, *deaths, *refutations, *conflicts, *pauses,
      *divergences;
  fb_counter_t *health, *states[FW_DEAD + 1];
} fm_counters_t;

struct fm_table
{
  fm_options_t options;
  fm_hooks_t hooks;
  const fb_clock_t *clock;
  fm_counters_t counters;
  GRand *random;
  fm_entry_t *self;
  fb_version_t version;
  fb_time_t last_tick; /* time of creation before the first tick */

  GHashTable *by_id;      /* fb_name_t in the entry -> fm_entry_t, owned */
  GPtrArray *sorted;      /* all entries by id */
  GPtrArray *probe_order; /* members to probe: all but this node and the dead */
  guint probe_cursor;     /* entries before it were probed in this round */
  GPtrArray *dead;        /* dead members that are retained */
  GPtrArray *timed;
  GHashTable *services; /* fb_name_t in the service -> fm_service_t, owned */
  size_t state_counts[FW_DEAD + 1];
  uint64_t digest; /* contribution to the members digest */
  fb_time_t digest_changed_at;

  GQueue queues[FM_QUEUE_COUNT]; /* updates to send, by transmission count */
  size_t queued_count;
  GQueue recent; /* all entries, last changed first */
  uint64_t datagrams_built;

  fm_probe_t probe;
  fb_time_t next_probe_at;
  fb_time_t next_gossip_at;
  fb_time_t next_dead_probe_at;
  fb_time_t next_correction_at;
  fb_time_t next_conflict_refutation_at;
  guint dead_cursor;
  guint gossip_cursor;
  uint64_t sequence;
  uint32_t health_score; /* 0 is healthy; timeouts are multiplied by HEALTH_SCORE + 1 */
  fm_relay_t relays[FM_RELAYS_MAX];
  guint next_relay;

  fb_time_t digest_matched_at; /* last datagram whose digest equals DIGEST */
  uint64_t peer_digest;        /* differing digest received since DIGEST last changed */
  fb_time_t peer_digest_since; /* 0 for none */
  fb_time_t next_divergence_at;
};

typedef enum
{
  FM_SOURCE_SUBJECT,  /* the member describes itself */
  FM_SOURCE_GOSSIP,   /* piggybacked on a datagram */
  FM_SOURCE_LIST,     /* a peer's member list */
  FM_SOURCE_DETECTOR, /* this node's own probes and timers */
} fm_source_t;

/* Updates for the receiver of one datagram, sent before the queued ones. */
typedef struct
{
  size_t count;
  const fm_entry_t *entries[FM_PRIORITY_UPDATES_MAX];
  bool include_recent; /* set when the receiver's member list differs */
} fm_priority_updates_t;

/* member-index.c */

/* Returns the entry of ID, or NULL. */
fm_entry_t *fm_find_entry (const fm_table_t *table, const fb_name_t *id);
/* Adds an entry for MEMBER, which must be unknown. */
fm_entry_t *fm_insert_entry (fm_table_t *table, const fw_member_t *member);
/* Replaces the description of ENTRY and updates every index. */
void fm_replace_entry (fm_table_t *table, fm_entry_t *entry, const fw_member_t *member);
void fm_remove_entry (fm_table_t *table, fm_entry_t *entry);
/* Sets the deadline of ENTRY; 0 removes it. */
void fm_set_deadline (fm_table_t *table, fm_entry_t *entry, fb_time_t deadline);
void fm_set_next_probe_target (fm_table_t *table, fm_entry_t *entry);
void fm_create_indexes (fm_table_t *table);
void fm_destroy_indexes (fm_table_t *table);

/* member-queue.c */

/* Queues the state of ENTRY for transmission, as the most recent change. */
void fm_queue_entry (fm_table_t *table, fm_entry_t *entry);
void fm_dequeue_entry (fm_table_t *table, fm_entry_t *entry);
/* Sends one datagram with as many updates as fit; TARGET and PRIORITY may be NULL. */
void fm_send_datagram (fm_table_t *table, fw_datagram_kind_t kind, uint64_t sequence,
                       const fb_name_t *address, uint16_t port, const fb_name_t *target,
                       const fm_priority_updates_t *priority);
void fm_send_gossip (fm_table_t *table, const fm_entry_t *to,
                     const fm_priority_updates_t *priority);
/* Sends the queued updates, if any, to the next gossip_fanout members. */
void fm_run_gossip (fm_table_t *table);

/* member-update.c */

/* Applies one update by the override rules. A known entry that overrides a suspicion or
 * death is added to PRIORITY, which may be NULL. */
void fm_apply_update (fm_table_t *table, const fw_member_t *update, fm_source_t source,
                      fm_priority_updates_t *priority);
/* Calls the leave_requested hook if this node is alive. */
void fm_request_leaving (fm_table_t *table);
void fm_suspect_entry (fm_table_t *table, fm_entry_t *entry);
/* Changes the incarnation and state of this node and queues the update. */
void fm_change_self (fm_table_t *table, uint64_t incarnation, fw_member_state_t state);
/* Declares members dead after their suspicion, and removes dead ones after their retention. */
void fm_run_deadlines (fm_table_t *table, fb_time_t now);
/* Adds ENTRY to PRIORITY; does nothing when PRIORITY is full. */
void fm_add_priority_update (fm_priority_updates_t *priority, const fm_entry_t *entry);
/* Returns the suspicion timeout, scaled by the local health. */
fb_time_t fm_get_suspicion_timeout (const fm_table_t *table);

/* member-probe.c */

void fm_run_probes (fm_table_t *table, fb_time_t now);
/* Handles an ACK: ends the outstanding probe, or forwards the ACK to a requester. */
void fm_handle_ack (fm_table_t *table, const fw_datagram_t *datagram);
/* Pings the target of a PING_REQ on behalf of its sender. */
void fm_handle_ping_req (fm_table_t *table, const fw_datagram_t *datagram);
/* Cancels the outstanding probe and all pings sent on behalf of other members. */
void fm_reset_probes (fm_table_t *table, fb_time_t now);

#endif
