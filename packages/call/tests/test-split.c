/* Weighted split of the calls of a route, and the choice of instances by locality. */
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/splitter.h>
#include <glib.h>

#define CALLS 300
#define ROUTES 40

/* Allowed distance of a part's share of the calls from that of its weight. */
#define SHARE_ERROR_MAX 0.1

/* Guards against counts that deviate from the weights over some sequence of calls, and against
 * nodes that all start with the same part. */
static void
test_shares (void)
{
  static const struct
  {
    uint32_t weights[3];
    size_t count;
  } cases[] = {
    { { 90, 10 }, 2 }, { { 1, 1 }, 2 }, { { 1 }, 1 }, { { 50, 30, 20 }, 3 }, { { 999, 1 }, 2 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fc_part_t parts[3];
      fc_route_t route
          = { .name = fb_make_name ("r"), .parts = parts, .part_count = cases[i].count };
      uint32_t total = 0;
      GHashTable *first = g_hash_table_new (NULL, NULL);

      for (size_t j = 0; j < cases[i].count; j++)
        {
          parts[j] = (fc_part_t){ (uint32_t)j + 5, cases[i].weights[j] };
          total += cases[i].weights[j];
        }
      for (uint32_t seed = 0; seed < ROUTES; seed++)
        {
          fr_splitter_t *splitter = fr_create_splitter (seed);
          uint32_t counts[3] = { 0 };

          for (int call = 1; call <= CALLS; call++)
            {
              uint32_t service = fr_split_call (splitter, &route);

              if (call == 1)
                g_hash_table_add (first, GUINT_TO_POINTER (service));
              counts[service - 5]++;
              for (size_t j = 0; j < cases[i].count; j++)
                {
                  double share = (double)call * cases[i].weights[j] / total;

                  g_assert_cmpfloat (ABS (counts[j] - share), <=, 2);
                }
            }
          fr_destroy_splitter (splitter);
        }
      if (cases[i].count > 1 && cases[i].weights[0] < 500)
        g_assert_cmpuint (g_hash_table_size (first), >, 1);
      g_hash_table_unref (first);
    }
}

/* Guards against shares over a fleet that miss the weights when each entry node gets few calls.
 */
static void
test_fleet_shares (void)
{
  static const struct
  {
    uint32_t nodes;
    int calls; /* of each node */
    uint32_t weights[2];
  } cases[] = {
    { 3, 100, { 90, 10 } }, { 91, 4, { 90, 10 } }, { 91, 4, { 1, 1 } }, { 3, 100, { 1, 0 } }
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fc_part_t parts[] = { { 0, cases[i].weights[0] }, { 1, cases[i].weights[1] } };
      fc_route_t route = { .name = fb_make_name ("r"), .parts = parts, .part_count = 2 };
      double total = cases[i].nodes * (double)cases[i].calls;
      double counts[2] = { 0 };

      for (uint32_t node = 0; node < cases[i].nodes; node++)
        {
          fr_splitter_t *splitter = fr_create_splitter (node);

          for (int call = 0; call < cases[i].calls; call++)
            counts[fr_split_call (splitter, &route)]++;
          fr_destroy_splitter (splitter);
        }
      for (size_t j = 0; j < 2; j++)
        g_assert_cmpfloat (
            ABS (counts[j] / total
                 - cases[i].weights[j] / (double)(cases[i].weights[0] + cases[i].weights[1])),
            <=, SHARE_ERROR_MAX);
    }
}

/* Guards against weights of an earlier configuration that stay in use. */
static void
test_changed_weights (void)
{
  fc_part_t parts[] = { { 1, 1 }, { 2, 99 } };
  fc_route_t route = { .name = fb_make_name ("r"), .parts = parts, .part_count = 2 };
  fr_splitter_t *splitter = fr_create_splitter (3);
  int second = 0;

  for (int i = 0; i < 100; i++)
    fr_split_call (splitter, &route);
  parts[0].weight = 99;
  parts[1].weight = 1;
  for (int i = 0; i < 100; i++)
    second += fr_split_call (splitter, &route) == 2;
  g_assert_cmpint (second, <=, 2);
  route.part_count = 0;
  route.service = 7;
  g_assert_cmpuint (fr_split_call (splitter, &route), ==, 7);
  fr_destroy_splitter (splitter);
}

static const fb_str_t service = FB_LITERAL ("shop");

static void
add_instance (fr_picker_t *picker, const char *id, const char *zone)
{
  fw_member_t member = { .id = fb_make_name (id),
                         .zone = fb_make_name (zone),
                         .region = fb_make_name ("region"),
                         .service = fb_make_name (service.data) };

  fr_update_instance (picker, &member);
}

/* Guards against calls that leave the zone although the detour saves little, calls that stay
 * although their zone is much slower, and an unreachable instance that is picked again at once.
 */
static void
test_locality (void)
{
  static const struct
  {
    int local_wait_ms;
    bool unreachable;
    const char *picked;
  } cases[] = {
    { 0, false, "local" },
    { 30, false, "local" },
    { 150, false, "remote" },
    { 0, true, "remote" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_name_t self = fb_make_name ("entry");
      fb_name_t zone = fb_make_name ("zone-a");
      fw_member_t own = { .id = self, .zone = zone, .region = fb_make_name ("region") };
      fr_picker_t *picker = fr_create_picker (FR_PICK_LOCALITY, &self, &zone, 1, clock);
      fb_name_t local = fb_make_name ("local");
      fb_name_t remote = fb_make_name ("remote");
      fb_name_t picked;

      fr_update_instance (picker, &own);
      add_instance (picker, "local", "zone-a");
      add_instance (picker, "remote", "zone-b");
      fb_advance_clock (clock, 60 * FB_SECOND);
      fr_report_times (picker, &local, 0, 60 * FB_MILLISECOND,
                       cases[i].local_wait_ms * FB_MILLISECOND);
      fr_report_times (picker, &remote, 0, 60 * FB_MILLISECOND, 0);
      if (cases[i].unreachable)
        fr_report_result_for_rank (picker, &local, 0, FR_RESULT_UNREACHABLE, 0, 0);
      g_assert_true (fr_pick_for_latency_target (picker, service, 0, 200 * FB_MILLISECOND, NULL,
                                                 0, &picked));
      g_assert_cmpstr (picked.data, ==, cases[i].picked);
      fb_advance_clock (clock, 2 * FB_SECOND);
      g_assert_true (fr_pick_for_latency_target (picker, service, 0, 200 * FB_MILLISECOND, NULL,
                                                 0, &picked));
      g_assert_cmpstr (picked.data, ==, "local");
      fr_destroy_picker (picker);
      fb_destroy_clock (clock);
    }
}

/* Guards against detours to another zone that would miss the target anyway, and against failing
 * picks for a service without an instance in the own zone. */
static void
test_late_detour (void)
{
  static const struct
  {
    bool local_exists;
    bool local_excluded;
    int remote_wait_ms;
    const char *picked; /* NULL for none */
  } cases[] = {
    { true, false, 0, "remote" },  { true, false, 150, "local" },
    { true, true, 0, "remote" },   { true, true, 150, NULL },
    { false, false, 0, "remote" }, { false, false, 150, "remote" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_name_t self = fb_make_name ("entry");
      fb_name_t zone = fb_make_name ("zone-a");
      fw_member_t own = { .id = self, .zone = zone, .region = fb_make_name ("region") };
      fr_picker_t *picker = fr_create_picker (FR_PICK_LOCALITY, &self, &zone, 1, clock);
      fb_name_t local = fb_make_name ("local");
      fb_name_t remote = fb_make_name ("remote");
      fb_name_t picked = { 0 };

      fr_update_instance (picker, &own);
      if (cases[i].local_exists)
        add_instance (picker, "local", "zone-a");
      add_instance (picker, "remote", "zone-b");
      fb_advance_clock (clock, 60 * FB_SECOND);
      fr_report_times (picker, &local, 0, 60 * FB_MILLISECOND, FB_SECOND);
      fr_report_times (picker, &remote, 0, 60 * FB_MILLISECOND,
                       cases[i].remote_wait_ms * FB_MILLISECOND);
      g_assert_cmpint (fr_pick_for_latency_target (picker, service, 0, 200 * FB_MILLISECOND,
                                                   &local, cases[i].local_excluded, &picked),
                       ==, cases[i].picked != NULL);
      g_assert_cmpstr (picked.data, ==, cases[i].picked ? cases[i].picked : "");
      fr_destroy_picker (picker);
      fb_destroy_clock (clock);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/call/split/shares", test_shares);
  g_test_add_func ("/call/split/fleet-shares", test_fleet_shares);
  g_test_add_func ("/call/split/changed-weights", test_changed_weights);
  g_test_add_func ("/call/locality", test_locality);
  g_test_add_func ("/call/late-detour", test_late_detour);
  return g_test_run ();
}
