/* Pace of an instance that has started or recovered. During a ramp the responses are judged in
 * rounds of a few calls: a round with usual service times raises the limit, one with slow
 * responses or a failure holds it, one with much slower responses or many failures lowers it.
 * Service times are compared by rank, as ratio of the measured to the usual one, and by median,
 * since calls of one rank differ by a factor of 7 and more. */
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/call/pace.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Latest calls whose median ratio is judged. With service times that are mostly exponential,
 * the logarithm of this median has a standard deviation of 0.25. */
#define WINDOW_SIZE 16

/* Least number of calls of a round. */
#define ROUND_MIN 6

/* Largest median ratio of a round that raises the limit, and of one that does not lower it. An
 * instance at half speed is between them. */
#define RATIO_GOOD 1.4
#define RATIO_BAD 2.8

/* Fraction of the slots with which a ramp begins. */
#define FIRST_FRACTION 0.25

/* Factor of the limit in a good round, and least addition. */
#define GROWTH_FACTOR 1.5
#define GROWTH_MIN 1.0

#define SLOW_DECREASE_FACTOR 0.75
#define FAILURE_DECREASE_FACTOR 0.5

/* Fraction of failed calls with which a round lowers the limit. After JUDGED_TIME a round
 * raises the limit with a lower fraction than LASTING_FAILURE_FRACTION. */
#define FAILURE_FRACTION 0.5
#define LASTING_FAILURE_FRACTION 0.75

/* Failed calls in a row that begin a ramp. With 5, a fifth of failures that lie elsewhere, such
 * as in calls that the instance makes, would begin one every 6 s at 500 calls per second. */
#define FAILURE_RUN 10

/* Time after a ramp in which failures begin no other. They may not be the instance's own, and a
 * low limit would then only add refusals. */
#define FAILURE_RUN_PAUSE (30 * FB_SECOND)

/* A ratio that is lower by this factor than the best one so far is an improvement. */
#define IMPROVEMENT_FACTOR 0.9

/* Time without an improvement after which the speed is taken for the usual one, and least
 * number of rounds in it. 2.5 s took an instance that is cold for 3 s for a slow one. */
#define SETTLING_TIME (5 * FB_SECOND)
#define SETTLING_ROUNDS 3

/* Time of a ramp after which only lasting failures are judged, so that it ends also where the
 * service time grows with the calls that run, or some calls always fail. */
#define JUDGED_TIME (15 * FB_SECOND)

/* Step of the medians of service times, as of the picker's. */
#define LOG_STEP 0.05

/* Calls at par after which this node's own service time of a rank is used. */
#define OWN_SAMPLES_MIN 20

/* Calls of a rank, the first ones of a ramp, whose mean logarithmic service time shows a rise
 * with the limit. */
#define RAMP_SAMPLES 16

#define SERVICE_TIME_MIN FB_MICROSECOND

typedef struct
{
  double
      log_own; /* moving median of the logarithm of the service time at par, ns; 0 for none */
  uint32_t own_samples;
  double log_expected; /* like LOG_OWN, of what the entry nodes expect */
  double log_ramp; /* mean of the logarithm of the first service times of the present ramp */
  uint32_t ramp_samples;
} rank_times_t;

struct fr_pace
{
  fr_pace_law_t law;
  fb_time_t ramp_time;
  const fb_clock_t *clock;
  fr_pace_hooks_t hooks;
  uint32_t slots;
  rank_times_t ranks[FC_RANKS_MAX];
  bool ramping;
  fr_pace_cause_t cause;
  fb_time_t begun_at;
  double limit;
  bool has_rounds;                /* a round of this ramp has ended */
  double log_ratios[WINDOW_SIZE]; /* ring of the latest calls of the ramp */
  uint32_t ratio_count;
  uint32_t round_calls;
  uint32_t round_failures;
  double log_slowness; /* median ratio of the last round */
  double log_baseline; /* ratio that is taken for the usual one */
  double log_best;     /* lowest median ratio since SETTLING_SINCE */
  bool settling;       /* the last round was not good */
  fb_time_t settling_since;
  uint32_t settling_rounds;
  uint32_t consecutive_failures; /* at par */
  fb_time_t ended_at;            /* end of the last ramp; valid if HAS_ENDED */
  bool has_ended;
};

