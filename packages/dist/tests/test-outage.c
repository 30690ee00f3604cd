/* Feeds whose store is away for a time. */
#include "fixture-feed.h"

#define NODES 36

static void
check_state (const fleet_t *fleet, size_t endpoint, fw_member_state_t state)
{
  for (size_t i = 0; i < NODES; i++)
    {
      g_test_message ("node %zu", i);
      g_assert_cmpint (feed_get_state (fleet, i, endpoint), ==, state);
    }
}

/* Time after its return from which a store is stable: all nodes must know of a removal in
 * FEED_CHANGE_DEADLINE again. */
#define STABLE_AFTER (3 * FB_SECOND)

/* Guards against a removal that is withheld for too long after an outage, since the nodes
 * notice the return of the store late. */
static void
test_removal_after_outage (void)
{
  static const struct
  {
    bool silent;  /* the store does not respond; else it refuses reads */
    bool updates; /* instances write to the store, which ends waits for a change */
  } cases[] = { { true, true }, { true, false }, { false, true }, { false, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (fb_time_t offset = 0; offset < 3 * FB_SECOND; offset += 100 * FB_MILLISECOND)
      {
        fleet_t *fleet = feed_create_fleet (NODES, (uint32_t)i);

        g_test_message ("case %zu, outage of %d ms", i, (int)(8000 + offset / FB_MILLISECOND));
        feed_advance (fleet, 4 * FB_SECOND);
        if (!cases[i].updates)
          feed_stop_endpoint_updates (fleet);
        feed_set_store_silent (fleet, cases[i].silent);
        feed_set_store_available (fleet, cases[i].silent);
        feed_advance (fleet, 8 * FB_SECOND + offset);
        feed_set_store_silent (fleet, false);
        feed_set_store_available (fleet, true);
        feed_advance (fleet, STABLE_AFTER);
        check_state (fleet, 5, FW_ALIVE);
        feed_set_endpoint (fleet, 5, FW_DEAD);
        feed_advance (fleet, FEED_CHANGE_DEADLINE);
        check_state (fleet, 5, FW_DEAD);
        feed_destroy_fleet (fleet);
      }
}

/* Guards against a node that was cut off from the store and then reads every large document
 * that was published meanwhile, the oldest first, before the newest. */
static void
test_documents_after_cut (void)
{
  static const struct
  {
    size_t text_len;
    fb_time_t cut;
    bool reads_document;
  } cases[] = {
    { 200 * 1024, 6 * FB_SECOND, true },
    { 200 * 1024, 500 * FB_MILLISECOND, false },
    { 1024, 6 * FB_SECOND, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fleet_t *fleet = feed_create_fleet (FEED_ZONES, (uint32_t)i);
      char *text = g_strnfill (cases[i].text_len, 'x');
      size_t before;

      feed_publish (fleet, text);
      feed_advance (fleet, 4 * FB_SECOND);
      g_assert_true (feed_has_newest_document (fleet, 0));
      feed_set_fault (fleet, 0, FEED_STORE_UNREACHABLE);
      text[0] = 'y';
      feed_publish (fleet, text);
      feed_advance (fleet, cases[i].cut);
      feed_set_fault (fleet, 0, FEED_NO_FAULT);
      before = feed_count_document_reads (fleet);
      feed_advance (fleet, 3 * FB_SECOND);
      g_test_message ("case %zu: %zu reads of the document", i,
                      feed_count_document_reads (fleet) - before);
      g_assert_true (feed_has_newest_document (fleet, 0));
      g_assert_cmpuint (feed_count_document_reads (fleet) - before > 0, ==,
                        cases[i].reads_document);
      g_free (text);
      feed_destroy_fleet (fleet);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/dist/outage/removal", test_removal_after_outage);
  g_test_add_func ("/dist/outage/documents-after-cut", test_documents_after_cut);
  return g_test_run ();
}
