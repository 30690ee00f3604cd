/* Distribution of the configuration: source reads, dissemination, join and catch-up of one
 * node. */
#ifndef FOXTAILRUN_DIST_NODE_H
#define FOXTAILRUN_DIST_NODE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/config/snapshot.h>
#include <foxtailrun/member/table.h>
#include <foxtailrun/wire/control.h>

/* Longest wait of one watch. Whatever makes a watch miss a change (a lost answer, an index that
 * was reset while an answer was under way, a silent connection) costs at most this long, which
 * leaves 2 s of the 6 s target for spreading. With 16 readers it makes 4 calls a second. */
#define FD_WATCH_WAIT (4 * FB_SECOND)

typedef struct
{
  /* Sends a control message to a member; both are borrowed. */
  void (*send) (const fw_member_t *to, const fw_control_t *message, void *user);
  /* Starts a read of the source's document; INDEX 0 reads at once, otherwise the read waits up
   * to FD_WATCH_WAIT for an index above it. Ends by fd_handle_source_value. At most one read is
   * outstanding. */
  void (*read_source) (uint64_t index, void *user);
  /* Puts SNAPSHOT in force in one step; the receiver retains what it keeps. */
  void (*apply) (fc_snapshot_t *snapshot, const fb_version_t *version, void *user);
  /* The node may take calls, or may not any longer. */
  void (*set_ready) (bool ready, void *user);
  /* A published document was refused whole. */
  void (*refused) (const fb_version_t *version, const fc_problems_t *problems, void *user);
  void *user;
} fd_hooks_t;

typedef struct fd_node fd_node_t;

/* Creates the distribution state of this node; MEMBERS, CLOCK, COUNTERS and LOG (may be NULL)
 * are borrowed, HOOKS is copied, SEED starts the random numbers. The node starts to join at its
 * first tick. */
fd_node_t *fd_create_node (fm_table_t *members, uint32_t seed, const fb_clock_t *clock,
                           fb_counters_t *counters, fb_log_t *log, const fd_hooks_t *hooks);

/* From now on no other node takes part: this one always reads the source, whose answer alone
 * makes it ready, and a pause of the process does not end that. Call it before the first tick.
 */
void fd_set_standalone (fd_node_t *node);

/* Frees the node; NULL is allowed. */
void fd_destroy_node (fd_node_t *node);

/* SENDER has VERSION in force; call it from the membership's heard hook. */
void fd_handle_summary (fd_node_t *node, const fw_member_t *sender,
                        const fb_version_t *version);

/* PEER holds another member list: fetches it page by page unless two lists are being fetched.
 * Call it from the membership's diverged hook. */
void fd_handle_divergence (fd_node_t *node, const fw_member_t *peer);

/* Handles a control message from another node. */
void fd_handle_message (fd_node_t *node, const fw_control_t *message);

/* Ends a source read: STATUS FB_OK with INDEX and DOCUMENT, FB_NOT_FOUND when nothing is
 * published, FB_TIMEOUT when the wait ended without a change, anything else for a failed read.
 */
void fd_handle_source_value (fd_node_t *node, fb_status_t status, uint64_t index,
                             fb_bytes_t document);

/* Runs whatever is due; call it every 100 ms. A call that comes over 2 s late means that the
 * process was paused: the node stops being ready and joins again. */
void fd_tick (fd_node_t *node);

/* Returns whether the node may take calls. */
bool fd_is_ready (const fd_node_t *node);

/* Returns whether this node reads the source now, by its own view of its zone. */
bool fd_is_reader (const fd_node_t *node);

/* Returns the version in force; number 0 when none. */
const fb_version_t *fd_get_version (const fd_node_t *node);

/* Returns the snapshot in force, or NULL; owned by the node. */
fc_snapshot_t *fd_get_snapshot (const fd_node_t *node);

#endif