fr_pace_t *
fr_create_pace (fr_pace_law_t law, fb_time_t ramp_time, const fb_clock_t *clock,
                const fr_pace_hooks_t *hooks)
{
  fr_pace_t *pace = g_new0 (fr_pace_t, 1);

  pace->law = law;
  pace->ramp_time = ramp_time;
  pace->clock = clock;
  if (hooks)
    pace->hooks = *hooks;
  pace->slots = 1;
  return pace;
}

void
fr_destroy_pace (fr_pace_t *pace)
{
  g_free (pace);
}

static double
get_first_limit (const fr_pace_t *pace)
{
  return MAX (ceil (pace->slots * FIRST_FRACTION), 1);
}

void
fr_set_pace_slots (fr_pace_t *pace, uint32_t slots)
{
  uint32_t old_slots = pace->slots;

  FB_INVARIANT (slots > 0);
  pace->slots = slots;
  if (!pace->ramping || slots == old_slots)
    return;
  /* The number of slots becomes known with the first call, often after the ramp has begun. */
  pace->limit = pace->has_rounds ? CLAMP (pace->limit * slots / old_slots, 1, slots)
                                 : get_first_limit (pace);
}

static void
reset_rounds (fr_pace_t *pace)
{
  pace->ratio_count = 0;
  pace->round_calls = 0;
  pace->round_failures = 0;
  pace->settling = false;
}

void
fr_begin_ramp (fr_pace_t *pace, fr_pace_cause_t cause)
{
  bool is_new = !pace->ramping || pace->cause != cause;

  pace->ramping = true;
  pace->cause = cause;
  pace->begun_at = fb_read_clock (pace->clock);
  pace->limit = get_first_limit (pace);
  pace->has_rounds = false;
  pace->log_baseline = 0;
  pace->log_slowness = 0;
  pace->consecutive_failures = 0;
  for (size_t i = 0; i < FC_RANKS_MAX; i++)
    pace->ranks[i].ramp_samples = 0;
  reset_rounds (pace);
  if (is_new && pace->hooks.begun)
    pace->hooks.begun (cause, pace->hooks.user);
}

void
fr_forget_service_times (fr_pace_t *pace)
{
  for (size_t i = 0; i < FC_RANKS_MAX; i++)
    pace->ranks[i] = (rank_times_t){ .log_expected = pace->ranks[i].log_expected };
}

/* Returns MEDIAN moved at most one step towards SAMPLE; 0 stands for no sample. */
static double
step_median (double median, double sample)
{
  return median == 0 ? sample : median + CLAMP (sample - median, -LOG_STEP, LOG_STEP);
}

static double
get_log_time (fb_time_t service_time)
{
  return log ((double)MAX (service_time, SERVICE_TIME_MIN));
}

static rank_times_t *
find_rank_times (fr_pace_t *pace, uint32_t rank)
{
  return &pace->ranks[MIN (rank, FC_RANKS_MAX - 1)];
}

void
fr_note_expected_service (fr_pace_t *pace, uint32_t rank, fb_time_t service_time)
{
  rank_times_t *times = find_rank_times (pace, rank);

  if (service_time > 0)
    times->log_expected = step_median (times->log_expected, get_log_time (service_time));
}

static void
end_ramp (fr_pace_t *pace)
{
  pace->ramping = false;
  pace->consecutive_failures = 0;
  pace->ended_at = fb_read_clock (pace->clock);
  pace->has_ended = true;
  if (pace->hooks.ended)
    pace->hooks.ended (pace->cause, fb_read_clock (pace->clock) - pace->begun_at,
                       pace->hooks.user);
}

