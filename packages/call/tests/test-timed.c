/* Admission of calls with their own target time. */
#include <foxtailrun/call/admission.h>
#include <glib.h>

#define SLOTS 2
#define RANKS 2
#define SERVICE_TIME (100 * FB_MILLISECOND)

typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fr_admission_t *admission;
  GString *events; /* "+N" for a start, "-N" for a refusal */
} fixture_t;

static void
on_start (void *call, void *user)
{
  g_string_append_printf (((fixture_t *)user)->events, "+%d ", GPOINTER_TO_INT (call));
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  g_string_append_printf (((fixture_t *)user)->events, "-%d ", GPOINTER_TO_INT (call));
}

static void
offer_ranked (fixture_t *fixture, int number, uint32_t rank, int target_ms,
              bool is_caller_retry)
{
  fb_time_t now = fb_read_clock (fixture->clock);
  fr_call_options_t times
      = { now + FB_SECOND, now + target_ms * FB_MILLISECOND, is_caller_retry };

  fr_offer_call_with_options (fixture->admission, (uint64_t)number, GINT_TO_POINTER (number),
                              rank, FB_LITERAL ("c"), 1, &times);
}

static void
offer (fixture_t *fixture, int number, int target_ms, bool is_caller_retry)
{
  offer_ranked (fixture, number, 0, target_ms, is_caller_retry);
}

/* Creates admission with a call in every slot and one finished call of SERVICE_TIME, so
 * that rank 0's average is known. */
static void
set_up (fixture_t *fixture)
{
  static const fr_rank_options_t rank_options[RANKS]
      = { { .latency_target = FB_SECOND }, { .latency_target = FB_SECOND } };
  fr_admission_hooks_t hooks = { on_start, on_refuse, fixture };

  fixture->clock = fb_create_manual_clock (100 * FB_SECOND);
  fixture->counters = fb_create_counters ();
  fixture->events = g_string_new ("");
  fixture->admission = fr_create_admission (FR_POLICY_SHARES, SLOTS, rank_options, RANKS,
                                            fixture->clock, fixture->counters, &hooks);
  offer (fixture, 1, 1000, false);
  fb_advance_clock (fixture->clock, SERVICE_TIME);
  fr_finish_call (fixture->admission, 1);
  offer (fixture, 2, 1000, false);
  offer (fixture, 3, 1000, false);
  g_string_truncate (fixture->events, 0);
}

static void
tear_down (fixture_t *fixture)
{
  fr_destroy_admission (fixture->admission);
  g_string_free (fixture->events, TRUE);
  fb_destroy_counters (fixture->counters);
  fb_destroy_clock (fixture->clock);
}

/* Guards against queueing a call that is expected to miss its target time, which delays the
 * caller's retry and occupies a slot. */
static void
test_refuse_early (void)
{
  static const struct
  {
    int target_ms;
    const char *events;
  } cases[] = { { 80, "-4 " }, { 120, "-4 " }, { 400, "" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      offer (&fixture, 4, cases[i].target_ms, false);
      g_assert_cmpstr (fixture.events->str, ==, cases[i].events);
      tear_down (&fixture);
    }
}

/* Guards against a caller's retry that is served behind newer calls. */
static void
test_caller_retry_first (void)
{
  fixture_t fixture;

  set_up (&fixture);
  offer (&fixture, 4, 900, false);
  offer (&fixture, 5, 900, true);
  offer (&fixture, 6, 900, true);
  fr_finish_call (fixture.admission, 2);
  fr_finish_call (fixture.admission, 3);
  fr_finish_call (fixture.admission, 5);
  g_assert_cmpstr (fixture.events->str, ==, "+5 +6 +4 ");
  tear_down (&fixture);
}

/* Guards against starting a call that is expected to miss its target time while another call
 * waits, and against refusing it when no other call waits. */
static void
test_late_call_skipped (void)
{
  static const struct
  {
    bool other_waits;
    const char *events;
  } cases[] = { { true, "-4 +5 " }, { false, "+4 " } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      offer (&fixture, 4, 300, false);
      fb_advance_clock (fixture.clock, 250 * FB_MILLISECOND);
      if (cases[i].other_waits)
        offer (&fixture, 5, 900, false);
      fr_finish_call (fixture.admission, 2);
      g_assert_cmpstr (fixture.events->str, ==, cases[i].events);
      tear_down (&fixture);
    }
}

/* Guards against less urgent calls that wait for a more urgent rank until their callers
 * time out, instead of being refused while a retry can be in time. */
static void
test_starved_rank (void)
{
  static const struct
  {
    bool is_caller_retry;
    const char *events; /* at the tick; call 4 stays when it is a caller retry, which is not
                           refused early because its caller has retried already */
  } cases[] = { { false, "-5 -4 " }, { true, "-5 " } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      /* So that the average service time of rank 1 is known. */
      fr_finish_call (fixture.admission, 2);
      offer_ranked (&fixture, 9, 1, 1000, false);
      fb_advance_clock (fixture.clock, SERVICE_TIME);
      fr_finish_call (fixture.admission, 9);
      offer (&fixture, 2, 1000, false);
      for (int number = 10; number < 14; number++)
        offer (&fixture, number, 1000, false);
      g_string_truncate (fixture.events, 0);
      offer_ranked (&fixture, 4, 1, 300, cases[i].is_caller_retry);
      offer_ranked (&fixture, 5, 1, 300, false);
      fb_advance_clock (fixture.clock, 200 * FB_MILLISECOND);
      fr_tick_admission (fixture.admission);
      g_assert_cmpstr (fixture.events->str, ==, cases[i].events);
      tear_down (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/call/timed/refuse-early", test_refuse_early);
  g_test_add_func ("/call/timed/caller-retry-first", test_caller_retry_first);
  g_test_add_func ("/call/timed/late-call-skipped", test_late_call_skipped);
  g_test_add_func ("/call/timed/starved-rank", test_starved_rank);
  return g_test_run ();
}
