/* Stand-ins and helpers of the cases of this review: the platform's store, instances, clients,
 * and the node processes, all on loopback addresses. One case is one program; it calls rig_open
 * first and rig_finish last. */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_NODES_MAX 12
#define RIG_TEXT 512

/* A request as an instance got it. */
typedef struct
{
  char method[16];
  char path[RIG_TEXT];
  char id[RIG_TEXT];
  char expected[RIG_TEXT]; /* X-Expected-Instance */
  char caller[RIG_TEXT];   /* X-Caller-Service */
  long deadline_ms;        /* -1 without X-Deadline-Ms */
  uint8_t *body;
  size_t body_len;
} rig_request_t;

typedef struct rig_instance rig_instance_t;

/* Runs REQUEST in a slot of INSTANCE and writes the answer to FD; returns whether the
 * connection is kept. */
typedef bool (*rig_work_fn) (rig_instance_t *instance, int fd, const rig_request_t *request);

struct rig_instance
{
  int node;
  char id[64];
  char service[64];
  int slots;
  rig_work_fn work;
};

/* An answer as a client got it. */
typedef struct
{
  int status;          /* 0 when no head was read */
  long content_length; /* -1 without one */
  bool closes;         /* says connection: close */
  char id[RIG_TEXT];
  char signature[RIG_TEXT];
  uint8_t *body; /* free with free */
  size_t body_len;
  bool complete;   /* by its length, or ended by an orderly close if it has none */
  int error;       /* errno of the read that failed; 0 for none */
  int64_t sent_at; /* ms */
  int64_t ended_at;
} rig_answer_t;

/* Starts the record and chooses ports and a temporary folder for NODES machines. */
void rig_open (const char *record, int nodes);

/* Ends all processes and threads and exits with STATUS: 0 the rule held, 1 it was broken, 2 the
 * case could not run. */
_Noreturn void rig_finish (int status);

/* Writes a line with the time to the record. */
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

bool rig_has_trouble (void); /* TROUBLE is not 0 */
int64_t rig_now (void);      /* ms, steady */
void rig_sleep (int64_t ms);

/* The store. */
void rig_start_store (void);
int64_t rig_put (const char *key,
                 const char *value); /* returns the time of the acknowledgement */
int64_t rig_delete (const char *key);

/* Builds a configuration text: rig_config_begin, routes, rig_config_end; free with free. */
typedef struct
{
  char *text;
  size_t length, size;
  int routes;
} rig_config_t;
void rig_config_begin (rig_config_t *config, int version);
void rig_config_route (rig_config_t *config, const char *name, const char *prefix,
                       const char *service, bool idempotent, int timeout_ms, int target_ms,
                       int attempts);
char *rig_config_end (rig_config_t *config, const char *const *services, int count);

/* Instances: started and listed in the store. */
void rig_start_instance (int node, const char *id, const char *service, int slots,
                         rig_work_fn work);
void rig_list_instance (int node, const char *state);

/* Nodes: processes of the program of the deploy file. */
void rig_start_node (int node);
void rig_signal_node (int node, int signal);
bool rig_wait_ready (int node, int64_t limit_ms);
bool rig_wait_exit (int node, int64_t limit_ms, int *status);
bool rig_is_running (int node);
long rig_get_rss_kb (int node);

/* Clients. */
int rig_connect (int node, int receive_buffer, int segment);
bool rig_send (int fd, const void *bytes, size_t length);
bool rig_send_request (int fd, const char *method, const char *path, const char *id,
                       int deadline_ms, const void *body, size_t body_len);
/* Reads the answer for LIMIT_MS at most, at most RATE bytes a second (0: no limit). */
void rig_read_answer (int fd, rig_answer_t *answer, int64_t limit_ms, size_t rate);
/* Reads what has come, after LIMIT_MS at most; returns the bytes, 0 at the end, -1 on an error
 * or after the time. */
ssize_t rig_read_some (int fd, void *bytes, size_t size, int64_t limit_ms);
void rig_make_id (char id[32]);
/* One request on a connection of its own. */
void rig_call (int node, const char *method, const char *path, const char *id, int deadline_ms,
               const void *body, size_t body_len, int64_t limit_ms, rig_answer_t *answer);

/* Instances' answers. */
void rig_sign (const rig_request_t *request, const rig_instance_t *instance,
               char text[RIG_TEXT]);
bool rig_answer (int fd, int status, const rig_instance_t *instance,
                 const rig_request_t *request, const void *body, size_t body_len,
                 bool with_length);

extern const char *rig_host;
extern int rig_grace_s;
extern int rig_memory_mb;

#endif
