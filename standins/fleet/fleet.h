/* Up to twelve complete nodes on a manual clock, with a simulated network and source. */
#ifndef FOXTAILRUN_STANDINS_FLEET_H
#define FOXTAILRUN_STANDINS_FLEET_H

#include <foxtailrun/dist/node.h>
#include <glib.h>

#define SF_HOSTS_MAX 12
#define SF_STEP (10 * FB_MILLISECOND)

/* Every link: delays uniform from DELAY_MIN to DELAY_MAX; the others are probabilities per
 * message. */
typedef struct
{
  fb_time_t delay_min;
  fb_time_t delay_max;
  double loss;
  double duplication;
  double corruption; /* of a DOCUMENT: its content or number is altered */
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
  uint64_t start_count; /* of processes on this host; numbers the current one */
  bool paused;
  GQueue inbox;              /* events that arrive during a pause */
  uint32_t partition;        /* hosts reach those with the same number */
  fb_version_t last_version; /* at the last check of this process */
  fb_time_t applied_at;
  bool ready;
  fb_time_t started_at;
  fb_time_t join_started_at;        /* start, or end of a pause that lost readiness */
  uint64_t summaries_received;      /* SUMMARY messages since then */
  uint64_t source_values;           /* responses to source reads started since then */
  uint64_t source_calls;            /* of this process */
  fb_time_t next_host_list_read_at; /* next probe of the listed hosts */
  uint64_t sent_bytes;
  struct
  {
    bool waiting;
    uint64_t index;
    fb_time_t deadline;
    fb_time_t requested_at;
  } watch;
} sf_host_t;

/* The simulated source: one register. Reads may return an older value. */
typedef struct
{
  bool down;
  bool frozen;  /* serves the value of the freeze */
  double stale; /* probability of an older value for a read without a wait */
  uint64_t index;
  GBytes *document;       /* borrowed from VALUES, as is VISIBLE_DOCUMENT */
  bool valid;             /* of the document */
  uint64_t visible_index; /* served to readers */
  GBytes *visible_document;
  GPtrArray *values; /* all values since the last reset of the index */
  GArray *indexes;   /* of the values */
  uint64_t calls;
  uint64_t bytes; /* of the documents returned */
} sf_source_t;

struct sf_fleet
{
  fb_clock_t *clock;
  GRand *random;
  GSequence *events;
  uint64_t next_serial;
  sf_link_t link;
  sf_host_t hosts[SF_HOSTS_MAX];
  size_t count;
  size_t zones;
  sf_source_t source;
  fb_counters_t *totals; /* counters of ended processes */
  GHashTable *valid;     /* hex digests of valid documents */
  GHashTable *refused;   /* hex digests of refused documents */
};

/* Creates and starts a fleet of COUNT nodes in ZONES zones; two zones form a region. Freed by
 * sf_destroy_fleet. */
sf_fleet_t *sf_create_fleet (uint32_t seed, size_t count, size_t zones);
void sf_destroy_fleet (sf_fleet_t *fleet);

/* Advances the clock by DURATION, checking the invariants in each SF_STEP. */
void sf_run_fleet (sf_fleet_t *fleet, fb_time_t duration);

/* End, start, suspend and resume host INDEX. Messages during a pause are queued. */
void sf_kill_host (sf_fleet_t *fleet, size_t index);
void sf_start_host (sf_fleet_t *fleet, size_t index);
void sf_pause_host (sf_fleet_t *fleet, size_t index);
void sf_resume_host (sf_fleet_t *fleet, size_t index);

/* Returns a valid document with PADDING routes besides the first; SALT determines which route
 * differs and how. The caller unrefs it. */
GBytes *sf_make_document (uint64_t number, uint32_t salt, uint32_t padding);

/* Writes DOCUMENT, whose reference passes to the source. VALID: whether nodes may apply it. */
void sf_publish_document (sf_fleet_t *fleet, GBytes *document, bool valid);

/* Freeze keeps serving the present value, restore ends an outage or a freeze, and reset lowers
 * the index. */
void sf_freeze_source (sf_fleet_t *fleet);
void sf_restore_source (sf_fleet_t *fleet);
void sf_reset_index (sf_fleet_t *fleet);

/* Returns the highest valid version at the running nodes and the source. */
fb_version_t sf_get_highest (const sf_fleet_t *fleet);

/* Returns whether all running nodes are ready and have applied VERSION. */
bool sf_has_converged (const sf_fleet_t *fleet, const fb_version_t *version);

/* Prints the state of each node to standard error. */
void sf_print_fleet (const sf_fleet_t *fleet);

#endif
