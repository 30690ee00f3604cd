/* When a call is hedged, on the paused clock. */
#include <foxtailrun/call/hedge.h>
#include <glib.h>

static const fb_str_t service = FB_LITERAL ("service");

static void
record (fr_hedge_t *hedge, int count, int duration_ms)
{
  for (int i = 0; i < count; i++)
    fr_record_attempt_duration (hedge, service, 1, duration_ms * FB_MILLISECOND);
}

/* Guards against hedges of attempts that are not slow, that come too late for the target, while
 * the service is overloaded, without enough samples or a share, or from other calls' samples.
 */
static void
test_decision (void)
{
  /* Of the samples, 90 % take 8 ms, the upper limit of a bucket, and the rest 64 ms. */
  static const struct
  {
    double share;
    int samples;
    uint32_t rank;
    double elapsed_ms;
    double target_left_ms;
    int refused_ms; /* how long ago a call was refused; -1 for never */
    fr_hedge_decision_t decision;
  } cases[] = {
    { 0.5, 20, 1, 8, 8, -1, FR_HEDGE_ALLOWED },
    { 0, 20, 1, 8, 8, -1, FR_HEDGE_DISABLED },
    { 0.5, 10, 1, 8, 8, -1, FR_HEDGE_FEW_SAMPLES },
    { 0.5, 0, 1, 8, 8, -1, FR_HEDGE_FEW_SAMPLES },
    { 0.5, 20, 0, 8, 8, -1, FR_HEDGE_FEW_SAMPLES },
    { 0.5, 20, 1, 7.9, 8, -1, FR_HEDGE_TOO_EARLY },
    { 0.5, 20, 1, 9, 8, -1, FR_HEDGE_ALLOWED },
    { 0.5, 20, 1, 8, 7.9, -1, FR_HEDGE_TOO_LATE },
    { 0.5, 20, 1, 8, -1, -1, FR_HEDGE_TOO_LATE },
    { 0.5, 20, 1, 8, 9, 0, FR_HEDGE_OVERLOADED },
    { 0.5, 20, 1, 8, 9, 1999, FR_HEDGE_OVERLOADED },
    { 0.5, 20, 1, 8, 9, 2000, FR_HEDGE_ALLOWED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
      fr_hedge_t *hedge = fr_create_hedge (clock);
      fb_time_t delay;

      fr_set_hedge_share (hedge, cases[i].share);
      record (hedge, cases[i].samples * 9 / 10, 8);
      record (hedge, cases[i].samples / 10, 64);
      if (cases[i].refused_ms >= 0)
        fr_record_service_refusal (hedge, service);
      fb_advance_clock (clock, MAX (cases[i].refused_ms, 0) * FB_MILLISECOND);
      g_assert_cmpint (fr_decide_hedge (hedge, service, cases[i].rank,
                                        (fb_time_t)(cases[i].elapsed_ms * FB_MILLISECOND),
                                        (fb_time_t)(cases[i].target_left_ms * FB_MILLISECOND)),
                       ==, cases[i].decision);
      if (fr_get_hedge_delay (hedge, service, cases[i].rank, &delay))
        g_assert_cmpint (delay, ==, 8 * FB_MILLISECOND);
      else
        g_assert_cmpint (cases[i].decision, <=, FR_HEDGE_FEW_SAMPLES);
      fr_destroy_hedge (hedge);
      fb_destroy_clock (clock);
    }
}

/* Guards against a delay that does not follow the load, one from samples older than the period,
 * and durations outside of the histogram. */
static void
test_quantile (void)
{
  static const struct
  {
    int advance_s;
    int count;
    int duration_ms;
    int delay_ms; /* 0 when there are too few samples */
  } steps[] = {
    { 0, 100, 16, 16 }, { 5, 5, 128, 16 },    { 0, 10, 128, 128 }, { 10, 200, 32, 32 },
    { 15, 0, 0, 32 },   { 5, 300, 256, 256 }, { 10, 0, 0, 256 },   { 20, 19, 4, 0 },
    { 0, 1, 4, 4 },     { 1000, 0, 0, 0 },    { 0, 20, 0, -1 },    { 100, 20, 600000, 1 << 30 },
  };
  fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
  fr_hedge_t *hedge = fr_create_hedge (clock);

  fr_set_hedge_share (hedge, 0.5);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      fb_time_t delay = 0;

      fb_advance_clock (clock, steps[i].advance_s * FB_SECOND);
      record (hedge, steps[i].count, steps[i].duration_ms);
      g_assert_cmpint (fr_get_hedge_delay (hedge, service, 1, &delay), ==,
                       steps[i].delay_ms != 0);
      if (steps[i].delay_ms == 1 << 30)
        g_assert_cmpint (delay, >, 60 * FB_SECOND);
      else if (steps[i].delay_ms < 0)
        g_assert_cmpint (delay, ==, 500 * FB_MICROSECOND);
      else
        g_assert_cmpint (delay, ==, steps[i].delay_ms * FB_MILLISECOND);
    }
  fr_destroy_hedge (hedge);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/hedge/decision", test_decision);
  g_test_add_func ("/hedge/quantile", test_quantile);
  return g_test_run ();
}
