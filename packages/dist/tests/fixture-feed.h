/* A small fleet of feeds around one store, in simulated time. */
#ifndef FOXTAILRUN_FIXTURE_FEED_H
#define FOXTAILRUN_FIXTURE_FEED_H

#include <foxtailrun/dist/feed.h>
#include <glib.h>

#define FEED_ZONES 3
#define FEED_NODES_MAX 64

/* Pace of the feeds, and the time in which every node must know a change. */
#define FEED_PACE (800 * FB_MILLISECOND)
#define FEED_BOUND (2 * FB_SECOND)

typedef struct fleet fleet_t;

/* How a node, or its way to the store, is disturbed. */
typedef enum
{
  FEED_GOOD,
  FEED_SILENT, /* takes asks and never answers; does nothing itself */
  FEED_DEAD,   /* refuses asks; does nothing itself */
  FEED_AWAY    /* the store refuses its reads */
} feed_trouble_t;

/* Creates a fleet of COUNT nodes in FEED_ZONES zones, each listed as "i-N" at "10.0.0.N", with
 * a first document, and lets it run until all are listed. */
fleet_t *feed_create_fleet (size_t count, uint32_t seed);

void feed_destroy_fleet (fleet_t *fleet);

/* Lets TIME pass. */
void feed_pass (fleet_t *fleet, fb_time_t time);

void feed_trouble (fleet_t *fleet, size_t node, feed_trouble_t trouble);

/* The store answers, or refuses everyone. */
void feed_set_store (fleet_t *fleet, bool good);

/* The store forgets the changes before now. */
void feed_forget (fleet_t *fleet);

/* Changes the entry of NODE; FW_DEAD removes it. */
void feed_enter (fleet_t *fleet, size_t node, fw_member_state_t state);

/* Publishes TEXT. */
void feed_publish (fleet_t *fleet, const char *text);

/* Returns the node that NODE asked last, or FEED_NODES_MAX while it reads itself. */
size_t feed_get_relay (const fleet_t *fleet, size_t node);

/* Returns the state of OTHER as NODE knows it, FW_DEAD when it does not know it. */
fw_member_state_t feed_get_state (const fleet_t *fleet, size_t node, size_t other);

/* Returns the state of the entry of NODE in the store. */
fw_member_state_t feed_get_entry (const fleet_t *fleet, size_t node);

/* Returns whether NODE holds the newest document. */
bool feed_holds_document (const fleet_t *fleet, size_t node);

/* Returns whether NODE is undisturbed. */
bool feed_is_good (const fleet_t *fleet, size_t node);

/* Returns reads of the store, all nodes together, and those of the document alone. */
size_t feed_count_reads (const fleet_t *fleet);
size_t feed_count_document_reads (const fleet_t *fleet);

#endif
