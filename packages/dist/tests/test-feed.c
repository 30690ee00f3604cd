/* Feeds that follow each other around one store. */
#include "fixture-feed.h"
#include <stdlib.h>
#include <string.h>

#define NODES 36

/* Least time between two reads of the node of a zone that the others follow. */
#define READER_PERIOD (FEED_PACE * 3 / 5)

/* Returns the node that most nodes of ZONE follow. */
static size_t
find_reader (const fleet_t *fleet, size_t zone)
{
  size_t votes[FEED_NODES_MAX + 1] = { 0 };
  size_t best = FEED_NODES_MAX;

  for (size_t i = zone; i < NODES; i += FEED_ZONES)
    {
      size_t relay = feed_get_relay (fleet, i);

      if (relay < FEED_NODES_MAX && ++votes[relay] > (best < FEED_NODES_MAX ? votes[best] : 0))
        best = relay;
    }
  g_assert_cmpuint (best, <, FEED_NODES_MAX);
  return best;
}

/* Fails unless every undisturbed node but LEAVING knows STATE of LEAVING and the newest
 * document.
 */
static void
check_known (const fleet_t *fleet, size_t leaving, fw_member_state_t state)
{
  for (size_t i = 0; i < NODES; i++)
    {
      if (!feed_is_good (fleet, i))
        continue;
      g_test_message ("node %zu", i);
      g_assert_cmpint (feed_get_state (fleet, i, leaving), ==, state);
      g_assert_true (feed_holds_document (fleet, i));
    }
}

/* Guards against a fleet in which each node reads the store for itself. */
static void
test_reads (void)
{
  fleet_t *fleet = feed_create_fleet (NODES, 1);
  size_t before;

  feed_pass (fleet, 5 * FB_SECOND);
  before = feed_count_reads (fleet);
  feed_pass (fleet, 20 * FB_SECOND);
  g_test_message ("%zu reads in 20 s", feed_count_reads (fleet) - before);
  g_assert_cmpuint (feed_count_reads (fleet) - before, <=,
                    FEED_ZONES * (1 + (size_t)(20 * FB_SECOND / READER_PERIOD)));
  feed_destroy_fleet (fleet);
}

/* Guards against a change that comes late because a relay, or its way to the store, fails just
 * before it. */
