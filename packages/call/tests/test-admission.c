/* Rules of admission, tested by scripts of offered and finished calls on a manual clock. */
#include <foxtailrun/call/admission.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define RANKS_MAX 3

typedef struct
{
  fr_admission_t *admission;
  fb_clock_t *clock;
  fb_counters_t *counters;
  fr_rate_limit_t *rate_limit;
  fr_warmup_t *warmup;
  fr_rank_options_t ranks[RANKS_MAX];
  uint32_t slots;
  size_t rank_count;
  GString *events;
} fixture_t;

static void
on_start (void *call, void *user)
{
  fixture_t *fixture = user;

  g_string_append_printf (fixture->events, "s%u ", GPOINTER_TO_UINT (call));
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  fixture_t *fixture = user;

  g_string_append_printf (fixture->events, "%s%u ", fr_describe_refusal (refusal),
                          GPOINTER_TO_UINT (call));
}

/* Runs one step of a script: "oID,RANK,CUSTOMER,WEIGHT,DEADLINE" (ms from now) offers, "fID"
 * finishes, "cID" cancels, "+MS" advances the clock, "t" ticks, "d" drains, "SN" sets the
 * slots, "RN" the number of ranks and "LN" a limit of N calls a second; "CN" makes the server
 * cold, tolerating N requests a second. */
static void
run_step (fixture_t *fixture, const char *step)
{
  uint64_t id = strtoull (step + 1, NULL, 10);
  char **fields;

  switch (step[0])
    {
    case 'o':
      fields = g_strsplit (step + 1, ",", 5);
      fr_offer_call (fixture->admission, id, GUINT_TO_POINTER (id), (uint32_t)atoi (fields[1]),
                     fb_wrap_text (fields[2]), atof (fields[3]),
                     fb_read_clock (fixture->clock) + atoi (fields[4]) * FB_MILLISECOND);
      g_strfreev (fields);
      break;
    case 'f':
      fr_finish_call (fixture->admission, id);
      break;
    case 'c':
      g_string_append (fixture->events,
                       fr_cancel_call (fixture->admission, id) ? "yes " : "no ");
      break;
    case '+':
      fb_advance_clock (fixture->clock, (fb_time_t)id * FB_MILLISECOND);
      break;
    case 't':
      fr_tick_admission (fixture->admission);
      break;
    case 'd':
      fr_drain_admission (fixture->admission);
      break;
    case 'C':
      fr_configure_warmup (fixture->warmup, (double)id, 1);
      fr_set_cold_until (fixture->warmup, fb_read_clock (fixture->clock) + 60 * FB_SECOND);
      break;
    case 'L':
      fr_name_rate_limit (fixture->rate_limit, (double)id);
      break;
    default:
      g_assert_true (step[0] == 'S' || step[0] == 'R');
      if (step[0] == 'S')
        fixture->slots = (uint32_t)id;
      else
        fixture->rank_count = id;
      fr_configure_admission (fixture->admission, fixture->slots, fixture->ranks,
                              fixture->rank_count);
      break;
    }
}

static void
run_script (fixture_t *fixture, const char *script)
{
  char **steps = g_strsplit (script, " ", -1);

  for (size_t i = 0; steps[i] != NULL; i++)
    run_step (fixture, steps[i]);
  g_strfreev (steps);
}

typedef struct
{
  const char *name;
  const char *guards; /* the failure that the case guards against */
  fr_policy_t policy;
  uint32_t slots;
  double share_0;
  double share_1;
  double share_2;
  uint32_t target_ms;
  uint32_t queue_max;
  const char *script;
  const char *events;
} case_t;

