/* Open-loop load generator for entry nodes: kinds of calls, the run and its report. */
#ifndef FOXTAILRUN_COMMAND_LOAD_H
#define FOXTAILRUN_COMMAND_LOAD_H

#include "admin-client.h"
#include <foxtailrun/base/clock.h>
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#define LOAD_KINDS_MAX 16
#define LOAD_ENTRIES_MAX 64
#define LOAD_WEIGHT_MAX 1000

/* Limits of a run: 8 bytes for the latency of each answered call, less than 50 MB at the
 * largest rate and duration. */
#define LOAD_RATE_PER_S_MAX 10000
#define LOAD_DURATION_S_MAX 600
#define LOAD_TIMEOUT_MS_MAX 60000

/* Each call in flight uses a connection; the usual limit of open descriptors is 1,024. */
#define LOAD_IN_FLIGHT_MAX 900

typedef enum
{
  LOAD_ANSWERED,
  LOAD_NOT_RUN,         /* refused before it ran */
  LOAD_UNKNOWN,         /* may have run */
  LOAD_FAILED,          /* a response with a server error */
  LOAD_TRANSPORT_ERROR, /* no connection, or no complete response before the timeout */
  LOAD_NOT_STARTED,     /* in_flight_max calls in flight when due */
  LOAD_OUTCOME_COUNT
} load_outcome_t;

/* A kind of call and its results. */
typedef struct
{
  char *method;
  char *path;
  fb_name_t customer;      /* empty for none */
  uint32_t weight;         /* relative to the other kinds */
  bool ticket;             /* a call answered with 428 is repeated with its ticket */
  uint64_t offered;        /* calls due; the sum of OUTCOMES after the run */
  uint64_t ticket_repeats; /* calls repeated with a ticket */
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  GArray *latencies; /* fb_time_t of each answered call, from the time it was due */
} load_kind_t;

typedef struct
{
  fx_socket_address_t entries[LOAD_ENTRIES_MAX]; /* caller addresses, used in rotation */
  size_t entry_count;
  load_kind_t kinds[LOAD_KINDS_MAX];
  size_t kind_count;
  uint32_t rate;           /* calls/s */
  uint32_t duration_s;     /* in which calls are offered; the last responses arrive later */
  uint32_t in_flight_max;  /* calls */
  uint32_t timeout_ms;     /* for connecting and for each read */
  uint32_t seed;           /* of the random choice of kinds */
  uint32_t in_flight_peak; /* result: most calls in flight */
  fb_time_t elapsed;       /* result: from the first due time to the last outcome */
} load_plan_t;

/* Parses "METHOD PATH [customer=NAME] [weight=N] [ticket]" into KIND, cleared by
 * load_clear_kind on errors too. Returns NULL, or a static text of what is allowed. */
const char *load_parse_kind (const char *text, load_kind_t *kind);

/* Frees what KIND owns. */
void load_clear_kind (load_kind_t *kind);

/* Returns a kind of PLAN at random, in proportion to the weights. */
load_kind_t *load_draw_kind (load_plan_t *plan, GRand *random);

/* Returns the outcome of a call with RESPONSE. */
load_outcome_t load_classify_response (const fh_response_t *response);

/* Offers the calls of PLAN when due, waits for all and stores the results in PLAN. */
void load_run (load_plan_t *plan);

/* Returns the smallest of the sorted LATENCIES not exceeded by at least FRACTION (0 to 1) of
 * them, 0 for none. */
fb_time_t load_find_percentile (const GArray *latencies, double fraction);

/* Writes the results of PLAN as a table; sorts the latencies. */
void load_print_report (load_plan_t *plan, FILE *out);

/* Returns the results of PLAN as a new JSON object; sorts the latencies. */
json_t *load_pack_report (load_plan_t *plan);

#endif
