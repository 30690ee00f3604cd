/* State of callers' calls at the entry node, shared by the files of the entry service. */
#ifndef FOXTAILRUN_NODE_ENTRY_H
#define FOXTAILRUN_NODE_ENTRY_H

#include "node-services.h"
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/retry.h>
#include <foxtailrun/call/splitter.h>
#include <foxtailrun/http/server.h>
#include <glib.h>

/* Most attempts of one call, the first included. */
#define FN_ATTEMPTS_MAX 6

/* Attempts beyond the route's retries that refusals by single nodes, such as a draining one,
 * may cause. */
#define FN_RETRY_ELSEWHERE_MAX 3

/* Attempts beyond the route's retries that full queues may cause. */
#define FN_QUEUE_FULL_RETRIES_MAX 1

/* How long callers of a route are ready to wait. */
typedef struct
{
  fb_time_t current_max;  /* in the present period */
  fb_time_t previous_max; /* in the period before */
  fb_time_t period_end;   /* end of the present period */
} fn_route_timeout_t;

struct fn_entry
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  fr_picker_t *picker;
  fr_retry_budget_t *budget;
  fr_throttle_t *throttle;
  fr_splitter_t *splitter;
  GHashTable *waits;    /* fn_route_timeout_t by name of the route */
  GHashTable *attempts; /* fn_entry_call_t by id of the open attempt */
  size_t calls;
  bool closed;      /* takes no more calls */
  uint64_t next_id; /* random start, so that ids of an earlier process do not match */
  fb_counter_t *outcomes[5];
  fb_histogram_t *durations[5]; /* by outcome, from arrival to the answer */
  fb_counter_t *retries;
  fb_counter_t *throttled;
  fb_counter_t *unmatched;
};

/* One call of a caller. */
typedef struct
{
  fn_entry_t *entry;
  fh_request_t *request;
  fc_snapshot_t *snapshot; /* held until the call ends */
  const fc_route_t *route;
  fb_str_t customer;
  fb_str_t ticket;
  char request_id[64];
  fb_time_t start;
  fb_time_t deadline;
  fb_time_t latency_target; /* latency target of the route */
  fb_time_t target_time;    /* until which the answer is in time */
  bool is_caller_retry;     /* the caller was refused before and has come back */
  fk_timer_t *timer;
  uint32_t service; /* index; the part of the route that was drawn */
  uint32_t attempt_count;
  uint32_t queue_full_count;      /* of those, ended by full queues */
  uint32_t retry_elsewhere_count; /* of those, ended by refusals of single nodes */
  bool may_have_run;              /* an attempt reached a node and was not refused */
  bool reached_backend;           /* an attempt reached a backend server, or may have */
  bool parent_is_repeat;          /* made by a run that is a repeat itself */
  fb_name_t tried[FN_ATTEMPTS_MAX];
  uint64_t attempt; /* id of the open attempt, 0 when none */
  fb_time_t attempt_start;
  uint64_t local_handle; /* of an open attempt at this node's own backend server */
  bool is_local;
} fn_entry_call_t;

/* Starts the next attempt of CALL, or ends it when none is possible. */
void fn_start_attempt (fn_entry_call_t *call);

/* Gives up the open attempt of CALL, if any: nobody waits for its answer. */
void fn_abandon_attempt (fn_entry_call_t *call);

/* Answers the caller from ANSWER and frees CALL. */
void fn_finish_entry_call (fn_entry_call_t *call, const fw_call_t *answer);

/* Answers the caller with an outcome made here and frees CALL. */
void fn_finish_with_outcome (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status,
                             const char *reason);

#endif
