/* State shared by the files of this package. */
#ifndef FOXTAILRUN_DIST_STATE_H
#define FOXTAILRUN_DIST_STATE_H

#include "dist-bucket.h"
#include <foxtailrun/dist/node.h>
#include <glib.h>

/* Period of fd_tick and the lateness that counts as a pause of the process. */
#define FD_TICK_PERIOD (100 * FB_MILLISECOND)
#define FD_PAUSE_LIMIT (2 * FB_SECOND)

/* Earlier documents kept as bases of deltas. */
#define FD_HISTORY_MAX 4

/* Refused documents remembered by digest; the oldest is forgotten first. */
#define FD_REFUSALS_MAX 32

/* Peers remembered as holders of a version above the one in force. */
#define FD_ANNOUNCERS_MAX 8

/* Wait for the answer to a FETCH, and the shortest time between two to one peer. */
#define FD_FETCH_TIMEOUT (1 * FB_SECOND)

/* Attempts at one announcer until it announces again. */
#define FD_FETCH_TRIES 3

/* Readers of the source in each zone: two, so that one may fail unnoticed. */
#define FD_ZONE_READERS 2

/* Rate of calls to the source from one node. */
#define FD_SOURCE_RATE 1.0
#define FD_SOURCE_BURST 3.0

/* Back-off after a failed source read: full jitter below a bound that doubles. */
#define FD_BACKOFF_MIN (100 * FB_MILLISECOND)
#define FD_BACKOFF_MAX (5 * FB_SECOND)

/* How often a node works out again whether it is a reader. */
#define FD_READER_PERIOD (1 * FB_SECOND)

/* Members asked for their version, and for their member list, by a joining node. */
#define FD_JOIN_PEERS 6
#define FD_JOIN_WALKS 2

/* A joining node reads the source after a uniform delay of up to this. */
#define FD_JOIN_SPREAD (2 * FB_SECOND)

/* Wait for all answers before one is enough. */
#define FD_JOIN_WAIT (3 * FB_SECOND)

/* Time between two rounds of questions of a joining node. */
#define FD_JOIN_ROUND (1 * FB_SECOND)

/* Answers to SUMMARY_ASK and FETCH a second; more of them are dropped, so that 3,000 joining
 * nodes that know the same few members cost one of them at most 200 small messages a second. */
#define FD_ANSWER_RATE 200.0

/* MEMBERS pages a second, each about 30 KB. */
#define FD_PAGE_RATE 40.0

/* Whole documents a second; also the most sent at once. */
#define FD_WHOLE_RATE 4.0

/* A delta above this many bytes counts as a whole document. */
#define FD_SMALL_FRAME_MAX (size_t) (16 * 1024)

typedef struct
{
  fb_digest_t digest;
  uint8_t *data;
  size_t length;
} fd_earlier_t;

/* A document not to be fetched again. NUMBER 0: invalid under any number; otherwise the number
 * that a peer claimed for it and that it does not carry. */
typedef struct
{
  fb_digest_t digest;
  uint64_t number;
} fd_refusal_t;

typedef struct
{
  fb_name_t id;
  fb_version_t version;
  fb_time_t asked_at; /* of the last FETCH, valid when TRIES is above 0 */
  uint32_t tries;
} fd_announcer_t;

typedef struct
{
  fb_digest_t base; /* zero: the whole document */
  uint8_t *frame;
  size_t length;
} fd_encoding_t;

typedef struct
{
  bool outstanding;
  uint64_t request;
  fb_name_t peer;
  fb_time_t deadline;
  bool whole; /* the last frame did not decode: ask for whole documents */
} fd_fetch_t;

typedef struct
{
  bool outstanding;
  bool reader;
  uint64_t index; /* last seen; 0: read at once */
  fb_time_t started_at;
  fb_time_t next_at;
  fb_time_t reader_at; /* when READER was worked out */
  uint32_t failures;
  fd_bucket_t calls;
} fd_source_t;

typedef struct
{
  fb_name_t id;
  uint64_t request;
  bool answered;
  bool ready;
} fd_join_peer_t;

/* A walk through the pages of one member's list. */
typedef struct
{
  bool active;
  fb_name_t id;
  uint64_t request;
  uint32_t page;
  fb_time_t deadline;
} fd_walk_t;

typedef struct
{
  fb_time_t started_at;
  fb_time_t round_at; /* next round of questions */
  fd_join_peer_t peers[FD_JOIN_PEERS];
  size_t peer_count;
  bool peer_answered; /* at least one since the join started */
  bool source_answered;
  bool listed; /* a whole member list has been received */
  fd_walk_t walks[FD_JOIN_WALKS];
} fd_join_t;

typedef struct
{
  fb_counter_t *applied;
  fb_counter_t *raised;
  fb_counter_t *refused;
  fb_counter_t *claim_mismatches;
  fb_counter_t *digest_mismatches;
  fb_counter_t *bad_messages;
  fb_counter_t *unknown_senders;
  fb_counter_t *source_reads;
  fb_counter_t *source_failures;
  fb_counter_t *source_stale;
  fb_counter_t *fetches;
  fb_counter_t *fetch_timeouts;
  fb_counter_t *served_whole;
  fb_counter_t *served_delta;
  fb_counter_t *answers_dropped;
  fb_counter_t *pauses;
  fb_counter_t *joins;
  fb_counter_t *ready;
  fb_counter_t *version;
} fd_counters_t;

