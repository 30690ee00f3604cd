/* A small fake of one service: callers, nodes with the real admission, picker, retries and
 * records, backend servers, and a network that loses, repeats and delays. All faults come from
 * one seed. */
#ifndef FOXTAILRUN_CALL_FIXTURE_SERVICE_H
#define FOXTAILRUN_CALL_FIXTURE_SERVICE_H

#include <stdint.h>

/* How often the interesting things happened; summed up over the worlds of a test. */
typedef struct
{
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t runs;
  uint64_t replayed;   /* recorded answers returned */
  uint64_t waited;     /* uses that waited for a running one */
  uint64_t unrecorded; /* uses of a ticket whose answer was gone */
  uint64_t foreign;    /* uses of a ticket of another process */
  uint64_t closed;     /* uses of a ticket after "not run" */
  uint64_t late;       /* answers to attempts that had ended */
  uint64_t retried;
  uint64_t restarted; /* processes */
} world_totals_t;

/* Runs one world from SEED and adds to TOTALS; fails the test when an invariant is broken. */
void run_world (uint32_t seed, world_totals_t *totals);

#endif
