/* Counting, windows, alerts and merging of calls by objective. */
#include <foxtailrun/report/burn.h>
#include <glib.h>

/* A bucket boundary of every window. */
#define START (7200 * FB_SECOND)

#define HEAD                                                                                   \
  "version = 1\n[[rank]]\nname = \"fast\"\norder = 0\n[[rank]]\nname = \"slow\"\norder = 1\n"  \
  "[[service]]\nname = \"shop\"\nslots = 1\nconnections = 1\n"
#define FAST(target, ratio)                                                                    \
  "[[objective]]\nservice = \"shop\"\nrank = \"fast\"\ntarget_ms = " target "\nratio = " ratio \
  "\n"
#define SLOW                                                                                   \
  "[[objective]]\nservice = \"shop\"\nrank = \"slow\"\ntarget_ms = 500\nratio = 0.9\n"

static const fb_str_t shop = { "shop", 4 };
static const fb_str_t fast = { "fast", 4 };

static void
apply_document (fs_burn_t *burn, const char *text)
{
  fc_problems_t *problems = fc_create_problems ();
  fb_str_t document = fb_wrap_text (text);
  fc_snapshot_t *snapshot = fc_check_document (
      (fb_bytes_t){ (const uint8_t *)document.data, document.len }, problems);

  g_assert_nonnull (snapshot);
  fs_set_objectives (burn, snapshot);
  fc_release_snapshot (snapshot);
  fc_destroy_problems (problems);
}

/* Guards against calls that are dropped from a window too early or too late at a bucket
 * boundary, and against stale buckets after a long time without calls. */
