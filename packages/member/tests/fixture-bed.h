/* One membership table on a manual clock that records what it sends. */
#ifndef FIXTURE_BED_H
#define FIXTURE_BED_H

#include "member-table.h"

/* Numbers of peers are below this. */
#define PEERS_MAX 64

typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fm_table_t *table;
  GArray *sent;           /* fw_datagram_t */
  GArray *ports;          /* uint16_t, of the same datagrams */
  unsigned diverged;      /* calls of that hook */
  unsigned told_to_leave; /* calls of that hook */
} bed_t;

/* Describes peer NUMBER, which listens on port NUMBER. */
fw_member_t bed_make_member (unsigned number, uint64_t incarnation, fw_member_state_t state);

/* Opens a table of peer 99 (zone-a, west) that knows PEERS peers, all alive@5. */
void bed_open (bed_t *bed, unsigned peers);

/* Frees what bed_open made. */
void bed_close (bed_t *bed);

/* Ticks every 100 ms for DURATION ns. */
void bed_run (bed_t *bed, fb_time_t duration);

/* Hands DATAGRAM to the table and returns its answer. */
fb_status_t bed_deliver (bed_t *bed, const fw_datagram_t *datagram);

/* Delivers UPDATE in a datagram from peer 1. */
void bed_deliver_update (bed_t *bed, fw_datagram_kind_t kind, fw_member_t update);

/* Returns the last datagram sent. */
const fw_datagram_t *bed_get_last (const bed_t *bed);

/* Returns a datagram sent, from 0. */
const fw_datagram_t *bed_get_sent (const bed_t *bed, guint index);

/* Lets time pass while every member but the one called SILENT, which may be NULL, answers
 * pings. */
void bed_run_answered (bed_t *bed, fb_time_t duration, const char *silent);

/* Returns whether DATAGRAM carries the id and state of MEMBER. */
bool bed_is_told (const fw_datagram_t *datagram, const fw_member_t *member);

/* Counts the datagrams of KIND sent. */
guint bed_count_sent (const bed_t *bed, fw_datagram_kind_t kind);

#endif
