/* Choice of the instance that a call goes to, from what this node observes itself. */
#ifndef FOXTAILRUN_CALL_PICKER_H
#define FOXTAILRUN_CALL_PICKER_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/member/table.h>

/* How an instance is chosen; FR_PICK_LOCALITY is the product's, the others are baselines. */
typedef enum
{
  FR_PICK_LOCALITY,
  FR_PICK_TWO_CHOICES,
  FR_PICK_LEAST_IN_FLIGHT,
  FR_PICK_ROUND_ROBIN,
  FR_PICK_RENDEZVOUS
} fr_pick_policy_t;

/* What an attempt showed about an instance. */
typedef enum
{
  FR_RESULT_ANSWERED,    /* answered */
  FR_RESULT_REFUSED,     /* refused by admission; not a fault of the instance */
  FR_RESULT_UNREACHABLE, /* takes no calls at all: left aside for a short time */
  FR_RESULT_FAILED,      /* error, cut answer, silence */
  FR_RESULT_CANCELLED    /* cancelled; says nothing */
} fr_result_t;

typedef struct fr_picker fr_picker_t;

/* Creates a picker for a node with name SELF in ZONE; CLOCK is borrowed, SEED starts the random
 * numbers. */
fr_picker_t *fr_create_picker (fr_pick_policy_t policy, const fb_name_t *self,
                               const fb_name_t *zone, uint32_t seed, const fb_clock_t *clock);

/* Frees the picker; NULL is allowed. */
void fr_destroy_picker (fr_picker_t *picker);

/* Takes one member's current description: adds, updates or, when it is leaving or dead, removes
 * the instance. Call it from the membership's changed hook, and for this node itself. */
void fr_update_instance (fr_picker_t *picker, const fw_member_t *member);

/* Picks an instance of SERVICE, leaving out the EXCLUDED_COUNT names in EXCLUDED, and counts a
 * call in flight on it. Returns false when none is left. */
bool fr_pick_backend (fr_picker_t *picker, fb_str_t service, fb_str_t key,
                      const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* Counts a call in flight on an instance that was not picked, such as the owner of a ticket. */
void fr_begin_attempt (fr_picker_t *picker, const fb_name_t *instance);

/* Ends a call in flight: RESULT, LATENCY in ns and LOAD per 1,000 slots as the answer carried
 * it. */
void fr_report_result (fr_picker_t *picker, const fb_name_t *instance, fr_result_t result,
                       fb_time_t latency, uint32_t load);

/* The same for a call of RANK, 0 being the most urgent. Calls in flight and latency are kept by
 * rank, because the calls of a less urgent rank that wait at an instance say nothing about the
 * wait of a more urgent one. The functions above stand for rank 0. */
bool fr_pick_ranked (fr_picker_t *picker, fb_str_t service, uint32_t rank, fb_str_t key,
                     const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* The same for a call with latency TARGET in ns, of which a detour to another zone may cost a
 * part. Returns false, too, when instances were left out and all others would answer late from
 * another zone. */
bool fr_pick_target (fr_picker_t *picker, fb_str_t service, uint32_t rank, fb_time_t target,
                     const fb_name_t *excluded, size_t excluded_count, fb_name_t *picked);

/* Takes from an answer the time SERVICE at the backend server, 0 when it did not run there, and
 * the WAIT that a further call of RANK may expect, both in ns. */
void fr_report_times (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank,
                      fb_time_t service, fb_time_t wait);
void fr_begin_ranked (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank);
void fr_report_ranked (fr_picker_t *picker, const fb_name_t *instance, uint32_t rank,
                       fr_result_t result, fb_time_t latency, uint32_t load);

/* Leaves INSTANCE aside until TIME, such as one whose node is silent. */
void fr_avoid_until (fr_picker_t *picker, const fb_name_t *instance, fb_time_t time);

/* Returns the number of instances of SERVICE that may be picked, and of those ejected. */
size_t fr_count_instances (const fr_picker_t *picker, fb_str_t service);
size_t fr_count_ejected (const fr_picker_t *picker, fb_str_t service);

/* How the picker sees an instance; borrowed during the visit. */
typedef struct
{
  const fw_member_t *member;
  const char *distance; /* "zone", "region" or "other"; static */
  bool candidate;       /* the next pick is among the candidates */
  bool in_subset;       /* this node sends to it at all */
  bool ejected;
  uint32_t in_flight; /* calls of this node */
  uint32_t load;      /* per 1,000 slots, as last reported */
  double score;       /* expected cost of one more call; the lower is better */
} fr_preference_t;

typedef void (*fr_preference_fn_t) (const fr_preference_t *preference, void *user);

/* Calls VISIT for each instance of SERVICE, the candidates for a call of RANK first and the
 * better ones earlier. Picks nothing and changes no count. */
void fr_visit_instances (const fr_picker_t *picker, fb_str_t service, uint32_t rank,
                         fr_preference_fn_t visit, void *user);

#endif
