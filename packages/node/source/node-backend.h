/* State of calls at the node beside the backend server, shared by the files of the backend
 * service. */
#ifndef FOXTAILRUN_NODE_BACKEND_H
#define FOXTAILRUN_NODE_BACKEND_H

#include "node-services.h"
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/once.h>
#include <foxtailrun/http/client.h>
#include <glib.h>

typedef enum
{
  FN_CALL_WAITING,
  FN_CALL_RUNNING,
  FN_CALL_JOINED /* waits for the answer of a running call with the same ticket */
} fn_call_state_t;

/* One call at the node beside the backend server. */
typedef struct
{
  fn_backend_t *backend; /* owner */
  uint64_t handle;
  fn_call_state_t state;
  uint8_t *header;
  uint8_t *body;
  fw_call_t call; /* refers to HEADER and BODY */
  fb_time_t deadline;
  fb_time_t target_time; /* until which the answer is in time */
  fb_time_t arrived_at;
  fb_time_t started_at;
  bool has_ticket;
  fr_ticket_t ticket;
  fh_exchange_t *exchange;
  fn_answered_fn_t answered; /* NULL once cancelled */
  void *user;
} fn_backend_call_t;

struct fn_backend
{
  fk_kernel_t *kernel;
  fr_admission_t *admission;
  fr_once_t *once;
  fh_client_t *client;
  fk_timer_t *tick;
  GHashTable *calls; /* fn_backend_call_t by handle */
  uint64_t last_handle;
  fc_snapshot_t *rules; /* whose ranks and slots admission has; NULL when they are to be set */
  fn_local_backend_t local; /* the backend server as the platform describes it */
  fb_time_t avoid_until;    /* no connection was had; calls are refused until then */
  bool draining;
  bool closed;
  fb_counter_t *started;
  fb_counter_t *refused;
  fb_counter_t *replayed;
  fb_counter_t *unknown;
  fb_histogram_t *waits;    /* for a slot, of calls that got one */
  fb_histogram_t *services; /* at the backend server */
};

/* Answers a call and forgets it. */
void fn_answer_backend_call (fn_backend_call_t *served, fw_call_t *answer);

/* Answers a call with an outcome made here. */
void fn_answer_outcome (fn_backend_call_t *served, fw_outcome_t outcome, uint32_t status,
                        const char *reason);

/* Refuses a call for a reason that other instances need not share. */
void fn_refuse_for_retry_elsewhere (fn_backend_call_t *served, uint32_t status,
                                    const char *reason);

/* Begins the use of a call's ticket; returns false when the call was answered, or joined to a
 * running one, from what is known of the ticket. */
bool fn_begin_ticket (fn_backend_call_t *served);

/* Records the end of the use that fn_begin_ticket began and answers the calls that joined it.
 */
void fn_end_ticket (fn_backend_call_t *served, const fw_call_t *answer);

/* Refuses a call that was not taken. With a ticket, "not run" is told only when no earlier use
 * ran, and the ticket never runs later. */
void fn_refuse_backend_call (fn_backend_call_t *served, uint32_t status, const char *reason);

/* Answers a call that needs a ticket with a new one. */
void fn_send_ticket (fn_backend_call_t *served);

#endif
