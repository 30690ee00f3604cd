/* A simulation of one service on a manual clock: simulated callers, entry nodes with the real
 * picker, retry budget and throttle, and instances with the real admission. */
#ifndef FOXTAILRUN_BENCH_SIM_SERVICE_H
#define FOXTAILRUN_BENCH_SIM_SERVICE_H

#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/pace.h>
#include <foxtailrun/call/picker.h>
#include <glib.h>

#define SIM_RANKS 4
#define SIM_CUSTOMERS 20
#define SIM_INSTANCES_MAX 30

/* Bins of the calls that returned instances answer, for SIM_RETURN_TIME after their return. */
#define SIM_BINS 200
#define SIM_BIN_TIME (100 * FB_MILLISECOND)
#define SIM_RETURN_TIME (SIM_BINS * SIM_BIN_TIME)

typedef struct
{
  const char *name;
  uint32_t instances;
  uint32_t slots;
} sim_deployment_t;

/* Behaviour of callers and instances. Loads are fractions of the capacity in slot time. */
typedef struct
{
  const char *name;
  double scale;            /* of the steady load of each rank */
  double flood[SIM_RANKS]; /* load added to a rank */
  double customer_flood;   /* load that customer 0 adds to SIM_FLOODED_RANK */
  double slowness;         /* service time of instance 0 relative to the others */
  double failure;          /* fraction of its calls that instance 1 fails at once */
  uint32_t returning;      /* instances 0 and up that are absent until the measurement begins,
                              which lasts for SIM_RETURN_TIME then; 0 for none */
  fb_time_t cold_time;     /* for which a returned instance is cold */
  double cold_slowness;    /* service time of a cold instance relative to the others */
  uint32_t cold_slots;     /* calls that a cold instance runs without a further delay */
  fb_time_t flap_time;     /* instance 0 ends and starts at this interval; 0 for never */
  double time_scale[SIM_RANKS]; /* of service time, target and deadline; 0 stands for 1 */
} sim_scenario_t;

/* The rank in which customer 0 sends its flood. */
#define SIM_FLOODED_RANK 1

typedef struct
{
  fr_policy_t admission;
  fr_pick_policy_t pick;
  bool throttle;             /* the entry nodes throttle and retry */
  const fr_pace_law_t *pace; /* NULL for none, the fixed ramp at the entry nodes */
} sim_policy_t;

typedef struct
{
  const char *name;
  fb_time_t service;  /* mean time in a slot, ns */
  fb_time_t target;   /* ns */
  fb_time_t deadline; /* ns after the arrival */
  double worth;
  double share;
  double load; /* fraction of the capacity in the steady state */
  bool repeatable;
} sim_rank_t;

extern const sim_rank_t SIM_RANK_TABLE[SIM_RANKS];

typedef struct
{
  uint64_t offered;
  uint64_t answered;  /* answered before the deadline */
  uint64_t in_target; /* answered within the target */
  double slot_time;   /* ns, of calls answered before the deadline */
  GArray *latencies;  /* double, ns, of calls answered before the deadline */
} sim_rank_result_t;

typedef struct
{
  sim_rank_result_t ranks[SIM_RANKS];
  uint64_t others_offered; /* in SIM_FLOODED_RANK, by customers other than 0 */
  uint64_t others_answered;
  uint64_t attempts; /* sent to instances */
  double capacity;   /* slot time available, ns */
  double seconds;    /* length of the measurement */
  /* of the returned instances */
  uint64_t answered_by_bin[SIM_BINS];
  uint64_t late;    /* calls sent there last that were not answered within their target */
  size_t queue_max; /* most calls waiting at one of them */
  double
      par_time; /* mean time in s after which the pace was at par; 0 if it was not, or none */
} sim_result_t;

/* Runs SCENARIO; the result is freed by sim_clear_result. */
sim_result_t sim_run_service (const sim_deployment_t *deployment,
                              const sim_scenario_t *scenario, const sim_policy_t *policy,
                              uint32_t seed);

/* Frees the latencies of RESULT. */
void sim_clear_result (sim_result_t *result);

/* Returns the given QUANTILE of the latencies of RANK in ms; 0 without any. */
double sim_get_quantile (const sim_rank_result_t *rank, double quantile);

#endif
