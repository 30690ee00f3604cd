/* A dozen whole nodes on a manual clock, with a fake network and a fake source. */
#ifndef FOXTAILRUN_STANDINS_FLEET_H
#define FOXTAILRUN_STANDINS_FLEET_H

#include <foxtailrun/dist/node.h>
#include <glib.h>

#define SF_HOSTS_MAX 12
#define SF_STEP (10 * FB_MILLISECOND)

/* Properties of every link; the rest of a delay is uniform up to DELAY_MAX. */
typedef struct
{
  fb_time_t delay_min;
  fb_time_t delay_max;
  double loss;
  double duplication;
  double corruption; /* share of DOCUMENTs with another document or number */
} sf_link_t;

typedef struct sf_fleet sf_fleet_t;

/* One host and its process. */
typedef struct
{
  sf_fleet_t *fleet;
  size_t index;
  fw_member_t self;
  fb_counters_t *counters;
  fm_table_t *table; /* NULL while no process runs */
  fd_node_t *node;
  uint64_t starts; /* processes started on this host */
  bool paused;
  GQueue inbox;         /* events that arrived during a pause */
  uint32_t partition;   /* of the partition */
  fb_version_t highest; /* applied by this process */
  fb_time_t reached_at;
  bool ready;
  fb_time_t started_at;
  fb_time_t joining_at;             /* start of the process or end of its last pause */
  uint64_t summaries_received;      /* SUMMARY received since then */
  uint64_t source_values;           /* answers to source reads started since then */
  uint64_t source_calls;            /* of this process */
  fb_time_t next_host_list_read_at; /* next look at the host list */
  uint64_t sent_bytes;
  struct
  {
    bool waiting;
    uint64_t index;
    fb_time_t deadline;
    fb_time_t called_at;
  } watch;
} sf_host_t;

/* The fake source: one register; reads may be served from an older value. */
typedef struct
{
  bool down;
  bool frozen;  /* serves the value it had when it froze */
  double stale; /* probability that a read without a wait returns an older value */
  uint64_t index;
  GBytes *document;       /* borrowed from VALUES, as is SEEN */
  bool valid;             /* of the document */
  uint64_t visible_index; /* what readers see */
  GBytes *visible_document;
  GPtrArray *values; /* every value since the last reset of the index */
  GArray *indexes;   /* of the values */
  uint64_t calls;
  uint64_t bytes; /* of the documents returned */
} sf_source_t;

struct sf_fleet
{
  fb_clock_t *clock;
  GRand *random;
  GSequence *events;
  uint64_t serial;
  sf_link_t link;
  sf_host_t hosts[SF_HOSTS_MAX];
  size_t count;
  size_t zones;
  sf_source_t source;
  fb_counters_t *totals; /* counters of ended processes */
  GHashTable *valid;     /* digests in hex of the valid documents published */
  GHashTable *refused;   /* digests in hex of refused documents */
};

/* Creates a fleet of COUNT nodes in ZONES zones, all started; one region for every two zones.
 */
sf_fleet_t *sf_create_fleet (uint32_t seed, size_t count, size_t zones);
void sf_destroy_fleet (sf_fleet_t *fleet);

/* Runs DURATION, checking the invariants after every step. */
void sf_run_fleet (sf_fleet_t *fleet, fb_time_t duration);

/* End and start of the process of a host; a pause keeps the process and its messages. */
void sf_kill_host (sf_fleet_t *fleet, size_t index);
void sf_start_host (sf_fleet_t *fleet, size_t index);
void sf_pause_host (sf_fleet_t *fleet, size_t index);
void sf_resume_host (sf_fleet_t *fleet, size_t index);

/* Returns a valid document; the caller unrefs it. PADDING adds routes to it. */
GBytes *sf_make_document (uint64_t number, uint32_t salt, uint32_t padding);

/* Writes a document, taken over, to the source; VALID tells whether nodes may apply it. */
void sf_publish_document (sf_fleet_t *fleet, GBytes *document, bool valid);

/* Freezes what readers see, ends an outage or a freeze, and lowers the index. */
void sf_freeze_source (sf_fleet_t *fleet);
void sf_restore_source (sf_fleet_t *fleet);
void sf_reset_index (sf_fleet_t *fleet);

/* Returns the highest version that a running node or the source holds. */
fb_version_t sf_get_highest (const sf_fleet_t *fleet);

/* Returns whether all running nodes are ready and have VERSION in force. */
bool sf_has_converged (const sf_fleet_t *fleet, const fb_version_t *version);

/* Prints the state of each node to standard error. */
void sf_print_fleet (const sf_fleet_t *fleet);

#endif
