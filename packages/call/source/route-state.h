/* State of the picker, shared by its files. */
#ifndef FOXTAILRUN_CALL_ROUTE_STATE_H
#define FOXTAILRUN_CALL_ROUTE_STATE_H

#include <foxtailrun/call/picker.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>

/* Limit of the instances of one service that a node sends calls to. */
#define SUBSET_SIZE_MAX 16

/* Places in the subset for instances of the same zone and of other zones of the same region. */
#define SUBSET_ZONE_QUOTA 10
#define SUBSET_REGION_QUOTA 4

/* Time over which the calls to a new or returned instance ramp up. */
#define SLOW_START_DURATION (10 * FB_SECOND)

typedef enum
{
  DISTANCE_SAME_ZONE,
  DISTANCE_SAME_REGION,
  DISTANCE_OTHER,
  DISTANCE_COUNT
} distance_t;

typedef struct service service_t;

typedef struct
{
  uint32_t in_flight;
  double log_latency; /* moving median of the logarithm of the latency in ns; 0 before the first
                         sample */
  fb_time_t latency_sampled_at;
  double log_service_time; /* like log_latency, of the time at the backend server */
  fb_time_t expected_wait; /* of the next call, as last reported */
  fb_time_t wait_reported_at;
} rank_stats_t;

typedef struct
{
  fw_member_t member;
  service_t *service;
  uint64_t rendezvous_weight; /* of this node and the instance */
  bool removed;               /* left or dead; the entry remains for its calls in flight */
  bool in_subset;
  uint32_t in_flight; /* of all ranks */
  rank_stats_t rank_stats[FC_RANKS_MAX];
  uint32_t load; /* per 1,000 slots, as last reported */
  fb_time_t load_reported_at;
  uint64_t rate_limit_milli;    /* calls per 1,000 s, as last reported; 0 for none */
  uint64_t limited_incarnation; /* that RATE_LIMIT_MILLI is about */
  fb_time_t slow_start_begin;
  bool tried;             /* a call was sent to it since SLOW_START_BEGIN */
  uint32_t pace_permille; /* as last reported; 0 for none */
  fb_time_t pace_reported_at;
  uint32_t consecutive_failures;
  uint32_t ejections; /* since the last successful attempt */
  uint32_t consecutive_unreachable;
  fb_time_t ejected_until; /* 0 when not ejected */
} instance_t;

struct service
{
  char *name;
  GPtrArray *instances; /* instance_t that are not removed */
  GPtrArray *subset;    /* of instances, at most SUBSET_SIZE_MAX; valid unless subset_stale */
  bool subset_stale;    /* instances changed since the subset was chosen */
  double log_latencies[FC_RANKS_MAX]; /* by rank, of all instances, as in rank_stats_t */
  double log_service_times[FC_RANKS_MAX];
  uint64_t round_robin_next; /* FR_PICK_ROUND_ROBIN */
};

struct fr_picker
{
  fr_pick_policy_t policy;
  fb_name_t self;
  fb_name_t zone;
  bool tries_new_instances;
  fb_name_t region; /* from this node's own member record; empty before */
  const fb_clock_t *clock;
  GRand *random;
  GHashTable *instances;       /* id -> instance_t */
  GHashTable *services;        /* name -> service_t */
  GHashTable *evacuated_zones; /* set of fb_name_t */
};

typedef struct
{
  instance_t *instances[SUBSET_SIZE_MAX];
  size_t count;
} candidates_t;

/* route-pick.c */

/* Returns the service NAME with its subset refreshed, or NULL. */
service_t *fr_find_service (const fr_picker_t *picker, fb_str_t name);

/* Collects CANDIDATES from the same zone, or from farther away when the nearer ones are fewer
 * than two or full; ejected and suspect instances only when there are no others. */
void fr_find_candidates (const fr_picker_t *picker, const service_t *service,
                         const fb_name_t *excluded, size_t excluded_count,
                         candidates_t *candidates);

/* route-locality.c */

/* Picks one of CANDIDATES, at least one, for a call with LATENCY_TARGET. NULL for a retry
 * when only other zones remain and would miss the target. */
instance_t *fr_pick_by_locality (fr_picker_t *picker, const candidates_t *candidates,
                                 uint32_t rank, fb_time_t latency_target, bool is_retry,
                                 fb_time_t now);

/* route-subset.c */

/* Returns the distance of INSTANCE; while the own region is unknown, other zones count as
 * the same region. */
distance_t fr_get_distance (const fr_picker_t *picker, const instance_t *instance);

/* Returns whether the zone of INSTANCE is evacuated; the subset has no such instance. */
bool fr_is_evacuated (const fr_picker_t *picker, const instance_t *instance);

/* Chooses the subset of SERVICE when its instances have changed; call before each use,
 * because sorting at each change is too slow when many members of a large service join at
 * once. */
void fr_refresh_subset (const fr_picker_t *picker, service_t *service);

/* route-outlier.c */

bool fr_is_ejected (const instance_t *instance, fb_time_t now);

/* Counts an attempt and ejects INSTANCE after EJECT_FAILURES consecutive failures. */
void fr_record_attempt (instance_t *instance, bool failed, fb_time_t now);

/* Ejects an unreachable INSTANCE for a short time, doubled while it stays so. */
void fr_eject_unreachable (instance_t *instance, fb_time_t now);

size_t fr_count_subset_ejected (const service_t *service, fb_time_t now);

/* route-score.c */

/* Adds a sample of the latency of RANK; a failed attempt never lowers the latency. */
void fr_sample_latency (instance_t *instance, uint32_t rank, fb_time_t latency, bool failed,
                        fb_time_t now);

void fr_sample_service_time (instance_t *instance, uint32_t rank, fb_time_t service_time);

/* Adds a sample of a run that was cancelled after SERVICE_TIME ns, if it had already taken
 * longer than the median: an instance whose slow runs are all cancelled must not look fast. */
void fr_sample_service_time_min (instance_t *instance, uint32_t rank, fb_time_t service_time);

/* Returns the expected cost of another call of RANK on INSTANCE; lower is better. */
double fr_score_instance (const instance_t *instance, uint32_t rank, fb_time_t now);

/* Returns whether the pace that INSTANCE's node reported is recent enough to be used. */
bool fr_has_pace (const instance_t *instance, fb_time_t now);

/* Returns the weight of INSTANCE by the pace that its node reported, otherwise by the time of
 * its slow start; at most 1. */
double fr_get_slow_start_weight (const instance_t *instance, fb_time_t now);

/* Returns whether INSTANCE recently reported that all its slots are in use. */
bool fr_is_full (const instance_t *instance, fb_time_t now);

#endif
