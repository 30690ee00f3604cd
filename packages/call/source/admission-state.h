/* State of admission, shared by its files. */
#ifndef FOXTAILRUN_CALL_ADMISSION_STATE_H
#define FOXTAILRUN_CALL_ADMISSION_STATE_H

#include <foxtailrun/call/admission.h>
#include <glib.h>

/* Time constant of the decaying average of slots used per rank. */
#define USAGE_TIME_CONSTANT FB_SECOND

/* Most calls waiting in a rank when the rules give 0. */
#define QUEUE_MAX_DEFAULT 256

/* Weight of one more sample in the averages of service time. */
#define SERVICE_TIME_GAIN (1.0 / 16)

typedef struct rank rank_t;

/* The calls of one customer within one rank. */
typedef struct
{
  char *customer;
  rank_t *rank;
  double weight;
  double virtual_start;     /* virtual time of its next turn, in slot nanoseconds by weight */
  GQueue waiting;           /* entry_t, oldest first */
  uint32_t retries_waiting; /* of those, calls that have come back; they wait first */
  uint32_t started;         /* calls that hold a slot */
  GSequenceIter *position;  /* position in the rank's turns; NULL when nothing waits */
} flow_t;

typedef struct
{
  uint64_t id;
  void *call;
  flow_t *flow;
  uint64_t arrival_number; /* of arrival */
  fb_time_t arrived_at;
  fb_time_t deadline;
  fb_time_t target_time;
  bool is_caller_retry;
  fb_time_t started_at; /* valid when link.data is NULL */
  bool
      within_fair_share; /* its customer owed nothing and had nothing waiting when it arrived */
  double charged_ns;     /* slot time charged to the flow at the start, ns */
  GList link;            /* in flow->waiting; data points back while it waits */
} entry_t;

struct rank
{
  uint32_t index;
  fr_rank_options_t options;
  GHashTable *flows;           /* customer -> flow_t */
  GSequence *backlogged_flows; /* flows with waiting calls, by pass */
  double virtual_time;
  size_t waiting;
  uint32_t started;
  double usage;           /* decaying average of slots held */
  double service_time_ns; /* average service time in ns; 0 before the first sample */
  uint64_t last_flow;     /* sequence of flows, for a stable order */
};

/* A hook that is due; hooks run only after the state is consistent. */
typedef struct
{
  void *call;
  bool start;
  fr_refusal_t refusal;
} event_t;

struct fr_admission
{
  fr_policy_t policy;
  uint32_t slots;
  const fb_clock_t *clock;
  fr_admission_hooks_t hooks;
  GPtrArray *ranks;    /* rank_t, most urgent first */
  GHashTable *entries; /* id -> entry_t */
  size_t started;
  size_t waiting;
  uint64_t arrival_count;
  fb_time_t usage_updated_at; /* when the usages were brought up to date */
  double concurrency_limit;   /* FR_POLICY_ADAPTIVE: calls allowed inside */
  bool draining;
  bool delivering;
  GQueue events; /* event_t */
  fb_counter_t *count_started;
  fb_counter_t *count_refused[FR_REFUSED_CANCELLED + 1];
};

/* admission-queue.c */

/* Creates an empty rank with RULE. */
rank_t *fr_create_rank (uint32_t index, const fr_rank_options_t *rule);

/* Frees a rank with its flows; waiting entries belong to the table of entries. */
void fr_destroy_rank (rank_t *rank);

/* Returns the flow of CUSTOMER in RANK, created when missing. */
flow_t *fr_find_flow (rank_t *rank, fb_str_t customer, double weight);

/* Appends ENTRY to its flow; one that has come back goes after the others that have, before the
 * rest. */
void fr_push_entry (entry_t *entry);

/* Returns the entry whose turn it is in RANK, which must have one waiting. */
entry_t *fr_peek_entry (const rank_t *rank);

/* Takes a waiting ENTRY out of its flow. */
void fr_remove_entry (entry_t *entry);

/* Charges the flow of ENTRY, just removed for its start, with the expected slot time. */
void fr_charge_start (entry_t *entry);

/* Corrects the charge of ENTRY to the slot time USED. */
void fr_charge_finish (entry_t *entry, fb_time_t used);

/* Returns the newest entry of the customer that holds the most of RANK for its weight; one more
 * is counted for NEWCOMER, and NULL is returned when that customer holds the most. */
entry_t *fr_find_entry_to_evict (const rank_t *rank, const flow_t *newcomer);

/* Returns how many calls waiting in the rank of FLOW start before a new call of FLOW. */
double fr_count_calls_ahead (const flow_t *flow);

/* Frees flows that hold nothing and owe nothing. */
void fr_remove_idle_flows (rank_t *rank);

/* Moves everything of FROM into TO. */
void fr_merge_rank (rank_t *to, rank_t *from);

/* admission-share.c */

/* Brings the usages of all ranks up to the present. */
void fr_update_usage (fr_admission_t *admission);

/* Returns whether RANK has had less than its guaranteed share of recent slot time. */
bool fr_is_below_share (const fr_admission_t *admission, const rank_t *rank);

/* Returns the rank that gets the next slot, or NULL when nothing waits. */
rank_t *fr_choose_rank (const fr_admission_t *admission);

/* Returns the expected wait in ns of a new call of FLOW, or of one that comes AGAIN. */
double fr_estimate_wait (const fr_admission_t *admission, const flow_t *flow, bool again);

/* admission-limit.c */

/* Moves the limit of FR_POLICY_ADAPTIVE after a call that took LATENCY from its arrival and
 * USED slot time. */
void fr_update_concurrency_limit (fr_admission_t *admission, fb_time_t latency, fb_time_t used);

#endif
