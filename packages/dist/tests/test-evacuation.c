/* Feeds that learn which zones are evacuated. */
#include "fixture-feed.h"
#include "fixture-recorder.h"

/* Time in which a node without trouble must know of a change. */
#define UNDISTURBED_DEADLINE FB_SECOND

/* The same after a restore of the store. */
#define RESTORE_DEADLINE (3 * FB_SECOND)

static void
check_zone (const fleet_t *fleet, size_t nodes, size_t zone, bool evacuated)
{
  for (size_t i = 0; i < nodes; i++)
    if (feed_is_healthy (fleet, i))
      {
        g_test_message ("node %zu, zone %zu", i, zone);
        g_assert_cmpint (feed_is_evacuated (fleet, i, zone), ==, evacuated);
      }
}

static void
change_zone (fleet_t *fleet, size_t nodes, size_t zone, bool evacuated, fb_time_t deadline)
{
  feed_set_evacuated (fleet, zone, evacuated);
  feed_advance (fleet, deadline);
  check_zone (fleet, nodes, zone, evacuated);
}

/* Guards against a request or its withdrawal that is not known in time, and against one for a
 * zone that changes another: read by each node or passed on by relays, with faults of relays
 * (nodes 0 to 2 of 3 zones and those that followers have chosen), a compaction, a restart. */
