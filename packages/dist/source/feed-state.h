/* State of a feed, shared by its files. */
#ifndef FOXTAILRUN_DIST_FEED_STATE_H
#define FOXTAILRUN_DIST_FEED_STATE_H

#include <foxtailrun/dist/feed.h>
#include <glib.h>

#define FD_FEED_LOG_SERVICE "source"

/* Documents stored as bases of deltas, the newest included. */
#define FD_DOCUMENTS_MAX 4

/* Relays avoided at one time. */
#define FD_AVOIDED_RELAYS_MAX 8

typedef struct
{
  fb_position_t position;
  uint64_t number; /* version that it carries; 0 when it was refused */
  fb_digest_t digest;
  GBytes *text;
  GBytes *delta; /* to the newest document, that one in full; NULL until needed */
} fd_document_t;

typedef struct
{
  fb_name_t address;
  fb_time_t avoid_until;
} fd_avoided_relay_t;

/* Last known request about a zone: to evacuate it or, unless ACTIVE, its withdrawal. */
typedef struct
{
  fb_name_t zone;
  fb_position_t position; /* of the write; in a set from a relay, up to which that is known */
  bool active;
} fd_evacuation_t;

/* A request of another node that waits for a change. */
typedef struct
{
  void *requester;
  fw_feed_message_t message;
  fb_time_t arrived_at;
} fd_pending_request_t;

struct fd_feed
{
  fd_feed_options_t options;
  const fb_clock_t *clock;
  fb_log_t *log;
  fd_feed_hooks_t hooks;
  GRand *random;
  fm_listing_t *listing;
  uint64_t id; /* random, to tell the feeds of two processes apart */

  /* Reads of the store. */
  fd_read_kind_t read_kind; /* of the outstanding or next read */
  bool read_outstanding;
  bool synced;                        /* everything was read once */
  bool rereading;                     /* a full read after that is due and has not failed */
  uint32_t documents_read;            /* by the outstanding or last read */
  bool document_read_found_new;       /* the last FD_READ_DOCUMENT found one */
  bool is_document_due;               /* endpoints are read apart, then the document */
  fb_time_t next_read_at;             /* of a retry, or of a read other than FD_READ_CHANGES */
  fb_time_t read_started_at;          /* of the outstanding or last read */
  fb_time_t document_read_started_at; /* of the last FD_READ_DOCUMENT */
  fb_time_t known_at;                 /* everything up to this time is known */
  uint32_t consecutive_failures;      /* of reads */
  fb_time_t outage_started_at;        /* start of the first of them */
  fb_time_t failed_read_started_at;   /* start of the last of them */
  char *page_key;    /* last key of the previous page, in a full read of several pages */
  uint64_t read_era; /* era of POSITION at the start of that read */
  fb_position_t first_page_position;     /* of the full read */
  fb_position_t position;                /* all endpoint changes up to here are known */
  fb_position_t document_known_position; /* no newer document exists up to here */
  /* Of a relay's document, to be read from the store. */
  fb_position_t announced_document_position;
  uint64_t announced_document_number;
  fd_document_t documents[FD_DOCUMENTS_MAX]; /* newest first */

  /* Evacuated zones. */
  GArray *evacuations;                        /* fd_evacuation_t, all active */
  GArray *read_evacuations;                   /* delivered by the outstanding read */
  fb_position_t evacuations_position;         /* all changes of the set up to here are known */
  fb_position_t evacuations_changed_position; /* EVACUATIONS_POSITION at the last change */
  fb_time_t evacuations_changed_at;

  /* Following another node. */
  fb_name_t relay_address; /* empty while this node reads the store */
  bool request_outstanding;
  fb_time_t request_sent_at; /* of the outstanding request */
  uint64_t request_era;      /* era of POSITION when it was sent */
  fb_time_t next_request_at; /* when a relay is next chosen and sent a request */
  fb_time_t relay_known_at;  /* KNOWN_AT of the last update received */
  uint64_t relay_feed_id;    /* feed whose changes RELAY_SEQUENCE counts */
  uint64_t relay_sequence;
  fd_avoided_relay_t avoided_relays[FD_AVOIDED_RELAYS_MAX];
  size_t next_avoided_relay;

  /* Nodes that follow this one. */
  fb_time_t followed_until;    /* this node counts as followed until then */
  fb_time_t read_completed_at; /* end of the last complete read */
  GPtrArray *pending_requests; /* fd_pending_request_t */

  fb_counter_t *reads;
  fb_counter_t *read_failures;
  fb_counter_t *full_reads;
  fb_counter_t *restores;
  fb_counter_t *withheld_removals;
  fb_counter_t *ignored_documents;
  fb_counter_t *ignored_updates;
  fb_counter_t *updates_received;
  fb_counter_t *updates_sent;
  fb_counter_t *request_failures;
  fb_counter_t *deltas_applied;
};

