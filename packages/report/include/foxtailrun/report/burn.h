/* Burn rates: how fast calls use up the error budgets of service-level objectives. */
#ifndef FOXTAILRUN_REPORT_BURN_H
#define FOXTAILRUN_REPORT_BURN_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/config/snapshot.h>

/* Result of a call by its objective; all but FS_GOOD are bad and use up error budget. */
typedef enum
{
  FS_GOOD,    /* answered within the target */
  FS_REFUSED, /* not run */
  FS_LATE,    /* answered after the target */
  FS_FAILED,  /* the backend server failed */
  FS_UNKNOWN, /* may have run; no complete answer */
  FS_CAUSE_COUNT
} fs_cause_t;

typedef enum
{
  FS_WINDOW_5M,
  FS_WINDOW_30M,
  FS_WINDOW_1H,
  FS_WINDOW_6H,
  FS_WINDOW_COUNT
} fs_window_t;

#define FS_WINDOW_LONGEST FS_WINDOW_6H

/* Complete buckets of a window. The current bucket is added to them, so that a window spans its
 * length and at most 1/30 more. */
#define FS_WINDOW_BUCKETS 30

/* Burn rates that both windows of an alert must reach. They use up the budget of 30 days in
 * about 2 and 5 days. */
#define FS_PAGE_BURN_RATE 14.4
#define FS_TICKET_BURN_RATE 6.0

/* Largest burn rate; also that of any bad call when a ratio of 1 allows none. */
#define FS_BURN_RATE_MAX 1e6

typedef enum
{
  FS_ALERT_NONE,
  FS_ALERT_TICKET, /* 30 min and 6 h are at FS_TICKET_BURN_RATE or more */
  FS_ALERT_PAGE    /* 5 min and 1 h are at FS_PAGE_BURN_RATE or more */
} fs_alert_t;

typedef struct
{
  fb_name_t service;
  fb_name_t rank;
  uint32_t target_ms;
  double ratio; /* required fraction of good calls, 0 to 1 */
} fs_objective_t;

/* Calls of one window. */
typedef struct
{
  uint64_t calls[FS_CAUSE_COUNT];
  fb_time_t reach_min; /* shortest time span that the counts of a node cover, in ns */
  fb_time_t reach_max; /* longest such time span, in ns */
} fs_counts_t;

/* Counts of one objective on one node, or merged. */
typedef struct
{
  fs_objective_t objective;
  fs_counts_t windows[FS_WINDOW_COUNT];
} fs_objective_counts_t;

/* Counts of one process. Each objective uses 2.5 KB plus its name, the largest configuration
 * (FC_OBJECTIVES_MAX) about 11 MB. */
typedef struct fs_burn fs_burn_t;

/* Creates counts without objectives; CLOCK is borrowed. Destroy with fs_destroy_burn. */
fs_burn_t *fs_create_burn (const fb_clock_t *clock);

/* Frees BURN; NULL is allowed. */
void fs_destroy_burn (fs_burn_t *burn);

/* Replaces the objectives by those of SNAPSHOT, or by none when it is NULL; keeps no reference
 * to SNAPSHOT. An objective of the same service, rank and target retains its counts even when
 * its ratio changes. With another target it restarts at zero, because its calls were classified
 * by the old target. */
void fs_set_objectives (fs_burn_t *burn, const fc_snapshot_t *snapshot);

/* Counts a call that ended now, DURATION ns after it arrived. CAUSE is FS_GOOD for an answer of
 * any latency; it is counted as FS_LATE when DURATION exceeds the target. Calls without an
 * objective are ignored. */
void fs_count_call (fs_burn_t *burn, fb_str_t service, fb_str_t rank, fs_cause_t cause,
                    fb_time_t duration);

/* Returns the number of objectives. */
size_t fs_count_objectives (const fs_burn_t *burn);

/* Stores the counts of objective INDEX, in the order of the document, in COUNTS; false when
 * INDEX is out of range. */
bool fs_get_objective_counts (fs_burn_t *burn, size_t index, fs_objective_counts_t *counts);

/* Returns the length of WINDOW in ns, and its name, such as "5m". */
fb_time_t fs_get_window_length (fs_window_t window);
const char *fs_describe_window (fs_window_t window);

/* Returns the name of CAUSE, such as "refused". */
const char *fs_describe_cause (fs_cause_t cause);

/* Returns "page", "ticket" or "-". */
const char *fs_describe_alert (fs_alert_t alert);

/* Returns all calls, and those that burn budget. */
uint64_t fs_count_calls (const fs_counts_t *counts);
uint64_t fs_count_bad (const fs_counts_t *counts);

/* Returns the fraction of bad calls in COUNTS divided by 1 - RATIO, at most FS_BURN_RATE_MAX; 0
 * without calls. */
double fs_compute_burn_rate (const fs_counts_t *counts, double ratio);

/* Returns the alert that COUNTS raise; a page takes precedence over a ticket. */
fs_alert_t fs_evaluate_alert (const fs_objective_counts_t *counts);

/* Returns the fraction of the error budget of the longest window that remains; negative when it
 * is overspent. */
double fs_compute_budget_left (const fs_objective_counts_t *counts);

/* Returns whether two objectives are equal in every field. */
bool fs_equal_objective (const fs_objective_t *a, const fs_objective_t *b);

/* Adds the counts of FROM, of the same objective, to INTO. */
void fs_merge_objective_counts (fs_objective_counts_t *into, const fs_objective_counts_t *from);

#endif
