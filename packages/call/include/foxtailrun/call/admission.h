/* Admission beside the backend server: slots, queues by rank and customer, guaranteed shares.
 */
#ifndef FOXTAILRUN_CALL_ADMISSION_H
#define FOXTAILRUN_CALL_ADMISSION_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/string.h>
#include <foxtailrun/call/pace.h>
#include <foxtailrun/call/rate-limit.h>
#include <foxtailrun/call/warmup.h>

/* Why a call was refused without being started. */
typedef enum
{
  FR_REFUSED_QUEUE_FULL, /* the rank's queue is full or the latency target cannot be met */
  FR_REFUSED_RATE_LIMIT, /* the backend server's rate limit lets it start too late */
  FR_REFUSED_WARMING_UP, /* the limit of a cold backend server lets it start too late */
  FR_REFUSED_DEADLINE,   /* the deadline cannot be met or has passed */
  FR_REFUSED_DRAINING,   /* the node is leaving */
  FR_REFUSED_CANCELLED   /* the caller cancelled it before it started */
} fr_refusal_t;

/* Nodes use FR_POLICY_SHARES; the others are baselines for comparison. */
typedef enum
{
  FR_POLICY_SHARES,
  FR_POLICY_FIFO,
  FR_POLICY_STRICT,
  FR_POLICY_FAIR,
  FR_POLICY_ADAPTIVE
} fr_policy_t;

typedef struct
{
  double share;              /* guaranteed fraction of the slots, 0 to 1 */
  fb_time_t latency_target;  /* ns */
  uint32_t queue_length_max; /* limit of waiting calls; 0 for the default */
  bool can_wait;         /* its calls can wait for a slot: at most one is left free for them */
  bool plans_for_spread; /* calls are refused unless most service times end in time, not only
                            the average one */
} fr_rank_options_t;

typedef struct
{
  /* CALL got a slot, which fr_finish_call frees. */
  void (*start) (void *call, void *user);
  /* CALL was refused without being started; admission keeps no reference to it. */
  void (*refuse) (void *call, fr_refusal_t refusal, void *user);
  void *user;
} fr_admission_hooks_t;

/* Hooks may call all functions of admission except fr_destroy_admission; those due
 * meanwhile are called after the current one returns. */

typedef struct fr_admission fr_admission_t;

/* Creates admission for SLOTS slots and RANK_COUNT ranks in order of urgency; RANKS and HOOKS
 * are copied, CLOCK and COUNTERS borrowed. */
fr_admission_t *fr_create_admission (fr_policy_t policy, uint32_t slots,
                                     const fr_rank_options_t *ranks, size_t rank_count,
                                     const fb_clock_t *clock, fb_counters_t *counters,
                                     const fr_admission_hooks_t *hooks);

/* Starts no more calls than LIMIT allows; LIMIT is borrowed and outlives ADMISSION. */
void fr_set_admission_rate_limit (fr_admission_t *admission, fr_rate_limit_t *limit);

/* Starts no more calls than WARMUP allows, and counts them there; WARMUP is borrowed and
 * outlives ADMISSION. */
void fr_set_admission_warmup (fr_admission_t *admission, fr_warmup_t *warmup);
/* Uses the limit of PACE as the number of slots in force, and keeps PACE informed of the number
 * of all slots; PACE is borrowed and outlives ADMISSION. */
void fr_set_admission_pace (fr_admission_t *admission, fr_pace_t *pace);

/* Frees ADMISSION, dropping waiting calls without a hook; may be NULL. */
void fr_destroy_admission (fr_admission_t *admission);

/* Applies a changed configuration with at least 1 slot and 1 rank. Waiting calls are kept;
 * those of removed ranks move to the least urgent rank. */
void fr_configure_admission (fr_admission_t *admission, uint32_t slots,
                             const fr_rank_options_t *ranks, size_t rank_count);

/* Offers CALL of RANK and CUSTOMER with WEIGHT and absolute DEADLINE in ns. Exactly one of
 * start and refuse is called for it, now or later. ID identifies it in the functions below and
 * must be unused. */
void fr_offer_call (fr_admission_t *admission, uint64_t id, void *call, uint32_t rank,
                    fb_str_t customer, double weight, fb_time_t deadline);

typedef struct
{
  fb_time_t deadline;    /* absolute, ns */
  fb_time_t target_time; /* absolute time until which an answer counts as in time; 0 for the
                            latency target of the rank */
  bool goes_first; /* a caller retry or a nested call: queued before the other calls of its
                      customer, and not refused for its target time while it waits */
} fr_call_options_t;

/* Like fr_offer_call, for a call with its own target time or one that goes first. */
void fr_offer_call_with_options (fr_admission_t *admission, uint64_t id, void *call,
                                 uint32_t rank, fb_str_t customer, double weight,
                                 const fr_call_options_t *times);

/* Ends a started call and frees its slot. */
void fr_finish_call (fr_admission_t *admission, uint64_t id);

/* Cancels a waiting call and calls its refuse hook; returns false when it has started or is
 * unknown. */
bool fr_cancel_call (fr_admission_t *admission, uint64_t id);

/* Refuses waiting calls that can no longer meet their deadline or target time; call about
 * every 10 ms. */
void fr_tick_admission (fr_admission_t *admission);

/* Refuses new calls from now on; waiting and started ones continue. */
void fr_drain_admission (fr_admission_t *admission);

/* Returns slots in use plus calls waiting, per 1,000 slots in force. */
uint32_t fr_get_load (const fr_admission_t *admission);

/* Returns the expected wait in ns of a new call of RANK. */
fb_time_t fr_get_expected_wait (const fr_admission_t *admission, uint32_t rank);

/* Return the number of unfinished started calls, and of waiting ones. */
size_t fr_count_started (const fr_admission_t *admission);
size_t fr_count_waiting (const fr_admission_t *admission);

/* Returns the name of REFUSAL, such as "queue-full". */
const char *fr_describe_refusal (fr_refusal_t refusal);

#endif
