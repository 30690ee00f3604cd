/* State of the picker, shared by its files. */
#ifndef FOXTAILRUN_CALL_ROUTE_STATE_H
#define FOXTAILRUN_CALL_ROUTE_STATE_H

#include <foxtailrun/call/picker.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>

/* Most instances of one service that a node sends to. */
#define SUBSET_SIZE_MAX 16

/* Places of the subset kept for the own zone and for the rest of the own region. */
#define SUBSET_ZONE_QUOTA 10
#define SUBSET_REGION_QUOTA 4

/* Time over which a new or returned instance gets its full part. */
#define SLOW_START_DURATION (10 * FB_SECOND)

/* How far an instance is away. */
typedef enum
{
  DISTANCE_SAME_ZONE,
  DISTANCE_SAME_REGION,
  DISTANCE_OTHER,
  DISTANCE_COUNT
} distance_t;

typedef struct service service_t;

/* What was observed of one rank at one instance. */
typedef struct
{
  uint32_t in_flight;
  double log_latency; /* moving median of the logarithm of ns; 0 before the first sample */
  fb_time_t latency_sampled_at; /* of the last sample */
  double log_service_time;      /* the same of the time at the backend server */
  fb_time_t expected_wait;      /* that a call may expect, as last reported */
  fb_time_t wait_reported_at;
} rank_stats_t;

typedef struct
{
  fw_member_t member;
  service_t *service;
  uint64_t rendezvous_weight; /* rendezvous weight for this node */
  bool removed;               /* left or dead, and kept only for the calls in flight */
  bool in_subset;
  uint32_t in_flight; /* of all ranks */
  rank_stats_t rank_stats[FC_RANKS_MAX];
  uint32_t load; /* per 1,000 slots, as last reported */
  fb_time_t load_reported_at;
  fb_time_t slow_start_begin;    /* start of the slow start */
  uint32_t consecutive_failures; /* in a row */
  uint32_t ejections;
  uint32_t consecutive_unreachable; /* in a row */
  fb_time_t ejected_until;          /* 0 when not ejected */
} instance_t;

struct service
{
  char *name;
  GPtrArray *instances; /* instance_t that are not gone */
  GPtrArray *subset;    /* of the above, at most SUBSET_SIZE_MAX; valid unless stale */
  bool subset_stale;    /* the instances changed since the subset was chosen */
  double log_latencies[FC_RANKS_MAX]; /* by rank, over all instances */
  double log_service_times[FC_RANKS_MAX];
  uint64_t round_robin_next; /* FR_PICK_ROUND_ROBIN */
};

struct fr_picker
{
  fr_pick_policy_t policy;
  fb_name_t self;
  fb_name_t zone;
  fb_name_t region; /* learnt from this node's own description; empty before */
  const fb_clock_t *clock;
  GRand *random;
  GHashTable *instances; /* id -> instance_t */
  GHashTable *services;  /* name -> service_t */
};

/* Instances that a pick chooses from. */
typedef struct
{
  instance_t *instances[SUBSET_SIZE_MAX];
  size_t count;
} candidates_t;

/* route-pick.c */

/* Finds a service and brings its subset up to date; NULL when there is none of that NAME. */
service_t *fr_find_service (const fr_picker_t *picker, fb_str_t name);

/* Collects the own zone first, then further away; ejected and suspect instances come last. */
void fr_find_candidates (const fr_picker_t *picker, const service_t *service,
                         const fb_name_t *excluded, size_t excluded_count,
                         candidates_t *candidates);

/* route-near.c */

/* Chooses among CANDIDATES, of which there is at least one, for a call with latency TARGET.
 * Returns NULL for a call that was TRIED before when only a detour is left and would end late.
 */
instance_t *fr_pick_by_locality (fr_picker_t *picker, const candidates_t *candidates,
                                 uint32_t rank, fb_time_t target, bool tried, fb_time_t now);

/* route-subset.c */

/* Returns how far INSTANCE is away. */
distance_t fr_get_distance (const fr_picker_t *picker, const instance_t *instance);

/* Chooses the instances of SERVICE that this node sends to when they have changed; needed
 * before each use of the subset. Doing it at the use keeps a herd of new members from sorting a
 * large service once for each of them. */
void fr_refresh_subset (const fr_picker_t *picker, service_t *service);

/* route-outlier.c */

/* Returns whether INSTANCE is ejected now. */
bool fr_is_ejected (const instance_t *instance, fb_time_t now);

/* Counts a good or failed attempt and ejects INSTANCE when it fails too often in a row. */
void fr_record_attempt (instance_t *instance, bool failed, fb_time_t now);

/* Leaves INSTANCE aside for a short time that grows while it stays unreachable. */
void fr_eject_unreachable (instance_t *instance, fb_time_t now);

/* Returns how many instances of the subset of SERVICE are ejected. */
size_t fr_count_subset_ejected (const service_t *service, fb_time_t now);

/* route-score.c */

/* Takes one sample of the latency of RANK; a failure never makes an instance look faster. */
void fr_sample_latency (instance_t *instance, uint32_t rank, fb_time_t latency, bool failed,
                        fb_time_t now);

/* Takes one sample of the time at the backend server. */
void fr_sample_service_time (instance_t *instance, uint32_t rank, fb_time_t service);

/* Returns the expected cost of one more call of RANK on INSTANCE; the lower is better. */
double fr_score_instance (const instance_t *instance, uint32_t rank, fb_time_t now);

/* Returns the part, 0 to 1, that INSTANCE gets during its slow start. */
double fr_get_slow_start_weight (const instance_t *instance, fb_time_t now);

/* Returns whether a recent report says that every slot of INSTANCE is in use. */
bool fr_is_full (const instance_t *instance, fb_time_t now);

#endif
