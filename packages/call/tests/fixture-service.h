/* A small fake of one service: callers, nodes with the real admission, picker, retries and
 * records, backend servers, and a network that loses, repeats and delays. All faults come from
 * one seed. */
#ifndef FOXTAILRUN_CALL_FIXTURE_SERVICE_H
#define FOXTAILRUN_CALL_FIXTURE_SERVICE_H

#include <stdint.h>

/* What happened in the worlds of a test. */
typedef enum
{
  TOTAL_ANSWERED,
  TOTAL_NOT_RUN,
  TOTAL_UNKNOWN,
  TOTAL_RUNS,
  TOTAL_REPLAYED,   /* recorded answers returned */
  TOTAL_WAITED,     /* uses that waited for a running one */
  TOTAL_UNRECORDED, /* uses of a ticket whose answer was dropped or never came */
  TOTAL_FOREIGN,    /* uses of a ticket of another process */
  TOTAL_CLOSED,     /* uses of a ticket after "not run" */
  TOTAL_LATE,       /* answers to attempts that had ended */
  TOTAL_RETRIED,
  TOTAL_RESTARTED, /* processes */
  TOTAL_COUNT
} world_total_t;

/* Runs one world from SEED and adds to TOTALS, of TOTAL_COUNT; fails the test when an invariant
 * is broken. */
void run_world (uint32_t seed, uint64_t *totals);

#endif
