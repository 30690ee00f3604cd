/* Limit of a cold backend server: starts in any window, the change from warm to cold, places of
 * health checks, and a fleet that comes back cold. */
#include "fixture-warmup.h"
#include <foxtailrun/call/warmup.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *name;
  const char *guards; /* the failure that the case guards against */
  const char *script;
  const char *events;
} case_t;

/* Steps: "cRATE,OVERAGE" configures, "kMS" sets the time for which the server is cold, "a"
 * assumes it, "+MS" advances the clock, "s" starts all calls that may start (at most 99) and
 * gives their number, "sN" starts at most N, "g" starts all that may start within 1 s, as soon
 * as they may, and gives their number, "dN" gives the delay in ms of a call with N ahead, "hN"
 * sends N health checks, "q" requests one and gives its delay in ms, "n" gives whether one is
 * needed. The process has started 1 s before.
 */
static const case_t cases[] = {
  { "none", "calls are limited without a rate", "a s k1000 s c0,1 s d99", "99 99 99 0 " },
  { "warm", "calls of a warm server are limited", "c10,1 k0 s d99", "99 0 " },
  { "limit", "fewer or more starts than the limit allows", "c10,1 k9000 g s +249 s +1 s g",
    "8 2 0 2 6 " },
  { "overage", "the allowed overage is not used, or is rounded up", "c13,1.5 k9000 g", "17 " },
  { "fraction", "a rate below 1 lets no call start", "c0.3,1 k9000 s +999 s +1 s", "1 0 1 " },
  { "spread", "one burst takes all starts of a second", "c40,1 k9000 s +249 s +1 s",
    "10 0 10 " },
  { "sliding", "the window is emptied at its end instead of sliding",
    "c10,1 k9000 +900 s1 +50 s1 g", "1 1 7 " },
  { "becomes-cold", "starts made while the server was warm are forgotten",
    "c10,1 k0 s6 +400 k9000 g", "6 6 " },
  { "flood-before", "more starts than the limit just before, none of which is forgotten",
    "c10,1 k0 s s +500 k9000 s +499 s +1 s", "99 99 0 0 2 " },
  { "becomes-warm", "the limit outlasts the time that the server named",
    "c10,1 k300 s +349 s +1 s", "2 2 99 " },
  { "rounded", "a time that the server rounds down ends the limit while it is cold",
    "c10,1 k300 s +250 s +49 k0 s +49 s +1 s", "2 2 0 0 99 " },
  { "assumed", "an assumed cold server counts as warm after some time",
    "c12,1 a s +9000 s k0 s", "2 2 99 " },
  { "assumed-again", "an old word of the server outlasts what happened since",
    "c12,1 k0 a +1000 s", "2 " },
  { "raise", "a higher rate forgets the starts under the lower one",
    "c10,1 k0 s30 c40,1 +500 k9000 g", "30 28 " },
  { "lower", "a lower rate lets calls start before the window has room",
    "c20,1 k9000 g c10,1 s +250 s +250 s", "18 0 0 2 " },
  { "configured-late", "starts made without a rate are forgotten",
    "s5 +400 c10,1 k9000 s +599 s +1 s", "5 0 0 2 " },
  { "ended", "a rate that was taken back limits, or forgets what started until then",
    "c10,1 k9000 s c0,1 s +400 c10,1 k9000 s +600 s", "2 99 0 2 " },
  { "queue", "the delay ignores the calls ahead",
    "c10,1 k9000 d0 d1 d2 d7 d8 d16 s +100 d0 d1 d2", "0 0 250 750 1000 2000 2 150 150 400 " },
  { "checks-count", "health checks come on top of the limit", "c10,1 k9000 h9 s +250 g",
    "0 3 " },
  { "check-first", "calls that wait keep a health check from being sent",
    "c1,1 k9000 s q d0 +1000 d0 q h1 +1000 s", "1 1000 2000 1000 0 1 " },
  { "check-place", "a window full of calls delays a health check", "c10,1 k9000 g q", "8 0 " },
  { "check-early",
    "a server that becomes cold under load gets too many calls until the next check",
    "c10,1 k0 s2 n s1 n h1 n s3 n k9000 n", "2 0 1 1 0 3 1 0 " },
  { "check-warm", "health checks of a warm server wait", "c1,1 k0 s q", "99 0 " },
};

