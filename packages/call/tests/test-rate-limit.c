/* Limit that a backend server names: how many calls start, and when it begins and ends. */
#include <foxtailrun/call/rate-limit.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define BURST_TIME (500 * FB_MILLISECOND)

typedef struct
{
  const char *name;
  const char *guards; /* the failure that the case guards against */
  const char *script;
  const char *events;
} case_t;

/* Steps: "nRATE" names a limit, "eMS" ends it by a response to a call sent MS ago, "aRATE"
 * adopts one, "r" resets, "+MS" advances the clock, "s" starts all calls that may start (at
 * most 99) and gives their number, "dN" gives the delay in ms of a call with N ahead. */
static const case_t cases[] = {
  { "none", "calls wait without a limit", "s d5", "99 0 " },
  { "begins-empty", "a limit adds a burst to the calls started before it", "n10 s d0 +100 s",
    "0 100 1 " },
  { "rate", "more calls start than the limit allows", "n10 +1000 s +1000 s +2000 s +200 s",
    "5 5 5 2 " },
  { "slow-rate", "a limit below 1 a second lets no call start", "n0.5 +1900 s +100 s +9000 s",
    "0 1 1 " },
  { "zero", "a limit of 0 never ends, as no response can end it", "n0 +3900 s +100 s d0",
    "0 1 4000 " },
  { "queue", "the wait ignores the calls ahead", "n10 +200 d0 d1 d2 d9", "0 0 100 800 " },
  { "change", "a higher limit releases calls that the lower one held back",
    "n1 +1000 n100 s d0", "1 10 " },
  { "lower", "tokens of a higher limit remain under a lower one", "n100 +1000 n2 s", "1 " },
  { "end", "a limit stays in force after the server stops naming it", "n10 +100 e50 s", "99 " },
  { "overtaken", "a late response without the limit ends it", "n10 +100 e200 s", "1 " },
  { "adopted", "a node that has restarted sends without the limit that others know",
    "a10 s +100 s a20 +100 s", "1 1 2 " },
  { "adopted-late", "the word of another node overrides the server's own", "n10 a50 d0",
    "100 " },
  { "adopted-ended", "an outdated word of another node stays in force", "a10 e0 s", "99 " },
  { "reset", "the limit of a server that is gone holds for its successor", "n10 r s a10 s",
    "99 1 " },
  { "adopted-outdated", "a limit that has ended elsewhere holds until its first token", "a0 d0",
    "0 " },
};

static void
run_step (fr_rate_limit_t *limit, fb_clock_t *clock, const char *step, GString *events)
{
  double number = g_ascii_strtod (step + 1, NULL);
  unsigned started = 0;

  switch (step[0])
    {
    case 'n':
      fr_name_rate_limit (limit, number);
      break;
    case 'e':
      fr_end_rate_limit (limit, fb_read_clock (clock) - (fb_time_t)(number * FB_MILLISECOND));
      break;
    case 'a':
      fr_adopt_rate_limit (limit, number);
      break;
    case 'r':
      fr_reset_rate_limit (limit);
      break;
    case '+':
      fb_advance_clock (clock, (fb_time_t)(number * FB_MILLISECOND));
      break;
    case 's':
      for (; started < 99 && fr_get_start_delay (limit, 0) == 0; started++)
        fr_count_start (limit);
      g_string_append_printf (events, "%u ", started);
      break;
    default:
      g_assert_true (step[0] == 'd');
      g_string_append_printf (events, "%d ",
                              (int)(fr_get_start_delay (limit, number) / FB_MILLISECOND));
    }
}

static void
run_case (gconstpointer data)
{
  const case_t *test = data;
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fr_rate_limit_t *limit = fr_create_rate_limit (BURST_TIME, clock);
  GString *events = g_string_new ("");
  char **steps = g_strsplit (test->script, " ", -1);

  for (size_t i = 0; steps[i] != NULL; i++)
    run_step (limit, clock, steps[i], events);
  g_assert_cmpstr (events->str, ==, test->events);
  g_strfreev (steps);
  g_string_free (events, TRUE);
  fr_destroy_rate_limit (limit);
  fb_destroy_clock (clock);
}

/* Guards against numbers that are no rate and put a limit in force. */
static void
test_parse (void)
{
  static const struct
  {
    const char *text;
    bool valid;
    double rate;
  } texts[] = {
    { "0", true, 0 },           { "59.7", true, 59.7 }, { "12", true, 12 },
    { "3.", true, 3 },          { "", false, 0 },       { "-1", false, 0 },
    { "1e3", false, 0 },        { "nan", false, 0 },    { "inf", false, 0 },
    { " 5", false, 0 },         { "5 ", false, 0 },     { "1.2.3", false, 0 },
    { "1,5", false, 0 },        { "0x10", false, 0 },   { ".5", false, 0 },
    { "5000000000", false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      double rate = 0;
      fb_status_t status = fr_parse_rate (fb_wrap_text (texts[i].text), &rate);

      g_test_message ("\"%s\"", texts[i].text);
      g_assert_cmpint (status == FB_OK, ==, texts[i].valid);
      if (texts[i].valid)
        g_assert_cmpfloat (rate, ==, texts[i].rate);
    }
}

/* Guards against windows of 4 s with more calls than 1.5 times the limit and 5, with calls that
 * are always waiting and the limit named again and again. */
static void
test_windows (void)
{
  enum
  {
    STEP_MS = 10,
    STEPS = 60000 / STEP_MS,
    WINDOW = 4000 / STEP_MS
  };

  for (uint32_t seed = 0; seed < 50; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
      fr_rate_limit_t *limit = fr_create_rate_limit (BURST_TIME, clock);
      double rate = g_rand_double_range (random, 0.1, 200);
      unsigned *starts = g_new0 (unsigned, STEPS);
      unsigned in_window = 0;

      fr_name_rate_limit (limit, rate);
      for (size_t i = 0; i < STEPS; i++)
        {
          fb_advance_clock (clock, STEP_MS * FB_MILLISECOND);
          if (g_rand_int_range (random, 0, 4) == 0)
            fr_name_rate_limit (limit, rate);
          for (; g_rand_int_range (random, 0, 3) > 0 && fr_get_start_delay (limit, 0) == 0;
               starts[i]++)
            fr_count_start (limit);
          in_window += starts[i];
          if (i >= WINDOW)
            in_window -= starts[i - WINDOW];
          g_assert_cmpfloat (in_window, <=, 1.5 * rate * 4 + 5);
        }
      g_free (starts);
      fr_destroy_rate_limit (limit);
      fb_destroy_clock (clock);
      g_rand_free (random);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/call/rate-limit/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], run_case);
      g_free (path);
    }
  g_test_add_func ("/call/rate-limit/parse", test_parse);
  g_test_add_func ("/call/rate-limit/windows", test_windows);
  return g_test_run ();
}
