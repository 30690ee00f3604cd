/* Feed of a store that lists endpoints and holds a configuration document. A node reads the
 * store or follows a node of its zone that does. */
#ifndef FOXTAILRUN_DIST_FEED_H
#define FOXTAILRUN_DIST_FEED_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/member/listing.h>
#include <foxtailrun/wire/feed.h>

typedef enum
{
  FD_READ_ALL,        /* everything, page by page */
  FD_READ_CHANGES,    /* changes of endpoints and the document */
  FD_READ_DOCUMENT,   /* the newest document only */
  FD_READ_ENDPOINTS,  /* changes of endpoints only */
  FD_READ_EVACUATIONS /* the complete set of evacuated zones */
} fd_read_kind_t;

typedef struct
{
  fd_read_kind_t kind;
  uint64_t after_revision; /* revision after which changes are read */
  uint32_t wait_ms;        /* how long the store waits for a change */
  uint32_t timeout_ms;     /* limit of each wait for data of the response */
  const char *after_key;   /* last key of the previous page; NULL for the first page */
} fd_read_t;

typedef enum
{
  FD_RESULT_COMPLETE,  /* everything requested was delivered */
  FD_RESULT_HAS_MORE,  /* another page follows */
  FD_RESULT_COMPACTED, /* the store has compacted the changes after the requested position */
  FD_RESULT_FAILED
} fd_read_result_kind_t;

typedef struct
{
  fd_read_result_kind_t kind;
  fb_position_t position; /* of the store at the time of the read; COMPACTED: its era */
  const char *last_key;   /* HAS_MORE: last key of the page, borrowed */
  uint32_t http_status;   /* FAILED: HTTP status, 0 without a response */
  const char *error;      /* FAILED: static text, or NULL */
} fd_read_result_t;

typedef struct
{
  /* Starts READ, borrowed. Results go to fd_add_endpoint, fd_remove_endpoint and
   * fd_set_document, then fd_end_read. At most one is outstanding. */
  void (*start_read) (const fd_read_t *read, void *user);
  /* Sends REQUEST, borrowed, to RELAY; ends by fd_handle_response or fd_fail_request. At
   * most one is outstanding. */
  void (*send_request) (const fw_member_t *relay, const fw_feed_message_t *request, void *user);
  /* Sends RESPONSE, borrowed, to REQUESTER of fd_handle_request. */
  void (*send_response) (void *requester, const fw_feed_message_t *response, void *user);
  /* An endpoint was listed, changed or removed (FW_DEAD). */
  fm_changed_fn_t endpoint_changed;
  /* A newer document may be available, see fd_get_document. */
  void (*document_changed) (void *user);
  /* The set of evacuated zones has changed, see fd_get_evacuations. Never called without
   * fd_feed_options_t.evacuation. */
  void (*evacuations_changed) (void *user);
  void *user;
} fd_feed_hooks_t;

typedef struct
{
  fb_name_t address; /* of this node */
  fb_name_t zone;
  fb_time_t poll_interval; /* age of the known state at which a node reads the store */
  bool evacuation;         /* the store names evacuated zones; otherwise none is ever known */
} fd_feed_options_t;

typedef struct fd_feed fd_feed_t;

/* Creates a feed that first reads everything. Copies OPTIONS and HOOKS, borrows CLOCK,
 * COUNTERS and LOG (may be NULL); SEED starts the random numbers. */
fd_feed_t *fd_create_feed (const fd_feed_options_t *options, uint32_t seed,
                           const fb_clock_t *clock, fb_counters_t *counters, fb_log_t *log,
                           const fd_feed_hooks_t *hooks);

/* Frees the feed; pending requests get no response. NULL is allowed. */
void fd_destroy_feed (fd_feed_t *feed);

/* Runs what is due and returns the time of the next call. Call it also after each function
 * below. */
fb_time_t fd_run_feed (fd_feed_t *feed);

/* Deliver results of the outstanding read: what was written at POSITION, whose era is that of
 * the response. TEXT is copied. */
void fd_add_endpoint (fd_feed_t *feed, fb_position_t position, const fw_endpoint_t *endpoint);
void fd_remove_endpoint (fd_feed_t *feed, fb_position_t position, const fb_name_t *id);
void fd_set_document (fd_feed_t *feed, fb_position_t position, uint64_t number,
                      fb_bytes_t text);

/* Delivers that ZONE is evacuated or, unless ACTIVE, no longer; FD_READ_ALL and
 * FD_READ_EVACUATIONS deliver the evacuated zones only. Takes effect at the end of the read; of
 * several for one zone the one with the latest position counts. */
void fd_set_evacuation (fd_feed_t *feed, fb_position_t position, const fb_name_t *zone,
                        bool active);

/* Ends the outstanding read. */
void fd_end_read (fd_feed_t *feed, const fd_read_result_t *result);

/* Handles REQUEST of another node. REQUESTER gets a response now or later, unless
 * fd_cancel_request comes first. */
void fd_handle_request (fd_feed_t *feed, void *requester, const fw_feed_message_t *request);

/* Drops the pending request of REQUESTER. */
void fd_cancel_request (fd_feed_t *feed, void *requester);

/* Handles the response to the outstanding request. */
void fd_handle_response (fd_feed_t *feed, const fw_feed_message_t *response);

/* Ends the outstanding request, which failed for REASON. */
void fd_fail_request (fd_feed_t *feed, const char *reason);

/* Returns the newest configuration document, borrowed, and its POSITION; empty and 0
 * without one. Within an era the later document is newer, across a restore the one with the
 * higher number, so that its position may be of an earlier era. */
fb_bytes_t fd_get_document (const fd_feed_t *feed, fb_position_t *position);

/* Records that the newest document was refused: across a restore any other is newer. */
void fd_refuse_document (fd_feed_t *feed);

/* Returns whether ZONE is evacuated. */
bool fd_is_evacuated (const fd_feed_t *feed, const fb_name_t *zone);

/* Returns the evacuated zones, COUNT of them in no order; free with g_free. */
fb_name_t *fd_get_evacuations (const fd_feed_t *feed, size_t *count);

/* Returns whether everything has been read once. */
bool fd_is_synced (const fd_feed_t *feed);

/* Return the store position up to which endpoints are known, and the age in ns of that
 * state. */
fb_position_t fd_get_position (const fd_feed_t *feed);
fb_time_t fd_get_age (const fd_feed_t *feed);

#endif
