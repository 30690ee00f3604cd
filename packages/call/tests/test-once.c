/* Tickets and the records of calls that run at most once. */
#include <foxtailrun/call/once.h>
#include <glib.h>
#include <string.h>

static const uint8_t secret[32] = { 1, 2, 3 };

static fr_once_t *
create_once (const char *node, uint64_t start_id, size_t max_records, size_t max_bytes)
{
  fb_name_t name = fb_make_name (node);

  return fr_create_once (&name, start_id, secret, max_records, max_bytes);
}

static fr_ticket_t
issue_ticket (fr_once_t *once)
{
  char text[FR_TICKET_SIZE];
  fr_ticket_t ticket;

  fr_issue_ticket (once, text);
  g_assert_cmpint (fr_parse_ticket (fb_wrap_text (text), &ticket), ==, FB_OK);
  return ticket;
}

static fb_bytes_t
wrap_answer (const char *text)
{
  return (fb_bytes_t){ (const uint8_t *)text, strlen (text) };
}

static void
assert_state (fr_once_t *once, const fr_ticket_t *ticket, fr_once_state_t expected,
              const char *expected_answer)
{
  fb_bytes_t answer;

  g_assert_cmpint (fr_begin_once (once, ticket, 7, &answer), ==, expected);
  g_assert_cmpmem (answer.data, answer.len, expected_answer, strlen (expected_answer));
}

static fr_ticket_t
run_ticket (fr_once_t *once, const char *answer)
{
  fr_ticket_t ticket = issue_ticket (once);

  assert_state (once, &ticket, FR_ONCE_RUN, "");
  fr_end_once (once, &ticket, wrap_answer (answer));
  return ticket;
}

