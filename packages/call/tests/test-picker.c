/* Rules of the picker, tested by many picks with fixed seeds. */
#include "route-state.h"
#include <foxtailrun/call/picker.h>

#define PICKS 4000

static const fb_str_t service = FB_LITERAL ("service");

typedef struct
{
  fb_clock_t *clock;
  fr_picker_t *picker;
} fixture_t;

static fixture_t
create_fixture (fr_pick_policy_t policy)
{
  fixture_t fixture;
  fb_name_t self = fb_make_name ("entry");
  fb_name_t zone = fb_make_name ("zone-0");

  fixture.clock = fb_create_manual_clock (100 * FB_SECOND);
  fixture.picker = fr_create_picker (policy, &self, &zone, 7, fixture.clock);
  return fixture;
}

static void
destroy_fixture (fixture_t *fixture)
{
  fr_destroy_picker (fixture->picker);
  fb_destroy_clock (fixture->clock);
}

static fb_name_t
make_id (int number)
{
  char text[16];

  g_snprintf (text, sizeof text, "node-%03d", number);
  return fb_make_name (text);
}

static void
update_member (fixture_t *fixture, int number, int zone, int region, fw_member_state_t state)
{
  fw_member_t member = { .id = make_id (number), .state = state };
  char text[16];

  g_snprintf (text, sizeof text, "zone-%d", zone);
  member.zone = fb_make_name (text);
  g_snprintf (text, sizeof text, "region-%d", region);
  member.region = fb_make_name (text);
  member.service = fb_make_name (service.data);
  fr_update_instance (fixture->picker, &member);
}

/* Adds COUNT instances in ZONE and advances the clock past their slow start. */
static void
add_instances (fixture_t *fixture, int first, int count, int zone)
{
  for (int i = first; i < first + count; i++)
    update_member (fixture, i, zone, 0, FW_ALIVE);
  fb_advance_clock (fixture->clock, 11 * FB_SECOND);
}

static void
report_attempt (fixture_t *fixture, int number, fr_result_t result, fb_time_t latency,
                uint32_t load)
{
  fb_name_t id = make_id (number);

  fr_begin_attempt (fixture->picker, &id);
  fr_report_result (fixture->picker, &id, result, latency, load);
}

/* Picks PICKS times for RANK, cancelling each call at once; counts picks by instance
 * number. */
static void
count_picks (fixture_t *fixture, uint32_t rank, int *counts, size_t size)
{
  for (size_t i = 0; i < size; i++)
    counts[i] = 0;
  for (int i = 0; i < PICKS; i++)
    {
      fb_name_t picked;
      guint number;

      g_assert_true (fr_pick_for_rank (fixture->picker, service, rank, FB_LITERAL ("key"), NULL,
                                       0, &picked));
      number = (guint)g_ascii_strtoull (picked.data + 5, NULL, 10);
      g_assert_cmpuint (number, <, size);
      counts[number]++;
      fr_report_result_for_rank (fixture->picker, &picked, rank, FR_RESULT_CANCELLED, 0, 0);
    }
}

/* Guards against nodes that connect to all instances, or to none outside of their zone. */
static void
test_subset (void)
{
  fixture_t fixture = create_fixture (FR_PICK_RENDEZVOUS);
  fw_member_t self = { .id = fb_make_name ("entry"), .region = fb_make_name ("region-0") };
  int zones[8] = { 0 };

  fr_update_instance (fixture.picker, &self);
  for (int i = 0; i < 160; i++)
    update_member (&fixture, i, i % 8, i % 8 / 4, FW_ALIVE);
  g_assert_cmpuint (fr_count_available_instances (fixture.picker, service), ==, 16);
  /* Excluding the instances picked so far enumerates the subset. */
  for (size_t i = 0; i <= 16; i++)
    {
      static fb_name_t picked[17];
      bool found
          = fr_pick_backend (fixture.picker, service, FB_LITERAL (""), picked, i, &picked[i]);

      g_assert_cmpint (found, ==, i < 16);
      if (found)
        zones[g_ascii_strtoull (picked[i].data + 5, NULL, 10) % 8]++;
    }
  g_assert_cmpint (zones[0], ==, 10);
  g_assert_cmpint (zones[1] + zones[2] + zones[3], ==, 4);
  g_assert_cmpint (zones[4] + zones[5] + zones[6] + zones[7], ==, 2);
  destroy_fixture (&fixture);
}

typedef struct
{
  const char *name;
  int local;
  int remote;
  uint32_t local_load;
  bool expired; /* the load report has expired */
  bool spills;
} zone_case_t;

/* Guards against traffic that leaves its zone without need, and a zone overloaded while
 * others are idle. */