static void
test_faults (void)
{
  static const struct
  {
    const char *name;
    feed_trouble_t trouble;
    bool forget;
  } cases[] = {
    { "none", FEED_GOOD, false },     { "silent", FEED_SILENT, false },
    { "dead", FEED_DEAD, false },     { "away", FEED_AWAY, false },
    { "forgotten", FEED_GOOD, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (fb_time_t offset = 0; offset < FEED_PACE; offset += FEED_PACE / 4)
      {
        fleet_t *fleet = feed_create_fleet (NODES, (uint32_t)i);

        g_test_message ("%s", cases[i].name);
        feed_pass (fleet, 4 * FB_SECOND + offset);
        for (size_t zone = 0; zone < FEED_ZONES; zone++)
          feed_trouble (fleet, find_reader (fleet, zone), cases[i].trouble);
        feed_enter (fleet, 5, FW_LEAVING);
        feed_publish (fleet, "second");
        if (cases[i].forget)
          feed_forget (fleet);
        feed_pass (fleet, FEED_BOUND);
        check_known (fleet, 5, FW_LEAVING);
        feed_enter (fleet, 5, FW_DEAD);
        feed_pass (fleet, FEED_BOUND);
        check_known (fleet, 5, FW_DEAD);
        feed_destroy_fleet (fleet);
      }
}

/* Guards against a node that waits for news although none of those it could follow answers. */
static void
test_alone (void)
{
  for (fb_time_t offset = 0; offset < FEED_PACE; offset += FEED_PACE / 4)
    {
      fleet_t *fleet = feed_create_fleet (NODES, 11);

      feed_pass (fleet, 4 * FB_SECOND + offset);
      for (size_t zone = 0; zone < FEED_ZONES; zone++)
        {
          size_t reader = find_reader (fleet, zone);

          for (size_t i = zone + FEED_ZONES; i < NODES; i += FEED_ZONES)
            feed_trouble (fleet, i, FEED_SILENT);
          feed_trouble (fleet, reader, FEED_SILENT);
        }
      feed_enter (fleet, 5, FW_LEAVING);
      feed_publish (fleet, "second");
      feed_pass (fleet, FEED_BOUND);
      check_known (fleet, 5, FW_LEAVING);
      feed_destroy_fleet (fleet);
    }
}

static void
skip_read (const fd_read_t *read, void *user)
{
}

static void
skip_ask (const fw_member_t *peer, const fw_feed_message_t *ask, void *user)
{
}

static void
skip_answer (void *asker, const fw_feed_message_t *news, void *user)
{
}

static void
skip_document (void *user)
{
}

static void
note_state (const fw_endpoint_t *endpoint, void *user)
{
  *(fw_member_state_t *)user = endpoint->member.state;
}

/* Guards against a read that was under way, or news that were, which undo something newer. */
static void
test_order (void)
{
  static const struct
  {
    uint64_t news;  /* position of news that the endpoint is gone */
    uint64_t late;  /* position of older news that it is there; 0 for none */
    uint64_t entry; /* position of the entry in a read that began before the news */
    fw_member_state_t state;
  } cases[] = {
    { 60, 0, 30, FW_DEAD },  { 60, 0, 60, FW_DEAD },   { 60, 0, 61, FW_ALIVE },
    { 60, 20, 30, FW_DEAD }, { 60, 20, 70, FW_ALIVE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      fw_member_state_t state = FW_DEAD;
      fd_feed_options_t rules = { .address = fb_make_name ("10.0.0.1"),
                                  .zone = fb_make_name ("z"),
                                  .poll_interval = FEED_PACE };
      fd_feed_hooks_t hooks
          = { skip_read, skip_ask, skip_answer, note_state, skip_document, &state };
      fd_feed_t *feed = fd_create_feed (&rules, 1, clock, counters, NULL, &hooks);
      fw_endpoint_t there = { { .id = fb_make_name ("i"), .state = FW_ALIVE }, 9 };
      fw_endpoint_t gone = { { .id = fb_make_name ("i"), .state = FW_DEAD }, 9 };
      fw_feed_message_t news = { .kind = FW_FEED_UPDATE,
                                 .position = cases[i].news,
                                 .endpoint_count = 1,
                                 .endpoints = &gone };
      fw_feed_message_t late = { .kind = FW_FEED_UPDATE,
                                 .position = cases[i].late,
                                 .endpoint_count = 1,
                                 .endpoints = &there };

      fd_run_feed (feed);
      fd_add_endpoint (feed, 5, &there);
      fd_end_read (feed, &(fd_read_result_t){ FD_RESULT_COMPLETE, .position = 10 });
      fb_advance_clock (clock, FEED_PACE);
      fd_run_feed (feed);
      fd_handle_response (feed, &news);
      if (cases[i].late > 0)
        fd_handle_response (feed, &late);
      fd_add_endpoint (feed, cases[i].entry, &there);
      fd_end_read (feed, &(fd_read_result_t){ FD_RESULT_COMPLETE, .position = cases[i].entry });
      g_assert_cmpint (state, ==, cases[i].state);
      fd_destroy_feed (feed);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Guards against endpoints that are dropped in an outage of the store although their entries
 * come back, and against ones that are kept afterwards although they do not. */
static void
test_outage (void)
{
  fleet_t *fleet = feed_create_fleet (NODES, 7);

  feed_pass (fleet, 4 * FB_SECOND);
  feed_set_store (fleet, false);
  feed_pass (fleet, 3 * FB_SECOND);
  feed_enter (fleet, 5, FW_DEAD);
  feed_enter (fleet, 6, FW_DEAD);
  feed_forget (fleet);
  feed_pass (fleet, FB_SECOND);
  check_known (fleet, 5, FW_ALIVE);
  feed_set_store (fleet, true);
  feed_pass (fleet, 1500 * FB_MILLISECOND);
  check_known (fleet, 5, FW_ALIVE);
  feed_enter (fleet, 5, FW_ALIVE);
  /* A node may see the store again a back-off later; then the entry has 2 s to come back. */
  feed_pass (fleet, FEED_BOUND + 2 * FB_SECOND);
  check_known (fleet, 5, FW_ALIVE);
  check_known (fleet, 6, FW_DEAD);
  feed_destroy_fleet (fleet);
}

static char *
make_text (GRand *random, size_t len)
{
  char *text = g_malloc (len + 1);

  for (size_t i = 0; i < len; i++)
    text[i] = (char)g_rand_int_range (random, ' ', '~');
  text[len] = '\0';
  return text;
}

/* Guards against whole configurations that pass between nodes, and against nodes that read one
 * that a difference would bring. */
static void
test_documents (void)
{
  static const struct
  {
    size_t changed;    /* bytes at the begin of the text */
    size_t reads_most; /* of the configuration alone */
  } cases[] = { { 10, 0 }, { 200000, NODES } };
  fleet_t *fleet = feed_create_fleet (NODES, 3);
  GRand *random = g_rand_new_with_seed (3);
  char *text = make_text (random, 200000);

  feed_publish (fleet, text);
  feed_pass (fleet, 4 * FB_SECOND);
  check_known (fleet, 5, FW_ALIVE);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t before = feed_count_document_reads (fleet);
      char *head = make_text (random, cases[i].changed);

      memcpy (text, head, cases[i].changed);
      g_free (head);
      feed_publish (fleet, text);
      feed_pass (fleet, FEED_BOUND);
      check_known (fleet, 5, FW_ALIVE);
      g_assert_cmpuint (feed_count_document_reads (fleet) - before, <=, cases[i].reads_most);
    }
  g_free (text);
  g_rand_free (random);
  feed_destroy_fleet (fleet);
}

/* Guards against changes that come late, or that are undone by older news, while nodes and the
 * store fail at random; a change counts when its bound has passed without any trouble. */
static void
run_random (uint32_t seed)
{
  fleet_t *fleet = feed_create_fleet (NODES, seed);
  GRand *random = g_rand_new_with_seed (seed);
  fw_member_state_t states[] = { FW_ALIVE, FW_LEAVING, FW_DEAD };

  for (int round = 0; round < 12; round++)
    {
      size_t changed = (size_t)g_rand_int_range (random, 0, NODES);
      char *text = make_text (random, (size_t)g_rand_int_range (random, 1, 4000));

      for (int i = 0; i < 4; i++)
        feed_trouble (fleet, (size_t)g_rand_int_range (random, 0, NODES),
                      (feed_trouble_t)g_rand_int_range (random, 0, FEED_AWAY + 1));
      if (g_rand_int_range (random, 0, 4) == 0)
        feed_forget (fleet);
      feed_pass (fleet, g_rand_int_range (random, 0, 1500) * FB_MILLISECOND);
      feed_set_store (fleet, g_rand_int_range (random, 0, 4) > 0);
      feed_pass (fleet, g_rand_int_range (random, 0, 3000) * FB_MILLISECOND);
      feed_set_store (fleet, true);
      for (size_t i = 0; i < NODES; i++)
        if (g_rand_boolean (random))
          feed_trouble (fleet, i, FEED_GOOD);
      /* Calm until every node may be held to its bound. */
      feed_pass (fleet, 3 * FB_SECOND + FEED_BOUND);
      feed_enter (fleet, changed, states[g_rand_int_range (random, 0, 3)]);
      feed_publish (fleet, text);
      feed_pass (fleet, FEED_BOUND);
      g_test_message ("seed %u round %d", seed, round);
      for (size_t i = 0; i < NODES; i++)
        for (size_t j = 0; j < NODES && feed_is_good (fleet, i); j++)
          {
            g_assert_true (feed_holds_document (fleet, i));
            g_assert_cmpint (feed_get_state (fleet, i, j), ==, feed_get_entry (fleet, j));
          }
      g_free (text);
    }
  g_rand_free (random);
  feed_destroy_fleet (fleet);
}

static void
test_random (void)
{
  const char *seeds = g_getenv ("SEEDS");
  unsigned long count = seeds ? strtoul (seeds, NULL, 10) : 10;

  for (unsigned long seed = 1; seed <= count; seed++)
    run_random ((uint32_t)seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/dist/feed/reads", test_reads);
  g_test_add_func ("/dist/feed/faults", test_faults);
  g_test_add_func ("/dist/feed/alone", test_alone);
  g_test_add_func ("/dist/feed/order", test_order);
  g_test_add_func ("/dist/feed/outage", test_outage);
  g_test_add_func ("/dist/feed/documents", test_documents);
  g_test_add_func ("/dist/feed/random", test_random);
  return g_test_run ();
}
