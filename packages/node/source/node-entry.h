/* State of callers' calls at the entry node. */
#ifndef FOXTAILRUN_NODE_ENTRY_H
#define FOXTAILRUN_NODE_ENTRY_H

#include "node-services.h"
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/call/hedge.h>
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
  fr_hedge_t *hedge;
  GHashTable *attempts; /* fn_attempt_t by its id */
  size_t open_calls;
  bool closed;      /* new calls are refused */
  uint64_t next_id; /* starts at a random number, so that answers to an earlier process do not
                       match */
  fb_counter_t *outcomes[5];
  fb_histogram_t *durations[5]; /* by outcome, from arrival to answer */
  fb_counter_t *retries;
  fb_counter_t *hedges_won;     /* whose answer the caller got */
  fb_counter_t *hedges_lost;    /* cancelled or failed */
  fb_counter_t *hedges_refused; /* not run */
  fb_counter_t *throttled;
  fb_counter_t *quarantined; /* requests refused on arrival */
  fb_counter_t *unmatched_answers;
};

/* Open attempts of one call: one that is slow, and its hedge. */
#define FN_OPEN_ATTEMPTS_MAX 2

typedef struct fn_entry_call fn_entry_call_t;

/* An attempt of a call at an instance. */
typedef struct
{
  fn_entry_call_t *call;
  uint64_t id; /* 0 when not open */
  fb_name_t instance;
  fb_time_t started_at;
  uint64_t local_handle; /* at the backend server on this node's host */
  bool is_local;
  bool is_hedge;
} fn_attempt_t;

struct fn_entry_call
{
  fn_entry_t *entry;
  fh_request_t *request;
  fc_snapshot_t *snapshot; /* holds a reference */
  const fc_route_t *route;
  uint32_t rank; /* index; that of the route, or a more urgent one of the parent call */
  fb_str_t customer;
  fb_str_t ticket;
  char request_id[FN_REQUEST_ID_MAX + 1];
  fb_time_t arrived_at;
  fb_time_t deadline;
  fb_time_t latency_target; /* of the route, or of its rank */
  fb_time_t target_time;    /* until which an answer is in time */
  bool is_caller_retry;     /* the caller's timeout suggests that it spent time on earlier
                               requests */
  bool goes_first;    /* queued before others of its rank: a caller retry or a nested call */
  fk_timer_t *timer;  /* for the deadline, or for an earlier HEDGE_AT */
  fb_time_t hedge_at; /* when to hedge the open attempt; 0 for never */
  uint32_t service_index; /* chosen by the splitter */
  uint32_t attempt_count;
  uint32_t queue_full_count;      /* of those, refused because of a full queue */
  uint32_t retry_elsewhere_count; /* of those, refused by a single node */
  bool may_have_run;              /* an attempt ended with another outcome than FW_NOT_RUN */
  bool reached_backend;           /* an attempt reached a backend server or possibly did */
  uint64_t crash_id;              /* crash that the last attempt was running in; 0 for none */
  bool is_nested;                 /* made by the backend server while it runs another call */
  bool parent_is_retry;           /* sent by a backend server that runs a repeated call */
  fb_name_t tried_instances[FN_ATTEMPTS_MAX];
  fn_attempt_t open_attempts[FN_OPEN_ATTEMPTS_MAX];
  fn_attempt_t last_attempt; /* the last one started, or the one whose answer is delivered */
  bool hedged;
  bool hedge_refused; /* the hedge was not run */
  bool hedge_won;
  GByteArray *held_answer; /* packed, of an attempt that ended while the other one is open; NULL
                              for none */
  fn_attempt_t held_attempt; /* that HELD_ANSWER is of */
};

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

/* Sends an attempt of CALL, picked before, to NODE. CALL may be freed afterwards. */
void fn_send_attempt (fn_entry_call_t *call, const fw_member_t *node, bool is_hedge);

/* Records INSTANCE as one that CALL has an attempt at. */
void fn_add_tried_instance (fn_entry_call_t *call, const fb_name_t *instance);

/* Returns whether CALL may run at another instance under the route's limit of retries. */
bool fn_has_attempt_left (const fn_entry_call_t *call);

/* Returns an open attempt of CALL, or NULL. */
fn_attempt_t *fn_find_open_attempt (fn_entry_call_t *call);

/* Cancels ATTEMPT; its answer will be ignored. MIN_DURATION is a lower limit in ns of what it
 * would have taken, 0 when unknown. */
void fn_cancel_attempt (fn_attempt_t *attempt, fb_time_t min_duration);

/* Cancels the open attempts of CALL, if any; their answers will be ignored. */
void fn_abandon_attempts (fn_entry_call_t *call);

/* Returns the name of the service that runs CALL. */
fb_str_t fn_get_call_service (const fn_entry_call_t *call);

/* Returns whether ANSWER is an error that may not occur on another backend server. */
bool fn_is_server_failure (const fw_call_t *answer);

/* Creates the state for hedges of ENTRY; free it by fr_destroy_hedge. */
void fn_create_entry_hedge (fn_entry_t *entry);

/* Sets the timer of CALL, whose next attempt starts now, to hedge it if it is slow. */
void fn_plan_hedge (fn_entry_call_t *call);

/* Handles the timer of CALL when HEDGE_AT is set: starts the hedge unless something forbids it,
 * and sets the timer to the deadline. CALL may be freed afterwards. */
void fn_handle_hedge_time (fn_entry_call_t *call);

/* Records what the end of ATTEMPT with ANSWER says of the service's speed and load. */
void fn_record_attempt_end (const fn_attempt_t *attempt, const fw_call_t *answer);

/* Returns the answer that decides on a hedged CALL of which ATTEMPT has ended with ANSWER:
 * ANSWER, or the earlier one, written to HELD. The other attempt is cancelled if it is not
 * needed. Returns NULL when the other attempt is awaited; ANSWER is kept for then. */
const fw_call_t *fn_judge_hedged_answer (fn_entry_call_t *call, const fn_attempt_t *attempt,
                                         const fw_call_t *answer, fw_call_t *held);

/* Drops the answer that is held for CALL, if any. */
void fn_drop_held_answer (fn_entry_call_t *call);

/* Answers CALL, whose deadline has passed, with a held response and frees it; false when there
 * is none. */
bool fn_finish_with_held_answer (fn_entry_call_t *call);

/* Counts how the hedge of CALL ended, if it has one. Call once, when CALL ends. */
void fn_count_hedge_end (const fn_entry_call_t *call);

/* Ends a call at its deadline, or handles its earlier hedge time. */
void fn_handle_call_timer (void *user);

/* Answers the caller from ANSWER and frees CALL. */
void fn_finish_entry_call (fn_entry_call_t *call, const fw_call_t *answer);

/* Answers the caller with an outcome decided by this node and frees CALL. */
void fn_finish_with_outcome (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status,
                             const char *reason);

#endif
