/* A feed whose reads and requests are recorded and answered by the test. */
#ifndef FOXTAILRUN_FIXTURE_RECORDER_H
#define FOXTAILRUN_FIXTURE_RECORDER_H

#include <foxtailrun/dist/feed.h>
#include <glib.h>

/* Records reads that a feed starts, requests that it sends and its response to a request. */
typedef struct
{
  bool evacuation; /* set by the test: the feed reads evacuations */
  fd_read_t read;
  size_t read_count;
  bool requested;
  fw_feed_message_t request;
  uint8_t *response; /* owned by the test */
  size_t response_len;
  fw_member_state_t state; /* of the endpoint that changed last */
} recorder_t;

/* Creates a feed of the node at ADDRESS that reports to RECORDER. */
fd_feed_t *create_recorded_feed (const char *address, const fb_clock_t *clock,
                                 fb_counters_t *counters, recorder_t *recorder);

/* The document's number is its revision. */
void deliver_text (fd_feed_t *feed, fb_position_t position, const char *text);

/* Delivers an endpoint of the node at ADDRESS. */
void deliver_node (fd_feed_t *feed, fb_position_t position, const char *address,
                   fw_member_state_t state);

void finish_recorded_read (fd_feed_t *feed, fb_position_t position);

/* Reads everything as of revision 10 of ERA, with a document of revision 5 and the
 * nodes 10.0.0.1 and 10.0.0.2. */
void sync_recorded_feed (fd_feed_t *feed, uint64_t era);

/* Advances CLOCK by a poll interval; fails unless the feed reads KIND. */
void wait_for_read (fd_feed_t *feed, fb_clock_t *clock, const recorder_t *recorder,
                    fd_read_kind_t kind);

#endif
