/* Urgency of a call that a backend server makes while it runs another one. */
#ifndef FOXTAILRUN_CALL_NESTED_H
#define FOXTAILRUN_CALL_NESTED_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t rank;         /* index; 0 is the most urgent */
  fb_time_t target_time; /* absolute time until which an answer counts as in time */
  bool goes_first;       /* queued before the other calls of its customer and rank, and not
                            refused for its target time once it waits */
} fr_urgency_t;

/* The call that the backend server runs. */
typedef struct
{
  uint32_t rank;
  uint32_t timeout_ms; /* of its route */
  uint32_t target_ms;  /* latency target of its route, at least 1 */
} fr_parent_t;

/* Returns whether a route with TIMEOUT_MS and TARGET_MS, at least 1, has so much time after its
 * latency target that late answers are of use. */
bool fr_accepts_late_answers (uint32_t timeout_ms, uint32_t target_ms);

/* Returns the urgency of a nested call whose own is OWN and which ends at DEADLINE (absolute).
 * A parent whose answer is of no use after its target leaves OWN unchanged. */
fr_urgency_t fr_inherit_urgency (const fr_urgency_t *own, fb_time_t deadline,
                                 const fr_parent_t *parent);

#endif
