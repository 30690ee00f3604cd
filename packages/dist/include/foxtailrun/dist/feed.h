/* Feed of a store that lists endpoints and holds the configuration: when a node reads the store
 * itself, and when it follows another node of its zone that does. */
#ifndef FOXTAILRUN_DIST_FEED_H
#define FOXTAILRUN_DIST_FEED_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/member/listing.h>
#include <foxtailrun/wire/feed.h>

/* What is read of the store. */
typedef enum
{
  FD_READ_ALL,      /* everything, page by page */
  FD_READ_CHANGES,  /* changes of everything */
  FD_READ_DOCUMENT, /* the newest configuration alone */
  FD_READ_ENDPOINTS /* changes of the endpoints alone */
} fd_read_kind_t;

typedef struct
{
  fd_read_kind_t kind;
  uint64_t after_position; /* position above which changes are wanted */
  uint32_t wait_ms;        /* how long to wait for a change */
  const char *after_key;   /* last key of the page before; NULL for the first */
} fd_read_t;

typedef enum
{
  FD_RESULT_COMPLETE,  /* all that was asked for was taken */
  FD_RESULT_HAS_MORE,  /* another page follows */
  FD_RESULT_COMPACTED, /* the store no longer knows the changes since then */
  FD_RESULT_FAILED
} fd_read_result_kind_t;

/* How a read ended. */
typedef struct
{
  fd_read_result_kind_t kind;
  uint64_t position;    /* of the store at the read */
  const char *last_key; /* PAGE: last key of it, borrowed */
  uint32_t http_status; /* FAILED: HTTP status, 0 without an answer */
  const char *error;    /* FAILED: static, or NULL */
} fd_read_result_t;

typedef struct
{
  /* Starts READ, borrowed; what it brings goes to the fd_take functions, then fd_end_read. At
   * most one read is open. */
  void (*read) (const fd_read_t *read, void *user);
  /* Sends ASK, borrowed, to PEER; ends by fd_handle_response or fd_fail_request. At most one
   * ask is open. */
  void (*send_request) (const fw_member_t *peer, const fw_feed_message_t *ask, void *user);
  /* Answers ASKER of fd_handle_request. */
  void (*send_response) (void *asker, const fw_feed_message_t *news, void *user);
  /* An endpoint was listed, changed, or is gone (FW_DEAD). */
  fm_endpoint_fn_t endpoint_changed;
  /* A newer configuration is there, see fd_get_document. */
  void (*document_changed) (void *user);
  void *user;
} fd_feed_hooks_t;

typedef struct
{
  fb_name_t address; /* of this node */
  fb_name_t zone;
  fb_time_t poll_interval; /* a node whose knowledge is older reads the store */
} fd_feed_options_t;

typedef struct fd_feed fd_feed_t;

/* Creates a feed that reads everything first; RULES and HOOKS are copied, CLOCK, COUNTERS and
 * LOG (may be NULL) are borrowed, SEED starts the random numbers. */
fd_feed_t *fd_create_feed (const fd_feed_options_t *rules, uint32_t seed,
                           const fb_clock_t *clock, fb_counters_t *counters, fb_log_t *log,
                           const fd_feed_hooks_t *hooks);

/* Frees the feed; waiting askers get no answer. NULL is allowed. */
void fd_destroy_feed (fd_feed_t *feed);

/* Does what is due and returns when to call it next; call it after each of the functions below,
 * too. */
fb_time_t fd_run_feed (fd_feed_t *feed);

/* Take what the open read brings, as of POSITION of the store. The text of a document is
 * copied.
 */
void fd_add_endpoint (fd_feed_t *feed, uint64_t position, const fw_endpoint_t *endpoint);
void fd_remove_endpoint (fd_feed_t *feed, uint64_t position, const fb_name_t *id);
void fd_set_document (fd_feed_t *feed, uint64_t position, fb_bytes_t text);

/* Ends the open read. */
void fd_end_read (fd_feed_t *feed, const fd_read_result_t *end);

/* Takes ASK of another node; ASKER is answered now or later, unless fd_cancel_request comes
 * first. */
void fd_handle_request (fd_feed_t *feed, void *asker, const fw_feed_message_t *ask);

/* ASKER no longer waits. */
void fd_cancel_request (fd_feed_t *feed, void *asker);

/* Takes the answer to the open ask. */
void fd_handle_response (fd_feed_t *feed, const fw_feed_message_t *news);

/* The open ask ended without an answer, for REASON. */
void fd_fail_request (fd_feed_t *feed, const char *reason);

/* Returns the newest configuration, borrowed, and sets POSITION; empty with POSITION 0 before
 * there is one. */
fb_bytes_t fd_get_document (const fd_feed_t *feed, uint64_t *position);

/* Returns whether everything was read once. */
bool fd_is_synced (const fd_feed_t *feed);

/* Returns the position of the store up to which endpoints are known, and the age in ns of what
 * is known. */
uint64_t fd_get_position (const fd_feed_t *feed);
fb_time_t fd_get_age (const fd_feed_t *feed);

#endif
