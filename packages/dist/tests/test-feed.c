/* Feeds that follow each other around one store. */
#include "fixture-feed.h"
#include "fixture-recorder.h"
#include <stdlib.h>
#include <string.h>

#define NODES 36

/* Shortest time between two reads of the store by a node with followers. */
#define READER_READ_PERIOD (FEED_POLL_INTERVAL * 3 / 5)

/* Returns the position of REVISION in a store that names no era. */
static fb_position_t
at (uint64_t revision)
{
  return (fb_position_t){ .revision = revision };
}

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

/* Fails unless every node without a fault knows STATE of ENDPOINT and has the newest document.
 */
static void
check_healthy_nodes (const fleet_t *fleet, size_t endpoint, fw_member_state_t state)
{
  for (size_t i = 0; i < NODES; i++)
    {
      if (!feed_is_healthy (fleet, i))
        continue;
      g_test_message ("node %zu", i);
      g_assert_cmpint (feed_get_state (fleet, i, endpoint), ==, state);
      g_assert_true (feed_has_newest_document (fleet, i));
    }
}

/* Guards against a fleet in which every node reads the store. */
static void
test_reads (void)
{
  fleet_t *fleet = feed_create_fleet (NODES, 1);
  size_t before;

  feed_advance (fleet, 5 * FB_SECOND);
  before = feed_count_reads (fleet);
  feed_advance (fleet, 20 * FB_SECOND);
  g_test_message ("%zu reads in 20 s", feed_count_reads (fleet) - before);
  g_assert_cmpuint (feed_count_reads (fleet) - before, <=,
                    FEED_ZONES * (1 + (size_t)(20 * FB_SECOND / READER_READ_PERIOD)));
  feed_destroy_fleet (fleet);
}

/* Guards against a change that arrives late because a relay, or its path to the store, fails
 * just before it. */
