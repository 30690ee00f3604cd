/* Choice of the rank that gets the next slot, and estimate of the wait for a slot. */
#include "admission-state.h"
#include <math.h>

/* Lower bound of the fraction of slots assumed for a rank; keeps the estimated wait finite. */
#define AVAILABLE_FRACTION_MIN 0.01

/* Fraction of the slots that the least urgent rank leaves free while more urgent ranks have
 * traffic. Slots are not preempted, so otherwise an urgent call waits for the end of a long
 * one. */
#define RESERVE_FRACTION 0.2

/* Least number of slots of which some are reserved, and of starts of a cold backend server in a
 * window: with fewer, a reserve of one start would be more than a quarter of them. */
#define RESERVING_SLOTS_MIN 5
#define RESERVING_STARTS_MIN (4 * FR_WARMUP_PARTS)

/* Fraction of the slots that more urgent ranks must use for a reserve to apply. */
#define RESERVE_URGENT_USAGE_MIN 0.02

/* Least share that FR_POLICY_FAIR assumes for a rank. */
#define ASSUMED_SHARE_MIN 0.01

void
fr_update_usage (fr_admission_t *admission)
{
  fb_time_t now = fb_read_clock (admission->clock);
  double decay;

  if (now == admission->usage_updated_at)
    return;
  decay = exp (-(double)(now - admission->usage_updated_at) / (double)USAGE_TIME_CONSTANT);
  admission->usage_updated_at = now;
  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);

      rank->usage = rank->usage * decay + rank->started * (1 - decay);
      rank->start_rate *= decay;
    }
}

/* Sets RATE to the rate limit in force; returns false if there is none. */
static bool
get_rate_limit (const fr_admission_t *admission, double *rate)
{
  return admission->rate_limit != NULL && fr_get_rate_limit (admission->rate_limit, rate);
}

/* Returns the calls that a cold backend server may get in a second; 0 while it is warm. */
static size_t
get_warmup_limit (const fr_admission_t *admission)
{
  return admission->warmup != NULL ? fr_get_warmup_limit (admission->warmup) : 0;
}

/* Sets RATE to the lowest limit of the starts per second; returns false if there is none. */
static bool
get_start_limit (const fr_admission_t *admission, double *rate)
{
  size_t warmup_limit = get_warmup_limit (admission);
  bool limited = get_rate_limit (admission, rate);

  if (warmup_limit == 0)
    return limited;
  *rate = limited ? MIN (*rate, (double)warmup_limit) : (double)warmup_limit;
  return true;
}

bool
fr_is_below_share (const fr_admission_t *admission, const rank_t *rank)
{
  double rate;

  /* Calls of different length take the same part of a limit of the starts. */
  if (get_start_limit (admission, &rate))
    return rank->start_rate < rank->options.share * rate;
  return rank->usage < rank->options.share * fr_get_slots_in_force (admission);
}

bool
fr_can_start_by_limit (const fr_admission_t *admission)
{
  return (admission->rate_limit == NULL || fr_get_start_delay (admission->rate_limit, 0) == 0)
         && (admission->warmup == NULL || fr_get_warmup_delay (admission->warmup, 0) == 0);
}

/* Returns the slots that RANK leaves free when over its share, growing linearly from the
 * most to the least urgent rank. */
static uint32_t
get_reserve (const fr_admission_t *admission, const rank_t *rank)
{
  uint32_t reserve_max = (uint32_t)ceil (fr_get_slots_in_force (admission) * RESERVE_FRACTION);
  double urgent_usage = 0;
  double prompt_usage = 0;

  if (rank->index == 0 || fr_get_slots_in_force (admission) < RESERVING_SLOTS_MIN)
    return 0;
  for (uint32_t i = 0; i < rank->index; i++)
    {
      const rank_t *urgent = g_ptr_array_index (admission->ranks, i);

      urgent_usage += urgent->usage;
      if (!urgent->options.can_wait)
        prompt_usage += urgent->usage;
    }
  if (urgent_usage < fr_get_slots_in_force (admission) * RESERVE_URGENT_USAGE_MIN)
    return 0;
  /* Calls that can wait need only the next slot that becomes free. */
  if (prompt_usage < fr_get_slots_in_force (admission) * RESERVE_URGENT_USAGE_MIN)
    reserve_max = MIN (reserve_max, 1);
  return reserve_max * rank->index / MAX (admission->ranks->len - 1, 1);
}

