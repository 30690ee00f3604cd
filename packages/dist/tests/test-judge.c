/* What one node accepts, refuses and fetches. */
#include "fixture-bed.h"

/* Guards against a peer's wrong claim, a spoiled document or an older one changing anything. */
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
  GBytes *held = sf_make_document (5, 1, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bed_t *bed = open_bed (2);
      GBytes *document = sf_make_document (cases[i].number, 2, 1);
      fb_version_t version = describe_version (held, 5, 3);
      fb_version_t claim = describe_version (document, cases[i].claimed, cases[i].revision);

      pass_time (bed, FB_SECOND);
      give_document (bed, 0, held, &version);
      g_assert_cmpint (fb_compare_versions (fd_get_version (bed->node), &version), ==, 0);
      claim.digest.bytes[0] ^= cases[i].other_digest;
      give_document (bed, 0, document, &claim);
      g_assert_cmpint (fb_compare_versions (fd_get_version (bed->node), &version), ==, 0);
      g_assert_cmpuint (bed->applied, ==, 1);
      if (cases[i].counter != NULL)
        g_assert_cmpuint (get_count (bed, cases[i].counter), ==, 1);
      g_bytes_unref (document);
      close_bed (bed);
    }
  g_bytes_unref (held);
}

/* Guards against a document being applied twice, or a revision going down, when it is published
 * again; and against a false claim that lends the document in force another number. */
static void
test_raised_revision (void)
{
  bed_t *bed = open_bed (2);
  GBytes *held = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (held, 5, 3);

  pass_time (bed, FB_SECOND);
  give_document (bed, 0, held, &version);
  version.revision = 8;
  fd_handle_summary (bed->node, &bed->others[0], &version);
  g_assert_cmpuint (fd_get_version (bed->node)->revision, ==, 8);
  version.revision = 4;
  fd_handle_summary (bed->node, &bed->others[0], &version);
  give_document (bed, 0, held, &version);
  version.number = 6;
  version.revision = 20;
  fd_handle_summary (bed->node, &bed->others[0], &version);
  g_assert_cmpuint (fd_get_version (bed->node)->revision, ==, 8);
  g_assert_cmpuint (fd_get_version (bed->node)->number, ==, 5);
  g_assert_cmpuint (bed->applied, ==, 1);
  g_assert_cmpuint (get_count (bed, "dist_fetches"), ==, 0);
  g_bytes_unref (held);
  close_bed (bed);
}

/* Guards against an outage, an emptied source or an old value undoing the version in force, and
 * against a failing source being called faster than the bucket allows. */
static void
test_source_outcomes (void)
{
  bed_t *bed = open_bed (0);
  GBytes *held = sf_make_document (5, 1, 1);
  GBytes *older = sf_make_document (4, 1, 1);
  size_t reads;

  pass_time (bed, 2 * FB_SECOND);
  give_source_value (bed, 9, held);
  g_assert_cmpuint (bed->applied, ==, 1);
  pass_time (bed, 5 * FB_SECOND);
  give_source_value (bed, 9, held);
  pass_time (bed, FB_SECOND);
  g_assert_cmpuint (bed->read_index, ==, 9);
  give_source_value (bed, 8, older);
  g_assert_cmpuint (get_count (bed, "dist_source_stale"), ==, 1);
  pass_time (bed, 2 * FB_SECOND);
  fail_read (bed, FB_NOT_FOUND);
  pass_time (bed, 2 * FB_SECOND);
  give_source_value (bed, 9, held);
  pass_time (bed, 2 * FB_SECOND);
  g_assert_cmpuint (bed->read_index, ==, 9);
  reads = bed->reads;
  for (int i = 0; i < 600; i++)
    {
      pass_time (bed, 100 * FB_MILLISECOND);
      if (bed->reading)
        fail_read (bed, FB_UNAVAILABLE);
    }
  /* The mean of the full jitter is half of 5 s; the bucket alone would allow 60. */
  g_assert_cmpuint (bed->reads - reads, <, 40);
  g_assert_cmpuint (bed->reads - reads, >, 10);
  /* The source may come back with a lower index, which the old one would wait for in vain. */
  g_assert_cmpuint (bed->read_index, ==, 0);
  g_assert_cmpuint (fd_get_version (bed->node)->number, ==, 5);
  g_assert_cmpuint (bed->applied, ==, 1);
  g_bytes_unref (older);
  g_bytes_unref (held);
  close_bed (bed);
}

