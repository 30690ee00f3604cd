/* Admission beside the backend server: slots, queues by rank and customer, guaranteed shares.
 */
#ifndef FOXTAILRUN_CALL_ADMISSION_H
#define FOXTAILRUN_CALL_ADMISSION_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/string.h>

/* Why a call was refused without being started. */
typedef enum
{
  FR_REFUSED_FULL,     /* the rank's queue is full */
  FR_REFUSED_LATE,     /* the deadline cannot be met or has passed */
  FR_REFUSED_DRAINING, /* the node is leaving */
  FR_REFUSED_CANCELLED /* the caller gave up before it started */
} fr_refusal_t;

/* How free slots are given out; FR_POLICY_SHARES is the product's, the others are baselines. */
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
  double share;             /* guaranteed part of slot time, 0 to 1 */
  fb_time_t latency_target; /* latency target, ns */
  uint32_t queue_max;       /* most calls waiting; 0 for the default */
} fr_rank_options_t;

typedef struct
{
  /* A slot was given to CALL; it ends by fr_finish_call. */
  void (*start) (void *call, void *user);
  /* CALL was refused and never started; it is forgotten. */
  void (*refuse) (void *call, fr_refusal_t refusal, void *user);
  void *user;
} fr_admission_hooks_t;

/* Hooks may call admission again; what that makes due is called after the present hook has
 * returned. Only fr_destroy_admission is not allowed in a hook. */

typedef struct fr_admission fr_admission_t;

/* Creates admission for SLOTS slots and RANK_COUNT ranks in order of urgency; RANKS and HOOKS
 * are copied, CLOCK and COUNTERS borrowed. */
fr_admission_t *fr_create_admission (fr_policy_t policy, uint32_t slots,
                                     const fr_rank_options_t *ranks, size_t rank_count,
                                     const fb_clock_t *clock, fb_counters_t *counters,
                                     const fr_admission_hooks_t *hooks);

/* Frees the state; calls waiting are dropped without a hook. NULL is allowed. */
void fr_destroy_admission (fr_admission_t *admission);

/* Takes over new rules, 1 slot and 1 rank at least, when a configuration changes; calls keep
 * waiting, ranks that went away join the least urgent. */
void fr_configure_admission (fr_admission_t *admission, uint32_t slots,
                             const fr_rank_options_t *ranks, size_t rank_count);

/* Offers CALL of RANK and CUSTOMER with WEIGHT and absolute DEADLINE in ns. Exactly one hook is
 * called for it, now or later; ID names it for the calls below and must be unused. */
void fr_offer_call (fr_admission_t *admission, uint64_t id, void *call, uint32_t rank,
                    fb_str_t customer, double weight, fb_time_t deadline);

/* When a call is worth what. */
typedef struct
{
  fb_time_t deadline;    /* absolute, ns */
  fb_time_t target_time; /* absolute: until here it counts as served in time; 0 stands for the
                    target of its rank from now on */
  bool is_caller_retry; /* it was refused before and has come back: it goes before the others of
                 its customer */
} fr_call_times_t;

/* The same for a call with a latency target of its own. */
void fr_offer_call_with_times (fr_admission_t *admission, uint64_t id, void *call,
                               uint32_t rank, fb_str_t customer, double weight,
                               const fr_call_times_t *times);

/* Ends a started call and frees its slot. */
void fr_finish_call (fr_admission_t *admission, uint64_t id);

/* Gives up a waiting call by its refuse hook; returns false when it has started or is unknown.
 */
bool fr_cancel_call (fr_admission_t *admission, uint64_t id);

/* Refuses calls whose deadline can no longer be met; call it every 10 ms or so. */
void fr_tick_admission (fr_admission_t *admission);

/* Refuses all new calls from now on; waiting and started ones go on. */
void fr_drain_admission (fr_admission_t *admission);

/* Returns slots in use plus calls waiting, per 1,000 slots. */
uint32_t fr_get_load (const fr_admission_t *admission);

/* Returns the time in ns that a new call of RANK may expect to wait. */
fb_time_t fr_get_expected_wait (const fr_admission_t *admission, uint32_t rank);

/* Returns calls started and not finished, and calls waiting. */
size_t fr_count_started (const fr_admission_t *admission);
size_t fr_count_waiting (const fr_admission_t *admission);

/* Returns the name of REFUSAL, such as "queue-full". */
const char *fr_describe_refusal (fr_refusal_t refusal);

#endif