/* Returns the starts that RANK, over its share, leaves free in the part of a window over which
 * starts are spread: urgent calls wait for the next part once it is full. */
static size_t
get_warmup_reserve (const fr_admission_t *admission, const rank_t *rank)
{
  size_t limit = get_warmup_limit (admission);
  double urgent_rate = 0;

  if (limit < RESERVING_STARTS_MIN || rank->index == 0)
    return 0;
  for (uint32_t i = 0; i < rank->index; i++)
    urgent_rate += ((rank_t *)g_ptr_array_index (admission->ranks, i))->start_rate;
  if (urgent_rate < (double)limit * RESERVE_URGENT_USAGE_MIN)
    return 0;
  return (size_t)ceil ((double)limit / FR_WARMUP_PARTS * RESERVE_FRACTION * rank->index
                       / MAX (admission->ranks->len - 1, 1));
}

/* Returns whether RANK, over its share, leaves enough starts of a cold backend server free. */
static bool
keeps_warmup_reserve (const fr_admission_t *admission, const rank_t *rank)
{
  size_t reserve = get_warmup_reserve (admission, rank);

  return reserve == 0 || fr_get_warmup_delay (admission->warmup, (double)reserve) == 0;
}

/* Returns, of the ranks with waiting calls, the most urgent one below its share, otherwise
 * the most urgent one if the reserve allows it. NULL when no call waits or the reserve forbids
 * it. */
static rank_t *
choose_by_share (const fr_admission_t *admission)
{
  rank_t *urgent = NULL;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);

      if (rank->waiting == 0)
        continue;
      if (fr_is_below_share (admission, rank))
        return rank;
      if (urgent == NULL)
        urgent = rank;
    }
  if (urgent != NULL
      && (admission->started + get_reserve (admission, urgent)
              >= fr_get_slots_in_force (admission)
          || !keeps_warmup_reserve (admission, urgent)))
    return NULL;
  return urgent;
}

static rank_t *
choose_by_arrival (const fr_admission_t *admission)
{
  rank_t *oldest = NULL;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);

      if (rank->waiting > 0
          && (oldest == NULL
              || fr_peek_entry (rank)->arrival_number < fr_peek_entry (oldest)->arrival_number))
        oldest = rank;
    }
  return oldest;
}

static rank_t *
choose_by_relative_usage (const fr_admission_t *admission)
{
  rank_t *lowest = NULL;
  double lowest_usage = 0;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);
      double relative_usage = rank->usage / MAX (rank->options.share, ASSUMED_SHARE_MIN);

      if (rank->waiting > 0 && (lowest == NULL || relative_usage < lowest_usage))
        {
          lowest = rank;
          lowest_usage = relative_usage;
        }
    }
  return lowest;
}

rank_t *
fr_choose_rank (const fr_admission_t *admission)
{
  if (admission->waiting == 0)
    return NULL;
  switch (admission->policy)
    {
    case FR_POLICY_FIFO:
    case FR_POLICY_ADAPTIVE:
      return choose_by_arrival (admission);
    case FR_POLICY_FAIR:
      return choose_by_relative_usage (admission);
    case FR_POLICY_STRICT:
      for (size_t i = 0; i < admission->ranks->len; i++)
        {
          rank_t *rank = g_ptr_array_index (admission->ranks, i);

          if (rank->waiting > 0)
            return rank;
        }
      return NULL;
    case FR_POLICY_SHARES:
      break;
    }
  return choose_by_share (admission);
}

/* Returns the fraction of TOTAL, of which GET_USED returns a rank's part, available to RANK:
 * all except what is used by more urgent ranks, or by less urgent ones within their shares, but
 * at least its own share. */
static double
get_available_fraction (const fr_admission_t *admission, const rank_t *rank, double total,
                        double (*get_used) (const rank_t *rank))
{
  double available = 1;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      const rank_t *other = g_ptr_array_index (admission->ranks, i);
      double used = get_used (other) / total;

      if (other->index < rank->index)
        available -= used;
      else if (other->index > rank->index)
        available -= MIN (used, other->options.share);
    }
  return MAX (MAX (available, rank->options.share), AVAILABLE_FRACTION_MIN);
}

