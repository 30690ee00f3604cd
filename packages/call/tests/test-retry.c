/* Retry budget, rule of safe retries, and adaptive throttle. */
#include <foxtailrun/call/retry.h>
#include <glib.h>

static const fb_str_t service = FB_LITERAL ("service");

/* Guards against a second run of a call that may have run, and against retries on another node
 * of a call that is bound to one. */
static void
test_retry_safe (void)
{
  static const struct
  {
    fw_outcome_t outcome;
    bool repeatable;
    bool has_ticket;
    bool allowed;
  } cases[] = {
    { FW_ANSWERED, false, false, false },    { FW_ANSWERED, true, false, false },
    { FW_NOT_RUN, false, false, true },      { FW_NOT_RUN, true, false, true },
    { FW_UNKNOWN, false, false, false },     { FW_UNKNOWN, true, false, true },
    { FW_FAILED, false, false, false },      { FW_FAILED, true, false, true },
    { FW_ANSWERED, false, true, false },     { FW_NOT_RUN, false, true, false },
    { FW_UNKNOWN, false, true, false },      { FW_FAILED, false, true, false },
    { FW_NOT_RUN, true, true, false },       { FW_UNKNOWN, true, true, false },
    { (fw_outcome_t)0, true, false, false }, { (fw_outcome_t)9, true, false, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (
        fr_is_retry_safe (cases[i].outcome, cases[i].repeatable, cases[i].has_ticket), ==,
        cases[i].allowed);
}

static int
withdraw_all_of_rank (fr_retry_budget_t *budget, uint32_t rank)
{
  int withdrawn = 0;

  while (withdrawn < 100000 && fr_withdraw_retry (budget, service, rank))
    withdrawn++;
  return withdrawn;
}

static int
withdraw_all (fr_retry_budget_t *budget)
{
  return withdraw_all_of_rank (budget, 0);
}

/* Guards against retry storms, services with few calls that cannot retry, and a budget that
 * accumulates over time or is shared between services. */
static void
test_budget (void)
{
  fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
  fr_retry_budget_t *budget = fr_create_retry_budget (clock);

  g_assert_cmpint (withdraw_all (budget), ==, 10);
  fr_set_retry_allowance (budget, FR_RETRY_RATIO, 12.5);
  g_assert_cmpint (withdraw_all (budget), ==, 2);
  fr_set_retry_allowance (budget, FR_RETRY_RATIO, 10);
  g_assert_cmpint (withdraw_all (budget), ==, 0);
  fb_advance_clock (clock, 10 * FB_SECOND);
  g_assert_cmpint (withdraw_all (budget), ==, 10);
  for (int i = 0; i < 1000; i++)
    fr_deposit_retry (budget, service);
  g_assert_cmpint (withdraw_all (budget), ==, 100);
  g_assert_true (fr_withdraw_retry (budget, FB_LITERAL ("other"), 0));
  fb_advance_clock (clock, 9 * FB_SECOND);
  g_assert_cmpint (withdraw_all (budget), ==, 0);
  fb_advance_clock (clock, FB_SECOND);
  g_assert_cmpint (withdraw_all (budget), ==, 10);
  fb_advance_clock (clock, 1000 * FB_SECOND);
  g_assert_cmpint (withdraw_all (budget), ==, 10);
  fr_destroy_retry_budget (budget);
  fb_destroy_clock (clock);
}

/* Guards against less urgent calls that use up the budget, and uncharged retries inside a
 * repeated run. */
static void
test_budget_ranks (void)
{
  static const struct
  {
    int charged;
    uint32_t rank;
    int withdrawn; /* of 100 */
  } cases[] = { { 0, 0, 100 }, { 0, 1, 75 },  { 0, 2, 50 }, { 0, 3, 25 },  { 0, 9, 25 },
                { 60, 0, 40 }, { 60, 1, 15 }, { 60, 2, 0 }, { 100, 0, 0 }, { 130, 0, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
      fr_retry_budget_t *budget = fr_create_retry_budget (clock);

      fr_set_retry_allowance (budget, 0.2, 0);
      for (int j = 0; j < 500; j++)
        fr_deposit_retry (budget, service);
      for (int j = 0; j < cases[i].charged; j++)
        fr_charge_retry (budget, service);
      g_assert_cmpint (withdraw_all_of_rank (budget, cases[i].rank), ==, cases[i].withdrawn);
      fr_destroy_retry_budget (budget);
      fb_destroy_clock (clock);
    }
}

/* Guards against hedges that use up the retries of failed calls, that are not charged to the
 * budget or outlive its window, and against hedges with a share of 0. */
static void
test_hedge_share (void)
{
  static const struct
  {
    int charged; /* retries before */
    uint32_t rank;
    double share;
    int hedges;
    int retries; /* after the hedges */
  } cases[] = {
    { 0, 0, 0, 0, 100 },     { 0, 0, 0.5, 50, 50 }, { 0, 0, 1, 100, 0 },
    { 0, 0, 0.009, 0, 100 }, { 0, 0, 0.01, 1, 99 }, { 40, 0, 0.5, 50, 10 },
    { 70, 0, 0.5, 30, 0 },   { 100, 0, 0.5, 0, 0 }, { 0, 1, 0.5, 37, 38 },
    { 0, 3, 0.5, 12, 13 },   { 130, 0, 1, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
      fr_retry_budget_t *budget = fr_create_retry_budget (clock);
      int hedges = 0;

      fr_set_retry_allowance (budget, 0.2, 0);
      for (int j = 0; j < 500; j++)
        fr_deposit_retry (budget, service);
      for (int j = 0; j < cases[i].charged; j++)
        fr_charge_retry (budget, service);
      while (hedges < 1000
             && fr_withdraw_hedge (budget, service, cases[i].rank, cases[i].share))
        hedges++;
      g_assert_cmpint (hedges, ==, cases[i].hedges);
      g_assert_cmpint (withdraw_all_of_rank (budget, cases[i].rank), ==, cases[i].retries);
      fb_advance_clock (clock, 10 * FB_SECOND);
      fr_set_retry_allowance (budget, 0.2, 4);
      g_assert_cmpint (fr_withdraw_hedge (budget, service, 0, cases[i].share), ==,
                       cases[i].share >= 0.5);
      fr_destroy_retry_budget (budget);
      fb_destroy_clock (clock);
    }
}

/* Offers COUNT calls of CUSTOMER at 1,000 per second and returns the number sent. Of every
 * ACCEPT_INTERVAL calls the first is accepted if sent; none when it is 0. */
static int
offer_calls (fr_throttle_t *throttle, fb_clock_t *clock, uint32_t rank, const char *customer,
             int count, int accept_interval)
{
  int sent = 0;

  for (int i = 0; i < count; i++)
    {
      fb_advance_clock (clock, FB_MILLISECOND);
      if (!fr_admit_customer (throttle, service, rank, fb_wrap_text (customer)))
        continue;
      sent++;
      fr_report_customer (throttle, service, rank, fb_wrap_text (customer),
                          accept_interval > 0 && i % accept_interval == 0);
    }
  return sent;
}

/* Guards against floods that pass the entry node, a throttle that never recovers, and calls
 * in flight that count as refused. */
static void
test_throttle (void)
{
  fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
  fr_throttle_t *throttle = fr_create_throttle (3, clock);
  int sent;

  for (int i = 0; i < 1000; i++)
    g_assert_true (fr_admit_call (throttle, service, 0));
  g_assert_cmpint (offer_calls (throttle, clock, 0, "a", 5000, 1), ==, 5000);
  offer_calls (throttle, clock, 1, "a", 20000, 0);
  sent = offer_calls (throttle, clock, 1, "a", 10000, 0);
  /* One probe per 100 ms, and few more by the random draw. */
  g_assert_cmpint (sent, >=, 90);
  g_assert_cmpint (sent, <, 200);
  g_assert_cmpint (offer_calls (throttle, clock, 0, "a", 100, 1), ==, 100);
  offer_calls (throttle, clock, 1, "a", 30000, 1);
  g_assert_cmpint (offer_calls (throttle, clock, 1, "a", 1000, 1), ==, 1000);
  fr_destroy_throttle (throttle);
  fb_destroy_clock (clock);
}

/* Guards against a flood of one customer that causes refusals of others, and against an
 * unthrottled flood of many customers with few calls each. */
static void
test_throttle_customers (void)
{
  fb_clock_t *clock = fb_create_manual_clock (500 * FB_SECOND);
  fr_throttle_t *throttle = fr_create_throttle (3, clock);
  int sent = 0;

  for (int i = 0; i < 10; i++)
    {
      offer_calls (throttle, clock, 0, "flooder", 900, 0);
      g_assert_cmpint (offer_calls (throttle, clock, 0, "other", 100, 1), ==, 100);
      g_assert_cmpint (offer_calls (throttle, clock, 0, "small", 1, 1), ==, 1);
    }
  for (int i = 0; i < 20000; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "small-%d", i % 10000);
      sent += offer_calls (throttle, clock, 0, name, 1, 0);
    }
  g_assert_cmpint (sent, <, 1000);
  fr_destroy_throttle (throttle);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/safe", test_retry_safe);
  g_test_add_func ("/retry/budget", test_budget);
  g_test_add_func ("/retry/budget-ranks", test_budget_ranks);
  g_test_add_func ("/retry/hedge-share", test_hedge_share);
  g_test_add_func ("/throttle/rank", test_throttle);
  g_test_add_func ("/throttle/customers", test_throttle_customers);
  return g_test_run ();
}
