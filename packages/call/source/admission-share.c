/* Which rank gets the next slot, and how long a new call waits for one. */
#include "admission-state.h"
#include <math.h>

/* Part of the slots that the estimate of the wait leaves to a rank at least; keeps it finite.
 */
#define AVAILABLE_FRACTION_MIN 0.01

/* Part of the slots held back from the least urgent rank while more urgent ones have traffic,
 * and the fewest slots with which any is held back. A slot is not taken back from a long call,
 * so without free slots urgent work waits for the end of one. */
#define RESERVE_FRACTION 0.2
#define RESERVE_TOTAL_SLOTS_MIN 5

/* Part of the slots that more urgent ranks use at least for a reserve to be kept. */
#define RESERVE_URGENT_USAGE_MIN 0.02

/* Share that FR_POLICY_FAIR gives a rank without one. */
#define FAIR_SHARE_MIN 0.01

void
fr_update_usage (fr_admission_t *admission)
{
  fb_time_t now = fb_read_clock (admission->clock);
  double kept;

  if (now == admission->usage_updated_at)
    return;
  kept = exp (-(double)(now - admission->usage_updated_at) / (double)USAGE_TIME_CONSTANT);
  admission->usage_updated_at = now;
  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);

      rank->usage = rank->usage * kept + rank->started * (1 - kept);
    }
}

bool
fr_is_below_share (const fr_admission_t *admission, const rank_t *rank)
{
  return rank->usage < rank->options.share * admission->slots;
}

/* Returns the slots that RANK leaves free when it is over its share; the less urgent, the more.
 */
static uint32_t
get_reserve (const fr_admission_t *admission, const rank_t *rank)
{
  uint32_t most = (uint32_t)ceil (admission->slots * RESERVE_FRACTION);
  double urgent = 0;

  if (rank->index == 0 || admission->slots < RESERVE_TOTAL_SLOTS_MIN)
    return 0;
  for (uint32_t i = 0; i < rank->index; i++)
    urgent += ((rank_t *)g_ptr_array_index (admission->ranks, i))->usage;
  if (urgent < admission->slots * RESERVE_URGENT_USAGE_MIN)
    return 0;
  return most * rank->index / MAX (admission->ranks->len - 1, 1);
}

/* The most urgent rank that is below its share goes first, then the most urgent one. */
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
      && admission->started + get_reserve (admission, urgent) >= admission->slots)
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
  rank_t *least = NULL;
  double least_used = 0;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      rank_t *rank = g_ptr_array_index (admission->ranks, i);
      double used = rank->usage / MAX (rank->options.share, FAIR_SHARE_MIN);

      if (rank->waiting > 0 && (least == NULL || used < least_used))
        {
          least = rank;
          least_used = used;
        }
    }
  return least;
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

/* Returns the part of the slots that RANK can count on: what more urgent ranks use and less
 * urgent ranks use within their guarantee is gone, its own guarantee is not. */
static double
get_available_fraction (const fr_admission_t *admission, const rank_t *rank)
{
  double available = 1;

  for (size_t i = 0; i < admission->ranks->len; i++)
    {
      const rank_t *other = g_ptr_array_index (admission->ranks, i);
      double used = other->usage / admission->slots;

      if (other->index < rank->index)
        available -= used;
      else if (other->index > rank->index)
        available -= MIN (used, other->options.share);
    }
  return MAX (MAX (available, rank->options.share), AVAILABLE_FRACTION_MIN);
}

/* Returns the expected wait of a call that AHEAD calls of RANK start before. */
static double
estimate_wait_behind (const fr_admission_t *admission, const rank_t *rank, double ahead)
{
  if (admission->started < admission->slots && admission->waiting == 0)
    return 0;
  return (ahead + 1) * rank->service_time_ns
         / (admission->slots * get_available_fraction (admission, rank));
}

double
fr_estimate_wait (const fr_admission_t *admission, const flow_t *flow, bool again)
{
  return estimate_wait_behind (admission, flow->rank,
                               again ? flow->retries_waiting : fr_count_calls_ahead (flow));
}

fb_time_t
fr_get_expected_wait (const fr_admission_t *admission, uint32_t index)
{
  const rank_t *rank
      = g_ptr_array_index (admission->ranks, MIN (index, admission->ranks->len - 1));

  return (fb_time_t)estimate_wait_behind (admission, rank, (double)rank->waiting);
}
