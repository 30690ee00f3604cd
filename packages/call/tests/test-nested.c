/* Urgency that nested calls inherit, and what it spares under overload. */
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

#define SLOTS 6
#define DURATION (10 * FB_SECOND)

/* A kind of call that arrives at a fixed interval. */
typedef struct
{
  fb_time_t interval;
  fb_time_t work;
  fb_time_t timeout;
  uint32_t refused;
  uint32_t late; /* started too late to end by their deadline */
} kind_t;

typedef struct
{
  kind_t *kind;
  uint64_t id;
  fb_time_t deadline;
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

  run->ends_at = fb_read_clock (load->clock) + run->kind->work;
  run->kind->late += run->ends_at > run->deadline;
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

/* Offers orders of rank 1 and nested calls of URGENCY, whose times are relative to their
 * arrival, that need 7 of 6 slots together. */
static void
run_load (const fr_urgency_t *urgency, kind_t *orders, kind_t *nested)
{
  static const fr_rank_options_t ranks[2]
      = { { .latency_target = 250 * MS }, { .latency_target = 300 * MS } };
  load_t load = { fb_create_manual_clock (100 * FB_SECOND), g_ptr_array_new () };
  fb_counters_t *counters = fb_create_counters ();
  fr_admission_hooks_t hooks = { on_start, on_refuse, &load };
  fr_admission_t *admission
      = fr_create_admission (FR_POLICY_SHARES, SLOTS, ranks, 2, load.clock, counters, &hooks);
  uint64_t last_id = 0;

  for (fb_time_t time = 0; time < DURATION; time += MS)
    {
      fb_time_t now = fb_read_clock (load.clock);
      kind_t *kinds[] = { orders, nested };

      finish_due (&load, admission);
      for (size_t i = 0; i < 2; i++)
        {
          run_t *run;
          fr_call_options_t options
              = { now + kinds[i]->timeout, now + (i == 0 ? 300 * MS : urgency->target_time),
                  i == 0 ? false : urgency->goes_first };

          if (time % kinds[i]->interval != 0)
            continue;
          run = g_new0 (run_t, 1);
          *run = (run_t){ kinds[i], ++last_id, options.deadline, 0 };
          fr_offer_call_with_options (admission, run->id, run, i == 0 ? 1 : urgency->rank,
                                      FB_LITERAL ("c"), 1, &options);
        }
      if (time % (10 * MS) == 0)
        fr_tick_admission (admission);
      fb_advance_clock (load.clock, MS);
    }
  for (fb_time_t time = 0; time < 2 * FB_SECOND; time += MS)
    {
      finish_due (&load, admission);
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
test_overload (void)
{
  fr_urgency_t own = { 1, 80 * MS, false };
  fr_parent_t parent = { 0, 1200, 250 };
  fr_urgency_t inherited = fr_inherit_urgency (&own, 250 * MS, &parent);
  const fr_urgency_t *urgencies[] = { &own, &inherited };
  uint32_t refused[2];

  for (size_t i = 0; i < 2; i++)
    {
      kind_t orders = { 20 * MS, 100 * MS, 1200 * MS, 0, 0 };
      kind_t nested = { 10 * MS, 20 * MS, 250 * MS, 0, 0 };

      run_load (urgencies[i], &orders, &nested);
      refused[i] = nested.refused;
      g_test_message ("nested: %u refused, %u late; orders: %u refused", nested.refused,
                      nested.late, orders.refused);
    }
  g_assert_cmpuint (refused[0], >, 0);
  g_assert_cmpuint (refused[1], ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/nested/inheritance", test_inheritance);
  g_test_add_func ("/nested/overload", test_overload);
  return g_test_run ();
}
