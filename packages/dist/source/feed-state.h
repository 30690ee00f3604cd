/* State of a feed, shared by its files. */
#ifndef FOXTAILRUN_DIST_FEED_STATE_H
#define FOXTAILRUN_DIST_FEED_STATE_H

#include <foxtailrun/dist/feed.h>
#include <glib.h>

/* Name of the feed's log lines. */
#define FD_FEED_LOG "source"

/* Documents held, the newest included: bases of differences for nodes that follow. */
#define FD_DOCUMENTS_MAX 4

/* Relays left aside at one time. */
#define FD_AVOIDED_MAX 8

/* A document of the configuration. */
typedef struct
{
  uint64_t position;
  fb_digest_t digest;
  GBytes *text;
  GBytes *delta; /* makes the newest document of this one; NULL before it was needed */
} fd_held_t;

/* A relay that did not answer well. */
typedef struct
{
  fb_name_t address;
  fb_time_t until;
} fd_avoided_t;

/* An ask of another node that waits. */
typedef struct
{
  void *asker;
  fw_feed_message_t ask;
  fb_time_t arrived;
} fd_asked_t;

struct fd_feed
{
  fd_feed_options_t rules;
  const fb_clock_t *clock;
  fb_log_t *log;
  fd_feed_hooks_t hooks;
  GRand *random;
  fm_listing_t *listing;
  uint64_t id; /* random, to tell the feeds of two processes apart */

  /* Reads of the store. */
  fd_read_kind_t kind; /* of the open or next read */
  bool reading;
  bool listed;                /* everything was read once */
  uint32_t documents_read;    /* new ones that the open or last read brought */
  bool document_moved;        /* the last read of the configuration alone brought a new one */
  fb_time_t read_at;          /* of the next read, where it does not follow from the age */
  fb_time_t started;          /* of the open or last read */
  fb_time_t document_started; /* of the last read of the configuration alone */
  fb_time_t fresh;            /* everything is known as of then */
  uint32_t failures;          /* of reads, in a row */
  char *page;                 /* last key of the page before, in a list of several pages */
  uint64_t first;             /* position of the first page of the list being read */
  uint64_t position;          /* up to which endpoints are known */
  uint64_t seen;              /* the same of the configuration */
  uint64_t wanted;            /* position of a document that another node holds */
  fd_held_t documents[FD_DOCUMENTS_MAX]; /* newest first */

  /* Following another node. */
  fb_name_t relay; /* address; empty while this node reads itself */
  bool asking;
  fb_time_t asked;      /* when the open ask was sent */
  fb_time_t ask_at;     /* of the next ask, or of the next choice of a relay */
  fb_time_t news_fresh; /* everything was known as of then by the last news */
  uint64_t relay_id;    /* feed whose changes RELAY_SEQUENCE counts */
  uint64_t relay_sequence;
  fd_avoided_t avoided[FD_AVOIDED_MAX];
  size_t next_avoided;

  /* Nodes that follow this one. */
  fb_time_t asked_until; /* until then others follow this node */
  fb_time_t completed;   /* when the last read of changes was whole */
  GPtrArray *asks;       /* fd_asked_t that wait */

  fb_counter_t *reads;
  fb_counter_t *read_failures;
  fb_counter_t *news_taken;
  fb_counter_t *news_given;
  fb_counter_t *news_failures;
  fb_counter_t *deltas;
};

/* feed-document.c */

/* Takes TEXT as the newest document unless one of POSITION or above is held; returns whether it
 * was taken. */
bool fd_hold_document (fd_feed_t *feed, uint64_t position, fb_bytes_t text);

/* Returns the difference from the document of POSITION to the newest one, borrowed; empty when
 * that is not held or the difference is too large to be passed on. */
fb_bytes_t fd_find_delta (fd_feed_t *feed, uint64_t position);

/* Makes the document of POSITION with DIGEST from the newest one and DELTA and takes it;
 * returns whether that is held then. */
bool fd_apply_delta (fd_feed_t *feed, uint64_t position, const fb_digest_t *digest,
                     fb_bytes_t delta);

/* Frees the documents. */
void fd_drop_documents (fd_feed_t *feed);

/* feed-relay.c */

/* Chooses the node to follow anew when that is due, and asks it for news. */
void fd_run_relay (fd_feed_t *feed, fb_time_t now);

/* Returns whether an ask may be sent: everything was read, and no ask is open. */
bool fd_may_ask (const fd_feed_t *feed);

/* Returns whether another node tells this one what is new. */
bool fd_is_following (const fd_feed_t *feed, fb_time_t now);

/* Returns whether other nodes follow this one. */
bool fd_is_followed (const fd_feed_t *feed, fb_time_t now);

/* Answers the asks that need not wait any longer. */
void fd_answer_asks (fd_feed_t *feed);

#endif