static void
test_faults (void)
{
  static const struct
  {
    const char *name;
    feed_fault_t fault;
    bool compact;
  } cases[] = {
    { "none", FEED_NO_FAULT, false },
    { "unresponsive", FEED_UNRESPONSIVE, false },
    { "refusing", FEED_REFUSING, false },
    { "store unreachable", FEED_STORE_UNREACHABLE, false },
    { "compacted", FEED_NO_FAULT, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (fb_time_t offset = 0; offset < FEED_POLL_INTERVAL; offset += FEED_POLL_INTERVAL / 4)
      {
        fleet_t *fleet = feed_create_fleet (NODES, (uint32_t)i);

        g_test_message ("%s", cases[i].name);
        feed_advance (fleet, 4 * FB_SECOND + offset);
        for (size_t zone = 0; zone < FEED_ZONES; zone++)
          feed_set_fault (fleet, find_reader (fleet, zone), cases[i].fault);
        feed_set_endpoint (fleet, 5, FW_LEAVING);
        feed_publish (fleet, "second");
        if (cases[i].compact)
          feed_compact_store (fleet);
        feed_advance (fleet, FEED_CHANGE_DEADLINE);
        check_healthy_nodes (fleet, 5, FW_LEAVING);
        feed_set_endpoint (fleet, 5, FW_DEAD);
        feed_advance (fleet, FEED_CHANGE_DEADLINE);
        check_healthy_nodes (fleet, 5, FW_DEAD);
        feed_destroy_fleet (fleet);
      }
}

/* Guards against a node that waits for updates although no relay responds. */
static void
test_no_responding_relay (void)
{
  for (fb_time_t offset = 0; offset < FEED_POLL_INTERVAL; offset += FEED_POLL_INTERVAL / 4)
    {
      fleet_t *fleet = feed_create_fleet (NODES, 11);

      feed_advance (fleet, 4 * FB_SECOND + offset);
      for (size_t zone = 0; zone < FEED_ZONES; zone++)
        {
          size_t reader = find_reader (fleet, zone);

          for (size_t i = zone + FEED_ZONES; i < NODES; i += FEED_ZONES)
            feed_set_fault (fleet, i, FEED_UNRESPONSIVE);
          feed_set_fault (fleet, reader, FEED_UNRESPONSIVE);
        }
      feed_set_endpoint (fleet, 5, FW_LEAVING);
      feed_publish (fleet, "second");
      feed_advance (fleet, FEED_CHANGE_DEADLINE);
      check_healthy_nodes (fleet, 5, FW_LEAVING);
      feed_destroy_fleet (fleet);
    }
}

static void
ignore_read (const fd_read_t *read, void *user)
{
}

static void
ignore_request (const fw_member_t *peer, const fw_feed_message_t *request, void *user)
{
}

static void
ignore_response (void *requester, const fw_feed_message_t *update, void *user)
{
}

static void
ignore_document (void *user)
{
}

static void
record_state (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  *(fw_member_state_t *)user = endpoint->member.state;
}

/* Guards against an outstanding read or a late update that reverts a newer change. */
static void
test_order (void)
{
  static const struct
  {
    uint64_t update_position;      /* of an update that removes the endpoint */
    uint64_t late_update_position; /* of an older update that lists it; 0 for none */
    uint64_t endpoint_position;    /* of the endpoint in a read that began before the update */
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
      fd_feed_options_t options = { .address = fb_make_name ("10.0.0.1"),
                                    .zone = fb_make_name ("z"),
                                    .poll_interval = FEED_POLL_INTERVAL };
      fd_feed_hooks_t hooks = { ignore_read,     ignore_request,  ignore_response, record_state,
                                ignore_document, ignore_document, &state };
      fd_feed_t *feed = fd_create_feed (&options, 1, clock, counters, NULL, &hooks);
      fw_endpoint_t listed = { { .id = fb_make_name ("i"), .state = FW_ALIVE }, 9 };
      fw_endpoint_t removed = { { .id = fb_make_name ("i"), .state = FW_DEAD }, 9 };
      fw_feed_message_t update = { .kind = FW_FEED_UPDATE,
                                   .position = at (cases[i].update_position),
                                   .endpoint_count = 1,
                                   .endpoints = &removed };
      fw_feed_message_t late_update = { .kind = FW_FEED_UPDATE,
                                        .position = at (cases[i].late_update_position),
                                        .endpoint_count = 1,
                                        .endpoints = &listed };

      fd_run_feed (feed);
      fd_add_endpoint (feed, at (5), &listed);
      fd_end_read (feed, &(fd_read_result_t){ FD_RESULT_COMPLETE, .position = at (10) });
      fb_advance_clock (clock, FEED_POLL_INTERVAL);
      fd_run_feed (feed);
      fd_handle_response (feed, &update);
      if (cases[i].late_update_position > 0)
        fd_handle_response (feed, &late_update);
      fd_add_endpoint (feed, at (cases[i].endpoint_position), &listed);
      fd_end_read (feed, &(fd_read_result_t){ FD_RESULT_COMPLETE,
                                              .position = at (cases[i].endpoint_position) });
      g_assert_cmpint (state, ==, cases[i].state);
      fd_destroy_feed (feed);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Guards against a relay that sends a part of its endpoints as all of them, so that nodes which
 * follow it take the others for removed. */
static void
test_endpoint_count (void)
{
  static const struct
  {
    size_t count;
    fw_feed_message_kind_t kind;
  } cases[] = { { FW_ENDPOINTS_MAX - 1, FW_FEED_UPDATE },
                { FW_ENDPOINTS_MAX, FW_FEED_UPDATE },
                { FW_ENDPOINTS_MAX + 1, FW_FEED_UNAVAILABLE } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      recorder_t recorder = { 0 };
      fd_feed_t *relay = create_recorded_feed ("10.0.0.1", clock, counters, &recorder);
      fw_feed_message_t request = { .kind = FW_FEED_REQUEST };
      fw_feed_message_t response;

      fd_run_feed (relay);
      for (size_t number = 0; number < cases[i].count; number++)
        {
          char address[24];

          g_snprintf (address, sizeof address, "10.0.%zu.%zu", number / 256, number % 256);
          deliver_node (relay, at (4), address, FW_ALIVE);
        }
      deliver_text (relay, at (5), "first");
      finish_recorded_read (relay, at (10));
      fd_handle_request (relay, &recorder, &request);
      g_assert_nonnull (recorder.response);
      g_assert_cmpint (
          fw_decode_feed ((fb_bytes_t){ recorder.response, recorder.response_len }, &response),
          ==, FB_OK);
      g_assert_cmpint (response.kind, ==, cases[i].kind);
      if (response.kind == FW_FEED_UPDATE)
        g_assert_cmpuint (response.endpoint_count, ==, cases[i].count);
      fw_clear_feed (&response);
      g_free (recorder.response);
      fd_destroy_feed (relay);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Lets RELAY know the document up to position 14 and the endpoints up to position 20, as after
 * a series of publications. */
static void
read_document_before_endpoints (fd_feed_t *relay, fb_clock_t *clock, const recorder_t *recorder)
{
  wait_for_read (relay, clock, recorder, FD_READ_CHANGES);
  deliver_text (relay, at (11), "second");
  deliver_text (relay, at (12), "third");
  finish_recorded_read (relay, at (12));
  wait_for_read (relay, clock, recorder, FD_READ_DOCUMENT);
  finish_recorded_read (relay, at (14));
  fd_run_feed (relay);
  g_assert_cmpint (recorder->read.kind, ==, FD_READ_ENDPOINTS);
  finish_recorded_read (relay, at (20));
}

/* Returns RECORDED's response as a node before the field document_known_position sends it. */
static fb_bytes_t
strip_known_position (recorder_t *recorder)
{
  fw_feed_message_t message;
  uint8_t *bytes;
  size_t len;

  g_assert_cmpint (
      fw_decode_feed ((fb_bytes_t){ recorder->response, recorder->response_len }, &message), ==,
      FB_OK);
  message.document_known_position = at (0);
  bytes = fw_encode_feed (&message, &len);
  fw_clear_feed (&message);
  g_free (recorder->response);
  recorder->response = bytes;
  recorder->response_len = len;
  return (fb_bytes_t){ bytes, len };
}

/* Guards against a follower that, after its relay ends, skips a document published between the
 * relay's reads of the document and of the endpoints. */
static void
test_relay_end (void)
{
  static const struct
  {
    bool old_relay;          /* does not send up to where it knows the document */
    uint64_t after_revision; /* of the follower's next read of changes */
  } cases[] = { { false, 14 }, { true, 12 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      recorder_t relay_calls = { 0 };
      recorder_t follower_calls = { 0 };
      fd_feed_t *relay = create_recorded_feed ("10.0.0.1", clock, counters, &relay_calls);
      fd_feed_t *follower = create_recorded_feed ("10.0.0.2", clock, counters, &follower_calls);
      fw_feed_message_t update;
      fb_bytes_t bytes;

      sync_recorded_feed (relay, 0);
      read_document_before_endpoints (relay, clock, &relay_calls);
      sync_recorded_feed (follower, 0);
      fd_run_feed (follower);
      g_assert_true (follower_calls.requested);
      fd_handle_request (relay, follower, &follower_calls.request);
      g_assert_nonnull (relay_calls.response);
      bytes = (fb_bytes_t){ relay_calls.response, relay_calls.response_len };
      if (cases[i].old_relay)
        bytes = strip_known_position (&relay_calls);
      g_assert_cmpint (fw_decode_feed (bytes, &update), ==, FB_OK);
      fd_handle_response (follower, &update);
      fw_clear_feed (&update);
      g_assert_cmpint (fb_compare_positions (fd_get_position (follower), at (20)), ==, 0);
      fd_run_feed (follower);
      fd_fail_request (follower, "relay ended");
      fb_advance_clock (clock, 2 * FEED_POLL_INTERVAL);
      fd_run_feed (follower);
      g_assert_cmpint (follower_calls.read.kind, ==, FD_READ_CHANGES);
      g_assert_cmpuint (follower_calls.read.after_revision, ==, cases[i].after_revision);
      g_free (relay_calls.response);
      fd_destroy_feed (follower);
      fd_destroy_feed (relay);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Guards against endpoints removed in an outage of the store although listed again
 * afterwards, and ones that stay although they are not. */
static void
test_outage (void)
{
  fleet_t *fleet = feed_create_fleet (NODES, 7);

  feed_advance (fleet, 4 * FB_SECOND);
  feed_set_store_available (fleet, false);
  feed_advance (fleet, 3 * FB_SECOND);
  feed_set_endpoint (fleet, 5, FW_DEAD);
  feed_set_endpoint (fleet, 6, FW_DEAD);
  feed_compact_store (fleet);
  feed_advance (fleet, FB_SECOND);
  check_healthy_nodes (fleet, 5, FW_ALIVE);
  feed_set_store_available (fleet, true);
  feed_advance (fleet, 1500 * FB_MILLISECOND);
  check_healthy_nodes (fleet, 5, FW_ALIVE);
  feed_set_endpoint (fleet, 5, FW_ALIVE);
  /* A node may read the store again only after a back-off; then the endpoint must return within
   * 2 s. */
  feed_advance (fleet, FEED_CHANGE_DEADLINE + 2 * FB_SECOND);
  check_healthy_nodes (fleet, 5, FW_ALIVE);
  check_healthy_nodes (fleet, 6, FW_DEAD);
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

/* Guards against full configurations sent between nodes, and reads of one that a delta
 * would bring. */
static void
test_documents (void)
{
  static const struct
  {
    size_t changed; /* bytes at the start of the text */
    size_t document_reads_max;
  } cases[] = { { 10, 0 }, { 200000, NODES } };
  fleet_t *fleet = feed_create_fleet (NODES, 3);
  GRand *random = g_rand_new_with_seed (3);
  char *text = make_text (random, 200000);

  feed_publish (fleet, text);
  feed_advance (fleet, 4 * FB_SECOND);
  check_healthy_nodes (fleet, 5, FW_ALIVE);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t before = feed_count_document_reads (fleet);
      char *head = make_text (random, cases[i].changed);

      memcpy (text, head, cases[i].changed);
      g_free (head);
      feed_publish (fleet, text);
      feed_advance (fleet, FEED_CHANGE_DEADLINE);
      check_healthy_nodes (fleet, 5, FW_ALIVE);
      g_assert_cmpuint (feed_count_document_reads (fleet) - before, <=,
                        cases[i].document_reads_max);
    }
  g_free (text);
  g_rand_free (random);
  feed_destroy_fleet (fleet);
}

/* Guards against changes that arrive late, or are reverted by older updates, while nodes
 * and store fail at random. A change is checked after its deadline without further faults. */
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
        feed_set_fault (fleet, (size_t)g_rand_int_range (random, 0, NODES),
                        (feed_fault_t)g_rand_int_range (random, 0, FEED_STORE_UNREACHABLE + 1));
      if (g_rand_int_range (random, 0, 4) == 0)
        feed_compact_store (fleet);
      feed_advance (fleet, g_rand_int_range (random, 0, 1500) * FB_MILLISECOND);
      feed_set_store_available (fleet, g_rand_int_range (random, 0, 4) > 0);
      feed_advance (fleet, g_rand_int_range (random, 0, 3000) * FB_MILLISECOND);
      feed_set_store_available (fleet, true);
      for (size_t i = 0; i < NODES; i++)
        if (g_rand_boolean (random))
          feed_set_fault (fleet, i, FEED_NO_FAULT);
      /* Time without new faults until the deadline applies to every node. */
      feed_advance (fleet, 3 * FB_SECOND + FEED_CHANGE_DEADLINE);
      feed_set_endpoint (fleet, changed, states[g_rand_int_range (random, 0, 3)]);
      feed_publish (fleet, text);
      feed_advance (fleet, FEED_CHANGE_DEADLINE);
      g_test_message ("seed %u round %d", seed, round);
      for (size_t i = 0; i < NODES; i++)
        for (size_t j = 0; j < NODES && feed_is_healthy (fleet, i); j++)
          {
            g_assert_true (feed_has_newest_document (fleet, i));
            g_assert_cmpint (feed_get_state (fleet, i, j), ==,
                             feed_get_endpoint_state (fleet, j));
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
  g_test_add_func ("/dist/feed/no-responding-relay", test_no_responding_relay);
  g_test_add_func ("/dist/feed/order", test_order);
  g_test_add_func ("/dist/feed/endpoint-count", test_endpoint_count);
  g_test_add_func ("/dist/feed/relay-end", test_relay_end);
  g_test_add_func ("/dist/feed/outage", test_outage);
  g_test_add_func ("/dist/feed/documents", test_documents);
  g_test_add_func ("/dist/feed/random", test_random);
  return g_test_run ();
}
