#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/invariant.h>
#include <glib.h>
#include <time.h>

struct fb_clock
{
  fb_read_clock_fn_t read;
  void *user;
  fb_time_t manual_time;
};

static fb_time_t
read_manual (void *user)
{
  return ((fb_clock_t *)user)->manual_time;
}

static fb_time_t
read_system (void *user)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (fb_time_t)now.tv_sec * FB_SECOND + now.tv_nsec;
}

fb_clock_t *
fb_create_clock (fb_read_clock_fn_t read, void *user)
{
  fb_clock_t *clock = g_new0 (fb_clock_t, 1);

  clock->read = read;
  clock->user = user;
  return clock;
}

fb_clock_t *
fb_create_system_clock (void)
{
  return fb_create_clock (read_system, NULL);
}

fb_clock_t *
fb_create_manual_clock (fb_time_t start)
{
  fb_clock_t *clock = fb_create_clock (read_manual, NULL);

  clock->user = clock;
  clock->manual_time = start;
  return clock;
}

void
fb_advance_clock (fb_clock_t *clock, fb_time_t duration)
{
  FB_INVARIANT (clock->read == read_manual);
  FB_INVARIANT (duration >= 0);
  clock->manual_time += duration;
}

fb_time_t
fb_read_clock (const fb_clock_t *clock)
{
  return clock->read (clock->user);
}

void
fb_destroy_clock (fb_clock_t *clock)
{
  g_free (clock);
}
