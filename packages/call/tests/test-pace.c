/* Pace of an instance that has started or recovered: how the limit follows its responses. */
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/pace.h>
#include <glib.h>

#define SLOTS 8
#define FIRST_LIMIT 2 /* at the begin of a ramp */
#define RUN_MS 40000
#define EVER RUN_MS
#define NEVER 0

/* Who knows the usual service times: the node itself when one instance returns, the entry nodes
 * when some do, and nobody when all return after a loss of power. */
typedef enum
{
  NODE,
  ENTRY,
  NOBODY
} reference_t;

/* An instance whose slots in force are always in use. */
typedef struct
{
  const char *name;
  const char *guards; /* the failure that the case guards against */
  reference_t known_to;
  int service_ms[2]; /* of ranks 0 and 1, whose calls alternate */
  int cold_ms;       /* time for which a call takes COLD_FACTOR times as long */
  int cold_factor;
  int par_min_ms; /* it is at par not before, and */
  int par_max_ms; /* not after, or NEVER */
  int fail_every; /* one in so many calls fails */
  int fail_ms;
  int long_every; /* one in so many calls takes 7 times as long */
  int flap_ms;    /* its connections fail at this interval */
} case_t;

static const case_t cases[] = {
  { "warm", "a warm instance is held back", NODE, { 20, 20 }, 0, 1, 0, 600 },
  { "warm-entry", "expected times are not used", ENTRY, { 20, 20 }, 0, 1, 0, 600 },
  { "one", "a cold instance is at par", NODE, { 20, 20 }, 3000, 2, 3000, 6000 },
  { "third", "cold times are the reference", ENTRY, { 20, 20 }, 3000, 2, 3000, 6000 },
  { "all", "a ramp without reference never ends", NOBODY, { 20, 20 }, 3000, 2, 0, 6000 },
  { "half", "a slow instance is held back", ENTRY, { 20, 20 }, EVER, 2, 3000, 10000 },
  { "slower", "its speed lowers the limit for ever", ENTRY, { 20, 20 }, EVER, 6, 1000, 20000 },
  { "work", "long work counts as slow", NODE, { 250, 20 }, 0, 1, 0, 6000 },
  { "work-cold", "ranks are mixed", NODE, { 250, 20 }, 3000, 2, 3000, 8000 },
  { "long", "single long calls hold it", NODE, { 20, 20 }, 0, 1, 0, 1500, .long_every = 20 },
  { "fail", "it rises by failures", NODE, { 20, 20 }, 0, 1, 0, NEVER, 1, EVER },
  { "fail-first", "it stays low after failures", NODE, { 20, 20 }, 0, 1, 2000, 4000, 1, 2000 },
  { "fail-part", "failures elsewhere keep it low", NODE, { 20, 20 }, 0, 1, 0, 20000, 3, EVER },
  { "flap", "a restart goes on", NODE, { 20, 20 }, EVER, 2, 0, NEVER, .flap_ms = 1400 },
};

static int
get_service_ms (const case_t *test, int call, int now)
{
  return test->service_ms[call % 2] * (now < test->cold_ms ? test->cold_factor : 1)
         * (test->long_every > 0 && call % test->long_every == 0 ? 7 : 1);
}

static void
test_case (const void *data)
{
  const case_t *test = data;
  fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
  fr_pace_t *pace = fr_create_pace (FR_PACE_DEFAULT, 0, clock, NULL);
  int slow_until = MAX (test->cold_ms, test->fail_every == 1 ? test->fail_ms : 0) / 2;
  int begins[SLOTS], ends[SLOTS] = { 0 }, calls[SLOTS];
  int call = 0, par_at = 0;

  fr_set_pace_slots (pace, SLOTS);
  for (int i = 0; i < 80; i++)
    {
      fb_time_t time = test->service_ms[i % 2] * FB_MILLISECOND;

      if (test->known_to == NODE)
        fr_record_paced_call (pace, (uint32_t)i % 2, time, false);
      else if (test->known_to == ENTRY)
        fr_note_expected_service (pace, (uint32_t)i % 2, time);
    }
  fr_begin_ramp (pace, FR_PACE_NEW_INSTANCE);
  for (int now = 1; now < RUN_MS; now++)
    {
      uint32_t running = 0;

      fb_advance_clock (clock, FB_MILLISECOND);
      for (int i = 0; i < SLOTS; i++)
        {
          if (ends[i] == now)
            fr_record_paced_call (pace, (uint32_t)calls[i] % 2,
                                  (now - begins[i]) * FB_MILLISECOND,
                                  now < test->fail_ms && calls[i] % test->fail_every == 0);
          running += ends[i] > now;
        }
      for (int i = 0; i < SLOTS && running < fr_get_pace_limit (pace); i++)
        if (ends[i] <= now)
          {
            calls[i] = call++;
            begins[i] = now;
            ends[i] = now + get_service_ms (test, calls[i], now);
            running++;
          }
      if (test->flap_ms > 0 && now % test->flap_ms == 0)
        fr_begin_ramp (pace, FR_PACE_CONNECTION);
      if (par_at == 0 && !fr_is_ramping (pace))
        par_at = now;
      g_assert_cmpuint (fr_get_pace_limit (pace), >=, 1);
      g_assert_cmpuint (fr_get_pace_permille (pace), >=, 1);
      /* The instance that is slow for ever is checked by PAR_MIN_MS. */
      if (test->known_to != NOBODY && now < MIN (slow_until, MAX (test->par_min_ms, 1000)))
        g_assert_cmpuint (fr_get_pace_limit (pace), <=, FIRST_LIMIT);
    }
  g_test_message ("at par after %d ms", par_at);
  g_assert_cmpint (par_at, >=, test->par_min_ms);
  g_assert_cmpint (par_at, <=, test->par_max_ms);
  if (test->par_max_ms != NEVER)
    g_assert_cmpuint (fr_get_pace_limit (pace), ==, SLOTS);
  else if (test->fail_every > 0)
    g_assert_cmpuint (fr_get_pace_limit (pace), ==, 1);
  fr_destroy_pace (pace);
  fb_destroy_clock (clock);
}

