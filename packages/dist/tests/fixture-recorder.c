#include "fixture-recorder.h"
#include "fixture-feed.h"
#include <string.h>

static void
record_read (const fd_read_t *read, void *user)
{
  recorder_t *recorder = user;

  recorder->read = *read;
  recorder->read_count++;
}

static void
record_request (const fw_member_t *peer, const fw_feed_message_t *request, void *user)
{
  recorder_t *recorder = user;

  recorder->requested = true;
  recorder->request = *request;
}

static void
record_response (void *requester, const fw_feed_message_t *response, void *user)
{
  recorder_t *recorder = user;

  g_free (recorder->response);
  recorder->response = fw_encode_feed (response, &recorder->response_len);
}

static void
record_endpoint (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  ((recorder_t *)user)->state = endpoint->member.state;
}

static void
ignore_document (void *user)
{
}

fd_feed_t *
create_recorded_feed (const char *address, const fb_clock_t *clock, fb_counters_t *counters,
                      recorder_t *recorder)
{
  fd_feed_options_t options = { .address = fb_make_name (address),
                                .zone = fb_make_name ("z"),
                                .poll_interval = FEED_POLL_INTERVAL,
                                .evacuation = recorder->evacuation };
  fd_feed_hooks_t hooks = { record_read,     record_request,  record_response, record_endpoint,
                            ignore_document, ignore_document, recorder };

  return fd_create_feed (&options, 1, clock, counters, NULL, &hooks);
}

void
deliver_text (fd_feed_t *feed, fb_position_t position, const char *text)
{
  fd_set_document (feed, position, position.revision,
                   (fb_bytes_t){ (const uint8_t *)text, strlen (text) });
}

void
deliver_node (fd_feed_t *feed, fb_position_t position, const char *address,
              fw_member_state_t state)
{
  fw_endpoint_t endpoint = { { .id = fb_make_name (address),
                               .state = state,
                               .address = fb_make_name (address),
                               .zone = fb_make_name ("z") },
                             9 };

  fd_add_endpoint (feed, position, &endpoint);
}

void
finish_recorded_read (fd_feed_t *feed, fb_position_t position)
{
  fd_end_read (feed, &(fd_read_result_t){ FD_RESULT_COMPLETE, .position = position });
}

void
sync_recorded_feed (fd_feed_t *feed, uint64_t era)
{
  fd_run_feed (feed);
  deliver_node (feed, (fb_position_t){ era, 4 }, "10.0.0.1", FW_ALIVE);
  deliver_node (feed, (fb_position_t){ era, 4 }, "10.0.0.2", FW_ALIVE);
  deliver_text (feed, (fb_position_t){ era, 5 }, "first");
  finish_recorded_read (feed, (fb_position_t){ era, 10 });
}

void
wait_for_read (fd_feed_t *feed, fb_clock_t *clock, const recorder_t *recorder,
               fd_read_kind_t kind)
{
  fb_advance_clock (clock, FEED_POLL_INTERVAL);
  fd_run_feed (feed);
  g_assert_cmpint (recorder->read.kind, ==, kind);
}
