/* State of the fake service, shared by its files. */
#ifndef FOXTAILRUN_CALL_FIXTURE_WORLD_H
#define FOXTAILRUN_CALL_FIXTURE_WORLD_H

#include "fixture-service.h"
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/once.h>
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/retry.h>
#include <glib.h>

#define NODES 4
#define REQUESTS 120
#define RANKS 3
#define TRIES_MAX 6
#define TEXT_MAX 160

typedef enum
{
  EVENT_REQUEST, /* a caller sends its request to an entry node */
  EVENT_GIVE_UP, /* a caller stops waiting */
  EVENT_CALL,    /* entry node to target */
  EVENT_CANCEL,  /* entry node to target */
  EVENT_ANSWER,  /* target to entry node */
  EVENT_TIMEOUT, /* of an attempt at the entry node */
  EVENT_FINISH,  /* a backend server ends its work */
  EVENT_LEARN,   /* a node's membership hears about another */
  EVENT_KILL,
  EVENT_START,
  EVENT_FAULT, /* something happens to a random node */
  EVENT_TICK
} event_kind_t;

/* One event, and the message that it carries. */
typedef struct
{
  fb_time_t time;
  uint64_t order;
  event_kind_t kind;
  uint32_t node;     /* where it happens */
  uint64_t start_id; /* of the process it is for; 0 for any */
  uint32_t entry;
  uint64_t entry_start;
  uint64_t attempt;
  uint32_t request;
  uint32_t number; /* of the caller's try, or of the node learnt about */
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
  uint32_t tries;
  bool done;
  fw_outcome_t outcome;
  char ticket[TEXT_MAX];
} request_t;

/* An attempt's state at the entry node. */
typedef struct
{
  uint64_t id;
  uint32_t request;
  uint32_t number;
  uint32_t tries;
  bool may_have_run;
  bool has_ticket;
  char ticket[TEXT_MAX];
  fb_name_t tried[TRIES_MAX];
  uint32_t target;
  fb_time_t sent;
  fb_time_t deadline;
} attempt_t;

/* A call at the node beside the backend server. */
typedef struct
{
  uint64_t id;
  struct node *node;
  event_t call;
  bool has_ticket;
  fr_ticket_t ticket;
  GPtrArray *waiters; /* event_t of the uses that the answer goes to */
  bool started;
  bool failed;
} work_t;

typedef struct node
{
  struct world *world;
  uint32_t index;
  fb_name_t id;
  uint64_t start_id; /* 0 while it is down */
  fb_time_t started;
  fb_time_t paused_until;
  bool draining;
  uint32_t slots;
  uint32_t running;
  fr_admission_t *admission;
  fr_once_t *once;
  fr_picker_t *picker;
  fr_retry_budget_t *budget;
  fr_throttle_t *throttle;
  GHashTable *attempts; /* id -> attempt_t */
  GHashTable *works;    /* id -> work_t */
  GHashTable *seen; /* ids of attempts without a ticket, as the connection keeps them apart */
} node_t;

typedef struct world
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  GRand *random;
  GSequence *events;
  uint64_t orders;
  uint64_t ids;
  node_t nodes[NODES];
  request_t requests[REQUESTS];
  GHashTable *runs;    /* ticket, or attempt id as text -> times it ran */
  GHashTable *refused; /* the same of which "not run" was said */
  uint32_t failing;    /* node whose backend server fails */
  uint32_t shedding;   /* node whose backend server sheds load */
  uint32_t split;      /* bit mask of the nodes on one side of a partition */
  fb_time_t split_until;
  uint64_t *totals;
} world_t;

/* fixture-service.c */
event_t *add_event (world_t *world, event_kind_t kind, uint32_t node, fb_time_t delay);
void send_event (const node_t *from, const event_t *event);
bool draw (world_t *world, double probability);

/* fixture-entry.c */
void handle_request (node_t *node, const event_t *event);
void handle_answer (node_t *node, const event_t *event);
void handle_timeout (node_t *node, const event_t *event);
void handle_caller_reply (world_t *world, uint32_t request, uint32_t number,
                          fw_outcome_t outcome, const char *body, const char *ticket);

/* fixture-target.c */
void handle_call (node_t *node, const event_t *event);
void handle_cancel (node_t *node, const event_t *event);
void handle_finish (node_t *node, const event_t *event);
void start_node (node_t *node);
void kill_node (node_t *node);

#endif
