/* Which documents a node applies, refuses and fetches. */
#include "fixture-node.h"

/* Guards against a wrong claim of a peer, a corrupt document or an older one that changes the
 * version in force. */
static void
test_refused_documents (void)
{
  static const struct
  {
    uint64_t number;  /* in the document */
    uint64_t claimed; /* by the peer */
    uint64_t revision;
    bool other_digest;
    const char *counter;
  } cases[] = {
    { 6, 7, 9, false, "dist_claim_mismatches" },
    { 6, 6, 9, true, "dist_digest_mismatches" },
    { 4, 4, 99, false, NULL },
    { 5, 5, 2, false, NULL },
  };
  GBytes *current = sf_make_document (5, 1, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      node_fixture_t *fixture = create_fixture (2);
      GBytes *document = sf_make_document (cases[i].number, 2, 1);
      fb_version_t version = describe_version (current, 5, 3);
      fb_version_t claim = describe_version (document, cases[i].claimed, cases[i].revision);

      advance_time (fixture, FB_SECOND);
      deliver_document (fixture, 0, current, &version);
      g_assert_cmpint (fb_compare_versions (fd_get_version (fixture->node), &version), ==, 0);
      claim.digest.bytes[0] ^= cases[i].other_digest;
      deliver_document (fixture, 0, document, &claim);
      g_assert_cmpint (fb_compare_versions (fd_get_version (fixture->node), &version), ==, 0);
      g_assert_cmpuint (fixture->applied, ==, 1);
      if (cases[i].counter != NULL)
        g_assert_cmpuint (get_count (fixture, cases[i].counter), ==, 1);
      g_bytes_unref (document);
      destroy_fixture (fixture);
    }
  g_bytes_unref (current);
}

/* Guards against a document applied twice, or a revision that falls, when it is published
 * again, and a false claim that gives the document in force another number. */
static void
test_raised_revision (void)
{
  node_fixture_t *fixture = create_fixture (2);
  GBytes *current = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (current, 5, 3);

  advance_time (fixture, FB_SECOND);
  deliver_document (fixture, 0, current, &version);
  version.revision = 8;
  fd_handle_summary (fixture->node, &fixture->others[0], &version);
  g_assert_cmpuint (fd_get_version (fixture->node)->revision, ==, 8);
  version.revision = 4;
  fd_handle_summary (fixture->node, &fixture->others[0], &version);
  deliver_document (fixture, 0, current, &version);
  version.number = 6;
  version.revision = 20;
  fd_handle_summary (fixture->node, &fixture->others[0], &version);
  g_assert_cmpuint (fd_get_version (fixture->node)->revision, ==, 8);
  g_assert_cmpuint (fd_get_version (fixture->node)->number, ==, 5);
  g_assert_cmpuint (fixture->applied, ==, 1);
  g_assert_cmpuint (get_count (fixture, "dist_fetches"), ==, 0);
  g_bytes_unref (current);
  destroy_fixture (fixture);
}

/* Guards against an outage, an emptied source or an old value that reverts the version in
 * force, and calls to a failing source beyond the rate limit. */
static void
test_source_outcomes (void)
{
  node_fixture_t *fixture = create_fixture (0);
  GBytes *current = sf_make_document (5, 1, 1);
  GBytes *older = sf_make_document (4, 1, 1);
  size_t reads;

  advance_time (fixture, 2 * FB_SECOND);
  deliver_source_value (fixture, 9, current);
  g_assert_cmpuint (fixture->applied, ==, 1);
  advance_time (fixture, 5 * FB_SECOND);
  deliver_source_value (fixture, 9, current);
  advance_time (fixture, FB_SECOND);
  g_assert_cmpuint (fixture->read_index, ==, 9);
  deliver_source_value (fixture, 8, older);
  g_assert_cmpuint (get_count (fixture, "dist_source_stale"), ==, 1);
  advance_time (fixture, 2 * FB_SECOND);
  fail_read (fixture, FB_NOT_FOUND);
  advance_time (fixture, 2 * FB_SECOND);
  deliver_source_value (fixture, 9, current);
  advance_time (fixture, 2 * FB_SECOND);
  g_assert_cmpuint (fixture->read_index, ==, 9);
  reads = fixture->reads;
  for (int i = 0; i < 600; i++)
    {
      advance_time (fixture, 100 * FB_MILLISECOND);
      if (fixture->read_outstanding)
        fail_read (fixture, FB_UNAVAILABLE);
    }
  /* The mean delay of the full jitter is 2.5 s; the rate limit alone would allow 60 calls. */
  g_assert_cmpuint (fixture->reads - reads, <, 40);
  g_assert_cmpuint (fixture->reads - reads, >, 10);
  /* The source may come back with a lower index, and a wait for the old one would never end. */
  g_assert_cmpuint (fixture->read_index, ==, 0);
  g_assert_cmpuint (fd_get_version (fixture->node)->number, ==, 5);
  g_assert_cmpuint (fixture->applied, ==, 1);
  g_bytes_unref (older);
  g_bytes_unref (current);
  destroy_fixture (fixture);
}