static double
get_usage (const rank_t *rank)
{
  return rank->usage;
}

static double
get_start_rate (const rank_t *rank)
{
  return rank->start_rate;
}

/* Returns the expected wait in ns of a call with CALLS_AHEAD calls of RANK before it. */
static double
estimate_wait_behind (const fr_admission_t *admission, const rank_t *rank, double calls_ahead)
{
  if (admission->started < fr_get_slots_in_force (admission) && admission->waiting == 0)
    return 0;
  return (calls_ahead + 1) * rank->service_time_ns
         / (fr_get_slots_in_force (admission)
            * get_available_fraction (admission, rank, fr_get_slots_in_force (admission),
                                      get_usage));
}

/* Returns the expected wait in ns for the rate limit of a call with CALLS_AHEAD calls before
 * it.
 */
static double
estimate_rate_limit_wait (const fr_admission_t *admission, const rank_t *rank,
                          double calls_ahead)
{
  fb_time_t delay;
  double rate;

  if (!get_rate_limit (admission, &rate))
    return 0;
  delay = fr_get_start_delay (admission->rate_limit, calls_ahead);
  if (delay == 0)
    return 0;
  return (double)delay
         / get_available_fraction (admission, rank, MAX (rate, FR_RATE_MIN), get_start_rate);
}

/* The same for the limit of a cold backend server. */
static double
estimate_warmup_wait (const fr_admission_t *admission, const rank_t *rank, double calls_ahead)
{
  size_t limit = get_warmup_limit (admission);
  fb_time_t delay;

  if (admission->warmup == NULL || !fr_is_cold (admission->warmup))
    return 0;
  if (!fr_is_below_share (admission, rank))
    calls_ahead += (double)get_warmup_reserve (admission, rank);
  delay = fr_get_warmup_delay (admission->warmup, calls_ahead);
  if (delay == 0 || limit == 0)
    return (double)delay;
  return (double)delay
         / get_available_fraction (admission, rank, (double)limit, get_start_rate);
}

/* Returns the expected wait in ns for the limits of the starts of a call with CALLS_AHEAD calls
 * of RANK before it; sets REFUSAL to that of the longer one. */
static double
estimate_limit_wait_behind (const fr_admission_t *admission, const rank_t *rank,
                            double calls_ahead, fr_refusal_t *refusal)
{
  double rate_limit_wait;
  double warmup_wait;

  for (uint32_t i = 0; i < rank->index; i++)
    calls_ahead += (double)((rank_t *)g_ptr_array_index (admission->ranks, i))->waiting;
  rate_limit_wait = estimate_rate_limit_wait (admission, rank, calls_ahead);
  warmup_wait = estimate_warmup_wait (admission, rank, calls_ahead);
  *refusal = warmup_wait > rate_limit_wait ? FR_REFUSED_WARMING_UP : FR_REFUSED_RATE_LIMIT;
  return MAX (rate_limit_wait, warmup_wait);
}

/* A caller retry is queued before the other calls of its customer. */
static double
count_calls_ahead (const flow_t *flow, bool goes_first)
{
  return goes_first ? flow->first_waiting : fr_count_calls_ahead (flow);
}

double
fr_estimate_wait (const fr_admission_t *admission, const flow_t *flow, bool goes_first)
{
  return estimate_wait_behind (admission, flow->rank, count_calls_ahead (flow, goes_first));
}

double
fr_estimate_limit_wait (const fr_admission_t *admission, const flow_t *flow, bool goes_first,
                        fr_refusal_t *refusal)
{
  return estimate_limit_wait_behind (admission, flow->rank,
                                     count_calls_ahead (flow, goes_first), refusal);
}

fb_time_t
fr_get_expected_wait (const fr_admission_t *admission, uint32_t rank_index)
{
  const rank_t *rank
      = g_ptr_array_index (admission->ranks, MIN (rank_index, admission->ranks->len - 1));
  double waiting = (double)rank->waiting;
  fr_refusal_t refusal;

  return (fb_time_t)MAX (estimate_wait_behind (admission, rank, waiting),
                         estimate_limit_wait_behind (admission, rank, waiting, &refusal));
}