static void
test_changes (void)
{
  static const struct
  {
    const char *name;
    size_t nodes; /* 3: each reads the store; 36: one of a zone does, the others follow it */
    feed_fault_t fault;
    bool compact;
    bool restart;
    fb_time_t deadline;
  } cases[] = {
    { "watch", 3, FEED_NO_FAULT, false, false, UNDISTURBED_DEADLINE },
    { "relays", 36, FEED_NO_FAULT, false, false, UNDISTURBED_DEADLINE },
    { "unresponsive", 36, FEED_UNRESPONSIVE, false, false, FEED_CHANGE_DEADLINE },
    { "refusing", 36, FEED_REFUSING, false, false, FEED_CHANGE_DEADLINE },
    { "store unreachable", 36, FEED_STORE_UNREACHABLE, false, false, FEED_CHANGE_DEADLINE },
    { "full read", 3, FEED_NO_FAULT, true, false, FEED_CHANGE_DEADLINE },
    { "full read with relays", 36, FEED_NO_FAULT, true, false, FEED_CHANGE_DEADLINE },
    { "restart", 36, FEED_NO_FAULT, false, true, FEED_CHANGE_DEADLINE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (fb_time_t offset = 0; offset < FEED_POLL_INTERVAL; offset += FEED_POLL_INTERVAL / 4)
      {
        size_t nodes = cases[i].nodes;
        fleet_t *fleet = feed_create_fleet_with_evacuation (nodes, (uint32_t)i);
        size_t follower = nodes - 1;
        size_t relay;

        g_test_message ("%s", cases[i].name);
        feed_advance (fleet, 4 * FB_SECOND + offset);
        relay = feed_get_relay (fleet, follower);
        if (relay < nodes)
          feed_set_fault (fleet, relay, cases[i].fault);
        feed_set_evacuated (fleet, 0, true);
        if (cases[i].compact)
          feed_compact_store (fleet);
        if (cases[i].restart && relay < nodes)
          feed_restart_node (fleet, relay);
        feed_advance (fleet, cases[i].deadline);
        check_zone (fleet, nodes, 0, true);
        change_zone (fleet, nodes, 1, true, cases[i].deadline);
        change_zone (fleet, nodes, 0, false, cases[i].deadline);
        check_zone (fleet, nodes, 1, true);
        check_zone (fleet, nodes, 2, false);
        feed_destroy_fleet (fleet);
      }
}

/* Guards against a set that is dropped while the store is away, and against requests and
 * withdrawals of that time, or from before a restore of the store, that stay unknown. */
static void
test_outage_and_restore (void)
{
  static const struct
  {
    bool before;  /* zone 0 is evacuated */
    bool copied;  /* the same in the copy that is restored */
    bool after;   /* the same at the end */
    bool silent;  /* the store is silent, otherwise it refuses reads */
    bool restore; /* it comes back as of the copy, otherwise with a change made meanwhile */
  } cases[] = { { true, true, false, false, false }, { true, true, false, true, false },
                { false, false, true, true, false }, { true, false, false, false, true },
                { false, true, true, false, true },  { false, true, true, true, true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t nodes = 3; nodes <= 36; nodes += 33)
      {
        fleet_t *fleet = feed_create_fleet_with_evacuation (nodes, (uint32_t)i);

        g_test_message ("case %zu with %zu nodes", i, nodes);
        feed_set_evacuated (fleet, 0, cases[i].copied);
        feed_copy_store (fleet);
        change_zone (fleet, nodes, 0, cases[i].before, 3 * FB_SECOND);
        feed_set_store_available (fleet, cases[i].silent);
        feed_set_store_silent (fleet, cases[i].silent);
        if (cases[i].restore)
          feed_restore_store (fleet);
        else
          feed_set_evacuated (fleet, 0, cases[i].after);
        feed_advance (fleet, 3 * FB_SECOND);
        check_zone (fleet, nodes, 0, cases[i].before);
        feed_set_store_available (fleet, true);
        feed_set_store_silent (fleet, false);
        feed_advance (fleet, RESTORE_DEADLINE);
        check_zone (fleet, nodes, 0, cases[i].after);
        feed_destroy_fleet (fleet);
      }
}

static const fb_name_t zone = { .data = "zone", .len = 4 };

static fb_position_t
at (uint64_t revision)
{
  return (fb_position_t){ 1, revision };
}

/* Reads changes and, DELAY later, the document apart: the feed reads evacuations next. */
static void
read_document_apart (fd_feed_t *feed, fb_clock_t *clock, recorder_t *recorder, fb_time_t delay)
{
  wait_for_read (feed, clock, recorder, FD_READ_CHANGES);
  deliver_text (feed, at (11), "second");
  deliver_text (feed, at (12), "third");
  finish_recorded_read (feed, at (12));
  fb_advance_clock (clock, delay);
  fd_run_feed (feed);
  g_assert_cmpint (recorder->read.kind, ==, FD_READ_DOCUMENT);
  finish_recorded_read (feed, at (13));
  fd_run_feed (feed);
  g_assert_cmpint (recorder->read.kind, ==, FD_READ_EVACUATIONS);
}

/* Guards against a request that is missed when it is written between the reads of evacuations
 * and endpoints, and against a relay that lets its followers wait for the next read. */
static void
test_separate_reads (void)
{
  for (int changed = 0; changed < 2; changed++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      recorder_t recorder = { .evacuation = true };
      fd_feed_t *feed = create_recorded_feed ("10.0.0.1", clock, counters, &recorder);
      fw_feed_message_t request = { .kind = FW_FEED_REQUEST, .position = at (10) };
      fw_feed_message_t update;

      sync_recorded_feed (feed, 1);
      fd_handle_request (feed, &recorder, &request);
      g_assert_cmpint (
          fw_decode_feed ((fb_bytes_t){ recorder.response, recorder.response_len }, &update),
          ==, FB_OK);
      g_assert_true (update.has_evacuations && update.evacuation_count == 0);
      request.feed_id = update.feed_id;
      request.sequence = update.sequence;
      request.position = at (12);
      request.document_position = at (12);
      request.document_number = 12;
      fw_clear_feed (&update);
      g_clear_pointer (&recorder.response, g_free);
      read_document_apart (feed, clock, &recorder, FEED_POLL_INTERVAL * 3 / 4);
      fd_handle_request (feed, &recorder, &request);
      g_assert_null (recorder.response);
      fb_advance_clock (clock, FB_MILLISECOND);
      if (changed)
        fd_set_evacuation (feed, at (14), &zone, true);
      finish_recorded_read (feed, at (14));
      g_assert_cmpint (recorder.response != NULL, ==, changed);
      g_clear_pointer (&recorder.response, g_free);
      /* The relay's position is still the old one: no second response. */
      fd_handle_request (feed, &recorder, &request);
      g_assert_null (recorder.response);
      fd_run_feed (feed);
      g_assert_cmpint (recorder.read.kind, ==, FD_READ_ENDPOINTS);
      finish_recorded_read (feed, at (20));
      g_clear_pointer (&recorder.response, g_free);
      /* Sent by a node that took an update from before the change. */
      fd_handle_request (feed, &recorder, &request);
      g_assert_cmpint (recorder.response != NULL, ==, changed);
      wait_for_read (feed, clock, &recorder, FD_READ_CHANGES);
      g_assert_cmpuint (recorder.read.after_revision, <=, 14);
      fd_set_evacuation (feed, at (16), &zone, !changed);
      finish_recorded_read (feed, at (20));
      g_assert_cmpint (fd_is_evacuated (feed, &zone), ==, !changed);
      g_free (recorder.response);
      fd_destroy_feed (feed);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Guards against a read that an update has overtaken, or a late update, that brings back an
 * older set; against an update without a set that counts as current; against a set where the
 * store names no evacuations; and against a change that is missed since the next read begins
 * after the position of the set. */
static void
test_updates (void)
{
  static const struct
  {
    bool evacuation;
    bool has_set; /* in the update */
    bool in_update;
    uint64_t set_position;  /* of the update's set */
    uint64_t read_position; /* of a change to the contrary that is read then */
    bool evacuated;
  } cases[] = { { true, true, true, 20, 0, true },    { true, true, true, 9, 0, false },
                { true, true, true, 20, 15, true },   { true, true, true, 20, 25, false },
                { true, true, false, 20, 15, false }, { true, true, false, 20, 25, true },
                { true, false, true, 20, 0, false },  { false, true, true, 20, 0, false },
                { true, true, true, 15, 0, true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      recorder_t recorder = { .evacuation = cases[i].evacuation };
      fd_feed_t *feed = create_recorded_feed ("10.0.0.2", clock, counters, &recorder);
      fb_name_t zones[] = { zone };
      fw_feed_message_t update = { .kind = FW_FEED_UPDATE,
                                   .position = at (20),
                                   .document_known_position = at (20),
                                   .has_evacuations = cases[i].has_set,
                                   .evacuations_position = at (cases[i].set_position),
                                   .evacuation_count = cases[i].in_update,
                                   .evacuated_zones = zones };

      sync_recorded_feed (feed, 1);
      fd_run_feed (feed);
      g_assert_true (recorder.requested);
      fb_advance_clock (clock, FEED_POLL_INTERVAL);
      wait_for_read (feed, clock, &recorder, FD_READ_CHANGES);
      fd_handle_response (feed, &update);
      if (cases[i].read_position > 0)
        fd_set_evacuation (feed, at (cases[i].read_position), &zone, !cases[i].in_update);
      finish_recorded_read (feed, at (MAX (cases[i].read_position, 10)));
      g_assert_cmpint (fd_is_evacuated (feed, &zone), ==, cases[i].evacuated);
      g_assert_cmpint (fb_compare_positions (fd_get_position (feed), at (20)) >= 0, ==,
                       cases[i].has_set || !cases[i].evacuation);
      fb_advance_clock (clock, FEED_POLL_INTERVAL);
      wait_for_read (feed, clock, &recorder, FD_READ_CHANGES);
      g_assert_cmpuint (
          recorder.read.after_revision, <=,
          MAX (MAX (cases[i].read_position, 10), cases[i].has_set ? cases[i].set_position : 0));
      fd_destroy_feed (feed);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

/* Guards against a set that is kept although a full read has another one, because its position
 * is higher, and against one of several pages that is taken to be complete after the first. */
static void
test_full_reads (void)
{
  for (int paged = 0; paged < 2; paged++)
    {
      fb_clock_t *clock = fb_create_manual_clock (100 * FB_SECOND);
      fb_counters_t *counters = fb_create_counters ();
      recorder_t recorder = { .evacuation = true };
      fd_feed_t *feed = create_recorded_feed ("10.0.0.1", clock, counters, &recorder);
      fd_read_result_t compacted = { FD_RESULT_COMPACTED, .position = at (0) };
      fd_read_result_t page = { FD_RESULT_HAS_MORE, .position = at (14), .last_key = "key" };

      sync_recorded_feed (feed, 1);
      if (paged)
        read_document_apart (feed, clock, &recorder, FEED_POLL_INTERVAL);
      else
        wait_for_read (feed, clock, &recorder, FD_READ_CHANGES);
      fd_end_read (feed, paged ? &page : &compacted);
      fd_run_feed (feed);
      g_assert_cmpint (recorder.read.kind, ==, FD_READ_ALL);
      fd_set_evacuation (feed, at (4), &zone, true);
      if (paged)
        {
          fd_end_read (feed, &page);
          fd_run_feed (feed);
          g_assert_cmpstr (recorder.read.after_key, ==, "key");
          g_assert_false (fd_is_evacuated (feed, &zone));
        }
      finish_recorded_read (feed, at (5));
      g_assert_true (fd_is_evacuated (feed, &zone));
      fd_destroy_feed (feed);
      fb_destroy_counters (counters);
      fb_destroy_clock (clock);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/dist/evacuation/changes", test_changes);
  g_test_add_func ("/dist/evacuation/outage-and-restore", test_outage_and_restore);
  g_test_add_func ("/dist/evacuation/separate-reads", test_separate_reads);
  g_test_add_func ("/dist/evacuation/updates", test_updates);
  g_test_add_func ("/dist/evacuation/full-reads", test_full_reads);
  return g_test_run ();
}
