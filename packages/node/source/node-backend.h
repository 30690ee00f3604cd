/* State of the backend service, shared by its files. */
#ifndef FOXTAILRUN_NODE_BACKEND_H
#define FOXTAILRUN_NODE_BACKEND_H

#include "node-services.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/once.h>
#include <foxtailrun/call/pace.h>
#include <foxtailrun/call/rate-limit.h>
#include <foxtailrun/call/warmup.h>
#include <foxtailrun/http/client.h>
#include <foxtailrun/http/probe.h>
#include <glib.h>

/* Status of a backend server that is not the expected instance; it speaks for another one. */
#define FN_MISDIRECTED_STATUS 421

typedef enum
{
  FN_CALL_WAITING,
  FN_CALL_RUNNING,
  FN_CALL_LOST,  /* its connection ended without a response; not yet known why */
  FN_CALL_JOINED /* waits for the answer to an earlier call with the same ticket */
} fn_call_state_t;

/* A call to the backend server that is not answered yet. */
typedef struct
{
  fn_backend_t *backend;
  uint64_t handle;
  fn_call_state_t state;
  uint8_t *header;
  uint8_t *body;
  fw_call_t call; /* borrows from HEADER and BODY */
  fb_time_t deadline;
  fb_time_t target_time; /* absolute; a later answer misses the latency target */
  fb_time_t arrived_at;
  fb_time_t started_at;
  bool has_ticket;
  fr_ticket_t ticket;
  fb_name_t instance;            /* that the call was sent to */
  uint64_t instance_incarnation; /* of INSTANCE */
  fh_exchange_t *exchange;
  const char *lost_reason; /* why there is no response; static */
  uint64_t crash_id;       /* crash of the backend server that it was running in; 0 for none */
  fb_digest_t key;         /* of the request, once needed */
  bool has_key;
  bool is_suspect;           /* no other suspect may run at the same time */
  fn_answered_fn_t answered; /* NULL once cancelled */
  void *user;
} fn_backend_call_t;

/* State of the health checks, see node-backend-health.c. */
typedef struct fn_health fn_health_t;

struct fn_backend
{
  fk_kernel_t *kernel;
  fr_admission_t *admission;
  fr_rate_limit_t *rate_limit; /* named by the backend server */
  fr_warmup_t *warmup;         /* whether it is cold, and what it may get then */
  fn_health_t *health;         /* the health checks that tell it */
  fr_pace_t *pace;             /* NULL unless enabled */
  fb_counter_t *pace_gauge;    /* slots in force per 1,000; NULL without PACE */
  fr_once_t *once;
  fh_client_t *client;
  fk_timer_t *tick_timer;
  GHashTable *calls; /* fn_backend_call_t by handle */
  uint64_t last_handle;
  fc_snapshot_t *admission_snapshot; /* whose ranks and slots are set in ADMISSION; NULL if
                                        they must be set again */
  fn_local_backend_t local;          /* the backend server as the platform describes it */
  bool said_leaving;      /* LOCAL.INSTANCE said in a response that it is about to stop */
  fb_time_t refuse_until; /* calls are refused until then, after a failed connection */
  bool draining;          /* calls without a ticket are refused */
  bool closed;            /* all calls are refused */
  fh_probe_t *probe;      /* of the backend server, after a lost call; NULL when none */
  fb_counter_t *started;
  fb_counter_t *refused;
  fb_counter_t *recorded_answers_sent;
  fb_counter_t *unknown;
  fb_counter_t *leaving_responses;
  fb_counter_t *unusable_responses; /* ended calls without a response that can be passed on */
  fb_counter_t *crashes;
  fb_counter_t *quarantined;      /* calls refused since their request is quarantined */
  fb_counter_t *evacuated;        /* calls refused since the zone is evacuated */
  fb_counter_t *rate_limit_gauge; /* calls in 1,000 s; 0 without a limit */
  fb_counter_t *invalid_rate_limits;
  fb_histogram_t *wait_times;    /* in the queue, of calls that were started */
  fb_histogram_t *service_times; /* at the backend server */
};

/* Sets the ranks and slots of SNAPSHOT in the admission unless already set. */
void fn_configure_backend_admission (fn_backend_t *backend, fc_snapshot_t *snapshot);

/* Answers and frees a call. */
void fn_answer_backend_call (fn_backend_call_t *backend_call, fw_call_t *answer);

/* Answers a call with OUTCOME, determined by this node. */
void fn_answer_outcome (fn_backend_call_t *backend_call, fw_outcome_t outcome, uint32_t status,
                        const char *reason);

/* Refuses a call for a reason of this instance only, so that it can be retried elsewhere. */
void fn_refuse_for_retry_elsewhere (fn_backend_call_t *backend_call, uint32_t status,
                                    const char *reason);

/* Writes what this node knows of the backend server into ANSWER; its strings borrow from
 * BACKEND. */
void fn_set_answer_report (fn_backend_t *backend, fw_call_t *answer);

