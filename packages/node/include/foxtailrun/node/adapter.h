/* Interface between a node and the adapter to its platform. */
#ifndef FOXTAILRUN_NODE_ADAPTER_H
#define FOXTAILRUN_NODE_ADAPTER_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/config/snapshot.h>
#include <foxtailrun/dist/feed.h>
#include <foxtailrun/kernel/kernel.h>
#include <foxtailrun/wire/member.h>

/* HTTP headers exchanged with callers and backend servers, and how backend servers treat
 * requests. Names are in lower case; an empty one is not used. */
typedef struct
{
  fb_str_t request_id;  /* id of a caller's request */
  fb_str_t timeout_ms;  /* how long the sender waits for the response, in ms */
  fb_str_t outcome;     /* to callers: outcome of the call */
  fb_str_t customer;    /* from callers: customer that the request belongs to */
  fb_str_t caller;      /* to backend servers: service on the host that sent the request */
  fb_str_t instance;    /* to backend servers: the only instance that may run the request */
  fb_str_t not_run;     /* from backend servers: the request was refused without being run */
  fb_str_t rate_limit;  /* from overloaded backend servers: requests per second that they take
                           from all hosts together, a decimal number */
  fb_str_t warmup_ms;   /* in health responses: how many ms longer the server is cold, a decimal
                           number; none or 0: it is warm */
  fb_str_t instance_id; /* in health responses: the instance that sent it */
  fb_str_t leaving;     /* from backend servers: "1" while the server is about to stop */
  fb_str_t signature;   /* from backend servers: a 2xx response without it is not theirs */
  bool allows_close_delimited; /* backend servers may end a body that has no length by closing
                                  the connection */
  bool echoes_request_id;      /* backend servers return the request id in their responses; the
                                  connections of one that does not are not reused */
  bool requires_request_id; /* a response without the request id is not the backend server's */
  bool plain_bodies;        /* callers accept no content coding */
  bool refuses_by_status; /* callers take 408, 421, 429 and 503 as proof that a request was not
                             run */
  bool resolves_paths; /* backend servers resolve dot segments and escapes; a path with any of
                          these could reach another route than the one that it matched */
} fn_dialect_t;

/* Kernel service that reads configuration documents; its data starts with an fn_source_t. */
#define FN_SOURCE "source"

typedef struct fn_source fn_source_t;

struct fn_source
{
  /* Starts a read that ends with fn_finish_source_read: at once if the revision is 0,
   * otherwise when the source has a document with a position above POSITION. */
  void (*read) (fn_source_t *source, fb_position_t position);
};

typedef struct
{
  const fn_dialect_t *dialect;
  /* Registers the service FN_SOURCE. USER is the field below. */
  void (*register_source) (fk_kernel_t *kernel, void *user);
  void *user;
  /* The source lists endpoints too. The node runs no membership protocol and gets documents
   * only from its source, which may follow another node as its relay. */
  bool source_lists_endpoints;
  const fc_limits_t *document_limits; /* of documents from the source; NULL for those of
                                         documents that operators write */
} fn_adapter_t;

/* Feed of a store that lists endpoints and holds the configuration. */
typedef struct fn_feed fn_feed_t;

/* How an adapter reads such a store. */
typedef struct
{
  /* Returns a new reader for FEED; USER is that of fn_register_feed. */
  void *(*create) (fk_kernel_t *kernel, fn_feed_t *feed, void *user);
  /* Starts READ. Results go to fd_add_endpoint, fd_remove_endpoint and fd_set_document;
   * fn_end_store_read ends the read and must be called after this function has returned. */
  void (*read) (void *reader, const fd_read_t *read);
  /* Cancels the open read, if any, and frees READER. */
  void (*destroy) (void *reader);
} fn_store_t;

/* Registers service FN_SOURCE for a store read through STORE, borrowed. The node reads it
 * itself or follows a relay, a node of its zone that does. USER is passed to the create
 * function of STORE. */
void fn_register_feed (fk_kernel_t *kernel, const fn_store_t *store, void *user);

/* Returns the feed that receives the results of reads, owned by FEED. */
fd_feed_t *fn_get_feed (fn_feed_t *feed);

/* Ends the open read of the store. */
void fn_end_store_read (fn_feed_t *feed, const fd_read_result_t *result);

/* Ends a read of the source. STATUS: FB_OK with POSITION and DOCUMENT, FB_NOT_FOUND if nothing
 * is published, FB_TIMEOUT if nothing changed in time, anything else if the read failed.
 * Returns false if the document is refused. */
bool fn_finish_source_read (fk_kernel_t *kernel, fb_status_t status, fb_position_t position,
                            fb_bytes_t document);

/* Adds or updates ENDPOINT by state: FW_ALIVE gets calls, FW_LEAVING no new ones, FW_DEAD is
 * removed. */
void fn_update_endpoint (fk_kernel_t *kernel, const fw_member_t *endpoint);

/* The backend server on this node's host, as the platform describes it. */
typedef struct
{
  fb_name_t instance;       /* empty if the platform lists none */
  fw_instance_id_t full_id; /* that INSTANCE stands for; empty if they are the same */
  uint64_t incarnation;     /* start of the instance, as in its endpoint */
  uint32_t slots;           /* calls that it runs concurrently; 0 if not known */
  bool leaving;
} fn_local_backend_t;

/* Updates the description of the local backend server; LOCAL is copied. */
void fn_set_local_backend (fk_kernel_t *kernel, const fn_local_backend_t *local);

#endif
