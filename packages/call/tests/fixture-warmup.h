/* Replay of a return of all instances of a service at once, with the product's admission. */
#ifndef FOXTAILRUN_CALL_FIXTURE_WARMUP_H
#define FOXTAILRUN_CALL_FIXTURE_WARMUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double served; /* fraction of the requests of the last 5 s */
  unsigned ends; /* processes of instances that ended */
} return_result_t;

/* Replays 25 s from the return of all instances, cold, under ordinary load of callers that
 * repeat failed requests. PROTECTED: with the limit of cold instances. */
return_result_t replay_return (uint32_t seed, bool protected);

#endif
