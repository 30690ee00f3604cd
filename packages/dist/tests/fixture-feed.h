/* A small fleet of feeds around one store, in simulated time. */
#ifndef FOXTAILRUN_FIXTURE_FEED_H
#define FOXTAILRUN_FIXTURE_FEED_H

#include <foxtailrun/dist/feed.h>
#include <glib.h>

#define FEED_ZONES 3
#define FEED_NODES_MAX 64

/* Poll interval of the feeds, and the time within which every node must know a change. */
#define FEED_POLL_INTERVAL (800 * FB_MILLISECOND)
#define FEED_CHANGE_DEADLINE (2 * FB_SECOND)

typedef struct fleet fleet_t;

/* Fault of a node, or of its path to the store. */
typedef enum
{
  FEED_NO_FAULT,
  FEED_UNRESPONSIVE,     /* accepts requests, never responds; sends no reads or requests */
  FEED_REFUSING,         /* refuses requests; sends no reads or requests */
  FEED_STORE_UNREACHABLE /* the store refuses its reads */
} feed_fault_t;

/* Creates a fleet of COUNT nodes in FEED_ZONES zones, each listed as "i-N" at "10.0.0.N", with
 * a first document, and runs it until all are listed. */
fleet_t *feed_create_fleet (size_t count, uint32_t seed);

/* The same, with feeds that read which zones are evacuated. */
fleet_t *feed_create_fleet_with_evacuation (size_t count, uint32_t seed);

void feed_destroy_fleet (fleet_t *fleet);

void feed_advance (fleet_t *fleet, fb_time_t time);

void feed_set_fault (fleet_t *fleet, size_t node, feed_fault_t fault);

/* Sets whether the store serves reads or refuses them all. */
void feed_set_store_available (fleet_t *fleet, bool available);

/* Sets whether the store accepts reads and never responds. A read that was sent to a silent
 * store gets no response later either. */
void feed_set_store_silent (fleet_t *fleet, bool silent);

/* The connections that the nodes have open to the store go silent, WITH_RELAYS those between
 * nodes too: what is sent on them from now on is lost, new ones work. */
void feed_silence_connections (fleet_t *fleet, bool with_relays);

/* Compacts the changes of the store up to now: reads of changes after an earlier position get
 * FD_RESULT_COMPACTED. */
void feed_compact_store (fleet_t *fleet);

/* Takes a copy of the store, or restores it from the last one: later writes are lost, their
 * positions are given out again, and the store's era rises. A read of changes after a position
 * that the store does not have gets FD_RESULT_COMPACTED. */
void feed_copy_store (fleet_t *fleet);
void feed_restore_store (fleet_t *fleet);

/* From now on the instances do not update their unchanged endpoints once a second. */
void feed_stop_endpoint_updates (fleet_t *fleet);

/* Changes the endpoint of NODE in the store; FW_DEAD removes it. After FW_LEAVING, FW_ALIVE is
 * a later start of the instance. */
void feed_set_endpoint (fleet_t *fleet, size_t node, fw_member_state_t state);

/* Writes into the store that the zone of number ZONE is evacuated, or no longer. */
void feed_set_evacuated (fleet_t *fleet, size_t zone, bool evacuated);

void feed_publish (fleet_t *fleet, const char *text);

/* Returns the node that NODE's outstanding request went to; FEED_NODES_MAX without one. */
size_t feed_get_relay (const fleet_t *fleet, size_t node);

/* Returns the state of OTHER as known to NODE; FW_DEAD when unknown. */
fw_member_state_t feed_get_state (const fleet_t *fleet, size_t node, size_t other);

/* Returns whether the store describes the current start of NODE's instance. */
bool feed_is_current (const fleet_t *fleet, size_t node);

fw_member_state_t feed_get_endpoint_state (const fleet_t *fleet, size_t node);

/* Ends NODE and starts it again; it knows nothing then. Requests of other nodes to it go
 * unanswered.
 */
void feed_restart_node (fleet_t *fleet, size_t node);

/* Returns whether the newest document of NODE is TEXT. */
bool feed_has_text (const fleet_t *fleet, size_t node, const char *text);

bool feed_has_newest_document (const fleet_t *fleet, size_t node);

bool feed_is_healthy (const fleet_t *fleet, size_t node);

/* Return the number of reads of the store by all nodes, and of those of the document alone. */
size_t feed_count_reads (const fleet_t *fleet);
size_t feed_count_document_reads (const fleet_t *fleet);

/* Return the number of reads of everything, and of the evacuations alone, by all nodes. */
size_t feed_count_full_reads (const fleet_t *fleet);
size_t feed_count_evacuation_reads (const fleet_t *fleet);

/* Returns whether NODE knows the zone of number ZONE as evacuated. */
bool feed_is_evacuated (const fleet_t *fleet, size_t node, size_t zone);

#endif