/* Returns the logarithm of the usual service time of TIMES, after at least one call of the
 * ramp. Unless known from calls at par, it is what the entry nodes expect, but at most that of
 * the first calls: when all instances are cold together, the entry nodes expect the service
 * time of cold ones. */
static double
get_reference (const rank_times_t *times)
{
  if (times->own_samples >= OWN_SAMPLES_MIN)
    return times->log_own;
  return times->log_expected > 0 ? MIN (times->log_expected, times->log_ramp) : times->log_ramp;
}

static void
add_ramp_sample (rank_times_t *times, double log_time)
{
  if (times->ramp_samples >= RAMP_SAMPLES)
    return;
  times->log_ramp
      = (times->log_ramp * times->ramp_samples + log_time) / (times->ramp_samples + 1);
  times->ramp_samples++;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Returns the median of the latest logarithms of ratios, at least one. */
static double
get_median_ratio (const fr_pace_t *pace)
{
  uint32_t count = MIN (pace->ratio_count, WINDOW_SIZE);
  double sorted[WINDOW_SIZE];

  for (uint32_t i = 0; i < count; i++)
    sorted[i] = pace->log_ratios[i];
  qsort (sorted, count, sizeof sorted[0], compare_doubles);
  return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
}

/* Counts a round that was not good. When slow rounds bring no improvement, the instance is not
 * cold but slow: its speed becomes the usual one. */
static void
settle (fr_pace_t *pace, double log_ratio, fb_time_t now)
{
  if (!pace->settling || log_ratio < pace->log_best + log (IMPROVEMENT_FACTOR))
    {
      pace->settling = true;
      pace->settling_since = now;
      pace->settling_rounds = 0;
      pace->log_best = log_ratio;
    }
  pace->settling_rounds++;
  if (pace->settling_rounds < SETTLING_ROUNDS || now - pace->settling_since < SETTLING_TIME)
    return;
  pace->log_baseline += log_ratio;
  pace->settling = false;
  pace->ratio_count = 0;
}

static double
grow (double limit)
{
  return MAX (limit * GROWTH_FACTOR, limit + GROWTH_MIN);
}

/* Returns the next limit after a round with the median RATIO to the usual service time. */
static double
get_next_limit (const fr_pace_t *pace, double ratio)
{
  double target;

  switch (pace->law)
    {
    case FR_PACE_AIMD:
      if (ratio <= RATIO_GOOD)
        return grow (pace->limit);
      return ratio <= RATIO_BAD ? pace->limit : pace->limit * SLOW_DECREASE_FACTOR;
    case FR_PACE_GRADIENT:
      return pace->limit * CLAMP (RATIO_GOOD / ratio, 0.5, 1) + sqrt (pace->limit);
    case FR_PACE_SHARE:
      target = pace->slots * MIN (RATIO_GOOD / ratio, 1);
      return MIN (grow (pace->limit), MAX (target, 1));
    case FR_PACE_TIMED:
      break;
    }
  return pace->limit;
}

/* Judges a round without failures by its service times, and ends the ramp when it is over. */
static void
judge_service_times (fr_pace_t *pace, bool judged, fb_time_t now)
{
  double old_limit = pace->limit;
  double log_ratio = 0;

  if (judged && pace->ratio_count > 0)
    {
      pace->log_slowness = get_median_ratio (pace);
      log_ratio = pace->log_slowness - pace->log_baseline;
    }
  pace->limit = CLAMP (get_next_limit (pace, exp (log_ratio)), 1, pace->slots);
  /* Calls that ran under another limit say nothing about this one. */
  if (pace->limit != old_limit)
    pace->ratio_count = 0;
  if (log_ratio > log (RATIO_GOOD))
    settle (pace, log_ratio, now);
  else
    {
      pace->settling = false;
      if (pace->limit >= pace->slots)
        end_ramp (pace);
    }
}

static void
end_round (fr_pace_t *pace)
{
  fb_time_t now = fb_read_clock (pace->clock);
  bool judged = now - pace->begun_at < JUDGED_TIME;
  double failed = (double)pace->round_failures / pace->round_calls;

  pace->has_rounds = true;
  pace->round_calls = 0;
  pace->round_failures = 0;
  if (judged && failed >= FAILURE_FRACTION)
    pace->limit = MAX (pace->limit * FAILURE_DECREASE_FACTOR, 1);
  else if (failed == 0 || (!judged && failed < LASTING_FAILURE_FRACTION))
    judge_service_times (pace, judged, now);
}

/* Counts a failed call at par. */
static void
count_failure (fr_pace_t *pace)
{
  pace->consecutive_failures++;
  if (pace->consecutive_failures < FAILURE_RUN
      || (pace->has_ended && fb_read_clock (pace->clock) - pace->ended_at < FAILURE_RUN_PAUSE))
    return;
  fr_begin_ramp (pace, FR_PACE_FAILURES);
}

static void
record_at_par (rank_times_t *times, double log_time)
{
  times->log_own = step_median (times->log_own, log_time);
  times->own_samples = MIN (times->own_samples + 1, OWN_SAMPLES_MIN);
}

void
fr_record_paced_call (fr_pace_t *pace, uint32_t rank, fb_time_t service_time, bool failed)
{
  rank_times_t *times = find_rank_times (pace, rank);
  double log_time = get_log_time (service_time);

  if (!pace->ramping)
    {
      if (failed)
        {
          count_failure (pace);
          return;
        }
      pace->consecutive_failures = 0;
      record_at_par (times, log_time);
      return;
    }
  if (pace->law == FR_PACE_TIMED)
    {
      if (fr_get_pace_permille (pace) == FR_PACE_PAR)
        end_ramp (pace);
      return;
    }
  pace->round_calls++;
  if (failed)
    pace->round_failures++;
  else
    {
      add_ramp_sample (times, log_time);
      pace->log_ratios[pace->ratio_count++ % WINDOW_SIZE] = log_time - get_reference (times);
    }
  if (pace->round_calls >= MAX (fr_get_pace_limit (pace), ROUND_MIN))
    end_round (pace);
}

/* Returns the limit before rounding. */
static double
get_limit (const fr_pace_t *pace)
{
  fb_time_t elapsed = fb_read_clock (pace->clock) - pace->begun_at;
  double limit = pace->limit;

  if (!pace->ramping)
    return pace->slots;
  if (pace->law == FR_PACE_TIMED)
    limit = pace->slots * (double)elapsed / (double)MAX (pace->ramp_time, 1);
  return CLAMP (limit, 1, pace->slots);
}

void
fr_note_warm (fr_pace_t *pace)
{
  if (pace->ramping && pace->cause != FR_PACE_FAILURES)
    end_ramp (pace);
}

uint32_t
fr_get_pace_limit (const fr_pace_t *pace)
{
  return (uint32_t)get_limit (pace);
}

uint32_t
fr_get_pace_permille (const fr_pace_t *pace)
{
  double share = get_limit (pace) / pace->slots;

  if (pace->ramping && pace->log_slowness > 0)
    share /= exp (pace->log_slowness);
  return MAX ((uint32_t)(share * FR_PACE_PAR), 1);
}

bool
fr_is_ramping (const fr_pace_t *pace)
{
  return pace->ramping;
}

const char *
fr_describe_pace_cause (fr_pace_cause_t cause)
{
  switch (cause)
    {
    case FR_PACE_STARTED:
      return "started";
    case FR_PACE_NEW_INSTANCE:
      return "new-instance";
    case FR_PACE_CONNECTION:
      return "connection";
    case FR_PACE_FAILURES:
      return "failures";
    case FR_PACE_EVACUATION:
      return "evacuation";
    case FR_PACE_COLD:
      return "cold";
    }
  return "unknown";
}