/* Guards against repeated checks of a refused document, a fetch of it after a peer's
 * announcement, and a refusal that delays the next document. */
static void
test_refusal_is_recorded (void)
{
  node_fixture_t *fixture = create_fixture (2);
  GBytes *invalid = g_bytes_new_static ("version = 6\nabsent = 1\n", 23);
  GBytes *next = sf_make_document (7, 1, 1);
  fb_version_t version = describe_version (invalid, 6, 3);

  advance_time (fixture, 5 * FB_SECOND);
  for (int i = 0; i < 20; i++)
    {
      advance_time (fixture, FB_SECOND);
      if (fixture->read_outstanding)
        deliver_source_value (fixture, 3, invalid);
    }
  g_assert_cmpuint (fixture->refused, ==, 1);
  g_assert_cmpuint (fixture->reads, <=, 26);
  g_assert_cmpuint (fixture->read_index, ==, 3);
  fd_handle_summary (fixture->node, &fixture->others[0], &version);
  g_assert_cmpuint (get_count (fixture, "dist_fetches"), ==, 0);
  advance_time (fixture, FB_SECOND);
  deliver_source_value (fixture, 4, next);
  g_assert_cmpuint (fd_get_version (fixture->node)->number, ==, 7);
  g_bytes_unref (next);
  g_bytes_unref (invalid);
  destroy_fixture (fixture);
}

/* Guards against concurrent fetches, an unresponsive announcer that blocks the fetch, and a
 * late response that is discarded. */
static void
test_fetch_order (void)
{
  node_fixture_t *fixture = create_fixture (4);
  GBytes *document = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (document, 5, 3);
  size_t first;

  fd_tick (fixture->node);
  for (size_t i = 0; i < 3; i++)
    fd_handle_summary (fixture->node, &fixture->others[i], &version);
  g_assert_cmpuint (count_sent (fixture, FW_FETCH), ==, 1);
  advance_time (fixture, 900 * FB_MILLISECOND);
  g_assert_cmpuint (count_sent (fixture, FW_FETCH), ==, 1);
  first = fixture->sent_count;
  advance_time (fixture, 200 * FB_MILLISECOND);
  g_assert_cmpuint (count_sent (fixture, FW_FETCH), ==, 2);
  while (fixture->sent[first].kind != FW_FETCH)
    first++;
  g_assert_false (fb_equal_name (&fixture->sent[first].to, &fixture->others[0].id));
  deliver_document (fixture, 0, document, &version);
  g_assert_cmpuint (fixture->applied, ==, 1);
  advance_time (fixture, 5 * FB_SECOND);
  g_assert_cmpuint (count_sent (fixture, FW_FETCH), ==, 2);
  g_bytes_unref (document);
  destroy_fixture (fixture);
}

/* Guards against repeated requests for a delta that does not decode. */
static void
test_full_document_after_invalid_frame (void)
{
  node_fixture_t *fixture = create_fixture (2);
  GBytes *current = sf_make_document (5, 1, 1);
  GBytes *next = sf_make_document (6, 1, 1);
  fb_version_t version = describe_version (current, 5, 3);
  fw_control_t invalid = { .kind = FW_DOCUMENT,
                           .sender = fixture->others[0].id,
                           .payload = { (const uint8_t *)"corrupt", 7 } };

  fd_tick (fixture->node);
  deliver_document (fixture, 0, current, &version);
  invalid.base_digest = version.digest;
  version = describe_version (next, 6, 4);
  invalid.version = version;
  for (size_t i = 0; i < 2; i++)
    fd_handle_summary (fixture->node, &fixture->others[i], &version);
  g_assert_true (fixture->sent[fixture->sent_count - 1].has_base);
  invalid.request_id = fixture->sent[fixture->sent_count - 1].request_id;
  fd_handle_message (fixture->node, &invalid);
  g_assert_cmpuint (count_sent (fixture, FW_FETCH), ==, 2);
  g_assert_false (fixture->sent[fixture->sent_count - 1].has_base);
  deliver_document (fixture, 1, next, &version);
  g_assert_cmpuint (fd_get_version (fixture->node)->number, ==, 6);
  g_bytes_unref (next);
  g_bytes_unref (current);
  destroy_fixture (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/document/refused-documents", test_refused_documents);
  g_test_add_func ("/document/raised-revision", test_raised_revision);
  g_test_add_func ("/document/source-outcomes", test_source_outcomes);
  g_test_add_func ("/document/refusal-is-recorded", test_refusal_is_recorded);
  g_test_add_func ("/document/fetch-order", test_fetch_order);
  g_test_add_func ("/document/full-document-after-invalid-frame",
                   test_full_document_after_invalid_frame);
  return g_test_run ();
}