/* Guards against other text that is accepted as a ticket, and tickets that are rejected. */
static void
test_parse (void)
{
  static const struct
  {
    const char *text;
    fb_status_t status;
    const char *node;
    uint64_t serial;
  } cases[] = {
    { "ftr1-n-1-2-3", FB_OK, "n", 2 },
    { "ftr1-node-a-7-1-ff-3", FB_OK, "node-a-7", 255 },
    { "ftr1-n-ffffffffffffffff-ffffffffffffffff-0", FB_OK, "n", UINT64_MAX },
    { "ftr1-n-1-10000000000000000-3", FB_INVALID, "", 0 },
    { "ftr1-n-1-2", FB_INVALID, "", 0 },
    { "ftr1--1-2-3", FB_INVALID, "", 0 },
    { "ftr1-1-2-3", FB_INVALID, "", 0 },
    { "ftr2-n-1-2-3", FB_INVALID, "", 0 },
    { "ftr1-n-1-2-", FB_INVALID, "", 0 },
    { "ftr1-n-1--3", FB_INVALID, "", 0 },
    { "ftr1-n-1-2-G", FB_INVALID, "", 0 },
    { "ftr1-n-1-2-A", FB_INVALID, "", 0 },
    { "ftr1-n-1-2-3 ", FB_INVALID, "", 0 },
    { "", FB_INVALID, "", 0 },
    { "ftr1-n2345678901234567890123456789012345678901234567890-1-2-3", FB_INVALID, "", 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fr_ticket_t ticket;

      g_test_message ("%s", cases[i].text);
      g_assert_cmpint (fr_parse_ticket (fb_wrap_text (cases[i].text), &ticket), ==,
                       cases[i].status);
      if (cases[i].status != FB_OK)
        continue;
      g_assert_cmpstr (ticket.node.data, ==, cases[i].node);
      g_assert_cmpuint (ticket.serial, ==, cases[i].serial);
    }
}

/* Guards against a second run, and an answer that is lost or of another call. */
static void
test_lifecycle (void)
{
  fr_once_t *once = create_once ("node-a", 42, 10, 1000);
  fr_ticket_t ticket = issue_ticket (once);
  fr_ticket_t other = issue_ticket (once);
  fb_bytes_t answer;

  assert_state (once, &ticket, FR_ONCE_RUN, "");
  assert_state (once, &ticket, FR_ONCE_RUNNING, "");
  assert_state (once, &other, FR_ONCE_RUN, "");
  fr_end_once (once, &ticket, wrap_answer ("first"));
  fr_end_once (once, &other, wrap_answer (""));
  assert_state (once, &ticket, FR_ONCE_ANSWERED, "first");
  assert_state (once, &other, FR_ONCE_UNKNOWN, "");
  /* A different request with the same ticket does not get the recorded answer. */
  g_assert_cmpint (fr_begin_once (once, &ticket, 8, &answer), ==, FR_ONCE_MISMATCH);
  g_assert_cmpuint (answer.len, ==, 0);
  ticket = issue_ticket (once);
  assert_state (once, &ticket, FR_ONCE_RUN, "");
  fr_abandon_once (once, &ticket);
  assert_state (once, &ticket, FR_ONCE_REFUSED, "");
  fr_destroy_once (once);
}

/* Guards against a delayed copy of a request that runs after "not run" was reported, and
 * against "not run" reported for a ticket that ran. */
static void
test_refuse (void)
{
  fr_once_t *once = create_once ("node-a", 42, 2, 1000);
  fr_ticket_t unused = issue_ticket (once);
  fr_ticket_t ran = run_ticket (once, "done");
  fr_ticket_t running = issue_ticket (once);
  fr_ticket_t more = issue_ticket (once);
  fb_bytes_t answer;

  g_assert_cmpint (fr_refuse_once (once, &unused, 7, &answer), ==, FR_ONCE_REFUSED);
  assert_state (once, &unused, FR_ONCE_REFUSED, "");
  g_assert_cmpint (fr_refuse_once (once, &ran, 7, &answer), ==, FR_ONCE_ANSWERED);
  g_assert_cmpmem (answer.data, answer.len, "done", 4);
  g_assert_cmpint (fr_refuse_once (once, &ran, 8, &answer), ==, FR_ONCE_MISMATCH);
  assert_state (once, &running, FR_ONCE_RUN, "");
  g_assert_cmpint (fr_refuse_once (once, &running, 7, &answer), ==, FR_ONCE_RUNNING);
  /* The refusal's record was evicted, so it is unknown whether the ticket ran. */
  assert_state (once, &unused, FR_ONCE_UNKNOWN, "");
  assert_state (once, &more, FR_ONCE_RUN, "");
  /* While all records are running a refusal cannot be recorded. */
  unused = issue_ticket (once);
  g_assert_cmpint (fr_refuse_once (once, &unused, 7, &answer), ==, FR_ONCE_UNKNOWN);
  fr_destroy_once (once);
}

/* Guards against the acceptance of tickets that another process issued or that are forged. */
static void
test_other_process (void)
{
  fr_once_t *once = create_once ("node-a", 42, 10, 1000);
  fr_once_t *restarted = create_once ("node-a", 43, 10, 1000);
  fr_once_t *other_node = create_once ("node-b", 42, 10, 1000);
  fr_once_t *unissued = create_once ("node-a", 42, 10, 1000);
  fr_ticket_t ticket = issue_ticket (once);
  fr_ticket_t forged = ticket;

  issue_ticket (restarted);
  issue_ticket (other_node);
  assert_state (unissued, &ticket, FR_ONCE_INVALID, "");
  assert_state (restarted, &ticket, FR_ONCE_OTHER_PROCESS, "");
  assert_state (other_node, &ticket, FR_ONCE_OTHER_PROCESS, "");
  forged.nonce ^= 1;
  assert_state (once, &forged, FR_ONCE_INVALID, "");
  forged = ticket;
  forged.serial++;
  assert_state (once, &forged, FR_ONCE_INVALID, "");
  issue_ticket (once);
  assert_state (once, &forged, FR_ONCE_INVALID, "");
  forged.serial = 0;
  assert_state (once, &forged, FR_ONCE_INVALID, "");
  forged = ticket;
  forged.start_id = 43;
  assert_state (restarted, &forged, FR_ONCE_INVALID, "");
  fr_destroy_once (once);
  fr_destroy_once (restarted);
  fr_destroy_once (other_node);
  fr_destroy_once (unissued);
}

/* Guards against recorded answers beyond the limit of bytes, and against a call that runs again
 * because its answer was evicted. */
static void
test_bytes_limit (void)
{
  fr_once_t *once = create_once ("node-a", 42, 10, 10);
  fr_ticket_t late = issue_ticket (once);
  fr_ticket_t first;
  fr_ticket_t second;
  fr_ticket_t large;

  assert_state (once, &late, FR_ONCE_RUN, "");
  first = run_ticket (once, "1234");
  second = run_ticket (once, "5678");
  g_assert_cmpuint (fr_get_once_bytes (once), ==, 8);
  fr_end_once (once, &late, wrap_answer ("9012"));
  g_assert_cmpuint (fr_get_once_bytes (once), ==, 8);
  assert_state (once, &first, FR_ONCE_UNKNOWN, "");
  assert_state (once, &second, FR_ONCE_ANSWERED, "5678");
  assert_state (once, &late, FR_ONCE_ANSWERED, "9012");
  large = run_ticket (once, "12345678901");
  assert_state (once, &large, FR_ONCE_UNKNOWN, "");
  assert_state (once, &second, FR_ONCE_ANSWERED, "5678");
  g_assert_cmpuint (fr_count_once_records (once), ==, 4);
  fr_destroy_once (once);
}

/* Guards against records beyond the limit, and against a call that runs again or counts as not
 * run because its record was evicted. */
static void
test_records_limit (void)
{
  fr_once_t *once = create_once ("node-a", 42, 3, 1000);
  fr_ticket_t unused = issue_ticket (once);
  fr_ticket_t running = issue_ticket (once);
  fr_ticket_t first;

  assert_state (once, &running, FR_ONCE_RUN, "");
  first = run_ticket (once, "1");
  for (int i = 0; i < 20; i++)
    {
      fr_ticket_t ticket = run_ticket (once, "2");

      assert_state (once, &ticket, FR_ONCE_ANSWERED, "2");
      g_assert_cmpuint (fr_count_once_records (once), <=, 3);
    }
  assert_state (once, &first, FR_ONCE_UNKNOWN, "");
  assert_state (once, &unused, FR_ONCE_UNKNOWN, "");
  assert_state (once, &running, FR_ONCE_RUNNING, "");
  fr_end_once (once, &running, wrap_answer ("done"));
  assert_state (once, &running, FR_ONCE_ANSWERED, "done");
  fr_destroy_once (once);
}

/* Guards against the eviction of a running record, and a call that runs without one. */
static void
test_all_running (void)
{
  fr_once_t *once = create_once ("node-a", 42, 2, 1000);
  fr_ticket_t tickets[3] = { issue_ticket (once), issue_ticket (once), issue_ticket (once) };

  assert_state (once, &tickets[1], FR_ONCE_RUN, "");
  assert_state (once, &tickets[2], FR_ONCE_RUN, "");
  assert_state (once, &tickets[0], FR_ONCE_UNKNOWN, "");
  assert_state (once, &tickets[1], FR_ONCE_RUNNING, "");
  g_assert_cmpuint (fr_count_once_records (once), ==, 2);
  /* The record of ticket 1 is evicted, after which it must not run again. */
  fr_end_once (once, &tickets[1], wrap_answer ("1"));
  assert_state (once, &tickets[0], FR_ONCE_RUN, "");
  assert_state (once, &tickets[1], FR_ONCE_UNKNOWN, "");
  fr_abandon_once (once, &tickets[0]);
  assert_state (once, &tickets[0], FR_ONCE_REFUSED, "");
  fr_destroy_once (once);
}

/* Guards against a use that ends twice, which would replace the recorded answer. */
static void
test_end_twice (void)
{
  if (g_test_subprocess ())
    {
      fr_once_t *once = create_once ("node-a", 42, 2, 1000);
      fr_ticket_t ticket = run_ticket (once, "1");

      fr_end_once (once, &ticket, wrap_answer ("2"));
      return;
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_failed ();
  g_test_trap_assert_stderr ("*record->running*");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/once/parse", test_parse);
  g_test_add_func ("/once/lifecycle", test_lifecycle);
  g_test_add_func ("/once/refuse", test_refuse);
  g_test_add_func ("/once/other-process", test_other_process);
  g_test_add_func ("/once/bytes-limit", test_bytes_limit);
  g_test_add_func ("/once/records-limit", test_records_limit);
  g_test_add_func ("/once/all-running", test_all_running);
  g_test_add_func ("/once/end-twice", test_end_twice);
  return g_test_run ();
}
