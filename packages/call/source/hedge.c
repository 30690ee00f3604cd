/* Hedged calls: durations of attempts by service and rank, and when a second one may start. */
#include <foxtailrun/call/hedge.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>
#include <math.h>

/* Percentile of the durations from which an attempt counts as slow, and the expected time of
 * another one. */
#define SLOW_QUANTILE 0.9
#define EXPECTED_QUANTILE 0.5

/* The upper limit of bucket N is DURATION_MIN * 2 ^ (N / BUCKETS_PER_DOUBLING): estimates are
 * at most 9 % too high. The last bucket begins above a minute. */
#define BUCKETS_PER_DOUBLING 8
#define BUCKET_COUNT 144
#define DURATION_MIN (500 * FB_MICROSECOND)

/* Parts of the sliding period. */
#define SLICE_COUNT 6
#define SLICE_LENGTH (FR_HEDGE_PERIOD / SLICE_COUNT)

typedef struct
{
  uint32_t slices[SLICE_COUNT][BUCKET_COUNT];
  uint32_t sums[BUCKET_COUNT]; /* of the slices */
  uint64_t sample_count;       /* of the sums */
  int64_t slice_number;        /* of the current slice, counted from clock time 0 */
} durations_t;

typedef struct
{
  durations_t *ranks[FC_RANKS_MAX]; /* NULL before the first sample of the rank */
  fb_time_t refused_at;
  bool was_refused;
  fb_time_t used_at;
} service_state_t;

struct fr_hedge
{
  const fb_clock_t *clock;
  double share;
  GHashTable *services; /* service_state_t by name */
  fb_time_t last_sweep_at;
};

static void
destroy_service_state (void *data)
{
  service_state_t *state = data;

  for (size_t i = 0; i < FC_RANKS_MAX; i++)
    g_free (state->ranks[i]);
  g_free (state);
}

fr_hedge_t *
fr_create_hedge (const fb_clock_t *clock)
{
  fr_hedge_t *hedge = g_new0 (fr_hedge_t, 1);

  hedge->clock = clock;
  hedge->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_service_state);
  return hedge;
}

void
fr_destroy_hedge (fr_hedge_t *hedge)
{
  if (hedge == NULL)
    return;
  g_hash_table_destroy (hedge->services);
  g_free (hedge);
}

void
fr_set_hedge_share (fr_hedge_t *hedge, double share)
{
  hedge->share = share;
}

bool
fr_is_hedging_enabled (const fr_hedge_t *hedge)
{
  return hedge->share > 0;
}

static gboolean
is_state_expired (void *key, void *value, void *user)
{
  const service_state_t *state = value;

  return *(const fb_time_t *)user - state->used_at >= FR_HEDGE_PERIOD;
}

/* Returns the state of SERVICE, created when missing; frees that of services without calls. */
static service_state_t *
find_or_add_state (fr_hedge_t *hedge, fb_str_t service)
{
  char *key = fb_copy_text (service);
  fb_time_t now = fb_read_clock (hedge->clock);
  service_state_t *state = g_hash_table_lookup (hedge->services, key);

  if (state == NULL)
    {
      state = g_new0 (service_state_t, 1);
      g_hash_table_insert (hedge->services, g_strdup (key), state);
    }
  g_free (key);
  state->used_at = now;
  if (now - hedge->last_sweep_at >= FR_HEDGE_PERIOD)
    {
      hedge->last_sweep_at = now;
      g_hash_table_foreach_remove (hedge->services, is_state_expired, &now);
    }
  return state;
}

static void
clear_slice (durations_t *durations, size_t slice)
{
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      durations->sums[i] -= durations->slices[slice][i];
      durations->sample_count -= durations->slices[slice][i];
      durations->slices[slice][i] = 0;
    }
}

static void
advance_slices (durations_t *durations, fb_time_t now)
{
  int64_t slice_number = now / SLICE_LENGTH;

  if (slice_number - durations->slice_number >= SLICE_COUNT)
    durations->slice_number = slice_number - SLICE_COUNT;
  while (durations->slice_number < slice_number)
    clear_slice (durations, (size_t)(++durations->slice_number % SLICE_COUNT));
}

