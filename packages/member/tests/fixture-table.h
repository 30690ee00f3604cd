/* One membership table on a manual clock, with a record of sent datagrams. */
#ifndef FIXTURE_TABLE_H
#define FIXTURE_TABLE_H

#include "member-table.h"

/* Upper bound of peer numbers, exclusive. */
#define PEERS_MAX 64

typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fm_table_t *table;
  GArray *sent;  /* fw_datagram_t */
  GArray *ports; /* uint16_t, the destination ports of the same datagrams */
  unsigned divergences;
  unsigned leave_requests;
} fixture_t;

/* Describes peer NUMBER, which listens on port NUMBER. */
fw_member_t fixture_make_member (unsigned number, uint64_t incarnation,
                                 fw_member_state_t state);

/* Creates the table of peer 99 (zone-a, west), which knows PEERS alive peers, all with
 * incarnation 5. */
void fixture_open (fixture_t *fixture, unsigned peers);

void fixture_close (fixture_t *fixture);

/* Ticks every 100 ms for DURATION ns. */
void fixture_run (fixture_t *fixture, fb_time_t duration);

/* Passes DATAGRAM to the table and returns the result. */
fb_status_t fixture_deliver (fixture_t *fixture, const fw_datagram_t *datagram);

/* Delivers UPDATE in a datagram from peer 1. */
void fixture_deliver_update (fixture_t *fixture, fw_datagram_kind_t kind, fw_member_t update);

const fw_datagram_t *fixture_get_last_sent (const fixture_t *fixture);

/* Returns the sent datagram at INDEX, counted from 0. */
const fw_datagram_t *fixture_get_sent (const fixture_t *fixture, guint index);

/* Runs for DURATION ns while all members but SILENT, which may be NULL, answer pings. */
void fixture_run_answering (fixture_t *fixture, fb_time_t duration, const char *silent);

/* Returns whether DATAGRAM carries the id and state of MEMBER. */
bool fixture_carries_member (const fw_datagram_t *datagram, const fw_member_t *member);

guint fixture_count_sent (const fixture_t *fixture, fw_datagram_kind_t kind);

#endif
