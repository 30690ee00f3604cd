/* State shared by the files of this package. */
#ifndef FOXTAILRUN_DIST_STATE_H
#define FOXTAILRUN_DIST_STATE_H

#include "dist-bucket.h"
#include <foxtailrun/dist/node.h>
#include <glib.h>

/* Period of fd_tick, and the delay of a tick above which the process counts as paused. */
#define FD_TICK_PERIOD (100 * FB_MILLISECOND)
#define FD_PAUSE_THRESHOLD (2 * FB_SECOND)

/* Earlier documents stored as bases of deltas. */
#define FD_HISTORY_MAX 4

/* Refused documents recorded by digest; the oldest is replaced first. */
#define FD_REFUSALS_MAX 32

/* Peers recorded as announcers of a version above the one in force. */
#define FD_ANNOUNCERS_MAX 8

/* Timeout of a FETCH, and the shortest time between two to one peer. */
#define FD_FETCH_TIMEOUT (1 * FB_SECOND)

/* Attempts at one announcer until it announces again. */
#define FD_FETCH_ATTEMPTS_MAX 3

/* Readers of the source in each zone: two, so that one may fail without effect. */
#define FD_ZONE_READERS 2

/* Limits of the calls of one node to the source. */
#define FD_SOURCE_CALLS_PER_S 1.0
#define FD_SOURCE_CALL_BURST 3.0

/* Back-off after a failed source read: full jitter below a bound that doubles. */
#define FD_SOURCE_BACKOFF_MIN (100 * FB_MILLISECOND)
#define FD_SOURCE_BACKOFF_MAX (5 * FB_SECOND)

/* Interval at which a node checks whether it is a reader. */
#define FD_READER_CHECK_PERIOD (1 * FB_SECOND)

/* Peers from which a joining node requests summaries, and member lists fetched at a time. */
#define FD_JOIN_PEERS 6
#define FD_JOIN_LIST_FETCHES 2

/* A joining node reads the source after a uniform delay of up to this. */
#define FD_JOIN_SOURCE_DELAY_MAX (2 * FB_SECOND)

/* Time after which one response is enough to end a join. */
#define FD_JOIN_TIMEOUT (3 * FB_SECOND)

/* Time between two rounds of requests of a joining node, and timeout of one page. */
#define FD_JOIN_ROUND_PERIOD (1 * FB_SECOND)

/* Responses to SUMMARY_REQUEST and FETCH a second; more are dropped. 3,000 joining nodes
 * that know the same few members cost one of those at most 200 small messages a second. */
#define FD_RESPONSES_PER_S 200.0

/* MEMBERS pages a second, each about 30 KB. */
#define FD_MEMBER_PAGES_PER_S 40.0

/* Full documents a second, and the largest burst of them. */
#define FD_FULL_DOCUMENTS_PER_S 4.0

/* A delta above this many bytes counts as a full document. */
#define FD_SMALL_DELTA_MAX (size_t) (16 * 1024)

typedef struct
{
  fb_digest_t digest;
  uint8_t *data;
  size_t length;
} fd_history_entry_t;

/* A document not fetched again: invalid with NUMBER 0, otherwise a peer claimed NUMBER,
 * which the document does not carry. */
typedef struct
{
  fb_digest_t digest;
  uint64_t number;
} fd_refusal_t;

typedef struct
{
  fb_name_t id;
  fb_version_t version;
  fb_time_t last_fetch_at; /* valid when ATTEMPTS is above 0 */
  uint32_t attempts;
} fd_announcer_t;

typedef struct
{
  fb_digest_t base; /* zero: encoded without a base */
  uint8_t *frame;
  size_t length;
} fd_encoding_t;

typedef struct
{
  bool outstanding;
  uint64_t request_id;
  fb_name_t peer;
  fb_time_t deadline;
  bool full_only; /* the last frame did not decode: request full documents */
} fd_fetch_t;

typedef struct
{
  bool outstanding;
  bool is_reader;
  fb_position_t position; /* last seen; revision 0: read without a wait */
  fb_time_t started_at;
  fb_time_t next_at;
  fb_time_t reader_checked_at; /* when IS_READER was updated */
  uint32_t failures;
  fd_bucket_t call_bucket;
} fd_source_t;

typedef struct
{
  fb_name_t id;
  uint64_t request_id;
  bool responded;
  bool ready;
} fd_join_peer_t;

typedef struct
{
  bool active;
  fb_name_t peer_id;
  uint64_t request_id;
  uint32_t page;
  fb_time_t deadline;
} fd_list_fetch_t;

typedef struct
{
  fb_time_t started_at;
  fb_time_t next_round_at; /* of requests */
  fd_join_peer_t peers[FD_JOIN_PEERS];
  size_t peer_count;
  bool peer_responded; /* at least one since the join started */
  bool source_responded;
  bool member_list_received; /* at least one, with all pages */
  fd_list_fetch_t list_fetches[FD_JOIN_LIST_FETCHES];
} fd_join_t;