static void
test_zones (void)
{
  static const zone_case_t cases[] = {
    { "enough", 2, 2, 500, false, false },   { "too-few", 1, 2, 500, false, true },
    { "all-full", 2, 2, 1000, false, true }, { "expired-report", 2, 2, 1000, true, false },
    { "none", 0, 2, 0, false, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
      int counts[4];

      add_instances (&fixture, 0, cases[i].local, 0);
      add_instances (&fixture, 2, cases[i].remote, 1);
      for (int j = 0; j < cases[i].local; j++)
        report_attempt (&fixture, j, FR_RESULT_REFUSED, 0, cases[i].local_load);
      if (cases[i].expired)
        fb_advance_clock (fixture.clock, 2 * FB_SECOND);
      count_picks (&fixture, 0, counts, 4);
      g_test_message ("%s", cases[i].name);
      g_assert_cmpint (counts[2] + counts[3] > 0, ==, cases[i].spills);
      destroy_fixture (&fixture);
    }
}

/* Guards against calls to leaving or dead instances, and suspect ones picked while others
 * are alive, or never. */
static void
test_member_states (void)
{
  fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
  fb_name_t excluded = make_id (3);
  fb_name_t picked;
  int counts[4];

  add_instances (&fixture, 0, 4, 0);
  update_member (&fixture, 0, 0, 0, FW_LEAVING);
  update_member (&fixture, 1, 0, 0, FW_DEAD);
  update_member (&fixture, 2, 0, 0, FW_SUSPECT);
  count_picks (&fixture, 0, counts, 4);
  g_assert_cmpint (counts[3], ==, PICKS);
  g_assert_true (fr_pick_backend (fixture.picker, service, service, &excluded, 1, &picked));
  g_assert_cmpstr (picked.data, ==, "node-002");
  update_member (&fixture, 2, 0, 0, FW_DEAD);
  g_assert_false (fr_pick_backend (fixture.picker, service, service, &excluded, 1, &picked));
  /* The call ends after its instance was removed. */
  g_assert_cmpuint (g_hash_table_size (fixture.picker->instances), ==, 2);
  picked = make_id (2);
  fr_report_result (fixture.picker, &picked, FR_RESULT_ANSWERED, FB_MILLISECOND, 0);
  fr_report_result (fixture.picker, &picked, FR_RESULT_ANSWERED, FB_MILLISECOND, 0);
  g_assert_cmpuint (g_hash_table_size (fixture.picker->instances), ==, 1);
  g_assert_cmpuint (fr_count_available_instances (fixture.picker, service), ==, 1);
  destroy_fixture (&fixture);
}

/* Guards against a returned instance whose earlier calls in flight are not counted or never
 * end. */
static void
test_returned_instance (void)
{
  fixture_t fixture = create_fixture (FR_PICK_LEAST_IN_FLIGHT);
  fb_name_t first;
  fb_name_t picked;

  add_instances (&fixture, 0, 2, 0);
  g_assert_true (fr_pick_backend (fixture.picker, service, service, NULL, 0, &first));
  for (int i = 0; i < 2; i++)
    update_member (&fixture, first.data[7] - '0', 0, 0, i == 0 ? FW_DEAD : FW_ALIVE);
  g_assert_true (fr_pick_backend (fixture.picker, service, service, NULL, 0, &picked));
  g_assert_cmpstr (picked.data, !=, first.data);
  fr_report_result (fixture.picker, &first, FR_RESULT_CANCELLED, 0, 0);
  g_assert_true (fr_pick_backend (fixture.picker, service, service, NULL, 0, &picked));
  g_assert_cmpstr (picked.data, ==, first.data);
  destroy_fixture (&fixture);
}

typedef struct
{
  const char *name;
  int instances;
  int failing;
  int failures; /* consecutive, of each */
  fr_result_t result;
  size_t ejected;
} eject_case_t;

/* Guards against the ejection of too many instances, of the last one, or for refusals and
 * single failures. */
static void
test_ejection (void)
{
  static const eject_case_t cases[] = {
    { "four", 6, 1, 4, FR_RESULT_FAILED, 0 },
    { "five", 6, 1, 5, FR_RESULT_FAILED, 1 },
    { "refused", 6, 1, 50, FR_RESULT_REFUSED, 0 },
    { "cancelled", 6, 1, 50, FR_RESULT_CANCELLED, 0 },
    { "third-of-6", 6, 6, 50, FR_RESULT_FAILED, 2 },
    { "third-of-5", 5, 5, 50, FR_RESULT_FAILED, 1 },
    { "third-of-4", 4, 4, 50, FR_RESULT_FAILED, 1 },
    { "last-of-1", 1, 1, 50, FR_RESULT_FAILED, 0 },
    { "last-of-2", 2, 2, 50, FR_RESULT_FAILED, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);

      add_instances (&fixture, 0, cases[i].instances, 0);
      for (int j = 0; j < cases[i].failing; j++)
        for (int k = 0; k < cases[i].failures; k++)
          report_attempt (&fixture, j, cases[i].result, FB_MILLISECOND, 0);
      g_test_message ("%s", cases[i].name);
      g_assert_cmpuint (fr_count_ejected (fixture.picker, service), ==, cases[i].ejected);
      destroy_fixture (&fixture);
    }
}

/* Guards against an ejected instance that is picked, never returns or, still failing, is
 * not ejected again, and against ejection for failures that are not consecutive. */
static void
test_ejection_end (void)
{
  fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
  int counts[3];

  add_instances (&fixture, 0, 3, 0);
  for (int i = 0; i < 20; i++)
    report_attempt (&fixture, 0, i % 5 == 4 ? FR_RESULT_ANSWERED : FR_RESULT_FAILED,
                    FB_MILLISECOND, 0);
  g_assert_cmpuint (fr_count_ejected (fixture.picker, service), ==, 0);
  for (int i = 0; i < 5; i++)
    report_attempt (&fixture, 0, FR_RESULT_FAILED, FB_MILLISECOND, 0);
  count_picks (&fixture, 0, counts, 3);
  g_assert_cmpint (counts[0], ==, 0);
  fb_advance_clock (fixture.clock, 5 * FB_SECOND);
  g_assert_cmpuint (fr_count_ejected (fixture.picker, service), ==, 0);
  report_attempt (&fixture, 0, FR_RESULT_FAILED, FB_MILLISECOND, 0);
  fb_advance_clock (fixture.clock, 9 * FB_SECOND);
  g_assert_cmpuint (fr_count_ejected (fixture.picker, service), ==, 1);
  fb_advance_clock (fixture.clock, 2 * FB_SECOND);
  report_attempt (&fixture, 0, FR_RESULT_ANSWERED, FB_MILLISECOND, 0);
  report_attempt (&fixture, 0, FR_RESULT_FAILED, FB_MILLISECOND, 0);
  g_assert_cmpuint (fr_count_ejected (fixture.picker, service), ==, 0);
  destroy_fixture (&fixture);
}

/* Guards against a new instance that gets as many calls as the others at once, or never. */
static void
test_slow_start (void)
{
  fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
  int counts[4];

  add_instances (&fixture, 0, 3, 0);
  update_member (&fixture, 3, 0, 0, FW_ALIVE);
  count_picks (&fixture, 0, counts, 4);
  g_assert_cmpint (counts[3], >, PICKS / 100);
  g_assert_cmpint (counts[3], <, PICKS / 10);
  fb_advance_clock (fixture.clock, 10 * FB_SECOND);
  count_picks (&fixture, 0, counts, 4);
  g_assert_cmpint (counts[3], >, PICKS / 5);
  destroy_fixture (&fixture);
}

/* Guards against picks that ignore latency, load or calls in flight, against fast failures that
 * attract calls, and against calls of one rank that divert those of a more urgent one. */
static void
test_score (void)
{
  fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
  fb_name_t id = make_id (0);
  int counts[2];

  add_instances (&fixture, 0, 2, 0);
  for (int i = 0; i < 100; i++)
    {
      report_attempt (&fixture, 0, FR_RESULT_ANSWERED, 20 * FB_MILLISECOND, 0);
      report_attempt (&fixture, 1, FR_RESULT_ANSWERED, 10 * FB_MILLISECOND, 0);
    }
  count_picks (&fixture, 0, counts, 2);
  g_assert_cmpint (counts[0], ==, 0);
  report_attempt (&fixture, 1, FR_RESULT_ANSWERED, 10 * FB_MILLISECOND, 4000);
  report_attempt (&fixture, 0, FR_RESULT_ANSWERED, 20 * FB_MILLISECOND, 0);
  count_picks (&fixture, 0, counts, 2);
  g_assert_cmpint (counts[1], ==, 0);
  fb_advance_clock (fixture.clock, 60 * FB_SECOND);
  for (int i = 0; i < 3; i++)
    fr_begin_attempt_for_rank (fixture.picker, &id, 2);
  count_picks (&fixture, 2, counts, 2);
  g_assert_cmpint (counts[0], ==, 0);
  count_picks (&fixture, 1, counts, 2);
  g_assert_cmpint (counts[0], >, PICKS / 5);
  fr_report_result_for_rank (fixture.picker, &id, 2, FR_RESULT_CANCELLED, 0, 0);
  for (int i = 0; i < 40; i++)
    {
      report_attempt (&fixture, 0, FR_RESULT_FAILED, FB_MICROSECOND, 0);
      report_attempt (&fixture, 1, FR_RESULT_ANSWERED, 15 * FB_MILLISECOND, 0);
    }
  count_picks (&fixture, 0, counts, 2);
  g_assert_cmpint (counts[0], ==, 0);
  destroy_fixture (&fixture);
}

/* Guards against baselines that do not implement their policy. */
static void
test_baselines (void)
{
  fixture_t fixture = create_fixture (FR_PICK_ROUND_ROBIN);
  int counts[4];

  add_instances (&fixture, 0, 4, 0);
  count_picks (&fixture, 0, counts, 4);
  for (int i = 0; i < 4; i++)
    g_assert_cmpint (counts[i], ==, PICKS / 4);
  destroy_fixture (&fixture);
  fixture = create_fixture (FR_PICK_RENDEZVOUS);
  add_instances (&fixture, 0, 4, 0);
  count_picks (&fixture, 0, counts, 4);
  g_assert_cmpint (MAX (MAX (counts[0], counts[1]), MAX (counts[2], counts[3])), ==, PICKS);
  destroy_fixture (&fixture);
}

static void
append_preference (const fr_instance_view_t *preference, void *user)
{
  g_string_append_printf (user, "%s %s %s%s%s\n", preference->member->id.data,
                          preference->distance, preference->candidate ? "candidate" : "spare",
                          preference->in_subset ? "" : " outside",
                          preference->ejected ? " ejected" : "");
}

/* Guards against a visit in another order than the picks, or one that changes them. */
static void
test_visit (void)
{
  static const struct
  {
    const char *name;
    int ejected; /* -1 for none */
    const char *order;
  } cases[] = {
    { "spill-over-is-spare", -1,
      "node-001 zone candidate\nnode-000 zone candidate\nnode-002 region spare\n" },
    { "one-left-in-zone", 0,
      "node-001 zone candidate\nnode-002 region candidate\nnode-000 zone spare ejected\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = create_fixture (FR_PICK_TWO_CHOICES);
      GString *order = g_string_new ("");

      add_instances (&fixture, 0, 2, 0);
      add_instances (&fixture, 2, 1, 1);
      report_attempt (&fixture, 0, FR_RESULT_ANSWERED, 9 * FB_MILLISECOND, 0);
      report_attempt (&fixture, 1, FR_RESULT_ANSWERED, FB_MILLISECOND, 0);
      report_attempt (&fixture, 2, FR_RESULT_ANSWERED, 2 * FB_MILLISECOND, 0);
      for (int j = 0; j < 20 && cases[i].ejected >= 0; j++)
        report_attempt (&fixture, cases[i].ejected, FR_RESULT_FAILED, FB_MILLISECOND, 0);
      for (int visit = 0; visit < 2; visit++)
        {
          g_string_truncate (order, 0);
          fr_visit_instances (fixture.picker, service, 0, append_preference, order);
          g_assert_cmpstr (order->str, ==, cases[i].order);
        }
      fr_visit_instances (fixture.picker, FB_LITERAL ("unknown"), 0, append_preference, order);
      g_assert_cmpstr (order->str, ==, cases[i].order);
      g_string_free (order, TRUE);
      destroy_fixture (&fixture);
    }
}

/* Guards against calls to an evacuated zone, also when it holds all instances or all others are
 * ejected or suspected, against places of the subset that its instances take, and against a
 * zone that stays excluded. */
static void
test_evacuation (void)
{
  static const struct
  {
    int others; /* instances of another zone, beside 30 of the evacuated one */
    bool ejected;
    fw_member_state_t state;
    bool picks;
  } cases[] = { { 0, false, FW_ALIVE, false },
                { 30, false, FW_ALIVE, true },
                { 1, true, FW_ALIVE, true },
                { 1, false, FW_SUSPECT, true },
                { 1, true, FW_SUSPECT, true } };

  for (int policy = FR_PICK_LOCALITY; policy <= FR_PICK_RENDEZVOUS; policy++)
    for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
      {
        fixture_t fixture = create_fixture ((fr_pick_policy_t)policy);
        fb_name_t zone = fb_make_name ("zone-0");
        fb_name_t picked;

        add_instances (&fixture, 0, 20, 0);
        fr_set_zone_evacuated (fixture.picker, &zone, true);
        add_instances (&fixture, 20, 10, 0);
        for (int other = 100; other < 100 + cases[i].others; other++)
          {
            fb_name_t id = make_id (other);

            update_member (&fixture, other, 1, 0, cases[i].state);
            if (cases[i].ejected)
              fr_eject_until (fixture.picker, &id, G_MAXINT64);
          }
        for (int pick = 0; pick < 100; pick++)
          {
            bool found = fr_pick_for_latency_target (fixture.picker, service, 0, FB_SECOND,
                                                     NULL, 0, &picked);

            g_assert_cmpint (found, ==, cases[i].picks);
            g_assert_true (!found || g_ascii_strtoull (picked.data + 5, NULL, 10) >= 100);
          }
        g_assert_cmpuint (fr_count_available_instances (fixture.picker, service)
                              + fr_count_ejected (fixture.picker, service),
                          ==, (size_t)MIN (cases[i].others, SUBSET_SIZE_MAX));
        fr_set_zone_evacuated (fixture.picker, &zone, false);
        g_assert_true (fr_pick_for_latency_target (fixture.picker, service, 0, FB_SECOND, NULL,
                                                   0, &picked));
        g_assert_cmpuint (fr_count_available_instances (fixture.picker, service), >=,
                          SUBSET_ZONE_QUOTA);
        destroy_fixture (&fixture);
      }
}

/* Guards against hedges sent to instances that are full, excluded, suspect or ejected, and
 * against an instance that looks fast because its slow runs are cancelled. */
static void
test_below_load (void)
{
  static const struct
  {
    uint32_t loads[2]; /* of instances 0 and 1 */
    int excluded;      /* -1 for none */
    int suspect;
    int ejected;
    int cancelled; /* its runs were cancelled after 60 ms */
    int picked;    /* -1 when there is none */
  } cases[] = {
    { { 0, 1000 }, -1, -1, -1, -1, 0 },     { { 1000, 999 }, -1, -1, -1, -1, 1 },
    { { 1000, 1000 }, -1, -1, -1, -1, -1 }, { { 0, 0 }, 1, -1, -1, -1, 0 },
    { { 0, 1000 }, 0, -1, -1, -1, -1 },     { { 0, 0 }, -1, 0, -1, -1, 1 },
    { { 0, 1000 }, -1, 0, -1, -1, -1 },     { { 0, 0 }, -1, -1, 1, -1, 0 },
    { { 1000, 0 }, -1, -1, 1, -1, -1 },     { { 0, 0 }, -1, -1, -1, 0, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = create_fixture (FR_PICK_LOCALITY);
      fb_name_t excluded = make_id (cases[i].excluded);
      fb_name_t id = make_id (cases[i].picked);
      fb_name_t picked;

      add_instances (&fixture, 0, 2, 0);
      for (int j = 0; j < 2; j++)
        {
          fb_name_t instance = make_id (j);

          fr_report_times (fixture.picker, &instance, 0, 10 * FB_MILLISECOND, 0);
          report_attempt (&fixture, j, FR_RESULT_ANSWERED, FB_MILLISECOND, cases[i].loads[j]);
          if (cases[i].ejected == j)
            fr_eject_until (fixture.picker, &instance, 1000 * FB_SECOND);
          for (int k = 0; k < 5 && cases[i].cancelled == j; k++)
            report_attempt (&fixture, j, FR_RESULT_CANCELLED, 60 * FB_MILLISECOND, 0);
          if (cases[i].suspect == j)
            update_member (&fixture, j, 0, 0, FW_SUSPECT);
        }
      fb_advance_clock (fixture.clock, 3 * FB_SECOND);
      g_assert_cmpint (fr_pick_below_load (fixture.picker, service, 0, FB_SECOND, 1000,
                                           &excluded, cases[i].excluded >= 0, &picked),
                       ==, cases[i].picked >= 0);
      if (cases[i].picked >= 0)
        g_assert_cmpstr (picked.data, ==, id.data);
      destroy_fixture (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/picker/subset", test_subset);
  g_test_add_func ("/picker/zones", test_zones);
  g_test_add_func ("/picker/member-states", test_member_states);
  g_test_add_func ("/picker/returned-instance", test_returned_instance);
  g_test_add_func ("/picker/ejection", test_ejection);
  g_test_add_func ("/picker/ejection-end", test_ejection_end);
  g_test_add_func ("/picker/slow-start", test_slow_start);
  g_test_add_func ("/picker/score", test_score);
  g_test_add_func ("/picker/baselines", test_baselines);
  g_test_add_func ("/picker/visit", test_visit);
  g_test_add_func ("/picker/evacuation", test_evacuation);
  g_test_add_func ("/picker/below-load", test_below_load);
  return g_test_run ();
}