static void
test_windows (void)
{
  static const struct
  {
    fb_time_t counted_s; /* after START */
    fb_time_t read_s;
    uint64_t calls[FS_WINDOW_COUNT];
  } cases[] = {
    { 0, 0, { 1, 1, 1, 1 } },       { 0, 309, { 1, 1, 1, 1 } },
    { 0, 310, { 0, 1, 1, 1 } },     { 9, 309, { 1, 1, 1, 1 } },
    { 9, 310, { 0, 1, 1, 1 } },     { 10, 319, { 1, 1, 1, 1 } },
    { 10, 320, { 0, 1, 1, 1 } },    { 0, 1859, { 0, 1, 1, 1 } },
    { 0, 1860, { 0, 0, 1, 1 } },    { 0, 3719, { 0, 0, 1, 1 } },
    { 0, 3720, { 0, 0, 0, 1 } },    { 0, 22319, { 0, 0, 0, 1 } },
    { 0, 22320, { 0, 0, 0, 0 } },   { 719, 22319, { 0, 0, 0, 1 } },
    { 720, 22320, { 0, 0, 0, 1 } }, { 0, 31 * 720 * 50, { 0, 0, 0, 0 } },
    { 0, 1000000, { 0, 0, 0, 0 } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (START);
      fs_burn_t *burn = fs_create_burn (clock);
      fs_objective_counts_t counts;

      apply_document (burn, HEAD FAST ("50", "0.9"));
      fb_advance_clock (clock, cases[i].counted_s * FB_SECOND);
      fs_count_call (burn, shop, fast, FS_GOOD, 0);
      /* Three steps, so that the ring is also cleared partially. */
      for (fb_time_t step = 0; step < 3; step++)
        {
          fb_advance_clock (clock, (cases[i].read_s - cases[i].counted_s) * FB_SECOND / 3);
          g_assert_true (fs_get_objective_counts (burn, 0, &counts));
        }
      fb_advance_clock (clock, START + cases[i].read_s * FB_SECOND - fb_read_clock (clock));
      g_assert_true (fs_get_objective_counts (burn, 0, &counts));
      for (int window = 0; window < FS_WINDOW_COUNT; window++)
        g_assert_cmpuint (fs_count_calls (&counts.windows[window]), ==, cases[i].calls[window]);
      fs_destroy_burn (burn);
      fb_destroy_clock (clock);
    }
}

/* Guards against windows that report a time span from before the objective was set, or one that
 * is shorter than the window afterwards. */
static void
test_reach (void)
{
  static const struct
  {
    fb_time_t after_s;
    fb_time_t reach_s[FS_WINDOW_COUNT];
  } cases[] = {
    { 0, { 0, 0, 0, 0 } },
    { 7, { 7, 7, 7, 7 } },
    { 300, { 300, 300, 300, 300 } },
    { 309, { 309, 309, 309, 309 } },
    { 310, { 300, 310, 310, 310 } },
    { 3600, { 300, 1800, 3600, 3600 } },
    { 100000, { 300, 1840, 3640, 22240 } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (START);
      fs_burn_t *burn = fs_create_burn (clock);
      fs_objective_counts_t counts;

      apply_document (burn, HEAD FAST ("50", "0.9"));
      fb_advance_clock (clock, cases[i].after_s * FB_SECOND);
      g_assert_true (fs_get_objective_counts (burn, 0, &counts));
      for (int window = 0; window < FS_WINDOW_COUNT; window++)
        {
          g_assert_cmpint (counts.windows[window].reach_min / FB_SECOND, ==,
                           cases[i].reach_s[window]);
          g_assert_cmpint (counts.windows[window].reach_max, ==,
                           counts.windows[window].reach_min);
        }
      fs_destroy_burn (burn);
      fb_destroy_clock (clock);
    }
}

/* Guards against calls counted under the wrong cause, and against calls without an objective
 * counted under another one. */
static void
test_causes (void)
{
  static const struct
  {
    const char *rank;
    fs_cause_t cause;
    fb_time_t duration;
    uint64_t calls[FS_CAUSE_COUNT];
  } cases[] = {
    { "fast", FS_GOOD, 0, { 1, 0, 0, 0, 0 } },
    { "fast", FS_GOOD, 50 * FB_MILLISECOND, { 1, 0, 0, 0, 0 } },
    { "fast", FS_GOOD, 50 * FB_MILLISECOND + 1, { 0, 0, 1, 0, 0 } },
    { "fast", FS_REFUSED, FB_SECOND, { 0, 1, 0, 0, 0 } },
    { "fast", FS_FAILED, 0, { 0, 0, 0, 1, 0 } },
    { "fast", FS_UNKNOWN, FB_SECOND, { 0, 0, 0, 0, 1 } },
    { "slow", FS_GOOD, 0, { 0, 0, 0, 0, 0 } },
    { "", FS_GOOD, 0, { 0, 0, 0, 0, 0 } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (START);
      fs_burn_t *burn = fs_create_burn (clock);
      fs_objective_counts_t counts;

      apply_document (burn, HEAD FAST ("50", "0.9"));
      fs_count_call (burn, shop, fb_wrap_text (cases[i].rank), cases[i].cause,
                     cases[i].duration);
      g_assert_true (fs_get_objective_counts (burn, 0, &counts));
      for (int window = 0; window < FS_WINDOW_COUNT; window++)
        for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
          g_assert_cmpuint (counts.windows[window].calls[cause], ==, cases[i].calls[cause]);
      fs_destroy_burn (burn);
      fb_destroy_clock (clock);
    }
}

/* Guards against wrong rates and budgets, and against alerts raised by only one of their two
 * windows. Each window has 1,000 calls. */
static void
test_alerts (void)
{
  static const struct
  {
    uint64_t bad[FS_WINDOW_COUNT];
    double ratio;
    double rate; /* of the longest window */
    fs_alert_t alert;
  } cases[] = {
    { { 0, 0, 0, 0 }, 0.99, 0, FS_ALERT_NONE },
    { { 0, 0, 0, 0 }, 1, 0, FS_ALERT_NONE },
    { { 0, 0, 0, 1 }, 1, FS_BURN_RATE_MAX, FS_ALERT_NONE },
    { { 1, 1, 1, 1 }, 1, FS_BURN_RATE_MAX, FS_ALERT_PAGE },
    { { 1000, 1000, 1000, 1000 }, 0, 1, FS_ALERT_NONE },
    { { 144, 0, 144, 0 }, 0.99, 0, FS_ALERT_PAGE },
    { { 143, 0, 144, 0 }, 0.99, 0, FS_ALERT_NONE },
    { { 144, 0, 143, 0 }, 0.99, 0, FS_ALERT_NONE },
    { { 0, 60, 0, 60 }, 0.99, 6, FS_ALERT_TICKET },
    { { 0, 59, 0, 60 }, 0.99, 6, FS_ALERT_NONE },
    { { 0, 60, 0, 59 }, 0.99, 5.9, FS_ALERT_NONE },
    { { 144, 144, 144, 144 }, 0.99, 14.4, FS_ALERT_PAGE },
    { { 144, 144, 100, 60 }, 0.99, 6, FS_ALERT_TICKET },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fs_objective_counts_t counts = { .objective.ratio = cases[i].ratio };

      for (int window = 0; window < FS_WINDOW_COUNT; window++)
        {
          counts.windows[window].calls[FS_GOOD] = 1000 - cases[i].bad[window];
          counts.windows[window].calls[FS_LATE] = cases[i].bad[window];
        }
      g_assert_cmpfloat_with_epsilon (
          fs_compute_burn_rate (&counts.windows[FS_WINDOW_LONGEST], cases[i].ratio),
          cases[i].rate, 1e-9);
      g_assert_cmpfloat_with_epsilon (fs_compute_budget_left (&counts), 1 - cases[i].rate,
                                      1e-9);
      g_assert_cmpstr (fs_describe_alert (fs_evaluate_alert (&counts)), ==,
                       fs_describe_alert (cases[i].alert));
    }
}

/* Guards against counts that are lost or retained wrongly when the configuration changes. One
 * call is counted at START under the first document; the objective "fast" is read 100 s later.
 */
static void
test_changes (void)
{
  static const struct
  {
    const char *documents[3];
    size_t objectives; /* under the last document */
    size_t index;      /* of "fast" */
    double ratio;
    uint64_t calls;
    fb_time_t reach_s;
  } cases[] = {
    { { HEAD FAST ("50", "0.9"), HEAD FAST ("50", "0.9") }, 1, 0, 0.9, 1, 100 },
    { { HEAD FAST ("50", "0.9"), HEAD FAST ("50", "0.99") }, 1, 0, 0.99, 1, 100 },
    { { HEAD FAST ("50", "0.9"), HEAD FAST ("60", "0.9") }, 1, 0, 0.9, 0, 90 },
    { { HEAD FAST ("50", "0.9"), HEAD SLOW FAST ("50", "0.9") }, 2, 1, 0.9, 1, 100 },
    { { HEAD FAST ("50", "0.9") SLOW, HEAD FAST ("50", "0.9") }, 1, 0, 0.9, 1, 100 },
    { { HEAD FAST ("50", "0.9"), HEAD }, 0, 0, 0, 0, 0 },
    { { HEAD FAST ("50", "0.9"), HEAD SLOW, HEAD FAST ("50", "0.9") }, 1, 0, 0.9, 0, 80 },
    { { HEAD, HEAD FAST ("50", "0.9") }, 1, 0, 0.9, 0, 90 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (START);
      fs_burn_t *burn = fs_create_burn (clock);
      fs_objective_counts_t counts;

      apply_document (burn, cases[i].documents[0]);
      fs_count_call (burn, shop, fast, FS_GOOD, 0);
      for (size_t next = 1; next < G_N_ELEMENTS (cases[i].documents); next++)
        {
          fb_advance_clock (clock, 10 * FB_SECOND);
          if (cases[i].documents[next])
            apply_document (burn, cases[i].documents[next]);
        }
      fb_advance_clock (clock, 80 * FB_SECOND);
      g_assert_cmpuint (fs_count_objectives (burn), ==, cases[i].objectives);
      g_assert_false (fs_get_objective_counts (burn, cases[i].objectives, &counts));
      if (cases[i].objectives > 0)
        {
          g_assert_true (fs_get_objective_counts (burn, cases[i].index, &counts));
          g_assert_cmpstr (counts.objective.rank.data, ==, "fast");
          g_assert_cmpfloat (counts.objective.ratio, ==, cases[i].ratio);
          g_assert_cmpuint (counts.windows[0].calls[FS_GOOD], ==, cases[i].calls);
          g_assert_cmpint (counts.windows[0].reach_min / FB_SECOND, ==, cases[i].reach_s);
        }
      fs_destroy_burn (burn);
      fb_destroy_clock (clock);
    }
}

/* Guards against a merge that loses counts or the shortest time span of the nodes. */
static void
test_merge (void)
{
  fs_objective_counts_t sum = { .windows[0] = { { 5, 1, 0, 0, 0 }, 10, 10 } };
  fs_objective_counts_t added = { .windows[0] = { { 2, 0, 3, 0, 4 }, 4, 30 } };
  static const uint64_t calls[FS_CAUSE_COUNT] = { 7, 1, 3, 0, 4 };

  fs_merge_objective_counts (&sum, &added);
  for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
    g_assert_cmpuint (sum.windows[0].calls[cause], ==, calls[cause]);
  g_assert_cmpint (sum.windows[0].reach_min, ==, 4);
  g_assert_cmpint (sum.windows[0].reach_max, ==, 30);
  g_assert_cmpuint (fs_count_bad (&sum.windows[0]), ==, 8);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/report/windows", test_windows);
  g_test_add_func ("/report/reach", test_reach);
  g_test_add_func ("/report/causes", test_causes);
  g_test_add_func ("/report/alerts", test_alerts);
  g_test_add_func ("/report/changes", test_changes);
  g_test_add_func ("/report/merge", test_merge);
  return g_test_run ();
}