static void
run_step (fr_warmup_t *warmup, fb_clock_t *clock, const char *step, GString *events)
{
  const char *second = strchr (step, ',');
  double number = g_ascii_strtod (step + 1, NULL);
  unsigned most = step[1] ? (unsigned)number : 99;
  unsigned started = 0;

  switch (step[0])
    {
    case 'c':
      fr_configure_warmup (warmup, number, g_ascii_strtod (second + 1, NULL));
      break;
    case 'k':
      fr_set_cold_until (warmup, fb_read_clock (clock) + (fb_time_t)(number * FB_MILLISECOND));
      break;
    case 'a':
      fr_assume_cold (warmup);
      break;
    case '+':
      fb_advance_clock (clock, (fb_time_t)(number * FB_MILLISECOND));
      break;
    case 's':
      for (; started < most && fr_get_warmup_delay (warmup, 0) == 0; started++)
        fr_count_warmup_start (warmup);
      g_string_append_printf (events, "%u ", started);
      break;
    case 'g':
      for (int i = 0; i < 1000; i++, fb_advance_clock (clock, FB_MILLISECOND))
        for (; fr_get_warmup_delay (warmup, 0) == 0; started++)
          fr_count_warmup_start (warmup);
      g_string_append_printf (events, "%u ", started);
      break;
    case 'h':
      for (; started < (unsigned)number; started++)
        fr_count_health_check (warmup);
      break;
    case 'q':
      g_string_append_printf (events, "%d ",
                              (int)(fr_request_health_check (warmup) / FB_MILLISECOND));
      break;
    case 'n':
      g_string_append_printf (events, "%d ", fr_needs_health_check (warmup));
      break;
    default:
      g_assert_true (step[0] == 'd');
      g_string_append_printf (events, "%d ",
                              (int)(fr_get_warmup_delay (warmup, number) / FB_MILLISECOND));
    }
}

static void
run_case (gconstpointer data)
{
  const case_t *test = data;
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fr_warmup_t *warmup = fr_create_warmup (clock);
  GString *events = g_string_new ("");
  char **steps = g_strsplit (test->script, " ", -1);

  fb_advance_clock (clock, FB_SECOND);
  for (size_t i = 0; steps[i] != NULL; i++)
    run_step (warmup, clock, steps[i], events);
  g_assert_cmpstr (events->str, ==, test->events);
  g_strfreev (steps);
  g_string_free (events, TRUE);
  fr_destroy_warmup (warmup);
  fb_destroy_clock (clock);
}

/* Guards against a response that makes a cold server count as warm, or the reverse, although it
 * says nothing about it. */