static const case_t cases[] = {
  { "urgent-first", "less urgent calls that arrived earlier start first", FR_POLICY_SHARES, 1,
    0, 0, 0, 0, 0, "o1,1,a,1,900 o2,1,a,1,900 o3,0,a,1,900 f1 f3", "s1 s3 s2 " },
  { "share-first", "a flood of the most urgent rank starves the others", FR_POLICY_SHARES, 1,
    0.5, 0.5, 0, 0, 0,
    "o1,0,a,1,9000 +1000 o2,0,a,1,9000 o3,1,a,1,9000 f1 +2000 o4,1,a,1,9000 f3", "s1 s3 s2 " },
  { "share-unused", "slots stay idle for a rank without calls", FR_POLICY_SHARES, 1, 0.1, 0.9,
    0, 0, 0, "o1,0,a,1,9000 +1000 o2,0,a,1,9000 f1", "s1 s2 " },
  { "share-by-time",
    "a rank gets more than its share because calls are counted instead of slot time",
    FR_POLICY_SHARES, 2, 0.5, 0.5, 0, 0, 0,
    "o1,0,a,1,9000 o2,1,a,1,9000 +100 f1 o3,0,a,1,9000 +900 o4,0,a,1,9000 o5,1,a,1,9000 f2",
    "s1 s2 s3 s4 " },
  { "reserve", "long calls of the least urgent rank hold every slot", FR_POLICY_SHARES, 5, 0.9,
    0, 0.01, 0, 0,
    "o1,0,a,1,9000 +500 o2,2,a,1,9000 o3,2,a,1,9000 +500 o4,2,a,1,9000 o5,2,a,1,9000 "
    "o6,0,a,1,9000",
    "s1 s2 s3 s4 s6 " },
  { "reserve-idle", "slots stay idle for an urgent rank without traffic", FR_POLICY_SHARES, 5,
    0.9, 0, 0.01, 0, 0,
    "o1,0,a,1,9000 +300 f1 o2,2,a,1,9000 o3,2,a,1,9000 o4,2,a,1,9000 o5,2,a,1,9000 "
    "+100 o6,2,a,1,9000 +5000 t",
    "s1 s2 s3 s4 s5 s6 " },
  { "customer-fairness", "a customer gets more slots by sending more calls", FR_POLICY_SHARES,
    1, 0, 0, 0, 0, 0,
    "o1,0,a,1,900 o2,0,a,1,900 o3,0,a,1,900 o4,0,b,1,900 o5,0,b,1,900 f1 f4 f2 f5",
    "s1 s4 s2 s5 s3 " },
  { "customer-idle", "an idle customer accumulates credit", FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0,
    "o1,0,a,1,9000 +10 f1 o2,0,b,1,9000 o3,0,b,1,9000 o4,0,b,1,9000 +10 f2 +10 f3 +10 f4 "
    "o5,0,b,1,9000 o6,0,a,1,9000 o7,0,a,1,9000 o8,0,a,1,9000 o9,0,b,1,9000 +10 f5 +10 f6 +10 f9 "
    "+10 f7",
    "s1 s2 s3 s4 s5 s6 s9 s7 s8 " },
  { "customer-weight", "weights do not matter", FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0,
    "o1,0,c,1,9000 o2,0,a,3,9000 o3,0,a,3,9000 o4,0,a,3,9000 o5,0,b,1,9000 o6,0,b,1,9000 "
    "+1 f1 +1 f2 +1 f5 +1 f3 +1 f4",
    "s1 s2 s5 s3 s4 s6 " },
  { "deadline-passed", "a call whose deadline has passed is started", FR_POLICY_SHARES, 1, 0, 0,
    0, 0, 0, "o1,0,a,1,0", "deadline1 " },
  { "deadline-wait", "a call waits although it cannot end in time", FR_POLICY_SHARES, 1, 0, 0,
    0, 0, 0, "o1,0,a,1,9000 +100 f1 o2,0,a,1,9000 o3,0,a,1,9000 o4,0,a,1,250 o5,0,a,1,350",
    "s1 s2 deadline4 " },
  { "deadline-probe", "a wrong average service time causes refusals without end",
    FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0, "o1,0,a,1,9000 +5000 f1 o2,0,a,1,100", "s1 s2 " },
  { "deadline-tick", "expired calls stay in the queue", FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0,
    "o1,0,a,1,9000 o2,0,a,1,50 +60 t", "s1 deadline2 " },
  { "deadline-pause", "a call queued before a pause is started after its deadline",
    FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0, "o1,0,a,1,900 o2,0,a,1,900 o3,0,a,1,9000 +5000 f1",
    "s1 deadline2 s3 " },
  { "queue-largest", "a newcomer is refused in favour of the customer that fills the queue",
    FR_POLICY_SHARES, 1, 0, 0, 0, 0, 3,
    "o1,0,a,1,900 o2,0,a,1,900 o3,0,a,1,900 o4,0,a,1,900 o5,0,b,1,900 f1 f5 f2",
    "s1 queue-full4 s5 s2 s3 " },
  { "queue-same-customer", "the customer that fills the queue displaces others",
    FR_POLICY_SHARES, 1, 0, 0, 0, 0, 3,
    "o1,0,a,1,900 o2,0,b,1,900 o3,0,a,1,900 o4,0,a,1,900 o5,0,a,1,900", "s1 queue-full5 " },
  { "target", "a rank over its share queues calls past its target", FR_POLICY_SHARES, 1, 0.1, 0,
    0, 150, 0, "o1,0,a,1,9000 +100 f1 o2,0,a,1,9000 +100 o3,0,a,1,9000 o4,0,a,1,9000",
    "s1 s2 queue-full4 " },
  { "target-share", "a rank below its share is refused because of its target", FR_POLICY_SHARES,
    1, 0.9, 0, 0, 150, 0, "o1,0,a,1,9000 +100 f1 o2,0,a,1,9000 o3,0,a,1,9000 o4,0,a,1,9000",
    "s1 s2 " },
  { "target-waited", "a slot goes to a call that has missed its target", FR_POLICY_SHARES, 2,
    0.1, 0, 0, 150, 0,
    "o1,0,a,1,9000 o2,0,a,1,9000 +10 f1 o3,0,a,1,9000 o4,0,a,1,9000 +200 o5,0,a,1,9000 f2",
    "s1 s2 s3 queue-full4 s5 " },
  { "target-fair-share", "a flood of one customer causes refusals of others in its rank",
    FR_POLICY_SHARES, 2, 0.1, 0, 0, 150, 0,
    "o1,0,a,1,9000 o2,0,a,1,9000 +10 f1 o3,0,a,1,9000 o4,0,a,1,9000 o5,0,b,1,9000 +200 f2 f3",
    "s1 s2 s3 s5 queue-full4 " },
  { "drain", "draining drops waiting calls or accepts new ones", FR_POLICY_SHARES, 1, 0, 0, 0,
    0, 0, "o1,0,a,1,900 o2,0,a,1,900 d o3,0,a,1,900 f1", "s1 draining3 s2 " },
  { "cancel", "a cancelled call starts, or a started one is refused", FR_POLICY_SHARES, 1, 0, 0,
    0, 0, 0, "o1,0,a,1,900 o2,0,a,1,900 c2 c1 c2 f1", "s1 cancelled2 yes no no " },
  { "more-slots", "new slots stay idle", FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0,
    "o1,0,a,1,900 o2,0,a,1,900 o3,0,a,1,900 S2 S1 f1 f2", "s1 s2 s3 " },
  { "fewer-ranks", "calls of a removed rank are lost", FR_POLICY_SHARES, 1, 0, 0, 0, 0, 0,
    "o1,2,a,1,900 o2,2,a,1,900 o3,1,b,1,900 o4,2,c,1,900 R1 o5,7,a,1,900 o6,0,d,1,900 f1 f3 f4 f6 "
    "f2 R3 f5",
    "s1 s3 s4 s6 s2 s5 " },
  { "rate-limit", "free slots exceed the limit of the backend server", FR_POLICY_SHARES, 5, 0,
    0, 0, 0, 0, "L10 o1,0,a,1,9000 o2,0,a,1,9000 o3,0,a,1,9000 +100 t +90 t +10 t f1 +100 t",
    "s1 s2 s3 " },
  { "rate-limit-urgent", "a less urgent call takes the start that the limit allows",
    FR_POLICY_SHARES, 5, 0, 0, 0, 0, 0,
    "L10 o1,1,a,1,9000 o2,1,a,1,9000 o3,0,a,1,9000 +100 t +100 t +100 t", "s3 s1 s2 " },
  { "rate-limit-deadline", "a call that the limit starts too late waits until its deadline",
    FR_POLICY_SHARES, 5, 0, 0, 0, 0, 0,
    "L10 o1,0,a,1,250 o2,0,a,1,250 o3,0,a,1,250 o4,1,a,1,150 +100 t +100 t",
    "rate-limit3 "
    "rate-limit4 s1 s2 " },
  { "rate-limit-share", "an urgent flood under a limit starves a rank within its share",
    FR_POLICY_SHARES, 5, 0.5, 0.5, 0, 0, 0,
    "o1,0,a,1,9000 +100 f1 L10 o2,0,a,1,9000 o3,0,a,1,9000 o4,0,a,1,9000 "
    "o5,0,a,1,9000 o6,0,a,1,9000 o7,0,a,1,9000 o8,0,a,1,9000 o9,0,a,1,9000 "
    "o10,0,a,1,9000 o11,0,a,1,9000 o12,0,a,1,9000 o20,1,a,1,9000 +100 t +100 f2 t "
    "+100 f3 t +100 f4 t +100 f5 t +100 f6 t +100 f7 t +100 f8 t",
    "s1 s2 s3 s4 s5 s6 s7 s8 s20 " },
  { "rate-limit-short-calls",
    "a call waits until its deadline behind short urgent ones that take the whole limit",
    FR_POLICY_SHARES, 5, 0, 0, 0, 0, 0,
    "o50,1,a,1,900 +500 f50 L10 o1,0,a,1,900 +100 t +1 f1 o2,0,a,1,900 +100 t +1 f2 o3,0,a,1,900 +100 t +1 f3 "
    "o4,0,a,1,900 +100 t +1 f4 o5,0,a,1,900 +100 t +1 f5 o6,0,a,1,900 +100 t +1 f6 "
    "o7,0,a,1,900 +100 t +1 f7 o8,0,a,1,900 +100 t +1 f8 o9,0,a,1,900 +100 t +1 f9 "
    "o10,0,a,1,900 +100 t +1 f10 o11,0,a,1,900 +100 t +1 f11 o12,0,a,1,900 +100 t +1 f12 "
    "o13,0,a,1,900 +100 t +1 f13 o14,0,a,1,900 +100 t +1 f14 o15,0,a,1,900 +100 t +1 f15 "
    "o16,0,a,1,900 +100 t +1 f16 o17,0,a,1,900 +100 t +1 f17 o18,0,a,1,900 +100 t +1 f18 "
    "o19,0,a,1,900 +100 t +1 f19 o20,0,a,1,900 +100 t +1 f20 o21,0,a,1,900 +100 t +1 f21 "
    "o22,0,a,1,900 +100 t +1 f22 o23,0,a,1,900 +100 t +1 f23 o24,0,a,1,900 +100 t +1 f24 "
    "o25,0,a,1,900 +100 t +1 f25 o26,0,a,1,900 o99,1,a,1,2000",
    "s50 s1 s2 s3 s4 s5 s6 s7 s8 s9 s10 s11 s12 s13 s14 s15 s16 s17 s18 s19 s20 s21 s22 s23 "
    "s24 s25 rate-limit99 " },
  /* Of 4 starts of a cold server one is kept for health checks, of 10 and 27 two; a quarter of
   * the others, rounded up, may start in 250 ms. */
  { "cold", "free slots exceed the limit of a cold server", FR_POLICY_SHARES, 9, 0, 0, 0, 0, 0,
    "C4 o1,0,a,1,9000 o2,0,a,1,9000 o3,0,a,1,9000 o4,0,a,1,9000 +250 t +250 t +499 t c9 +1 t",
    "s1 s2 s3 no s4 " },
  { "cold-refusal", "a call that cannot start in time waits, or one that can is refused",
    FR_POLICY_SHARES, 9, 0, 0, 0, 0, 0,
    "C4 o1,0,a,1,90 o2,0,a,1,249 o3,0,a,1,251 o4,0,a,1,499 o5,0,a,1,501 o6,0,a,1,999 "
    "o7,0,a,1,1001 +250 t +250 t +500 t",
    "s1 warming-up2 warming-up4 warming-up6 s3 s5 s7 " },
  { "cold-urgent", "a less urgent call takes a start of a cold server", FR_POLICY_SHARES, 9, 0,
    0, 0, 0, 0, "C4 o1,1,a,1,9000 o2,1,a,1,9000 o3,0,a,1,9000 +250 t +250 t", "s1 s3 s2 " },
  { "cold-reserve", "a burst of less urgent calls takes all starts", FR_POLICY_SHARES, 20, 0, 0,
    0, 0, 0,
    "C27 o1,0,a,1,9000 o2,2,a,1,9000 o3,2,a,1,9000 o4,2,a,1,9000 o5,2,a,1,9000 o6,2,a,1,9000 "
    "o7,2,a,1,9000 o8,2,a,1,9000 o9,0,a,1,9000 o10,0,a,1,9000 o11,0,a,1,9000",
    "s1 s2 s3 s4 s5 s9 s10 " },
  { "cold-share", "an urgent flood starves a rank within its share of the starts",
    FR_POLICY_SHARES, 20, 0.5, 0.5, 0, 0, 0,
    "C10 o1,0,a,1,9000 o2,0,a,1,9000 o3,0,a,1,9000 o4,0,a,1,9000 o5,0,a,1,9000 o6,0,a,1,9000 "
    "o7,0,a,1,9000 o8,0,a,1,9000 o9,0,a,1,9000 o20,1,a,1,9000 +250 t +250 t +250 t",
    "s1 s2 s3 s4 s5 s6 s7 s20 " },
  { "cold-and-limited", "the shorter of two waits counts", FR_POLICY_SHARES, 9, 0, 0, 0, 0, 0,
    "L1 C4 o1,0,a,1,900 +1000 o2,0,a,1,9 L1000 +9 o3,0,a,1,9 o4,0,a,1,900 +241 t",
    "rate-limit1 s2 warming-up3 s4 " },
  { "fifo", "the baseline respects ranks", FR_POLICY_FIFO, 1, 0, 0, 0, 0, 0,
    "o1,1,a,1,900 o2,1,a,1,900 o3,0,a,1,900 f1", "s1 s2 " },
  { "strict", "the baseline respects shares", FR_POLICY_STRICT, 1, 0, 0.9, 0, 0, 0,
    "o1,1,a,1,900 o2,1,a,1,900 o3,0,a,1,900 f1", "s1 s3 " },
  { "fair", "the baseline respects urgency", FR_POLICY_FAIR, 1, 0.3, 0.7, 0, 0, 0,
    "o1,0,a,1,900 +10 o2,0,a,1,900 o3,1,a,1,900 f1", "s1 s3 " },
  { "adaptive", "the baseline's limit never changes", FR_POLICY_ADAPTIVE, 1, 0, 0, 0, 0, 0,
    "o1,0,a,1,900 o2,0,a,1,900 +10 f1 o3,0,a,1,900 o4,0,a,1,900 o5,0,a,1,900",
    "s1 queue-full2 s3 queue-full5 " },
};

