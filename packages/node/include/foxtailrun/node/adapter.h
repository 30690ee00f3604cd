/* What an adapter to a platform supplies to a node, and what it may tell the node. */
#ifndef FOXTAILRUN_NODE_ADAPTER_H
#define FOXTAILRUN_NODE_ADAPTER_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/dist/feed.h>
#include <foxtailrun/kernel/kernel.h>
#include <foxtailrun/wire/member.h>

/* Headers that callers and backend servers use beside the usual ones. Names are in lower case;
 * an empty name stands for a header that is not used. */
typedef struct
{
  fb_str_t request_id; /* id of one request of a caller */
  fb_str_t timeout_ms; /* time that the sender will wait, in ms */
  fb_str_t outcome;    /* to callers: how the call ended */
  fb_str_t customer;   /* from callers: the customer */
  fb_str_t caller;     /* to backend servers: service on the host where the request began */
  fb_str_t instance;   /* to backend servers: the only instance that may run the request */
  fb_str_t not_run;    /* from backend servers: the request was refused without being run */
  bool allows_close_delimited; /* a backend server may end a body without a length with its
                                  connection */
  bool echoes_request_id;      /* backend servers repeat the request id in their answers */
  bool resolves_paths; /* backend servers resolve dot segments and escapes, so that a path that
                          needs it could reach another route than the one found for it */
} fn_dialect_t;

/* Where configuration documents come from. A service of this name is registered on the kernel;
 * its data starts with this struct. */
#define FN_SOURCE "source"

typedef struct fn_source fn_source_t;

struct fn_source
{
  /* Starts a read that ends by fn_end_source_read: with INDEX 0 at once, otherwise when a
   * document above INDEX is there. */
  void (*read) (fn_source_t *source, uint64_t index);
};

typedef struct
{
  const fn_dialect_t *dialect;
  /* Registers the service FN_SOURCE. USER is the adapter's. */
  void (*register_source) (fk_kernel_t *kernel, void *user);
  void *user;
  /* The source lists the endpoints and every node reads it: there is no membership protocol,
   * and no other node is asked for documents. */
  bool source_lists_endpoints;
} fn_adapter_t;

/* A store that lists endpoints and holds the configuration, as an adapter reads it. */
typedef struct fn_feed fn_feed_t;

typedef struct
{
  /* Returns a new reader of the store that reports to FEED; USER is the adapter's. */
  void *(*create) (fk_kernel_t *kernel, fn_feed_t *feed, void *user);
  /* Carries out READ: what it brings goes to the fd_take functions of the feed, and
   * fn_end_store_read ends it, later. */
  void (*read) (void *reader, const fd_read_t *read);
  /* Gives up an open read and frees READER. */
  void (*destroy) (void *reader);
} fn_store_t;

/* Registers the service FN_SOURCE for a store that is read by STORE, which is borrowed. */
void fn_register_feed (fk_kernel_t *kernel, const fn_store_t *store, void *user);

/* Returns the feed that takes what a read brings. */
fd_feed_t *fn_get_feed (fn_feed_t *feed);

/* Ends the open read of the store. */
void fn_end_store_read (fn_feed_t *feed, const fd_read_result_t *end);

/* Ends a read of the source: STATUS FB_OK with INDEX and DOCUMENT, FB_NOT_FOUND when nothing is
 * published, FB_TIMEOUT when the wait ended without a change, anything else for a failed read.
 */
void fn_finish_source_read (fk_kernel_t *kernel, fb_status_t status, uint64_t index,
                            fb_bytes_t document);

/* Takes the current description of an endpoint: FW_ALIVE may be called, FW_LEAVING gets no new
 * calls, FW_DEAD is forgotten. */
void fn_update_endpoint (fk_kernel_t *kernel, const fw_member_t *endpoint);

/* The backend server beside this node, as the platform describes it. */
typedef struct
{
  fb_name_t instance; /* empty when the platform lists none */
  uint32_t slots;     /* calls that it runs at once; 0 when not known */
  bool leaving;
} fn_local_backend_t;

/* Takes the current description of the backend server beside this node. */
void fn_set_local_backend (fk_kernel_t *kernel, const fn_local_backend_t *local);

#endif
