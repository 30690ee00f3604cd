/* Limit of the requests to a cold backend server: an exact sliding window of start times. All
 * requests to it pass the node beside it, so that one window holds for all entry nodes. */
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/call/rate-limit.h>
#include <foxtailrun/call/warmup.h>
#include <glib.h>
#include <math.h>

/* Time from one health check to the next, while the state is known and while it is assumed. */
#define CHECK_PERIOD (500 * FB_MILLISECOND)
#define ASSUMED_CHECK_PERIOD (200 * FB_MILLISECOND)

/* Health checks take at most this part of a cold backend server's starts, so that a low limit
 * still lets calls through. */
#define CHECK_PART_MAX (1.0 / 3)

/* Time for which the limit outlasts the end that the backend server named: it may round the
 * time down, and its clock may lag. Waiting calls fill all slots as soon as the limit ends, on
 * top of those of the last second. */
#define END_MARGIN (50 * FB_MILLISECOND)

/* A warm backend server may become cold at any moment. A health check goes out early when it
 * got this part of the limit since the last one. */
#define UNCHECKED_PART_MAX 0.25

/* Status of a server that is not the expected instance, and the least one of a failing server.
 */
#define MISDIRECTED_STATUS 421
#define FAILURE_STATUS_MIN 500

/* The newest start times. Those of a window are enough: the next start may take place one
 * window after the LIMIT-th newest. */
typedef struct
{
  fb_time_t times[FR_WARMUP_LIMIT_MAX];
  size_t count;
  size_t next; /* index at which the next time is written */
} start_window_t;

struct fr_warmup
{
  const fb_clock_t *clock;
  size_t limit; /* starts in a window while cold; 0 without a rate */
  bool assumed; /* cold until the backend server says otherwise */
  bool check_requested;
  size_t unchecked_starts; /* of calls, since the last health check */
  fb_time_t cold_until;
  fb_time_t last_unrecorded_start; /* the windows are kept only with a rate */
  start_window_t *starts;          /* of calls and health checks; NULL without a rate */
  start_window_t *call_starts;     /* of calls; NULL without a rate */
};

static void
add_start (start_window_t *window, fb_time_t time)
{
  window->times[window->next] = time;
  window->next = (window->next + 1) % FR_WARMUP_LIMIT_MAX;
  window->count = MIN (window->count + 1, FR_WARMUP_LIMIT_MAX);
}

/* Returns start INDEX, 0 for the oldest. */
static fb_time_t
get_start (const start_window_t *window, size_t index)
{
  return window->times[(window->next + FR_WARMUP_LIMIT_MAX - window->count + index)
                       % FR_WARMUP_LIMIT_MAX];
}

/* Returns the time in ns until a start with STARTS_AHEAD others before it, when each follows
 * the LIMIT-th one before it by at least SPAN. */
static fb_time_t
get_span_delay (const start_window_t *window, fb_time_t span, size_t limit, size_t starts_ahead,
                fb_time_t now)
{
  size_t number = window->count + starts_ahead;
  fb_time_t spans = 0; /* after the first one that has room */
  size_t earlier;

  if (limit == 0)
    return (fb_time_t)(starts_ahead + 1) * span;
  if (number < limit)
    return 0;
  earlier = number - limit;
  if (earlier >= window->count)
    {
      /* It follows starts that are yet to come. */
      size_t skipped = (earlier - window->count) / limit + 1;

      spans = (fb_time_t)skipped;
      if (earlier < skipped * limit)
        return spans * span;
      earlier -= skipped * limit;
    }
  return MAX (get_start (window, earlier) + span - now, 0) + spans * span;
}

/* The same for LIMIT starts in a window, spread over its parts. */
static fb_time_t
get_delay (const start_window_t *window, size_t limit, size_t starts_ahead, fb_time_t now)
{
  size_t part_limit = (limit + FR_WARMUP_PARTS - 1) / FR_WARMUP_PARTS;

  return MAX (get_span_delay (window, FR_WARMUP_WINDOW, limit, starts_ahead, now),
              get_span_delay (window, FR_WARMUP_WINDOW / FR_WARMUP_PARTS, part_limit,
                              starts_ahead, now));
}

fr_warmup_t *
fr_create_warmup (const fb_clock_t *clock)
{
  fr_warmup_t *warmup = g_new0 (fr_warmup_t, 1);

  warmup->clock = clock;
  warmup->assumed = true;
  warmup->last_unrecorded_start = fb_read_clock (clock);
  return warmup;
}

void
fr_destroy_warmup (fr_warmup_t *warmup)
{
  if (warmup == NULL)
    return;
  g_free (warmup->starts);
  g_free (warmup->call_starts);
  g_free (warmup);
}

/* Begins to record starts. As many as the limit may have taken place unrecorded; one place is
 * left for the first health check, which shows whether the limit is needed at all. */
static void
begin_windows (fr_warmup_t *warmup)
{
  warmup->starts = g_new0 (start_window_t, 1);
  warmup->call_starts = g_new0 (start_window_t, 1);
  for (size_t i = 0; i < warmup->limit; i++)
    {
      if (i > 0)
        add_start (warmup->starts, warmup->last_unrecorded_start);
      add_start (warmup->call_starts, warmup->last_unrecorded_start);
    }
}

