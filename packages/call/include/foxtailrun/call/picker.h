/* Choice of the instance for a call, based on observations of this node. */
#ifndef FOXTAILRUN_CALL_PICKER_H
#define FOXTAILRUN_CALL_PICKER_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/member/table.h>

/* Nodes use FR_PICK_LOCALITY; the others are baselines for comparison. */
typedef enum
{
  FR_PICK_LOCALITY,
  FR_PICK_TWO_CHOICES,
  FR_PICK_LEAST_IN_FLIGHT,
  FR_PICK_ROUND_ROBIN,
  FR_PICK_RENDEZVOUS
} fr_pick_policy_t;

/* Result of an attempt at an instance. */
typedef enum
{
  FR_RESULT_ANSWERED,
  FR_RESULT_REFUSED,     /* refused by admission; not a failure of the instance */
  FR_RESULT_UNREACHABLE, /* accepts no calls; the instance is ejected for a short time */
  FR_RESULT_FAILED,      /* error, truncated answer or no answer */
  FR_RESULT_CANCELLED    /* cancelled; counts neither as success nor as failure */
} fr_result_t;

typedef struct fr_picker fr_picker_t;

/* Creates a picker for node SELF in ZONE; borrows CLOCK, SEED starts the random numbers. */
fr_picker_t *fr_create_picker (fr_pick_policy_t policy, const fb_name_t *self,
                               const fb_name_t *zone, uint32_t seed, const fb_clock_t *clock);

/* Frees the picker; NULL is allowed. */
void fr_destroy_picker (fr_picker_t *picker);

/* Adds, updates or, when it is leaving or dead, removes the instance MEMBER. Call from the
 * membership's changed hook, and for this node itself. */
void fr_update_instance (fr_picker_t *picker, const fw_member_t *member);

/* Excludes the instances of ZONE from every choice, also as a last resort, or, unless
 * EVACUATED, includes them again with a slow start. Holds for instances that are added later,
 * too. */
void fr_set_zone_evacuated (fr_picker_t *picker, const fb_name_t *zone, bool evacuated);

/* Picks an instance of SERVICE other than the EXCLUDED_COUNT names in EXCLUDED and counts a
 * call in flight on it. Returns false when there is none. */
bool fr_pick_backend (fr_picker_t *picker, fb_str_t service, fb_str_t key,
                      const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* Counts a call in flight on an instance that was not picked, such as the owner of a ticket. */
void fr_begin_attempt (fr_picker_t *picker, const fb_name_t *instance);

/* Ends a call in flight with RESULT, LATENCY in ns and the LOAD per 1,000 slots that the answer
 * reported. Of a cancelled call, LATENCY is a lower limit of what it would have taken, 0 when
 * unknown. */
void fr_report_result (fr_picker_t *picker, const fb_name_t *instance, fr_result_t result,
                       fb_time_t latency, uint32_t load);

/* Like fr_pick_backend, for a call of RANK, 0 being the most urgent; the functions above
 * stand for rank 0. Calls in flight and latencies are recorded by rank, because waiting calls
 * of a less urgent rank do not indicate the wait of a more urgent one. */
bool fr_pick_for_rank (fr_picker_t *picker, fb_str_t service, uint32_t rank, fb_str_t key,
                       const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* Like fr_pick_for_rank, for a call with LATENCY_TARGET in ns; other zones are used only
 * when that saves a fraction of the target. Also returns false when EXCLUDED is not empty and
 * all other instances are in other zones and would miss the target. */
bool fr_pick_for_latency_target (fr_picker_t *picker, fb_str_t service, uint32_t rank,
                                 fb_time_t latency_target, const fb_name_t *excluded,
                                 size_t excluded_count, fb_name_t *picked);

/* Like fr_pick_for_latency_target, but picks only an alive instance that is not ejected and
 * whose last reported load is below LOAD_LIMIT per 1,000 slots. */
bool fr_pick_below_load (fr_picker_t *picker, fb_str_t service, uint32_t rank,
                         fb_time_t latency_target, uint32_t load_limit,
                         const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* Records the times in ns that an answer reported: SERVICE_TIME at the backend server, 0 when
 * the call did not run there, and EXPECTED_WAIT of the next call of RANK. */
void fr_report_times (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank,
                      fb_time_t service_time, fb_time_t expected_wait);

/* Makes FR_PICK_LOCALITY send each new or returned instance of its zone one call within 1 s, so
 * that its node can report its pace. Off by default. */
void fr_try_new_instances (fr_picker_t *picker);

/* Records the pace that an instance's node reported, FR_PACE_PAR at par. While recent it
 * replaces the time-based weight of the slow start. 0 ends that: the node reports none. */
void fr_report_pace (fr_picker_t *picker, const fb_name_t *instance, uint32_t permille);

/* Returns the median time in ns that a call of RANK takes at the backend servers of SERVICE, of
 * all instances that reported one; 0 when unknown. */
fb_time_t fr_get_expected_service_time (const fr_picker_t *picker, fb_str_t service,
                                        uint32_t rank);

/* Records the rate limit of INCARNATION of an instance in calls per 1,000 s, 0 for none. */
void fr_report_rate_limit (fr_picker_t *picker, const fb_name_t *instance, uint64_t incarnation,
                           uint64_t limit_milli);

/* Returns the rate limit last reported of INCARNATION of an instance, 0 for none. */
uint64_t fr_get_reported_rate_limit (const fr_picker_t *picker, const fb_name_t *instance,
                                     uint64_t incarnation);

/* Like fr_begin_attempt and fr_report_result, for a call of RANK. */
void fr_begin_attempt_for_rank (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank);
void fr_report_result_for_rank (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank,
                                fr_result_t result, fb_time_t latency, uint32_t load);

/* Ejects INSTANCE at least until UNTIL, for example when its node does not answer. */
void fr_eject_until (fr_picker_t *picker, const fb_name_t *instance, fb_time_t until);

/* Return the number of non-ejected and of ejected instances in the subset of SERVICE. */
size_t fr_count_available_instances (const fr_picker_t *picker, fb_str_t service);
size_t fr_count_ejected (const fr_picker_t *picker, fb_str_t service);

/* State of an instance in the picker; borrowed during the visit. */
typedef struct
{
  const fw_member_t *member;
  const char *distance; /* "zone", "region" or "other"; static */
  bool candidate;       /* the next pick chooses among the candidates */
  bool in_subset;       /* this node sends calls to it */
  bool ejected;
  bool evacuated;     /* its zone gets no calls */
  uint32_t in_flight; /* calls of this node, all ranks */
  uint32_t load;      /* per 1,000 slots, as last reported */
  double score;       /* expected cost of another call; lower is better */
} fr_instance_view_t;

typedef void (*fr_instance_visitor_t) (const fr_instance_view_t *preference, void *user);

/* Calls VISIT for each instance of SERVICE, candidates of RANK first, then the rest of the
 * subset, then all others, each by ascending score. Changes no count. */
void fr_visit_instances (const fr_picker_t *picker, fb_str_t service, uint32_t rank,
                         fr_instance_visitor_t visit, void *user);

#endif