static void
run_case (gconstpointer data)
{
  const case_t *test = data;
  fixture_t fixture = { 0 };
  const fr_admission_hooks_t hooks = { on_start, on_refuse, &fixture };

  fixture.clock = fb_create_manual_clock (FB_SECOND);
  fixture.counters = fb_create_counters ();
  fixture.events = g_string_new ("");
  fixture.slots = test->slots;
  fixture.rank_count = RANKS_MAX;
  for (int i = 0; i < RANKS_MAX; i++)
    fixture.ranks[i]
        = (fr_rank_options_t){ 0, test->target_ms * FB_MILLISECOND, test->queue_max };
  fixture.ranks[0].share = test->share_0;
  fixture.ranks[1].share = test->share_1;
  fixture.ranks[2].share = test->share_2;
  fixture.admission = fr_create_admission (test->policy, test->slots, fixture.ranks, RANKS_MAX,
                                           fixture.clock, fixture.counters, &hooks);
  fixture.rate_limit = fr_create_rate_limit (100 * FB_MILLISECOND, fixture.clock);
  fr_set_admission_rate_limit (fixture.admission, fixture.rate_limit);
  fixture.warmup = fr_create_warmup (fixture.clock);
  fb_advance_clock (fixture.clock, FR_WARMUP_WINDOW);
  fr_set_admission_warmup (fixture.admission, fixture.warmup);
  run_script (&fixture, test->script);
  g_assert_cmpstr (fixture.events->str, ==, test->events);
  fr_destroy_admission (fixture.admission);
  fr_destroy_rate_limit (fixture.rate_limit);
  fr_destroy_warmup (fixture.warmup);
  fb_destroy_counters (fixture.counters);
  fb_destroy_clock (fixture.clock);
  g_string_free (fixture.events, TRUE);
}

