/* When one node is ready, whom it asks and how much it answers. */
#include "fixture-bed.h"

/* Guards against calls being taken before the node has caught up, and against a node that never
 * becomes ready although the rule holds. */
static void
test_join_rule (void)
{
  static const struct
  {
    size_t others;
    bool peers_answer;
    bool peers_ready;
    bool peers_hold; /* the document, which is delivered when fetched */
    bool lists_answered;
    bool source_answers;
    int ready_after_ms; /* from the start, at most; -1: never */
    int unready_ms;     /* not ready before */
  } cases[] = {
    { 8, true, true, true, true, true, 2100, 0 },
    { 8, true, false, false, true, true, 3100, 3000 },
    { 8, true, true, true, false, true, 3100, 3000 },
    { 8, true, true, true, true, false, 3100, 3000 },
    { 8, false, false, false, false, true, 3100, 3000 },
    { 8, false, false, false, false, false, -1, 0 },
    { 0, false, false, false, false, true, 3100, 3000 },
    { 8, true, true, false, true, false, -1, 0 },
  };
  GBytes *document = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (document, 5, 3);
  fb_version_t none = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bed_t *bed = open_bed (cases[i].others);
      int ready_at = -1;

      for (int ms = 0; ms <= 8000 && ready_at < 0; ms += 100)
        {
          pass_time (bed, 100 * FB_MILLISECOND);
          if (cases[i].peers_answer)
            answer_summaries (bed, cases[i].peers_hold ? &version : &none, cases[i].peers_ready,
                              cases[i].lists_answered);
          if (cases[i].peers_hold && count_sent (bed, FW_FETCH) > 0)
            give_document (bed, 0, document, &version);
          if (bed->reading && cases[i].source_answers)
            give_source_value (bed, 3, document);
          if (bed->ready)
            ready_at = ms;
          g_assert_cmpint (bed->ready, ==, fd_is_ready (bed->node));
        }
      g_assert_cmpint (ready_at, <=, cases[i].ready_after_ms);
      g_assert_cmpint (ready_at < 0, ==, cases[i].ready_after_ms < 0);
      g_assert_cmpint (ready_at < 0 ? 0 : ready_at, >=, cases[i].unready_ms - 100);
      close_bed (bed);
    }
  g_bytes_unref (document);
}

/* Guards against a node that takes calls with the older version of a stale source although its
 * peers announced a newer one. */
static void
test_join_fetches_first (void)
{
  bed_t *bed = open_bed (8);
  GBytes *older = sf_make_document (4, 1, 1);
  GBytes *newer = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (newer, 5, 3);

  for (int i = 0; i < 40; i++)
    {
      pass_time (bed, 100 * FB_MILLISECOND);
      answer_summaries (bed, &version, true, true);
      if (bed->reading)
        give_source_value (bed, 2, older);
    }
  g_assert_cmpuint (fd_get_version (bed->node)->number, ==, 4);
  g_assert_false (fd_is_ready (bed->node));
  give_document (bed, 0, newer, &version);
  g_assert_true (fd_is_ready (bed->node));
  g_bytes_unref (newer);
  g_bytes_unref (older);
  close_bed (bed);
}

/* Guards against a join that asks one zone only, or more members than it should. */
static void
test_join_questions (void)
{
  bed_t *bed = open_bed (12);
  size_t zones[2] = { 0, 0 };

  pass_time (bed, 500 * FB_MILLISECOND);
  for (size_t i = 0; i < bed->sent_count; i++)
    {
      const fw_member_t *to = fm_find_member (bed->table, &bed->sent[i].to);
      if (bed->sent[i].kind == FW_SUMMARY_REQUEST)
        zones[to->zone.data[5] - '0']++;
    }
  g_assert_cmpuint (zones[0] + zones[1], ==, 6);
  g_assert_true (zones[0] > 0 && zones[1] > 0);
  g_assert_cmpuint (count_sent (bed, FW_MEMBERS_REQUEST), ==, 2);
  close_bed (bed);
}

/* Guards against a resumed node that says it is ready before its first tick, or ever before it
 * has caught up again. */
static void
test_pause (void)
{
  bed_t *bed = open_bed (2);
  GBytes *document = sf_make_document (5, 1, 1);
  fw_control_t ask = { .kind = FW_SUMMARY_REQUEST, .sender = bed->others[0].id };

  pass_time (bed, 2 * FB_SECOND);
  give_source_value (bed, 3, document);
  pass_time (bed, 3 * FB_SECOND);
  g_assert_true (fd_is_ready (bed->node));
  fb_advance_clock (bed->clock, 2 * FB_SECOND);
  g_assert_true (fd_is_ready (bed->node));
  fb_advance_clock (bed->clock, 200 * FB_MILLISECOND);
  g_assert_false (fd_is_ready (bed->node));
  bed->sent_count = 0;
  fd_handle_message (bed->node, &ask);
  g_assert_cmpuint (bed->sent_count, ==, 1);
  g_assert_false (bed->sent[0].ready);
  g_assert_false (bed->ready);
  g_assert_cmpuint (fm_get_self (bed->table)->incarnation, ==, 2);
  pass_time (bed, 4 * FB_SECOND);
  g_assert_false (fd_is_ready (bed->node));
  answer_summaries (bed, fd_get_version (bed->node), true, true);
  pass_time (bed, FB_SECOND);
  g_assert_true (fd_is_ready (bed->node));
  g_bytes_unref (document);
  close_bed (bed);
}

/* Guards against a herd of joining nodes swamping one node with answers, and against a node
 * that is not ready keeping its document to itself. */
static void
test_answer_bounds (void)
{
  bed_t *bed = open_bed (1);
  GBytes *document = sf_make_document (5, 1, 50);
  fb_version_t version = describe_version (document, 5, 3);
  fw_control_t ask = { .kind = FW_SUMMARY_REQUEST, .sender = bed->others[0].id };
  size_t with_document = 0;

  fd_tick (bed->node);
  give_document (bed, 0, document, &version);
  g_assert_false (fd_is_ready (bed->node));
  bed->sent_count = 0;
  for (int i = 0; i < 20; i++)
    {
      ask.kind = FW_FETCH;
      fd_handle_message (bed->node, &ask);
    }
  for (size_t i = 0; i < bed->sent_count; i++)
    with_document += bed->sent[i].length > 0;
  g_assert_cmpuint (with_document, ==, 4);
  for (int i = 0; i < 3000; i++)
    {
      ask.kind = i % 3 == 0 ? FW_SUMMARY_REQUEST : i % 3 == 1 ? FW_FETCH : FW_MEMBERS_REQUEST;
      fd_handle_message (bed->node, &ask);
    }
  g_assert_cmpuint (bed->sent_count, <=, 240);
  g_assert_cmpuint (count_sent (bed, FW_MEMBERS), ==, 40);
  pass_time (bed, FB_SECOND);
  bed->sent_count = 0;
  ask.kind = FW_SUMMARY_REQUEST;
  fd_handle_message (bed->node, &ask);
  g_assert_cmpuint (bed->sent_count, ==, 1);
  g_bytes_unref (document);
  close_bed (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/join/join-rule", test_join_rule);
  g_test_add_func ("/join/join-fetches-first", test_join_fetches_first);
  g_test_add_func ("/join/join-questions", test_join_questions);
  g_test_add_func ("/join/pause", test_pause);
  g_test_add_func ("/join/answer-bounds", test_answer_bounds);
  return g_test_run ();
}
