/* When a node becomes ready, which peers it asks for summaries, and how many requests it
 * responds to. */
#include "fixture-node.h"

/* Guards against a node that accepts calls before it has caught up, or never becomes ready
 * although its join is complete. */
static void
test_join_rule (void)
{
  static const struct
  {
    size_t others;
    bool peers_respond;
    bool peers_ready;
    bool peers_have_document; /* delivered on a FETCH */
    bool member_lists_served;
    bool source_responds;
    int ready_by_ms;         /* latest time from the start; -1: never */
    int not_ready_before_ms; /* earliest time from the start */
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
      node_fixture_t *fixture = create_fixture (cases[i].others);
      int ready_at = -1;

      for (int ms = 0; ms <= 8000 && ready_at < 0; ms += 100)
        {
          advance_time (fixture, 100 * FB_MILLISECOND);
          if (cases[i].peers_respond)
            respond_to_requests (fixture, cases[i].peers_have_document ? &version : &none,
                                 cases[i].peers_ready, cases[i].member_lists_served);
          if (cases[i].peers_have_document && count_sent (fixture, FW_FETCH) > 0)
            deliver_document (fixture, 0, document, &version);
          if (fixture->read_outstanding && cases[i].source_responds)
            deliver_source_value (fixture, 3, document);
          if (fixture->ready)
            ready_at = ms;
          g_assert_cmpint (fixture->ready, ==, fd_is_ready (fixture->node));
        }
      g_assert_cmpint (ready_at, <=, cases[i].ready_by_ms);
      g_assert_cmpint (ready_at < 0, ==, cases[i].ready_by_ms < 0);
      g_assert_cmpint (ready_at < 0 ? 0 : ready_at, >=, cases[i].not_ready_before_ms - 100);
      destroy_fixture (fixture);
    }
  g_bytes_unref (document);
}

/* Guards against a node that accepts calls with the older version of a stale source although
 * its peers announced a newer one. */
static void
test_join_fetches_first (void)
{
  node_fixture_t *fixture = create_fixture (8);
  GBytes *older = sf_make_document (4, 1, 1);
  GBytes *newer = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (newer, 5, 3);

  for (int i = 0; i < 40; i++)
    {
      advance_time (fixture, 100 * FB_MILLISECOND);
      respond_to_requests (fixture, &version, true, true);
      if (fixture->read_outstanding)
        deliver_source_value (fixture, 2, older);
    }
  g_assert_cmpuint (fd_get_version (fixture->node)->number, ==, 4);
  g_assert_false (fd_is_ready (fixture->node));
  deliver_document (fixture, 0, newer, &version);
  g_assert_true (fd_is_ready (fixture->node));
  g_bytes_unref (newer);
  g_bytes_unref (older);
  destroy_fixture (fixture);
}

/* Guards against a join whose peers are in one zone only, or too many. */
static void
test_join_requests (void)
{
  node_fixture_t *fixture = create_fixture (12);
  size_t zones[2] = { 0, 0 };

  advance_time (fixture, 500 * FB_MILLISECOND);
  for (size_t i = 0; i < fixture->sent_count; i++)
    {
      const fw_member_t *to = fm_find_member (fixture->table, &fixture->sent[i].to);
      if (fixture->sent[i].kind == FW_SUMMARY_REQUEST)
        zones[to->zone.data[5] - '0']++;
    }
  g_assert_cmpuint (zones[0] + zones[1], ==, 6);
  g_assert_true (zones[0] > 0 && zones[1] > 0);
  g_assert_cmpuint (count_sent (fixture, FW_MEMBERS_REQUEST), ==, 2);
  destroy_fixture (fixture);
}

/* Guards against a resumed node that reports ready before its first tick, or before it has
 * caught up again. */
static void
test_pause (void)
{
  node_fixture_t *fixture = create_fixture (2);
  GBytes *document = sf_make_document (5, 1, 1);
  fw_control_t request = { .kind = FW_SUMMARY_REQUEST, .sender = fixture->others[0].id };

  advance_time (fixture, 2 * FB_SECOND);
  deliver_source_value (fixture, 3, document);
  advance_time (fixture, 3 * FB_SECOND);
  g_assert_true (fd_is_ready (fixture->node));
  fb_advance_clock (fixture->clock, 2 * FB_SECOND);
  g_assert_true (fd_is_ready (fixture->node));
  fb_advance_clock (fixture->clock, 200 * FB_MILLISECOND);
  g_assert_false (fd_is_ready (fixture->node));
  fixture->sent_count = 0;
  fd_handle_message (fixture->node, &request);
  g_assert_cmpuint (fixture->sent_count, ==, 1);
  g_assert_false (fixture->sent[0].ready);
  g_assert_false (fixture->ready);
  g_assert_cmpuint (fm_get_self (fixture->table)->incarnation, ==, 2);
  advance_time (fixture, 4 * FB_SECOND);
  g_assert_false (fd_is_ready (fixture->node));
  respond_to_requests (fixture, fd_get_version (fixture->node), true, true);
  advance_time (fixture, FB_SECOND);
  g_assert_true (fd_is_ready (fixture->node));
  g_bytes_unref (document);
  destroy_fixture (fixture);
}

/* Guards against joining nodes that overload one node with requests, and a node that does
 * not serve its document while not ready. */
static void
test_response_limits (void)
{
  node_fixture_t *fixture = create_fixture (1);
  GBytes *document = sf_make_document (5, 1, 50);
  fb_version_t version = describe_version (document, 5, 3);
  fw_control_t request = { .kind = FW_SUMMARY_REQUEST, .sender = fixture->others[0].id };
  size_t with_document = 0;

  fd_tick (fixture->node);
  deliver_document (fixture, 0, document, &version);
  g_assert_false (fd_is_ready (fixture->node));
  fixture->sent_count = 0;
  for (int i = 0; i < 20; i++)
    {
      request.kind = FW_FETCH;
      fd_handle_message (fixture->node, &request);
    }
  for (size_t i = 0; i < fixture->sent_count; i++)
    with_document += fixture->sent[i].length > 0;
  g_assert_cmpuint (with_document, ==, 4);
  for (int i = 0; i < 3000; i++)
    {
      request.kind = i % 3 == 0   ? FW_SUMMARY_REQUEST
                     : i % 3 == 1 ? FW_FETCH
                                  : FW_MEMBERS_REQUEST;
      fd_handle_message (fixture->node, &request);
    }
  g_assert_cmpuint (fixture->sent_count, <=, 240);
  g_assert_cmpuint (count_sent (fixture, FW_MEMBERS), ==, 40);
  advance_time (fixture, FB_SECOND);
  fixture->sent_count = 0;
  request.kind = FW_SUMMARY_REQUEST;
  fd_handle_message (fixture->node, &request);
  g_assert_cmpuint (fixture->sent_count, ==, 1);
  g_bytes_unref (document);
  destroy_fixture (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/join/join-rule", test_join_rule);
  g_test_add_func ("/join/join-fetches-first", test_join_fetches_first);
  g_test_add_func ("/join/join-requests", test_join_requests);
  g_test_add_func ("/join/pause", test_pause);
  g_test_add_func ("/join/response-limits", test_response_limits);
  return g_test_run ();
}