/* State of hooks that call admission: a started call offers two more, cancels the second and
 * finishes itself; a refused call offers one more. */
typedef struct
{
  fr_admission_t *admission;
  uint32_t last_id;
  uint32_t started;
  uint32_t refused;
  uint32_t nesting; /* of hooks */
} reentry_t;

static void
offer_next (reentry_t *reentry)
{
  uint32_t id = ++reentry->last_id;

  if (id <= 200)
    fr_offer_call (reentry->admission, id, GUINT_TO_POINTER (id), 0, FB_LITERAL ("a"), 1,
                   2 * FB_SECOND);
}

static void
reenter_start (void *call, void *user)
{
  reentry_t *reentry = user;

  g_assert_cmpuint (reentry->nesting++, ==, 0);
  reentry->started++;
  offer_next (reentry);
  offer_next (reentry);
  fr_cancel_call (reentry->admission, reentry->last_id);
  fr_finish_call (reentry->admission, GPOINTER_TO_UINT (call));
  fr_tick_admission (reentry->admission);
  reentry->nesting--;
}

static void
reenter_refuse (void *call, fr_refusal_t refusal, void *user)
{
  reentry_t *reentry = user;

  g_assert_cmpuint (reentry->nesting++, ==, 0);
  reentry->refused++;
  offer_next (reentry);
  reentry->nesting--;
}

