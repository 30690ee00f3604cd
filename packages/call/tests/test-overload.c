/* Admission under overload: nested calls, spread of the service times, and slots left free. */
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/nested.h>
#include <glib.h>

#define MS FB_MILLISECOND

/* Guards against a nested call that is refused for its own target or waits behind calls that
 * are less urgent than its parent, and against a change where late answers are of no use. */
static void
test_inheritance (void)
{
  static const struct
  {
    fr_urgency_t own;
    fr_parent_t parent;
    fr_urgency_t expected;
  } cases[] = {
    { { 1, 80, false }, { 0, 1200, 250 }, { 0, 250, true } },
    { { 0, 80, false }, { 2, 1200, 250 }, { 0, 250, true } },
    { { 1, 400, false }, { 0, 1200, 250 }, { 0, 400, true } },
    /* at, under and over the ratio of timeout and target */
    { { 1, 80, false }, { 0, 750, 250 }, { 0, 250, true } },
    { { 1, 80, false }, { 0, 749, 250 }, { 1, 80, false } },
    { { 1, 80, false }, { 0, 751, 250 }, { 0, 250, true } },
    { { 1, 80, true }, { 0, 500, 250 }, { 1, 80, true } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fr_urgency_t urgency = fr_inherit_urgency (&cases[i].own, 250, &cases[i].parent);

      g_test_message ("case %zu", i);
      g_assert_cmpuint (urgency.rank, ==, cases[i].expected.rank);
      g_assert_cmpint (urgency.target_time, ==, cases[i].expected.target_time);
      g_assert_cmpint (urgency.goes_first, ==, cases[i].expected.goes_first);
    }
}

#define DURATION (10 * FB_SECOND)

/* One in so many calls of a kind with LONG_WORK is long. */
#define LONG_CALL_INTERVAL 4

/* A kind of call that arrives at a fixed interval. */
typedef struct
{
  uint32_t rank;
  fb_time_t interval;
  fb_time_t work;
  fb_time_t long_work; /* 0 for none */
  fb_time_t target;    /* after its arrival */
  fb_time_t timeout;
  bool goes_first;
  uint32_t offered;
  uint32_t refused;
  uint32_t late; /* ended after their target */
} kind_t;

typedef struct
{
  kind_t *kind;
  uint64_t id;
  fb_time_t work;
  fb_time_t target_time;
  fb_time_t ends_at;
} run_t;

typedef struct
{
  fb_clock_t *clock;
  GPtrArray *running; /* run_t */
} load_t;

static void
on_start (void *call, void *user)
{
  load_t *load = user;
  run_t *run = call;

  run->ends_at = fb_read_clock (load->clock) + run->work;
  run->kind->late += run->ends_at > run->target_time;
  g_ptr_array_add (load->running, run);
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  run_t *run = call;

  run->kind->refused++;
  g_free (run);
}

static void
finish_due (load_t *load, fr_admission_t *admission)
{
  for (guint i = load->running->len; i > 0; i--)
    {
      run_t *run = g_ptr_array_index (load->running, i - 1);

      if (run->ends_at > fb_read_clock (load->clock))
        continue;
      g_ptr_array_remove_index (load->running, i - 1);
      fr_finish_call (admission, run->id);
      g_free (run);
    }
}

static void
offer_call (fr_admission_t *admission, kind_t *kind, uint64_t id, fb_time_t now)
{
  run_t *run = g_new0 (run_t, 1);
  bool is_long = kind->long_work > 0 && kind->offered % LONG_CALL_INTERVAL == 0;
  fr_call_options_t options = { now + kind->timeout, now + kind->target, kind->goes_first };

  *run = (run_t){ kind, id, is_long ? kind->long_work : kind->work, options.target_time, 0 };
  kind->offered++;
  fr_offer_call_with_options (admission, id, run, kind->rank, FB_LITERAL ("c"), 1, &options);
}

/* Offers calls of COUNT KINDS to SLOTS slots for DURATION, and waits for their end. */
static void
run_load (kind_t *kinds, size_t count, uint32_t slots, const fr_rank_options_t *ranks,
          size_t rank_count)
{
  load_t load = { fb_create_manual_clock (100 * FB_SECOND), g_ptr_array_new () };
  fb_counters_t *counters = fb_create_counters ();
  fr_admission_hooks_t hooks = { on_start, on_refuse, &load };
  fr_admission_t *admission = fr_create_admission (FR_POLICY_SHARES, slots, ranks, rank_count,
                                                   load.clock, counters, &hooks);
  uint64_t last_id = 0;

  for (fb_time_t time = 0; time < DURATION + 3 * FB_SECOND; time += MS)
    {
      finish_due (&load, admission);
      for (size_t i = 0; i < count && time < DURATION; i++)
        if (time % kinds[i].interval == 0)
          offer_call (admission, &kinds[i], ++last_id, fb_read_clock (load.clock));
      if (time % (10 * MS) == 0)
        fr_tick_admission (admission);
      fb_advance_clock (load.clock, MS);
    }
  fr_destroy_admission (admission);
  fb_destroy_counters (counters);
  g_ptr_array_free (load.running, TRUE);
  fb_destroy_clock (load.clock);
}

/* Guards against nested calls of 20 ms that are refused beside orders of 100 ms, in an overload
 * of 7 : 6: each refusal wastes the work of a parent. */
static void
test_nested_calls (void)
{
  static const fr_rank_options_t ranks[]
      = { { .latency_target = 250 * MS }, { .latency_target = 300 * MS } };
  fr_urgency_t own = { 1, 80 * MS, false };
  fr_parent_t parent = { 0, 1200, 250 };
  fr_urgency_t inherited = fr_inherit_urgency (&own, 250 * MS, &parent);
  const fr_urgency_t *urgencies[] = { &own, &inherited };
  uint32_t refused[2];

  for (size_t i = 0; i < 2; i++)
    {
      kind_t kinds[] = { { .rank = 1,
                           .interval = 20 * MS,
                           .work = 100 * MS,
                           .target = 300 * MS,
                           .timeout = 1200 * MS },
                         { .rank = urgencies[i]->rank,
                           .interval = 10 * MS,
                           .work = 20 * MS,
                           .target = urgencies[i]->target_time,
                           .timeout = 250 * MS,
                           .goes_first = urgencies[i]->goes_first } };

      run_load (kinds, 2, 6, ranks, 2);
      refused[i] = kinds[1].refused;
      g_test_message ("nested: %u refused; orders: %u refused", kinds[1].refused,
                      kinds[0].refused);
    }
  g_assert_cmpuint (refused[0], >, 0);
  g_assert_cmpuint (refused[1], ==, 0);
}

/* Guards against calls that are accepted although most of the longer ones will be late, in an
 * overload of 4 : 3 with one call in four three times as long: what is late earns little, and
 * the slots are busy either way. */
static void
test_spread (void)
{
  double in_time[2];

  for (int plans = 0; plans < 2; plans++)
    {
      fr_rank_options_t rank = { .latency_target = 600 * MS, .plans_for_spread = plans };
      kind_t kind = { .interval = 14 * MS,
                      .work = 150 * MS,
                      .long_work = 450 * MS,
                      .target = 600 * MS,
                      .timeout = 2000 * MS };
      uint32_t ended;

      run_load (&kind, 1, 12, &rank, 1);
      ended = kind.offered - kind.refused;
      in_time[plans] = (double)(ended - kind.late);
      g_test_message ("%u offered, %u refused, %u late", kind.offered, kind.refused, kind.late);
    }
  g_assert_cmpfloat (in_time[1], >, in_time[0]);
}

/* Guards against two of six slots that stay free during a flood of long calls for short calls
 * that can wait for the next free one, and against short calls that are late without any. */
static void
test_reserve (void)
{
  uint32_t refused[2];

  for (int can_wait = 0; can_wait < 2; can_wait++)
    {
      fr_rank_options_t ranks[] = { { .latency_target = 250 * MS },
                                    { .latency_target = 80 * MS, .can_wait = can_wait },
                                    { .latency_target = 1200 * MS } };
      kind_t kinds[] = { { .rank = 1,
                           .interval = 50 * MS,
                           .work = 15 * MS,
                           .target = 250 * MS,
                           .timeout = 250 * MS,
                           .goes_first = true },
                         { .rank = 2,
                           .interval = 20 * MS,
                           .work = 180 * MS,
                           .target = 1200 * MS,
                           .timeout = 1200 * MS } };

      run_load (kinds, 2, 6, ranks, 3);
      refused[can_wait] = kinds[1].refused;
      g_test_message ("short: %u refused, %u late; long: %u refused", kinds[0].refused,
                      kinds[0].late, kinds[1].refused);
      g_assert_cmpuint (kinds[0].refused + kinds[0].late, ==, 0);
    }
  g_assert_cmpuint (refused[1], <, refused[0]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/overload/inheritance", test_inheritance);
  g_test_add_func ("/overload/nested-calls", test_nested_calls);
  g_test_add_func ("/overload/spread", test_spread);
  g_test_add_func ("/overload/reserve", test_reserve);
  return g_test_run ();
}