static void
test_health_responses (void)
{
  static const struct
  {
    uint32_t status;
    const char *id; /* NULL: no header */
    const char *warmup_ms;
    int cold_ms; /* -1: the response changes nothing */
  } cases[] = {
    { 200, "a-1", "2500", 2500 }, { 200, "a-1", "0", 0 },
    { 200, "a-1", NULL, 0 },      { 200, NULL, "2500", 2500 },
    { 200, "a-1", "0.4", 1 },     { 200, "a-2", "2500", -1 },
    { 200, "a-2", "0", -1 },      { 200, "a-2", NULL, -1 },
    { 200, "", "0", -1 },         { 200, "a-1", "", -1 },
    { 200, "a-1", "soon", -1 },   { 200, "a-1", "-5", -1 },
    { 200, "a-1", "1e3", -1 },    { 200, "a-1", "99999999999", -1 },
    { 503, "a-1", "2500", 2500 }, { 503, "a-1", "0", 0 },
    { 503, "a-1", NULL, -1 },     { 404, "a-1", NULL, 0 },
    { 421, "a-1", "0", -1 },      { 421, NULL, NULL, -1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fr_health_response_t response = { .status = cases[i].status };
      fb_time_t cold_time = -FB_SECOND;
      fb_status_t status;

      if (cases[i].id)
        response.instance_id = fb_wrap_text (cases[i].id);
      if (cases[i].warmup_ms)
        response.warmup_ms = fb_wrap_text (cases[i].warmup_ms);
      status = fr_read_health_response (&response, FB_LITERAL ("a-1"), &cold_time);
      g_test_message ("case %zu", i);
      g_assert_cmpint (status, ==, cases[i].cold_ms < 0 ? FB_INVALID : FB_OK);
      if (status == FB_OK)
        g_assert_cmpint ((cold_time + FB_MILLISECOND - 1) / FB_MILLISECOND, ==,
                         cases[i].cold_ms);
    }
}

/* Guards against requests of an earlier process that a node forgets when it is restarted:
 * within a window of its start it sends only a health check, and that at once. */
static void
test_restart (void)
{
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fr_warmup_t *warmup = fr_create_warmup (clock);

  fb_advance_clock (clock, 400 * FB_MILLISECOND);
  fr_configure_warmup (warmup, 10, 1);
  g_assert_true (fr_is_assumed_cold (warmup));
  g_assert_cmpint (fr_request_health_check (warmup), ==, 0);
  fr_count_health_check (warmup);
  g_assert_cmpint (fr_get_warmup_delay (warmup, 0), ==, 600 * FB_MILLISECOND);
  fr_destroy_warmup (warmup);
  fb_destroy_clock (clock);
}

/* Guards against a window of 1 s, from any start on, with more starts than the highest limit of
 * that second allows, under random bursts, health checks, states and rates. Starts while the
 * server is warm are not limited and count only for those that follow while it is cold. */
static void
test_windows (void)
{
  enum
  {
    STEPS = 20000
  };

  for (uint32_t seed = 0; seed < 50; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
      fr_warmup_t *warmup = fr_create_warmup (clock);
      GArray *starts = g_array_new (FALSE, FALSE, sizeof (fb_time_t));
      guint oldest = 0;
      double limit = 0;

      for (size_t i = 0; i < STEPS; i++)
        {
          int burst = g_rand_int_range (random, 0, 8) == 0 ? 40 : 1;
          fb_time_t now;

          fb_advance_clock (clock, g_rand_int_range (random, 0, 30) * FB_MILLISECOND);
          now = fb_read_clock (clock);
          if (i == 0 || g_rand_int_range (random, 0, 400) == 0)
            {
              double rate = g_rand_double_range (random, 1, 40);

              limit = (double)(int)(rate * 1.5);
              fr_configure_warmup (warmup, rate, 1.5);
            }
          if (g_rand_int_range (random, 0, 200) == 0)
            fr_set_cold_until (warmup,
                               now + g_rand_int_range (random, 0, 3000) * FB_MILLISECOND);
          if (g_rand_int_range (random, 0, 500) == 0)
            fr_assume_cold (warmup);
          for (int j = 0; j < burst; j++)
            {
              bool check = g_rand_int_range (random, 0, 20) == 0;
              fb_time_t delay
                  = check ? fr_request_health_check (warmup) : fr_get_warmup_delay (warmup, 0);

              if (delay > 0)
                continue;
              if (check)
                fr_count_health_check (warmup);
              else
                fr_count_warmup_start (warmup);
              g_array_append_val (starts, now);
              while (g_array_index (starts, fb_time_t, oldest) + FB_SECOND <= now)
                oldest++;
              if (fr_is_cold (warmup))
                g_assert_cmpfloat (starts->len - oldest, <=, limit);
            }
        }
      g_array_unref (starts);
      fr_destroy_warmup (warmup);
      fb_destroy_clock (clock);
      g_rand_free (random);
    }
}

/* Guards against a fleet that comes back cold as a whole and stays down: its instances get more
 * than they tolerate, end, and come back cold again. */
static void
test_return (void)
{
  for (uint32_t seed = 0; seed < 100; seed++)
    {
      return_result_t unprotected = replay_return (seed, false);
      return_result_t protected = replay_return (seed, true);

      g_test_message ("seed %u: without %.2f served, %u ends; with %.2f served, %u ends", seed,
                      unprotected.served, unprotected.ends, protected.served, protected.ends);
      g_assert_cmpfloat (unprotected.served, <, 0.5);
      g_assert_cmpuint (unprotected.ends, >, 10);
      g_assert_cmpfloat (protected.served, >, 0.95);
      g_assert_cmpuint (protected.ends, ==, 0);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/call/warmup/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], run_case);
      g_free (path);
    }
  g_test_add_func ("/call/warmup/health-responses", test_health_responses);
  g_test_add_func ("/call/warmup/restart", test_restart);
  g_test_add_func ("/call/warmup/windows", test_windows);
  g_test_add_func ("/call/warmup/return", test_return);
  return g_test_run ();
}
