/* State of the simulated service, shared by its files. */
#ifndef FOXTAILRUN_CALL_FIXTURE_SIMULATION_H
#define FOXTAILRUN_CALL_FIXTURE_SIMULATION_H

#include "fixture-service.h"
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/once.h>
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/retry.h>
#include <glib.h>

#define NODES 4
#define REQUESTS 120
#define RANKS 3
#define CALLER_ATTEMPTS_MAX 6
#define TEXT_MAX 160

typedef enum
{
  EVENT_REQUEST, /* a caller sends or repeats its request to an entry node */
  EVENT_CALLER_TIMEOUT,
  EVENT_CALL,    /* entry node to target */
  EVENT_CANCEL,  /* entry node to target */
  EVENT_ANSWER,  /* target to entry node */
  EVENT_TIMEOUT, /* of an attempt at the entry node */
  EVENT_FINISH,
  EVENT_MEMBER_UPDATE, /* the membership of a node reports the state of another */
  EVENT_KILL,
  EVENT_START,
  EVENT_FAULT,
  EVENT_TICK
} event_kind_t;

/* An event with its message. A start_id identifies one process of a node; 0 in a node that
 * is down and in an event for any process. */
typedef struct
{
  fb_time_t time;
  uint64_t order;
  event_kind_t kind;
  uint32_t node;
  uint64_t start_id; /* of the process that handles it */
  uint32_t entry;
  uint64_t entry_start_id;
  uint64_t attempt; /* attempt id; for EVENT_FINISH the id of the backend call */
  uint32_t request;
  uint32_t number; /* EVENT_CALLER_TIMEOUT: caller_attempt as in entry_call_t;
                      EVENT_MEMBER_UPDATE: index of the node whose state it reports */
  fw_member_state_t state;
  fw_outcome_t outcome;
  fb_time_t remaining;
  uint32_t load;
  char ticket[TEXT_MAX];
  char body[TEXT_MAX];
} event_t;

typedef struct
{
  uint32_t index;
  uint32_t rank;
  bool repeatable;
  uint32_t ended_attempts; /* attempts of the caller */
  bool done;
  fw_outcome_t outcome;
  char ticket[TEXT_MAX];
} request_t;

/* One attempt of a caller at the entry node, which may send it to several targets in turn. */
typedef struct
{
  uint64_t attempt_id; /* of the current attempt to reach a target */
  uint32_t request;
  uint32_t caller_attempt; /* index of the caller's attempt, from 0 */
  uint32_t target_count;
  bool may_have_run;
  bool has_ticket;
  char ticket[TEXT_MAX];
  fb_name_t targets[CALLER_ATTEMPTS_MAX]; /* including the current one */
  uint32_t target;
  fb_time_t sent_at;
  fb_time_t deadline;
} entry_call_t;

typedef struct
{
  uint64_t id;
  struct node *node;
  event_t call;
  bool has_ticket;
  fr_ticket_t ticket;
  GPtrArray *waiters; /* event_t of the calls that wait for the answer */
  bool started;
  bool failed;
} backend_call_t;

typedef struct node
{
  struct simulation *simulation;
  uint32_t index;
  fb_name_t id;
  uint64_t start_id;
  fb_time_t started_at;
  fb_time_t paused_until;
  bool draining;
  uint32_t slots;
  uint32_t running;
  fr_admission_t *admission;
  fr_once_t *once;
  fr_picker_t *picker;
  fr_retry_budget_t *budget;
  fr_throttle_t *throttle;
  GHashTable *entry_calls;   /* attempt_id -> entry_call_t */
  GHashTable *backend_calls; /* id -> backend_call_t */
  GHashTable *seen_attempts; /* ids of attempts without a ticket that arrived; the real
                                transport drops duplicates itself */
} node_t;

typedef struct simulation
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  GRand *random;
  GSequence *events;
  uint64_t next_order;
  uint64_t last_id;
  node_t nodes[NODES];
  request_t requests[REQUESTS];
  GHashTable *runs;    /* ticket, or attempt id as text -> number of runs */
  GHashTable *not_run; /* set of keys as in runs that were reported as not run */
  uint32_t failing_node;
  uint32_t shedding_node;
  uint32_t partition_mask; /* bit mask of the nodes on one side of a partition */
  fb_time_t partition_until;
  uint64_t *totals;
} simulation_t;

/* fixture-service.c */
event_t *add_event (simulation_t *simulation, event_kind_t kind, uint32_t node,
                    fb_time_t delay);
void send_event (const node_t *from, const event_t *event);
bool draw_chance (simulation_t *simulation, double probability);

/* fixture-entry.c */
void handle_request (node_t *node, const event_t *event);
void handle_answer (node_t *node, const event_t *event);
void handle_timeout (node_t *node, const event_t *event);
void handle_caller_outcome (simulation_t *simulation, uint32_t request_index,
                            uint32_t caller_attempt, fw_outcome_t outcome, const char *body,
                            const char *ticket);

/* fixture-target.c */
void handle_call (node_t *node, const event_t *event);
void handle_cancel (node_t *node, const event_t *event);
void handle_finish (node_t *node, const event_t *event);
void start_node (node_t *node);
void kill_node (node_t *node);

#endif