/* Guards against nested hooks, lost calls and two hooks for one call when hooks call admission.
 */
static void
test_reentry (void)
{
  reentry_t reentry = { 0 };
  const fr_admission_hooks_t hooks = { reenter_start, reenter_refuse, &reentry };
  const fr_rank_options_t rank_options = { 1, 0, 3 };
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();

  reentry.admission
      = fr_create_admission (FR_POLICY_SHARES, 2, &rank_options, 1, clock, counters, &hooks);
  offer_next (&reentry);
  g_assert_cmpuint (reentry.started + reentry.refused, ==, 200);
  g_assert_cmpuint (reentry.started, >=, 20);
  g_assert_cmpuint (reentry.refused, >=, 20);
  g_assert_cmpuint (fr_count_started (reentry.admission), ==, 0);
  g_assert_cmpuint (fr_count_waiting (reentry.admission), ==, 0);
  fr_destroy_admission (reentry.admission);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
}

/* Guards against a slot freed twice, after which more calls than slots would run. */
static void
test_finish_twice (void)
{
  if (g_test_subprocess ())
    {
      fixture_t fixture = { .events = g_string_new ("") };
      const fr_admission_hooks_t hooks = { on_start, on_refuse, &fixture };
      const fr_rank_options_t rank_options = { 1, 0, 0 };

      fixture.clock = fb_create_manual_clock (0);
      fixture.admission = fr_create_admission (FR_POLICY_SHARES, 1, &rank_options, 1,
                                               fixture.clock, fb_create_counters (), &hooks);
      run_script (&fixture, "o1,0,a,1,900 o2,0,a,1,900 f1 f1");
      return;
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_failed ();
  g_test_trap_assert_stderr ("*entry != NULL*");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/admission/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], run_case);
      g_free (path);
    }
  g_test_add_func ("/admission/reentry", test_reentry);
  g_test_add_func ("/admission/finish-twice", test_finish_twice);
  return g_test_run ();
}
