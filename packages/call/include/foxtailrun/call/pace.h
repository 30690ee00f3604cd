/* Pace (slow start) of an instance that has started or recovered: a limit on the calls that run
 * at once, which follows the instance's responses up to all slots. */
#ifndef FOXTAILRUN_CALL_PACE_H
#define FOXTAILRUN_CALL_PACE_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>

/* Pace of an instance that is at par, per 1,000 slots. */
#define FR_PACE_PAR 1000

/* How the limit follows the responses. Nodes use FR_PACE_DEFAULT; the others are baselines for
 * comparison. */
typedef enum
{
  FR_PACE_AIMD,     /* additive increase, multiplicative decrease */
  FR_PACE_GRADIENT, /* in proportion to expected over measured service time */
  FR_PACE_SHARE,    /* growing to the share of a median instance that the speed allows */
  FR_PACE_TIMED     /* linear over a given time, whatever the responses */
} fr_pace_law_t;

#define FR_PACE_DEFAULT FR_PACE_AIMD

/* Why a ramp begins. */
typedef enum
{
  FR_PACE_STARTED,      /* this process has started */
  FR_PACE_NEW_INSTANCE, /* another instance or incarnation */
  FR_PACE_CONNECTION,   /* a connection to the instance failed */
  FR_PACE_FAILURES,     /* a run of failed calls */
  FR_PACE_EVACUATION,   /* an evacuation of the zone has ended */
  FR_PACE_COLD          /* the instance has become cold without a restart */
} fr_pace_cause_t;

typedef struct
{
  /* A ramp began because of CAUSE. */
  void (*begun) (fr_pace_cause_t cause, void *user);
  /* The instance is at par, DURATION in ns after the begin. CAUSE is that of the begin. */
  void (*ended) (fr_pace_cause_t cause, fb_time_t duration, void *user);
  void *user;
} fr_pace_hooks_t;

/* Hooks must not call functions of the pace that change it. */

typedef struct fr_pace fr_pace_t;

/* Creates a pace at par for 1 slot; CLOCK is borrowed, HOOKS, which may be NULL, copied.
 * RAMP_TIME in ns is used by FR_PACE_TIMED only. */
fr_pace_t *fr_create_pace (fr_pace_law_t law, fb_time_t ramp_time, const fb_clock_t *clock,
                           const fr_pace_hooks_t *hooks);

/* Frees PACE; NULL is allowed. */
void fr_destroy_pace (fr_pace_t *pace);

/* Sets the number of all slots, at least 1. */
void fr_set_pace_slots (fr_pace_t *pace, uint32_t slots);

/* Begins a ramp, or begins the current one again. */
void fr_begin_ramp (fr_pace_t *pace, fr_pace_cause_t cause);

/* Ends the ramp, unless it began because of failures: the instance says that it is warm. */
void fr_note_warm (fr_pace_t *pace);

/* Forgets the service times measured so far: another server runs the calls. */
void fr_forget_service_times (fr_pace_t *pace);

/* Records the service time in ns that an entry node expects of calls of RANK; 0 is ignored. */
void fr_note_expected_service (fr_pace_t *pace, uint32_t rank, fb_time_t service_time);

/* Records the end of a call of RANK that ran for SERVICE_TIME in ns. Call before the call's
 * slot is freed, so that the new limit applies. */
void fr_record_paced_call (fr_pace_t *pace, uint32_t rank, fb_time_t service_time, bool failed);

/* Returns how many calls may run at once: at least 1, at most all slots. */
uint32_t fr_get_pace_limit (const fr_pace_t *pace);

/* Returns the limit per 1,000 slots, 1 to FR_PACE_PAR. */
uint32_t fr_get_pace_permille (const fr_pace_t *pace);

/* Returns whether a ramp has begun and not ended. */
bool fr_is_ramping (const fr_pace_t *pace);

/* Returns the name of CAUSE, such as "connection". */
const char *fr_describe_pace_cause (fr_pace_cause_t cause);

#endif
