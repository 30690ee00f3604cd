/* Limit of the calls per second to a backend server, a token bucket. All calls to it pass the
 * node beside it, so that one bucket holds for all entry nodes together. */
#include <foxtailrun/call/rate-limit.h>
#include <glib.h>
#include <math.h>

/* Longest text of a rate in bytes. */
#define RATE_TEXT_MAX 32

/* A token is short of 1 by at most this when rounded. */
#define TOKEN_TOLERANCE 1e-6

struct fr_rate_limit
{
  const fb_clock_t *clock;
  fb_time_t burst_time;
  bool in_force;
  bool heard;   /* the backend server has responded to this node */
  bool adopted; /* in force by the word of another node */
  double rate;  /* as named, per second */
  fb_time_t named_at;
  double tokens; /* calls that may start, as of UPDATED_AT */
  fb_time_t updated_at;
};

fr_rate_limit_t *
fr_create_rate_limit (fb_time_t burst_time, const fb_clock_t *clock)
{
  fr_rate_limit_t *limit = g_new0 (fr_rate_limit_t, 1);

  limit->burst_time = burst_time;
  limit->clock = clock;
  return limit;
}

void
fr_destroy_rate_limit (fr_rate_limit_t *limit)
{
  g_free (limit);
}

fb_status_t
fr_parse_rate (fb_str_t text, double *rate)
{
  char copy[RATE_TEXT_MAX + 1] = { 0 };
  char *end;

  if (text.len == 0 || text.len > RATE_TEXT_MAX || !g_ascii_isdigit (text.data[0]))
    return FB_INVALID;
  for (size_t i = 0; i < text.len; i++)
    {
      if (!g_ascii_isdigit (text.data[i]) && text.data[i] != '.')
        return FB_INVALID;
      copy[i] = text.data[i];
    }
  *rate = g_ascii_strtod (copy, &end);
  return *end == '\0' && *rate <= FR_RATE_MAX ? FB_OK : FB_INVALID;
}

static double
get_start_rate (const fr_rate_limit_t *limit)
{
  return MAX (limit->rate, FR_RATE_MIN);
}

static double
get_tokens (const fr_rate_limit_t *limit)
{
  double rate = get_start_rate (limit);
  fb_time_t elapsed = fb_read_clock (limit->clock) - limit->updated_at;
  double tokens_max = MAX (1, rate * (double)limit->burst_time / FB_SECOND);

  return MIN (limit->tokens + rate * (double)elapsed / FB_SECOND, tokens_max);
}

/* Puts RATE in force; a limit that was not in force before begins with FIRST_TOKENS. */
static bool
set_rate (fr_rate_limit_t *limit, double rate, double first_tokens)
{
  bool changes = !limit->in_force || limit->rate != rate;

  limit->tokens = limit->in_force ? get_tokens (limit) : first_tokens;
  limit->updated_at = fb_read_clock (limit->clock);
  limit->in_force = true;
  limit->rate = rate;
  return changes;
}

bool
fr_name_rate_limit (fr_rate_limit_t *limit, double rate)
{
  limit->heard = true;
  limit->adopted = false;
  limit->named_at = fb_read_clock (limit->clock);
  /* Calls were started just before the limit. */
  return set_rate (limit, rate, 0);
}

bool
fr_end_rate_limit (fr_rate_limit_t *limit, fb_time_t sent_at)
{
  limit->heard = true;
  if (!limit->in_force || (!limit->adopted && sent_at <= limit->named_at))
    return false;
  limit->in_force = false;
  limit->adopted = false;
  return true;
}

bool
fr_adopt_rate_limit (fr_rate_limit_t *limit, double rate)
{
  if (limit->heard)
    return false;
  limit->adopted = true;
  /* One call at once, whose response shows whether the limit still holds. */
  return set_rate (limit, rate, 1);
}

void
fr_reset_rate_limit (fr_rate_limit_t *limit)
{
  limit->in_force = false;
  limit->heard = false;
  limit->adopted = false;
}

bool
fr_get_rate_limit (const fr_rate_limit_t *limit, double *rate)
{
  *rate = limit->in_force ? limit->rate : 0;
  return limit->in_force;
}

fb_time_t
fr_get_start_delay (const fr_rate_limit_t *limit, double calls_ahead)
{
  double missing;

  if (!limit->in_force)
    return 0;
  missing = calls_ahead + 1 - get_tokens (limit);
  if (missing <= TOKEN_TOLERANCE)
    return 0;
  return (fb_time_t)ceil (missing / get_start_rate (limit) * FB_SECOND);
}

void
fr_count_start (fr_rate_limit_t *limit)
{
  if (!limit->in_force)
    return;
  limit->tokens = get_tokens (limit) - 1;
  limit->updated_at = fb_read_clock (limit->clock);
}