/* Takes over the rate limit that the entry node of CALL heard of, until the backend server
 * responds to this node. */
void fn_adopt_reported_limit (fn_backend_t *backend, const fw_call_t *call);

/* Creates the pace of the backend server if the settings enable it, and begins a ramp. */
void fn_start_pace (fn_backend_t *backend);

/* Begins a ramp of the pace because of CAUSE; does nothing unless the pace is enabled. */
void fn_begin_ramp (fn_backend_t *backend, fr_pace_cause_t cause);

/* The backend server is another one: begins a ramp without the service times of the former one.
 */
void fn_begin_ramp_of_other (fn_backend_t *backend);

/* Lets the pace follow a health response, before which the backend server counted as cold or,
 * if not WAS_COLD, as warm. */
void fn_follow_warmup (fn_backend_t *backend, bool was_cold);

/* Records what the entry node of BACKEND_CALL, of RANK, expects. */
void fn_note_expected_service (const fn_backend_call_t *backend_call, uint32_t rank);

/* Records the end of a call of RANK that ran for SERVICE_TIME in ns. Call before its slot is
 * freed.
 */
void fn_record_paced_call (const fn_backend_call_t *backend_call, const fw_call_t *answer,
                           uint32_t rank, fb_time_t service_time);

/* Writes the pace into ANSWER for an entry node that knows the field. */
void fn_set_answer_pace (const fn_backend_call_t *backend_call, fw_call_t *answer);

/* Returns whether the backend server is listed as leaving or said so itself. */
bool fn_is_backend_leaving (const fn_backend_t *backend);

/* node-backend-evacuation.c */

/* Reason for which a call is refused while the zone is evacuated. */
#define FN_EVACUATED_REASON "zone is evacuated"

/* Returns whether the zone of this node is evacuated: no call may reach the backend server. */
bool fn_is_evacuated (const fn_backend_t *backend);

/* Refuses queued calls when the zone of this node is evacuated from now on. */
void fn_watch_own_zone (fn_backend_t *backend);

/* Refuses the queued calls, which may be retried elsewhere. */
void fn_refuse_waiting_calls (fn_backend_t *backend);

/* Begins a use of a call's ticket. Returns false if it was used before or is invalid: the call
 * is then answered, or joined to the one still running. */
bool fn_begin_ticket (fn_backend_call_t *backend_call);

/* Records the outcome of a use begun by fn_begin_ticket; answers the calls that joined it. */
void fn_end_ticket (fn_backend_call_t *backend_call, const fw_call_t *answer);

/* Refuses a call that was not queued. With a ticket the outcome is "not run" only if no
 * earlier use ran; the ticket is recorded as refused so that it never runs later. */
void fn_refuse_backend_call (fn_backend_call_t *backend_call, uint32_t status,
                             const char *reason);

/* Returns whether the backend server reports in RESPONSE that it did not run the request. */
bool fn_reports_not_run (const fn_dialect_t *dialect, const fh_response_t *response);

/* Returns why a complete RESPONSE with the id of its request cannot be passed on, a static
 * text, or NULL if it can. The request may have run. */
const char *fn_find_response_error (const fn_dialect_t *dialect, const fh_response_t *response);

/* Copies the headers of RESPONSE that are not of one connection only; their strings are
 * borrowed. */
void fn_set_answer_headers (fw_call_t *answer, const fh_response_t *response);

/* Records what the backend server says about itself in RESPONSE to BACKEND_CALL. */
void fn_handle_backend_report (const fn_backend_call_t *backend_call,
                               const fh_response_t *response);

/* Ends a running call whose connection ended without a response for REASON, static: answers it
 * once it is known whether the backend server has ended. */
void fn_lose_call (fn_backend_call_t *backend_call, const char *reason);

/* Refuses BACKEND_CALL if its request is quarantined, or a suspect beside another one. Returns
 * whether it did. */
bool fn_refuse_quarantined (fn_backend_call_t *backend_call);

/* Records that BACKEND_CALL has run to its end. */
void fn_note_completion (fn_backend_call_t *backend_call);

/* Cancels a running call and answers it with STATUS and REASON. */
void fn_abort_running_call (fn_backend_call_t *backend_call, uint32_t status,
                            const char *reason);

/* Creates the state of the health checks of BACKEND, which has its warm-up limit. */
fn_health_t *fn_create_health (fn_backend_t *backend);

/* Cancels the open health check, if any, and sends no more. */
void fn_stop_health (fn_health_t *health);

/* Frees HEALTH, which was stopped. */
void fn_destroy_health (fn_health_t *health);

/* Applies what is in force of the configuration and the description of the backend server;
 * sends a health check now if it has become possible or CHECK_NOW. */
void fn_update_health (fn_backend_t *backend, bool check_now);

/* Answers a lost call, and frees it. */
void fn_answer_lost_call (fn_backend_call_t *backend_call);

/* Answers a call that needs a ticket with a new ticket. */
void fn_send_ticket (fn_backend_call_t *backend_call);

#endif