void
fr_configure_warmup (fr_warmup_t *warmup, double rate, double overage)
{
  if (rate > 0)
    {
      warmup->limit = (size_t)CLAMP (floor (rate * overage), 1, FR_WARMUP_LIMIT_MAX);
      if (warmup->starts == NULL)
        begin_windows (warmup);
      return;
    }
  if (warmup->starts != NULL)
    warmup->last_unrecorded_start = fb_read_clock (warmup->clock);
  warmup->limit = 0;
  warmup->assumed = true;
  warmup->check_requested = false;
  g_clear_pointer (&warmup->starts, g_free);
  g_clear_pointer (&warmup->call_starts, g_free);
}

bool
fr_has_warmup (const fr_warmup_t *warmup)
{
  return warmup->limit > 0;
}

void
fr_set_cold_until (fr_warmup_t *warmup, fb_time_t until)
{
  fb_time_t now = fb_read_clock (warmup->clock);

  warmup->assumed = false;
  warmup->cold_until
      = until > now ? until + END_MARGIN : MIN (warmup->cold_until, now + END_MARGIN);
}

bool
fr_assume_cold (fr_warmup_t *warmup)
{
  bool changes = !warmup->assumed;

  warmup->assumed = true;
  return changes;
}

bool
fr_is_cold (const fr_warmup_t *warmup)
{
  return warmup->limit > 0
         && (warmup->assumed || fb_read_clock (warmup->clock) < warmup->cold_until);
}

bool
fr_is_assumed_cold (const fr_warmup_t *warmup)
{
  return warmup->limit > 0 && warmup->assumed;
}

fb_time_t
fr_get_cold_time (const fr_warmup_t *warmup)
{
  if (warmup->limit == 0 || warmup->assumed)
    return 0;
  return MAX (warmup->cold_until - fb_read_clock (warmup->clock), 0);
}

void
fr_count_warmup_start (fr_warmup_t *warmup)
{
  fb_time_t now = fb_read_clock (warmup->clock);

  if (warmup->starts == NULL)
    {
      warmup->last_unrecorded_start = now;
      return;
    }
  warmup->unchecked_starts++;
  add_start (warmup->starts, now);
  add_start (warmup->call_starts, now);
}

void
fr_count_health_check (fr_warmup_t *warmup)
{
  FB_INVARIANT (warmup->starts != NULL);
  warmup->check_requested = false;
  warmup->unchecked_starts = 0;
  add_start (warmup->starts, fb_read_clock (warmup->clock));
}

bool
fr_needs_health_check (const fr_warmup_t *warmup)
{
  return warmup->limit > 0 && !fr_is_cold (warmup)
         && (double)warmup->unchecked_starts >= (double)warmup->limit * UNCHECKED_PART_MAX;
}

fb_time_t
fr_get_health_check_period (const fr_warmup_t *warmup)
{
  fb_time_t period = warmup->assumed ? ASSUMED_CHECK_PERIOD : CHECK_PERIOD;

  if (!fr_is_cold (warmup))
    return period;
  return MAX (period,
              (fb_time_t)((double)FR_WARMUP_WINDOW / CHECK_PART_MAX / (double)warmup->limit));
}

size_t
fr_get_warmup_limit (const fr_warmup_t *warmup)
{
  size_t checks;

  if (!fr_is_cold (warmup))
    return 0;
  checks = (size_t)(FR_WARMUP_WINDOW / fr_get_health_check_period (warmup));
  if (warmup->check_requested)
    checks = MAX (checks, 1);
  return warmup->limit - MIN (checks, warmup->limit);
}

fb_time_t
fr_get_warmup_delay (const fr_warmup_t *warmup, double calls_ahead)
{
  fb_time_t now = fb_read_clock (warmup->clock);
  size_t ahead = (size_t)ceil (CLAMP (calls_ahead, 0, G_MAXINT32));

  if (!fr_is_cold (warmup))
    return 0;
  return MAX (get_delay (warmup->starts, warmup->limit, ahead + warmup->check_requested, now),
              get_delay (warmup->call_starts, fr_get_warmup_limit (warmup), ahead, now));
}

fb_time_t
fr_request_health_check (fr_warmup_t *warmup)
{
  if (!fr_is_cold (warmup))
    return 0;
  warmup->check_requested = true;
  return get_span_delay (warmup->starts, FR_WARMUP_WINDOW, warmup->limit, 0,
                         fb_read_clock (warmup->clock));
}

fb_status_t
fr_read_health_response (const fr_health_response_t *response, fb_str_t instance,
                         fb_time_t *cold_time)
{
  double ms = 0;

  if (response->status == MISDIRECTED_STATUS
      || (instance.len > 0 && response->instance_id.data
          && !fb_equal_str (response->instance_id, instance)))
    return FB_INVALID;
  if (!response->warmup_ms.data && response->status >= FAILURE_STATUS_MIN)
    return FB_INVALID;
  if (response->warmup_ms.data && fr_parse_rate (response->warmup_ms, &ms) != FB_OK)
    return FB_INVALID;
  *cold_time = (fb_time_t)ceil (ms * FB_MILLISECOND);
  return FB_OK;
}
