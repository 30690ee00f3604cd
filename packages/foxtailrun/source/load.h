/* Open-loop load on entry nodes: kinds of calls, the run and its report. */
#ifndef FOXTAILRUN_COMMAND_LOAD_H
#define FOXTAILRUN_COMMAND_LOAD_H

#include "fleet.h"
#include <foxtailrun/base/clock.h>
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#define LOAD_KINDS_MAX 16
#define LOAD_ENTRIES_MAX 64
#define LOAD_WEIGHT_MAX 1000

/* Bounds of a run. The latencies of all calls are kept, 8 bytes each, so that rate and duration
 * together stay under 50 MB. */
#define LOAD_RATE_MAX 10000    /* calls/s */
#define LOAD_DURATION_MAX 600  /* s */
#define LOAD_TIMEOUT_MAX 60000 /* ms */

/* Each call in flight holds a connection; the usual limit on descriptors is 1,024. */
#define LOAD_IN_FLIGHT_MAX 900

/* How a call ended. */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_NOT_RUN,     /* refused, and not run */
  LOAD_UNKNOWN,     /* may have run */
  LOAD_FAILED,      /* answered with an error of the server */
  LOAD_TRANSPORT,   /* no connection, or no whole response in time */
  LOAD_NOT_STARTED, /* too many calls were in flight when it was due */
  LOAD_ENDS
} load_end_t;

/* One kind of call and what became of its calls. */
typedef struct
{
  char *method;
  char *path;
  fb_name_t customer; /* empty for none */
  uint32_t weight;    /* part among the kinds */
  bool ticket;        /* a 428 is repeated with the ticket it carries */
  uint64_t offered;   /* calls due; the sum of ENDS once the run is over */
  uint64_t repeats;   /* calls repeated with a ticket */
  uint64_t ends[LOAD_ENDS];
  GArray *latencies; /* fb_time_t of the answered calls, from the time they were due */
} load_kind_t;

typedef struct
{
  fx_target_t entries[LOAD_ENTRIES_MAX]; /* used in turn */
  size_t entry_count;
  load_kind_t kinds[LOAD_KINDS_MAX];
  size_t kind_count;
  uint32_t rate;          /* calls/s */
  uint32_t duration_s;    /* of the offered calls; the last answers come later */
  uint32_t in_flight_max; /* calls */
  uint32_t timeout_ms;    /* for connecting and for each wait for data */
  uint32_t seed;          /* of the choice of kinds */
  uint32_t in_flight_top; /* most calls that were in flight at once */
  fb_time_t elapsed;      /* from the first call due to the last end */
} load_plan_t;

/* Parses "METHOD PATH [customer=NAME] [weight=N] [ticket]" into KIND, to be cleared by
 * load_clear_kind in any case. Returns NULL, or a static text that says what is allowed. */
const char *load_parse_kind (const char *text, load_kind_t *kind);

/* Frees what KIND owns. */
void load_clear_kind (load_kind_t *kind);

/* Draws one of the kinds of PLAN by their weights. */
load_kind_t *load_draw_kind (load_plan_t *plan, GRand *random);

/* Returns how a call with RESPONSE ended. */
load_end_t load_judge_response (const fh_response_t *response);

/* Offers the calls of PLAN at their times and waits for those in flight; stores the figures in
 * PLAN. */
void load_run (load_plan_t *plan);

/* Returns the value below or at which PART (0 to 1) of the sorted LATENCIES are, 0 when there
 * are none. */
fb_time_t load_find_percentile (const GArray *latencies, double part);

/* Writes the figures of PLAN as a table; sorts the latencies. */
void load_print_report (load_plan_t *plan, FILE *out);

/* Returns the figures of PLAN as a new object; sorts the latencies. */
json_t *load_describe_report (load_plan_t *plan);

#endif
