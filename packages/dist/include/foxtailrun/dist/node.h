/* Distribution of the configuration on one node: reads of the source, dissemination, join and
 * catch-up. */
#ifndef FOXTAILRUN_DIST_NODE_H
#define FOXTAILRUN_DIST_NODE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/base/position.h>
#include <foxtailrun/config/snapshot.h>
#include <foxtailrun/member/table.h>
#include <foxtailrun/wire/control.h>

/* Longest wait of one watch. Bounds the delay of a change that a watch misses (lost
 * response, index reset with a response in transit, silent connection) and leaves 2 s of the 6
 * s limit for dissemination. With 16 readers it makes 4 calls a second. */
#define FD_WATCH_WAIT_MAX (4 * FB_SECOND)

typedef struct
{
  /* Sends a control message to a member; both are borrowed. */
  void (*send) (const fw_member_t *to, const fw_control_t *message, void *user);
  /* Starts a read of the source's document; at once for revision 0, otherwise waits up to
   * FD_WATCH_WAIT_MAX for a position above POSITION. Ends by fd_handle_source_result. At most
   * one is outstanding. */
  void (*read_source) (fb_position_t position, void *user);
  /* Applies SNAPSHOT in one step; the receiver retains it as long as it needs it. */
  void (*apply) (fc_snapshot_t *snapshot, const fb_version_t *version, void *user);
  /* READY is whether the node may accept calls. */
  void (*set_ready) (bool ready, void *user);
  /* A published document was refused; no change in it is applied. */
  void (*document_refused) (const fb_version_t *version, const fc_problems_t *problems,
                            void *user);
  void *user;
} fd_hooks_t;

typedef struct fd_node fd_node_t;

/* Creates the distribution state of this node. Borrows MEMBERS, CLOCK, COUNTERS and LOG
 * (may be NULL), copies HOOKS; SEED starts the random numbers. The join starts with the first
 * tick. */
fd_node_t *fd_create_node (fm_table_t *members, uint32_t seed, const fb_clock_t *clock,
                           fb_counters_t *counters, fb_log_t *log, const fd_hooks_t *hooks);

/* Sets the node to run alone: it always reads the source, needs only its response to become
 * ready, and stays ready after a pause of the process. Call before the first tick. */
void fd_set_standalone (fd_node_t *node);

/* Sets the limits of documents, those of operators' documents before; LIMITS must be static.
 * Call before the first tick. */
void fd_set_limits (fd_node_t *node, const fc_limits_t *limits);

/* Frees the node; NULL is allowed. */
void fd_destroy_node (fd_node_t *node);

/* Handles the announcement that SENDER has VERSION in force; call from the membership's
 * summary_received hook. */
void fd_handle_summary (fd_node_t *node, const fw_member_t *sender,
                        const fb_version_t *version);

/* Fetches PEER's differing member list by pages, unless two lists are being fetched. Call
 * from the membership's diverged hook. */
void fd_handle_divergence (fd_node_t *node, const fw_member_t *peer);

/* Handles a control message from another node. */
void fd_handle_message (fd_node_t *node, const fw_control_t *message);

/* Ends a source read: STATUS is FB_OK with POSITION and DOCUMENT, FB_NOT_FOUND when nothing is
 * published, FB_TIMEOUT for no change, anything else for a failed read. Returns false if the
 * document is refused. */
bool fd_handle_source_result (fd_node_t *node, fb_status_t status, fb_position_t position,
                              fb_bytes_t document);

/* Runs what is due; call every 100 ms. Over 2 s late means a pause of the process: the node
 * is no longer ready and joins again. */
void fd_tick (fd_node_t *node);

/* Returns whether the node may accept calls. */
bool fd_is_ready (const fd_node_t *node);

/* Returns whether this node now reads the source, by its view of its zone. */
bool fd_is_reader (const fd_node_t *node);

/* Returns the version in force; its number is 0 when there is none. */
const fb_version_t *fd_get_version (const fd_node_t *node);

/* Returns the snapshot in force, or NULL; owned by the node. */
fc_snapshot_t *fd_get_snapshot (const fd_node_t *node);

#endif