typedef struct
{
  fb_counter_t *applied;
  fb_counter_t *revisions_raised;
  fb_counter_t *refused;
  fb_counter_t *claim_mismatches;
  fb_counter_t *digest_mismatches;
  fb_counter_t *invalid_messages;
  fb_counter_t *unknown_senders;
  fb_counter_t *source_reads;
  fb_counter_t *source_failures;
  fb_counter_t *source_stale;
  fb_counter_t *fetches;
  fb_counter_t *fetch_timeouts;
  fb_counter_t *served_full;
  fb_counter_t *served_delta;
  fb_counter_t *responses_dropped;
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
  uint64_t next_request_id;

  bool standalone;           /* no other node takes part */
  const fc_limits_t *limits; /* of documents */
  bool started;              /* the first tick has run */
  bool ready;
  fb_time_t last_tick_at;

  fb_version_t version;
  fc_snapshot_t *snapshot;
  fd_history_entry_t history[FD_HISTORY_MAX]; /* newest first */
  size_t history_count;
  fd_refusal_t refusals[FD_REFUSALS_MAX];
  size_t refusal_count;
  size_t next_refusal;

  fd_announcer_t announcers[FD_ANNOUNCERS_MAX];
  size_t announcer_count;
  fd_fetch_t fetch;

  fd_encoding_t encodings[FD_HISTORY_MAX + 1];
  size_t encoding_count;
  fd_bucket_t response_bucket;
  fd_bucket_t page_bucket;
  fd_bucket_t full_document_bucket;

  fd_source_t source;
  fd_join_t join;
};

typedef enum
{
  FD_DOCUMENT_APPLIED,         /* now in force */
  FD_DOCUMENT_REVISION_RAISED, /* already in force; its revision was raised */
  FD_DOCUMENT_UNCHANGED,       /* already in force with that revision or a higher one */
  FD_DOCUMENT_STALE,           /* not above the version in force */
  FD_DOCUMENT_CORRUPT,         /* its digest differs from the claimed one */
  FD_DOCUMENT_REFUSED          /* invalid, or its number differs from the claimed one */
} fd_document_outcome_t;

/* Checks DOCUMENT, claimed to be VERSION, and applies it when it is valid and above the version
 * in force. VERSION has number 0 for a document of the source, which states only the revision.
 */
fd_document_outcome_t fd_apply_document (fd_node_t *node, const fb_version_t *version,
                                         fb_bytes_t document);

/* Raises the revision of the document in force to that of VERSION, which has the same digest.
 */
fd_document_outcome_t fd_raise_revision (fd_node_t *node, const fb_version_t *version);

bool fd_is_refused (const fd_node_t *node, const fb_version_t *version);

/* Finds the document with DIGEST, in force or in the history; DOCUMENT is borrowed. */
bool fd_find_document (const fd_node_t *node, const fb_digest_t *digest, fb_bytes_t *document);

void fd_clear_documents (fd_node_t *node);

/* Removes the cached encodings, which belong to the version in force. */
void fd_clear_encodings (fd_node_t *node);

/* Caches FRAME, taking ownership, as the encoding of the document in force against BASE. */
void fd_cache_encoding (fd_node_t *node, const fb_digest_t *base, uint8_t *frame,
                        size_t length);

/* Records that peer ID announced VERSION and starts a fetch unless one is outstanding. */
void fd_record_announcer (fd_node_t *node, const fb_name_t *id, const fb_version_t *version);

/* Removes announcers whose version is not above the one in force, or was refused. */
void fd_remove_stale_announcers (fd_node_t *node);

void fd_handle_document (fd_node_t *node, const fw_control_t *message);

/* Ends a fetch that timed out and starts the next. */
void fd_tick_fetch (fd_node_t *node);

/* Respond to SUMMARY_REQUEST, FETCH and MEMBERS_REQUEST of member TO. */
void fd_handle_summary_request (fd_node_t *node, const fw_member_t *to,
                                const fw_control_t *message);
void fd_handle_fetch (fd_node_t *node, const fw_member_t *to, const fw_control_t *message);
void fd_handle_members_request (fd_node_t *node, const fw_member_t *to,
                                const fw_control_t *message);

/* Starts a join: the node is not ready until it has caught up. */
void fd_start_join (fd_node_t *node);

void fd_handle_join_summary (fd_node_t *node, const fw_control_t *message);
void fd_handle_join_members (fd_node_t *node, const fw_control_t *message);

void fd_tick_join (fd_node_t *node);

void fd_update_ready (fd_node_t *node);

void fd_tick_source (fd_node_t *node);

void fd_update_reader (fd_node_t *node);

bool fd_is_paused (const fd_node_t *node);

void fd_check_pause (fd_node_t *node);

fw_control_t fd_make_message (const fd_node_t *node, fw_control_kind_t kind,
                              uint64_t request_id);

uint64_t fd_next_request_id (fd_node_t *node);

/* Returns whether DIGEST is the zero digest, which stands for no document. */
bool fd_is_zero_digest (const fb_digest_t *digest);

#endif
