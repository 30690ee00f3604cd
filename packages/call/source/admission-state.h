/* State of admission, shared by its files. */
#ifndef FOXTAILRUN_CALL_ADMISSION_STATE_H
#define FOXTAILRUN_CALL_ADMISSION_STATE_H

#include <foxtailrun/call/admission.h>
#include <glib.h>

/* Time constant of the decaying average of slots in use. */
#define USAGE_TIME_CONSTANT FB_SECOND

/* Queue length limit of a rank whose options give 0. */
#define QUEUE_MAX_DEFAULT 256

/* Weight of a new sample in the moving average of the service time. */
#define SERVICE_TIME_GAIN (1.0 / 16)

typedef struct rank rank_t;

/* The calls of one customer within one rank. */
typedef struct
{
  char *customer;
  rank_t *rank;
  double weight;
  double virtual_start; /* virtual start time of its next call: charged slot time in ns divided
                           by weight */
  GQueue waiting;       /* entry_t, oldest first */
  uint32_t first_waiting; /* calls that go first, at the head of waiting */
  uint32_t started;
  GSequenceIter *position; /* in the rank's backlogged_flows; NULL when no call waits */
} flow_t;

typedef struct
{
  uint64_t id;
  void *call;
  flow_t *flow;
  uint64_t arrival_number;
  fb_time_t arrived_at;
  fb_time_t deadline;
  fb_time_t target_time; /* 0 for the latency target of the rank */
  bool goes_first;
  fb_time_t started_at;   /* valid when link.data is NULL */
  bool within_fair_share; /* on arrival its customer had no waiting call and no charge ahead of
                             the virtual time */
  double charged_ns;      /* charged to the flow at the start */
  GList link;             /* in flow->waiting; data points to this entry while it waits */
} entry_t;

struct rank
{
  uint32_t index;
  fr_rank_options_t options;
  GHashTable *flows;           /* customer -> flow_t */
  GSequence *backlogged_flows; /* flows with waiting calls, by virtual_start */
  double virtual_time;
  size_t waiting;
  uint32_t started;
  double usage;                     /* decaying average of slots in use */
  double start_rate;                /* decaying average of starts per second */
  double service_time_ns;           /* moving average; 0 before the first sample */
  double log_long_service_times[2]; /* logarithm of the time in ns within which most calls end,
                                       of the others and of those that go first; 0 before the
                                       first sample */
};

/* A pending hook call; hooks are called when the state is consistent. */
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
  fr_rate_limit_t *rate_limit; /* borrowed; NULL for none */
  fr_warmup_t *warmup;         /* borrowed; NULL for none */
  fr_pace_t *pace;             /* borrowed; NULL for none */
  fr_admission_hooks_t hooks;
  GPtrArray *ranks;    /* rank_t, most urgent first */
  GHashTable *entries; /* id -> entry_t */
  size_t started;
  size_t waiting;
  uint64_t arrival_count;
  fb_time_t usage_updated_at; /* time of the last fr_update_usage */
  double concurrency_limit;   /* FR_POLICY_ADAPTIVE: of started and waiting calls */
  bool draining;
  bool delivering;
  GQueue events; /* event_t */
  fb_counter_t *count_started;
  fb_counter_t *count_refused[FR_REFUSED_CANCELLED + 1];
};

/* admission-queue.c */

/* Creates an empty rank; OPTIONS are copied. */
rank_t *fr_create_rank (uint32_t index, const fr_rank_options_t *options);

/* Frees a rank with its flows; entries are owned by fr_admission_t.entries. */
void fr_destroy_rank (rank_t *rank);

/* Returns the flow of CUSTOMER in RANK, created when missing. */
flow_t *fr_find_or_add_flow (rank_t *rank, fb_str_t customer, double weight);

/* Queues ENTRY in its flow; a caller retry goes behind the other retries and before the rest.
 */
void fr_push_entry (entry_t *entry);

/* Returns the next entry of RANK, which must have a waiting call. */
entry_t *fr_peek_entry (const rank_t *rank);

/* Removes a waiting ENTRY from its flow. */
void fr_remove_entry (entry_t *entry);

/* Charges the flow of ENTRY, which was removed to be started, the expected service time. */
void fr_charge_start (entry_t *entry);

/* Corrects the charge of ENTRY to its actual SERVICE_TIME. */
void fr_charge_finish (entry_t *entry, fb_time_t service_time);

/* Returns the newest entry of the flow with the most waiting calls relative to its weight, with
 * one more counted for ARRIVING_FLOW; NULL when that flow is ARRIVING_FLOW itself. */
entry_t *fr_find_entry_to_evict (const rank_t *rank, const flow_t *arriving_flow);

/* Returns the expected number of waiting calls of the rank that start before a new one of
 * FLOW. */
double fr_count_calls_ahead (const flow_t *flow);

/* Frees flows without calls and without a charge that affects waiting calls. */
void fr_remove_idle_flows (rank_t *rank);

/* Moves the flows, counts and usage of FROM into TO. */
void fr_merge_rank (rank_t *to, rank_t *from);

/* admission-share.c */

void fr_update_usage (fr_admission_t *admission);

/* Returns whether the recent usage of RANK is below its guaranteed share: of the slots, or
 * under a limit of the starts. */
bool fr_is_below_share (const fr_admission_t *admission, const rank_t *rank);

/* Returns the rank with waiting calls that gets the next free slot; NULL when no call
 * waits, or when FR_POLICY_SHARES reserves the free slots for more urgent ranks. */
rank_t *fr_choose_rank (const fr_admission_t *admission);

/* Returns the expected wait in ns of a new call of FLOW for a slot; a caller retry waits only
 * for the retries before it. */
double fr_estimate_wait (const fr_admission_t *admission, const flow_t *flow, bool goes_first);

/* Like fr_estimate_wait, for the limits of the starts; 0 without one. Sets REFUSAL to the
 * reason for which a call is refused that would wait too long. */
double fr_estimate_limit_wait (const fr_admission_t *admission, const flow_t *flow,
                               bool goes_first, fr_refusal_t *refusal);

/* Returns whether the limits of the starts, if any, let a call start now. */
bool fr_can_start_by_limit (const fr_admission_t *admission);

/* admission.c */

/* Returns the slots that calls may use now: all, or as many as the pace allows. */
uint32_t fr_get_slots_in_force (const fr_admission_t *admission);

/* admission-time.c */

/* Adds the SERVICE_TIME of a call of RANK that has ended; GOES_FIRST as when it was offered. */
void fr_sample_call_time (rank_t *rank, fb_time_t service_time, bool goes_first);

/* Returns the service time in ns by which a new call of RANK is planned. */
double fr_get_planned_time (const rank_t *rank, bool goes_first);

/* admission-limit.c */

/* Updates the limit of FR_POLICY_ADAPTIVE after a call; LATENCY is since its arrival. */
void fr_update_concurrency_limit (fr_admission_t *admission, fb_time_t latency,
                                  fb_time_t service_time);

#endif
