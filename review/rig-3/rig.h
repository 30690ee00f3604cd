/* Stand-ins and helpers for the cases of the third review: the platform's store, backend
 * instances, callers, and the project's nodes as child processes. All addresses are loopback
 * addresses of one network that is chosen at random. */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_NODES_MAX 8

/* A request as an instance got it. */
typedef struct
{
  int socket;
  int node; /* number of the node beside the instance */
  char method[16];
  char path[256];
  char id[64];
  char caller[64];
  long deadline_ms; /* -1 without one */
  size_t body_bytes;
} rig_request_t;

/* Answers REQUEST; returns whether the connection is kept. */
typedef bool (*rig_serve_t) (const rig_request_t *request);

/* Settings of the run; set before rig_start. */
typedef struct
{
  int nodes;
  int grace_s;
  int drain_ms;
  int memory_mb;
  int slots;                               /* of each instance */
  const char *services[RIG_NODES_MAX + 1]; /* by number of the node, from 1 on */
  const char *routes;                      /* JSON of the routes */
  const char *service_list;                /* JSON of the services */
  rig_serve_t serve;
} rig_options_t;

/* Returns whether the disruption is wanted: TROUBLE is not 0. */
bool rig_has_trouble (void);

/* Starts the store, the instances and the nodes, and waits until the nodes are ready. Ends the
 * process with 2 if that fails. */
void rig_start (const rig_options_t *options);

/* Ends all processes and the case: 1 if BROKEN, otherwise 0. */
void rig_finish (bool broken) __attribute__ ((noreturn));

/* Ends all processes and the case with 2. */
void rig_give_up (const char *reason) __attribute__ ((noreturn));

/* Writes a line to record.txt, with the time in ms. */
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

double rig_now_ms (void);
void rig_sleep_ms (double ms);

/* Sends a signal to a node. */
void rig_signal (int node, int number);

/* Returns the id of a node's process. */
pid_t rig_pid (int node);

/* Starts a node that has ended. */
void rig_start_node (int node);

/* Returns whether the node has ended, and its wait status in STATUS. */
bool rig_has_ended (int node, int *status);

/* Returns whether the node answers its readiness check with 200. */
bool rig_is_ready (int node);

/* Connects to the address for callers of a node. RECEIVE_BUFFER and SEGMENT in bytes limit what
 * the connection takes unread; 0 for the defaults. Returns -1 on failure. */
int rig_connect (int node, int receive_buffer, int segment);

bool rig_send (int socket, const void *bytes, size_t length);

/* Reads at most LENGTH bytes; returns the count, 0 at an orderly end, -1 on an error, -2 after
 * TIMEOUT_MS. */
ssize_t rig_receive (int socket, void *bytes, size_t length, double timeout_ms);

/* A caller's view of one answer. */
typedef struct
{
  int status; /* 0: none */
  char id[64];
  bool has_signature;
  bool has_length;
  size_t length;     /* content-length */
  size_t body_bytes; /* received */
  bool whole;        /* the framing says that it is complete */
  bool reset;        /* the connection ended with an error */
  bool ended;        /* the connection ended */
  bool closes;       /* connection: close */
  double at_ms;      /* of its end */
} rig_answer_t;

/* Reads one answer; reads at most RATE bytes a second of it if above 0. */
void rig_read_answer (int socket, double rate, double timeout_ms, rig_answer_t *answer);

#endif
