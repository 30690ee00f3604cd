/* Simulation of one service: callers, nodes with the real admission, picker, retries and
 * records, simulated backend servers, and a network that loses, duplicates and delays messages.
 * All random numbers derive from one seed. */
#ifndef FOXTAILRUN_CALL_FIXTURE_SERVICE_H
#define FOXTAILRUN_CALL_FIXTURE_SERVICE_H

#include <stdint.h>

/* Events counted over the simulations of a test. */
typedef enum
{
  TOTAL_ANSWERED,
  TOTAL_NOT_RUN,
  TOTAL_UNKNOWN,
  TOTAL_RUNS,
  TOTAL_REPLAYED,      /* recorded answers returned */
  TOTAL_JOINED,        /* uses that joined a running one */
  TOTAL_NO_RECORD,     /* uses of a ticket without a recorded answer */
  TOTAL_OTHER_PROCESS, /* uses of a ticket of another process */
  TOTAL_REFUSED,       /* uses of a ticket that was reported as not run */
  TOTAL_LATE,          /* answers to attempts that had ended */
  TOTAL_RETRIED,
  TOTAL_RESTARTED, /* processes */
  TOTAL_COUNT
} simulation_total_t;

/* Runs one simulation with SEED and adds to TOTALS, of TOTAL_COUNT; fails the test when an
 * invariant is violated. */
void run_simulation (uint32_t seed, uint64_t *totals);

#endif