/* Returns the durations of SERVICE and RANK in the period before now, or NULL without any. */
static durations_t *
find_durations (fr_hedge_t *hedge, fb_str_t service, uint32_t rank)
{
  durations_t *durations
      = find_or_add_state (hedge, service)->ranks[MIN (rank, FC_RANKS_MAX - 1)];

  if (durations != NULL)
    advance_slices (durations, fb_read_clock (hedge->clock));
  return durations;
}

static size_t
find_bucket (fb_time_t duration)
{
  double bucket = ceil (log2 ((double)MAX (duration, DURATION_MIN) / (double)DURATION_MIN)
                        * BUCKETS_PER_DOUBLING);

  return (size_t)MIN (bucket, BUCKET_COUNT - 1);
}

static fb_time_t
estimate_quantile (const durations_t *durations, double quantile)
{
  double needed = quantile * (double)durations->sample_count;
  uint64_t count = 0;
  size_t bucket = 0;

  for (; bucket < BUCKET_COUNT - 1; bucket++)
    {
      count += durations->sums[bucket];
      if ((double)count >= needed)
        break;
    }
  return (fb_time_t)((double)DURATION_MIN
                     * exp2 ((double)bucket / (double)BUCKETS_PER_DOUBLING));
}

void
fr_record_attempt_duration (fr_hedge_t *hedge, fb_str_t service, uint32_t rank,
                            fb_time_t duration)
{
  service_state_t *state = find_or_add_state (hedge, service);
  durations_t **durations = &state->ranks[MIN (rank, FC_RANKS_MAX - 1)];
  size_t bucket = find_bucket (duration);

  if (*durations == NULL)
    *durations = g_new0 (durations_t, 1);
  advance_slices (*durations, state->used_at);
  (*durations)->slices[(*durations)->slice_number % SLICE_COUNT][bucket]++;
  (*durations)->sums[bucket]++;
  (*durations)->sample_count++;
}

void
fr_record_service_refusal (fr_hedge_t *hedge, fb_str_t service)
{
  service_state_t *state = find_or_add_state (hedge, service);

  state->refused_at = state->used_at;
  state->was_refused = true;
}

bool
fr_get_hedge_delay (fr_hedge_t *hedge, fb_str_t service, uint32_t rank, fb_time_t *delay)
{
  const durations_t *durations;

  if (!fr_is_hedging_enabled (hedge))
    return false;
  durations = find_durations (hedge, service, rank);
  if (durations == NULL || durations->sample_count < FR_HEDGE_SAMPLES_MIN)
    return false;
  *delay = estimate_quantile (durations, SLOW_QUANTILE);
  return true;
}

fr_hedge_decision_t
fr_decide_hedge (fr_hedge_t *hedge, fb_str_t service, uint32_t rank, fb_time_t elapsed,
                 fb_time_t target_left)
{
  const service_state_t *state;
  const durations_t *durations;

  if (!fr_is_hedging_enabled (hedge))
    return FR_HEDGE_DISABLED;
  durations = find_durations (hedge, service, rank);
  if (durations == NULL || durations->sample_count < FR_HEDGE_SAMPLES_MIN)
    return FR_HEDGE_FEW_SAMPLES;
  if (elapsed < estimate_quantile (durations, SLOW_QUANTILE))
    return FR_HEDGE_TOO_EARLY;
  if (target_left < estimate_quantile (durations, EXPECTED_QUANTILE))
    return FR_HEDGE_TOO_LATE;
  state = find_or_add_state (hedge, service);
  if (state->was_refused && state->used_at - state->refused_at < FR_HEDGE_REFUSAL_PAUSE)
    return FR_HEDGE_OVERLOADED;
  return FR_HEDGE_ALLOWED;
}

bool
fr_withdraw_allowed_hedge (fr_hedge_t *hedge, fr_retry_budget_t *budget, fb_str_t service,
                           uint32_t rank)
{
  return fr_withdraw_hedge (budget, service, rank, hedge->share);
}
