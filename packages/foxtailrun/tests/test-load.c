/* Parsing, choice, classification and percentiles of foxtailrun load; foxtailrund tests the
 * run. */
#include "load.h"
#include <string.h>

/* Guards against invalid kinds accepted and valid ones misread. */
static void
test_kinds (void)
{
  static const struct
  {
    const char *text;
    const char *allowed; /* substring of the result, NULL for a valid kind */
    const char *customer;
    uint32_t weight;
    bool ticket;
  } cases[] = {
    { "GET /prices", NULL, "", 1, false },
    { "POST /pay customer=shop weight=20 ticket", NULL, "shop", 20, true },
    { "GET /a weight=1000", NULL, "", 1000, false },
    { "", "METHOD PATH", "", 1, false },
    { "GET", "METHOD PATH", "", 1, false },
    { "get /prices", "capitals", "", 1, false },
    { " /prices", "METHOD PATH", "", 1, false },
    { "GET prices", "starts with", "", 1, false },
    { "GET /a weight=0", "weight from", "", 1, false },
    { "GET /a weight=1001", "weight from", "", 1, false },
    { "GET /a weight=-1", "weight from", "", 1, false },
    { "GET /a customer=", "customer of", "", 1, false },
    { "GET /a  ticket", "after the path", "", 1, false },
    { "GET /a tickets", "after the path", "", 1, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      load_kind_t kind;
      const char *allowed = load_parse_kind (cases[i].text, &kind);

      g_test_message ("\"%s\"", cases[i].text);
      if (cases[i].allowed)
        {
          g_assert_nonnull (allowed);
          g_assert_nonnull (strstr (allowed, cases[i].allowed));
        }
      else
        {
          g_assert_null (allowed);
          g_assert_cmpstr (kind.customer.data, ==, cases[i].customer);
          g_assert_cmpuint (kind.weight, ==, cases[i].weight);
          g_assert_cmpint (kind.ticket, ==, cases[i].ticket);
        }
      load_clear_kind (&kind);
    }
}

/* Guards against a choice that ignores the weights or that the same seed does not
 * reproduce. */
static void
test_draw (void)
{
  load_plan_t plan = { .kind_count = 3 };
  size_t counts[2][3] = { { 0 } };

  plan.kinds[0].weight = 1;
  plan.kinds[1].weight = 8;
  plan.kinds[2].weight = 1;
  for (int run = 0; run < 2; run++)
    {
      GRand *random = g_rand_new_with_seed (7);

      for (int i = 0; i < 10000; i++)
        counts[run][load_draw_kind (&plan, random) - plan.kinds]++;
      g_rand_free (random);
    }
  for (int i = 0; i < 3; i++)
    {
      g_assert_cmpuint (counts[0][i], ==, counts[1][i]);
      g_assert_cmpuint (counts[0][i], >, plan.kinds[i].weight * 900);
      g_assert_cmpuint (counts[0][i], <, plan.kinds[i].weight * 1100);
    }
}

/* Guards against counting calls that may have run as not run, and backend errors as
 * goodput. */
static void
test_classify (void)
{
  static const struct
  {
    fh_result_t result;
    uint32_t status;
    const char *outcome_header; /* NULL for no header */
    load_outcome_t outcome;
  } cases[] = {
    { FH_ANSWERED, 200, "answered", LOAD_ANSWERED },
    { FH_ANSWERED, 404, "answered", LOAD_ANSWERED },
    { FH_ANSWERED, 500, "answered", LOAD_FAILED },
    { FH_ANSWERED, 502, "failed", LOAD_FAILED },
    { FH_ANSWERED, 503, "not-run", LOAD_NOT_RUN },
    { FH_ANSWERED, 428, "not-run", LOAD_NOT_RUN },
    { FH_ANSWERED, 504, "unknown", LOAD_UNKNOWN },
    { FH_ANSWERED, 503, NULL, LOAD_FAILED },
    { FH_ANSWERED, 200, NULL, LOAD_ANSWERED },
    { FH_NOT_SENT, 0, NULL, LOAD_TRANSPORT_ERROR },
    { FH_TRUNCATED, 0, NULL, LOAD_TRANSPORT_ERROR },
    { FH_NO_ANSWER, 0, NULL, LOAD_TRANSPORT_ERROR },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fh_header_t header
          = { FB_LITERAL ("foxtailrun-outcome"), fb_wrap_text (cases[i].outcome_header) };
      fh_response_t response = { .result = cases[i].result,
                                 .status = cases[i].status,
                                 .header_count = cases[i].outcome_header ? 1 : 0,
                                 .headers = &header };

      g_test_message ("%d %u %s", cases[i].result, cases[i].status, cases[i].outcome_header);
      g_assert_cmpint (load_classify_response (&response), ==, cases[i].outcome);
    }
}

/* Guards against percentiles without the slowest calls. */
static void
test_percentile (void)
{
  static const struct
  {
    guint count; /* latencies 1, 2, ... COUNT */
    double fraction;
    fb_time_t value;
  } cases[] = {
    { 0, 0.99, 0 },    { 1, 0.5, 1 },      { 1, 0.99, 1 },   { 2, 0.5, 1 },     { 3, 0.5, 2 },
    { 100, 0.99, 99 }, { 101, 0.99, 100 }, { 10, 0.99, 10 }, { 1000, 1, 1000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *latencies = g_array_new (FALSE, FALSE, sizeof (fb_time_t));

      for (fb_time_t value = 1; value <= (fb_time_t)cases[i].count; value++)
        g_array_append_val (latencies, value);
      g_assert_cmpint (load_find_percentile (latencies, cases[i].fraction), ==, cases[i].value);
      g_array_unref (latencies);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load/kinds", test_kinds);
  g_test_add_func ("/load/draw", test_draw);
  g_test_add_func ("/load/judge", test_classify);
  g_test_add_func ("/load/percentile", test_percentile);
  return g_test_run ();
}