/* feed-document.c */

/* Returns whether the document of NUMBER at POSITION is newer than the one of OTHER_NUMBER at
 * OTHER_POSITION. A store that was restored holds an older one until that is written again. */
bool fd_is_newer_document (fb_position_t position, uint64_t number,
                           fb_position_t other_position, uint64_t other_number);

/* Adds TEXT, copied, as the newest document; returns false if it is not newer than that. */
bool fd_add_document (fd_feed_t *feed, fb_position_t position, uint64_t number,
                      fb_bytes_t text);

/* Returns the delta from the document of POSITION to the newest one, borrowed; empty when
 * that document is not stored or the delta too large to send. When the store no longer holds
 * the newest one, returns it in full instead of nothing. */
fb_bytes_t fd_find_delta (fd_feed_t *feed, fb_position_t position);

/* Decodes the delta of UPDATE against the newest document and adds the result; false unless it
 * has the digest of UPDATE. */
bool fd_apply_delta (fd_feed_t *feed, const fw_feed_message_t *update);

void fd_clear_feed_documents (fd_feed_t *feed);

/* feed-evacuation.c */

void fd_init_evacuations (fd_feed_t *feed);
void fd_clear_evacuations (fd_feed_t *feed);

/* Drops what the last read has delivered; a read begins that delivers anew. */
void fd_begin_evacuation_read (fd_feed_t *feed);

/* Applies what the read of READ_KIND has delivered; the store was read at POSITION. */
void fd_finish_evacuation_read (fd_feed_t *feed, fb_position_t position);

/* Returns POSITION, or the earlier one up to which the set of evacuated zones is known. */
fb_position_t fd_limit_to_evacuations (const fd_feed_t *feed, fb_position_t position);

/* Returns whether the set is of an earlier era than the known position, so that its changes
 * cannot be requested. */
bool fd_needs_evacuation_read (const fd_feed_t *feed);

/* Returns whether UPDATE tells this node all that it must know of evacuations. */
bool fd_accepts_evacuations (const fd_feed_t *feed, const fw_feed_message_t *update);

/* Takes over the set of UPDATE unless a later one is known. */
void fd_apply_evacuations (fd_feed_t *feed, const fw_feed_message_t *update);

/* Returns whether the set fits a feed update. */
bool fd_can_send_evacuations (const fd_feed_t *feed);

/* Adds the set to UPDATE; the caller frees its zones. */
void fd_add_evacuations (const fd_feed_t *feed, fw_feed_message_t *update);

/* Returns whether the sender of PENDING does not know the last change of the set. */
bool fd_misses_evacuation (const fd_feed_t *feed, const fd_pending_request_t *pending);

/* feed-timing.c */

/* Returns the age of the known state at which this node reads the store. */
fb_time_t fd_get_read_age (const fd_feed_t *feed, fb_time_t now);

/* Returns how long the store may wait for a change before it responds to a read. */
uint32_t fd_get_change_wait_ms (const fd_feed_t *feed, fb_time_t now);

/* Returns the limit of each wait for data of a read in which the store waits for WAIT_MS. */
uint32_t fd_get_timeout_ms (const fd_feed_t *feed, uint32_t wait_ms);

/* dist-feed.c */

/* Records that all changes up to TIME are known. */
void fd_set_known_at (fd_feed_t *feed, fb_time_t time);

/* Records that the store can be read, by this node or a relay. */
void fd_mark_source_available (fd_feed_t *feed);

/* Removes endpoint ID from the listing, or withholds that. */
void fd_remove_listed (fd_feed_t *feed, const fb_name_t *id);

/* Records that the store was restored from a copy and now has STORE_POSITION, of a higher era
 * than the known position; has everything read again unless an update of a relay comes first.
 */
void fd_begin_era (fd_feed_t *feed, fb_position_t store_position);

/* feed-relay.c */

void fd_update_relay (fd_feed_t *feed, fb_time_t now);

/* Returns whether a request may be sent: everything was read once, no full read is due, and no
 * request is outstanding. */
bool fd_can_request (const fd_feed_t *feed, fb_time_t now);

/* Returns whether a full read is outstanding or due. */
bool fd_is_full_read_due (const fd_feed_t *feed, fb_time_t now);

/* Forgets which relays failed, as all do in an outage of the store; returns how long this node
 * waits for one before it reads everything itself. */
fb_time_t fd_prepare_full_read (fd_feed_t *feed, fb_time_t now);

/* Whether another node sends this one updates. */
bool fd_is_following (const fd_feed_t *feed, fb_time_t now);

bool fd_has_followers (const fd_feed_t *feed, fb_time_t now);

/* Responds to pending requests that need not wait longer. */
void fd_respond_to_requests (fd_feed_t *feed);

#endif