/* Guards against a reader that checks a refused document again and again, a peer's announcement
 * of it that is fetched, and a next document that the refusal holds up. */
static void
test_refusal_is_remembered (void)
{
  bed_t *bed = open_bed (2);
  GBytes *bad = g_bytes_new_static ("version = 6\nabsent = 1\n", 23);
  GBytes *next = sf_make_document (7, 1, 1);
  fb_version_t version = describe_version (bad, 6, 3);

  pass_time (bed, 5 * FB_SECOND);
  for (int i = 0; i < 20; i++)
    {
      pass_time (bed, FB_SECOND);
      if (bed->reading)
        give_source_value (bed, 3, bad);
    }
  g_assert_cmpuint (bed->refused, ==, 1);
  g_assert_cmpuint (bed->reads, <=, 26);
  g_assert_cmpuint (bed->read_index, ==, 3);
  fd_handle_summary (bed->node, &bed->others[0], &version);
  g_assert_cmpuint (get_count (bed, "dist_fetches"), ==, 0);
  pass_time (bed, FB_SECOND);
  give_source_value (bed, 4, next);
  g_assert_cmpuint (fd_get_version (bed->node)->number, ==, 7);
  g_bytes_unref (next);
  g_bytes_unref (bad);
  close_bed (bed);
}

/* Guards against several fetches at once, a silent announcer that holds up the fetch, and a
 * late answer that is thrown away. */
static void
test_fetch_order (void)
{
  bed_t *bed = open_bed (4);
  GBytes *document = sf_make_document (5, 1, 1);
  fb_version_t version = describe_version (document, 5, 3);
  size_t first;

  fd_tick (bed->node);
  for (size_t i = 0; i < 3; i++)
    fd_handle_summary (bed->node, &bed->others[i], &version);
  g_assert_cmpuint (count_sent (bed, FW_FETCH), ==, 1);
  pass_time (bed, 900 * FB_MILLISECOND);
  g_assert_cmpuint (count_sent (bed, FW_FETCH), ==, 1);
  first = bed->sent_count;
  pass_time (bed, 200 * FB_MILLISECOND);
  g_assert_cmpuint (count_sent (bed, FW_FETCH), ==, 2);
  while (bed->sent[first].kind != FW_FETCH)
    first++;
  g_assert_false (fb_equal_name (&bed->sent[first].to, &bed->others[0].id));
  give_document (bed, 0, document, &version);
  g_assert_cmpuint (bed->applied, ==, 1);
  pass_time (bed, 5 * FB_SECOND);
  g_assert_cmpuint (count_sent (bed, FW_FETCH), ==, 2);
  g_bytes_unref (document);
  close_bed (bed);
}

/* Guards against a delta that does not decode being asked for over and over. */
static void
test_whole_after_bad_frame (void)
{
  bed_t *bed = open_bed (2);
  GBytes *held = sf_make_document (5, 1, 1);
  GBytes *next = sf_make_document (6, 1, 1);
  fb_version_t version = describe_version (held, 5, 3);
  fw_control_t bad = { .kind = FW_DOCUMENT,
                       .sender = bed->others[0].id,
                       .payload = { (const uint8_t *)"spoiled", 7 } };

  fd_tick (bed->node);
  give_document (bed, 0, held, &version);
  bad.base_digest = version.digest;
  version = describe_version (next, 6, 4);
  bad.version = version;
  for (size_t i = 0; i < 2; i++)
    fd_handle_summary (bed->node, &bed->others[i], &version);
  g_assert_true (bed->sent[bed->sent_count - 1].based);
  bad.request_id = bed->sent[bed->sent_count - 1].request;
  fd_handle_message (bed->node, &bad);
  g_assert_cmpuint (count_sent (bed, FW_FETCH), ==, 2);
  g_assert_false (bed->sent[bed->sent_count - 1].based);
  give_document (bed, 1, next, &version);
  g_assert_cmpuint (fd_get_version (bed->node)->number, ==, 6);
  g_bytes_unref (next);
  g_bytes_unref (held);
  close_bed (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/judge/refused-documents", test_refused_documents);
  g_test_add_func ("/judge/raised-revision", test_raised_revision);
  g_test_add_func ("/judge/source-outcomes", test_source_outcomes);
  g_test_add_func ("/judge/refusal-is-remembered", test_refusal_is_remembered);
  g_test_add_func ("/judge/fetch-order", test_fetch_order);
  g_test_add_func ("/judge/whole-after-bad-frame", test_whole_after_bad_frame);
  return g_test_run ();
}
