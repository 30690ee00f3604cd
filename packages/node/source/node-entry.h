/* State of callers' calls at the entry node. */
#ifndef FOXTAILRUN_NODE_ENTRY_H
#define FOXTAILRUN_NODE_ENTRY_H

#include "node-services.h"
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/retry.h>
#include <foxtailrun/call/splitter.h>
#include <foxtailrun/http/server.h>
#include <glib.h>

/* Longest request id of a caller in bytes. That of a call made by a run of another grows with
 * each level; 25 levels fit. */
#define FN_REQUEST_ID_MAX 255

/* Limit of the attempts of one call, the first included. */
#define FN_ATTEMPTS_MAX 6

/* Limit of retries, beyond the route's, after refusals by single nodes, e.g. a draining
 * one. */
#define FN_RETRY_ELSEWHERE_MAX 3

/* Limit of retries, beyond the route's, after refusals because of a full queue. */
#define FN_QUEUE_FULL_RETRIES_MAX 1

/* Longest timeout that callers of a route sent. */
typedef struct
{
  fb_time_t current_max;  /* in the current window */
  fb_time_t previous_max; /* in the previous window */
  fb_time_t window_end;   /* of the current one */
} fn_route_timeout_t;

struct fn_entry
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  fr_picker_t *picker;
  fr_retry_budget_t *budget;
  fr_throttle_t *throttle;
  fr_splitter_t *splitter;
  GHashTable *route_timeouts; /* fn_route_timeout_t by route name */
  GHashTable *attempts;       /* fn_entry_call_t by attempt id */
  size_t open_calls;
  bool closed;      /* new calls are refused */
  uint64_t next_id; /* starts at a random number, so that answers to an earlier process do not
                       match */
  fb_counter_t *outcomes[5];
  fb_histogram_t *durations[5]; /* by outcome, from arrival to answer */
  fb_counter_t *retries;
  fb_counter_t *throttled;
  fb_counter_t *quarantined; /* requests refused on arrival */
  fb_counter_t *unmatched_answers;
};

typedef struct
{
  fn_entry_t *entry;
  fh_request_t *request;
  fc_snapshot_t *snapshot; /* holds a reference */
  const fc_route_t *route;
  fb_str_t customer;
  fb_str_t ticket;
  char request_id[FN_REQUEST_ID_MAX + 1];
  fb_time_t arrived_at;
  fb_time_t deadline;
  fb_time_t latency_target; /* of the route, or of its rank */
  fb_time_t target_time;    /* until which an answer is in time */
  bool is_caller_retry;     /* the caller's timeout suggests that it spent time on earlier
                               requests */
  fk_timer_t *timer;
  uint32_t service_index; /* chosen by the splitter */
  uint32_t attempt_count;
  uint32_t queue_full_count;      /* of those, refused because of a full queue */
  uint32_t retry_elsewhere_count; /* of those, refused by a single node */
  bool may_have_run;              /* an attempt ended with another outcome than FW_NOT_RUN */
  bool reached_backend;           /* an attempt reached a backend server or possibly did */
  uint64_t crash_id;              /* crash that the last attempt was running in; 0 for none */
  bool parent_is_retry;           /* sent by a backend server that runs a repeated call */
  fb_name_t tried_instances[FN_ATTEMPTS_MAX];
  uint64_t attempt_id; /* open attempt, 0 when none */
  fb_time_t attempt_started_at;
  uint64_t local_handle; /* of the open attempt at the backend server on this node's host */
  bool is_local;
} fn_entry_call_t;

/* Refuses CALL if its request is quarantined; returns whether it did, and freed CALL. */
bool fn_refuse_quarantined_call (fn_entry_call_t *call);

/* Records what ANSWER reports of the request: the crash that it was running in, for the next
 * attempt to tell, and its quarantine. */
void fn_read_request_report (fn_entry_call_t *call, const fw_call_t *answer);

/* Longest value of Retry-After, with the final NUL byte. */
#define FN_RETRY_AFTER_LEN 24

/* Writes the time in s after which a caller that gets ANSWER should retry: the rest of the
 * request's quarantine, or a short time. */
void fn_format_retry_after (const fw_call_t *answer, char text[FN_RETRY_AFTER_LEN]);

/* Returns whether ANSWER refuses a call for the limit of a cold backend server. */
bool fn_is_warming_up (const fw_call_t *answer);

/* Starts the next attempt of CALL; if none is possible, answers and frees CALL. */
void fn_start_attempt (fn_entry_call_t *call);

/* Cancels the open attempt of CALL, if any; its answer will be ignored. */
void fn_abandon_attempt (fn_entry_call_t *call);

/* Answers the caller from ANSWER and frees CALL. */
void fn_finish_entry_call (fn_entry_call_t *call, const fw_call_t *answer);

/* Answers the caller with an outcome decided by this node and frees CALL. */
void fn_finish_with_outcome (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status,
                             const char *reason);

#endif