static void
count_begin (fr_pace_cause_t cause, void *user)
{
  g_assert_cmpint (cause, ==, FR_PACE_FAILURES);
  ++*(int *)user;
}

static void
record_calls (fr_pace_t *pace, int count, int fail_every)
{
  for (int i = 0; i < count; i++)
    fr_record_paced_call (pace, 0, 20 * FB_MILLISECOND, fail_every > 0 && i % fail_every == 0);
}

/* Guards against a run of failures that begins no ramp, single failures that begin one, and one
 * after the other while failures last. */
static void
test_failures (void)
{
  int begun = 0;
  fr_pace_hooks_t hooks = { .begun = count_begin, .user = &begun };
  fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
  fr_pace_t *pace = fr_create_pace (FR_PACE_DEFAULT, 0, clock, &hooks);

  fr_set_pace_slots (pace, SLOTS);
  record_calls (pace, 100, 2);
  g_assert_cmpint (begun, ==, 0);
  record_calls (pace, 20, 1);
  g_assert_cmpint (begun, ==, 1);
  g_assert_cmpuint (fr_get_pace_limit (pace), ==, 1);
  record_calls (pace, 100, 0);
  g_assert_false (fr_is_ramping (pace));
  record_calls (pace, 100, 1);
  g_assert_cmpint (begun, ==, 1);
  fr_destroy_pace (pace);
  fb_destroy_clock (clock);
}

static void
count_start (void *call, void *user)
{
  ++*(int *)user;
}

static void
ignore_refusal (void *call, fr_refusal_t refusal, void *user)
{
}

/* Guards against calls over the limit, a limit that is not applied when it rises, a load and a
 * wait that are reported for all slots, and a first limit for 1 slot where the number of slots
 * becomes known after the begin of the ramp. */
static void
test_admission (void)
{
  static const fr_rank_options_t rank = { .latency_target = 10 * FB_SECOND };
  int started = 0;
  fr_admission_hooks_t hooks = { count_start, ignore_refusal, &started };
  fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();
  fr_admission_t *admission
      = fr_create_admission (FR_POLICY_SHARES, SLOTS, &rank, 1, clock, counters, &hooks);
  fr_pace_t *pace = fr_create_pace (FR_PACE_DEFAULT, 0, clock, NULL);

  fr_set_admission_pace (admission, pace);
  fr_begin_ramp (pace, FR_PACE_STARTED);
  for (uint64_t id = 1; id <= 60; id++)
    fr_offer_call (admission, id, NULL, 0, FB_LITERAL ("c"), 1, 160 * FB_SECOND);
  g_assert_cmpint (started, ==, FIRST_LIMIT);
  g_assert_cmpuint (fr_get_load (admission), ==, 60000 / FIRST_LIMIT);
  for (uint64_t id = 1; id <= 40; id++)
    {
      fb_advance_clock (clock, (id == 1 ? 100 : 10) * FB_MILLISECOND);
      fr_record_paced_call (pace, 0, 100 * FB_MILLISECOND, false);
      fr_finish_call (admission, id);
      if (id == 1)
        g_assert_cmpint (fr_get_expected_wait (admission, 0), >, 2 * FB_SECOND);
    }
  g_assert_cmpuint (fr_count_started (admission), ==, SLOTS);
  g_assert_cmpuint (fr_get_load (admission), ==, 20 * 1000 / SLOTS);
  fr_begin_ramp (pace, FR_PACE_CONNECTION);
  fr_finish_call (admission, 41);
  g_assert_cmpuint (fr_count_started (admission), ==, SLOTS - 1);
  fr_configure_admission (admission, SLOTS * 2, &rank, 1);
  g_assert_cmpuint (fr_get_pace_limit (pace), ==, FIRST_LIMIT * 2);
  fr_destroy_admission (admission);
  fr_destroy_pace (pace);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/pace/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
      g_free (path);
    }
  g_test_add_func ("/pace/failures", test_failures);
  g_test_add_func ("/pace/admission", test_admission);
  return g_test_run ();
}