struct fd_node
{
  fm_table_t *members;
  const fb_clock_t *clock;
  fb_log_t *log;
  fd_hooks_t hooks;
  GRand *random;
  fd_counters_t counters;
  uint64_t next_request;

  bool standalone; /* no other node takes part */
  bool begun;      /* the first tick has run */
  bool ready;
  fb_time_t ticked_at;

  fb_version_t version;
  fc_snapshot_t *snapshot;
  fd_earlier_t history[FD_HISTORY_MAX]; /* newest first */
  size_t history_count;
  fd_refusal_t refusals[FD_REFUSALS_MAX];
  size_t refusal_count;
  size_t refusal_next;

  fd_announcer_t announcers[FD_ANNOUNCERS_MAX];
  size_t announcer_count;
  fd_fetch_t fetch;

  fd_encoding_t encodings[FD_HISTORY_MAX + 1];
  size_t encoding_count;
  fd_bucket_t answers;
  fd_bucket_t pages;
  fd_bucket_t wholes;

  fd_source_t source;
  fd_join_t join;
};

/* What became of a document. */
typedef enum
{
  FD_APPLIED, /* now in force */
  FD_RAISED,  /* in force already; its revision was raised */
  FD_HELD,    /* in force already, with that revision or a higher one */
  FD_OLD,     /* not above the version in force */
  FD_CORRUPT, /* its digest is not the one claimed */
  FD_REFUSED  /* invalid, or its number is not the one claimed */
} fd_verdict_t;

/* Judges DOCUMENT claimed to be VERSION and puts it in force when it is valid and above the
 * version in force. Number 0 in VERSION: from the source, which states only the revision. */
fd_verdict_t fd_judge_document (fd_node_t *node, const fb_version_t *version,
                                fb_bytes_t document);

/* Raises the revision of the document in force to that of VERSION, which has its digest. */
fd_verdict_t fd_raise_revision (fd_node_t *node, const fb_version_t *version);

/* Returns whether VERSION was refused before. */
bool fd_is_refused (const fd_node_t *node, const fb_version_t *version);

/* Finds the held document with DIGEST, in force or earlier. */
bool fd_find_document (const fd_node_t *node, const fb_digest_t *digest, fb_bytes_t *document);

/* Frees the documents held. */
void fd_clear_documents (fd_node_t *node);

/* Drops the cached encodings, which belong to the version in force. */
void fd_clear_encodings (fd_node_t *node);

/* Caches FRAME, taken over, as the encoding of the document in force against BASE. */
void fd_cache_encoding (fd_node_t *node, const fb_digest_t *base, uint8_t *frame,
                        size_t length);

/* Notes that peer ID announced VERSION and fetches it if nothing is being fetched. */
void fd_note_announcer (fd_node_t *node, const fb_name_t *id, const fb_version_t *version);

/* Forgets announcers that have nothing above the version in force. */
void fd_drop_announcers (fd_node_t *node);

/* Handles a DOCUMENT. */
void fd_handle_document (fd_node_t *node, const fw_control_t *message);

/* Ends a fetch that timed out and starts the next. */
void fd_tick_fetch (fd_node_t *node);

/* Answer SUMMARY_ASK, FETCH and MEMBERS_ASK of member TO. */
void fd_answer_summary (fd_node_t *node, const fw_member_t *to, const fw_control_t *message);
void fd_answer_fetch (fd_node_t *node, const fw_member_t *to, const fw_control_t *message);
void fd_answer_members (fd_node_t *node, const fw_member_t *to, const fw_control_t *message);

/* Starts a join: the node is not ready until it has caught up. */
void fd_start_join (fd_node_t *node);

/* Handle the answers of members during a join. */
void fd_handle_join_summary (fd_node_t *node, const fw_control_t *message);
void fd_handle_join_members (fd_node_t *node, const fw_control_t *message);

/* Asks further members when due. */
void fd_tick_join (fd_node_t *node);

/* Becomes ready when the readiness rule holds. */
void fd_check_ready (fd_node_t *node);

/* Reads the source when due. */
void fd_tick_source (fd_node_t *node);

/* Works out again whether this node is a reader. */
void fd_update_reader (fd_node_t *node);

/* Returns whether the process was paused since the last tick. */
bool fd_is_paused (const fd_node_t *node);

/* Starts a join when the process was paused. */
void fd_check_pause (fd_node_t *node);

/* Returns a message of KIND from this node. */
fw_control_t fd_make_message (const fd_node_t *node, fw_control_kind_t kind, uint64_t request);

/* Returns a number for a new question. */
uint64_t fd_next_request (fd_node_t *node);

/* Returns whether DIGEST is the zero digest, which stands for no document. */
bool fd_is_zero_digest (const fb_digest_t *digest);

#endif
