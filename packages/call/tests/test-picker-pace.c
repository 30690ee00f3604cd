/* Picks by the pace that nodes report of their instances. */
#include <foxtailrun/call/pace.h>
#include <foxtailrun/call/picker.h>
#include <glib.h>

#define INSTANCES 4
#define PICKS 4000

static const fb_str_t service = FB_LITERAL ("service");

static fb_name_t
make_id (int number)
{
  char text[16];

  g_snprintf (text, sizeof text, "node-%d", number);
  return fb_make_name (text);
}

/* Returns a picker of node SELF, all of whose instances but the last, a new one, are past their
 * slow start. */
static fr_picker_t *
create_picker (const char *self_text, fb_clock_t *clock)
{
  fb_name_t self = fb_make_name (self_text);
  fw_member_t member = { .state = FW_ALIVE,
                         .zone = fb_make_name ("zone"),
                         .region = fb_make_name ("region"),
                         .service = fb_make_name (service.data) };
  fr_picker_t *picker = fr_create_picker (FR_PICK_LOCALITY, &self, &member.zone, 7, clock);

  for (int i = 0; i < INSTANCES; i++)
    {
      if (i == INSTANCES - 1)
        fb_advance_clock (clock, 11 * FB_SECOND);
      member.id = make_id (i);
      fr_update_instance (picker, &member);
      if (i < INSTANCES - 1)
        fr_report_times (picker, &member.id, 0, 20 * FB_MILLISECOND, 0);
    }
  return picker;
}

/* Picks once, and ends the attempt; returns whether the new instance was picked. */
static bool
picks_new (fr_picker_t *picker)
{
  fb_name_t newest = make_id (INSTANCES - 1);
  fb_name_t picked;

  g_assert_true (fr_pick_for_latency_target (picker, service, 0, FB_SECOND, NULL, 0, &picked));
  fr_report_result_for_rank (picker, &picked, 0, FR_RESULT_CANCELLED, 0, 0);
  return fb_equal_name (&picked, &newest);
}

/* Guards against a pace that is not the share of the picks, and a report that holds for ever.
 */
static void
test_weight (void)
{
  static const struct
  {
    const char *guards;
    uint32_t permille;
    int age_ms;
    int picks_min;
    int picks_max;
  } cases[] = {
    { "an instance at par gets less than its share", 1000, 0, 900, 1100 },
    { "the pace is not a share", 500, 0, 400, 650 },
    { "a low pace leaves the instance idle", 125, 0, 80, 200 },
    { "the least pace floods the instance", 1, 0, 0, 10 },
    { "an old report holds", 500, 3500, 0, 0 },
    { "an instance at par starts slowly again", 1000, 3500, 900, 1100 },
    { "without a report the time-based weight ends", 0, 0, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fr_picker_t *picker = create_picker ("entry", clock);
      fb_name_t newest = make_id (INSTANCES - 1);
      int count = 0;

      fr_report_pace (picker, &newest, cases[i].permille);
      fb_advance_clock (clock, cases[i].age_ms * FB_MILLISECOND);
      for (int j = 0; j < PICKS; j++)
        count += picks_new (picker);
      g_test_message ("%s: %d picks", cases[i].guards, count);
      g_assert_cmpint (count, >=, cases[i].picks_min);
      g_assert_cmpint (count, <=, cases[i].picks_max);
      fr_destroy_picker (picker);
      fb_destroy_clock (clock);
    }
}

/* Guards against a new instance without a call for 1 s, entry nodes that all send the first
 * call at the same time, further calls before a report, and trials where the pace is not
 * enabled. */
static void
test_first_call (void)
{
  bool used[10] = { false };
  int used_count = 0;

  for (int node = 0; node < 40; node++)
    {
      char *self = g_strdup_printf ("entry-%d", node / 2);
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fr_picker_t *picker = create_picker (self, clock);
      int count = 0;

      if (node % 2 == 0)
        fr_try_new_instances (picker);
      for (int ms = 0; ms < 1000; ms += 10)
        {
          if (picks_new (picker))
            {
              count++;
              used_count += !used[ms / 100];
              used[ms / 100] = true;
            }
          fb_advance_clock (clock, 10 * FB_MILLISECOND);
        }
      g_assert_cmpint (count, ==, node % 2 == 0 ? 1 : 0);
      fr_destroy_picker (picker);
      fb_destroy_clock (clock);
      g_free (self);
    }
  g_assert_cmpint (used_count, >=, 5);
}

/* Guards against an expected service time that is sent while unknown, or is not the median. */
static void
test_expected_service_time (void)
{
  fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
  fr_picker_t *picker = create_picker ("entry", clock);
  fb_name_t id = make_id (0);
  fb_time_t expected;

  for (int i = 0; i < 200; i++)
    fr_report_times (picker, &id, 0, (i % 4 == 0 ? 2000 : 20) * FB_MILLISECOND, 0);
  expected = fr_get_expected_service_time (picker, service, 0);
  g_assert_cmpint (expected, >, 15 * FB_MILLISECOND);
  g_assert_cmpint (expected, <, 30 * FB_MILLISECOND);
  g_assert_cmpint (fr_get_expected_service_time (picker, service, 1), ==, 0);
  g_assert_cmpint (fr_get_expected_service_time (picker, FB_LITERAL ("none"), 0), ==, 0);
  fr_destroy_picker (picker);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/picker-pace/weight", test_weight);
  g_test_add_func ("/picker-pace/first-call", test_first_call);
  g_test_add_func ("/picker-pace/expected-service-time", test_expected_service_time);
  return g_test_run ();
}
